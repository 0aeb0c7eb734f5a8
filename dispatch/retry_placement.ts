/**
 * Where a task that failed runs again. The pattern: a worker fails all that it starts, within some tens of ms,
 * and therefore has room when the others have none. A task that goes back there uses up its attempts within half
 * a second, and its job, which could be done, is lost.
 *
 * @example
 * ```ts
 * import { selectForRepetition } from "./retry_placement.ts";
 * const trusted = selectForRepetition(candidates, now - step.failedAt);
 * ```
 *
 * @module
 */

import type { Candidate } from "./placement.ts";

/**
 * A repetition waits this long for a worker that is not doubtful, in ms: tasks end, and make room, several times a
 * second. Longer would be a wait with nothing running for a task that fails by its own fault and has made
 * all its workers doubtful.
 */
const MAX_HEALTHY_WORKER_WAIT_MS = 2_000;

/**
 * Selects the workers that may run a task again that has failed. With one failure of a hundred by the tasks' own
 * fault and one worker of ten failing everything, a failure tells of its worker nine times out of ten.
 *
 * @param candidates The workers with admission.
 * @param sinceFailureMs How long ago a task of the step failed last, in ms.
 * @returns Those whose last task did not fail; all of them after a while.
 */
export function selectForRetry(
    candidates: readonly Candidate[],
    sinceFailureMs: number,
): readonly Candidate[] {
    return sinceFailureMs >= MAX_HEALTHY_WORKER_WAIT_MS
        ? candidates
        : candidates.filter((candidate) => !candidate.hasRecentFailure);
}
