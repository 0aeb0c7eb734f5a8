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

import type { Configuration, PoolName, QueueConfig, QueueName } from "../configuration/mod.ts";
import {
    formatTaskName,
    type EndKind,
    type Fact,
    type Job,
    type JobId,
    type JobSpec,
    type Ledger,
    type Resources,
    type UnitRef,
    type WorkerId,
    type WorkerRecord,
} from "../job/mod.ts";
import { AdviceDesk } from "./advice_desk.ts";
import { placeUnit, type Candidate } from "./placement.ts";
import { createStepKey, rankStep, StepBoard, type StepWork } from "./step_board.ts";
import type {
    Admission,
    AdviceCall,
    DispatchClock,
    Effect,
    EndReport,
    LaneId,
    LookAnswer,
    LookOrder,
    MemberRun,
    OrderAnswer,
    RunningReport,
    StartOrder,
    StopOrder,
} from "./types.ts";
import { getFreeRoom, WorkerBook, type WorkerState } from "./worker_book.ts";

/** Options of {@link Dispatcher}. */
export interface DispatcherOptions {
    /** The state to decide on; the dispatcher applies its own facts to it at once. */
    readonly ledger: Ledger;
    readonly clock: DispatchClock;
    /** Above every fence of earlier leaders. */
    readonly firstFence: number;
    readonly limits?: Partial<DispatchLimits>;
    /** Takes a line about each decision. */
    readonly record?: RecordDecision;
}

/** Takes one decision with what decided it; `failure` when something went wrong. */
export type RecordDecision = (
    kind: "decision" | "failure",
    event: string,
    fields: Readonly<Record<string, unknown>>,
) => void;

/** Times and limits of the dispatcher. */
export interface DispatchLimits {
    /** How long a worker keeps running without a renewal, in ms. */
    readonly leaseMs: number;
    /** How long ended jobs are remembered, in ms. */
    readonly retentionMs: number;
    /** How long one look at a worker may wait for an end, in ms. */
    readonly lookWaitMs: number;
}

/** Default times and limits. */
export const DEFAULT_DISPATCH_LIMITS: DispatchLimits = {
    // Work goes on through an election (below 2 s) and a cut of some seconds, and a dead worker's
    // tasks start elsewhere soon after.
    leaseMs: 6_000,
    // Twice the time for which a state must stay readable.
    retentionMs: 240_000,
    // A look that is lost is noticed after this and a little more; a third of a lease.
    lookWaitMs: 1_500,
};

/** What one input led to. */
export interface Outcome {
    readonly facts: readonly Fact[];
    readonly effects: readonly Effect[];
}

/** What a caller hands in. */
export interface Submission {
    readonly job: JobId;
    readonly queue: QueueName;
    readonly pool: PoolName;
    readonly spec: JobSpec;
}

/** Times that a start is sent before the worker counts as silent. */
const MAX_START_TRIES = 2;
/** A stop without an end in the worker's lists is sent again after this, in ms. */
const STOP_AGAIN_MS = 400;
/** A ticket is not used so shortly before its end: the commit and the order take time, in ms. */
const TICKET_MARGIN_MS = 150;
/** Pause before asking again when nothing new can be learned, in ms. */
const ADVICE_RETRY_MS = 500;
/** The most workers named in one call (the service's limit). */
const MAX_ADVICE_WORKERS = 100;
/** Ends listed in one answer at most; a full list may leave others out. */
const MAX_ENDS_LISTED = 500;
/** Time between two sweeps that forget ended jobs, in ms. */
const FORGET_EVERY_MS = 5_000;
/** A worker not heard from for this long, and with nothing running, is forgotten, in ms. */
const FORGET_WORKER_MS = 120_000;
/** Slowest clock against ours, as in {@link WorkerClock}. */
const INHERITED_LEASE_FACTOR = 1 / 0.98;

/** Ends that somebody may have to explain. */
const FAILED_ENDS: ReadonlySet<EndKind> = new Set([
    "failed",
    "lapsed",
    "broken",
    "alone",
    "lost",
    "void",
]);

/** The leader's decisions. */
export class Dispatcher {
    readonly #ledger: Ledger;
    readonly #clock: DispatchClock;
    readonly #limits: DispatchLimits;
    readonly #recordDecision: RecordDecision;
    readonly #book: WorkerBook;
    readonly #board: StepBoard;
    readonly #desk = new AdviceDesk();
    readonly #units = new Map<string, Map<number, MemberRun>>();
    #facts: Fact[] = [];
    #effects: Effect[] = [];
    #nextCall = 1;
    #forgottenAt: number;
    #isDirty = true;

