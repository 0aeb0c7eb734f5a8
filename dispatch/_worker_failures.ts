/**
 * Handles workers that are suspect, whose leases have expired, or that are gone.
 *
 * @example
 * ```ts
 * import { WorkerFailures } from "./_worker_failures.ts";
 * const failures = new WorkerFailures(context, attempts);
 * failures.setSuspect(worker, "no answer within 400 ms");
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

/** Records worker failures and ends the affected tasks, for one leader. */
export class WorkerFailures {
    readonly #context: DispatchContext;
    readonly #attempts: Attempts;

    /**
     * @param context The dispatcher's shared state.
     * @param attempts The running attempts.
     */
    constructor(context: DispatchContext, attempts: Attempts) {
        this.#context = context;
        this.#attempts = attempts;
    }

    /**
     * Marks a worker as suspect; it gets no new work until it answers.
     *
     * @param worker The worker.
     * @param cause Why its last order or poll failed.
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
     * Removes a worker after another incarnation has answered at its address. Unless the worker was
     * draining, this counts as a crash, which its tasks may have caused.
     *
     * @param worker The worker.
     */
    handleReplacement(worker: WorkerState): void {
        const { id, address, isDraining } = worker.record;
        const { registry, clock } = this.#context;
        const attemptsOnExpiredLease =
            this.#context.stateStore.attemptsOnExpiredLeases.get(id) ?? [];
        const crashedAttempts = isDraining
            ? []
            : [...attemptsOnExpiredLease, ...computeCrashEvidence([...worker.members.values()])];
        if (!isDraining) {
            registry.recordCrash(address, clock.getNow());
        }
        if (crashedAttempts.length > 0) {
            this.#context.recordFact({ type: "workerCrashed", worker: id, under: crashedAttempts });
            this.#context.recordDecision("failure", "worker crashed", {
                worker: id,
                under: crashedAttempts,
            });
        }
        crashedAttempts.forEach(({ unit }) => this.#context.readySteps.recordCrash(unit));
        this.removeWorker(id, "replaced by another incarnation");
        crashedAttempts.forEach(({ unit }) => this.#attempts.endJobIfUnitFailed(unit));
    }

    /**
     * Ends the tasks of a worker whose lease has expired. Whether the worker crashed is decided
     * later, when it or another incarnation answers, possibly to a later leader.
     *
     * @param worker The worker.
     * @param members The members that may have been started there.
     */
    expireLease(worker: WorkerState, members: readonly MemberRun[]): void {
        const { id } = worker.record;
        this.#context.recordDecision("failure", "lease over", {
            worker: id,
            members: members.length,
            silentMs: Math.round(this.#context.clock.getNow() - worker.lastContactAtMs),
        });
        this.#context.recordFact({
            type: "workerLapsed",
            worker: id,
            under: computeCrashEvidence(members),
        });
        this.#attempts.endLostMembers(members);
    }

    /**
     * Records that a worker whose lease had expired has not crashed.
     *
     * @param id The worker.
     */
    clearLeaseExpiry(id: WorkerId): void {
        if (this.#context.stateStore.attemptsOnExpiredLeases.has(id)) {
            this.#context.recordFact({ type: "workerAnswered", worker: id });
        }
    }

    /**
     * Removes a worker and ends all members on it as lost.
     *
     * @param id The worker.
     * @param reason Why the worker is considered gone.
     */
    removeWorker(id: WorkerId, reason: string): void {
        const worker = this.#context.registry.findWorker(id);
        if (worker === undefined) {
            return;
        }
        this.#context.recordDecision("failure", "worker gone", {
            worker: id,
            why: reason,
            members: worker.members.size,
            silentMs: Math.round(this.#context.clock.getNow() - worker.lastContactAtMs),
            draining: worker.record.isDraining,
        });
        this.#context.recordFact({ type: "workerGone", worker: id });
        this.#attempts.endLostMembers([...worker.members.values()]);
        this.#context.registry.removeWorker(id);
    }
}
