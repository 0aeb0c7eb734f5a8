/**
 * Orders to workers and what their answers mean: starts that get no answer, and fences that settle them.
 *
 * @example
 * ```ts
 * import { Orders } from "./_orders.ts";
 * const orders = new Orders(context, attempts, losses);
 * const order = orders.prepareStart(member);
 * ```
 *
 * @module
 */

import { MAX_START_SENDS, type Attempts } from "./_attempts.ts";
import type { DispatchContext } from "./_context.ts";
import type { WorkerFailures } from "./_worker_failures.ts";
import { createStepKey } from "./ready_steps.ts";
import type { MemberRun, OrderAnswer, PaceOrder, StartOrder, StopOrder } from "./types.ts";
import {
    getFreeResources,
    hasResourcesFor,
    NO_RESOURCES,
    type WorkerState,
} from "./worker_registry.ts";

/** Pause of a step after a start of it was refused as unreadable, in ms. */
const INVALID_START_PAUSE_MS = 1_000;

/** The orders of one leader. */
export class Orders {
    readonly #context: DispatchContext;
    readonly #attempts: Attempts;
    readonly #failures: WorkerFailures;

    /**
     * @param context What the parts share.
     * @param attempts The attempts under way.
     * @param failures Takes workers that are silent or gone.
     */
    constructor(context: DispatchContext, attempts: Attempts, failures: WorkerFailures) {
        this.#context = context;
        this.#attempts = attempts;
        this.#failures = failures;
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
        const now = this.#context.clock.getNow();
        const isWanted =
            job.endedAt === undefined &&
            job.spec !== undefined &&
            (member.startSends > 0 || this.#hasCapacity(worker, now));
        const leaseEndMs = isWanted ? this.#context.book.grantLease(worker, now) : undefined;
        if (leaseEndMs === undefined) {
            if (member.state === "planned") {
                this.#attempts.endMember(member, "void", "");
            }
            return undefined;
        }
        member.state = "ordered";
        member.startSends += 1;
        member.fence = worker.fence;
        const unit = this.#context.ledger.findUnit(member.unit);
        return {
            worker: member.worker,
            address: worker.record.address,
            task: member.name,
            attempt: member.attempt,
            payload: job.spec?.payload ?? "",
            untilMs: leaseEndMs,
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
                member.startResolvedAt = now;
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
                this.#failures.handleReplacement(worker);
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
            if (member.startResolvedAt === undefined) {
                member.startResolvedAt = now;
                this.#context.emit({ type: "look", worker: member.worker });
            }
        } else if (answer.type === "gone") {
            this.#failures.handleReplacement(worker);
        } else if (answer.type === "unanswered" || answer.type === "undelivered") {
            this.#failures.setSuspect(worker, answer.cause);
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
            tries: member.startSends,
        });
        if (reason === "invalid") {
            this.#setStepPause(member);
        }
        if (reason === "unhealthy" || reason === "no_room") {
            this.#context.book.recordRefusal(worker, this.#context.clock.getNow());
        }
        if (member.startSends <= 1) {
            this.#dropTicket(member, reason);
            this.#attempts.endMember(member, "void", "");
            return;
        }
        // An earlier send got no answer and may yet be carried out, or was and has ended since.
        if (reason === "superseded") {
            member.startResolvedAt = this.#context.clock.getNow();
            this.#context.emit({ type: "look", worker: member.worker });
        } else {
            this.#ensureFenced(worker, member);
        }
    }

    /** The room may have shrunk since the start was decided, or a slow commit may have outlasted what is known of it. */
    #hasCapacity(worker: WorkerState, now: number): boolean {
        return (
            this.#context.book.hasFreshReport(worker, now) &&
            hasResourcesFor(getFreeResources(worker), NO_RESOURCES)
        );
    }

    /** What one worker can not read no other can: sent at once to the next it would go round for ever. */
    #setStepPause(member: MemberRun): void {
        const step = this.#context.board.findStep(createStepKey(member.unit));
        if (step !== undefined) {
            step.pausedUntil = this.#context.clock.getNow() + INVALID_START_PAUSE_MS;
        }
    }

    #dropTicket(member: MemberRun, reason: string): void {
        if (reason === "ticket") {
            const step = this.#context.board.findStep(createStepKey(member.unit));
            step?.advice.admitted.set(member.worker, { ticket: "", validUntil: 0 });
        }
    }

    /**
     * Nothing listens there, or a cut refuses. Not an answer: a worker that counted as heard from on
     * a refused connection would have its lease renewed for ever while it is dead.
     */
    #handleUndelivered(worker: WorkerState, member: MemberRun, cause: string): void {
        this.#failures.setSuspect(worker, cause);
        if (member.startSends <= 1) {
            this.#attempts.endMember(member, "void", "");
        } else {
            this.#ensureFenced(worker, member);
        }
    }

    #handleUnanswered(worker: WorkerState, member: MemberRun, cause: string): void {
        this.#context.recordDecision("failure", "start unanswered", {
            request: member.unit.job,
            task: member.name,
            attempt: member.attempt,
            worker: member.worker,
            tries: member.startSends,
            cause,
        });
        if (member.startSends < MAX_START_SENDS && member.state === "ordered") {
            // The worker takes a start that it has already as done: sending it again over
            // another connection is safe and tells a lost answer from a lost worker.
            this.#context.emit({ type: "start", member });
            return;
        }
        this.#failures.setSuspect(worker, cause);
        this.#ensureFenced(worker, member);
    }

    /**
     * Raises the worker's fence and looks at it. An unanswered start may be carried out seconds
     * later, when its task runs elsewhere already: the task would run twice. Once the worker has
     * taken the higher fence it refuses the late start, and its lists say whether it ran before.
     */
    #ensureFenced(worker: WorkerState, member: MemberRun): void {
        if (worker.fence <= member.fence) {
            this.#context.book.advanceFence(worker);
        }
        this.#context.emit({ type: "look", worker: worker.record.id });
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
