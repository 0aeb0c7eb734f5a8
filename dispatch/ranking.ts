/**
 * Who goes first. The pattern: after an outage, or in a burst beyond the floor's room, more waits
 * than can be done in time. First come, first served then makes everybody late in turn: the room
 * goes to jobs whose time is over anyway.
 *
 * @example
 * ```ts
 * import { rankStep } from "./ranking.ts";
 * steps.sort((a, b) => rankStep(a, queueOf(a), now) - rankStep(b, queueOf(b), now));
 * ```
 *
 * @module
 */

import type { QueueConfig } from "../configuration/mod.ts";
import type { JobSpec } from "../job/mod.ts";
import type { ReadyStep } from "./ready_steps.ts";

/** Thirty million years in ms: a priority outweighs every time. */
const RANK_PER_PRIORITY = 1e18;
/** Jobs that will be late go behind those of their priority that can still be in time. */
const LATE_RANK_OFFSET = 2e17;
/** Jobs whose time is over go behind all others of their priority. */
const EXPIRED_RANK_OFFSET = 4e17;
/** A job that took this many times its objective is worth nothing to its caller any more. */
const EXPIRY_FACTOR = 3;
/** Estimates are off by half and more: a job counts as over only when it surely is. */
const ESTIMATE_ERROR_MARGIN = 1.5;

/**
 * Ranks a step among those that wait: by its queue's priority; then jobs that can still be in time,
 * those that will be late, those that are of no use any more; within each by the time they came.
 *
 * @param step The step.
 * @param queue Its queue.
 * @param wallMs The time, in ms since 1970.
 * @returns The rank; the smallest goes first.
 */
export function rankStep(
    step: Pick<ReadyStep, "job" | "step">,
    queue: Pick<QueueConfig, "priority" | "stretch" | "targetLatencyMs">,
    wallMs: number,
): number {
    const { acceptedAt, spec } = step.job;
    const objectiveMs = computeLatencyObjectiveMs(spec, queue);
    const elapsedMs = wallMs - acceptedAt;
    const base = queue.priority * RANK_PER_PRIORITY + acceptedAt;
    if (elapsedMs > EXPIRY_FACTOR * ESTIMATE_ERROR_MARGIN * objectiveMs) {
        return base + EXPIRED_RANK_OFFSET;
    }
    const isLate = elapsedMs + computeCriticalPathMs(spec, step.step) > objectiveMs;
    return isLate ? base + LATE_RANK_OFFSET : base;
}

/**
 * Computes the time in which a job should be done, by its caller's estimates.
 *
 * @param spec The job; `undefined` when it is forgotten.
 * @param queue Its queue.
 * @returns Ms.
 */
export function computeLatencyObjectiveMs(
    spec: JobSpec | undefined,
    queue: Pick<QueueConfig, "stretch" | "targetLatencyMs">,
): number {
    const pathsMs = (spec?.steps ?? []).map((_step, i) => computeCriticalPathMs(spec, i));
    return queue.stretch * Math.max(0, ...pathsMs) + queue.targetLatencyMs;
}

/** The longest chain of steps from one on that wait for each other, in ms of their estimates. */
function computeCriticalPathMs(spec: JobSpec | undefined, from: number): number {
    const steps = spec?.steps ?? [];
    const pathsMs = new Array<number>(steps.length).fill(0);
    // Steps wait only for earlier ones, so the later ones' chains are known first.
    for (let i = steps.length - 1; i >= from; i--) {
        const dependentPathsMs = steps.map((step, k) =>
            step.after.includes(i) ? (pathsMs[k] ?? 0) : 0,
        );
        pathsMs[i] = (steps[i]?.estimateMs ?? 0) + Math.max(0, ...dependentPathsMs);
    }
    return pathsMs[from] ?? 0;
}
