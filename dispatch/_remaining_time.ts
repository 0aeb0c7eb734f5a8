/**
 * Estimates when running tasks end.
 *
 * @example
 * ```ts
 * import { computeRemainingMs } from "./_remaining_time.ts";
 * const remainingMs = computeRemainingMs(member, ratio, now);
 * ```
 *
 * @module
 */

import type { MemberRun } from "./types.ts";

/** Time that a task takes to end once it is being stopped, in ms. */
const STOP_MS = 200;

/**
 * Computes how long a task is expected to run. One that has run longer than estimated is expected to
 * exceed its estimate by as much again: a few tasks take several times as long as the others.
 *
 * @param member The task.
 * @param ratio Actual over estimated durations of its queue.
 * @param now The current monotonic time, in ms.
 * @returns The time, in ms; infinite for a task that runs until it is stopped.
 */
export function computeRemainingMs(
    member: Pick<MemberRun, "state" | "isPerpetual" | "estimateMs" | "startedAtMs">,
    ratio: number,
    now: number,
): number {
    if (member.state === "stopping") {
        return STOP_MS;
    }
    if (member.isPerpetual) {
        return Number.POSITIVE_INFINITY;
    }
    return Math.abs(member.estimateMs * ratio - (now - member.startedAtMs));
}
