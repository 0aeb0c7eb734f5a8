/**
 * Evacuates tasks from draining workers if another worker has capacity for them.
 *
 * @example
 * ```ts
 * import { Evacuator } from "./_evacuator.ts";
 * new Evacuator(context, attempts).stopTasksBeforeDeparture(worker, now);
 * ```
 *
 * @module
 */

import type { Attempts } from "./_attempts.ts";
import type { DispatchContext } from "./_context.ts";
import { selectForEvacuation } from "./evacuation.ts";
import type { MemberRun } from "./types.ts";
import { getFreeResources, hasResourcesFor, type WorkerState } from "./worker_registry.ts";

/** Evacuates the draining workers of one leader. */
export class Evacuator {
    readonly #context: DispatchContext;
    readonly #attempts: Attempts;

    /**
     * @param context The shared state of the dispatcher.
     * @param attempts The running attempts.
     */
    constructor(context: DispatchContext, attempts: Attempts) {
        this.#context = context;
        this.#attempts = attempts;
    }

    /**
     * Stops the tasks that can't finish before a draining worker leaves; they restart elsewhere.
     *
     * @param worker The worker; ignored unless it is draining and has announced when it leaves.
     * @param now The current monotonic time, in ms.
     */
    stopTasksBeforeDeparture(worker: WorkerState, now: number): void {
        const { record, leavesAtMs } = worker;
        if (!record.isDraining || leavesAtMs === undefined) {
            return;
        }
        for (const member of selectForEvacuation(worker.members.values(), {
            now,
            leavesAtMs,
        })) {
            if (!this.#hasCapacityElsewhere(worker, member, now)) {
                continue;
            }
            this.#context.recordDecision("decision", "task evacuated", {
                request: member.unit.job,
                task: member.name,
                worker: record.id,
                percent: member.progressPercent,
                leavesInMs: Math.round(leavesAtMs - now),
            });
            this.#attempts.stopMember(member);
        }
    }

    #hasCapacityElsewhere(worker: WorkerState, member: MemberRun, now: number): boolean {
        for (const other of this.#context.registry.workers) {
            if (
                other !== worker &&
                other.record.pool === worker.record.pool &&
                this.#context.registry.isUsable(other, now) &&
                hasResourcesFor(getFreeResources(other), member.reserved)
            ) {
                return true;
            }
        }
        return false;
    }
}
