/**
 * Runs a synthetic production workload on a simulated cluster: three queues with log-normal job
 * sizes, inaccurate estimates, gangs of up to 120 tasks, and advice that admits only some workers.
 *
 * @example
 * ```ts
 * import { WorkloadSimulation } from "./_workload_simulation.ts";
 * const simulation = new WorkloadSimulation({ workers: 380, seed: 1 });
 * simulation.run(30, 0.9);
 * simulation.listSummaries();
 * ```
 *
 * @module
 */

import type { QueueConfig, QueueName } from "../configuration/mod.ts";
import { computeHash } from "../hashing/mod.ts";
import type { Resources, WorkerId } from "../job/mod.ts";
import { createRandom } from "../tools/seeded_random.ts";
import { buildQueue, buildSpec, SimulatedCluster } from "./_fixtures.ts";

/** A log-normal distribution, truncated at `max`. */
interface LogNormal {
    readonly mean: number;
    /** Standard deviation of the logarithm. */
    readonly sigma: number;
    readonly max: number;
}

/** Arrival rate and job size distributions of one queue. */
interface QueueWorkload {
    readonly queue: QueueConfig;
    /** Arrival rate that saturates a cluster of {@link BASELINE_WORKERS} workers. */
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
}

interface SubmittedJob {
    readonly id: string;
    readonly submittedAtMs: number;
    readonly coreSeconds: number;
    readonly objectiveMs: number;
    readonly maxWidth: number;
}

const BASELINE_WORKERS = 380;
const BASELINE_FRONTS = 97;
const TIME_STEP_MS = 50;
/** Jobs submitted this close to the end have no time to complete and are not counted, in ms. */
const EXCLUDED_TAIL_MS = 12_000;
/** Standard deviation of the logarithm of the estimation error. */
const ESTIMATE_ERROR_SIGMA = 0.6;
const SLOW_WORKER_FACTOR = 1.3;
/** A job counts as served if it takes at most this many times its objective. */
const MAX_SERVED_FACTOR = 3;
const NO_FAULTS: FaultRates = {
    crashingJobFraction: 0,
    crashesPerSecond: 0,
    capacityChangesPerSecond: 0,
};
const CRASH_DELAY_MS = 10;
const WORKER_CAPACITY: Resources = { cpu: 16_000, memoryMb: 65_536, gpu: 0 };
/** Seeds a separate generator for faults, so that they do not change the jobs of a seed. */
const FAULT_SEED_OFFSET = 1_000_000;

