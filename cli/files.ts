/**
 * Reading the operators' files for the command line, with findings printed together.
 *
 * @example
 * ```ts
 * import { loadSettingsFiles } from "./files.ts";
 * const { inventory, rules } = loadSettingsFiles("inventory.yaml", "rules.yaml");
 * ```
 *
 * @module
 */

import { readFileSync } from "node:fs";
import type { Inventory } from "../inventory/mod.ts";
import type { Rules } from "../rules/mod.ts";
import { FindingsError, type Finding } from "../settings/findings.ts";
import { loadInventoryText } from "../settings/inventory_file.ts";
import { loadRulesText } from "../settings/rules_file.ts";

/**
 * Loads an inventory and a rules file; findings of both are reported together.
 *
 * @param inventoryFile The inventory's path.
 * @param rulesFile The rules' path.
 * @returns Both, checked.
 * @throws {FindingsError} With every finding of both files.
 */
export function loadSettingsFiles(
    inventoryFile: string,
    rulesFile: string,
): { inventory: Inventory; rules: Rules } {
    const findings: Finding[] = [];
    let inventory: Inventory | undefined;
    let rules: Rules | undefined;
    try {
        inventory = loadInventoryText(inventoryFile, readFileSync(inventoryFile, "utf8"));
    } catch (error) {
        findings.push(...toFindings(error, inventoryFile));
    }
    try {
        rules = loadRulesText(rulesFile, readFileSync(rulesFile, "utf8"));
    } catch (error) {
        findings.push(...toFindings(error, rulesFile));
    }
    if (findings.length > 0 || inventory === undefined || rules === undefined) {
        throw new FindingsError(findings);
    }
    return { inventory, rules };
}

function toFindings(error: unknown, file: string): readonly Finding[] {
    if (error instanceof FindingsError) {
        return error.findings;
    }
    return [{ file, line: 0, column: 0, path: "", message: (error as Error).message }];
}
