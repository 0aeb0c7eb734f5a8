/**
 * Selects workers for retries of failed tasks. A faulty worker fails tasks quickly and so often has
 * free capacity; retries there would exhaust a task's attempts.
 *
 * @example
 * ```ts
 * import { selectForRetry } from "./retry_placement.ts";
 * const retryCandidates = selectForRetry(candidates, now - step.lastFailureAtMs);
 * ```
 *
 * @module
 */

import type { Candidate } from "./placement.ts";

/**
 * Longest time that a retry waits for a worker without a recent failure, in ms; tasks end and free
 * capacity several times a second. Bounds the delay of a task that fails by its own fault on every
 * worker.
 */
const MAX_HEALTHY_WORKER_WAIT_MS = 2_000;

/**
 * Selects the workers that may run a failed task again. Assumes that the worker is the more
 * likely cause of a failure.
 *
 * @param candidates The admitted workers.
 * @param sinceFailureMs The time since a task of the step last failed, in ms.
 * @returns The workers without a recent failure; all workers after the maximum wait.
 */
export function selectForRetry(
    candidates: readonly Candidate[],
    sinceFailureMs: number,
): readonly Candidate[] {
    return sinceFailureMs >= MAX_HEALTHY_WORKER_WAIT_MS
        ? candidates
        : candidates.filter((candidate) => !candidate.hasRecentFailure);
}
