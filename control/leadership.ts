/**
 * Runs the work of a control instance while it is the leader: it handles calls, makes scheduling
 * decisions, commits the resulting facts and then executes the effects.
 *
 * @example
 * ```ts
 * import { Leadership } from "./leadership.ts";
 * const leadership = new Leadership({
 *     committedState, stateReader, propose, waitForLease, term, clock, workerCalls, advise, log,
 * });
 * leadership.start();
 * const answer = await leadership.handleCaller(call);
 * ```
 *
 * @module
 */

import { interval, type Subscription } from "rxjs";
import type { Logger } from "winston";
import { computeSpreadRetryAfterMs, type AdmissionMode } from "../admission/mod.ts";
import {
    checkConfiguration,
    findQueue,
    type Configuration,
    type QueueConfig,
} from "../configuration/mod.ts";
import {
    computeCallMs,
    Dispatcher,
    isIndependent,
    type DecisionKind,
    type DispatchClock,
    type DispatchLimits,
    type Effect,
    type FrontId,
    type KeepAlive,
    type MemberRun,
    type OrderAnswer,
    type SubmissionRefusal,
    type UnknownCancellation,
} from "../dispatch/mod.ts";
import {
    isJobId,
    type Job,
    type StateStore,
    type Fact,
    type FactBatch,
    type JobId,
    type JobSpec,
} from "../job/mod.ts";
import { OUTCOME_UNKNOWN_CODE } from "../membership/mod.ts";
import { isAddress, MethodError } from "../rpc/mod.ts";
import { isOwnJob, type AccessControl, type WorkspaceName } from "../workspace/mod.ts";
import type { ControlMetrics } from "../telemetry/control_metrics.ts";
import { DecisionLog } from "../telemetry/decision_log.ts";
import { RateLimitedLog } from "../telemetry/rate_limited_log.ts";
import type {
    AdviseAnswer,
    AdviseCall,
    CallerAnswer,
    CallerCall,
    HeartbeatCall,
    LeaveCall,
    WorkerCalls,
} from "./calls.ts";
import { EffectQueue } from "./effect_queue.ts";
import { GuardedWorkerCalls } from "./guarded_calls.ts";
import { ProposalSequence } from "./proposal_sequence.ts";
import { SubmissionQueue } from "./submission_queue.ts";
import type { StateReader } from "./state_reader.ts";
import { RoundTripEstimator } from "./round_trip_estimator.ts";
import { WorkerPoller } from "./worker_poller.ts";

/** Options of {@link Leadership}. */
export interface LeadershipOptions {
    /** The state that a quorum has committed. */
    readonly committedState: StateStore;
    /** Reads job states from the committed state. */
    readonly stateReader: StateReader;
    /** Checks the keys of calls. */
    readonly accessControl: AccessControl;
    /**
     * Proposes a batch and resolves once it is committed; rejects if this process is no longer the
     * leader.
     */
    readonly propose: (batch: FactBatch) => Promise<void>;
    /** Waits for the leader lease; false if this process is no longer the leader. */
    readonly waitForLease: () => Promise<boolean>;
    /** The term of this leadership, greater than every earlier one. */
    readonly term: number;
    readonly clock: DispatchClock;
    readonly workerCalls: WorkerCalls;
    /** Calls the advice service through a front. */
    readonly advise: (front: FrontId, call: AdviseCall) => Promise<AdviseAnswer>;
    readonly limits?: Partial<DispatchLimits>;
    /** Whether jobs that can't be of use to their callers any more are refused; `off` by default. */
    readonly admission?: AdmissionMode;
    /** Whether the submissions that wait are bounded; by default if admission is `forecast`. */
    readonly isSubmissionBounded?: boolean;
    readonly metrics?: ControlMetrics;
    readonly log: Logger;
}

/** The answer to an operator's configuration. */
export type ConfigureAnswer =
    { readonly type: "acknowledged" } | { readonly type: "invalid"; readonly findings: string[] };

