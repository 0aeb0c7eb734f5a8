/**
 * State that the parts of the dispatcher share: the state store, the clocks, the worker and step
 * indexes, and the pending facts and effects.
 *
 * @example
 * ```ts
 * import { DispatchContext } from "./_context.ts";
 * const context = new DispatchContext({ stateStore, clock, firstFence: 1_000_000 });
 * context.emit({ type: "look", worker });
 * ```
 *
 * @module
 */

import type { AdmissionMode } from "../admission/types.ts";
import type { QueueConfig, QueueName } from "../configuration/mod.ts";
import { DurationModel, type QueueRatio } from "../estimation/mod.ts";
import { QuotaLedger } from "../workspace/mod.ts";
import type { Fact, Job, StateStore } from "../job/mod.ts";
import { AdviceScheduler } from "./advice_scheduler.ts";
import { AdmissionRates } from "./advice_plan.ts";
import { JobShares } from "./_job_shares.ts";
import { OpenWork } from "./_open_work.ts";
import { RemovedQueues } from "./_removed_queues.ts";
import { ReadySteps } from "./ready_steps.ts";
import type {
    DispatchClock,
    DispatchLimits,
    Effect,
    DispatchOutput,
    RecordDecision,
    StepKey,
} from "./types.ts";
import { WorkerRegistry, type WorkerState } from "./worker_registry.ts";
import { createWorkLimits, type WorkLimits } from "./work_limits.ts";

/** Options of {@link DispatchContext}. */
export interface DispatchContextOptions {
    /** The replicated state; recorded facts are applied to it immediately. */
    readonly stateStore: StateStore;
    readonly clock: DispatchClock;
    /** The first fencing token; higher than any token of earlier leaders. */
    readonly firstFence: number;
    readonly limits?: Partial<DispatchLimits>;
    /** Bounds of jobs; see {@link DEFAULT_WORK_LIMITS}. */
    readonly workLimits?: Partial<WorkLimits>;
    /**
     * Whether jobs that can't be of use to their callers any more are refused, and the order follows
     * the shares of workspaces; "off" by default.
     */
    readonly admission?: AdmissionMode;
    /** Learns durations; a new model by default. */
    readonly durationModel?: DurationModel;
    /** Logs a decision. */
    readonly recordDecision?: RecordDecision;
}

/** Default timeouts and limits of the dispatcher. */
export const DEFAULT_DISPATCH_LIMITS: DispatchLimits = {
    // Outlasts partitions and outages of up to 6.5 s that begin up to 1.5 s after the last renewal.
    // A dead worker's tasks wait this long unless something new answers at its address.
    leaseMs: 8_500,
    maxLeaseMs: 10_000,
    // A call that is given up is reset; this bounds what the network and the worker still hold of it.
    maxCallDelayMs: 3_000,
    // Twice the time for which a job's state must stay readable, and for which a front forwards a
    // submission (`MAX_FORWARDING_MS`).
    retentionMs: 240_000,
    // Bounds how long a lost poll goes unnoticed.
    pollWaitMs: 1_500,
    // Leaves time for the commit and the start order before a worker enforces a reduced capacity.
    maxReportAgeMs: 3_500,
};

/** Shared state of one leader's dispatcher. */
export class DispatchContext {
    readonly stateStore: StateStore;
    readonly clock: DispatchClock;
    readonly limits: DispatchLimits;
    readonly workLimits: WorkLimits;
    readonly openWork: OpenWork;
    readonly removedQueues: RemovedQueues;
    readonly quotaLedger: QuotaLedger;
    readonly registry: WorkerRegistry;
    readonly readySteps: ReadySteps;
    readonly admission: AdmissionMode;
    readonly jobShares: JobShares;
    readonly adviceScheduler = new AdviceScheduler();
    readonly admissionRates = new AdmissionRates();
    /** Learned anew by each leader. */
    readonly durationModel: DurationModel;
    readonly recordDecision: RecordDecision;
    /** Whether anything changed that may allow a waiting unit to be placed. */
    isDirty = true;
    #facts: Fact[] = [];
    #effects: Effect[] = [];

