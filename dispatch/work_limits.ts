/**
 * Bounds of what a job may be and of what all open jobs hold together. They keep the memory of an
 * instance and each turn of a leader's event loop bounded, whatever is submitted; `docs/CAPACITY.md`
 * has the derivation.
 *
 * @example
 * ```ts
 * import { checkJobSize, DEFAULT_WORK_LIMITS } from "./work_limits.ts";
 * const problem = checkJobSize(computeJobSize(spec), DEFAULT_WORK_LIMITS);
 * ```
 *
 * @module
 */

import type { JobSpec, StepSpec } from "../job/mod.ts";

/** Bounds of single jobs and of all open jobs together. */
export interface WorkLimits {
    /** Tasks of a job, of all its occurrences together. */
    readonly maxJobTasks: number;
    /** Steps of a job. */
    readonly maxJobSteps: number;
    /** Steps of a job, counted once for each of its occurrences. */
    readonly maxJobStepRuns: number;
    /** Dependencies between the steps of a job. */
    readonly maxJobDependencies: number;
    /** Tasks of a gang. */
    readonly maxGangTasks: number;
    /** Tasks of all open jobs. */
    readonly maxOpenTasks: number;
    /** Steps of all open jobs. */
    readonly maxOpenSteps: number;
    /** Characters in the payloads, labels, names and dependencies of all open jobs. */
    readonly maxOpenCharacters: number;
    /**
     * Tombstones that are kept. A workspace may hold as many as are free beside its own, so that one
     * alone fills half of them.
     */
    readonly maxTombstones: number;
}

/** The default bounds, for an instance with a heap of 200 MB. */
export const DEFAULT_WORK_LIMITS: WorkLimits = {
    maxJobTasks: 100_000,
    maxJobSteps: 1_000,
    maxJobStepRuns: 50_000,
    maxJobDependencies: 10_000,
    maxGangTasks: 5_000,
    maxOpenTasks: 200_000,
    maxOpenSteps: 10_000,
    maxOpenCharacters: 16_000_000,
    maxTombstones: 65_536,
};

/** What a job takes of an instance's memory and time. */
export interface JobSize {
    /** Tasks of all occurrences. */
    readonly tasks: number;
    readonly steps: number;
    /** Steps of all occurrences. */
    readonly stepRuns: number;
    readonly dependencies: number;
    /** Tasks of the largest gang; 0 if there is none. */
    readonly gangTasks: number;
    /** Characters in the payload, labels, names and dependencies. */
    readonly characters: number;
}

const CHARACTERS_PER_DEPENDENCY = 4;

/**
 * Creates bounds.
 *
 * @param overrides Bounds that differ from {@link DEFAULT_WORK_LIMITS}.
 * @returns The bounds.
 * @throws {RangeError} If a bound is not a positive integer, or if one job within its bounds exceeds
 *     those of all open jobs.
 */
export function createWorkLimits(overrides: Partial<WorkLimits> = {}): WorkLimits {
    const limits = { ...DEFAULT_WORK_LIMITS, ...overrides };
    for (const [name, value] of Object.entries(limits)) {
        if (!Number.isSafeInteger(value) || value <= 0) {
            throw new RangeError(`${name} must be a positive integer, not ${value}`);
        }
    }
    if (limits.maxJobTasks > limits.maxOpenTasks || limits.maxJobSteps > limits.maxOpenSteps) {
        throw new RangeError("one job may not hold more than all open jobs together");
    }
    return limits;
}

/**
 * Computes the size of a job.
 *
 * @param spec The job.
 * @returns Its size; a count may be infinite.
 */
export function computeJobSize({ payload, steps, repeats }: JobSpec): JobSize {
    const occurrences = Math.max(1, repeats);
    let [tasks, dependencies, gangTasks, characters] = [0, 0, 0, payload.length];
    for (const step of steps) {
        tasks += step.count;
        gangTasks = Math.max(gangTasks, step.isGang ? step.count : 0);
        dependencies += step.after.length;
        characters += countCharacters(step);
    }
    return {
        tasks: occurrences * tasks,
        steps: steps.length,
        stepRuns: occurrences * steps.length,
        dependencies,
        gangTasks,
        characters,
    };
}

/**
 * Checks a job against the bounds of single jobs.
 *
 * @param size The size of the job.
 * @param limits The bounds.
 * @returns The bound that the job exceeds, in words, or `undefined` if it is within all of them.
 */
export function checkJobSize(size: JobSize, limits: WorkLimits): string | undefined {
    return (
        checkCount("tasks", size.tasks, limits.maxJobTasks) ??
        checkCount("steps", size.steps, limits.maxJobSteps) ??
        checkCount("steps of all occurrences", size.stepRuns, limits.maxJobStepRuns) ??
        checkCount("dependencies", size.dependencies, limits.maxJobDependencies) ??
        checkCount("tasks in a gang", size.gangTasks, limits.maxGangTasks)
    );
}

/**
 * Checks a job on record, which an earlier release may have accepted, against what an instance can
 * hold.
 *
 * @param size The size of the job.
 * @param limits The bounds.
 * @returns The bound that the job exceeds, in words, or `undefined` if an instance can hold it.
 */
export function checkStoredSize(size: JobSize, limits: WorkLimits): string | undefined {
    return (
        checkCount("tasks", size.tasks, limits.maxOpenTasks) ??
        checkCount("steps", size.steps, limits.maxOpenSteps)
    );
}

function checkCount(name: string, count: number, limit: number): string | undefined {
    return count <= limit ? undefined : `too large: ${count} ${name}, at most ${limit}`;
}

function countCharacters({ requiredLabel, preferredRack, image, after }: StepSpec): number {
    const names = (requiredLabel?.length ?? 0) + (preferredRack?.length ?? 0) + image.length;
    return names + CHARACTERS_PER_DEPENDENCY * after.length;
}
