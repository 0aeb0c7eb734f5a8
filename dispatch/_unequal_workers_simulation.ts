/**
 * Runs three queues on a simulated cluster of workers of which two thirds run at 0.7 and one third
 * at 1.7 times the usual speed, with no label to say which.
 *
 * @example
 * ```ts
 * import { UnequalWorkersSimulation } from "./_unequal_workers_simulation.ts";
 * const simulation = new UnequalWorkersSimulation({ workers: 36, seed: 1 });
 * simulation.run(20);
 * simulation.computeShareOnTime("ad-check");
 * ```
 *
 * @module
 */

import type { QueueConfig, QueueName } from "../configuration/mod.ts";
import { DurationModel } from "../estimation/mod.ts";
import { computeHash } from "../hashing/mod.ts";
import type { StepSpec, WorkerId } from "../job/mod.ts";
import { createRandom } from "../tools/seeded_random.ts";
import { buildQueue, buildSpec, SimulatedCluster } from "./_fixtures.ts";

/** Options of {@link UnequalWorkersSimulation}. */
export interface UnequalWorkersOptions {
    readonly workers: number;
    readonly seed: number;
    /** Multiple of the usual arrival rates; 1 by default. */
    readonly load?: number;
    /** Whether learned speeds count (default); otherwise the order is that of equal workers. */
    readonly isSpeedUsed?: boolean;
    /** Whether the queues have an advice policy; no by default. */
    readonly hasAdvice?: boolean;
    /** Returns a worker's speed; a third are fast by default. */
    readonly getSpeed?: (worker: WorkerId) => number;
}

interface Traffic {
    readonly queue: QueueConfig;
    /** For {@link REFERENCE_WORKERS} workers. */
    readonly jobsPerSecond: number;
    readonly taskMs: number;
    readonly stepsPerJob: number;
    /** Standard deviation of the logarithm of the estimates' error. */
    readonly estimateError: number;
    readonly step: Partial<StepSpec>;
}

interface SubmittedJob {
    readonly queue: QueueName;
    readonly submittedAtMs: number;
    readonly objectiveMs: number;
    readonly taskMs: number;
}

const REFERENCE_WORKERS = 246;
const SLOW_SPEED = 0.7;
const FAST_SPEED = 1.7;
const TIME_STEP_MS = 50;
/**
 * Duration of a commit, in ms. A job waits for three of them, so with the polls it spends somewhat
 * more time outside its tasks than the urgent queue's objective leaves on a slow worker.
 */
const COMMIT_MS = 100;
/** Standard deviation of the logarithm of the jobs' durations. */
const DURATION_SIGMA = 0.3;
/** Share of the tasks that take longer, and how many times as long. */
const OUTLIER_SHARE = 0.03;
const OUTLIER_FACTOR = 7;
/** Jobs submitted this close to the end have no time to complete and are not counted, in ms. */
const EXCLUDED_TAIL_MS = 5_000;
/** Jobs submitted while the speeds are still being learned are not counted, in ms. */
const LEARNING_MS = 10_000;

const TRAFFIC: readonly Traffic[] = [
    {
        queue: buildQueue({
            name: "catalogue-reindex" as QueueName,
            pathPrefix: "/c/",
            priority: 1,
            stretch: 2.2,
            targetLatencyMs: 1_000,
            advice: { decideMs: 507, perWorkerMs: 7.28, validMs: 2_500 },
        }),
        jobsPerSecond: 2.9,
        taskMs: 4_200,
        stepsPerJob: 1.2,
        estimateError: 0.2,
        step: { count: 20, needs: { cpu: 4_500, memoryMb: 1_000, gpu: 0 }, isGang: true },
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
        jobsPerSecond: 7.6,
        taskMs: 1_900,
        stepsPerJob: 1.5,
        estimateError: 0.9,
        step: { count: 25, needs: { cpu: 1_700, memoryMb: 1_000, gpu: 0 }, savesProgress: true },
    },
    {
        queue: buildQueue({
            name: "ad-check" as QueueName,
            stretch: 1.5,
            targetLatencyMs: 250,
            advice: { decideMs: 20, perWorkerMs: 0.3, validMs: 2_500 },
        }),
        jobsPerSecond: 54.3,
        taskMs: 850,
        stepsPerJob: 1,
        estimateError: 0.2,
        step: { count: 3, needs: { cpu: 2_500, memoryMb: 1_000, gpu: 0 } },
    },
];

/** Learns speeds but never reports that they differ, so that placement ignores them. */
export class EqualWorkersModel extends DurationModel {
    override hasUnequalWorkers(): boolean {
        return false;
    }
}

/** One run, determined by its seed. */
export class UnequalWorkersSimulation {
    readonly cluster: SimulatedCluster;
    readonly #options: UnequalWorkersOptions;
    readonly #random: () => number;
    readonly #jobs = new Map<string, SubmittedJob>();
    readonly #openJobs = new Set<string>();
    readonly #latenciesMs = new Map<string, number>();

