/**
 * Orders to workers and what their answers mean: starts that get no answer, fences that settle
 * them, looks that tell what runs and what ended.
 *
 * @example
 * ```ts
 * import { Orders } from "./_orders.ts";
 * const orders = new Orders(context, attempts);
 * const order = orders.prepareStart(member);
 * ```
 *
 * @module
 */

import type { WorkerId } from "../job/mod.ts";
import { createUnitKey, MAX_START_TRIES, type Attempts } from "./_attempts.ts";
import type { DispatchContext } from "./_context.ts";
import { Pacer } from "./_pacer.ts";
import { createStepKey } from "./step_board.ts";
import type {
    EndReport,
    LookAnswer,
    LookOrder,
    MemberRun,
    OrderAnswer,
    PaceOrder,
    RunningReport,
    StartOrder,
    StopOrder,
} from "./types.ts";
import type { WorkerState } from "./worker_book.ts";

/** Ends listed in one answer at most; a full list may leave others out. */
const MAX_ENDS_LISTED = 500;

/** Progress is told in whole percent: over shorter times it says little, in ms. */
const MIN_SPEED_SAMPLE_MS = 250;
/** A task that shows no progress for this long after its start stands still, in ms. */
const START_UP_MS = 1_000;

/** The orders of one leader. */
export class Orders {
    readonly #context: DispatchContext;
    readonly #attempts: Attempts;
    readonly #pacer: Pacer;

    /**
     * @param context What the parts share.
     * @param attempts The attempts under way.
     */
    constructor(context: DispatchContext, attempts: Attempts) {
        this.#context = context;
        this.#attempts = attempts;
        this.#pacer = new Pacer(context);
    }

