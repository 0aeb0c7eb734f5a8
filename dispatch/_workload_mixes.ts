/**
 * The workload mixes of the simulation: arrival rates, job sizes, cluster size and workspaces.
 *
 * @example
 * ```ts
 * import { SHARED_FLOOR_MIX } from "./_workload_mixes.ts";
 * const { workloads } = SHARED_FLOOR_MIX;
 * ```
 *
 * @module
 */

import type { QueueConfig, QueueName } from "../configuration/mod.ts";
import type { Resources } from "../job/mod.ts";
import { buildQueue } from "./_builders.ts";

/** A log-normal distribution, truncated at `max`. */
export interface LogNormal {
    readonly mean: number;
    /** Standard deviation of the logarithm. */
    readonly sigma: number;
    readonly max: number;
}

/** Arrival rate and job size distributions of one queue. */
export interface QueueWorkload {
    readonly queue: QueueConfig;
    /** Arrival rate that saturates a cluster of {@link WorkloadMix.baselineWorkers} workers. */
    readonly jobsPerSecond: number;
    readonly tasksPerStep: LogNormal;
    readonly cpu: LogNormal;
    readonly memoryMb: LogNormal;
    readonly taskMs: LogNormal;
    readonly stepsPerJob: number;
    readonly gangFraction: number;
    readonly checkpointFraction: number;
    /** Fraction of the workers that advice admits to a step. */
    readonly eligibleFraction: number;
    /** Standard deviation of the logarithm of the estimation error; 0.6 by default. */
    readonly estimateErrorSigma?: number;
}

/** Limits of a uniform distribution. */
export interface Range {
    readonly min: number;
    readonly max: number;
}

/** Periods of some seconds in which more jobs arrive than usual. */
export interface Surges {
    /** Time from one period to the next, in ms; each begins at random within it. */
    readonly intervalMs: number;
    readonly durationMs: Range;
    /** Multiple at which one queue's jobs arrive; the usual rate by default. */
    readonly queueFactor?: Range | undefined;
    /** Number of workspaces that send more, and the multiple; none by default. */
    readonly hotWorkspaces?: { readonly count: Range; readonly factor: Range } | undefined;
}

/** Tasks that take a multiple of the usual time. */
export interface SlowTasks {
    readonly fraction: number;
    readonly factor: number;
}

/** Everything that arrives at a deployment, and its size. */
export interface WorkloadMix {
    /** Workers and fronts of the deployment that the arrival rates were taken from. */
    readonly baselineWorkers: number;
    readonly baselineFronts: number;
    readonly workerCapacity: Resources;
    readonly workloads: readonly QueueWorkload[];
    /** Share of the jobs of each workspace; empty for a deployment without workspaces. */
    readonly workspaceShares: readonly number[];
    /**
     * Limit of a workspace, as a multiple of its share of the cluster's CPU, and a minimum; 0 for no
     * limit.
     */
    readonly limitFactor: number;
    readonly minLimitFraction: number;
    /** Latency of a commit, in ms; 12 by default. */
    readonly commitDelayMs?: number;
    /** None by default. */
    readonly surges?: Surges | undefined;
    /**
     * Speeds of the workers, each equally frequent; by default, every third worker takes 1.3 times
     * as long as the others.
     */
    readonly workerSpeeds?: readonly number[] | undefined;
    /** None by default. */
    readonly slowTasks?: SlowTasks | undefined;
}

