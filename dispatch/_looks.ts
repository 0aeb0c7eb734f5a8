/**
 * Looks at workers: each renews the leases and tells what runs and what ended there.
 *
 * @example
 * ```ts
 * import { Looks } from "./_looks.ts";
 * const looks = new Looks(context, attempts, losses);
 * const order = looks.prepareLook(worker, true);
 * ```
 *
 * @module
 */

import type { WorkerId } from "../job/mod.ts";
import type { Attempts } from "./_attempts.ts";
import type { DispatchContext } from "./_context.ts";
import { Pacer } from "./_pacer.ts";
import type { WorkerLosses } from "./_worker_losses.ts";
import { createStepKey, createUnitKey } from "./step_board.ts";
import type { EndReport, LookAnswer, LookOrder, MemberRun, RunningReport } from "./types.ts";
import type { WorkerState } from "./worker_book.ts";

/** Ends listed in one answer at most; a full list may leave others out. */
const MAX_ENDS_LISTED = 500;

/** Progress is told in whole percent: over shorter times it says little, in ms. */
const MIN_SPEED_SAMPLE_MS = 250;
/** A task that shows no progress for this long after its start stands still, in ms. */
const START_UP_MS = 1_000;

/** The looks of one leader, and what their answers mean. */
export class Looks {
    readonly #context: DispatchContext;
    readonly #attempts: Attempts;
    readonly #losses: WorkerLosses;
    readonly #pacer: Pacer;

    /**
     * @param context What the parts share.
     * @param attempts The attempts under way.
     * @param losses Takes workers that are silent or gone.
     */
    constructor(context: DispatchContext, attempts: Attempts, losses: WorkerLosses) {
        this.#context = context;
        this.#attempts = attempts;
        this.#losses = losses;
        this.#pacer = new Pacer(context);
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
            this.#losses.replaceWorker(worker);
            return;
        }
        if (answer.type === "unanswered" || answer.type === "undelivered") {
            // One that left later may have been answered meanwhile: then the worker is not silent.
            if (worker.lookedAt < sentAt) {
                this.#losses.setSuspect(worker, answer.cause);
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
        this.#losses.clearLapse(order.worker);
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
        member.lastedMs = now - member.startedAt;
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
}
