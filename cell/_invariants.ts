/**
 * The brief's invariants as checks over a cell's books, shared by the property, differential
 * and failure tests.
 *
 * @example
 * ```ts
 * import { listViolations } from "./_invariants.ts";
 * assert.deepEqual(listViolations(cell, startedLeases), []);
 * ```
 *
 * @module
 */

import { addResources, isFitting, NO_RESOURCES, type LeaseId } from "../inventory/mod.ts";
import type { Cell } from "./cell.ts";

const LIVE = new Set(["offered", "active"]);

/**
 * Lists every invariant the cell breaks now.
 *
 * @param cell The cell.
 * @param started Leases that a worker really started (the workers' side of the books).
 * @returns One line per violation; empty when all hold.
 */
export function listViolations(cell: Cell, started: ReadonlySet<LeaseId>): string[] {
    const violations: string[] = [];
    const leases = cell.listLeases();
    for (const worker of cell.listWorkers()) {
        const held = leases
            .filter((l) => l.worker === worker.instance.id && LIVE.has(l.state))
            .reduce((sum, l) => addResources(sum, l.declared), NO_RESOURCES);
        if (!isFitting(held, worker.instance.capacity)) {
            violations.push(`overcommit on ${worker.instance.id}: ${JSON.stringify(held)}`);
        }
    }
    const liveByTask = new Map<string, number>();
    for (const lease of leases.filter((l) => LIVE.has(l.state))) {
        liveByTask.set(lease.task, (liveByTask.get(lease.task) ?? 0) + 1);
    }
    for (const [task, count] of liveByTask) {
        if (count > 1) {
            violations.push(`task ${task} has ${count} live leases`);
        }
    }
    for (const id of cell.listRequests()) {
        const answer = cell.describeRequest(id);
        if (answer === undefined) {
            continue;
        }
        const own = leases.filter((l) => l.request === id);
        const ranSomewhere = own.filter((l) => started.has(l.id));
        const rule = cell.rules.kinds.get(answer.kind);
        if (rule !== undefined && !rule.idempotent) {
            const perTask = new Map<string, number>();
            for (const lease of ranSomewhere) {
                perTask.set(lease.task, (perTask.get(lease.task) ?? 0) + 1);
            }
            for (const [task, count] of perTask) {
                if (count > 1) {
                    violations.push(
                        `at-most-once request ${id}: task ${task} started ${count} times`,
                    );
                }
            }
        }
        if (!answer.mayHaveRun && ranSomewhere.length > 0) {
            violations.push(
                `request ${id} says it did not run, but ${ranSomewhere.length} lease(s) started`,
            );
        }
        if (answer.final && own.some((l) => LIVE.has(l.state))) {
            violations.push(`request ${id} is final (${answer.state}) with a live lease`);
        }
    }
    return violations;
}
