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
import { isContradiction } from "./contradiction.ts";
import { Attempts } from "./_attempts.ts";
import { DispatchContext, type DispatchContextOptions } from "./_context.ts";
import { Evacuator } from "./_evacuator.ts";
import { Looks } from "./_looks.ts";
import { Orders } from "./_orders.ts";
import { hasOverdueTask } from "./overdue.ts";
import { StepPlacer } from "./_placer.ts";
import { isSameRoom, mergeRoom } from "./room_reports.ts";
import { WorkerLosses } from "./_worker_losses.ts";
import type {
    Admission,
    AdviceCall,
    Heartbeat,
    LaneId,
    LookAnswer,
    LookOrder,
    MemberRun,
    OrderAnswer,
    Outcome,
    PaceOrder,
    StartOrder,
    StopOrder,
} from "./types.ts";
import type { WorkerState } from "./worker_book.ts";

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
const STOP_AGAIN_MS = 400;
/** Time between two sweeps that forget ended jobs, in ms. */
const FORGET_EVERY_MS = 5_000;
/** A worker not heard from for this long, and with nothing running, is forgotten, in ms. */
const FORGET_WORKER_MS = 120_000;
/** Time between two records of the heartbeats since, in ms: a third of the time between two of a worker. */
const RECORD_HEARD_EVERY_MS = 500;
/** Slowest clock against ours, as in {@link WorkerClock}. */
const INHERITED_LEASE_FACTOR = 1 / 0.98;

/** The leader's decisions. */
export class Dispatcher {
    readonly #context: DispatchContext;
    readonly #attempts: Attempts;
    readonly #losses: WorkerLosses;
    readonly #orders: Orders;
    readonly #looks: Looks;
    readonly #placer: StepPlacer;
    readonly #evacuator: Evacuator;
    /** Heartbeats that are not on record yet: what the workers' clocks showed. */
    readonly #heard = new Map<WorkerId, number>();
    #heardRecordedAt = Number.NEGATIVE_INFINITY;
    #forgottenAt: number;
    #tickedAt = Number.NEGATIVE_INFINITY;