/** Fencing tokens reserved for each term; more than a term can use. */
const FENCING_TOKENS_PER_TERM = 1_000_000;
/**
 * The interval of the periodic checks for expired leases, repeated stops and due occurrences, in
 * ms.
 */
const TICK_INTERVAL_MS = 100;
/**
 * The timeout of an advice call is its expected duration times the factor plus the margin, in ms.
 */
const ADVICE_TIMEOUT_FACTOR = 2.5;
const ADVICE_TIMEOUT_MARGIN_MS = 400;
/** The interval between two updates of the metrics of the replicated state, in ms. */
const METRICS_INTERVAL_MS = 5_000;
/**
 * The minimum time between two placement runs, in ms. Under load, one pass over the backlog serves
 * many events; the delay is shorter than a commit.
 */
const PLACEMENT_INTERVAL_MS = 5;
/**
 * The rate limit of the decision log in lines per second: a base rate plus an allowance per worker,
 * on which about one task starts and ends.
 */
const LOG_LINES_PER_SECOND = 400;
const LOG_LINES_PER_SECOND_PER_WORKER = 1;
/**
 * The `retryAfterMs` for a job that exceeds the capacity of every registered worker, in ms. Larger
 * workers seldom join.
 */
const INFEASIBLE_RETRY_AFTER_MS = 60_000;
/** The `retryAfterMs` for submissions that found too many waiting. */
const UNHANDLED_RETRY_SPREAD = { minMs: 1_000, seconds: 2 };
/** The `retryAfterMs` for a call that an earlier release forwarded without its key, in ms. */
const KEY_MISSING_RETRY_MS = 1_000;

/** A report that was not recorded, so that its sender has to repeat it. */
export class NotRecordedError extends MethodError {
    constructor() {
        super("not recorded; send it again");
        this.name = "NotRecordedError";
    }
}

/** A heartbeat with an address that no call can be sent to. */
export class InvalidAddressError extends MethodError {
    /**
     * @param address The address.
     */
    constructor(address: string) {
        super(`invalid address ${address}`);
        this.name = "InvalidAddressError";
    }
}

/** A submission that failed although an earlier one for the same job may be accepted. */
export class PendingJobError extends MethodError {
    constructor() {
        super("leadership ended; the job may be accepted", OUTCOME_UNKNOWN_CODE);
        this.name = "PendingJobError";
    }
}

