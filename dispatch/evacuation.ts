/**
 * Selects the tasks to move off a draining worker: those that can't finish before it leaves.
 *
 * @example
 * ```ts
 * import { selectForEvacuation } from "./evacuation.ts";
 * const members = selectForEvacuation(worker.members.values(), { now, leavesAtMs });
 * ```
 *
 * @module
 */

import type { MemberRun } from "./types.ts";

/**
 * Ratio of a task's remaining time to the worker's remaining time above which the task is moved.
 * Estimates are off by half and more, and workers often stay longer than announced.
 */
const ESTIMATE_OVERRUN_FACTOR = 1.3;
/** Minimum progress from which the observed speed replaces the caller's estimate, in percent. */
const MIN_PROGRESS_PERCENT = 10;

/** The departure time of a worker. */
export interface Departure {
    /** The current monotonic time, in ms. */
    readonly now: number;
    /** The earliest time at which the worker may leave, on the same clock, in ms. */
    readonly leavesAtMs: number;
}

/**
 * Selects the tasks to restart on another worker.
 *
 * @param members The tasks on the worker.
 * @param departure The departure time of the worker.
 * @returns The running tasks that can't finish in time, and all perpetual tasks.
 */
export function selectForEvacuation(
    members: Iterable<MemberRun>,
    departure: Departure,
): MemberRun[] {
    const remainingMs = Math.max(0, departure.leavesAtMs - departure.now);
    return [...members].filter(
        (member) =>
            member.state === "running" &&
            (member.isPerpetual ||
                computeRemainingMs(member, departure.now) > remainingMs * ESTIMATE_OVERRUN_FACTOR),
    );
}

/**
 * Computes the remaining time of a task, from its progress so far or from its estimate.
 *
 * @param member The task.
 * @param now The current monotonic time, in ms.
 * @returns The remaining time, in ms; 0 if the task is overdue.
 */
export function computeRemainingMs(member: MemberRun, now: number): number {
    const elapsedMs = member.progressAtMs - member.startedAtMs;
    const totalMs =
        member.progressPercent >= MIN_PROGRESS_PERCENT && elapsedMs > 0
            ? elapsedMs / (member.progressPercent / 100)
            : member.estimateMs;
    return Math.max(0, totalMs - (now - member.startedAtMs));
}
