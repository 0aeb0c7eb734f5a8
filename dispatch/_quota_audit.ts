/**
 * Compares the count of the workspaces' reservations with a recount from the replicated attempts.
 *
 * @example
 * ```ts
 * import { auditQuota } from "./_quota_audit.ts";
 * const differences = auditQuota(stateStore, ledger);
 * ```
 *
 * @module
 */

import type { Job, StateStore } from "../job/mod.ts";
import { QuotaLedger, type WorkspaceName, type WorkspaceResources } from "../workspace/mod.ts";

/**
 * Compares a ledger with the attempts that have not ended.
 *
 * @param stateStore The replicated state that the ledger follows.
 * @param ledger The ledger.
 * @returns A description of each workspace whose count differs; empty if there is none.
 */
export function auditQuota(stateStore: StateStore, ledger: QuotaLedger): string[] {
    const recount = new QuotaLedger(() => undefined);
    for (const job of stateStore.jobs.values()) {
        listReservations(job).forEach((demand) => recount.addReservation(job.workspace, demand));
    }
    const workspaces = new Set([...ledger.usage.keys(), ...recount.usage.keys()]);
    return [...workspaces]
        .filter((workspace) => formatUsage(ledger, workspace) !== formatUsage(recount, workspace))
        .map(
            (workspace) =>
                `${workspace}: counted ${formatUsage(ledger, workspace)}, ` +
                `reserved ${formatUsage(recount, workspace)}`,
        );
}

function listReservations(job: Job): WorkspaceResources[] {
    return [...job.occurrences.values()].flatMap(({ steps }) =>
        steps.flatMap((units, step) => {
            const needs = job.spec?.steps[step]?.needs;
            const memberCount = units.reduce((sum, { members }) => sum + members.size, 0);
            return needs === undefined ? [] : Array.from({ length: memberCount }, () => needs);
        }),
    );
}

function formatUsage({ usage }: QuotaLedger, workspace: WorkspaceName): string {
    const { cpu, memoryMb, gpu } = usage.get(workspace) ?? { cpu: 0, memoryMb: 0, gpu: 0 };
    return `cpu ${cpu}, memory ${memoryMb} MB, gpu ${gpu}`;
}
