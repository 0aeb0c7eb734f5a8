/**
 * Prepares start, stop and pace orders and handles the workers' answers, including starts that are
 * refused or unanswered.
 *
 * @example
 * ```ts
 * import { Orders } from "./_orders.ts";
 * const orders = new Orders(context, attempts, failures);
 * const order = orders.prepareStart(member);
 * ```
 *
 * @module
 */

import { MAX_START_SENDS, type Attempts } from "./_attempts.ts";
import type { DispatchContext } from "./_context.ts";
import type { WorkerFailures } from "./_worker_failures.ts";
import { createStepKey, EXPIRED_ADMISSION } from "./ready_steps.ts";
import type { MemberRun, OrderAnswer, PaceOrder, StartOrder, StopOrder } from "./types.ts";
import {
    getFreeResources,
    hasResourcesFor,
    NO_RESOURCES,
    type WorkerState,
} from "./worker_registry.ts";

/** Pause of a step after a worker refused its start as invalid, in ms. */
const INVALID_START_PAUSE_MS = 1_000;

/** The orders sent by one leader. */
export class Orders {
    readonly #context: DispatchContext;
    readonly #attempts: Attempts;
    readonly #failures: WorkerFailures;

    /**
     * @param context The dispatcher's shared state.
     * @param attempts The running attempts.
     * @param failures Handles workers that are suspect or gone.
     */
    constructor(context: DispatchContext, attempts: Attempts, failures: WorkerFailures) {
        this.#context = context;
        this.#attempts = attempts;
        this.#failures = failures;
    }