    /**
     * Takes over: every attempt on record may be out, and every worker with one is looked at.
     *
     * @param options State, clocks, first fence; see {@link DispatcherOptions}.
     */
    constructor(options: DispatcherOptions) {
        this.#ledger = options.ledger;
        this.#clock = options.clock;
        this.#limits = { ...DEFAULT_DISPATCH_LIMITS, ...options.limits };
        this.#recordDecision = options.record ?? (() => {});
        this.#book = new WorkerBook({
            firstFence: options.firstFence,
            leaseMs: this.#limits.leaseMs,
        });
        this.#board = new StepBoard({ ledger: this.#ledger, clock: this.#clock });
        this.#forgottenAt = this.#clock.getNow();
        this.#adoptWorkers();
        this.#adoptJobs();
    }

    /** Jobs accepted for a queue of which no task has started. */
    countPending(queue: QueueName): number {
        let count = 0;
        for (const job of this.#ledger.jobs.values()) {
            count += job.queue === queue && job.state === "queued" ? 1 : 0;
        }
        return count;
    }

    /**
     * Takes what the inputs since the last call led to.
     *
     * @returns Facts to agree on, effects to carry out after that.
     */
    takeOutcome(): Outcome {
        const outcome = { facts: this.#facts, effects: this.#effects };
        this.#facts = [];
        this.#effects = [];
        return outcome;
    }

    /**
     * Accepts a job, or finds that it was handed in before.
     *
     * @param submission The job.
     * @returns Whether it is new.
     */
    submit(submission: Submission): boolean {
        if (this.#ledger.jobs.has(submission.job)) {
            return false;
        }
        this.#record({ type: "jobAccepted", ...submission });
        const job = this.#ledger.jobs.get(submission.job);
        if (job !== undefined) {
            this.#board.openJob(job);
        }
        this.#recordDecision("decision", "job accepted", {
            request: submission.job,
            queue: submission.queue,
            steps: submission.spec.steps.length,
        });
        this.#isDirty = true;
        return true;
    }

    /**
     * Cancels a job.
     *
     * @param id The job.
     * @returns Whether there is such a job.
     */
    cancel(id: JobId): boolean {
        const job = this.#ledger.jobs.get(id);
        if (job === undefined) {
            return false;
        }
        if (job.endedAt === undefined) {
            this.#record({ type: "jobCancelled", job: id });
            this.#recordDecision("decision", "job cancelled", { request: id });
            this.#closeJob(job);
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
        const current = this.#ledger.configuration?.version;
        if (current !== undefined && configuration.version <= current) {
            return false;
        }
        this.#record({ type: "configurationSet", configuration });
        this.#recordDecision("decision", "configuration set", {
            version: configuration.version,
            before: current,
            queues: configuration.queues.length,
        });
        this.#isDirty = true;
        return true;
    }

    /**
     * Takes a worker's heartbeat.
     *
     * @param record What it tells of itself.
     * @param sequence Rises with each heartbeat of the worker.
     * @param clockMs The worker's clock when it was sent.
     */
    handleHeartbeat(record: WorkerRecord, sequence: number, clockMs: number | undefined): void {
        if (this.#ledger.isGone(record.id)) {
            return;
        }
        const now = this.#clock.getNow();
        const known = this.#ledger.workers.get(record.id);
        const state = this.#book.findWorker(record.id);
        if (state !== undefined && sequence <= state.heartbeat) {
            return;
        }
        // A worker that said it leaves does not come back under the same id; a late heartbeat
        // from before that must not bring new work to it.
        const isDraining = record.isDraining || (known?.isDraining ?? false);
        const next = { ...record, isDraining };
        if (known === undefined || !isSameRecord(known, next)) {
            this.#record({ type: "workerSeen", worker: next });
            this.#recordDecision(
                "decision",
                known === undefined ? "worker joined" : "worker changed",
                {
                    worker: record.id,
                    address: record.address,
                    draining: isDraining,
                },
            );
            this.#checkAddress(next);
        }
        const worker = this.#book.ensureWorker(next, now);
        worker.heartbeat = sequence;
        worker.heardAt = now;
        if (clockMs !== undefined) {
            worker.clock.record(clockMs, now);
        }
        this.#isDirty = true;
    }

    /**
     * Takes a worker's word that it has left.
     *
     * @param id The worker.
     */
    handleLeave(id: WorkerId): void {
        if (this.#book.findWorker(id) !== undefined) {
            this.#removeWorker(id, "left");
        }
    }

    /**
     * Gives the start order of a member whose fact is committed, if it is still wanted.
     *
     * @param member The member.
     * @returns The order, or `undefined` when nothing is to be sent.
     */
    prepareStart(member: MemberRun): StartOrder | undefined {
        const worker = this.#findActive(member);
        const job = this.#ledger.jobs.get(member.unit.job);
        if (worker === undefined || job === undefined || member.state === "stopping") {
            return undefined;
        }
        const isWanted = job.endedAt === undefined && job.spec !== undefined;
        const until = isWanted ? this.#book.grantLease(worker, this.#clock.getNow()) : undefined;
        if (until === undefined) {
            if (member.state === "planned") {
                this.#endMember(member, "void", "");
            }
            return undefined;
        }
        member.state = "ordered";
        member.tries += 1;
        member.fence = worker.fence;
        const unit = this.#ledger.findUnit(member.unit);
        return {
            worker: member.worker,
            address: worker.record.address,
            task: member.name,
            attempt: member.attempt,
            payload: job.spec?.payload ?? "",
            untilMs: until,
            fence: worker.fence,
            checkpoint: unit?.checkpoint ?? "",
            ticket: member.ticket,
        };
    }

    /**
     * Takes a worker's answer to a start.
     *
     * @param member The member.
     * @param answer The answer.
     */
    handleStartAnswer(member: MemberRun, answer: OrderAnswer): void {
        const worker = this.#findActive(member);
        if (worker === undefined) {
            return;
        }
        const now = this.#clock.getNow();
        switch (answer.type) {
            case "accepted":
                this.#book.recordAnswer(worker, answer.clockMs, now);
                member.settledAt = now;
                if (member.state === "ordered") {
                    member.state = "running";
                    member.startedAt = now;
                    member.progressedAt = now;
                }
                return;
            case "refused":
                this.#book.recordAnswer(worker, answer.clockMs, now);
                this.#handleRefusal(worker, member, answer.reason);
                return;
            case "gone":
                this.#removeWorker(worker.record.id, "another incarnation answers");
                return;
            case "unanswered":
                this.#handleUnanswered(worker, member, answer.cause);
                return;
        }
    }

    /**
     * Gives the stop order of a member, if it still runs as far as known.
     *
     * @param member The member.
     * @returns The order, or `undefined` when its end is known.
     */
    prepareStop(member: MemberRun): StopOrder | undefined {
        const worker = this.#findActive(member);
        if (worker === undefined) {
            return undefined;
        }
        member.stopSentAt = this.#clock.getNow();
        return {
            worker: member.worker,
            address: worker.record.address,
            task: member.name,
            attempt: member.attempt,
            fence: worker.fence,
        };
    }

    /**
     * Takes a worker's answer to a stop. Once it took the stop, a start that is still on its way
     * will be refused: the member is in the worker's lists from now on, or never runs.
     *
     * @param member The member.
     * @param answer The answer.
     */
    handleStopAnswer(member: MemberRun, answer: OrderAnswer): void {
        const worker = this.#findActive(member);
        if (worker === undefined) {
            return;
        }
        const now = this.#clock.getNow();
        if (answer.type === "accepted") {
            this.#book.recordAnswer(worker, answer.clockMs, now);
            if (member.settledAt === undefined) {
                member.settledAt = now;
                this.#effects.push({ type: "look", worker: member.worker });
            }
        } else if (answer.type === "gone") {
            this.#removeWorker(worker.record.id, "another incarnation answers");
        } else if (answer.type === "unanswered") {
            this.#setSuspect(worker, answer.cause);
        }
    }

    /**
     * Gives the next look at a worker.
     *
     * @param id The worker.
     * @param mayWait Whether the worker may hold its answer back until something ends.
     * @returns The look, or `undefined` when nothing runs there and every end is acknowledged.
     */
    prepareLook(id: WorkerId, mayWait: boolean): LookOrder | undefined {
        const worker = this.#book.findWorker(id);
        if (worker === undefined) {
            return undefined;
        }
        const hasUntold = worker.durableCursor > worker.toldCursor;
        if (mayWait && worker.members.size === 0 && !hasUntold) {
            return undefined;
        }
        return {
            worker: id,
            address: worker.record.address,
            fence: worker.fence,
            cursor: worker.durableCursor,
            // A look that gets no answer may have been carried out. Renewing the lease with each
            // try would keep a lost worker's tasks, and their callers, waiting for ever.
            untilMs: worker.isSuspect
                ? undefined
                : this.#book.grantLease(worker, this.#clock.getNow()),
            waitMs: mayWait && worker.members.size > 0 ? this.#limits.lookWaitMs : 0,
        };
    }

    /**
     * Takes a worker's answer to a look.
     *
     * @param order The look.
     * @param sentAt When it was sent, in ms.
     * @param answer The answer.
     */
    handleLook(order: LookOrder, sentAt: number, answer: LookAnswer): void {
        const worker = this.#book.findWorker(order.worker);
        if (worker === undefined) {
            return;
        }
        if (answer.type === "gone") {
            this.#removeWorker(order.worker, "another incarnation answers");
            return;
        }
        if (answer.type === "unanswered") {
            this.#setSuspect(worker, answer.cause);
            return;
        }
        if (answer.type === "refused") {
            // A look that was overtaken by a higher fence of our own; the next one carries it.
            return;
        }
        const now = this.#clock.getNow();
        if (worker.isSuspect) {
            this.#recordDecision("decision", "worker answers again", { worker: order.worker });
            this.#isDirty = true;
        }
        this.#book.recordAnswer(worker, answer.clockMs, now);
        worker.confirmedFence = Math.max(worker.confirmedFence, order.fence);
        worker.toldCursor = Math.max(worker.toldCursor, order.cursor);
        answer.ended.forEach((report) => this.#handleEnd(worker, report));
        if (worker.readCursor > worker.durableCursor) {
            const cursor = worker.readCursor;
            this.#effects.push({ type: "acknowledge", worker: order.worker, cursor });
        }
        answer.running.forEach((report) => this.#handleRunning(worker, report));
        this.#settleMissing(worker, order, sentAt, answer);
    }

    /**
     * Notes that ends are durable: a worker told to forget an end that only this leader knew would
     * leave a later leader to start the task again.
     *
     * @param id The worker.
     * @param cursor The newest durable end.
     */
    confirmEnds(id: WorkerId, cursor: number): void {
        const worker = this.#book.findWorker(id);
        if (worker !== undefined) {
            worker.durableCursor = Math.max(worker.durableCursor, cursor);
        }
    }

    /**
     * Sets the front instances that can call the advice service.
     *
     * @param lanes The instances.
     */
    setLanes(lanes: readonly LaneId[]): void {
        this.#desk.setLanes(lanes);
        this.#isDirty = true;
    }

    /**
     * Takes the advice service's answer.
     *
     * @param call The call.
     * @param admissions The workers that may run the step; `undefined` when there was no answer.
     * @param ageMs How long ago the service gave the answer, at most, in ms.
     */
    handleAdvice(
        call: AdviceCall,
        admissions: readonly Admission[] | undefined,
        ageMs: number,
    ): void {
        const now = this.#clock.getNow();
        this.#desk.endCall(call.id, admissions !== undefined, now);
        this.#isDirty = true;
        const step = this.#board.findStep(call.step);
        if (step === undefined || step.advice.callId !== call.id) {
            return;
        }
        step.advice.callId = undefined;
        if (admissions === undefined) {
            return;
        }
        call.workers.forEach((worker) => step.advice.asked.add(worker));
        const validUntil = now - ageMs + call.policy.validMs - TICKET_MARGIN_MS;
        for (const { worker, ticket } of admissions) {
            step.advice.good.set(worker, { ticket, validUntil });
        }
        if (admissions.length === 0) {
            step.advice.retryAt = now + ADVICE_RETRY_MS;
        }
        this.#recordDecision("decision", "advice received", {
            request: step.job.id,
            step: call.step,
            asked: call.workers.length,
            good: admissions.length,
            ageMs: Math.round(ageMs),
        });
    }

    /** Does what is due by the clock, then places what waits. */
    tick(): void {
        const now = this.#clock.getNow();
        this.#isDirty ||= this.#board.openDue();
        for (const worker of this.#book.workers) {
            this.#tickWorker(worker, now);
        }
        if (now - this.#forgottenAt >= FORGET_EVERY_MS) {
            this.#forgottenAt = now;
            this.#forgetEnded();
        }
        this.#isDirty = true;
        this.placeWaiting();
    }

    /** Places what waits, if anything changed since the last time. */
    placeWaiting(): void {
        if (!this.#isDirty) {
            return;
        }
        this.#isDirty = false;
        const now = this.#clock.getNow();
        const ranked = this.#board
            .listWaiting()
            .map((step) => ({ step, queue: this.#findQueue(step.queue) }))
            .filter((entry): entry is RankedStep => entry.queue !== undefined)
            .sort((a, b) => rankStep(a.step, a.queue) - rankStep(b.step, b.queue));
        for (const { step, queue } of ranked) {
            this.#placeStep(step, queue, now);
        }
        for (const { lane, call } of this.#desk.takeCalls(now)) {
            this.#effects.push({ type: "advise", lane, call });
        }
    }

    #record(fact: Fact): void {
        this.#facts.push(fact);
        this.#ledger.apply({ at: this.#clock.getWall(), facts: [fact] });
    }

    #adoptWorkers(): void {
        const now = this.#clock.getNow();
        for (const record of this.#ledger.workers.values()) {
            const worker = this.#book.ensureWorker(record, now);
            worker.inheritedLeaseEndsAt = now + this.#limits.leaseMs * INHERITED_LEASE_FACTOR;
            worker.isSuspect = true;
            this.#effects.push({ type: "look", worker: record.id });
        }
    }

    #adoptJobs(): void {
        const now = this.#clock.getNow();
        for (const job of this.#ledger.jobs.values()) {
            if (job.endedAt === undefined) {
                this.#board.openJob(job);
            }
            for (const [number, occurrence] of job.occurrences) {
                occurrence.steps.forEach((units, step) =>
                    units.forEach((unit, i) => {
                        const ref = { job: job.id, occurrence: number, step, unit: i };
                        for (const [index, worker] of unit.members) {
                            const member = this.#createMember(job, ref, index, worker, undefined);
                            member.state = job.endedAt === undefined ? "ordered" : "stopping";
                            member.tries = MAX_START_TRIES;
                            member.startedAt = now;
                            this.#addMember(member);
                        }
                    }),
                );
            }
        }
        this.#endOrphans();
    }

    /** Ends members on workers that were forgotten before their ends were recorded. */
    #endOrphans(): void {
        for (const members of [...this.#units.values()]) {
            for (const member of [...members.values()]) {
                if (this.#book.findWorker(member.worker) === undefined) {
                    this.#endMember(member, "lost", "");
                }
            }
        }
    }

    #createMember(
        job: Job,
        unit: UnitRef,
        index: number,
        worker: WorkerId,
        ticket: string | undefined,
    ): MemberRun {
        const spec = job.spec?.steps[unit.step];
        const now = this.#clock.getNow();
        return {
            unit,
            index,
            name: formatTaskName({ ...unit, index }),
            attempt: this.#ledger.findUnit(unit)?.attempt ?? 0,
            worker,
            room: computeRoom(spec),
            priority: this.#findQueue(job.queue)?.priority ?? 0,
            state: "planned",
            tries: 0,
            fence: 0,
            settledAt: undefined,
            startedAt: now,
            percent: 0,
            progressedAt: now,
            stopSentAt: Number.NEGATIVE_INFINITY,
            ticket,
        };
    }

    #addMember(member: MemberRun): void {
        const key = createUnitKey(member.unit);
        const members = this.#units.get(key) ?? new Map<number, MemberRun>();
        members.set(member.index, member);
        this.#units.set(key, members);
        this.#book.addMember(member);
    }

    /** Gives a member's worker, unless the member's end is known already. */
    #findActive(member: MemberRun): WorkerState | undefined {
        const worker = this.#book.findWorker(member.worker);
        return worker?.members.get(member.name) === member ? worker : undefined;
    }

    #findQueue(name: QueueName): QueueConfig | undefined {
        return this.#ledger.queues.get(name);
    }

    #handleRefusal(
        worker: WorkerState,
        member: MemberRun,
        reason: Extract<OrderAnswer, { type: "refused" }>["reason"],
    ): void {
        this.#recordDecision("failure", "start refused", {
            request: member.unit.job,
            task: member.name,
            attempt: member.attempt,
            worker: member.worker,
            reason,
            tries: member.tries,
        });
        if (reason === "unhealthy") {
            this.#book.recordUnhealthy(worker, this.#clock.getNow());
        }
        if (member.tries <= 1) {
            this.#dropTicket(member, reason);
            this.#endMember(member, "void", "");
            return;
        }
        // An earlier send got no answer and may yet be carried out, or was and has ended since.
        if (reason === "superseded") {
            member.settledAt = this.#clock.getNow();
            this.#effects.push({ type: "look", worker: member.worker });
        } else {
            this.#startBarrier(worker, member);
        }
    }

    #dropTicket(member: MemberRun, reason: string): void {
        if (reason === "ticket") {
            const step = this.#board.findStep(createStepKey(member.unit));
            step?.advice.good.set(member.worker, { ticket: "", validUntil: 0 });
        }
    }

    #handleUnanswered(worker: WorkerState, member: MemberRun, cause: string): void {
        this.#recordDecision("failure", "start unanswered", {
            request: member.unit.job,
            task: member.name,
            attempt: member.attempt,
            worker: member.worker,
            tries: member.tries,
            cause,
        });
        if (member.tries < MAX_START_TRIES && member.state === "ordered") {
            // The worker takes a start that it has already as done: sending it again over
            // another connection is safe and tells a lost answer from a lost worker.
            this.#effects.push({ type: "start", member });
            return;
        }
        this.#setSuspect(worker, cause);
        this.#startBarrier(worker, member);
    }

    /**
     * Raises the worker's fence and looks at it. An unanswered start may be carried out seconds
     * later, when its task runs elsewhere already: the task would run twice. Once the worker has
     * taken the higher fence it refuses the late start, and its lists say whether it ran before.
     */
    #startBarrier(worker: WorkerState, member: MemberRun): void {
        if (worker.fence <= member.fence) {
            this.#book.advanceFence(worker);
        }
        this.#effects.push({ type: "look", worker: worker.record.id });
    }

    #setSuspect(worker: WorkerState, cause: string): void {
        if (!worker.isSuspect) {
            worker.isSuspect = true;
            this.#recordDecision("failure", "worker silent", { worker: worker.record.id, cause });
        }
    }

    #handleEnd(worker: WorkerState, report: EndReport): void {
        worker.readCursor = Math.max(worker.readCursor, report.number);
        const member = worker.members.get(report.task as MemberRun["name"]);
        if (member === undefined || member.attempt !== report.attempt) {
            return;
        }
        this.#book.recordEnd(
            worker,
            member.unit.job,
            report.how === "failed",
            this.#clock.getNow(),
        );
        if (report.how === "failed") {
            this.#board.findStep(createStepKey(member.unit))?.failedOn.add(member.worker);
        }
        this.#endMember(member, report.how, report.checkpoint);
    }

    #handleRunning(worker: WorkerState, report: RunningReport): void {
        const member = worker.members.get(report.task as MemberRun["name"]);
        if (member === undefined || member.attempt !== report.attempt) {
            return;
        }
        const now = this.#clock.getNow();
        member.settledAt ??= now;
        if (member.state === "ordered") {
            member.state = "running";
        }
        if (report.percent > member.percent) {
            member.percent = report.percent;
            member.progressedAt = now;
        }
    }

    /** Ends members that a worker's lists should hold and do not. */
    #settleMissing(
        worker: WorkerState,
        order: LookOrder,
        sentAt: number,
        answer: Extract<LookAnswer, { type: "state" }>,
    ): void {
        if (answer.ended.length >= MAX_ENDS_LISTED) {
            return;
        }
        const listed = new Set(answer.running.map((report) => `${report.task}#${report.attempt}`));
        for (const member of [...worker.members.values()]) {
            if (member.state === "planned" || listed.has(`${member.name}#${member.attempt}`)) {
                continue;
            }
            const isFenced = member.fence < order.fence && member.settledAt === undefined;
            const isSettled = member.settledAt !== undefined && member.settledAt < sentAt;
            if (isFenced || isSettled) {
                this.#endMember(member, "void", "");
            }
        }
    }

    #endMember(member: MemberRun, how: EndKind, checkpoint: string): void {
        if (this.#findActive(member) === undefined && how !== "lost") {
            return;
        }
        const { unit: ref } = member;
        this.#book.removeMember(member);
        const members = this.#units.get(createUnitKey(ref));
        members?.delete(member.index);
        this.#record({
            type: "memberEnded",
            unit: ref,
            attempt: member.attempt,
            index: member.index,
            how,
            checkpoint,
        });
        this.#recordDecision(FAILED_ENDS.has(how) ? "failure" : "decision", "task ended", {
            request: ref.job,
            task: member.name,
            attempt: member.attempt,
            worker: member.worker,
            how,
            tookMs: Math.round(this.#clock.getNow() - member.startedAt),
        });
        this.#isDirty = true;
        if (members !== undefined && members.size > 0) {
            if (how !== "done") {
                // The others of a gang can not go on without this one.
                members.forEach((other) => this.#stopMember(other));
            }
            return;
        }
        this.#units.delete(createUnitKey(ref));
        this.#handleAttemptEnd(ref);
    }

    #handleAttemptEnd(ref: UnitRef): void {
        const job = this.#ledger.jobs.get(ref.job);
        if (job === undefined) {
            return;
        }
        if (job.endedAt !== undefined) {
            if (job.state === "complete") {
                this.#recordDecision("decision", "job complete", { request: job.id });
            }
            this.#closeJob(job);
            return;
        }
        const unit = this.#ledger.findUnit(ref);
        if (unit?.isDone === true) {
            this.#board.updateAfterDone(ref).forEach((key) => this.#desk.removeCall(key));
            return;
        }
        const isPerpetual = job.spec?.steps[ref.step]?.isPerpetual ?? false;
        const limit = this.#findQueue(job.queue)?.maxAttempts ?? Number.POSITIVE_INFINITY;
        if (!isPerpetual && (unit?.failures ?? 0) >= limit) {
            this.#record({ type: "jobFailed", job: job.id });
            this.#recordDecision("failure", "job failed", { request: job.id, unit: ref, limit });
            this.#closeJob(job);
            return;
        }
        this.#board.addWaiting(ref);
    }

    /** Stops what still runs of a job that has ended. */
    #closeJob(job: Job): void {
        this.#board.closeJob(job.id).forEach((key) => this.#desk.removeCall(key));
        for (const [number, occurrence] of job.occurrences) {
            occurrence.steps.forEach((units, step) =>
                units.forEach((unit, i) => {
                    if (unit.members.size > 0) {
                        const ref = { job: job.id, occurrence: number, step, unit: i };
                        this.#units
                            .get(createUnitKey(ref))
                            ?.forEach((member) => this.#stopMember(member));
                    }
                }),
            );
        }
    }

    /** A planned member needs no order: its start finds that it is not wanted any more. */
    #stopMember(member: MemberRun): void {
        if (member.state === "stopping") {
            return;
        }
        if (member.state === "planned") {
            member.tries = 0;
            member.state = "stopping";
            member.settledAt = Number.NEGATIVE_INFINITY;
            this.#effects.push({ type: "look", worker: member.worker });
            return;
        }
        member.state = "stopping";
        this.#effects.push({ type: "stop", member });
    }

    #removeWorker(id: WorkerId, why: string): void {
        const worker = this.#book.findWorker(id);
        if (worker === undefined) {
            return;
        }
        this.#recordDecision("failure", "worker gone", {
            worker: id,
            why,
            members: worker.members.size,
        });
        this.#record({ type: "workerGone", worker: id });
        this.#endMembers([...worker.members.values()]);
        this.#book.removeWorker(id);
    }

    #endMembers(members: readonly MemberRun[]): void {
        members.forEach((member) => this.#endMember(member, "lost", ""));
    }

    /** Two live workers never share an address: one of them is an earlier incarnation. */
    #checkAddress(record: WorkerRecord): void {
        for (const other of this.#book.workers) {
            if (other.record.address === record.address && other.record.id !== record.id) {
                this.#effects.push({ type: "look", worker: other.record.id });
            }
        }
    }

    #tickWorker(worker: WorkerState, now: number): void {
        const sent = [...worker.members.values()].filter((member) => member.state !== "planned");
        if (sent.length > 0 && this.#book.isLeaseOver(worker, now)) {
            this.#recordDecision("failure", "lease over", {
                worker: worker.record.id,
                members: sent.length,
                silentMs: Math.round(now - worker.heardAt),
            });
            this.#endMembers(sent);
        }
        for (const member of worker.members.values()) {
            if (member.state === "stopping" && now - member.stopSentAt > STOP_AGAIN_MS) {
                this.#effects.push({ type: "stop", member });
            }
        }
        const isIdle = worker.members.size === 0;
        if (isIdle && now - worker.heardAt > FORGET_WORKER_MS && Number.isFinite(worker.heardAt)) {
            this.#removeWorker(worker.record.id, "silent");
        }
    }

    #forgetEnded(): void {
        const before = this.#clock.getWall() - this.#limits.retentionMs;
        for (const job of this.#ledger.jobs.values()) {
            if (job.endedAt !== undefined && job.endedAt < before && job.occurrences.size === 0) {
                this.#record({ type: "jobsForgotten", before });
                return;
            }
        }
    }

    #placeStep(step: StepWork, queue: QueueConfig, now: number): void {
        const candidates = this.#listCandidates(step, queue, now);
        let hasPlaced = false;
        for (const unit of [...step.waiting]) {
            const count = step.spec.isGang ? step.spec.count : 1;
            const chosen = placeUnit({
                needs: computeRoom(step.spec),
                count,
                candidates: candidates.admitted,
                maxPerWorker: step.spec.maxPerWorker,
                isRackLocal: step.spec.isRackLocal,
            });
            if (chosen === undefined) {
                break;
            }
            hasPlaced = true;
            this.#startAttempt(step, unit, chosen);
            candidates.admitted = this.#listCandidates(step, queue, now).admitted;
        }
        if (!hasPlaced || step.waiting.size > 0) {
            this.#ensureAdvice(step, queue, candidates, now);
        }
    }

    #listCandidates(step: StepWork, queue: QueueConfig, now: number): StepCandidates {
        const result: StepCandidates = { admitted: [], unasked: [], expired: [] };
        const { spec, advice } = step;
        for (const worker of this.#book.workers) {
            const { record } = worker;
            if (
                record.pool !== queue.pool ||
                !this.#book.isUsable(worker, now) ||
                (spec.requiredLabel !== undefined && !record.labels.includes(spec.requiredLabel))
            ) {
                continue;
            }
            const candidate = this.#createCandidate(step, worker);
            if (queue.advice === undefined) {
                result.admitted.push(candidate);
                continue;
            }
            const admission = advice.good.get(record.id);
            if (admission !== undefined) {
                const list = admission.validUntil > now ? result.admitted : result.expired;
                list.push(candidate);
            } else if (!advice.asked.has(record.id)) {
                result.unasked.push(candidate);
            }
        }
        return result;
    }

    #createCandidate(step: StepWork, worker: WorkerState): Candidate {
        let sameStep = 0;
        if (step.spec.maxPerWorker > 0) {
            for (const member of worker.members.values()) {
                sameStep += createStepKey(member.unit) === step.key ? 1 : 0;
            }
        }
        const { preferredRack } = step.spec;
        return {
            id: worker.record.id,
            free: getFreeRoom(worker),
            rack: worker.record.labels[1] ?? "",
            sameStep,
            isNear: preferredRack !== undefined && worker.record.labels.includes(preferredRack),
            slowness: step.failedOn.has(worker.record.id) ? 2 : 1,
        };
    }

    #startAttempt(step: StepWork, unitNumber: number, workers: readonly WorkerId[]): void {
        const ref: UnitRef = {
            job: step.job.id,
            occurrence: step.occurrence,
            step: step.step,
            unit: unitNumber,
        };
        const attempt = (this.#ledger.findUnit(ref)?.attempt ?? 0) + 1;
        const members = workers.map(
            (worker, i) => [step.spec.isGang ? i : unitNumber, worker] as const,
        );
        this.#record({ type: "attemptStarted", unit: ref, attempt, members });
        step.waiting.delete(unitNumber);
        for (const [index, worker] of members) {
            const ticket = step.advice.good.get(worker)?.ticket;
            const member = this.#createMember(step.job, ref, index, worker, ticket);
            this.#addMember(member);
            this.#effects.push({ type: "start", member }, { type: "watch", worker });
        }
        this.#recordDecision("decision", "attempt placed", {
            request: ref.job,
            step: step.key,
            unit: unitNumber,
            attempt,
            workers,
            waitedMs: Math.round(this.#clock.getWall() - step.readyAt),
        });
    }

    /** Asks about workers that could take a unit now, had they a valid ticket. */
    #ensureAdvice(
        step: StepWork,
        queue: QueueConfig,
        candidates: StepCandidates,
        now: number,
    ): void {
        const { advice } = step;
        if (queue.advice === undefined || advice.callId !== undefined || now < advice.retryAt) {
            return;
        }
        const workers = this.#selectForAdvice(step, candidates);
        if (workers.length === 0) {
            return;
        }
        const call: AdviceCall = {
            id: this.#nextCall++,
            step: step.key,
            queue: queue.name,
            policy: queue.advice,
            workers,
            rank: rankStep(step, queue),
        };
        advice.callId = call.id;
        this.#desk.addCall(call, queue.priority, now);
    }

    #selectForAdvice(step: StepWork, candidates: StepCandidates): WorkerId[] {
        const isFirst = step.advice.asked.size === 0;
        if (!isFirst && candidates.unasked.length === 0) {
            const possible = [...candidates.admitted, ...candidates.expired];
            const fits = placeUnit({
                needs: computeRoom(step.spec),
                count: step.spec.isGang ? step.spec.count : 1,
                candidates: possible,
                maxPerWorker: step.spec.maxPerWorker,
                isRackLocal: false,
            });
            if (fits === undefined) {
                return [];
            }
        }
        return [...candidates.expired, ...candidates.admitted, ...candidates.unasked]
            .sort((a, b) => b.free.cpu - a.free.cpu)
            .slice(0, MAX_ADVICE_WORKERS)
            .map((candidate) => candidate.id);
    }
}

interface RankedStep {
    readonly step: StepWork;
    readonly queue: QueueConfig;
}

interface StepCandidates {
    admitted: Candidate[];
    /** Workers that the advice service was never asked about. */
    readonly unasked: Candidate[];
    /** Good workers whose ticket is over. */
    readonly expired: Candidate[];
}

function createUnitKey(ref: UnitRef): string {
    return `${ref.job}.${ref.occurrence}.${ref.step}/${ref.unit}`;
}

function computeRoom(spec: StepKeySpec | undefined): Resources {
    if (spec === undefined) {
        return { cpu: 0, memoryMb: 0, gpu: 0 };
    }
    // Tasks that fill take only what the others leave; their memory is theirs.
    return spec.isFiller ? { ...spec.needs, cpu: 0 } : spec.needs;
}

type StepKeySpec = Pick<StepWork["spec"], "needs" | "isFiller">;

function isSameRecord(a: WorkerRecord, b: WorkerRecord): boolean {
    return JSON.stringify(a) === JSON.stringify(b);
}
