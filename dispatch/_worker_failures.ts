/**
 * Workers that are silent, and those that are gone with all that ran there.
 *
 * @example
 * ```ts
 * import { WorkerLosses } from "./_worker_failures.ts";
 * const losses = new WorkerLosses(context, attempts);
 * losses.setSuspect(worker, "no answer within 400 ms");
 * ```
 *
 * @module
 */

import type { WorkerId } from "../job/mod.ts";
import type { Attempts } from "./_attempts.ts";
import { computeCrashEvidence } from "./crash_loop.ts";
import type { DispatchContext } from "./_context.ts";
import type { MemberRun } from "./types.ts";
import type { WorkerState } from "./worker_registry.ts";

/** The losses of one leader. */
export class WorkerFailures {
    readonly #context: DispatchContext;
    readonly #attempts: Attempts;

    /**
     * @param context What the parts share.
     * @param attempts The attempts under way.
     */
    constructor(context: DispatchContext, attempts: Attempts) {
        this.#context = context;
        this.#attempts = attempts;
    }

    /**
     * Gives a worker no new work until it answers a look.
     *
     * @param worker The worker.
     * @param cause What it left unanswered.
     */
    setSuspect(worker: WorkerState, cause: string): void {
        if (!worker.isSuspect) {
            worker.isSuspect = true;
            this.#context.recordDecision("failure", "worker silent", {
                worker: worker.record.id,
                cause,
            });
        }
    }

    /**
     * Takes a worker for gone because another incarnation answers in its place. Unless it had announced its end, it
     * crashed, and what ran there may be the cause.
     *
     * @param worker The worker.
     */
    handleReplacement(worker: WorkerState): void {
        const { id, address, isDraining } = worker.record;
        const { book, clock } = this.#context;
        const lapsed = this.#context.ledger.attemptsOnExpiredLeases.get(id) ?? [];
        const crashedAttempts = isDraining
            ? []
            : [...lapsed, ...computeCrashEvidence([...worker.members.values()])];
        if (!isDraining) {
            book.recordCrash(address, clock.getNow());
        }
        if (crashedAttempts.length > 0) {
            this.#context.record({ type: "workerCrashed", worker: id, under: crashedAttempts });
            this.#context.recordDecision("failure", "worker crashed", {
                worker: id,
                under: crashedAttempts,
            });
        }
        crashedAttempts.forEach(({ unit }) => this.#context.board.recordCrash(unit));
        this.removeWorker(id, "another incarnation answers");
        crashedAttempts.forEach(({ unit }) => this.#attempts.endIfFailed(unit));
    }

    /**
     * Gives up what runs on a worker whose lease has run out. Whether it crashed shows when it answers, or another
     * incarnation does in its place, perhaps to a later leader.
     *
     * @param worker The worker.
     * @param members What an order may have started there.
     */
    expireLease(worker: WorkerState, members: readonly MemberRun[]): void {
        const { id } = worker.record;
        this.#context.recordDecision("failure", "lease over", {
            worker: id,
            members: members.length,
            silentMs: Math.round(this.#context.clock.getNow() - worker.lastContactAt),
        });
        this.#context.record({
            type: "workerLapsed",
            worker: id,
            under: computeCrashEvidence(members),
        });
        this.#attempts.endMembers(members);
    }

    /**
     * Notes that a worker whose lease had run out has not crashed.
     *
     * @param id The worker.
     */
    clearLapse(id: WorkerId): void {
        if (this.#context.ledger.attemptsOnExpiredLeases.has(id)) {
            this.#context.record({ type: "workerAnswered", worker: id });
        }
    }

    /**
     * Takes a worker for gone, with all that ran there.
     *
     * @param id The worker.
     * @param reason How it is known.
     */
    removeWorker(id: WorkerId, reason: string): void {
        const worker = this.#context.book.findWorker(id);
        if (worker === undefined) {
            return;
        }
        this.#context.recordDecision("failure", "worker gone", {
            worker: id,
            why: reason,
            members: worker.members.size,
            silentMs: Math.round(this.#context.clock.getNow() - worker.lastContactAt),
            draining: worker.record.isDraining,
        });
        this.#context.record({ type: "workerGone", worker: id });
        this.#attempts.endMembers([...worker.members.values()]);
        this.#context.book.removeWorker(id);
    }
}
