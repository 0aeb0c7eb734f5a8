/**
 * Simulates three queues of unequal priority that twenty workspaces share, of which some send a
 * multiple of their usual load, or all of which send a multiple to one queue.
 *
 * @example
 * ```ts
 * import { HOT_WORKSPACE, ShareSimulation } from "./_share_simulation.ts";
 * const simulation = new ShareSimulation({ seed: 1, admission: "forecast", hotFactor: 6 });
 * simulation.run();
 * simulation.summarize(({ workspace }) => workspace !== HOT_WORKSPACE).onTimeShare;
 * ```
 *
 * @module
 */

import type { AdmissionMode } from "../admission/types.ts";
import type { QueueConfig, QueueName } from "../configuration/mod.ts";
import { createRandom } from "../tools/seeded_random.ts";
import type { WorkspaceConfig, WorkspaceName } from "../workspace/mod.ts";
import { buildQueue, buildSpec, buildWorkspace, SimulatedCluster } from "./_fixtures.ts";

interface QueueLoad {
    readonly queue: QueueConfig;
    /** Arrivals per second at {@link FULL_SIZE_WORKERS} workers. */
    readonly jobsPerSecond: number;
    readonly stepsPerJob: number;
    readonly tasksPerStep: number;
    readonly isGang: boolean;
    /** Share of the jobs whose tasks resume from checkpoints. */
    readonly checkpointFraction: number;
    readonly taskMs: number;
    /** In thousandths of a core. */
    readonly cpu: number;
}

/** A job of the simulation and how it ended. */
export interface SimulatedJob {
    readonly id: string;
    readonly queue: QueueName;
    readonly workspace: WorkspaceName;
    /** In ms since the start, like {@link SimulatedJob.completedAtMs}. */
    readonly submittedAtMs: number;
    readonly objectiveMs: number;
    completedAtMs: number;
}

/** Results of a group of jobs. */
export interface ShareSummary {
    readonly jobs: number;
    /** Share of the jobs that completed within their objective. */
    readonly onTimeShare: number;
    /** Mean value: 1 within the objective, a fifth up to three times the objective, then 0. */
    readonly meanValue: number;
}

/** Options of {@link ShareSimulation}. */
export interface ShareSimulationOptions {
    readonly seed: number;
    readonly admission: AdmissionMode;
    /** Multiple of its usual load that the first workspace sends; 1 by default. */
    readonly hotFactor?: number;
    /** Returns the multiple of a queue's usual arrivals at a time, in ms; 1 by default. */
    readonly getQueueFactor?: (queue: QueueName, atMs: number) => number;
    /** Multiple of all arrivals; 1 by default, which keeps five sixths of the workers busy. */
    readonly load?: number;
    readonly seconds?: number;
    /** Whether only the most urgent queue is used, so that priorities make no difference. */
    readonly isUrgentOnly?: boolean;
}

const FULL_SIZE_WORKERS = 245;
const WORKERS = 40;
const WORKER_CAPACITY = { cpu: 64_000, memoryMb: 256_000, gpu: 0 };
const TIME_STEP_MS = 20;
const DEFAULT_SECONDS = 40;
/** Time for the last jobs to complete, in ms. */
const TAIL_MS = 30_000;
/** Seeds a separate generator for the excess jobs. */
const EXCESS_SEED_OFFSET = 1_000_000;
/** Standard deviation of the logarithm of task durations and of the errors of their estimates. */
const DURATION_SIGMA = 0.4;
const ESTIMATE_ERROR_SIGMA = 0.3;
/** Weights are a third above the usual load, as with customers that size them for their peaks. */
const WEIGHT_FACTOR = 4 / 3;
/** Usual shares of the load: three large workspaces and seventeen small ones. */
const WORKSPACE_SHARES = Array.from({ length: 20 }, (_unused, i) => (i < 3 ? 0.12 : 0.64 / 17));