    /**
     * Gives the start order of a member whose fact is committed, if it is still wanted.
     *
     * @param member The member.
     * @returns The order, or `undefined` when nothing is to be sent.
     */
    prepareStart(member: MemberRun): StartOrder | undefined {
        const worker = this.#attempts.findActive(member);
        const job = this.#context.ledger.jobs.get(member.unit.job);
        if (worker === undefined || job === undefined || member.state === "stopping") {
            return undefined;
        }
        const isWanted = job.endedAt === undefined && job.spec !== undefined;
        const until = isWanted
            ? this.#context.book.grantLease(worker, this.#context.clock.getNow())
            : undefined;
        if (until === undefined) {
            if (member.state === "planned") {
                this.#attempts.endMember(member, "void", "");
            }
            return undefined;
        }
        member.state = "ordered";
        member.tries += 1;
        member.fence = worker.fence;
        const unit = this.#context.ledger.findUnit(member.unit);
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
        const worker = this.#attempts.findActive(member);
        if (worker === undefined) {
            return;
        }
        const now = this.#context.clock.getNow();
        switch (answer.type) {
            case "accepted":
                this.#context.book.recordAnswer(worker, answer.clockMs, now);
                member.settledAt = now;
                if (member.state === "ordered") {
                    member.state = "running";
                    member.startedAt = now;
                }
                return;
            case "refused":
                this.#context.book.recordAnswer(worker, answer.clockMs, now);
                this.#handleRefusal(worker, member, answer.reason);
                return;
            case "gone":
                this.removeWorker(worker.record.id, "another incarnation answers");
                return;
            case "undelivered":
                this.#handleUndelivered(worker, member, answer.cause);
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
        const worker = this.#attempts.findActive(member);
        if (worker === undefined) {
            return undefined;
        }
        member.stopSentAt = this.#context.clock.getNow();
        return createOrder(worker, member);
    }

    /**
     * Gives the pace order of a member, if it still runs as far as known.
     *
     * @param member The member.
     * @returns The order, or `undefined` when nothing is to be sent.
     */
    preparePace(member: MemberRun): PaceOrder | undefined {
        const worker = this.#attempts.findActive(member);
        if (worker === undefined || member.pacePercent === undefined) {
            return undefined;
        }
        return { ...createOrder(worker, member), percent: member.pacePercent };
    }

    /**
     * Takes a worker's answer to a pace order. One that got lost is sent again with the next look
     * that asks for a change.
     *
     * @param member The member.
     * @param answer The answer.
     */
    handlePaceAnswer(member: MemberRun, answer: OrderAnswer): void {
        if (answer.type !== "accepted") {
            member.pacePercent = undefined;
        }
    }

    /**
     * Takes a worker's answer to a stop. Once it took the stop, a start that is still on its way
     * will be refused: the member is in the worker's lists from now on, or never runs.
     *
     * @param member The member.
     * @param answer The answer.
     */
    handleStopAnswer(member: MemberRun, answer: OrderAnswer): void {
        const worker = this.#attempts.findActive(member);
        if (worker === undefined) {
            return;
        }
        const now = this.#context.clock.getNow();
        if (answer.type === "accepted") {
            this.#context.book.recordAnswer(worker, answer.clockMs, now);
            if (member.settledAt === undefined) {
                member.settledAt = now;
                this.#context.emit({ type: "look", worker: member.worker });
            }
        } else if (answer.type === "gone") {
            this.removeWorker(worker.record.id, "another incarnation answers");
        } else if (answer.type === "unanswered" || answer.type === "undelivered") {
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
        const worker = this.#context.book.findWorker(id);
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
                : this.#context.book.grantLease(worker, this.#context.clock.getNow()),
            // A silent worker is asked for a sign of life, not for an end: a long call that left just before a
            // cut healed would be given up two seconds later, and the worker's tasks wait as long.
            waitMs:
                mayWait && worker.members.size > 0 && !worker.isSuspect
                    ? this.#context.limits.lookWaitMs
                    : 0,
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
        const worker = this.#context.book.findWorker(order.worker);
        if (worker === undefined) {
            return;
        }
        if (answer.type === "gone") {
            this.removeWorker(order.worker, "another incarnation answers");
            return;
        }
        if (answer.type === "unanswered" || answer.type === "undelivered") {
            // One that left later may have been answered meanwhile: then the worker is not silent.
            if (worker.lookedAt < sentAt) {
                this.#setSuspect(worker, answer.cause);
            }
            return;
        }
        if (answer.type === "refused") {
            // A look that was overtaken by a higher fence of our own; the next one carries it.
            return;
        }
        const now = this.#context.clock.getNow();
        if (worker.isSuspect) {
            this.#context.recordDecision("decision", "worker answers again", {
                worker: order.worker,
            });
            this.#context.recordRoom(worker);
        }
        this.#context.book.recordAnswer(worker, answer.clockMs, now);
        worker.lookedAt = now;
        worker.toldCursor = Math.max(worker.toldCursor, order.cursor);
        answer.ended.forEach((report) => this.#handleEnd(worker, report));
        if (worker.readCursor > worker.durableCursor) {
            const cursor = worker.readCursor;
            this.#context.emit({ type: "acknowledge", worker: order.worker, cursor });
        }
        answer.running.forEach((report) => this.#handleRunning(worker, report));
        this.#pacer.update(worker);
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
        const worker = this.#context.book.findWorker(id);
        if (worker !== undefined) {
            worker.durableCursor = Math.max(worker.durableCursor, cursor);
        }
    }

    #handleRefusal(
        worker: WorkerState,
        member: MemberRun,
        reason: Extract<OrderAnswer, { type: "refused" }>["reason"],
    ): void {
        this.#context.recordDecision("failure", "start refused", {
            request: member.unit.job,
            task: member.name,
            attempt: member.attempt,
            worker: member.worker,
            reason,
            tries: member.tries,
        });
        if (reason === "unhealthy" || reason === "no_room") {
            this.#context.book.recordRefusal(worker, this.#context.clock.getNow());
        }
        if (member.tries <= 1) {
            this.#dropTicket(member, reason);
            this.#attempts.endMember(member, "void", "");
            return;
        }
        // An earlier send got no answer and may yet be carried out, or was and has ended since.
        if (reason === "superseded") {
            member.settledAt = this.#context.clock.getNow();
            this.#context.emit({ type: "look", worker: member.worker });
        } else {
            this.#startBarrier(worker, member);
        }
    }

    #dropTicket(member: MemberRun, reason: string): void {
        if (reason === "ticket") {
            const step = this.#context.board.findStep(createStepKey(member.unit));
            step?.advice.good.set(member.worker, { ticket: "", validUntil: 0 });
        }
    }

    /**
     * Nothing listens there, or a cut refuses. Not an answer: a worker that counted as heard from on
     * a refused connection would have its lease renewed for ever while it is dead.
     */
    #handleUndelivered(worker: WorkerState, member: MemberRun, cause: string): void {
        this.#setSuspect(worker, cause);
        if (member.tries <= 1) {
            this.#attempts.endMember(member, "void", "");
        } else {
            this.#startBarrier(worker, member);
        }
    }

    #handleUnanswered(worker: WorkerState, member: MemberRun, cause: string): void {
        this.#context.recordDecision("failure", "start unanswered", {
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
            this.#context.emit({ type: "start", member });
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
            this.#context.book.advanceFence(worker);
        }
        this.#context.emit({ type: "look", worker: worker.record.id });
    }

    #setSuspect(worker: WorkerState, cause: string): void {
        if (!worker.isSuspect) {
            worker.isSuspect = true;
            this.#context.recordDecision("failure", "worker silent", {
                worker: worker.record.id,
                cause,
            });
        }
    }

    #handleEnd(worker: WorkerState, report: EndReport): void {
        worker.readCursor = Math.max(worker.readCursor, report.number);
        const member = worker.members.get(report.task as MemberRun["name"]);
        if (member === undefined || member.attempt !== report.attempt) {
            return;
        }
        if (report.how === "done") {
            this.#context.book.recordDone(worker);
        } else if (report.how === "failed") {
            this.#recordFailure(worker, member);
        }
        this.#attempts.endMember(member, report.how, report.checkpoint);
    }

    /** A lasting task may fail at any time by its own fault: only one that fails at its start tells of its worker. */
    #recordFailure(worker: WorkerState, member: MemberRun): void {
        const now = this.#context.clock.getNow();
        if (!member.isPerpetual || now - member.startedAt < START_UP_MS) {
            this.#context.book.recordFailure(worker, createUnitKey(member.unit), now);
        }
        const step = this.#context.board.findStep(createStepKey(member.unit));
        if (step !== undefined) {
            step.failedOn.add(member.worker);
            step.failedAt = now;
        }
    }

    #handleRunning(worker: WorkerState, report: RunningReport): void {
        const member = worker.members.get(report.task as MemberRun["name"]);
        if (member === undefined || member.attempt !== report.attempt) {
            return;
        }
        const now = this.#context.clock.getNow();
        member.settledAt ??= now;
        if (member.state === "ordered") {
            member.state = "running";
        }
        member.load = report.load;
        this.#recordProgress(worker, member, report.percent, now);
    }

    /** A worker's speed is what its tasks' progress shows against their estimates. */
    #recordProgress(worker: WorkerState, member: MemberRun, percent: number, now: number): void {
        const tookMs = now - member.reportedAt;
        if (member.isPerpetual || member.state !== "running" || tookMs < MIN_SPEED_SAMPLE_MS) {
            return;
        }
        const doneMs = ((percent - member.percent) / 100) * member.estimateMs;
        // A gang's members stand still until the last one is there.
        if (percent > 0 || now - member.startedAt > START_UP_MS) {
            worker.speed.record(doneMs, tookMs, now);
        }
        member.percent = percent;
        member.reportedAt = now;
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
                this.#attempts.endMember(member, "void", "");
            }
        }
    }

    /**
     * Takes a worker for gone, with all that ran there.
     *
     * @param id The worker.
     * @param why How it is known.
     */
    removeWorker(id: WorkerId, why: string): void {
        const worker = this.#context.book.findWorker(id);
        if (worker === undefined) {
            return;
        }
        this.#context.recordDecision("failure", "worker gone", {
            worker: id,
            why,
            members: worker.members.size,
        });
        this.#context.record({ type: "workerGone", worker: id });
        this.#attempts.endMembers([...worker.members.values()]);
        this.#context.book.removeWorker(id);
    }
}

/** What every order about a task that is out says. */
function createOrder(worker: WorkerState, member: MemberRun): StopOrder {
    return {
        worker: member.worker,
        address: worker.record.address,
        task: member.name,
        attempt: member.attempt,
        fence: worker.fence,
    };
}
