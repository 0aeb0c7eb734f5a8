/**
 * The workers that blocked gangs hold, and the tasks that make way for them; see
 * `reservation.ts` for the pattern.
 *
 * @example
 * ```ts
 * import { GangHolds } from "./_gang_reservations.ts";
 * const holds = new GangHolds(context, attempts);
 * holds.setHolders(ranked);
 * holds.isHeld(workerId, entry);
 * ```
 *
 * @module
 */

import type { QueueConfig } from "../configuration/mod.ts";
import type { Resources, WorkerId } from "../job/mod.ts";
import { computeReservedResources, type Attempts } from "./_attempts.ts";
import type { StepCandidates } from "./_candidates.ts";
import type { DispatchContext } from "./_context.ts";
import type { MemberRun } from "./types.ts";
import { selectReservedWorkers, selectVictims } from "./reservation.ts";
import type { ReadyStep } from "./ready_steps.ts";
import { getFreeResources, NO_RESOURCES } from "./worker_registry.ts";

/**
 * Gangs that hold workers at the same time: a third of the floor at most stands ready (a mean gang
 * takes two to six workers of thirty), and the others fill what is left.
 */
const MAX_RESERVING_GANGS = 2;
/** Time between two rounds of making way for one gang, in ms: a stop takes up to 0.9 s. */
const PREEMPTION_INTERVAL_MS = 1_500;

/** A step that waits, with its place in the order. */
export interface RankedStep {
    readonly step: ReadyStep;
    readonly queue: QueueConfig;
    readonly rank: number;
}

/** The holds of one leader. */
export class GangReservations {
    readonly #context: DispatchContext;
    readonly #attempts: Attempts;
    #reservingGangs: readonly RankedStep[] = [];

    /**
     * @param context What the parts share.
     * @param attempts The attempts under way.
     */
    constructor(context: DispatchContext, attempts: Attempts) {
        this.#context = context;
        this.#attempts = attempts;
    }

    /**
     * Takes the first gangs that hold workers as this round's holders.
     *
     * @param ranked All waiting steps in order.
     */
    setReservingGangs(ranked: readonly RankedStep[]): void {
        const gangs: RankedStep[] = [];
        for (const entry of ranked) {
            if (gangs.length === MAX_RESERVING_GANGS) {
                break;
            }
            if (entry.step.reservedWorkers.size > 0) {
                gangs.push(entry);
            }
        }
        this.#reservingGangs = gangs;
    }

    /**
     * Tells whether a worker is kept for a gang ahead of a step. The most urgent queue's tasks are
     * short and go anywhere; others stay off held workers.
     *
     * @param id The worker.
     * @param entry The step.
     * @returns True when the step must not use the worker.
     */
    isReserved(id: WorkerId, entry: RankedStep): boolean {
        return this.#reservingGangs.some(
            (gang) =>
                gang.rank < entry.rank &&
                gang.queue.priority > 0 &&
                entry.queue.priority >= gang.queue.priority &&
                gang.step.reservedWorkers.has(id),
        );
    }

    /**
     * Has a gang that found no room hold workers, and less urgent tasks make way there.
     *
     * @param entry The step.
     * @param candidates The workers that it may run on.
     * @param now Our clock, in ms.
     */
    updateReservation(entry: RankedStep, candidates: StepCandidates, now: number): void {
        const { step } = entry;
        const previous = step.reservedWorkers;
        step.reservedWorkers =
            step.spec.isGang && step.waiting.size > 0
                ? this.#selectReservedWorkers(entry, candidates)
                : new Map();
        this.#releaseWorkers(previous, step.reservedWorkers);
        const mayPreempt = now - step.preemptedAt >= PREEMPTION_INTERVAL_MS;
        if (
            step.reservedWorkers.size === 0 ||
            !mayPreempt ||
            this.#reservingGangs.length >= MAX_RESERVING_GANGS
        ) {
            return;
        }
        const victims = this.#listVictims(entry, candidates);
        if (victims === undefined) {
            return;
        }
        step.preemptedAt = now;
        for (const victim of victims) {
            this.#context.recordDecision("decision", "task makes way", {
                request: victim.unit.job,
                task: victim.name,
                worker: victim.worker,
                for: step.key,
            });
            this.#attempts.stopMember(victim);
        }
    }

    /**
     * Lists the tasks that make way, on every held worker at once or not at all. Stopped where another held
     * worker stays taken, or where the gang's ticket has run out, they would lose their place and the gang
     * would start no sooner; on a floor of hundreds of workers that happened to most of them.
     */
    #listVictims({ step, queue }: RankedStep, candidates: StepCandidates): MemberRun[] | undefined {
        const admitted = new Set(candidates.admitted.map(({ id }) => id));
        const needs = computeReservedResources(step.spec);
        const victims: MemberRun[] = [];
        for (const [id, count] of step.reservedWorkers) {
            const worker = this.#context.book.findWorker(id);
            if (worker === undefined || !admitted.has(id)) {
                return undefined;
            }
            const missingCpu = count * needs.cpu - getFreeResources(worker).cpu;
            const workerVictims = selectVictims(
                worker.members.values(),
                missingCpu,
                queue.priority,
            );
            if (missingCpu > 0 && workerVictims.length === 0) {
                return undefined;
            }
            victims.push(...workerVictims);
        }
        return victims;
    }

    #selectReservedWorkers(
        { step, queue }: RankedStep,
        candidates: StepCandidates,
    ): Map<WorkerId, number> {
        const reservationCandidates = [...candidates.admitted, ...candidates.expired].map(
            ({ id }) => ({
                id,
                capacityAfterPreemption: this.#computeCapacityAfterPreemption(id, queue.priority),
            }),
        );
        return selectReservedWorkers(reservationCandidates, {
            needs: computeReservedResources(step.spec),
            count: step.spec.count,
        });
    }

    /** What others were kept from may be used again. */
    #releaseWorkers(
        previous: ReadonlyMap<WorkerId, number>,
        reserved: ReadonlyMap<WorkerId, number>,
    ): void {
        for (const id of previous.keys()) {
            const worker = reserved.has(id) ? undefined : this.#context.book.findWorker(id);
            if (worker !== undefined) {
                this.#context.recordFreedCapacity(worker);
            }
        }
    }

    /** What a worker has left once work less urgent than a priority has gone. */
    #computeCapacityAfterPreemption(id: WorkerId, priority: number): Resources {
        const worker = this.#context.book.findWorker(id);
        if (worker === undefined) {
            return NO_RESOURCES;
        }
        const capacity = { ...getFreeResources(worker) };
        for (const member of worker.members.values()) {
            if (member.priority > priority) {
                capacity.cpu += member.reserved.cpu;
                capacity.memoryMb += member.reserved.memoryMb;
                capacity.gpu += member.reserved.gpu;
            }
        }
        return capacity;
    }
}