    /**
     * @param options Cluster size, seed, load and placement; see {@link UnequalWorkersOptions}.
     */
    constructor(options: UnequalWorkersOptions) {
        this.#options = options;
        this.#random = createRandom(options.seed * 7_919);
        this.cluster = new SimulatedCluster({
            workers: options.workers,
            fronts: 30,
            hasInvariantChecks: false,
            computeCommitDelayMs: () => COMMIT_MS,
            queues: TRAFFIC.map(({ queue }) => this.#buildQueue(queue)),
            getWorkerOverrides: (number) => ({ zone: `zone-${computeHash(`w${number}`) % 3}` }),
            computeTaskMs: (task, worker) => this.#computeTaskMs(task, worker),
            createDurationModel: () =>
                options.isSpeedUsed === false ? new EqualWorkersModel() : new DurationModel(),
        });
    }

    /**
     * Returns a worker's true speed.
     *
     * @param worker The worker.
     * @returns Its speed; 1 runs a task in the duration that its work takes.
     */
    getSpeed(worker: WorkerId): number {
        return (
            this.#options.getSpeed?.(worker) ??
            (Number(worker.slice(1)) % 3 === 0 ? FAST_SPEED : SLOW_SPEED)
        );
    }

    /**
     * Submits jobs at a constant rate.
     *
     * @param seconds Virtual time to run for.
     */
    run(seconds: number): void {
        for (let atMs = 0; atMs < seconds * 1_000; atMs += TIME_STEP_MS) {
            for (const traffic of TRAFFIC) {
                const mean =
                    (traffic.jobsPerSecond *
                        (this.#options.load ?? 1) *
                        this.#options.workers *
                        TIME_STEP_MS) /
                    (REFERENCE_WORKERS * 1_000);
                const count = Math.floor(mean) + (this.#random() < mean % 1 ? 1 : 0);
                for (let i = 0; i < count; i++) {
                    this.#submitJob(traffic);
                }
            }
            this.cluster.runFor(TIME_STEP_MS);
            this.#recordCompletions();
        }
    }

    /**
     * Computes the share of a queue's jobs that ended within their objective.
     *
     * @param queue The queue's name.
     * @returns The share, without the jobs at the beginning and the end of the run.
     */
    computeShareOnTime(queue: string): number {
        const counted = [...this.#jobs].filter(
            ([, job]) =>
                job.queue === queue &&
                job.submittedAtMs >= LEARNING_MS &&
                job.submittedAtMs < this.cluster.now - EXCLUDED_TAIL_MS,
        );
        const onTime = counted.filter(
            ([id, { objectiveMs }]) => (this.#latenciesMs.get(id) ?? Infinity) <= objectiveMs,
        );
        return onTime.length / Math.max(1, counted.length);
    }

    #buildQueue(queue: QueueConfig): QueueConfig {
        return this.#options.hasAdvice === true ? queue : { ...queue, advice: undefined };
    }

    #submitJob({ queue, taskMs, stepsPerJob, estimateError, step }: Traffic): void {
        const id = this.#jobs.size.toString(16).padStart(16, "0");
        const actualMs = taskMs * Math.exp(DURATION_SIGMA * this.#takeNormalSample());
        const stepCount = 1 + (this.#random() < stepsPerJob % 1 ? 1 : 0);
        const estimateMs = actualMs * Math.exp(estimateError * this.#takeNormalSample());
        const steps = Array.from({ length: stepCount }, (_unused, i) => ({
            ...step,
            estimateMs,
            after: i === 0 ? [] : [i - 1],
        }));
        this.#jobs.set(id, {
            queue: queue.name,
            submittedAtMs: this.cluster.now,
            objectiveMs: queue.stretch * stepCount * actualMs + queue.targetLatencyMs,
            taskMs: actualMs,
        });
        this.#openJobs.add(id);
        this.cluster.submit(id, buildSpec(...steps), queue.name);
    }

    /** Whether a task takes longer depends on its name alone, so that all orders see the same. */
    #computeTaskMs(task: string, worker: WorkerId): number {
        const hash = computeHash(`${this.#options.seed}|${task}`) % 10_000;
        const factor = hash < 10_000 * OUTLIER_SHARE ? OUTLIER_FACTOR : 1;
        const taskMs = this.#jobs.get(task.slice(0, 16))?.taskMs ?? 1_000;
        return (taskMs * factor) / this.getSpeed(worker);
    }

    #recordCompletions(): void {
        for (const id of this.#openJobs) {
            if (this.cluster.getJobState(id) === "complete") {
                const { submittedAtMs = 0 } = this.#jobs.get(id) ?? {};
                this.#latenciesMs.set(id, this.cluster.now - submittedAtMs);
                this.#openJobs.delete(id);
            }
        }
    }

    #takeNormalSample(): number {
        const [a, b] = [Math.max(1e-9, this.#random()), this.#random()];
        return Math.sqrt(-2 * Math.log(a)) * Math.cos(2 * Math.PI * b);
    }
}
