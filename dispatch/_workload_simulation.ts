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

import { computeHash } from "../hashing/mod.ts";
import type { QueueConfig } from "../configuration/mod.ts";
import type { JobSpec, WorkerId } from "../job/mod.ts";
import { createRandom } from "../tools/seeded_random.ts";
import type { WorkspaceConfig, WorkspaceName } from "../workspace/mod.ts";
import type { DispatcherOptions } from "./dispatcher.ts";
import { buildSpec, buildWorkspace, SimulatedCluster } from "./_fixtures.ts";
import {
    classifyAnswer,
    computeResendTimeMs,
    EntitlementMeter,
    SurgeSchedule,
} from "./_workload_arrivals.ts";
import {
    LARGE_FLEET_MIX,
    type LogNormal,
    type QueueWorkload,
    type WorkloadMix,
} from "./_workload_mixes.ts";
import {
    listWindows,
    selectWorstWorkspaces,
    summarizeJobs,
    type JobRecord,
    type WindowSummary,
    type WorkloadSummary,
} from "./_workload_summaries.ts";

export type { WindowSummary, WorkloadSummary } from "./_workload_summaries.ts";

/** A job that its caller sends, until it is accepted or the caller gives up. */
interface Send {
    readonly record: JobRecord;
    readonly queue: QueueConfig;
    readonly spec: JobSpec;
    /** In ms. */
    readonly atMs: number;
    readonly resends: number;
}

/** Where the properties of a job are drawn from. */
interface JobSource {
    readonly random: () => number;
    /** Returns the id of the next job, without the digit of its queue. */
    readonly createId: () => string;
}

const TIME_STEP_MS = 50;
const DEFAULT_COMMIT_DELAY_MS = 12;
/** Jobs submitted this close to the end have no time to complete and are not counted, in ms. */
const EXCLUDED_TAIL_MS = 12_000;
/** Standard deviation of the logarithm of the estimation error, unless the mix states another. */
const ESTIMATE_ERROR_SIGMA = 0.6;
const SLOW_WORKER_FACTOR = 1.3;
const NO_FAULTS: FaultRates = {
    crashingJobFraction: 0,
    crashesPerSecond: 0,
    capacityChangesPerSecond: 0,
};
const CRASH_DELAY_MS = 10;
/** Seeds a separate generator for faults, so that they do not change the jobs of a seed. */
const FAULT_SEED_OFFSET = 1_000_000;
/** Numbers of the first jobs of surges, so that they don't change the ids of the others. */
const FIRST_SURGE_JOB = 0x8000_0000;
const FIRST_HOT_WORKSPACE_JOB = 0xc000_0000;
/** Resolution of the draws that decide on slow tasks. */
const DRAW_STEPS = 10_000;

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
    /** What arrives; {@link LARGE_FLEET_MIX} by default. */
    readonly mix?: WorkloadMix;
    readonly workers: number;
    readonly seed: number;
    readonly faultRates?: Partial<FaultRates>;
    /** Whether crashed workers restart under the same id (default). */
    readonly isIdKept?: boolean;
    /** Options of the dispatcher beyond the state and the clocks. */
    readonly dispatcherOptions?: Partial<DispatcherOptions>;
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

/** One workload run, determined by its seed. */
export class WorkloadSimulation {
    readonly #seed: number;
    readonly #usualSource: JobSource;
    readonly #surgeSource: JobSource;
    readonly #hotWorkspaceSource: JobSource;
    readonly #taskDurationsMs = new Map<string, number>();
    readonly #jobs: JobRecord[] = [];
    readonly #openJobs = new Map<string, JobRecord>();
    readonly #entitlements: EntitlementMeter;
    #sends: Send[] = [];
    readonly #cluster: SimulatedCluster;
    readonly #mix: WorkloadMix;
    readonly #workspaces: readonly WorkspaceConfig[];
    readonly #workerCount: number;
    readonly #faultRates: FaultRates;
    readonly #faultRandom: () => number;
    readonly #crashingJobs = new Set<string>();
    #durationSeconds = 0;