    /**
     * @param options See {@link DispatchContextOptions}.
     */
    constructor(options: DispatchContextOptions) {
        this.stateStore = options.stateStore;
        this.clock = options.clock;
        this.limits = { ...DEFAULT_DISPATCH_LIMITS, ...options.limits };
        this.workLimits = createWorkLimits(options.workLimits);
        this.openWork = new OpenWork(this.workLimits);
        this.removedQueues = new RemovedQueues(this.stateStore);
        this.durationModel = options.durationModel ?? new DurationModel();
        this.recordDecision = options.recordDecision ?? (() => {});
        this.quotaLedger = new QuotaLedger(
            (workspace) => this.stateStore.workspaces.get(workspace)?.limit,
        );
        this.registry = new WorkerRegistry({
            firstFence: options.firstFence,
            leaseMs: this.limits.leaseMs,
            maxLeaseMs: this.limits.maxLeaseMs,
            maxCallDelayMs: this.limits.maxCallDelayMs,
            maxReportAgeMs: this.limits.maxReportAgeMs,
            quotaLedger: this.quotaLedger,
        });
        this.readySteps = new ReadySteps({
            stateStore: this.stateStore,
            clock: this.clock,
            runGuarded: (job, run) => this.runGuarded(job, run),
        });
        this.admission = options.admission ?? "off";
        this.jobShares = new JobShares({
            stateStore: this.stateStore,
            clock: this.clock,
            admission: this.admission,
        });
    }

    /**
     * Records a fact: applies it locally and queues it for replication.
     *
     * @param fact The fact.
     * @throws {Error} If it can't be applied; then it is not replicated either.
     */
    recordFact(fact: Fact): void {
        this.stateStore.apply({ at: this.clock.getWallTimeMs(), facts: [fact] });
        this.#facts.push(fact);
    }

    /**
     * Does something for a job. If it throws, the job is set aside: this leader gives its steps up
     * and goes on with the other jobs.
     *
     * @param job The job.
     * @param run What to do.
     */
    runGuarded(job: Job, run: () => void): void {
        try {
            run();
        } catch (error) {
            this.removeAdviceCalls(this.readySteps.closeJob(job.id));
            this.isDirty = true;
            this.recordDecision("failure", "job set aside", {
                request: job.id,
                queue: job.queue,
                error: (error as Error).message,
            });
        }
    }

    /**
     * Removes the calls for advice about steps that were closed.
     *
     * @param keys The steps.
     */
    removeAdviceCalls(keys: readonly StepKey[]): void {
        keys.forEach((key) => this.adviceScheduler.removeCalls(key));
    }

    /**
     * Records that a worker gained capacity or became usable.
     *
     * @param worker The worker; `undefined` if it has been removed.
     */
    recordFreedCapacity(worker: WorkerState | undefined): void {
        if (worker !== undefined) {
            this.registry.recordCapacityGain(worker);
        }
        this.isDirty = true;
    }

    /**
     * Queues effects to run once the facts recorded so far are committed.
     *
     * @param effects The effects.
     */
    emit(...effects: readonly Effect[]): void {
        this.#effects.push(...effects);
    }

    /**
     * Takes the facts and effects that were queued since the last call.
     *
     * @returns Facts to replicate, and effects to run after they are committed.
     */
    takeOutput(): DispatchOutput {
        const output = { facts: this.#facts, effects: this.#effects };
        this.#facts = [];
        this.#effects = [];
        return output;
    }

    /**
     * Returns how long a queue's tasks take, as multiples of their estimates.
     *
     * @param queue The queue.
     * @returns The learned ratios; 1 while they are unknown.
     */
    getQueueRatio(queue: QueueName): QueueRatio {
        return this.durationModel.getQueueRatio(queue);
    }

    /**
     * Finds the queue of a new job.
     *
     * @param name The queue.
     * @returns Its latest configuration, or `undefined` if it is unknown.
     */
    findQueue(name: QueueName): QueueConfig | undefined {
        return this.stateStore.queues.get(name);
    }

    /**
     * Returns the queue of a job on record, which may be a removed one.
     *
     * @param job The job.
     * @returns Its latest configuration; a substitute if that is lost.
     */
    getQueueOf(job: Job): QueueConfig {
        return this.stateStore.queues.get(job.queue) ?? this.removedQueues.getQueue(job);
    }
}
