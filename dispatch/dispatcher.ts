/**
 * Makes the control plane leader's scheduling decisions. The dispatcher is deterministic and does
 * no I/O: inputs produce facts to replicate and effects to run once the facts are committed.
 *
 * @example
 * ```ts
 * import { Dispatcher } from "./dispatcher.ts";
 * const dispatcher = new Dispatcher({ stateStore, clock, firstFence: term * 1_000_000 });
 * dispatcher.submit({ job, queue, pool, spec });
 * dispatcher.placeWaiting();
 * const { facts, effects } = dispatcher.takeOutput();
 * ```
 *
 * @module
 */

import {
    computeSpreadRetryAfterMs,
    type AdmissionPrediction,
    type AdmissionRefusal,
} from "../admission/mod.ts";
import type { Configuration, PoolName, QueueName } from "../configuration/mod.ts";
import type { DurationModel } from "../estimation/mod.ts";
import {
    isSameScope,
    type CancellationScope,
    type Incarnation,
    type Job,
    type JobId,
    type JobSpec,
    type StateStore,
    type Tombstone,
    type WorkerId,
    type WorkerRecord,
} from "../job/mod.ts";
import type { WorkspaceName, WorkspaceUsage } from "../workspace/mod.ts";
import { checkFeasible, checkWithinQuota } from "./admission.ts";
import { Attempts } from "./_attempts.ts";
import { DispatchContext, type DispatchContextOptions } from "./_context.ts";
import { DurationRecorder } from "./_duration_recorder.ts";
import { Evacuator } from "./_evacuator.ts";
import { WorkerPoller } from "./_worker_poller.ts";
import { Heartbeats } from "./_heartbeats.ts";
import { Orders } from "./_orders.ts";
import { auditQuota } from "./_quota_audit.ts";
import { hasOverdueTask } from "./overdue_tasks.ts";
import { StepPlacer } from "./_placer.ts";
import { SubmissionAdmission } from "./_submission_admission.ts";
import { WorkerFailures } from "./_worker_failures.ts";
import type {
    Admission,
    AdviceCall,
    Heartbeat,
    FrontId,
    KeepAlive,
    PollAnswer,
    PollOrder,
    MemberRun,
    OrderAnswer,
    DispatchOutput,
    PaceOrder,
    StartOrder,
    StopOrder,
} from "./types.ts";
import { NO_RESOURCES, type WorkerState } from "./worker_registry.ts";
import { checkJobSize, computeJobSize } from "./work_limits.ts";

export { DEFAULT_DISPATCH_LIMITS } from "./_context.ts";
export { isSameReport } from "./_heartbeats.ts";

/** Options of {@link Dispatcher}. */
export type DispatcherOptions = DispatchContextOptions;

/** A job as submitted by a caller. */
export interface Submission {
    readonly job: JobId;
    readonly queue: QueueName;
    readonly pool: PoolName;
    /** The workspace whose quota the job uses, if any. */
    readonly workspace?: WorkspaceName | undefined;
    readonly spec: JobSpec;
}

/** A submission that was refused before anything was recorded. */
export type SubmissionRefusal =
    | AdmissionRefusal
    /** No worker, or not the limit of the workspace, will ever allow it. */
    | { readonly type: "refused"; readonly cause: "infeasible"; readonly problem: string }
    /** It exceeds a bound of single jobs. */
    | { readonly type: "refused"; readonly cause: "tooLarge"; readonly problem: string }
    /** The open jobs hold as much as an instance can. */
    | {
          readonly type: "refused";
          readonly cause: "openWork";
          readonly problem: string;
          /** Whole seconds, in ms. */
          readonly retryAfterMs: number;
      };

/** The cancellation of an id that no job of the caller has. */
export interface UnknownCancellation extends CancellationScope {
    readonly job: JobId;
}

/** A cancellation of which nothing is recorded, because the instance can hold no more tombstones. */
export interface CancellationRefusal {
    readonly problem: string;
    /** Whole seconds, in ms. */
    readonly retryAfterMs: number;
}