/** The workspace that sends {@link ShareSimulationOptions.hotFactor} times its usual load. */
export const HOT_WORKSPACE = "workspace-0" as WorkspaceName;
export const GANG_QUEUE = "weekly-plan" as QueueName;
export const URGENT_QUEUE = "label-run" as QueueName;
const QUEUE_LOADS: readonly QueueLoad[] = [
    {
        queue: buildQueue({
            name: GANG_QUEUE,
            pathPrefix: "/w/",
            priority: 1,
            stretch: 2.2,
            targetLatencyMs: 1_000,
        }),
        jobsPerSecond: 2.5,
        stepsPerJob: 1.2,
        tasksPerStep: 16,
        isGang: true,
        checkpointFraction: 0.5,
        taskMs: 6_200,
        cpu: 18_000,
    },
    {
        queue: buildQueue({
            name: "diet-check" as QueueName,
            pathPrefix: "/d/",
            priority: 2,
            stretch: 4,
            targetLatencyMs: 3_000,
        }),
        jobsPerSecond: 7.2,
        stepsPerJob: 1.5,
        tasksPerStep: 25,
        isGang: false,
        checkpointFraction: 0.8,
        taskMs: 3_400,
        cpu: 6_900,
    },
    {
        queue: buildQueue({ name: URGENT_QUEUE, stretch: 1.5, targetLatencyMs: 300 }),
        jobsPerSecond: 57.8,
        stepsPerJob: 1,
        tasksPerStep: 3,
        isGang: false,
        checkpointFraction: 0,
        taskMs: 800,
        cpu: 9_900,
    },
];

/** One run, determined by its options. */
export class ShareSimulation {
    readonly #options: ShareSimulationOptions;
    /** Determines the usual jobs, which are the same whatever a hot workspace sends. */
    readonly #usualRandom: () => number;
    readonly #excessRandom: () => number;
    readonly #taskDurationsMs = new Map<string, number>();
    readonly #openJobs = new Map<string, SimulatedJob>();
    readonly #workspaces: readonly WorkspaceConfig[];
    readonly #queueLoads: readonly QueueLoad[];
    readonly cluster: SimulatedCluster;
    readonly jobs: SimulatedJob[] = [];