/** The leadership of one term. */
export class Leadership {
    readonly #options: LeadershipOptions;
    readonly #dispatcher: Dispatcher;
    readonly #workerCalls: WorkerCalls;
    readonly #workerPoller: WorkerPoller;
    readonly #decisionLog: DecisionLog;
    readonly #effectQueue = new EffectQueue({
        run: (effect) => this.#runEffect(effect),
        isRedundant: (effect) =>
            effect.type === "watch" && this.#workerPoller.isPolling(effect.worker),
        onDrained: () => this.#schedulePlacement(),
    });
    #tickSubscription: Subscription | undefined;
    #isPlacementScheduled = false;
    #lastPlacementAtMs = Number.NEGATIVE_INFINITY;
    #isStopped = false;
    #metricsUpdatedAtMs = Number.NEGATIVE_INFINITY;
    readonly #roundTripEstimator = new RoundTripEstimator();
    readonly #submissionQueue = new SubmissionQueue();
    readonly #proposals = new ProposalSequence();
    readonly #unhandledLog = new RateLimitedLog((fields) =>
        this.#options.log.warn("submissions refused, too many wait", fields),
    );

    /**
     * @param options State, consensus and calls; see {@link LeadershipOptions}.
     */
    constructor(options: LeadershipOptions) {
        this.#options = options;
        this.#decisionLog = new DecisionLog({
            log: options.log,
            computeLinesPerSecond: () =>
                LOG_LINES_PER_SECOND +
                LOG_LINES_PER_SECOND_PER_WORKER * options.committedState.workers.size,
        });
        this.#dispatcher = new Dispatcher({
            stateStore: options.committedState.copy(),
            clock: options.clock,
            firstFence: options.term * FENCING_TOKENS_PER_TERM,
            limits: options.limits,
            admission: options.admission,
            recordDecision: (kind, event, fields) => this.#recordDecision(kind, event, fields),
        });
        this.#workerCalls = new GuardedWorkerCalls(options.workerCalls, { log: options.log });
        this.#workerPoller = new WorkerPoller({
            dispatcher: this.#dispatcher,
            workerCalls: this.#workerCalls,
            flush: () => this.#flush(),
            waitForLease: options.waitForLease,
        });
    }

    /** Starts scheduling. */
    start(): void {
        this.#removeUncallableWorkers();
        this.#tickSubscription = interval(TICK_INTERVAL_MS).subscribe(() => {
            this.#dispatcher.tick(!this.#effectQueue.isFull());
            this.#flushInBackground();
            this.#updateMetrics();
        });
        this.#flushInBackground();
    }

    /** Removes workers that an earlier release recorded and that no call can be sent to. */
    #removeUncallableWorkers(): void {
        for (const { id, address } of this.#options.committedState.workers.values()) {
            if (!isAddress(address)) {
                this.#dispatcher.removeWorker(id, `invalid address ${address}`);
            }
        }
    }

    #updateMetrics(): void {
        const now = performance.now();
        if (now - this.#metricsUpdatedAtMs >= METRICS_INTERVAL_MS) {
            this.#metricsUpdatedAtMs = now;
            this.#options.metrics?.workspaces.update(this.#dispatcher.listWorkspaceUsage());
            this.#options.metrics?.durations.update(this.#dispatcher.durationModel);
            this.#options.metrics?.tombstones.set(this.#options.committedState.tombstones.size);
        }
    }

    /** Stops scheduling. */
    stop(): void {
        this.#isStopped = true;
        this.#options.metrics?.workspaces.update([]);
        this.#options.metrics?.durations.update(undefined);
        this.#options.metrics?.tombstones.set(0);
        this.#tickSubscription?.unsubscribe();
        this.#workerPoller.stop();
        this.#effectQueue.stop();
        this.#decisionLog.flush();
    }

    /**
     * Sets the fronts that can call the advice service.
     *
     * @param fronts The fronts.
     */
    setFronts(fronts: readonly FrontId[]): void {
        this.#dispatcher.setFronts(fronts);
        this.#schedulePlacement();
    }

    /**
     * Handles a caller's request.
     *
     * @param call The request.
     * @returns The answer, after the change behind it is committed.
     * @throws {Error} If leadership ends before the change is committed.
     */
    handleCaller(call: CallerCall): Promise<CallerAnswer> {
        const { admission, isSubmissionBounded = admission === "forecast" } = this.#options;
        if (call.type === "state" || !isSubmissionBounded) {
            return this.#handleCall(call);
        }
        const key = `${call.host}${call.path}`;
        if (call.type === "submit" && !this.#submissionQueue.hasCapacity()) {
            // Only a job of which nothing is known and nothing waits can be refused as not run.
            const mayBeAccepted = this.#submissionQueue.hasWaiting(key) || this.#isKnownJob(call);
            if (!mayBeAccepted) {
                return Promise.resolve(this.#refuseUnhandled(key));
            }
        }
        // A cancellation waits as well, so that it doesn't overtake the submission of its job.
        return this.#submissionQueue.add(key, () => this.#handleCall(call));
    }

    #isKnownJob({ host, path }: CallerCall): boolean {
        const { configuration } = this.#dispatcher;
        const match = configuration && findQueue(configuration, host, path);
        return (
            match !== undefined && this.#dispatcher.findJob(match.pathSuffix as JobId) !== undefined
        );
    }

    #refuseUnhandled(key: string): CallerAnswer {
        this.#options.metrics?.unhandledSubmissions.inc();
        this.#unhandledLog.add();
        return {
            type: "refused",
            reason: "too many submissions wait for the leader",
            retryAfterMs: computeSpreadRetryAfterMs(key, UNHANDLED_RETRY_SPREAD),
        };
    }

    /** Returns whether this leadership is committing a configuration. */
    #isConfigurationPending(): boolean {
        const { configuration } = this.#options.committedState;
        return (this.#dispatcher.configuration?.version ?? -1) > (configuration?.version ?? -1);
    }

    async #handleCall(call: CallerCall): Promise<CallerAnswer> {
        if (call.type === "state") {
            return this.#handleCallUnder(this.#options.committedState.configuration, call);
        }
        // A job is recorded after the newest configuration, so it is checked against that one at once:
        // a later check could find calls in another order. The answer waits until it is committed.
        const commit = this.#isConfigurationPending() ? this.#proposals.waitForCommit() : undefined;
        const answer = this.#handleCallUnder(this.#dispatcher.configuration, call);
        await Promise.all([answer, commit]);
        return answer;
    }

    async #handleCallUnder(
        configuration: Configuration | undefined,
        call: CallerCall,
    ): Promise<CallerAnswer> {
        if (configuration === undefined) {
            return { type: "refused", reason: "no configuration yet", retryAfterMs: 1_000 };
        }
        const match = findQueue(configuration, call.host, call.path);
        if (match === undefined) {
            return { type: "unknownQueue" };
        }
        const { queue, pathSuffix } = match;
        const access = this.#options.accessControl.checkCall(configuration, queue, call.apiKey);
        if (access.type !== "granted") {
            return this.#refuseAccess(access.type, queue, pathSuffix);
        }
        if (call.type === "state" && pathSuffix === "") {
            return { type: "pending", count: this.#dispatcher.countPending(queue.name) };
        }
        if (!isJobId(pathSuffix)) {
            return { type: "unknownQueue" };
        }
        const job = pathSuffix;
        const owner = this.#dispatcher.findJob(job);
        const isForeign = owner !== undefined && !isOwnJob(owner, access.workspace, queue);
        if (call.type === "cancel") {
            return owner === undefined || isForeign
                ? this.#cancelUnknown({ job, queue: queue.name, workspace: access.workspace })
                : this.#cancel(job);
        }
        if (isForeign) {
            return { type: call.type === "submit" ? "conflict" : "unknownJob" };
        }
        if (call.type === "state") {
            return (await this.#options.stateReader.readState(job)) ?? { type: "unknownJob" };
        }
        return call.spec === undefined
            ? { type: "invalid", problem: call.problem }
            : this.#submit(job, queue, access.workspace, call.spec);
    }

    async #submit(
        job: JobId,
        queue: QueueConfig,
        workspace: WorkspaceName | undefined,
        spec: JobSpec,
    ): Promise<CallerAnswer> {
        const { name, pool } = queue;
        const isRepeated = this.#dispatcher.findJob(job) !== undefined;
        if (!isRepeated && this.#isCancelled(job, queue, workspace)) {
            return this.#refuseCancelled({ job, queue: name, workspace });
        }
        const refusal = this.#dispatcher.submit({ job, queue: name, pool, workspace, spec });
        if (refusal !== undefined) {
            return createRefusalAnswer(refusal);
        }
        try {
            await this.#ensureCommitted(() => this.#options.committedState.jobs.has(job));
        } catch (error) {
            throw isRepeated ? new PendingJobError() : error;
        }
        return { type: "accepted" };
    }

    /**
     * Handles a worker's heartbeat.
     *
     * @param call The heartbeat.
     * @returns Resolves after its changes are committed.
     * @throws {InvalidAddressError} If no call can be sent to its address. Instances of earlier releases
     * forward such heartbeats.
     * @throws {NotRecordedError} If the heartbeat was dropped and says more than the record, or is
     * that of an incarnation which the worker has not confirmed yet.
     * @throws {Error} If leadership ends before the change is committed.
     */
    async handleHeartbeat(call: HeartbeatCall): Promise<void> {
        const { record } = call;
        const { committedState } = this.#options;
        if (!isAddress(record.address)) {
            throw new InvalidAddressError(record.address);
        }
        this.#dispatcher.handleHeartbeat(call);
        // A drain must be committed before it is acknowledged, so that the next leader knows it.
        await this.#ensureCommitted(() => {
            const known = committedState.workers.get(record.id);
            return known === undefined
                ? committedState.isRemovedWorker(record.id, record.incarnation)
                : (known.isDraining || !record.isDraining) &&
                      known.incarnation === record.incarnation;
        });
    }

    /**
     * Handles a batch of keep-alives.
     *
     * @param keepAlives The keep-alives.
     */
    handleKeepAlives(keepAlives: readonly KeepAlive[]): void {
        keepAlives.forEach((keepAlive) => this.#dispatcher.handleKeepAlive(keepAlive));
        this.#flushInBackground();
    }

    /**
     * Handles the departure of a worker.
     *
     * @param call The worker and its incarnation.
     * @returns Resolves after the departure is committed.
     * @throws {NotRecordedError} If the notice does not fit the worker's record.
     * @throws {Error} If leadership ends before the change is committed.
     */
    async handleLeave({ worker, incarnation }: LeaveCall): Promise<void> {
        const isRemoved = this.#dispatcher.handleLeave(worker, incarnation);
        if (!isRemoved) {
            this.#flushInBackground();
            throw new NotRecordedError();
        }
        await this.#flushAll();
    }

    /**
     * Applies an operator's configuration. It is checked again, since an instance of an earlier
     * release that forwarded it checks less.
     *
     * @param received The configuration, already validated.
     * @returns The acknowledgement, after this version or a newer one is committed.
     * @throws {Error} If leadership ends before the change is committed.
     */
    async handleConfigure(received: Configuration): Promise<ConfigureAnswer> {
        const { log, metrics } = this.#options;
        const configuration = this.#options.committedState.restoreWorkspaces(received);
        const { version } = configuration;
        const findings = checkConfiguration(configuration);
        if (findings.length > 0) {
            log.info("configuration refused", { version, findings });
            return { type: "invalid", findings };
        }
        const startedAtMs = performance.now();
        this.#dispatcher.setConfiguration(configuration);
        const isCommitted = () =>
            (this.#options.committedState.configuration?.version ?? -1) >= version;
        await this.#ensureCommitted(isCommitted);
        this.#schedulePlacement();
        const durationMs = performance.now() - startedAtMs;
        metrics?.configurationSeconds.observe(durationMs / 1_000);
        log.notice("configuration acknowledged", { version, tookMs: Math.round(durationMs) });
        return { type: "acknowledged" };
    }

    /**
     * Reads the latest configuration. A quorum confirms the leadership first, because a replaced
     * leader could return an older one.
     *
     * @returns The operator's document, or `undefined` if there is no configuration yet.
     * @throws {Error} If leadership ends before a quorum confirms it.
     */
    async readConfiguration(): Promise<unknown> {
        await this.#propose([]);
        return this.#options.committedState.configuration?.document;
    }

    #refuseAccess(
        cause: "unknownKey" | "keyMissing",
        queue: QueueConfig,
        pathSuffix: string,
    ): CallerAnswer {
        this.#recordDecision("failure", "call refused for its key", {
            request: isJobId(pathSuffix) ? pathSuffix : undefined,
            queue: queue.name,
            cause,
        });
        // The key may be valid: only the instance that forwarded the call knows it.
        return cause === "keyMissing"
            ? { type: "refused", reason: "key not forwarded", retryAfterMs: KEY_MISSING_RETRY_MS }
            : { type: "unauthenticated" };
    }

    /** Returns whether an earlier cancellation applies to a job that is submitted now. */
    #isCancelled(job: JobId, queue: QueueConfig, workspace: WorkspaceName | undefined): boolean {
        const submitted = { queue: queue.name, workspace };
        return this.#dispatcher.hasTombstone(
            job,
            (tombstone) =>
                tombstone.queue === queue.name && isOwnJob(submitted, tombstone.workspace, queue),
        );
    }

    async #refuseCancelled({ job, ...fields }: UnknownCancellation): Promise<CallerAnswer> {
        // The cancellation may be uncommitted; if it fails, the job may be accepted by the next leader.
        await this.#flushAll();
        this.#recordDecision("decision", "cancelled job refused", { request: job, ...fields });
        return { type: "conflict", isCancelled: true };
    }

    /**
     * Cancels an id that no job of the caller has. A submission may still be on its way, and must not
     * run once the cancellation is acknowledged, also under the next leader.
     */
    async #cancelUnknown(cancellation: UnknownCancellation): Promise<CallerAnswer> {
        const refusal = this.#dispatcher.addTombstone(cancellation);
        if (refusal !== undefined) {
            const { problem: reason, retryAfterMs } = refusal;
            return { type: "refused", reason, retryAfterMs };
        }
        await this.#flushAll();
        return { type: "unknownJob" };
    }

    async #cancel(job: JobId): Promise<CallerAnswer> {
        this.#dispatcher.cancel(job);
        // The committed state may not know the job yet, or not any more.
        await this.#flushAll();
        await this.#ensureCommitted(() => hasEnded(this.#options.committedState.jobs.get(job)));
        return { type: "cancelled" };
    }

    /**
     * Commits pending decisions. An earlier call may have proposed the decision already.
     *
     * @throws {NotRecordedError} If the decision was not made, so that it must not be acknowledged.
     */
    async #ensureCommitted(isCommitted: () => boolean): Promise<void> {
        await this.#flush();
        this.#schedulePlacement();
        if (!isCommitted()) {
            await this.#proposals.waitForCommit();
        }
        if (!isCommitted()) {
            throw new NotRecordedError();
        }
    }

    /** Commits pending decisions, including those that earlier calls have proposed. */
    async #flushAll(): Promise<void> {
        await this.#flush();
        this.#schedulePlacement();
        await this.#proposals.waitForCommit();
    }

    #schedulePlacement(): void {
        if (this.#isPlacementScheduled || this.#isStopped || this.#effectQueue.isFull()) {
            return;
        }
        this.#isPlacementScheduled = true;
        const place = (): void => {
            this.#isPlacementScheduled = false;
            this.#lastPlacementAtMs = performance.now();
            this.#dispatcher.placeWaiting();
            this.#flushInBackground();
        };
        if (performance.now() - this.#lastPlacementAtMs < PLACEMENT_INTERVAL_MS) {
            setTimeout(place, PLACEMENT_INTERVAL_MS);
        } else {
            setImmediate(place);
        }
    }

    /**
     * Commits and executes pending decisions without a waiting caller. If leadership is lost
     * meanwhile, the next leader decides again from the committed state.
     */
    #flushInBackground(): void {
        this.#flush().catch((error: Error) => {
            this.#options.log.warn("failed to commit decisions", { error: error.message });
        });
    }

    /**
     * Proposes pending facts and releases the effects once these are committed. Effects that may rest
     * on earlier facts wait for those too.
     *
     * @returns Resolves when the facts that this call proposed are committed. A call that proposes
     * none doesn't wait, so that polls and heartbeats continue while commits are slow.
     */
    async #flush(): Promise<void> {
        const { facts, effects } = this.#dispatcher.takeOutput();
        if (facts.length > 0) {
            const commit = this.#proposals.add(this.#propose(facts));
            const { newest } = this.#proposals;
            await commit;
            this.#releaseEffects(effects, newest);
        } else if (effects.length > 0) {
            this.#releaseEffects(effects.filter(isIndependent), 0);
            this.#releaseAfterCommit(effects.filter((effect) => !isIndependent(effect)));
        }
    }

    #releaseAfterCommit(effects: readonly Effect[]): void {
        const { newest } = this.#proposals;
        if (effects.length > 0) {
            this.#proposals.waitForCommit().then(
                () => this.#releaseEffects(effects, newest),
                // Reported by the call that proposed the facts.
                () => {},
            );
        }
    }

    #releaseEffects(effects: readonly Effect[], newestProposal: number): void {
        if (!this.#proposals.isCommitted(newestProposal)) {
            effects.forEach((effect) => this.#recordUncommitted(effect));
        }
        this.#effectQueue.add(effects);
        this.#schedulePlacement();
    }

    /** Records an effect that may rest on facts that are not committed. */
    #recordUncommitted(effect: Effect): void {
        this.#options.metrics?.uncommittedEffects.inc({ type: effect.type });
        if (effect.type === "acknowledge") {
            const { worker, cursor } = effect;
            this.#recordDecision("failure", "acknowledged before commit", { worker, cursor });
        }
    }

    async #propose(facts: readonly Fact[]): Promise<void> {
        const startedAtMs = performance.now();
        await this.#options.propose({ at: this.#options.clock.getWallTimeMs(), facts });
        this.#options.metrics?.commitSeconds.observe((performance.now() - startedAtMs) / 1_000);
    }

    #recordDecision(
        kind: DecisionKind,
        event: string,
        fields: Readonly<Record<string, unknown>>,
    ): void {
        const { metrics } = this.#options;
        this.#decisionLog.record(kind, event, fields);
        if (metrics === undefined) {
            return;
        }
        metrics.decisions.inc({ event });
        this.#recordJobShare(event, fields);
        this.#recordAdmission(event, fields);
        const { how, reason, waitedMs, tookMs } = fields;
        if (how !== undefined || reason !== undefined) {
            metrics.outcomes.inc({ event, kind: String(how ?? reason) });
        }
        if (typeof waitedMs === "number") {
            metrics.stepWaitSeconds.observe(waitedMs / 1_000);
        }
        if (typeof tookMs === "number") {
            metrics.taskSeconds.observe(tookMs / 1_000);
        }
    }

    #recordJobShare(event: string, { workspace, share }: Readonly<Record<string, unknown>>): void {
        const { metrics } = this.#options;
        // Only jobs that are metered have a share, also those refused.
        if (share !== "entitled" && share !== "borrowed") {
            return;
        }
        if (event === "job accepted" || event === "job refused") {
            const counted = event === "job refused" ? "refused" : share;
            metrics?.workspaces.recordJob(workspace as WorkspaceName, counted);
        }
    }

    /** Counts the decisions of admission control; infeasible jobs are refused without it. */
    #recordAdmission(event: string, fields: Readonly<Record<string, unknown>>): void {
        const { metrics, admission } = this.#options;
        const isAdmitted = event === "job accepted";
        const isRefused = event === "job refused" && fields["cause"] !== undefined;
        if (metrics === undefined || admission !== "forecast" || (!isAdmitted && !isRefused)) {
            return;
        }
        const queue = String(fields["queue"]);
        const { predictedMs } = fields;
        metrics.admissionDecisions.inc({ queue, decision: isAdmitted ? "admitted" : "refused" });
        if (typeof predictedMs === "number") {
            metrics.admissionPredictedSeconds.observe({ queue }, predictedMs / 1_000);
        }
    }

    #runEffect(effect: Effect): void {
        switch (effect.type) {
            case "start":
                void this.#runStart(effect.member);
                return;
            case "stop":
                void this.#runStop(effect.member);
                return;
            case "pace":
                void this.#runPace(effect.member);
                return;
            case "watch":
                this.#workerPoller.start(effect.worker);
                return;
            case "look":
                void this.#workerPoller.pollImmediately(effect.worker);
                return;
            case "advise":
                void this.#runAdvise(effect);
                return;
            case "acknowledge":
                this.#dispatcher.confirmEnds(effect.worker, effect.incarnation, effect.cursor);
                // Polling may have ended while the commit was pending.
                this.#workerPoller.start(effect.worker);
                return;
        }
    }

    async #runStart(member: MemberRun): Promise<void> {
        const order = this.#dispatcher.prepareStart(member);
        if (order !== undefined) {
            const answer = await this.#sendOrder(member.startSends - 1, (timeoutMs) =>
                this.#workerCalls.start(order, timeoutMs),
            );
            this.#dispatcher.handleStartAnswer(member, answer);
        }
        this.#flushInBackground();
    }

    async #runStop(member: MemberRun): Promise<void> {
        const order = this.#dispatcher.prepareStop(member);
        if (order !== undefined) {
            const answer = await this.#sendOrder(0, (timeoutMs) =>
                this.#workerCalls.stop(order, timeoutMs),
            );
            this.#dispatcher.handleStopAnswer(member, answer);
        }
        this.#flushInBackground();
    }

    async #runPace(member: MemberRun): Promise<void> {
        const order = this.#dispatcher.preparePace(member);
        if (order !== undefined) {
            const answer = await this.#sendOrder(0, (timeoutMs) =>
                this.#workerCalls.pace(order, timeoutMs),
            );
            this.#dispatcher.handlePaceAnswer(member, answer);
        }
    }

    /**
     * Sends an order if this leadership holds the lease; otherwise it counts as unanswered. The
     * lease may be that of a later leadership of this process.
     */
    async #sendOrder(
        previousTries: number,
        send: (timeoutMs: number) => Promise<OrderAnswer>,
    ): Promise<OrderAnswer> {
        const hasLease = await this.#options.waitForLease();
        if (!hasLease || this.#isStopped) {
            return { type: "unanswered", cause: "not serving" };
        }
        const sentAtMs = performance.now();
        const answer = await send(this.#roundTripEstimator.computeTimeoutMs(previousTries));
        if (answer.type === "accepted" || answer.type === "refused") {
            this.#roundTripEstimator.record(performance.now() - sentAtMs);
        }
        return answer;
    }

    async #runAdvise(effect: Extract<Effect, { type: "advise" }>): Promise<void> {
        const { call, front } = effect;
        const timeoutMs = Math.ceil(
            computeCallMs(call) * ADVICE_TIMEOUT_FACTOR + ADVICE_TIMEOUT_MARGIN_MS,
        );
        const startedAtMs = this.#options.clock.getNow();
        const answer = await this.#options
            .advise(front, { step: call.step, workers: call.workers, timeoutMs })
            .catch((error: Error) => {
                this.#options.log.warn("advice call failed", {
                    step: call.step,
                    lane: front,
                    error: error.message,
                });
                return { admissions: undefined };
            });
        const durationMs = this.#options.clock.getNow() - startedAtMs;
        this.#options.metrics?.adviceSeconds.observe(durationMs / 1_000);
        const ageMs = Math.max(0, durationMs - computeCallMs(call));
        this.#dispatcher.handleAdvice(call, answer.admissions, Math.min(ageMs, MAX_ADVICE_AGE_MS));
        this.#schedulePlacement();
        this.#flushInBackground();
    }
}

function createRefusalAnswer(refusal: SubmissionRefusal): CallerAnswer {
    const { cause, problem: reason } = refusal;
    if (cause === "tooLarge") {
        return { type: "invalid", problem: reason };
    }
    if (cause === "infeasible") {
        return { type: "refused", reason, retryAfterMs: INFEASIBLE_RETRY_AFTER_MS };
    }
    const { retryAfterMs } = refusal;
    return cause === "share"
        ? { type: "refused", reason, retryAfterMs, isOverShare: true }
        : { type: "refused", reason, retryAfterMs };
}

/** Returns whether a job has ended; one that is no longer kept ended long ago. */
function hasEnded(job: Job | undefined): boolean {
    return job === undefined || job.endedAt !== undefined;
}

/**
 * The maximum age that is deducted from the validity of advice, in ms. It covers the return path
 * through the front, but no time in queues.
 */
const MAX_ADVICE_AGE_MS = 50;