    /**
     * @param options Cluster size, seed and fault rates; see {@link WorkloadSimulationOptions}.
     */
    constructor(options: WorkloadSimulationOptions) {
        const { workers, seed, mix = LARGE_FLEET_MIX } = options;
        this.#seed = seed;
        this.#mix = mix;
        this.#workspaces = buildWorkspaces(mix, workers);
        this.#workerCount = workers;
        this.#entitlements = new EntitlementMeter(this.#workspaces);
        this.#usualSource = createSource(createRandom(seed), 1);
        const surgeRandom = createRandom(computeHash(`surge jobs|${seed}`));
        this.#surgeSource = createSource(surgeRandom, FIRST_SURGE_JOB);
        const hotRandom = createRandom(computeHash(`hot workspaces|${seed}`));
        this.#hotWorkspaceSource = createSource(hotRandom, FIRST_HOT_WORKSPACE_JOB);
        this.#faultRates = { ...NO_FAULTS, ...options.faultRates };
        this.#faultRandom = createRandom(seed + FAULT_SEED_OFFSET);
        this.#cluster = new SimulatedCluster({
            workers,
            hasInvariantChecks: false,
            fronts: Math.max(3, Math.round((mix.baselineFronts * workers) / mix.baselineWorkers)),
            queues: mix.workloads.map(({ queue }) => queue),
            workspaces: this.#workspaces,
            capacity: mix.workerCapacity,
            computeCommitDelayMs: () => mix.commitDelayMs ?? DEFAULT_COMMIT_DELAY_MS,
            isIdKept: options.isIdKept ?? true,
            getCrashAfterMs: (task) => (this.#isCrashingTask(task) ? CRASH_DELAY_MS : undefined),
            getWorkerOverrides: (number) => ({ zone: `zone-${number % 5}` }),
            computeTaskMs: (task, worker) => this.#computeTaskMs(task, worker),
            isAdmitted: (step, worker) => isAdmitted(mix, step, worker),
            dispatcherOptions: options.dispatcherOptions ?? {},
        });
    }

    /** Virtual time since the start of the run, in ms. */
    get now(): number {
        return this.#cluster.now;
    }

    /** The jobs that count, with what became of them; all but the last of the run. */
    get countedJobs(): readonly JobRecord[] {
        return this.#jobs.filter(
            ({ submittedAtMs }) => submittedAtMs < this.#durationSeconds * 1_000 - EXCLUDED_TAIL_MS,
        );
    }

    /**
     * Submits jobs at a constant rate, apart from the surges of the mix.
     *
     * @param seconds Virtual time to run for.
     * @param load Fraction of the arrival rates that saturate the cluster.
     */
    run(seconds: number, load: number): void {
        this.#durationSeconds = seconds;
        const schedule = new SurgeSchedule({ mix: this.#mix, seconds, seed: this.#seed });
        for (let atMs = 0; atMs < seconds * 1_000; atMs += TIME_STEP_MS) {
            for (const workload of this.#mix.workloads) {
                const mean =
                    (workload.jobsPerSecond * load * this.#workerCount * TIME_STEP_MS) /
                    (this.#mix.baselineWorkers * 1_000);
                const count = Math.floor(mean) + (this.#usualSource.random() < mean % 1 ? 1 : 0);
                for (let i = 0; i < count; i++) {
                    this.#submitJob(workload, this.#usualSource);
                }
                this.#submitSurgeJobs(schedule, workload, mean);
            }
            this.#sendAgain();
            this.#addFaults();
            this.#cluster.runFor(TIME_STEP_MS);
            this.#recordEnds();
        }
    }

    /**
     * Summarizes each queue's jobs, its largest 10% and the next 20% by work.
     *
     * @returns Three summaries per queue, without the jobs submitted shortly before the end.
     */
    listSummaries(): WorkloadSummary[] {
        return this.#listQueues().flatMap((name) => {
            const counted = this.countedJobs
                .filter(({ queue }) => queue === name)
                .sort((a, b) => b.coreSeconds - a.coreSeconds);
            const tenth = Math.ceil(counted.length / 10);
            return [
                summarizeJobs(name, counted),
                summarizeJobs(`${name}, largest tenth`, counted.slice(0, tenth)),
                summarizeJobs(`${name}, fifth below`, counted.slice(tenth, 3 * tenth)),
            ];
        });
    }

    /**
     * Summarizes each queue's jobs that are within the weight of their workspace.
     *
     * @returns One summary per queue; the same as for all jobs without workspaces.
     */
    listEntitledSummaries(): WorkloadSummary[] {
        const entitled = this.countedJobs.filter(({ isEntitled }) => isEntitled);
        return this.#listQueues().map((name) =>
            summarizeJobs(
                `${name}, entitled`,
                entitled.filter(({ queue }) => queue === name),
            ),
        );
    }

    /**
     * Summarizes the jobs of the workspaces that are served worst.
     *
     * @returns One summary for each of the worst tenth of the workspaces, worst first; nothing
     * without workspaces.
     */
    listWorkspaceSummaries(): WorkloadSummary[] {
        return selectWorstWorkspaces(this.countedJobs).map(({ name, jobs }) =>
            summarizeJobs(name, jobs),
        );
    }

    /**
     * Lists the windows of 2 s in which the jobs that were sent first had the smallest value.
     *
     * @param count The maximum number of windows.
     * @returns The windows, worst first.
     */
    listWorstWindows(count: number): WindowSummary[] {
        return listWindows(this.countedJobs).slice(0, count);
    }

    /**
     * Finds refused jobs of which the scheduler has a record.
     *
     * @returns Their ids; empty if a refusal means that the job was not accepted.
     */
    listRecordedRefusals(): string[] {
        return this.#jobs
            .filter(({ id, isRefused }) => isRefused && this.#cluster.getJobState(id) !== "unknown")
            .map(({ id }) => id);
    }

    /**
     * Summarizes the effects of the injected faults.
     *
     * @returns Counts over the whole run.
     */
    summarizeFaults(): FaultReport {
        const failed = this.#jobs.filter(({ hasFailed }) => hasFailed);
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
            const { workerCapacity } = this.#mix;
            const cpu = Math.floor(workerCapacity.cpu * fraction);
            const memoryMb = Math.floor(workerCapacity.memoryMb * fraction);
            this.#cluster.setCapacity(getRandomWorker(), { cpu, memoryMb, gpu: 0 });
        }
    }

    #listQueues(): string[] {
        return this.#mix.workloads.map(({ queue }) => queue.name);
    }

    /** Submits the jobs beyond the usual ones; draws nothing that those draw. */
    #submitSurgeJobs(schedule: SurgeSchedule, workload: QueueWorkload, usualMean: number): void {
        const surge = schedule.findSurge(this.#cluster.now);
        if (surge === undefined) {
            return;
        }
        const submit = (mean: number, source: JobSource, workspace?: number): void => {
            const count = Math.floor(mean) + (source.random() < mean % 1 ? 1 : 0);
            for (let i = 0; i < count; i++) {
                this.#submitJob(workload, source, workspace);
            }
        };
        if (this.#mix.workloads[surge.queue] === workload) {
            submit(usualMean * (surge.queueFactor - 1), this.#surgeSource);
        }
        for (const workspace of surge.hotWorkspaces) {
            const share = this.#mix.workspaceShares[workspace] ?? 0;
            const mean = usualMean * share * (surge.workspaceFactor - 1);
            submit(mean, this.#hotWorkspaceSource, workspace);
        }
    }

    /** Draws a job and sends it; draws its workspace unless it is given by its index. */
    #submitJob(
        workload: QueueWorkload,
        { random, createId }: JobSource,
        workspaceIndex?: number,
    ): void {
        const { queue } = workload;
        const id = `${this.#mix.workloads.indexOf(workload)}${createId()}`;
        if (this.#faultRandom() < this.#faultRates.crashingJobFraction) {
            this.#crashingJobs.add(id);
        }
        const workspace =
            workspaceIndex === undefined
                ? this.#takeWorkspace(random)
                : this.#workspaces[workspaceIndex]?.name;
        const taskMs = takeLogNormalSample(random, workload.taskMs);
        const stepCount = 1 + (random() < workload.stepsPerJob % 1 ? 1 : 0);
        const isGang = random() < workload.gangFraction;
        const savesProgress = random() < workload.checkpointFraction;
        const { estimateErrorSigma = ESTIMATE_ERROR_SIGMA } = workload;
        const estimateMs = taskMs * Math.exp(estimateErrorSigma * takeNormalSample(random));
        const steps = Array.from({ length: stepCount }, (_none, i) => ({
            count: Math.max(1, Math.round(takeLogNormalSample(random, workload.tasksPerStep))),
            needs: {
                cpu: Math.round(takeLogNormalSample(random, workload.cpu)),
                memoryMb: Math.round(takeLogNormalSample(random, workload.memoryMb)),
                gpu: 0,
            },
            estimateMs,
            isGang,
            savesProgress,
            after: i === 0 ? [] : [i - 1],
        }));
        this.#taskDurationsMs.set(id, taskMs);
        const work = steps.reduce((sum, { count, needs }) => sum + count * needs.cpu * taskMs, 0);
        const adviceMs = (queue.advice?.decideMs ?? 0) + 30 * (queue.advice?.perWorkerMs ?? 0);
        const chainMs = stepCount * (taskMs + adviceMs);
        const atMs = this.#cluster.now;
        const record: JobRecord = {
            id,
            queue: queue.name,
            submittedAtMs: atMs,
            coreSeconds: work / 1e6,
            objectiveMs: queue.stretch * chainMs + queue.targetLatencyMs,
            maxWidth: Math.max(...steps.map(({ count }) => count)),
            workspace,
            isEntitled: this.#entitlements.takeJob(workspace, atMs),
            completedAtMs: undefined,
            isRefused: false,
            hasFailed: false,
        };
        this.#jobs.push(record);
        this.#send({ record, queue, spec: buildSpec(...steps), atMs, resends: 0 });
    }

    /** Sends a job, and schedules the next send if it is refused. */
    #send(send: Send): void {
        const { record, queue, spec, resends } = send;
        const { id, workspace, submittedAtMs } = record;
        const refusal = classifyAnswer(this.#cluster.submitJob(id, spec, queue.name, workspace));
        if (refusal === undefined) {
            this.#openJobs.set(id, record);
            return;
        }
        const attempt = { firstSentAtMs: submittedAtMs, sentAtMs: this.#cluster.now, resends };
        const atMs = computeResendTimeMs(refusal, attempt);
        if (atMs === undefined) {
            record.isRefused = true;
        } else {
            this.#sends.push({ ...send, atMs, resends: resends + 1 });
        }
    }

    #sendAgain(): void {
        const due = this.#sends.filter(({ atMs }) => atMs <= this.#cluster.now);
        this.#sends = this.#sends.filter(({ atMs }) => atMs > this.#cluster.now);
        due.forEach((send) => this.#send(send));
    }

    /** Draws the workspace of a job; draws nothing for a mix without workspaces. */
    #takeWorkspace(random: () => number): WorkspaceName | undefined {
        const { workspaceShares } = this.#mix;
        let draw = workspaceShares.length === 0 ? 0 : random();
        const index = workspaceShares.findIndex((share) => (draw -= share) < 0);
        return this.#workspaces[index]?.name;
    }

    #computeTaskMs(task: string, worker: WorkerId): number {
        const usualMs = this.#taskDurationsMs.get(task.slice(0, 16)) ?? 1_000;
        const { slowTasks } = this.#mix;
        const draw = computeHash(`${task}|${this.#seed}`) % DRAW_STEPS;
        const isSlow = slowTasks !== undefined && draw < slowTasks.fraction * DRAW_STEPS;
        return usualMs * (isSlow ? slowTasks.factor : 1) * this.#computeWorkerSlowness(worker);
    }

    #computeWorkerSlowness(worker: WorkerId): number {
        const number = Number.parseInt(worker.slice(1), 10);
        const { workerSpeeds } = this.#mix;
        if (workerSpeeds === undefined) {
            return number % 3 === 0 ? SLOW_WORKER_FACTOR : 1;
        }
        const draw = computeHash(`${number} of ${this.#seed}`) % workerSpeeds.length;
        return 1 / (workerSpeeds[draw] ?? 1);
    }

    #recordEnds(): void {
        for (const [id, record] of this.#openJobs) {
            const state = this.#cluster.getJobState(id);
            if (state === "complete") {
                record.completedAtMs = this.#cluster.now;
            }
            record.hasFailed = state === "failed";
            if (state === "complete" || state === "failed") {
                this.#openJobs.delete(id);
            }
        }
    }
}

