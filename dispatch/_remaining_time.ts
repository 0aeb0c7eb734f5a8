/**
 * Estimates when running tasks end.
 *
 * @example
 * ```ts
 * import { computeExpectedRemainingMs } from "./_remaining_time.ts";
 * const remainingMs = computeExpectedRemainingMs(context, member, now);
 * ```
 *
 * @module
 */

import type { DispatchContext } from "./_context.ts";
import type { MemberRun } from "./types.ts";

/** Time that a task takes to end once it is being stopped, in ms. */
const STOP_MS = 200;

/**
 * Computes how long a task is expected to run. One that has run longer than estimated is expected to
 * exceed its estimate by as much again: a few tasks take several times as long as the others.
 *
 * @param context The shared state of the dispatcher.
 * @param member The task.
 * @param now The current monotonic time, in ms.
 * @returns The time, in ms; infinite for a task that runs until it is stopped.
 */
export function computeExpectedRemainingMs(
    context: DispatchContext,
    member: MemberRun,
    now: number,
): number {
    if (member.state === "stopping") {
        return STOP_MS;
    }
    if (member.isPerpetual) {
        return Number.POSITIVE_INFINITY;
    }
    const job = context.stateStore.jobs.get(member.unit.job);
    const ratio = job === undefined ? 1 : context.getQueueRatio(job.queue).total;
    return Math.abs(member.estimateMs * ratio - (now - member.startedAtMs));
}