    /**
     * Takes over: every attempt on record may be out, and every worker with one is looked at.
     *
     * @param options State, clocks, first fence; see {@link DispatchContextOptions}.
     */
    constructor(options: DispatcherOptions) {
        this.#context = new DispatchContext(options);
        this.#attempts = new Attempts(this.#context);
        this.#losses = new WorkerLosses(this.#context, this.#attempts);
        this.#orders = new Orders(this.#context, this.#attempts, this.#losses);
        this.#looks = new Looks(this.#context, this.#attempts, this.#losses);
        this.#placer = new StepPlacer(this.#context, this.#attempts);
        this.#evacuator = new Evacuator(this.#context, this.#attempts);
        this.#forgottenAt = this.#context.clock.getNow();
        this.#adoptWorkers();
        this.#attempts.adoptJobs();
        this.#lookAtAll();
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
        this.#context.board.forgetTries();
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
        if (state !== undefined && sequence <= state.heartbeat) {
            return;
        }
        // A worker that said it leaves does not come back under the same id; a late heartbeat
        // from before that must not bring new work to it.
        const isDraining = record.isDraining || (known?.isDraining ?? false);
        const { room, unconfirmed } = mergeRoom(
            known?.capacity ?? record.capacity,
            record.capacity,
            state?.unconfirmedRoom,
        );
        const next = { ...record, capacity: room, isDraining };
        if (state !== undefined && this.#isContradiction(state, next, sequence)) {
            this.#context.recordDecision("failure", "heartbeat contradicts its worker", {
                worker: record.id,
                address: record.address,
                pool: record.pool,
                sequence,
            });
            return;
        }
        if (known === undefined || !isSameReport(known, next)) {
            this.#context.record({ type: "workerSeen", worker: next });
            this.#context.recordDecision(
                "decision",
                known === undefined ? "worker joined" : "worker changed",
                {
                    worker: record.id,
                    address: record.address,
                    draining: isDraining,
                    capacity: room,
                },
            );
            this.#checkAddress(next);
        }
        const durable = this.#context.ledger.workers.get(record.id);
        if (durable === undefined) {
            return;
        }
        const hadRoom = state?.record.capacity;
        const worker = this.#context.book.ensureWorker(durable, now);
        const wasUsable = this.#context.book.isUsable(worker, now);
        worker.heartbeat = sequence;
        worker.heardAt = now;
        worker.report = { arrivedAt: now, clockMs };
        if (clockMs !== undefined) {
            this.#heard.set(record.id, clockMs);
        }
        worker.unconfirmedRoom = unconfirmed;
        worker.leavesAt = leavesInMs === undefined ? worker.leavesAt : now + leavesInMs;
        if (worker.isSuspect) {
            // It lives, but orders did not reach it; only an answered look brings work back.
            this.#context.emit({ type: "look", worker: record.id });
        }
        if (clockMs !== undefined) {
            worker.clock.record(clockMs, now);
        }
        const hasChangedRoom = hadRoom !== undefined && !isSameRoom(hadRoom, room);
        if (!wasUsable || hasChangedRoom) {
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
    handleSign(
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
            this.#losses.removeWorker(id, "left");
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
        this.#context.isDirty = this.#context.board.openDue() || this.#context.isDirty;
        for (const worker of this.#context.book.workers) {
            this.#tickWorker(worker, now);
        }
        this.#tickedAt = now;
        this.#recordHeard(now);
        if (now - this.#forgottenAt >= FORGET_EVERY_MS) {
            this.#forgottenAt = now;
            this.#forgetEnded();
        }
        this.#context.isDirty = true;
        if (mayPlace) {
            this.#placer.placeWaiting();
        }
    }

    #isContradiction(state: WorkerState, next: WorkerReport, sequence: number): boolean {
        const pools = this.#context.ledger.configuration?.pools ?? [];
        return isContradiction(state, next, {
            sequence,
            isPoolNamed: (pool) => pools.some(({ name }) => name === pool),
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
            worker.report = { arrivedAt: Number.NEGATIVE_INFINITY, clockMs };
        }
    }

    /** Looks at every worker, those first on which jobs wait. */
    #lookAtAll(): void {
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
            this.#losses.expireLease(worker, sent);
        }
        for (const member of worker.members.values()) {
            if (member.state === "stopping" && now - member.stopSentAt > STOP_AGAIN_MS) {
                this.#context.emit({ type: "stop", member });
            }
        }
        if (hasOverdueTask(worker, now)) {
            worker.extraLookAt = now;
            this.#context.emit({ type: "look", worker: worker.record.id });
        }
        this.#evacuator.drainWorker(worker, now);
        if (worker.pausedUntil > this.#tickedAt && worker.pausedUntil <= now) {
            this.#context.recordRoom(worker);
        }
        const isIdle = worker.members.size === 0;
        if (isIdle && now - worker.heardAt > FORGET_WORKER_MS && Number.isFinite(worker.heardAt)) {
            this.#losses.removeWorker(worker.record.id, "silent");
        }
    }

    /** Without it a new leader would give out no work until each worker's next heartbeat. */
    #recordHeard(now: number): void {
        if (this.#heard.size === 0 || now - this.#heardRecordedAt < RECORD_HEARD_EVERY_MS) {
            return;
        }
        this.#heardRecordedAt = now;
        this.#context.record({ type: "workersHeard", reports: [...this.#heard] });
        this.#heard.clear();
    }

    #forgetEnded(): void {
        const before = this.#context.clock.getWall() - this.#context.limits.retentionMs;
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
    prepareLook(id: WorkerId, mayWait: boolean): LookOrder | undefined {
        return this.#looks.prepareLook(id, mayWait);
    }

    /** See {@link Orders.handleLook}. */
    handleLook(order: LookOrder, sentAt: number, answer: LookAnswer): void {
        this.#looks.handleLook(order, sentAt, answer);
    }

    /** See {@link Orders.confirmEnds}. */
    confirmEnds(id: WorkerId, cursor: number): void {
        this.#looks.confirmEnds(id, cursor);
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
