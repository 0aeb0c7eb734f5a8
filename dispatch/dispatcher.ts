/**
 * The decisions of the control plane's leader: which task runs where, which orders are repeated,
 * when an attempt that got no answer is over. It takes inputs and gives facts to agree on and
 * effects to carry out once they are agreed on; it does no I/O and asks only the clocks it was
 * given.
 *
 * @example
 * ```ts
 * import { Dispatcher } from "./dispatcher.ts";
 * const dispatcher = new Dispatcher({ ledger, clock, firstFence: term * 1_000_000 });
 * dispatcher.submit({ job, queue, pool, spec });
 * dispatcher.placeWaiting();
 * const { facts, effects } = dispatcher.takeOutcome();
 * ```
 *
 * @module
 */

import type { Configuration, PoolName, QueueName } from "../configuration/mod.ts";
import type {
    JobId,
    JobSpec,
    Resources,
    WorkerId,
    WorkerRecord,
    WorkerReport,
} from "../job/mod.ts";
import { checkFeasible } from "./admission.ts";
import { isConflictingHeartbeat } from "./heartbeat_conflict.ts";
import { Attempts } from "./_attempts.ts";
import { DispatchContext, type DispatchContextOptions } from "./_context.ts";
import { Evacuator } from "./_evacuator.ts";
import { WorkerPoller } from "./_worker_poller.ts";
import { Orders } from "./_orders.ts";
import { hasOverdueTask } from "./overdue_tasks.ts";
import { StepPlacer } from "./_placer.ts";
import { isSameResources, mergeCapacity } from "./reported_capacity.ts";
import { WorkerFailures } from "./_worker_failures.ts";
import type {
    Admission,
    AdviceCall,
    Heartbeat,
    LaneId,
    PollAnswer,
    PollOrder,
    MemberRun,
    OrderAnswer,
    Outcome,
    PaceOrder,
    StartOrder,
    StopOrder,
} from "./types.ts";
import type { WorkerState } from "./worker_registry.ts";

export { DEFAULT_DISPATCH_LIMITS } from "./_context.ts";

/** Options of {@link Dispatcher}. */
export type DispatcherOptions = DispatchContextOptions;

/** What a caller hands in. */
export interface Submission {
    readonly job: JobId;
    readonly queue: QueueName;
    readonly pool: PoolName;
    readonly spec: JobSpec;
}

/** A stop without an end in the worker's lists is sent again after this, in ms. */
const STOP_RETRY_MS = 400;
/** Time between two sweeps that forget ended jobs, in ms. */
const JOB_CLEANUP_INTERVAL_MS = 5_000;
/** A worker not heard from for this long, and with nothing running, is forgotten, in ms. */
const IDLE_WORKER_RETENTION_MS = 120_000;
/** Time between two records of the heartbeats since, in ms: a third of the time between two of a worker. */
const CLOCK_RECORD_INTERVAL_MS = 500;
/** Slowest clock against ours, as in {@link WorkerClock}. */
const INHERITED_LEASE_FACTOR = 1 / 0.98;

/** The leader's decisions. */
export class Dispatcher {
    readonly #context: DispatchContext;
    readonly #attempts: Attempts;
    readonly #failures: WorkerFailures;
    readonly #orders: Orders;
    readonly #poller: WorkerPoller;
    readonly #placer: StepPlacer;
    readonly #evacuator: Evacuator;
    /** Heartbeats that are not on record yet: what the workers' clocks showed. */
    readonly #unrecordedClocks = new Map<WorkerId, number>();
    #clocksRecordedAt = Number.NEGATIVE_INFINITY;
    #cleanedUpAt: number;
    #tickedAt = Number.NEGATIVE_INFINITY;

    /**
     * Takes over: every attempt on record may be out, and every worker with one is looked at.
     *
     * @param options State, clocks, first fence; see {@link DispatchContextOptions}.
     */
    constructor(options: DispatcherOptions) {
        this.#context = new DispatchContext(options);
        this.#attempts = new Attempts(this.#context);
        this.#failures = new WorkerFailures(this.#context, this.#attempts);
        this.#orders = new Orders(this.#context, this.#attempts, this.#failures);
        this.#poller = new WorkerPoller(this.#context, this.#attempts, this.#failures);
        this.#placer = new StepPlacer(this.#context, this.#attempts);
        this.#evacuator = new Evacuator(this.#context, this.#attempts);
        this.#cleanedUpAt = this.#context.clock.getNow();
        this.#adoptWorkers();
        this.#attempts.adoptJobs();
        this.#pollAll();
    }

