/**
 * Orders workers of unequal speed for a step. Workers that are fast enough for the step's latency
 * objective come first, the slowest of them first, so that fast workers stay free for urgent work;
 * then the others, the fastest first. No worker is excluded.
 *
 * @example
 * ```ts
 * import { computeRequiredSpeed, computeSpeedPreference } from "./speed_preference.ts";
 * const requiredSpeed = computeRequiredSpeed({ chainMs, durationRatio, objectiveMs, elapsedMs });
 * computeSpeedPreference(0.7, requiredSpeed) < computeSpeedPreference(1.7, requiredSpeed);
 * ```
 *
 * @module
 */

import { START_OVERHEAD_MS } from "./ranking.ts";

/** The state of a step, all times in ms. */
export interface SpeedDemand {
    /** Estimated duration of the longest chain of steps that begins with the step. */
    readonly chainMs: number;
    /**
     * Ratio of actual to estimated durations that most tasks of the step's queue don't exceed. With
     * the median, every second task on a worker that is just fast enough would be late.
     */
    readonly durationRatio: number;
    /** Latency objective of the job. */
    readonly objectiveMs: number;
    /** Time since the job was accepted. */
    readonly elapsedMs: number;
}

/** A worker that can run some tasks of a gang. */
export interface GangSlots {
    /** Speed relative to the pool's usual speed. */
    readonly speed: number;
    /** Number of the gang's tasks that fit on the worker. */
    readonly taskCount: number;
}

/**
 * Workers of one speed class differ by at most this factor. Smaller differences are within the
 * error of the estimated speeds, so zone and best fit decide between such workers.
 */
const SPEED_CLASS_RATIO = 1.3;
/** Makes up for the error of the estimated speeds, which is up to a class. */
const SPEED_MARGIN = SPEED_CLASS_RATIO;
const LOG_CLASS_RATIO = Math.log(SPEED_CLASS_RATIO);
/** Preference of workers that are too slow; greater than the number of classes. */
const TOO_SLOW_PREFERENCE = 1_000;

/**
 * Computes the speed at which a step must run to meet its job's latency objective.
 *
 * @param demand The step's work and the time that has passed.
 * @returns The speed relative to the pool's usual speed; infinite if no time is left.
 */
export function computeRequiredSpeed(demand: SpeedDemand): number {
    const { chainMs, durationRatio, objectiveMs, elapsedMs } = demand;
    const remainingMs = objectiveMs - elapsedMs - START_OVERHEAD_MS;
    return remainingMs > 0
        ? (SPEED_MARGIN * chainMs * durationRatio) / remainingMs
        : Number.POSITIVE_INFINITY;
}

/**
 * Computes a worker's place in the order of speeds. Workers of one class get the same value.
 *
 * @param speed The worker's speed, relative to the pool's usual speed.
 * @param requiredSpeed The speed that the step requires.
 * @returns The preference; the smallest goes first.
 */
export function computeSpeedPreference(speed: number, requiredSpeed: number): number {
    const speedClass = Math.round(Math.log(speed) / LOG_CLASS_RATIO);
    return speed >= requiredSpeed ? speedClass : TOO_SLOW_PREFERENCE - speedClass;
}

/**
 * Selects workers of one speed class for a gang, which is as late as its slowest member.
 *
 * @param slots The workers with capacity.
 * @param count The number of tasks.
 * @param requiredSpeed The speed that the step requires.
 * @returns The workers of the slowest class that is fast enough, otherwise of the fastest class;
 * `undefined` if no class has the capacity.
 */
export function selectSpeedClass<T extends GangSlots>(
    slots: readonly T[],
    count: number,
    requiredSpeed: number,
): T[] | undefined {
    const sorted = [...slots].sort((a, b) => a.speed - b.speed);
    let selected: T[] | undefined;
    let end = 0;
    let taskCount = 0;
    for (const [begin, slowest] of sorted.entries()) {
        let next = sorted[end];
        while (next !== undefined && next.speed <= slowest.speed * SPEED_CLASS_RATIO) {
            taskCount += next.taskCount;
            end += 1;
            next = sorted[end];
        }
        if (taskCount >= count) {
            selected = sorted.slice(begin, end);
            if (slowest.speed >= requiredSpeed) {
                break;
            }
        }
        taskCount -= slowest.taskCount;
    }
    return selected;
}