function createSource(random: () => number, firstNumber: number): JobSource {
    let number = firstNumber;
    return { random, createId: () => (number++).toString(16).padStart(15, "0") };
}

/** Draws a log-normal sample with the given mean, capped at `max`. */
function takeLogNormalSample(random: () => number, { mean, sigma, max }: LogNormal): number {
    const sample = mean * Math.exp(sigma * takeNormalSample(random) - (sigma * sigma) / 2);
    return Math.min(max, sample);
}

function takeNormalSample(random: () => number): number {
    const [a, b] = [Math.max(1e-9, random()), random()];
    return Math.sqrt(-2 * Math.log(a)) * Math.cos(2 * Math.PI * b);
}

/** Gives each workspace a limit and a weight that follow its share. */
function buildWorkspaces(mix: WorkloadMix, workers: number): WorkspaceConfig[] {
    const { workspaceShares, limitFactor, minLimitFraction, workerCapacity } = mix;
    const saturatingRate =
        (mix.workloads.reduce((sum, { jobsPerSecond }) => sum + jobsPerSecond, 0) * workers) /
        mix.baselineWorkers;
    return workspaceShares.map((share, i) => {
        const fraction = Math.max(minLimitFraction, limitFactor * share);
        const cpu = Math.round(fraction * workers * workerCapacity.cpu);
        const memoryMb = Math.round(fraction * workers * workerCapacity.memoryMb);
        const limit = { cpu, memoryMb, gpu: 0 };
        const name = `workspace-${i}` as WorkspaceName;
        return buildWorkspace({ name, weight: saturatingRate * share, limit });
    });
}

/** Returns whether advice admits a worker; a job's id begins with the number of its queue. */
function isAdmitted({ workloads }: WorkloadMix, step: string, worker: WorkerId): boolean {
    const workload = workloads[Number(step[0])];
    const hash = computeHash(`${step}|${worker}`);
    return (hash % 1_000) / 1_000 < (workload?.eligibleFraction ?? 1);
}
