/**
 * Reserves workers for blocked gangs and preempts less urgent tasks there; see `reservation.ts` for
 * the selection.
 *
 * @example
 * ```ts
 * import { GangReservations } from "./_gang_reservations.ts";
 * const reservations = new GangReservations(context, attempts);
 * reservations.setReservingGangs(ranked);
 * reservations.isReserved(workerId, entry);
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
import { isMissingAny, selectReservedWorkers, selectVictims } from "./reservation.ts";
import type { ReadyStep } from "./ready_steps.ts";
import { getFreeResources, NO_RESOURCES } from "./worker_registry.ts";

/**
 * Maximum number of gangs with reservations at the same time. A mean gang reserves two to six of
 * thirty workers, so at most about a third of the capacity is kept idle.
 */
const MAX_RESERVING_GANGS = 2;
/**
 * Minimum time between two rounds of preemption for one gang, in ms; longer than a stop, which
 * takes up to 0.9 s.
 */
const PREEMPTION_INTERVAL_MS = 1_500;

/** A waiting step with its rank; the smallest rank goes first. */
export interface RankedStep {
    readonly step: ReadyStep;
    readonly queue: QueueConfig;
    readonly rank: number;
}

/** Manages the gang reservations of one leader. */
export class GangReservations {
    readonly #context: DispatchContext;
    readonly #attempts: Attempts;
    #reservingGangs: readonly RankedStep[] = [];

    /**
     * @param context The shared state of the dispatcher.
     * @param attempts The running attempts.
     */
    constructor(context: DispatchContext, attempts: Attempts) {
        this.#context = context;
        this.#attempts = attempts;
    }

    /**
     * Selects the first gangs with reserved workers, up to the limit, for this round.
     *
     * @param ranked All waiting steps in order of rank.
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
     * Checks whether a worker is reserved for a gang with a lower rank than a step. Gangs of the
     * most urgent queue don't block others, and steps of more urgent queues ignore reservations.
     *
     * @param id The worker.
     * @param entry The step.
     * @returns True if the step must not use the worker.
     */
    isReserved(id: WorkerId, entry: RankedStep): boolean {
        return this.#reservingGangs.some(
            (gang) =>
                gang.rank < entry.rank &&
                gang.queue.priority > 0 &&
                this.#computePriority(entry) >= this.#computePriority(gang) &&
                gang.step.reservedWorkers.has(id),
        );
    }

    /**
     * Reserves workers for a gang that could not be placed, and preempts less urgent tasks on them.
     *
     * @param entry The step.
     * @param candidates The workers that the step may use.
     * @param now The current monotonic time, in ms.
     */
    updateReservation(entry: RankedStep, candidates: StepCandidates, now: number): void {
        const { step } = entry;
        const previous = step.reservedWorkers;
        step.reservedWorkers =
            step.spec.isGang && step.waiting.size > 0
                ? this.#selectReservedWorkers(entry, candidates)
                : new Map();
        this.#releaseWorkers(previous, step.reservedWorkers);
        this.#recordChange(step, previous);
        const mayPreempt = now - step.preemptedAtMs >= PREEMPTION_INTERVAL_MS;
        if (step.reservedWorkers.size === 0 || !mayPreempt || !this.#hasPreemptionTurn(entry)) {
            return;
        }
        const victims = this.#listVictims(entry, candidates);
        if (victims === undefined) {
            return;
        }
        step.preemptedAtMs = now;
        for (const victim of victims) {
            this.#context.recordDecision("decision", "task preempted", {
                request: victim.unit.job,
                task: victim.name,
                worker: victim.worker,
                for: step.key,
            });
            this.#attempts.stopMember(victim);
        }
    }

    /**
     * Returns whether a gang's turn to preempt has come. While two gangs hold reservations, these two
     * may: otherwise a backlog of gangs would end all preemption, and they would wait for workers
     * that less urgent tasks take again and again.
     */
    #hasPreemptionTurn(entry: RankedStep): boolean {
        return (
            this.#reservingGangs.length < MAX_RESERVING_GANGS ||
            (this.#context.admission === "forecast" && this.#reservingGangs.includes(entry))
        );
    }

    /**
     * Releases the workers that are reserved for a step.
     *
     * @param step The step.
     */
    releaseReservation(step: ReadyStep): void {
        if (step.reservedWorkers.size > 0) {
            const previous = step.reservedWorkers;
            step.reservedWorkers = new Map();
            this.#releaseWorkers(previous, step.reservedWorkers);
            this.#recordChange(step, previous);
        }
    }

    /** Logs the begin and the end of a reservation, but not each change of its workers. */
    #recordChange(step: ReadyStep, previous: ReadyStep["reservedWorkers"]): void {
        if (previous.size > 0 !== step.reservedWorkers.size > 0) {
            this.#context.recordDecision("decision", "workers reserved", {
                request: step.job.id,
                step: step.key,
                workers: step.reservedWorkers.size,
            });
        }
    }

    /**
     * Lists the tasks to preempt on the reserved workers, all or none. Preempting them while
     * another reserved worker stays occupied or isn't admitted would cost their progress without
     * starting the gang.
     */
    #listVictims(entry: RankedStep, candidates: StepCandidates): MemberRun[] | undefined {
        const { step } = entry;
        const admitted = new Set(candidates.admitted.map(({ id }) => id));
        const needs = computeReservedResources(step.spec);
        const victims: MemberRun[] = [];
        for (const [id, count] of step.reservedWorkers) {
            const worker = this.#context.registry.findWorker(id);
            if (worker === undefined || !admitted.has(id)) {
                return undefined;
            }
            const free = getFreeResources(worker);
            const missing = {
                cpu: count * needs.cpu - free.cpu,
                memoryMb: count * needs.memoryMb - free.memoryMb,
                gpu: count * needs.gpu - free.gpu,
            };
            const workerVictims = selectVictims(
                worker.members.values(),
                missing,
                this.#computePriority(entry),
            );
            if (isMissingAny(missing) && workerVictims.length === 0) {
                return undefined;
            }
            victims.push(...workerVictims);
        }
        return victims;
    }

    #computePriority({ step, queue }: RankedStep): number {
        return this.#context.jobShares.computePreemptionPriority(step.job.id, queue.priority);
    }

    #selectReservedWorkers(entry: RankedStep, candidates: StepCandidates): Map<WorkerId, number> {
        const { step } = entry;
        const priority = this.#computePriority(entry);
        const reservationCandidates = [...candidates.admitted, ...candidates.expired].map(
            ({ id }) => ({
                id,
                capacityAfterPreemption: this.#computeCapacityAfterPreemption(id, priority),
            }),
        );
        return selectReservedWorkers(reservationCandidates, {
            needs: computeReservedResources(step.spec),
            count: step.spec.count,
        });
    }

    /** Makes workers available to other steps once they are no longer reserved. */
    #releaseWorkers(
        previous: ReadonlyMap<WorkerId, number>,
        reserved: ReadonlyMap<WorkerId, number>,
    ): void {
        for (const id of previous.keys()) {
            const worker = reserved.has(id) ? undefined : this.#context.registry.findWorker(id);
            if (worker !== undefined) {
                this.#context.recordFreedCapacity(worker);
            }
        }
    }

    /** Computes a worker's free capacity after all less urgent tasks are preempted. */
    #computeCapacityAfterPreemption(id: WorkerId, priority: number): Resources {
        const worker = this.#context.registry.findWorker(id);
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