const LARGE_FLEET_WORKLOADS: readonly QueueWorkload[] = [
    {
        queue: buildQueue({
            name: "composites" as QueueName,
            pathPrefix: "/c/",
            priority: 1,
            stretch: 2.2,
            targetLatencyMs: 1_000,
            advice: { decideMs: 507, perWorkerMs: 7.28, validMs: 2_500 },
        }),
        jobsPerSecond: 6.9,
        tasksPerStep: { mean: 20, sigma: 0.7, max: 120 },
        cpu: { mean: 4_500, sigma: 0.4, max: 7_600 },
        memoryMb: { mean: 13_000, sigma: 0.45, max: 26_000 },
        taskMs: { mean: 4_000, sigma: 0.45, max: 10_000 },
        stepsPerJob: 1.2,
        gangFraction: 1,
        checkpointFraction: 0.5,
        eligibleFraction: 0.35,
    },
    {
        queue: buildQueue({
            name: "variants" as QueueName,
            pathPrefix: "/v/",
            priority: 2,
            stretch: 4,
            targetLatencyMs: 3_000,
            advice: { decideMs: 182, perWorkerMs: 2.6, validMs: 2_500 },
        }),
        jobsPerSecond: 9.2,
        tasksPerStep: { mean: 19, sigma: 0.55, max: 96 },
        cpu: { mean: 2_800, sigma: 0.42, max: 8_300 },
        memoryMb: { mean: 7_900, sigma: 0.55, max: 24_000 },
        taskMs: { mean: 2_700, sigma: 0.45, max: 6_800 },
        stepsPerJob: 1.5,
        gangFraction: 0,
        checkpointFraction: 0.8,
        eligibleFraction: 0.45,
    },
    {
        queue: buildQueue({
            name: "previews" as QueueName,
            stretch: 1.5,
            targetLatencyMs: 250,
            advice: { decideMs: 20.8, perWorkerMs: 0.3, validMs: 2_500 },
        }),
        jobsPerSecond: 81.6,
        tasksPerStep: { mean: 3.1, sigma: 0.7, max: 19 },
        cpu: { mean: 3_900, sigma: 0.42, max: 12_000 },
        memoryMb: { mean: 11_000, sigma: 0.55, max: 34_000 },
        taskMs: { mean: 800, sigma: 0.45, max: 2_000 },
        stepsPerJob: 1,
        gangFraction: 0.3,
        checkpointFraction: 0,
        eligibleFraction: 0.7,
    },
];

/** Many small workers, without workspaces. */
export const LARGE_FLEET_MIX: WorkloadMix = {
    baselineWorkers: 380,
    baselineFronts: 97,
    workerCapacity: { cpu: 16_000, memoryMb: 65_536, gpu: 0 },
    workloads: LARGE_FLEET_WORKLOADS,
    workspaceShares: [],
    limitFactor: 0,
    minLimitFraction: 0,
};

const SHARED_FLOOR_WORKLOADS: readonly QueueWorkload[] = [
    {
        queue: buildQueue({
            name: "composites" as QueueName,
            pathPrefix: "/c/",
            priority: 1,
            stretch: 2.2,
            targetLatencyMs: 1_000,
            advice: { decideMs: 799, perWorkerMs: 8.06, validMs: 2_500 },
        }),
        jobsPerSecond: 2.96,
        tasksPerStep: { mean: 16, sigma: 0.6, max: 80 },
        cpu: { mean: 9_000, sigma: 0.4, max: 15_000 },
        memoryMb: { mean: 18_000, sigma: 0.5, max: 37_000 },
        taskMs: { mean: 6_200, sigma: 0.5, max: 16_000 },
        stepsPerJob: 1.2,
        gangFraction: 1,
        checkpointFraction: 0.5,
        eligibleFraction: 0.35,
    },
    {
        queue: buildQueue({
            name: "variants" as QueueName,
            pathPrefix: "/v/",
            priority: 2,
            stretch: 4,
            targetLatencyMs: 3_000,
            advice: { decideMs: 149, perWorkerMs: 1.43, validMs: 2_500 },
        }),
        jobsPerSecond: 13.3,
        tasksPerStep: { mean: 25, sigma: 0.8, max: 150 },
        cpu: { mean: 3_500, sigma: 0.45, max: 10_000 },
        memoryMb: { mean: 10_000, sigma: 0.6, max: 30_000 },
        taskMs: { mean: 2_200, sigma: 0.5, max: 5_400 },
        stepsPerJob: 1.5,
        gangFraction: 0,
        checkpointFraction: 0.8,
        eligibleFraction: 0.45,
    },
    {
        queue: buildQueue({
            name: "previews" as QueueName,
            stretch: 1.5,
            targetLatencyMs: 250,
            advice: { decideMs: 16.7, perWorkerMs: 0.169, validMs: 2_500 },
        }),
        jobsPerSecond: 68.7,
        tasksPerStep: { mean: 3.2, sigma: 0.8, max: 19 },
        cpu: { mean: 5_000, sigma: 0.45, max: 15_000 },
        memoryMb: { mean: 14_000, sigma: 0.6, max: 43_000 },
        taskMs: { mean: 800, sigma: 0.5, max: 2_000 },
        stepsPerJob: 1,
        gangFraction: 0.3,
        checkpointFraction: 0,
        eligibleFraction: 0.7,
    },
];

