/**
 * Loads the settings files given on the command line and reports the findings of all files
 * together.
 *
 * @example
 * ```ts
 * import { loadSettingsFiles } from "./settings_files.ts";
 * const { inventory, rules } = loadSettingsFiles("inventory.yaml", "rules.yaml");
 * ```
 *
 * @module
 */

import { readFileSync } from "node:fs";
import type { Inventory } from "../inventory/mod.ts";
import type { Deployment } from "../membership/mod.ts";
import type { Rules } from "../rules/mod.ts";
import { FindingsError, type Finding } from "../settings/findings.ts";
import { loadDeploymentText } from "../settings/deployment_file.ts";
import { loadInventoryText } from "../settings/inventory_file.ts";
import { loadRulesText } from "../rules/rules_file.ts";

/** Validated contents of the settings files. */
export interface SettingsFiles {
    readonly inventory: Inventory;
    readonly rules: Rules;
    readonly deployment: Deployment | undefined;
}

/**
 * Loads and validates the inventory, the rules and, if given, the deployment.
 *
 * @param inventoryFile Path of the inventory file.
 * @param rulesFile Path of the rules file.
 * @param deploymentFile Path of the deployment file.
 * @returns The validated contents.
 * @throws {FindingsError} If any file is invalid; carries the findings of all files.
 */
export function loadSettingsFiles(
    inventoryFile: string,
    rulesFile: string,
    deploymentFile?: string,
): SettingsFiles {
    const findings: Finding[] = [];
    const loadFile = <T>(file: string, parse: (file: string, text: string) => T): T | undefined => {
        try {
            return parse(file, readFileSync(file, "utf8"));
        } catch (error) {
            findings.push(...toFindings(error, file));
            return undefined;
        }
    };
    const inventory = loadFile(inventoryFile, loadInventoryText);
    const rules = loadFile(rulesFile, loadRulesText);
    const deployment =
        deploymentFile === undefined ? undefined : loadFile(deploymentFile, loadDeploymentText);
    if (inventory !== undefined && deployment !== undefined && deploymentFile !== undefined) {
        findings.push(...checkZones(deployment, inventory, deploymentFile));
    }
    if (findings.length > 0 || inventory === undefined || rules === undefined) {
        throw new FindingsError(findings);
    }
    return { inventory, rules, deployment };
}

/** Reports the deployment's zones that are not in the inventory. */
function checkZones(deployment: Deployment, inventory: Inventory, file: string): Finding[] {
    const zoneReferences = [
        ...deployment.members.map((m) => [m.zone, `members ${m.id}`] as const),
        ...deployment.groups.flatMap((g) => g.zones.map((z) => [z, `groups ${g.id}`] as const)),
        ...[...deployment.callers].map(([c, z]) => [z, `callers ${c}`] as const),
    ];
    return zoneReferences
        .filter(([zone]) => !inventory.zones.includes(zone))
        .map(([zone, path]) => ({
            file,
            line: 0,
            column: 0,
            path,
            message: `zone "${zone}" is not in the inventory`,
        }));
}

function toFindings(error: unknown, file: string): readonly Finding[] {
    if (error instanceof FindingsError) {
        return error.findings;
    }
    return [{ file, line: 0, column: 0, path: "", message: (error as Error).message }];
}