    /**
     * Takes what the inputs since the last call led to.
     *
     * @returns Facts to agree on, effects to carry out after that.
     */
    takeOutcome(): Outcome {
        return this.#context.takeOutcome();
    }

    /** Jobs accepted for a queue of which no task has started. */
    countPending(queue: QueueName): number {
        let count = 0;
        for (const job of this.#context.ledger.jobs.values()) {
            count += job.queue === queue && job.state === "queued" ? 1 : 0;
        }
        return count;
    }

    /**
     * Accepts a job, or finds that it was handed in before.
     *
     * @param submission The job.
     * @returns Why it can never run, or `undefined` when it is accepted.
     */
    submit(submission: Submission): string | undefined {
        if (this.#context.ledger.jobs.has(submission.job)) {
            return undefined;
        }
        const problem = checkFeasible(
            submission.spec,
            [...this.#context.ledger.workers.values()].filter(
                (worker) => worker.pool === submission.pool,
            ),
        );
        if (problem !== undefined) {
            this.#context.recordDecision("failure", "job refused", {
                request: submission.job,
                queue: submission.queue,
                problem,
            });
            return problem;
        }
        this.#context.record({ type: "jobAccepted", ...submission });
        const job = this.#context.ledger.jobs.get(submission.job);
        if (job !== undefined) {
            this.#context.board.openJob(job);
        }
        this.#context.recordDecision("decision", "job accepted", {
            request: submission.job,
            queue: submission.queue,
            steps: submission.spec.steps.length,
        });
        this.#context.isDirty = true;
        return undefined;
    }

    /**
     * Cancels a job.
     *
     * @param id The job.
     * @returns Whether there is such a job.
     */
    cancel(id: JobId): boolean {
        const job = this.#context.ledger.jobs.get(id);
        if (job === undefined) {
            return false;
        }
        if (job.endedAt === undefined) {
            this.#context.record({ type: "jobCancelled", job: id });
            this.#context.recordDecision("decision", "job cancelled", { request: id });
            this.#attempts.closeJob(job);
        }
        return true;
    }

    /**
     * Brings a checked configuration into force if it is newer.
     *
     * @param configuration The configuration.
     * @returns Whether it was newer.
     */
    setConfiguration(configuration: Configuration): boolean {
        const current = this.#context.ledger.configuration?.version;
        if (current !== undefined && configuration.version <= current) {
            return false;
        }
        this.#context.record({ type: "configurationSet", configuration });
        this.#context.recordDecision("milestone", "configuration set", {
            version: configuration.version,
            before: current,
            queues: configuration.queues.length,
        });
        this.#context.board.resetMatches();
        this.#context.isDirty = true;
        return true;
    }

    /**
     * Takes a worker's heartbeat.
     *
     * @param heartbeat What it tells of itself.
     */
    handleHeartbeat(heartbeat: Heartbeat): void {
        const { record, sequence, clockMs, leavesInMs } = heartbeat;
        if (this.#context.ledger.isRemovedWorker(record.id)) {
            return;
        }
        const now = this.#context.clock.getNow();
        const known = this.#context.ledger.workers.get(record.id);
        const state = this.#context.book.findWorker(record.id);
        if (state !== undefined && sequence <= state.lastSequence) {
            return;
        }
        // A worker that said it leaves does not come back under the same id; a late heartbeat
        // from before that must not bring new work to it.
        const isDraining = record.isDraining || (known?.isDraining ?? false);
        const { capacity: confirmed, unconfirmed } = mergeCapacity(
            known?.capacity ?? record.capacity,
            record.capacity,
            state?.unconfirmedCapacity,
        );
        const updated = { ...record, capacity: confirmed, isDraining };
        if (state !== undefined && this.#isConflicting(state, updated, sequence)) {
            this.#context.recordDecision("failure", "heartbeat contradicts its worker", {
                worker: record.id,
                address: record.address,
                pool: record.pool,
                sequence,
            });
            return;
        }
        if (known === undefined || !isSameReport(known, updated)) {
            this.#context.record({ type: "workerSeen", worker: updated });
            this.#context.recordDecision(
                "decision",
                known === undefined ? "worker joined" : "worker changed",
                {
                    worker: record.id,
                    address: record.address,
                    draining: isDraining,
                    capacity: confirmed,
                },
            );
            this.#checkAddress(updated);
        }
        const recorded = this.#context.ledger.workers.get(record.id);
        if (recorded === undefined) {
            return;
        }
        const previousCapacity = state?.record.capacity;
        const worker = this.#context.book.ensureWorker(recorded, now);
        const wasUsable = this.#context.book.isUsable(worker, now);
        worker.lastSequence = sequence;
        worker.lastContactAt = now;
        worker.lastReport = { arrivedAt: now, clockMs };
        if (clockMs !== undefined) {
            this.#unrecordedClocks.set(record.id, clockMs);
        }
        worker.unconfirmedCapacity = unconfirmed;
        worker.leavesAt = leavesInMs === undefined ? worker.leavesAt : now + leavesInMs;
        if (worker.isSuspect) {
            // It lives, but orders did not reach it; only an answered look brings work back.
            this.#context.emit({ type: "look", worker: record.id });
        }
        if (clockMs !== undefined) {
            worker.clock.record(clockMs, now);
        }
        const hasCapacityChange =
            previousCapacity !== undefined && !isSameResources(previousCapacity, confirmed);
        if (!wasUsable || hasCapacityChange) {
            this.#context.recordRoom(worker);
        }
    }

    /**
     * Takes a heartbeat that says nothing new.
     *
     * @param id The worker.
     * @param sequence Rises with each heartbeat of the worker.
     * @param clockMs The worker's clock when it was sent.
     * @param capacity The room that it told: the member that took it may know less than this leader.
     */
    handleUnchangedHeartbeat(
        id: WorkerId,
        sequence: number,
        clockMs: number | undefined,
        capacity: Resources,
    ): void {
        const known = this.#context.ledger.workers.get(id);
        if (known !== undefined) {
            const record = { ...createReport(known), capacity };
            this.handleHeartbeat({ record, sequence, clockMs, leavesInMs: undefined });
        }
    }

    /**
     * Takes a worker's word that it has left.
     *
     * @param id The worker.
     */
    handleLeave(id: WorkerId): void {
        if (this.#context.book.findWorker(id) !== undefined) {
            this.#failures.removeWorker(id, "left");
        }
    }

    /**
     * Sets the front instances that can call the advice service.
     *
     * @param lanes The instances.
     */
    setLanes(lanes: readonly LaneId[]): void {
        this.#context.desk.setLanes(lanes);
        this.#context.isDirty = true;
    }

    /**
     * Does what is due by the clock, then places what waits.
     *
     * @param mayPlace False while earlier decisions wait to be carried out.
     */
    tick(mayPlace = true): void {
        const now = this.#context.clock.getNow();
        this.#context.isDirty = this.#context.board.openDueOccurrences() || this.#context.isDirty;
        for (const worker of this.#context.book.workers) {
            this.#tickWorker(worker, now);
        }
        this.#tickedAt = now;
        this.#recordClocks(now);
        if (now - this.#cleanedUpAt >= JOB_CLEANUP_INTERVAL_MS) {
            this.#cleanedUpAt = now;
            this.#removeEndedJobs();
        }
        this.#context.isDirty = true;
        if (mayPlace) {
            this.#placer.placeWaiting();
        }
    }

    #isConflicting(state: WorkerState, report: WorkerReport, sequence: number): boolean {
        const pools = this.#context.ledger.configuration?.pools ?? [];
        return isConflictingHeartbeat(state, report, {
            sequence,
            isKnownPool: (pool) => pools.some(({ name }) => name === pool),
        });
    }

    #adoptWorkers(): void {
        const now = this.#context.clock.getNow();
        for (const record of this.#context.ledger.workers.values()) {
            const worker = this.#context.book.ensureWorker(record, now);
            worker.inheritedLeaseEndsAt =
                now + this.#context.limits.leaseMs * INHERITED_LEASE_FACTOR;
            worker.isSuspect = true;
            const clockMs = this.#context.ledger.lastReportClocksMs.get(record.id);
            worker.lastReport = { arrivedAt: Number.NEGATIVE_INFINITY, clockMs };
        }
    }

    /** Looks at every worker, those first on which jobs wait. */
    #pollAll(): void {
        const workers = [...this.#context.book.workers];
        workers.sort((a, b) => b.members.size - a.members.size);
        workers.forEach(({ record }) => this.#context.emit({ type: "look", worker: record.id }));
    }

    /** Two live workers never share an address: one of them is an earlier incarnation. */
    #checkAddress(record: WorkerReport): void {
        for (const other of this.#context.book.workers) {
            if (other.record.address === record.address && other.record.id !== record.id) {
                this.#context.emit({ type: "look", worker: other.record.id });
            }
        }
    }

    #tickWorker(worker: WorkerState, now: number): void {
        const sent = [...worker.members.values()].filter((member) => member.state !== "planned");
        if (sent.length > 0 && this.#context.book.isLeaseOver(worker, now)) {
            this.#failures.expireLease(worker, sent);
        }
        for (const member of worker.members.values()) {
            if (member.state === "stopping" && now - member.stopSentAt > STOP_RETRY_MS) {
                this.#context.emit({ type: "stop", member });
            }
        }
        if (hasOverdueTask(worker, now)) {
            worker.extraPollAt = now;
            this.#context.emit({ type: "look", worker: worker.record.id });
        }
        this.#evacuator.drainWorker(worker, now);
        if (worker.pausedUntil > this.#tickedAt && worker.pausedUntil <= now) {
            this.#context.recordRoom(worker);
        }
        const isIdle = worker.members.size === 0;
        if (
            isIdle &&
            now - worker.lastContactAt > IDLE_WORKER_RETENTION_MS &&
            Number.isFinite(worker.lastContactAt)
        ) {
            this.#failures.removeWorker(worker.record.id, "silent");
        }
    }

    /** Without it a new leader would give out no work until each worker's next heartbeat. */
    #recordClocks(now: number): void {
        if (
            this.#unrecordedClocks.size === 0 ||
            now - this.#clocksRecordedAt < CLOCK_RECORD_INTERVAL_MS
        ) {
            return;
        }
        this.#clocksRecordedAt = now;
        this.#context.record({ type: "workersHeard", reports: [...this.#unrecordedClocks] });
        this.#unrecordedClocks.clear();
    }

    #removeEndedJobs(): void {
        const before = this.#context.clock.getWallTime() - this.#context.limits.retentionMs;
        for (const job of this.#context.ledger.jobs.values()) {
            if (job.endedAt !== undefined && job.endedAt < before && job.occurrences.size === 0) {
                this.#context.record({ type: "jobsForgotten", before });
                return;
            }
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

    /** See {@link Orders.prepareLook}. */
    preparePoll(id: WorkerId, mayWait: boolean): PollOrder | undefined {
        return this.#poller.preparePoll(id, mayWait);
    }

    /** See {@link Orders.handleLook}. */
    handlePollAnswer(order: PollOrder, sentAt: number, answer: PollAnswer): void {
        this.#poller.handlePollAnswer(order, sentAt, answer);
    }

    /** See {@link Orders.confirmEnds}. */
    confirmEnds(id: WorkerId, cursor: number): void {
        this.#poller.confirmEnds(id, cursor);
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

/**
 * Tells whether a heartbeat says what is on record.
 *
 * @param record What is on record.
 * @param report What the heartbeat says.
 * @returns True when nothing differs.
 */
export function isSameReport(record: WorkerRecord, report: WorkerReport): boolean {
    return JSON.stringify(createReport(record)) === JSON.stringify(createReport(report));
}

/** What a worker told, without what was learned from it. */
function createReport(report: WorkerReport): WorkerReport {
    const { id, address, pool, zone, capacity, labels, instance, isDraining } = report;
    return { id, address, pool, zone, capacity, labels, instance, isDraining };
}