    /**
     * @param options Load, seed and setting; see {@link ShareSimulationOptions}.
     */
    constructor(options: ShareSimulationOptions) {
        this.#options = options;
        this.#usualRandom = createRandom(options.seed);
        this.#excessRandom = createRandom(options.seed + EXCESS_SEED_OFFSET);
        const { load = 1, isUrgentOnly = false } = options;
        this.#queueLoads = QUEUE_LOADS.filter(
            ({ queue }) => !isUrgentOnly || queue.name === URGENT_QUEUE,
        );
        const jobsPerSecond =
            load * this.#queueLoads.reduce((sum, queueLoad) => sum + queueLoad.jobsPerSecond, 0);
        this.#workspaces = WORKSPACE_SHARES.map((share, i) =>
            buildWorkspace({
                name: `workspace-${i}` as WorkspaceName,
                weight: (WEIGHT_FACTOR * share * jobsPerSecond * WORKERS) / FULL_SIZE_WORKERS,
            }),
        );
        this.cluster = new SimulatedCluster({
            workers: WORKERS,
            hasInvariantChecks: false,
            admission: options.admission,
            queues: this.#queueLoads.map(({ queue }) => queue),
            workspaces: this.#workspaces,
            capacity: WORKER_CAPACITY,
            computeTaskMs: (task) => this.#taskDurationsMs.get(task.slice(0, 16)) ?? 1_000,
        });
    }

    /** Submits jobs for the given time and waits for the last ones to complete. */
    run(): void {
        const { seconds = DEFAULT_SECONDS } = this.#options;
        this.cluster.runFor(2_000);
        const startedAtMs = this.cluster.now;
        const endsAtMs = startedAtMs + seconds * 1_000;
        while (this.cluster.now < endsAtMs + TAIL_MS) {
            if (this.cluster.now < endsAtMs) {
                this.#submitDueJobs(this.cluster.now - startedAtMs);
            }
            this.cluster.runFor(TIME_STEP_MS);
            this.#recordCompletions();
        }
    }

    /**
     * Summarizes a group of jobs.
     *
     * @param isCounted Whether a job belongs to the group.
     * @returns Its results.
     */
    summarize(isCounted: (job: SimulatedJob) => boolean): ShareSummary {
        const counted = this.jobs.filter((job) => isCounted(job));
        const countWithin = (factor: number): number =>
            counted.filter(
                ({ submittedAtMs, completedAtMs, objectiveMs }) =>
                    completedAtMs - submittedAtMs <= factor * objectiveMs,
            ).length;
        const jobs = Math.max(1, counted.length);
        const onTime = countWithin(1);
        const meanValue = (onTime + 0.2 * (countWithin(3) - onTime)) / jobs;
        return { jobs: counted.length, onTimeShare: onTime / jobs, meanValue };
    }

    #submitDueJobs(atMs: number): void {
        const { load = 1, hotFactor = 1, getQueueFactor = () => 1 } = this.#options;
        for (const queueLoad of this.#queueLoads) {
            const usualJobs =
                (queueLoad.jobsPerSecond * load * WORKERS * TIME_STEP_MS) /
                (FULL_SIZE_WORKERS * 1_000);
            const factor = getQueueFactor(queueLoad.queue.name, atMs);
            WORKSPACE_SHARES.forEach((share, i) => {
                this.#submitJobs(queueLoad, i, usualJobs * factor * share, this.#usualRandom);
            });
            const excess = usualJobs * factor * (hotFactor - 1) * (WORKSPACE_SHARES[0] ?? 0);
            this.#submitJobs(queueLoad, 0, excess, this.#excessRandom);
        }
    }

    /** Submits a number of jobs with the given mean. */
    #submitJobs(load: QueueLoad, workspace: number, mean: number, random: () => number): void {
        const count = Math.floor(mean) + (random() < mean % 1 ? 1 : 0);
        for (let i = 0; i < count; i++) {
            this.#submitJob(load, workspace, random);
        }
    }

    #submitJob(load: QueueLoad, workspaceIndex: number, random: () => number): void {
        const { name = "" as WorkspaceName } = this.#workspaces[workspaceIndex] ?? {};
        const id = (this.jobs.length + 1).toString(16).padStart(16, "0");
        const { queue } = load;
        const taskMs = load.taskMs * takeFactor(random, DURATION_SIGMA);
        const estimateMs = taskMs * takeFactor(random, ESTIMATE_ERROR_SIGMA);
        const savesProgress = random() < load.checkpointFraction;
        const stepCount = 1 + (random() < load.stepsPerJob % 1 ? 1 : 0);
        const steps = Array.from({ length: stepCount }, (_unused, i) => ({
            count: Math.max(1, Math.round(load.tasksPerStep * takeFactor(random, DURATION_SIGMA))),
            needs: { cpu: load.cpu, memoryMb: 1_000, gpu: 0 },
            estimateMs,
            isGang: load.isGang,
            savesProgress,
            after: i === 0 ? [] : [i - 1],
        }));
        this.#taskDurationsMs.set(id, taskMs);
        const job: SimulatedJob = {
            id,
            queue: queue.name,
            workspace: name,
            submittedAtMs: this.cluster.now,
            objectiveMs: queue.stretch * stepCount * taskMs + queue.targetLatencyMs,
            completedAtMs: Number.POSITIVE_INFINITY,
        };
        this.jobs.push(job);
        this.#openJobs.set(id, job);
        this.cluster.submit(id, buildSpec(...steps), queue.name, name);
    }

    #recordCompletions(): void {
        for (const [id, job] of this.#openJobs) {
            if (this.cluster.getJobState(id) === "complete") {
                job.completedAtMs = this.cluster.now;
                this.#openJobs.delete(id);
            }
        }
    }
}

/** Draws a factor with a mean of 1 from a log-normal distribution. */
function takeFactor(random: () => number, sigma: number): number {
    const [a, b] = [Math.max(1e-9, random()), random()];
    const normal = Math.sqrt(-2 * Math.log(a)) * Math.cos(2 * Math.PI * b);
    return Math.exp(sigma * normal - (sigma * sigma) / 2);
}
