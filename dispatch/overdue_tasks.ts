/**
 * Tasks whose ends should have been seen by now. The pattern: a worker is asked for its ends by one long call at a
 * time. When that call is lost, an end that came meanwhile is seen only after the call's whole wait and its timeout,
 * two seconds later, and the next step of the job waits that long. A worker with an overdue task is therefore
 * looked at once more, beside the call under way.
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

/** An end is overdue this long after it was due, in ms: estimates are off, and ends take some ms to be seen. */
const OVERDUE_GRACE_MS = 150;
/** Pause between two such looks at one worker, in ms: a slow worker's tasks are all overdue. */
const EXTRA_POLL_INTERVAL_MS = 400;
/** From this progress on, in percent, it tells better than the caller's estimate when a task ends. */
const MIN_PROGRESS_PERCENT = 5;

/**
 * Tells whether a worker should be looked at because of an overdue task.
 *
 * @param worker The worker.
 * @param now Our clock, in ms.
 * @returns True when a task was due a while ago, and no answer came since.
 */
export function hasOverdueTask(
    worker: Pick<WorkerState, "members" | "pollAnsweredAt" | "extraPollAt">,
    now: number,
): boolean {
    if (now - worker.extraPollAt < EXTRA_POLL_INTERVAL_MS) {
        return false;
    }
    for (const member of worker.members.values()) {
        const dueAt = computeDueAt(member);
        if (now > dueAt + OVERDUE_GRACE_MS && worker.pollAnsweredAt < dueAt) {
            return true;
        }
    }
    return false;
}

/** When a task should end; never for one that lasts, that is stopped, or that is not known to run. */
function computeDueAt(member: MemberRun): number {
    if (member.isPerpetual || member.state !== "running") {
        return Number.POSITIVE_INFINITY;
    }
    const ranMs = member.progressAt - member.startedAt;
    return member.progressPercent >= MIN_PROGRESS_PERCENT && ranMs > 0
        ? member.startedAt + (ranMs * 100) / member.progressPercent
        : member.startedAt + member.estimateMs;
}