/** Time after which a stop is resent if the worker has not reported the task's end, in ms. */
const STOP_RETRY_MS = 400;
/** Time between two cleanups of ended jobs, in ms. */
const JOB_CLEANUP_INTERVAL_MS = 5_000;
/** Time between two polls of a worker that may have restarted, in ms. */
const RESTART_POLL_INTERVAL_MS = 200;
/** A worker that runs nothing and has been silent for this long is removed, in ms. */
const IDLE_WORKER_RETENTION_MS = 120_000;
/** The `retryAfterMs` for jobs and tombstones for which the instance has no room. */
const FULL_RETRY_SPREAD = { minMs: 5_000, seconds: 10 };

/** Makes the scheduling decisions of one leader. */
export class Dispatcher {
    readonly #context: DispatchContext;
    readonly #attempts: Attempts;
    readonly #failures: WorkerFailures;
    readonly #orders: Orders;
    readonly #poller: WorkerPoller;
    readonly #placer: StepPlacer;
    readonly #heartbeats: Heartbeats;
    readonly #evacuator: Evacuator;
    readonly #admission: SubmissionAdmission;
    readonly #durations: DurationRecorder;
    #cleanedUpAtMs: number;
    #tickedAtMs = Number.NEGATIVE_INFINITY;

    /**
     * Takes over from the previous leader: recorded attempts may still run, so every worker is
     * polled.
     *
     * @param options State, clocks, first fencing token; see {@link DispatchContextOptions}.
     */
    constructor(options: DispatcherOptions) {
        this.#context = new DispatchContext(options);
        this.#attempts = new Attempts(this.#context);
        this.#failures = new WorkerFailures(this.#context, this.#attempts);
        this.#orders = new Orders(this.#context, this.#attempts, this.#failures);
        this.#durations = new DurationRecorder(this.#context);
        this.#poller = new WorkerPoller(this.#context, {
            attempts: this.#attempts,
            failures: this.#failures,
            durations: this.#durations,
        });
        this.#placer = new StepPlacer(this.#context, this.#attempts);
        this.#heartbeats = new Heartbeats(this.#context);
        this.#evacuator = new Evacuator(this.#context, this.#attempts);
        this.#admission = new SubmissionAdmission(this.#context);
        this.#cleanedUpAtMs = this.#context.clock.getNow();
        this.#adoptWorkers();
        this.#attempts.adoptJobs();
        this.#pollAll();
    }

    /**
     * Takes the facts and effects that have accumulated since the last call.
     *
     * @returns Facts to replicate, and effects to run after they are committed.
     */
    takeOutput(): DispatchOutput {
        return this.#context.takeOutput();
    }

    /**
     * Counts the accepted jobs of a queue of which no task is known to have started. A start that
     * was decided does not count until its worker confirms it.
     *
     * @param queue The queue.
     * @returns The number of jobs.
     */
    countPending(queue: QueueName): number {
        let count = 0;
        for (const job of this.#context.stateStore.jobs.values()) {
            const isOpen = job.queue === queue && job.endedAt === undefined;
            count += isOpen && !this.#attempts.hasBegun(job) ? 1 : 0;
        }
        return count;
    }

    /**
     * Lists what the workspaces use.
     *
     * @returns A row for each workspace of the configuration, or with open jobs.
     */
    listWorkspaceUsage(): WorkspaceUsage[] {
        const { stateStore, quotaLedger, readySteps, jobShares } = this.#context;
        const waitingUnits = new Map<WorkspaceName | undefined, number>();
        for (const { job, waiting } of readySteps.steps) {
            waitingUnits.set(job.workspace, (waitingUnits.get(job.workspace) ?? 0) + waiting.size);
        }
        return [...stateStore.workspaces.values()].map(({ name, limit, weight }) => ({
            workspace: name,
            reserved: quotaLedger.usage.get(name) ?? NO_RESOURCES,
            limit,
            waitingUnits: waitingUnits.get(name) ?? 0,
            weight,
            isBorrowing: jobShares.isBorrowing(name),
        }));
    }

    /** The newest configuration, which may not be committed yet. */
    get configuration(): Configuration | undefined {
        return this.#context.stateStore.configuration;
    }

    /** The durations that this leader has learned. */
    get durationModel(): DurationModel {
        return this.#context.durationModel;
    }

    /**
     * Compares the workspaces' counted reservations with a recount.
     *
     * @returns A description of each difference; empty if there is none.
     */
    auditQuota(): string[] {
        return auditQuota(this.#context.stateStore, this.#context.quotaLedger);
    }

    /**
     * Accepts a job; idempotent for a job that was accepted before.
     *
     * @param submission The job.
     * @returns The refusal, of which nothing is recorded, or `undefined` if the job is accepted.
     */
    submit(submission: Submission): SubmissionRefusal | undefined {
        if (this.#context.stateStore.jobs.has(submission.job)) {
            return undefined;
        }
        const size = computeJobSize(submission.spec);
        const excess = checkJobSize(size, this.#context.workLimits);
        if (excess !== undefined) {
            this.#recordFailedCheck(submission, excess, "size");
            return { type: "refused", cause: "tooLarge", problem: excess };
        }
        const problem =
            checkFeasible(
                submission.spec,
                [...this.#context.stateStore.workers.values()].filter(
                    (worker) => worker.pool === submission.pool,
                ),
            ) ?? checkWithinQuota(submission.spec, submission.workspace, this.#context.quotaLedger);
        if (problem !== undefined) {
            this.#recordFailedCheck(submission, problem);
            return { type: "refused", cause: "infeasible", problem };
        }
        const fullness = this.#context.openWork.checkCapacityFor(size);
        if (fullness !== undefined) {
            this.#recordFailedCheck(submission, fullness, "openWork");
            const retryAfterMs = computeSpreadRetryAfterMs(submission.job, FULL_RETRY_SPREAD);
            return { type: "refused", cause: "openWork", problem: fullness, retryAfterMs };
        }
        const decision = this.#admission.checkJob(submission);
        if (decision.type === "refused") {
            this.#recordRefusal(submission, decision);
            return decision;
        }
        this.#context.recordFact({ type: "jobAccepted", ...submission });
        const job = this.#context.stateStore.jobs.get(submission.job);
        const share = job === undefined ? undefined : this.#context.jobShares.recordAccepted(job);
        if (job !== undefined) {
            this.#attempts.openJob(job, size);
        }
        this.#context.recordDecision("decision", "job accepted", {
            request: submission.job,
            queue: submission.queue,
            workspace: submission.workspace,
            steps: submission.spec.steps.length,
            share,
            ...formatPrediction(decision),
        });
        this.#context.isDirty = true;
        return undefined;
    }

    #recordFailedCheck(
        { job, queue, workspace }: Submission,
        problem: string,
        reason?: string,
    ): void {
        this.#context.recordDecision("failure", "job refused", {
            request: job,
            queue,
            workspace,
            problem,
            reason,
        });
    }

    /** Records a refusal as a decision, which may be sampled out: an overload causes many. */
    #recordRefusal(submission: Submission, refusal: AdmissionRefusal): void {
        this.#context.recordDecision("decision", "job refused", {
            request: submission.job,
            queue: submission.queue,
            workspace: submission.workspace,
            cause: refusal.cause,
            share: this.#context.jobShares.findShareNow(submission.workspace),
            problem: refusal.problem,
            ...formatPrediction(refusal),
            retryAfterMs: refusal.retryAfterMs,
        });
    }

    /**
     * Finds a job, including one that is not committed yet.
     *
     * @param id The job.
     * @returns The job, or `undefined` if it is unknown.
     */
    findJob(id: JobId): Job | undefined {
        return this.#context.stateStore.jobs.get(id);
    }

    /**
     * Cancels a job.
     *
     * @param id The job.
     * @returns Whether the job exists.
     */
    cancel(id: JobId): boolean {
        const job = this.#context.stateStore.jobs.get(id);
        if (job === undefined) {
            return false;
        }
        if (job.endedAt === undefined) {
            this.#context.recordFact({ type: "jobCancelled", job: id });
            this.#context.recordDecision("decision", "job cancelled", { request: id });
            this.#attempts.closeJob(job);
        }
        return true;
    }

    /**
     * Records that an id was cancelled that no job of the caller has, so that a submission which is
     * still on its way can be refused.
     *
     * @param cancellation The id and its caller.
     * @returns The refusal, of which nothing is recorded, or `undefined` if it is recorded.
     */
    addTombstone(cancellation: UnknownCancellation): CancellationRefusal | undefined {
        const { job, queue, workspace } = cancellation;
        const { tombstones } = this.#context.stateStore;
        const free = this.#context.workLimits.maxTombstones - tombstones.size;
        const isRepeated = tombstones.has(job, (known) => isSameScope(known, cancellation));
        const fields = { request: job, queue, workspace };
        if (!isRepeated && tombstones.count(workspace) >= free) {
            const problem = "too many cancellations of unknown jobs";
            this.#context.recordDecision("decision", "cancellation refused", {
                ...fields,
                problem,
            });
            const retryAfterMs = computeSpreadRetryAfterMs(job, FULL_RETRY_SPREAD);
            return { problem, retryAfterMs };
        }
        this.#context.recordFact({ type: "tombstoneAdded", ...cancellation });
        this.#context.recordDecision("decision", "unknown job cancelled", fields);
        return undefined;
    }

    /**
     * Returns whether an id was cancelled before a submission of it arrived.
     *
     * @param id The id.
     * @param isMatch Returns whether the cancellation would apply to the submission.
     * @returns True if such a cancellation is on record.
     */
    hasTombstone(id: JobId, isMatch: (tombstone: Tombstone) => boolean): boolean {
        return this.#context.stateStore.tombstones.has(id, isMatch);
    }

    /**
     * Applies a validated configuration if it is newer than the current one.
     *
     * @param configuration The configuration.
     * @returns Whether it was applied.
     */
    setConfiguration(configuration: Configuration): boolean {
        const current = this.#context.stateStore.configuration?.version;
        if (current !== undefined && configuration.version <= current) {
            return false;
        }
        this.#context.recordFact({ type: "configurationSet", configuration });
        this.#context.jobShares.updateWeights();
        this.#context.removedQueues.clear();
        this.#context.recordDecision("milestone", "configuration set", {
            version: configuration.version,
            before: current,
            queues: configuration.queues.length,
            workspaces: configuration.workspaces?.length,
        });
        this.#context.readySteps.resetMatches();
        this.#context.isDirty = true;
        return true;
    }

    /** See {@link Heartbeats.handleHeartbeat}. */
    handleHeartbeat(heartbeat: Heartbeat): void {
        this.#heartbeats.handleHeartbeat(heartbeat);
    }

    /** See {@link Heartbeats.handleKeepAlive}. */
    handleKeepAlive(keepAlive: KeepAlive): void {
        this.#heartbeats.handleKeepAlive(keepAlive);
    }

    /**
     * Handles a worker's notice that it has left. A late notice of an earlier incarnation must not
     * remove a worker that runs, so one that does not fit the worker's record only causes a poll.
     *
     * @param id The worker.
     * @param incarnation The incarnation that left, if the notice names it.
     * @returns Whether that incarnation is removed.
     */
    handleLeave(id: WorkerId, incarnation: Incarnation | undefined): boolean {
        const worker = this.#context.registry.findWorker(id);
        if (worker === undefined || this.#context.stateStore.isRemovedWorker(id, incarnation)) {
            return true;
        }
        if (isOwnDeparture(worker.record, incarnation)) {
            this.#failures.removeWorker(id, "left");
            return true;
        }
        this.#context.recordDecision("failure", "departure unconfirmed", {
            worker: id,
            incarnation,
        });
        this.#context.emit({ type: "look", worker: id });
        return false;
    }

    /**
     * Removes a worker. Its tasks count as lost and are started again elsewhere.
     *
     * @param id The worker; ignored if it is unknown.
     * @param reason Why it is removed.
     */
    removeWorker(id: WorkerId, reason: string): void {
        this.#failures.removeWorker(id, reason);
    }

    /**
     * Sets the front instances that can call the advice service.
     *
     * @param fronts The instances.
     */
    setFronts(fronts: readonly FrontId[]): void {
        this.#context.adviceScheduler.setFronts(fronts);
        this.#context.isDirty = true;
    }

    /**
     * Handles timeouts and due occurrences, then places waiting units.
     *
     * @param mayPlace False while earlier decisions are still being carried out.
     */
    tick(mayPlace = true): void {
        const now = this.#context.clock.getNow();
        this.#context.isDirty =
            this.#context.readySteps.openDueOccurrences() || this.#context.isDirty;
        for (const worker of this.#context.registry.workers) {
            this.#tickWorker(worker, now);
        }
        this.#tickedAtMs = now;
        this.#heartbeats.recordClocks(now);
        this.#durations.report(now);
        if (now - this.#cleanedUpAtMs >= JOB_CLEANUP_INTERVAL_MS) {
            this.#cleanedUpAtMs = now;
            this.#removeExpired();
        }
        this.#context.isDirty = true;
        if (mayPlace) {
            this.#placer.placeWaiting();
        }
    }

    #adoptWorkers(): void {
        const now = this.#context.clock.getNow();
        for (const record of this.#context.stateStore.workers.values()) {
            const worker = this.#context.registry.ensureWorker(record, now);
            worker.inheritedLeaseEndsAtMs = this.#context.registry.computeLatestLeaseEnd(now);
            worker.isSuspect = true;
            const clockMs = this.#context.stateStore.lastReportClocksMs.get(record.id);
            worker.lastReport = { arrivedAtMs: Number.NEGATIVE_INFINITY, clockMs };
        }
    }

    /** Polls every worker, those with the most tasks first. */
    #pollAll(): void {
        const workers = [...this.#context.registry.workers];
        workers.sort((a, b) => b.members.size - a.members.size);
        workers.forEach(({ record }) => this.#context.emit({ type: "look", worker: record.id }));
    }

    #tickWorker(worker: WorkerState, now: number): void {
        const expired = this.#context.registry.listExpiredMembers(worker, now);
        if (expired.length > 0) {
            this.#failures.expireLease(worker, expired);
        }
        for (const member of worker.members.values()) {
            if (member.state === "stopping" && now - member.stopSentAtMs > STOP_RETRY_MS) {
                this.#attempts.enqueueStop(member);
            }
        }
        if (
            hasOverdueTask(worker, now) ||
            isRestartPollDue(worker, now) ||
            isLateStartPollDue(worker, this.#tickedAtMs, now)
        ) {
            worker.extraPollAtMs = now;
            this.#context.emit({ type: "look", worker: worker.record.id });
        }
        this.#evacuator.stopTasksBeforeDeparture(worker, now);
        if (worker.pausedUntilMs > this.#tickedAtMs && worker.pausedUntilMs <= now) {
            this.#context.recordFreedCapacity(worker);
        }
        const isIdle = worker.members.size === 0;
        if (
            isIdle &&
            now - worker.lastContactAtMs > IDLE_WORKER_RETENTION_MS &&
            Number.isFinite(worker.lastContactAtMs)
        ) {
            this.#failures.removeWorker(worker.record.id, "no recent heartbeat");
        }
    }

    /** Removes ended jobs and tombstones that have been kept for the retention time. */
    #removeExpired(): void {
        const { stateStore, clock, limits } = this.#context;
        const before = clock.getWallTimeMs() - limits.retentionMs;
        if (stateStore.tombstones.hasBefore(before) || hasJobEndedBefore(stateStore, before)) {
            this.#context.recordFact({ type: "jobsForgotten", before });
        }
    }

    /** See {@link Orders.prepareStart}. */
    prepareStart(member: MemberRun): StartOrder | undefined {
        return this.#orders.prepareStart(member);
    }

    /** See {@link Orders.handleStartAnswer}. */
    handleStartAnswer(member: MemberRun, answer: OrderAnswer): void {
        this.#orders.handleStartAnswer(member, answer);
    }

    /** See {@link Orders.prepareStop}. */
    prepareStop(member: MemberRun): StopOrder | undefined {
        return this.#orders.prepareStop(member);
    }

    /** See {@link Orders.handleStopAnswer}. */
    handleStopAnswer(member: MemberRun, answer: OrderAnswer): void {
        this.#orders.handleStopAnswer(member, answer);
    }

    /** See {@link Orders.preparePace}. */
    preparePace(member: MemberRun): PaceOrder | undefined {
        return this.#orders.preparePace(member);
    }

    /** See {@link Orders.handlePaceAnswer}. */
    handlePaceAnswer(member: MemberRun, answer: OrderAnswer): void {
        this.#orders.handlePaceAnswer(member, answer);
    }

    /** See {@link WorkerPoller.preparePoll}. */
    preparePoll(id: WorkerId, mayWait: boolean): PollOrder | undefined {
        return this.#poller.preparePoll(id, mayWait);
    }

    /** See {@link WorkerPoller.dropPoll}. */
    dropPoll(order: PollOrder): void {
        this.#poller.dropPoll(order);
    }

    /** See {@link WorkerPoller.handlePollAnswer}. */
    handlePollAnswer(order: PollOrder, sentAtMs: number, answer: PollAnswer): void {
        this.#poller.handlePollAnswer(order, sentAtMs, answer);
        this.#heartbeats.resolvePending(order.worker, sentAtMs, answer);
    }

    /** See {@link WorkerPoller.confirmEnds}. */
    confirmEnds(id: WorkerId, incarnation: Incarnation | undefined, cursor: number): void {
        this.#poller.confirmEnds(id, incarnation, cursor);
    }

    /** See {@link StepPlacer.handleAdvice}. */
    handleAdvice(
        call: AdviceCall,
        admissions: readonly Admission[] | undefined,
        ageMs: number,
    ): void {
        this.#placer.handleAdvice(call, admissions, ageMs);
    }

    /** See {@link StepPlacer.placeWaiting}. */
    placeWaiting(): void {
        this.#placer.placeWaiting();
    }
}