/** Large workers and wide gangs, shared by workspaces of uneven size with limits. */
export const SHARED_FLOOR_MIX: WorkloadMix = {
    baselineWorkers: 245,
    baselineFronts: 41,
    workerCapacity: { cpu: 32_000, memoryMb: 131_072, gpu: 0 },
    workloads: SHARED_FLOOR_WORKLOADS,
    workspaceShares: Array.from({ length: 20 }, (_unused, i) => (i < 3 ? 0.12 : 0.64 / 17)),
    limitFactor: 1.5,
    minLimitFraction: 0.06,
};

const CROWDED_WORKLOADS: readonly QueueWorkload[] = [
    {
        queue: buildQueue({
            name: "weekly-plan" as QueueName,
            pathPrefix: "/w/",
            priority: 1,
            stretch: 2.2,
            targetLatencyMs: 1_000,
            advice: { decideMs: 799, perWorkerMs: 8.06, validMs: 2_500 },
        }),
        jobsPerSecond: 2.84,
        tasksPerStep: { mean: 16, sigma: 0.6, max: 80 },
        cpu: { mean: 18_000, sigma: 0.4, max: 30_000 },
        memoryMb: { mean: 36_000, sigma: 0.5, max: 74_000 },
        taskMs: { mean: 6_200, sigma: 0.5, max: 16_000 },
        stepsPerJob: 1.2,
        gangFraction: 1,
        checkpointFraction: 0.5,
        eligibleFraction: 0.35,
    },
    {
        queue: buildQueue({
            name: "diet-check" as QueueName,
            pathPrefix: "/d/",
            priority: 2,
            stretch: 4,
            targetLatencyMs: 3_000,
            advice: { decideMs: 149, perWorkerMs: 1.43, validMs: 2_500 },
        }),
        jobsPerSecond: 8.19,
        tasksPerStep: { mean: 25, sigma: 0.8, max: 150 },
        cpu: { mean: 6_900, sigma: 0.45, max: 20_000 },
        memoryMb: { mean: 20_000, sigma: 0.6, max: 60_000 },
        taskMs: { mean: 3_400, sigma: 0.5, max: 8_300 },
        stepsPerJob: 1.5,
        gangFraction: 0,
        checkpointFraction: 0.8,
        eligibleFraction: 0.45,
    },
    {
        queue: buildQueue({
            name: "label-run" as QueueName,
            pathPrefix: "/l/",
            stretch: 1.5,
            targetLatencyMs: 300,
            advice: { decideMs: 16.7, perWorkerMs: 0.169, validMs: 2_500 },
        }),
        jobsPerSecond: 65.8,
        tasksPerStep: { mean: 3, sigma: 0.8, max: 19 },
        cpu: { mean: 9_900, sigma: 0.45, max: 30_000 },
        memoryMb: { mean: 28_000, sigma: 0.6, max: 86_000 },
        taskMs: { mean: 800, sigma: 0.5, max: 2_000 },
        stepsPerJob: 1,
        gangFraction: 0.3,
        checkpointFraction: 0,
        eligibleFraction: 0.7,
    },
];

/**
 * Customer A of `docs/design/overload-and-uneven-workers.md`: callers compete for too little
 * capacity. The rates of that page are a load of 0.88; spreads, advice and memory are those of
 * {@link SHARED_FLOOR_MIX}, scaled to the larger workers.
 */