const WORKLOADS: readonly QueueWorkload[] = [
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

/** Rates of the injected faults; zero by default. */
export interface FaultRates {
    /** Fraction of the jobs whose first task crashes each worker that starts it. */
    readonly crashingJobFraction: number;
    /** Worker crashes per second that no task causes. */
    readonly crashesPerSecond: number;
    /** Worker capacity changes per second. */
    readonly capacityChangesPerSecond: number;
}

/** Options of {@link WorkloadSimulation}. */
export interface WorkloadSimulationOptions {
    readonly workers: number;
    readonly seed: number;
    readonly faultRates?: Partial<FaultRates>;
    /** Whether crashed workers restart under the same id (default). */
    readonly isIdKept?: boolean;
}

/** Effects of the injected faults. */
export interface FaultReport {
    /** Worker crashes, whether or not a task caused them. */
    readonly crashes: number;
    readonly crashingJobs: number;
    /** Crashing jobs that failed. */
    readonly failedCrashingJobs: number;
    /** Maximum number of starts of a task after three workers crashed while running it. */
    readonly maxStartsAfterThreeCrashes: number;
    /** Other jobs that failed. */
    readonly failedOtherJobs: number;
    readonly violations: number;
}

/** Latency results of a group of jobs. */
export interface WorkloadSummary {
    /** Queue name, or a size class of its jobs. */
    readonly name: string;
    readonly jobs: number;
    /** Mean number of tasks in the widest step of each job. */
    readonly meanWidth: number;
    readonly withinObjective: number;
    /** Jobs that took at most {@link MAX_SERVED_FACTOR} times their objective. */
    readonly served: number;
    readonly medianLatencyMs: number;
}

/** One workload run, determined by its seed. */
export class WorkloadSimulation {
    readonly #random: () => number;
    readonly #taskDurationsMs = new Map<string, number>();
    readonly #submittedJobs = new Map<QueueWorkload, SubmittedJob[]>();
    readonly #completedAtMs = new Map<string, number>();
    readonly #openJobs = new Set<string>();
    readonly #cluster: SimulatedCluster;
    readonly #workerCount: number;
    readonly #faultRates: FaultRates;
    readonly #faultRandom: () => number;
    readonly #crashingJobs = new Set<string>();
    #nextId = 1;
    #durationSeconds = 0;

    /**
     * @param options Cluster size, seed and fault rates; see {@link WorkloadSimulationOptions}.
     */
    constructor(options: WorkloadSimulationOptions) {
        const { workers, seed } = options;
        this.#workerCount = workers;
        this.#random = createRandom(seed);
        this.#faultRates = { ...NO_FAULTS, ...options.faultRates };
        this.#faultRandom = createRandom(seed + FAULT_SEED_OFFSET);
        this.#cluster = new SimulatedCluster({
            workers,
            hasInvariantChecks: false,
            fronts: Math.max(3, Math.round((BASELINE_FRONTS * workers) / BASELINE_WORKERS)),
            queues: WORKLOADS.map(({ queue }) => queue),
            capacity: WORKER_CAPACITY,
            isIdKept: options.isIdKept ?? true,
            getCrashAfterMs: (task) => (this.#isCrashingTask(task) ? CRASH_DELAY_MS : undefined),
            getWorkerOverrides: (number) => ({ zone: `zone-${number % 5}` }),
            computeTaskMs: (task, worker) => this.#computeTaskMs(task, worker),
            isAdmitted: (step, worker) => isAdmitted(step, worker),
        });
        WORKLOADS.forEach((workload) => this.#submittedJobs.set(workload, []));
    }

    /**
     * Submits jobs at a constant rate.
     *
     * @param seconds Virtual time to run for.
     * @param load Fraction of the arrival rates that saturate the cluster.
     */
    run(seconds: number, load: number): void {
        this.#durationSeconds = seconds;
        for (let atMs = 0; atMs < seconds * 1_000; atMs += TIME_STEP_MS) {
            for (const workload of WORKLOADS) {
                const mean =
                    (workload.jobsPerSecond * load * this.#workerCount * TIME_STEP_MS) /
                    (BASELINE_WORKERS * 1_000);
                const count = Math.floor(mean) + (this.#random() < mean % 1 ? 1 : 0);
                for (let i = 0; i < count; i++) {
                    this.#submitJob(workload);
                }
            }
            this.#addFaults();
            this.#cluster.runFor(TIME_STEP_MS);
            this.#recordCompletions();
        }
    }

    /**
     * Summarizes each queue's jobs, its largest 10% and the next 20% by work.
     *
     * @returns Three summaries per queue, without the jobs submitted shortly before the end.
     */
    listSummaries(): WorkloadSummary[] {
        return [...this.#submittedJobs].flatMap(([{ queue }, all]) => {
            const counted = all
                .filter(
                    ({ submittedAtMs }) =>
                        submittedAtMs < this.#durationSeconds * 1_000 - EXCLUDED_TAIL_MS,
                )
                .sort((a, b) => b.coreSeconds - a.coreSeconds);
            const tenth = Math.ceil(counted.length / 10);
            return [
                this.#summarizeJobs(queue.name, counted),
                this.#summarizeJobs(`${queue.name}, largest tenth`, counted.slice(0, tenth)),
                this.#summarizeJobs(`${queue.name}, fifth below`, counted.slice(tenth, 3 * tenth)),
            ];
        });
    }

    /**
     * Summarizes the effects of the injected faults.
     *
     * @returns Counts over the whole run.
     */
    summarizeFaults(): FaultReport {
        const failed = [...this.#submittedJobs.values()]
            .flat()
            .filter(({ id }) => this.#cluster.getJobState(id) === "failed");
        const failedCrashingJobs = failed.filter(({ id }) => this.#crashingJobs.has(id)).length;
        const starts = [...this.#crashingJobs].map((id) =>
            this.#cluster.countStartsAfterCrashes(`${id}.0.0.0`, 3),
        );
        return {
            crashes: this.#cluster.crashes.length,
            crashingJobs: this.#crashingJobs.size,
            failedCrashingJobs,
            maxStartsAfterThreeCrashes: Math.max(0, ...starts),
            failedOtherJobs: failed.length - failedCrashingJobs,
            violations: this.#cluster.violations.length,
        };
    }

    #isCrashingTask(task: string): boolean {
        return this.#crashingJobs.has(task.slice(0, 16)) && task.endsWith(".0.0.0");
    }

    #addFaults(): void {
        const { crashesPerSecond, capacityChangesPerSecond } = this.#faultRates;
        const ids = [...this.#cluster.workers.keys()];
        const getRandomWorker = (): WorkerId =>
            ids[Math.floor(this.#faultRandom() * ids.length)] as WorkerId;
        if (this.#faultRandom() < (crashesPerSecond * TIME_STEP_MS) / 1_000) {
            this.#cluster.crashWorker(getRandomWorker());
        }
        if (this.#faultRandom() < (capacityChangesPerSecond * TIME_STEP_MS) / 1_000) {
            const fraction = this.#faultRandom();
            const cpu = Math.floor(WORKER_CAPACITY.cpu * fraction);
            const memoryMb = Math.floor(WORKER_CAPACITY.memoryMb * fraction);
            this.#cluster.setCapacity(getRandomWorker(), { cpu, memoryMb, gpu: 0 });
        }
    }

    #submitJob(workload: QueueWorkload): void {
        const id = `${getQueueDigit(workload)}${(this.#nextId++).toString(16).padStart(15, "0")}`;
        if (this.#faultRandom() < this.#faultRates.crashingJobFraction) {
            this.#crashingJobs.add(id);
        }
        const taskMs = this.#takeLogNormalSample(workload.taskMs);
        const stepCount = 1 + (this.#random() < workload.stepsPerJob % 1 ? 1 : 0);
        const isGang = this.#random() < workload.gangFraction;
        const savesProgress = this.#random() < workload.checkpointFraction;
        const estimateMs = taskMs * Math.exp(ESTIMATE_ERROR_SIGMA * this.#takeNormalSample());
        const steps = Array.from({ length: stepCount }, (_none, i) => ({
            count: Math.max(1, Math.round(this.#takeLogNormalSample(workload.tasksPerStep))),
            needs: {
                cpu: Math.round(this.#takeLogNormalSample(workload.cpu)),
                memoryMb: Math.round(this.#takeLogNormalSample(workload.memoryMb)),
                gpu: 0,
            },
            estimateMs,
            isGang,
            savesProgress,
            after: i === 0 ? [] : [i - 1],
        }));
        this.#taskDurationsMs.set(id, taskMs);
        const work = steps.reduce((sum, { count, needs }) => sum + count * needs.cpu * taskMs, 0);
        const adviceMs =
            (workload.queue.advice?.decideMs ?? 0) + 30 * (workload.queue.advice?.perWorkerMs ?? 0);
        const chainMs = stepCount * (taskMs + adviceMs);
        this.#submittedJobs.get(workload)?.push({
            id,
            submittedAtMs: this.#cluster.now,
            coreSeconds: work / 1e6,
            objectiveMs: workload.queue.stretch * chainMs + workload.queue.targetLatencyMs,
            maxWidth: Math.max(...steps.map(({ count }) => count)),
        });
        this.#openJobs.add(id);
        this.#cluster.submit(id, buildSpec(...steps), workload.queue.name);
    }

    #computeTaskMs(task: string, worker: WorkerId): number {
        const number = Number.parseInt(worker.slice(1), 10);
        return (
            (this.#taskDurationsMs.get(task.slice(0, 16)) ?? 1_000) *
            (number % 3 === 0 ? SLOW_WORKER_FACTOR : 1)
        );
    }

    #recordCompletions(): void {
        for (const id of this.#openJobs) {
            if (this.#cluster.getJobState(id) === "complete") {
                this.#completedAtMs.set(id, this.#cluster.now);
                this.#openJobs.delete(id);
            }
        }
    }

    #summarizeJobs(name: string, jobs: readonly SubmittedJob[]): WorkloadSummary {
        const latenciesMs = jobs.map(
            ({ id, submittedAtMs }) => (this.#completedAtMs.get(id) ?? Infinity) - submittedAtMs,
        );
        const countWithin = (factor: number): number =>
            jobs.filter(({ objectiveMs }, i) => (latenciesMs[i] ?? 0) <= factor * objectiveMs)
                .length;
        const meanWidth =
            jobs.reduce((sum, { maxWidth }) => sum + maxWidth, 0) / Math.max(1, jobs.length);
        return {
            name,
            jobs: jobs.length,
            meanWidth,
            withinObjective: countWithin(1),
            served: countWithin(MAX_SERVED_FACTOR),
            medianLatencyMs:
                [...latenciesMs].sort((a, b) => a - b)[Math.floor(latenciesMs.length / 2)] ?? 0,
        };
    }

    /** Draws a log-normal sample with the given mean, capped at `max`. */
    #takeLogNormalSample({ mean, sigma, max }: LogNormal): number {
        const sample = mean * Math.exp(sigma * this.#takeNormalSample() - (sigma * sigma) / 2);
        return Math.min(max, sample);
    }

    #takeNormalSample(): number {
        const [a, b] = [Math.max(1e-9, this.#random()), this.#random()];
        return Math.sqrt(-2 * Math.log(a)) * Math.cos(2 * Math.PI * b);
    }
}

/** Returns the first digit of a job id, which identifies the queue when advice is simulated. */
function getQueueDigit(workload: QueueWorkload): number {
    return WORKLOADS.indexOf(workload);
}

function isAdmitted(step: string, worker: WorkerId): boolean {
    const workload = WORKLOADS[Number(step[0])];
    const hash = computeHash(`${step}|${worker}`);
    return (hash % 1_000) / 1_000 < (workload?.eligibleFraction ?? 1);
}
