/**
 * Invariant checks on a cell's records, shared by the tests.
 *
 * @example
 * ```ts
 * import { listInvariantViolations } from "./_invariants.ts";
 * assert.deepEqual(listInvariantViolations(cell, startedLeases), []);
 * ```
 *
 * @module
 */

import { addResources, isFitting, NO_RESOURCES, type LeaseId } from "../inventory/mod.ts";
import type { Cell } from "./cell.ts";

const LIVE_STATES = new Set(["offered", "active"]);

/**
 * Lists the invariants that a cell currently violates.
 *
 * @param cell The cell.
 * @param started The leases that the workers actually started.
 * @returns One line per violation.
 */
export function listInvariantViolations(cell: Cell, started: ReadonlySet<LeaseId>): string[] {
    const violations: string[] = [];
    const leases = cell.listLeases();
    for (const worker of cell.listWorkers()) {
        const held = leases
            .filter((l) => l.worker === worker.instance.id && LIVE_STATES.has(l.state))
            .reduce((sum, l) => addResources(sum, l.declared), NO_RESOURCES);
        if (!isFitting(held, worker.instance.capacity)) {
            violations.push(
                `instance ${worker.instance.id} is overcommitted: ${JSON.stringify(held)}`,
            );
        }
    }
    const liveByTask = new Map<string, number>();
    for (const lease of leases.filter((l) => LIVE_STATES.has(l.state))) {
        liveByTask.set(lease.task, (liveByTask.get(lease.task) ?? 0) + 1);
    }
    for (const [task, count] of liveByTask) {
        if (count > 1) {
            violations.push(`task ${task} has ${count} live leases`);
        }
    }
    for (const id of cell.listRequestIds()) {
        const status = cell.describeRequest(id);
        if (status === undefined) {
            continue;
        }
        const requestLeases = leases.filter((l) => l.request === id);
        const startedLeases = requestLeases.filter((l) => started.has(l.id));
        const rule = cell.rules.kinds.get(status.kind);
        if (rule !== undefined && !rule.idempotent) {
            const startsByTask = new Map<string, number>();
            for (const lease of startedLeases) {
                startsByTask.set(lease.task, (startsByTask.get(lease.task) ?? 0) + 1);
            }
            for (const [task, count] of startsByTask) {
                if (count > 1) {
                    violations.push(
                        `at-most-once request ${id}: task ${task} started ${count} times`,
                    );
                }
            }
        }
        if (!status.mayHaveRun && startedLeases.length > 0) {
            violations.push(
                `request ${id} reports mayHaveRun=false, but ${startedLeases.length} of its leases started`,
            );
        }
        if (status.final && requestLeases.some((l) => LIVE_STATES.has(l.state))) {
            violations.push(`request ${id} is final (${status.state}) with a live lease`);
        }
    }
    return violations;
}
