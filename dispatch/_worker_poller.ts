/**
 * Looks at workers: each renews the leases and tells what runs and what ended there.
 *
 * @example
 * ```ts
 * import { Looks } from "./_worker_poller.ts";
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
import type { WorkerFailures } from "./_worker_failures.ts";
import { createStepKey, createUnitKey } from "./ready_steps.ts";
import type { EndReport, PollAnswer, PollOrder, MemberRun, RunningReport } from "./types.ts";
import type { WorkerState } from "./worker_registry.ts";

/** Ends listed in one answer at most; a full list may leave others out. */
const MAX_ENDS_LISTED = 500;

/** Progress is told in whole percent: over shorter times it says little, in ms. */
const MIN_SPEED_SAMPLE_MS = 250;
/** A task that shows no progress for this long after its start stands still, in ms. */
const STARTUP_MS = 1_000;

/** The looks of one leader, and what their answers mean. */
export class WorkerPoller {
    readonly #context: DispatchContext;
    readonly #attempts: Attempts;
    readonly #failures: WorkerFailures;
    readonly #pacer: Pacer;

    /**
     * @param context What the parts share.
     * @param attempts The attempts under way.
     * @param failures Takes workers that are silent or gone.
     */
    constructor(context: DispatchContext, attempts: Attempts, failures: WorkerFailures) {
        this.#context = context;
        this.#attempts = attempts;
        this.#failures = failures;
        this.#pacer = new Pacer(context);
    }

    /**
     * Gives the next look at a worker.
     *
     * @param id The worker.
     * @param mayWait Whether the worker may hold its answer back until something ends.
     * @returns The look, or `undefined` when nothing runs there and every end is acknowledged.
     */
    preparePoll(id: WorkerId, mayWait: boolean): PollOrder | undefined {
        const worker = this.#context.book.findWorker(id);
        if (worker === undefined) {
            return undefined;
        }
        const hasUnacknowledged = worker.durableCursor > worker.acknowledgedCursor;
        if (mayWait && worker.members.size === 0 && !hasUnacknowledged) {
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
                    ? this.#context.limits.pollWaitMs
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
    handlePollAnswer(order: PollOrder, sentAt: number, answer: PollAnswer): void {
        const worker = this.#context.book.findWorker(order.worker);
        if (worker === undefined) {
            return;
        }
        if (answer.type === "gone") {
            this.#failures.handleReplacement(worker);
            return;
        }
        if (answer.type === "unanswered" || answer.type === "undelivered") {
            // One that left later may have been answered meanwhile: then the worker is not silent.
            if (worker.pollAnsweredAt < sentAt) {
                this.#failures.setSuspect(worker, answer.cause);
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
        worker.pollAnsweredAt = now;
        this.#failures.clearLapse(order.worker);
        worker.acknowledgedCursor = Math.max(worker.acknowledgedCursor, order.cursor);
        answer.ended.forEach((report) => this.#handleEnd(worker, report));
        if (worker.readCursor > worker.durableCursor) {
            const cursor = worker.readCursor;
            this.#context.emit({ type: "acknowledge", worker: order.worker, cursor });
        }
        answer.running.forEach((report) => this.#handleRunning(worker, report));
        this.#pacer.update(worker);
        this.#resolveMissing(worker, order, sentAt, answer);
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
            this.#context.book.recordSuccess(worker);
        } else if (report.how === "failed") {
            this.#recordFailure(worker, member);
        }
        this.#attempts.endMember(member, report.how, report.checkpoint);
    }

    /** A lasting task may fail at any time by its own fault: only one that fails at its start tells of its worker. */
    #recordFailure(worker: WorkerState, member: MemberRun): void {
        const now = this.#context.clock.getNow();
        if (!member.isPerpetual || now - member.startedAt < STARTUP_MS) {
            this.#context.book.recordFailure(worker, createUnitKey(member.unit), now);
        }
        const step = this.#context.board.findStep(createStepKey(member.unit));
        if (step !== undefined) {
            step.failedWorkers.add(member.worker);
            step.lastFailureAt = now;
        }
    }

    #handleRunning(worker: WorkerState, report: RunningReport): void {
        const member = worker.members.get(report.task as MemberRun["name"]);
        if (member === undefined || member.attempt !== report.attempt) {
            return;
        }
        const now = this.#context.clock.getNow();
        member.startResolvedAt ??= now;
        if (member.state === "ordered") {
            member.state = "running";
        }
        member.load = report.load;
        member.observedRunMs = now - member.startedAt;
        this.#recordProgress(worker, member, report.percent, now);
    }

    /** A worker's speed is what its tasks' progress shows against their estimates. */
    #recordProgress(worker: WorkerState, member: MemberRun, percent: number, now: number): void {
        const elapsedMs = now - member.progressAt;
        if (member.isPerpetual || member.state !== "running" || elapsedMs < MIN_SPEED_SAMPLE_MS) {
            return;
        }
        const completedMs = ((percent - member.progressPercent) / 100) * member.estimateMs;
        // A gang's members stand still until the last one is there.
        if (percent > 0 || now - member.startedAt > STARTUP_MS) {
            worker.speed.record(completedMs, elapsedMs, now);
        }
        member.progressPercent = percent;
        member.progressAt = now;
    }

    /** Ends members that a worker's lists should hold and do not. */
    #resolveMissing(
        worker: WorkerState,
        order: PollOrder,
        sentAt: number,
        answer: Extract<PollAnswer, { type: "state" }>,
    ): void {
        if (answer.ended.length >= MAX_ENDS_LISTED) {
            return;
        }
        const listed = new Set(answer.running.map((report) => `${report.task}#${report.attempt}`));
        for (const member of [...worker.members.values()]) {
            if (member.state === "planned" || listed.has(`${member.name}#${member.attempt}`)) {
                continue;
            }
            const isFenced = member.fence < order.fence && member.startResolvedAt === undefined;
            const isResolved =
                member.startResolvedAt !== undefined && member.startResolvedAt < sentAt;
            if (isFenced || isResolved) {
                this.#attempts.endMember(member, "void", "");
            }
        }
    }
}
