/**
 * Ranks waiting steps. In an overload, first-come-first-served order would make every job late, so
 * jobs that can still meet their latency objective go first.
 *
 * @example
 * ```ts
 * import { rankStep } from "./ranking.ts";
 * steps.sort((a, b) => rankStep(a, queue, wallTimeMs) - rankStep(b, queue, wallTimeMs));
 * ```
 *
 * @module
 */

import type { QueueConfig } from "../configuration/mod.ts";
import type { Job, JobSpec, StepSpec } from "../job/mod.ts";
import type { ShareClass } from "../workspace/mod.ts";
import type { ReadyStep } from "./ready_steps.ts";

/** What the rank of a step depends on beside the step and its queue. */
export interface ShareRankOptions {
    /** The current time, in ms since the Unix epoch. */
    readonly wallTimeMs: number;
    /** The class of the step's job. */
    readonly share: ShareClass;
    /** Median of actual to estimated durations of the queue; 1 by default. */
    readonly medianRatio?: number;
}

/** A step of a job, as far as its rank depends on it. */
export interface RankedWork {
    readonly job: Pick<Job, "acceptedAt" | "spec">;
    readonly step: number;
    readonly occurrence: number;
    readonly spec: StepSpec;
}

/** Rank distance between two priorities; larger than any timestamp and offset. */
const RANK_PER_PRIORITY = 1e18;
/** Offset of jobs that will miss their latency objective. */
const LATE_RANK_OFFSET = 2e17;
/** Offset of jobs that have expired. */
const EXPIRED_RANK_OFFSET = 4e17;
/**
 * Multiple of its latency objective after which a job has expired: it is worth nothing to its
 * caller any more.
 */
const EXPIRY_FACTOR = 3;
/**
 * Tolerance for wrong estimates, which are off by half and more, before a job counts as expired.
 */
const ESTIMATE_ERROR_MARGIN = 1.5;

/**
 * Ranks a waiting step: by the priority of its queue; then jobs that can meet their latency
 * objective, jobs that will miss it and expired jobs; then by submission time.
 *
 * @param step The step.
 * @param queue Its queue.
 * @param wallTimeMs The current time, in ms since the Unix epoch.
 * @returns The rank; the smallest goes first.
 */
export function rankStep(
    step: Pick<ReadyStep, "job" | "step">,
    queue: Pick<QueueConfig, "priority" | "stretch" | "targetLatencyMs">,
    wallTimeMs: number,
): number {
    const { acceptedAt, spec } = step.job;
    const objectiveMs = computeLatencyObjectiveMs(spec, queue);
    const elapsedMs = wallTimeMs - acceptedAt;
    const base = queue.priority * RANK_PER_PRIORITY + acceptedAt;
    if (elapsedMs > EXPIRY_FACTOR * ESTIMATE_ERROR_MARGIN * objectiveMs) {
        return base + EXPIRED_RANK_OFFSET;
    }
    const isLate = elapsedMs + computeCriticalPathMs(spec, step.step) > objectiveMs;
    return isLate ? base + LATE_RANK_OFFSET : base;
}

/**
 * Time from the decision to start a task until it runs, in ms: the commit and the start order. A
 * step that could only just be on time without it is late by it.
 */
export const START_OVERHEAD_MS = 150;
/**
 * Rank distance between two groups of {@link rankStepByShare}. Three groups stay below 2^53, so
 * that timestamps keep their resolution of 1 ms.
 */
const RANK_PER_GROUP = 3e15;
/** Rank distance between two priorities of one group. */
const GROUP_RANK_PER_PRIORITY = 2e13;
/** Offset of late jobs of one priority; larger than any timestamp. */
const GROUP_LATE_RANK_OFFSET = 1e13;
/** Priorities beyond this magnitude rank alike, so that they stay within their group. */
const MAX_RANKED_PRIORITY = 70;

/**
 * Ranks a waiting step by the share of its workspace as well: steps of entitled jobs, then those of
 * borrowed jobs, then those of expired jobs. Within a group, the order is by priority, then by
 * whether the job can be on time, then by age. Late work keeps its priority: an urgent job that is
 * late is still worth a fifth, and its queue is the first to recover after a burst.
 *
 * @param step The step.
 * @param queue Its queue.
 * @param options Time, class and ratio; see {@link ShareRankOptions}.
 * @returns The rank; the smallest goes first.
 */
export function rankStepByShare(
    step: RankedWork,
    queue: Pick<QueueConfig, "priority" | "stretch" | "targetLatencyMs">,
    { wallTimeMs, share, medianRatio = 1 }: ShareRankOptions,
): number {
    const dueAtMs = computeDueAtMs(step);
    const priority = Math.max(-MAX_RANKED_PRIORITY, Math.min(MAX_RANKED_PRIORITY, queue.priority));
    const base = (priority + MAX_RANKED_PRIORITY) * GROUP_RANK_PER_PRIORITY + dueAtMs;
    const lateness = classifyLateness(step, queue, wallTimeMs - dueAtMs, medianRatio);
    if (lateness === "expired") {
        return base + 2 * RANK_PER_GROUP;
    }
    const groupBase = share === "borrowed" ? base + RANK_PER_GROUP : base;
    return lateness === "late" ? groupBase + GROUP_LATE_RANK_OFFSET : groupBase;
}

