/**
 * Checks the rules on workspaces that the schema of a configuration can't express.
 *
 * @example
 * ```ts
 * import { checkWorkspaces } from "./workspace_checks.ts";
 * const findings = checkWorkspaces(configuration.workspaces);
 * ```
 *
 * @module
 */

import type { ApiKey, WorkspaceConfig, WorkspaceName } from "./types.ts";

/**
 * Checks the weight of a workspace.
 *
 * @param name The workspace.
 * @param weight Its weight, in jobs per second; `undefined` if it has none.
 * @returns A description of the problem, or `undefined` if there is none.
 */
export function checkWeight(name: string, weight: number | undefined): string | undefined {
    if (weight === undefined || (Number.isFinite(weight) && weight >= 0)) {
        return undefined;
    }
    const reason = weight < 0 ? "is negative" : "is not a finite number";
    return `workspace ${name}: the weight ${reason}`;
}

/**
 * Checks the names, weights and keys of workspaces. Findings name workspaces but never contain a key.
 *
 * @param workspaces The workspaces of one configuration.
 * @returns A description of each problem; empty if there is none.
 */
export function checkWorkspaces(workspaces: readonly WorkspaceConfig[]): string[] {
    const findings: string[] = [];
    const names = new Set<WorkspaceName>();
    const keyHolders = new Map<ApiKey, WorkspaceName>();
    for (const { name, apiKeys, weight } of workspaces) {
        if (names.has(name)) {
            findings.push(`workspace ${name}: the name is used twice`);
        }
        names.add(name);
        const weightProblem = checkWeight(name, weight);
        if (weightProblem !== undefined) {
            findings.push(weightProblem);
        }
        for (const key of apiKeys) {
            const holder = keyHolders.get(key);
            if (holder !== undefined && holder !== name) {
                findings.push(`workspace ${name}: shares a key with workspace ${holder}`);
            }
            keyHolders.set(key, name);
        }
    }
    return findings;
}