/** Returns whether a job that can be removed ended before a time in ms since the Unix epoch. */
function hasJobEndedBefore({ jobs }: StateStore, time: number): boolean {
    for (const { endedAt, occurrences } of jobs.values()) {
        if (endedAt !== undefined && endedAt < time && occurrences.size === 0) {
            return true;
        }
    }
    return false;
}

/** Rounds a prediction for the log; empty if there is none. */
function formatPrediction(prediction: Partial<AdmissionPrediction>): Partial<AdmissionPrediction> {
    const { predictedMs, objectiveMs } = prediction;
    return predictedMs === undefined || objectiveMs === undefined
        ? {}
        : { predictedMs: Math.round(predictedMs), objectiveMs: Math.round(objectiveMs) };
}

/** Returns whether the poll that resolves a pending heartbeat is due again. */
function isRestartPollDue(worker: WorkerState, now: number): boolean {
    return (
        worker.pendingHeartbeat !== undefined &&
        now - Math.max(worker.pendingHeartbeat.arrivedAtMs, worker.extraPollAtMs) >=
            RESTART_POLL_INTERVAL_MS
    );
}

/**
 * Returns whether a start that got no answer can no longer be executed since the last tick, so that a
 * poll tells whether its run exists.
 */
function isLateStartPollDue(worker: WorkerState, tickedAtMs: number, now: number): boolean {
    for (const { isListed, lateStartUntilMs } of worker.members.values()) {
        if (!isListed && lateStartUntilMs > tickedAtMs && lateStartUntilMs <= now) {
            return true;
        }
    }
    return false;
}

/** Returns whether a notice of departure fits a worker's record. */
function isOwnDeparture(record: WorkerRecord, incarnation: Incarnation | undefined): boolean {
    if (record.incarnation === undefined || record.incarnation === incarnation) {
        return true;
    }
    // A worker drains before it leaves, so the notice is probably its own.
    return incarnation === undefined && record.isDraining;
}
