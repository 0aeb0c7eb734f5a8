/**
 * Reserves workers for blocked gangs and preempts less urgent tasks there; see `reservation.ts` for
 * the selection.
 *
 * @example
 * ```ts
 * import { GangReservations } from "./_gang_reservations.ts";
 * const reservations = new GangReservations(context, attempts);
 * reservations.setReservingGangs(ranked);
 * reservations.isReserved(workerId, entry, now);
 * ```
 *
 * @module
 */

import type { PoolName, QueueConfig } from "../configuration/mod.ts";
import type { Job, WorkerId } from "../job/mod.ts";
import { computeReservedResources, type Attempts } from "./_attempts.ts";
import type { StepCandidates } from "./_candidates.ts";
import type { DispatchContext } from "./_context.ts";
import type { MemberRun } from "./types.ts";
import { START_OVERHEAD_MS } from "./ranking.ts";
import { computeExpectedRemainingMs } from "./_remaining_time.ts";
import {
    NO_RESERVATION,
    selectReservation,
    selectVictims,
    type CapacityRelease,
    type Reservation,
    type ReservationCandidate,
} from "./reservation.ts";
import type { ReadyStep } from "./ready_steps.ts";
import {
    computeDifference,
    computeTotalNeeds,
    getFreeResources,
    hasResourcesFor,
    NO_RESOURCES,
    type WorkerState,
} from "./worker_registry.ts";

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

/**
 * Maximum time for which reservations keep a step from workers that would otherwise be idle, in ms.
 * Reservations rest on estimates, which may be wrong.
 */
const MAX_HELD_MS = 1_500;
/** Share of a pool's CPU in use below which held steps are let through. */
const LOW_USE_SHARE = 0.5;

/**
 * Time after which a task that may be preempted counts as ended at the latest, in ms. Gangs wait for
 * ends that come sooner rather than discard work.
 */