/**
 * Returns whether a rank by share is of an entitled job that can be on time.
 *
 * @param rank A rank of {@link rankStepByShare}.
 * @returns False for late, borrowed and expired jobs.
 */
export function isEntitledOnTime(rank: number): boolean {
    return rank < RANK_PER_GROUP && rank % GROUP_RANK_PER_PRIORITY < GROUP_LATE_RANK_OFFSET;
}

/**
 * Returns whether a rank by share is behind those of all entitled jobs that have not expired.
 *
 * @param rank A rank of {@link rankStepByShare}.
 * @returns True for borrowed and expired jobs.
 */
export function isBehindEntitled(rank: number): boolean {
    return rank >= RANK_PER_GROUP;
}

/**
 * Computes the position of a rank by share among the groups, priorities and late classes, without
 * the age within its class.
 *
 * @param rank A rank of {@link rankStepByShare}.
 * @returns A small integer; the smallest goes first.
 */
export function computeRankClass(rank: number): number {
    return Math.floor(rank / GROUP_LATE_RANK_OFFSET);
}

/**
 * Returns when the work of a step was due: when its job was accepted, or when its occurrence was to
 * begin. Measured from the acceptance, every later occurrence of a repeating job would be expired.
 *
 * @param work The step's job and occurrence.
 * @returns The time, in ms since the Unix epoch.
 */
export function computeDueAtMs({
    job,
    occurrence,
}: Pick<RankedWork, "job" | "occurrence">): number {
    const { acceptedAt, spec } = job;
    return spec === undefined || spec.repeats === 0
        ? acceptedAt
        : Math.max(acceptedAt, spec.firstAtMs + occurrence * spec.periodMs);
}

function classifyLateness(
    { job, step, spec }: Pick<RankedWork, "job" | "step" | "spec">,
    queue: Pick<QueueConfig, "stretch" | "targetLatencyMs">,
    elapsedMs: number,
    medianRatio: number,
): "onTime" | "late" | "expired" {
    if (spec.isPerpetual) {
        // A task that runs until it is cancelled has no end that could be late.
        return "onTime";
    }
    const objectiveMs = computeLatencyObjectiveMs(job.spec, queue, medianRatio);
    if (elapsedMs > EXPIRY_FACTOR * objectiveMs) {
        return "expired";
    }
    // The median stands on both sides: a job that takes longer has a later objective as well, so a
    // cautious estimate of its duration alone would take most jobs of a noisy queue for late.
    const remainingMs = medianRatio * computeCriticalPathMs(job.spec, step) + START_OVERHEAD_MS;
    return elapsedMs + remainingMs > objectiveMs ? "late" : "onTime";
}

/**
 * Computes the latency objective of a job from the caller's estimates.
 *
 * @param spec The job; `undefined` if it is no longer stored.
 * @param queue Its queue.
 * @param medianRatio Factor by which the queue's tasks usually differ from their estimates.
 * @returns The objective, in ms.
 */
export function computeLatencyObjectiveMs(
    spec: JobSpec | undefined,
    queue: Pick<QueueConfig, "stretch" | "targetLatencyMs">,
    medianRatio = 1,
): number {
    const { longestMs } = getCriticalPaths(spec);
    return queue.stretch * medianRatio * longestMs + queue.targetLatencyMs;
}

/**
 * Computes the estimated duration of the longest chain of dependent steps that begins with a step.
 *
 * @param spec The job; `undefined` if it is no longer stored.
 * @param from The index of the step.
 * @returns The duration, in ms.
 */
export function computeCriticalPathMs(spec: JobSpec | undefined, from: number): number {
    return getCriticalPaths(spec).pathsMs[from] ?? 0;
}

/** The critical paths of a job. */
interface CriticalPaths {
    /** The estimated duration of the longest chain that begins with each step, in ms. */
    readonly pathsMs: readonly number[];
    /** The longest of them, in ms. */
    readonly longestMs: number;
}

const NO_PATHS: CriticalPaths = { pathsMs: [], longestMs: 0 };
/** Specs don't change, and steps are ranked many times a second. */
const pathsBySpec = new WeakMap<JobSpec, CriticalPaths>();

function getCriticalPaths(spec: JobSpec | undefined): CriticalPaths {
    if (spec === undefined) {
        return NO_PATHS;
    }
    const known = pathsBySpec.get(spec);
    if (known !== undefined) {
        return known;
    }
    const paths = computeCriticalPaths(spec);
    pathsBySpec.set(spec, paths);
    return paths;
}

function computeCriticalPaths({ steps }: JobSpec): CriticalPaths {
    const pathsMs = new Array<number>(steps.length).fill(0);
    let longestMs = 0;
    // Steps depend only on earlier ones, so a step's path is complete once all later ones are.
    for (let i = steps.length - 1; i >= 0; i--) {
        const pathMs = (pathsMs[i] ?? 0) + (steps[i]?.estimateMs ?? 0);
        pathsMs[i] = pathMs;
        longestMs = Math.max(longestMs, pathMs);
        for (const before of steps[i]?.after ?? []) {
            pathsMs[before] = Math.max(pathsMs[before] ?? 0, pathMs);
        }
    }
    return { pathsMs, longestMs };
}
