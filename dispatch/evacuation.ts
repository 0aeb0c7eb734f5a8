/**
 * What moves off a worker that leaves. The pattern: a worker announces its end some seconds ahead, and
 * everything that still runs there at the end is lost. Work that cannot be done by then loses nothing
 * more by going at once, and wins the seconds that are left; with a checkpoint it loses nothing at all.
 *
 * @example
 * ```ts
 * import { selectEvacuees } from "./evacuation.ts";
 * const members = selectEvacuees(worker.members.values(), { now, leavesAt });
 * ```
 *
 * @module
 */

import type { MemberRun } from "./types.ts";

/**
 * Estimates are off by half and more, and a worker often stays longer than it must: work goes only
 * when it needs this many times the time that is left.
 */
const ESTIMATE_OVERRUN_FACTOR = 1.3;
/** From this progress on the pace so far tells more than the caller's estimate, in percent. */
const MIN_PROGRESS_PERCENT = 10;

/** When a worker leaves. */
export interface Departure {
    /** Our clock, in ms. */
    readonly now: number;
    /** When the worker may end, at the earliest, on our clock in ms. */
    readonly leavesAt: number;
}

/**
 * Selects the tasks that should start again elsewhere now.
 *
 * @param members What runs on the worker.
 * @param time When it leaves.
 * @returns Running tasks that cannot be done before; tasks that last are always among them.
 */
export function selectForEvacuation(members: Iterable<MemberRun>, time: Departure): MemberRun[] {
    const remainingMs = Math.max(0, time.leavesAt - time.now);
    return [...members].filter(
        (member) =>
            member.state === "running" &&
            (member.isPerpetual ||
                computeRemainingMs(member, time.now) > remainingMs * ESTIMATE_OVERRUN_FACTOR),
    );
}

/**
 * Computes how long a task still takes: by its pace so far once it is under way, else by its estimate.
 *
 * @param member The task.
 * @param now Our clock, in ms.
 * @returns Ms; 0 when it should be done already.
 */
export function computeRemainingMs(member: MemberRun, now: number): number {
    const elapsedMs = member.progressAt - member.startedAt;
    const totalMs =
        member.progressPercent >= MIN_PROGRESS_PERCENT && elapsedMs > 0
            ? elapsedMs / (member.progressPercent / 100)
            : member.estimateMs;
    return Math.max(0, totalMs - (now - member.startedAt));
}