const MAX_PREEMPTIBLE_REMAINING_MS = 3_000;
/** Expected wait from which preemption starts a gang sooner, in ms; a stop takes up to 0.9 s. */
const MIN_PREEMPTION_GAIN_MS = 1_000;

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
    /** Whether less than half of a pool's CPU is in use, in this round. */
    readonly #isLowUseByPool = new Map<PoolName, boolean>();

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
        this.#isLowUseByPool.clear();
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
     * most urgent queue don't block others, steps of more urgent queues ignore reservations, and so
     * do tasks that are expected to end before the gang starts.
     *
     * @param id The worker.
     * @param entry The step.
     * @param now The current monotonic time, in ms.
     * @returns True if the step must not use the worker.
     */
    isReserved(id: WorkerId, entry: RankedStep, now: number): boolean {
        return this.#reservingGangs.some(
            (gang) =>
                gang.rank < entry.rank &&
                gang.queue.priority > 0 &&
                this.#computePriority(entry) >= this.#computePriority(gang) &&
                gang.step.reservedWorkers.has(id) &&
                !this.#isBackfill(entry, gang, now),
        );
    }

    /** Returns whether a task of a step is expected to end before a gang starts. */
    #isBackfill({ step }: RankedStep, gang: RankedStep, now: number): boolean {
        const { estimateMs, isPerpetual } = step.spec;
        if (isPerpetual || estimateMs <= 0) {
            return false;
        }
        const taskMs = estimateMs * this.#context.getQueueRatio(step.queue).p80;
        return now + START_OVERHEAD_MS + taskMs <= gang.step.reservedStartAtMs;
    }

    /**
     * Records whether reservations keep a step from workers.
     *
     * @param step The step.
     * @param isHeld Whether they do.
     * @param now The current monotonic time, in ms.
     */
    recordHeld(step: ReadyStep, isHeld: boolean, now: number): void {
        step.heldSinceMs = isHeld ? (step.heldSinceMs ?? now) : undefined;
    }

    /**
     * Returns whether a step has been held for so long that it may ignore the reservations of gangs:
     * a task that runs until it is stopped, or, while most of the pool is idle, a job of which
     * nothing runs.
     *
     * @param entry The step.
     * @param now The current monotonic time, in ms.
     * @returns True if no worker is closed to it for a gang.
     */
    isExempt({ step, queue }: RankedStep, now: number): boolean {
        if (step.heldSinceMs === undefined || now - step.heldSinceMs < MAX_HELD_MS) {
            return false;
        }
        return step.spec.isPerpetual || (this.#isLowUse(queue.pool) && !hasRunningTasks(step.job));
    }

    #isLowUse(pool: PoolName): boolean {
        const known = this.#isLowUseByPool.get(pool);
        if (known !== undefined) {
            return known;
        }
        let [capacityCpu, reservedCpu] = [0, 0];
        for (const { record, reserved } of this.#context.registry.workers) {
            if (record.pool === pool) {
                capacityCpu += record.capacity.cpu;
                reservedCpu += reserved.cpu;
            }
        }
        const isLowUse = reservedCpu < LOW_USE_SHARE * capacityCpu;
        this.#isLowUseByPool.set(pool, isLowUse);
        return isLowUse;
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
        const reservation =
            step.spec.isGang && step.waiting.size > 0
                ? this.#selectReservation(entry, candidates, now)
                : NO_RESERVATION;
        step.reservedWorkers = reservation.workers;
        step.reservedStartAtMs = now + reservation.startsInMs;
        this.#releaseWorkers(previous, step.reservedWorkers);
        this.#recordChange(step, previous);
        const mayPreempt =
            now - step.preemptedAtMs >= PREEMPTION_INTERVAL_MS &&
            reservation.startsInMs > MIN_PREEMPTION_GAIN_MS;
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
            step.reservedWorkers = NO_RESERVATION.workers;
            step.reservedStartAtMs = Number.POSITIVE_INFINITY;
            this.#releaseWorkers(previous, step.reservedWorkers);
            this.#recordChange(step, previous);
        }
    }

    /** Logs the begin and the end of a reservation, but not each change of its workers. */
    #recordChange(step: ReadyStep, previous: ReadyStep["reservedWorkers"]): void {
        if (previous.size > 0 !== step.reservedWorkers.size > 0) {
            const startsInMs = step.reservedStartAtMs - this.#context.clock.getNow();
            this.#context.recordDecision("decision", "workers reserved", {
                request: step.job.id,
                step: step.key,
                workers: step.reservedWorkers.size,
                startsInMs: Number.isFinite(startsInMs) ? Math.round(startsInMs) : undefined,
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
            const missing = computeDifference(
                computeTotalNeeds(needs, count),
                getFreeResources(worker),
            );
            const workerVictims = selectVictims(
                worker.members.values(),
                missing,
                this.#computePriority(entry),
            );
            if (!hasResourcesFor(NO_RESOURCES, missing) && workerVictims.length === 0) {
                return undefined;
            }
            victims.push(...workerVictims);
        }
        return victims;
    }

    #computePriority({ step, queue }: RankedStep): number {
        return this.#context.jobShares.computePreemptionPriority(step.job.id, queue.priority);
    }

    #selectReservation(entry: RankedStep, candidates: StepCandidates, now: number): Reservation {
        const { spec } = entry.step;
        const priority = this.#computePriority(entry);
        const reservationCandidates: ReservationCandidate[] = [];
        for (const { id, tasksOfStep } of [...candidates.admitted, ...candidates.expired]) {
            const worker = this.#context.registry.findWorker(id);
            if (worker !== undefined) {
                reservationCandidates.push({
                    id,
                    freeCapacity: getFreeResources(worker),
                    releases: this.#listReleases(worker, priority, now),
                    maxTasks: spec.maxPerWorker > 0 ? spec.maxPerWorker - tasksOfStep : spec.count,
                });
            }
        }
        return selectReservation(reservationCandidates, {
            needs: computeReservedResources(spec),
            count: spec.count,
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

    /** Lists what the tasks that are less urgent than a gang free once they end or are preempted. */
    #listReleases(worker: WorkerState, priority: number, now: number): CapacityRelease[] {
        const releases: CapacityRelease[] = [];
        for (const member of worker.members.values()) {
            if (member.priority > priority) {
                const remainingMs = computeExpectedRemainingMs(this.#context, member, now);
                const inMs = member.isMovable
                    ? Math.min(MAX_PREEMPTIBLE_REMAINING_MS, remainingMs)
                    : remainingMs;
                releases.push({ inMs, resources: member.reserved });
            }
        }
        return releases;
    }
}

/** Returns whether any task of a job runs or is being started. */
function hasRunningTasks(job: Job): boolean {
    return [...job.occurrences.values()].some(({ steps }) =>
        steps.some((units) => units.some(({ members }) => members.size > 0)),
    );
}