    /**
     * Prepares the start order of a member whose fact is committed.
     *
     * @param member The member.
     * @returns The order, or `undefined` if the start is obsolete or cannot be sent.
     */
    prepareStart(member: MemberRun): StartOrder | undefined {
        const worker = this.#attempts.findMemberWorker(member);
        const job = this.#context.stateStore.jobs.get(member.unit.job);
        if (worker === undefined || job === undefined || member.state === "stopping") {
            return undefined;
        }
        const now = this.#context.clock.getNow();
        const isLeaving = worker.record.isDraining;
        const hasRestarted = member.incarnation !== worker.record.incarnation;
        if (member.startSends > 0 && (isLeaving || hasRestarted)) {
            // If the earlier start was lost, a repeated one would begin there after the notice. If it
            // was not, an incarnation after the known one may still execute it.
            this.#ensureFenced(worker, member);
            return undefined;
        }
        const isOverLimit = this.#context.quotaLedger.isOverLimit(member.workspace, member.demand);
        if (isOverLimit && member.startSends > 0) {
            // The limit was lowered; an earlier send may have been executed.
            this.#attempts.stopMember(member);
            return undefined;
        }
        const isWanted =
            job.endedAt === undefined &&
            job.spec !== undefined &&
            !isOverLimit &&
            !isLeaving &&
            (member.startSends > 0 || this.#hasCapacity(worker, now));
        const leaseEndMs = isWanted ? this.#context.registry.grantLease(worker, now) : undefined;
        if (leaseEndMs === undefined) {
            if (member.state === "planned") {
                this.#attempts.endMember(member, "void", "");
            }
            return undefined;
        }
        member.state = "ordered";
        member.startSends += 1;
        member.pendingStarts += 1;
        member.fence = worker.fence;
        member.incarnation = worker.record.incarnation;
        const unit = this.#context.stateStore.findUnit(member.unit);
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
     * Handles a worker's answer to a start order.
     *
     * @param member The member.
     * @param answer The answer.
     */
    handleStartAnswer(member: MemberRun, answer: OrderAnswer): void {
        const worker = this.#attempts.findMemberWorker(member);
        if (worker === undefined) {
            return;
        }
        const now = this.#context.clock.getNow();
        member.pendingStarts -= 1;
        switch (answer.type) {
            case "accepted":
                this.#context.registry.recordAnswer(worker, now);
                member.startResolvedAtMs = now;
                this.#attempts.recordBegin(member);
                // An earlier send may have been executed before the one that is answered.
                member.acceptedAtMs = member.startSends === 1 ? now : undefined;
                if (member.state === "ordered") {
                    member.state = "running";
                    member.startedAtMs = now;
                }
                return;
            case "refused":
                this.#context.registry.recordAnswer(worker, now);
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
     * Prepares the stop order of a member that has not ended.
     *
     * @param member The member.
     * @returns The order, or `undefined` if the member has ended.
     */
    prepareStop(member: MemberRun): StopOrder | undefined {
        member.isStopQueued = false;
        const worker = this.#attempts.findMemberWorker(member);
        if (worker === undefined) {
            return undefined;
        }
        member.stopSentAtMs = this.#context.clock.getNow();
        return createOrder(worker, member);
    }

    /**
     * Prepares the pace order of a member that has not ended.
     *
     * @param member The member.
     * @returns The order, or `undefined` if there is nothing to send.
     */
    preparePace(member: MemberRun): PaceOrder | undefined {
        const worker = this.#attempts.findMemberWorker(member);
        if (worker === undefined || member.pacePercent === undefined) {
            return undefined;
        }
        return { ...createOrder(worker, member), percent: member.pacePercent };
    }

    /**
     * Handles a worker's answer to a pace order. An order that was not accepted is sent again when
     * a later poll answer calls for a change.
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
     * Handles a worker's answer to a stop order. After accepting a stop, the worker refuses a start
     * that is still in flight, so its task lists are authoritative for the member.
     *
     * @param member The member.
     * @param answer The answer.
     */
    handleStopAnswer(member: MemberRun, answer: OrderAnswer): void {
        const worker = this.#attempts.findMemberWorker(member);
        if (worker === undefined) {
            return;
        }
        const now = this.#context.clock.getNow();
        if (answer.type === "accepted") {
            this.#context.registry.recordAnswer(worker, now);
            if (member.startResolvedAtMs === undefined) {
                member.startResolvedAtMs = now;
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
            this.#context.registry.recordRefusal(worker, this.#context.clock.getNow());
        }
        if (member.startSends <= 1) {
            this.#expireTicket(member, reason);
            this.#attempts.endMember(member, "void", "");
            return;
        }
        // An earlier, unanswered send may still be executed, or was executed and has ended since.
        if (reason === "superseded") {
            member.startResolvedAtMs = this.#context.clock.getNow();
            this.#context.emit({ type: "look", worker: member.worker });
        } else {
            this.#ensureFenced(worker, member);
        }
    }

    /**
     * Checks again just before sending: capacity may have shrunk, or the report may have expired,
     * while the fact was being committed.
     */
    #hasCapacity(worker: WorkerState, now: number): boolean {
        return (
            this.#context.registry.hasFreshReport(worker, now) &&
            hasResourcesFor(getFreeResources(worker), NO_RESOURCES)
        );
    }

    /**
     * Pauses the step, since every worker would refuse the invalid start and it would be retried in
     * a tight loop.
     */
    #setStepPause(member: MemberRun): void {
        const step = this.#context.readySteps.findStep(createStepKey(member.unit));
        if (step !== undefined) {
            step.pausedUntilMs = this.#context.clock.getNow() + INVALID_START_PAUSE_MS;
        }
    }

    #expireTicket(member: MemberRun, reason: string): void {
        if (reason === "ticket") {
            const step = this.#context.readySteps.findStep(createStepKey(member.unit));
            step?.advice.admitted.set(member.worker, EXPIRED_ADMISSION);
        }
    }

    /**
     * Handles an order that could not be delivered. A refused connection is not an answer: counting
     * it as contact would keep renewing a dead worker's lease.
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
        const now = this.#context.clock.getNow();
        member.lateStartUntilMs = now + this.#context.limits.maxCallDelayMs;
        this.#context.registry.recordUnansweredCall(worker, now);
        this.#context.registry.recordLeaseGivenUp(worker, member.incarnation, now);
        if (member.startSends < MAX_START_SENDS && member.state === "ordered") {
            // Starts are idempotent: resending over another connection distinguishes a lost answer
            // from a lost worker.
            this.#context.emit({ type: "start", member });
            return;
        }
        this.#failures.setSuspect(worker, cause);
        this.#ensureFenced(worker, member);
    }

    /**
     * Raises the worker's fencing token and polls it, so that an unanswered start cannot be
     * executed after its task has started elsewhere. A worker that has seen the new token refuses
     * the late start, and its task lists show whether the task ran before.
     */
    #ensureFenced(worker: WorkerState, member: MemberRun): void {
        if (worker.fence <= member.fence) {
            this.#context.registry.advanceFence(worker);
        }
        this.#context.emit({ type: "look", worker: worker.record.id });
    }
}

/** Builds the fields that orders about a running task share. */
function createOrder(worker: WorkerState, member: MemberRun): StopOrder {
    return {
        worker: member.worker,
        address: worker.record.address,
        task: member.name,
        attempt: member.attempt,
        fence: worker.fence,
    };
}
