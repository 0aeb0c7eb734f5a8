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

import type { CrashedAttempt, WorkerId } from "../job/mod.ts";
import type { Attempts } from "./_attempts.ts";
import { computeCrashEvidence } from "./crash_loop.ts";
import type { DispatchContext } from "./_context.ts";
import type { MemberRun, StateAnswer } from "./types.ts";
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
        this.#context.registry.recordUnansweredCall(worker, this.#context.clock.getNow());
        if (!worker.isSuspect) {
            worker.isSuspect = true;
            this.#context.recordDecision("failure", "worker silent", {
                worker: worker.record.id,
                cause,
            });
        }
    }

    /**
     * Removes a worker after a worker with another id has answered at its address. Unless the worker
     * was draining, this counts as a crash, which its tasks may have caused.
     *
     * @param worker The worker.
     */
    handleReplacement(worker: WorkerState): void {
        const crashedAttempts = this.#recordCrash(worker, [...worker.members.values()]);
        this.removeWorker(worker.record.id, "replaced by another worker");
        crashedAttempts.forEach(({ unit }) => this.#attempts.endJobIfUnitFailed(unit));
    }

    /**
     * Handles an answer of an incarnation that started after the known one. Unless the worker was
     * draining, this counts as a crash. Orders do not name the incarnation that they are meant for,
     * so the new one may have executed some of them: its runs are resolved by a poll with a raised
     * fencing token, which keeps it from executing others later.
     *
     * @param worker The worker.
     * @param address The address at which it answered.
     * @param answer The answer.
     */
    handleRestart(worker: WorkerState, address: string, answer: StateAnswer): void {
        const { registry, clock, stateStore } = this.#context;
        const { id } = worker.record;
        const { incarnation } = answer;
        this.#context.recordDecision("failure", "worker restarted", {
            worker: id,
            incarnation,
            before: worker.record.incarnation,
            members: worker.members.size,
            draining: worker.record.isDraining,
            ...describeTimes(worker, clock.getNow()),
        });
        const listed = new Set(
            [...answer.running, ...answer.ended].map(({ task, attempt }) => `${task}#${attempt}`),
        );
        const lost = [...worker.members.values()].filter(
            (member) => !listed.has(`${member.name}#${member.attempt}`),
        );
        const crashedAttempts = this.#recordCrash(worker, lost);
        this.#context.recordFact({
            type: "workerSeen",
            worker: { ...worker.record, address, incarnation, isDraining: false },
        });
        const record = stateStore.workers.get(id);
        if (record !== undefined) {
            const restarted = registry.resetWorker(worker, record, clock.getNow());
            restarted.members.forEach((member) => this.#attempts.resetStart(member));
            this.#context.readySteps.expireTickets(id);
            this.#context.emit({ type: "look", worker: id });
        }
        crashedAttempts.forEach(({ unit }) => this.#attempts.endJobIfUnitFailed(unit));
    }

    /** Records the crash of a worker, with the attempts that may have caused it. */
    #recordCrash(worker: WorkerState, members: readonly MemberRun[]): readonly CrashedAttempt[] {
        const { id, address, isDraining } = worker.record;
        if (isDraining) {
            return [];
        }
        const { registry, clock, stateStore } = this.#context;
        registry.recordCrash(address, clock.getNow());
        const crashedAttempts = [
            ...(stateStore.attemptsOnExpiredLeases.get(id) ?? []),
            ...computeCrashEvidence(members),
        ];
        if (crashedAttempts.length > 0) {
            this.#context.recordFact({ type: "workerCrashed", worker: id, under: crashedAttempts });
            this.#context.recordDecision("failure", "worker crashed", {
                worker: id,
                under: crashedAttempts,
            });
        }
        crashedAttempts.forEach(({ unit }) => this.#context.readySteps.recordCrash(unit));
        return crashedAttempts;
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
            unlisted: members.filter(({ isListed }) => !isListed).length,
            incarnation: worker.record.incarnation,
            ...describeTimes(worker, this.#context.clock.getNow()),
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

/** Describes how long ago a worker was heard of and got a lease; a missing time is left out. */
function describeTimes(
    { lastContactAtMs, leaseSentAtMs }: WorkerState,
    now: number,
): { readonly silentMs?: number | undefined; readonly leaseSentMs?: number | undefined } {
    const computeAge = (atMs: number): number | undefined =>
        Number.isFinite(atMs) ? Math.round(now - atMs) : undefined;
    return { silentMs: computeAge(lastContactAtMs), leaseSentMs: computeAge(leaseSentAtMs) };
}