export const CROWDED_MIX: WorkloadMix = {
    baselineWorkers: 245,
    baselineFronts: 43,
    workerCapacity: { cpu: 64_000, memoryMb: 262_144, gpu: 0 },
    workloads: CROWDED_WORKLOADS,
    workspaceShares: SHARED_FLOOR_MIX.workspaceShares,
    limitFactor: 0,
    minLimitFraction: 0,
    // A start takes 150 ms, as on that page: two commits and 30 ms for advice.
    commitDelayMs: 60,
    surges: {
        intervalMs: 16_000,
        durationMs: { min: 4_000, max: 6_000 },
        queueFactor: { min: 1.5, max: 2.5 },
        hotWorkspaces: { count: { min: 1, max: 3 }, factor: { min: 4, max: 7.5 } },
    },
};

const UNEVEN_WORKLOADS: readonly QueueWorkload[] = [
    {
        queue: buildQueue({
            name: "catalogue-reindex" as QueueName,
            pathPrefix: "/r/",
            priority: 1,
            stretch: 2.2,
            targetLatencyMs: 1_000,
            advice: { decideMs: 507, perWorkerMs: 7.28, validMs: 2_500 },
        }),
        jobsPerSecond: 3.94,
        tasksPerStep: { mean: 20, sigma: 0.7, max: 120 },
        cpu: { mean: 4_500, sigma: 0.4, max: 7_600 },
        memoryMb: { mean: 13_000, sigma: 0.45, max: 26_000 },
        taskMs: { mean: 4_200, sigma: 0.45, max: 10_500 },
        stepsPerJob: 1.2,
        gangFraction: 1,
        checkpointFraction: 0.5,
        eligibleFraction: 0.35,
        estimateErrorSigma: 0.2,
    },
    {
        queue: buildQueue({
            name: "gallery-render" as QueueName,
            pathPrefix: "/g/",
            priority: 2,
            stretch: 4,
            targetLatencyMs: 3_000,
            advice: { decideMs: 182, perWorkerMs: 2.6, validMs: 2_500 },
        }),
        jobsPerSecond: 10.3,
        tasksPerStep: { mean: 25, sigma: 0.55, max: 126 },
        cpu: { mean: 1_700, sigma: 0.42, max: 5_000 },
        memoryMb: { mean: 4_800, sigma: 0.55, max: 14_500 },
        taskMs: { mean: 1_900, sigma: 0.45, max: 4_800 },
        stepsPerJob: 1.5,
        gangFraction: 0,
        checkpointFraction: 0.8,
        eligibleFraction: 0.45,
        estimateErrorSigma: 0.9,
    },
    {
        queue: buildQueue({
            name: "ad-check" as QueueName,
            pathPrefix: "/a/",
            stretch: 1.5,
            targetLatencyMs: 250,
            advice: { decideMs: 20.8, perWorkerMs: 0.3, validMs: 2_500 },
        }),
        jobsPerSecond: 73.7,
        tasksPerStep: { mean: 3, sigma: 0.7, max: 19 },
        cpu: { mean: 2_500, sigma: 0.42, max: 7_700 },
        memoryMb: { mean: 7_000, sigma: 0.55, max: 21_700 },
        taskMs: { mean: 850, sigma: 0.45, max: 2_100 },
        stepsPerJob: 1,
        gangFraction: 0.3,
        checkpointFraction: 0,
        eligibleFraction: 0.7,
        estimateErrorSigma: 0.2,
    },
];

/**
 * Customer B of `docs/design/overload-and-uneven-workers.md`: workers of unequal speed without
 * labels. The rates of that page are a load of 0.74; spreads, advice and memory are those of
 * {@link LARGE_FLEET_MIX}.
 */
export const UNEVEN_MIX: WorkloadMix = {
    baselineWorkers: 246,
    baselineFronts: 63,
    workerCapacity: { cpu: 16_000, memoryMb: 65_536, gpu: 0 },
    workloads: UNEVEN_WORKLOADS,
    workspaceShares: [],
    limitFactor: 0,
    minLimitFraction: 0,
    // That page states that a third of the urgent jobs are late at all times. On the slow workers they
    // end close to their objective: 0.15 are late with 115 ms, 0.3 with 125 ms.
    commitDelayMs: 125,
    workerSpeeds: [0.7, 0.7, 1.7],
    slowTasks: { fraction: 0.03, factor: 7 },
};
