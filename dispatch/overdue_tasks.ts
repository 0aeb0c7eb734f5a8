/**
 * Detects tasks whose end should have been reported by now. A lost long poll would delay their ends
 * until it times out, so a worker with an overdue task gets an extra poll.
 *
 * @example
 * ```ts
 * import { hasOverdueTask } from "./overdue_tasks.ts";
 * if (hasOverdueTask(worker, now)) {
 *     context.emit({ type: "look", worker: worker.record.id });
 * }
 * ```
 *
 * @module
 */

import type { MemberRun } from "./types.ts";
import type { WorkerState } from "./worker_registry.ts";

/**
 * Time after its expected end from which a task is overdue, in ms. Estimates are inaccurate, and an
 * end takes some ms to be noticed.
 */
const OVERDUE_GRACE_MS = 150;
/**
 * Minimum time between two extra polls of a worker, in ms; on a slow worker all tasks are overdue.
 */
const EXTRA_POLL_INTERVAL_MS = 400;
/**
 * Progress from which a task's end is extrapolated instead of taken from its estimate, in percent.
 */
const MIN_PROGRESS_PERCENT = 5;

/**
 * Returns whether a worker should get an extra poll because of an overdue task.
 *
 * @param worker The worker.
 * @param now The current monotonic time, in ms.
 * @returns True if a task is overdue and no poll was answered since its expected end.
 */
export function hasOverdueTask(
    worker: Pick<WorkerState, "members" | "pollAnsweredAtMs" | "extraPollAtMs">,
    now: number,
): boolean {
    if (now - worker.extraPollAtMs < EXTRA_POLL_INTERVAL_MS) {
        return false;
    }
    for (const member of worker.members.values()) {
        const dueAtMs = computeDueAtMs(member);
        if (now > dueAtMs + OVERDUE_GRACE_MS && worker.pollAnsweredAtMs < dueAtMs) {
            return true;
        }
    }
    return false;
}

/**
 * Computes a task's expected end, in ms; infinite for a perpetual task or one that is not running.
 */
function computeDueAtMs(member: MemberRun): number {
    if (member.isPerpetual || member.state !== "running") {
        return Number.POSITIVE_INFINITY;
    }
    const elapsedMs = member.progressAtMs - member.startedAtMs;
    return member.progressPercent >= MIN_PROGRESS_PERCENT && elapsedMs > 0
        ? member.startedAtMs + (elapsedMs * 100) / member.progressPercent
        : member.startedAtMs + member.estimateMs;
}
