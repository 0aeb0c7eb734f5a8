/**
 * Starts of units under which workers crashed, apart from other starts; see `crash_loop.ts` for the pattern. A
 * unit under suspicion goes to the worker with least to lose, once every run there has outlasted its start, and no
 * other start follows until it has outlasted its own. A second crash then tells of this unit alone.
 *
 * @example
 * ```ts
 * import { Isolation } from "./_crash_isolation.ts";
 * const isolation = new Isolation(context);
 * isolation.update(now);
 * const workers = isolation.selectWorkers(step, unit, admitted, now);
 * ```
 *
 * @module
 */

import type { WorkerId } from "../job/mod.ts";
import { computeReservedResources } from "./_attempts.ts";
import type { StepCandidates } from "./_candidates.ts";
import type { DispatchContext } from "./_context.ts";
import { computeIsolationMs, isPastStartup, STARTUP_CRASH_WINDOW_MS } from "./crash_loop.ts";
import { placeUnit, type Candidate } from "./placement.ts";
import { createUnitKey, createUnitRef, type ReadyStep } from "./ready_steps.ts";
import type { MemberRun, StepKey } from "./types.ts";
import { hasResourcesFor, NO_RESOURCES, type WorkerState } from "./worker_registry.ts";

/** A unit that finds no worker for itself within this time starts beside others, in ms. */
const MAX_ISOLATION_WAIT_MS = 3_000;
/** One worker of so many is kept for units under suspicion at most, and always one. */
const WORKERS_PER_RESERVATION = 8;
/** Pause between two looks that ask whether runs have outlasted their starts, in ms. */
const PROBE_INTERVAL_MS = 250;

/** The isolated starts of one leader. */
export class CrashIsolation {
    readonly #context: DispatchContext;
    readonly #reservations = new Map<WorkerId, StepKey>();
    /** Units under suspicion that found no worker yet, by their keys. */
    readonly #waitingUnits = new Map<string, { readonly step: StepKey; readonly since: number }>();
    #isolatedWorkers = new Set<WorkerId>();

    /**
     * @param context What the parts share.
     */
    constructor(context: DispatchContext) {
        this.#context = context;
    }

    /**
     * Prepares a round of placing: drops what nothing waits for any more, and looks at workers whose runs may have
     * outlasted their starts by now.
     *
     * @param now Our clock, in ms.
     */
    update(now: number): void {
        const { book, board } = this.#context;
        for (const [id, key] of this.#reservations) {
            const worker = book.findWorker(id);
            const hasWaiting = (board.findStep(key)?.waiting.size ?? 0) > 0;
            if (worker === undefined || !hasWaiting || !book.isUsable(worker, now)) {
                this.#releaseReservation(id);
            } else if ([...worker.members.values()].some((member) => isProbeDue(member, now))) {
                this.#probe(worker, now);
            }
        }
        for (const [key, { step }] of this.#waitingUnits) {
            if (board.findStep(step) === undefined) {
                this.#waitingUnits.delete(key);
            }
        }
        this.#isolatedWorkers = new Set(
            this.#listIsolatedMembers(now).map((member) => member.worker),
        );
    }

    /**
     * Tells whether a worker takes no start of a step.
     *
     * @param id The worker.
     * @param step The step.
     * @returns True beside a run under suspicion, and while the worker is kept for another step.
     */
    isBlocked(id: WorkerId, step: ReadyStep): boolean {
        const reservedFor = this.#reservations.get(id);
        return (
            this.#isolatedWorkers.has(id) || (reservedFor !== undefined && reservedFor !== step.key)
        );
    }

    /**
     * Selects the candidates that units without suspicion may use.
     *
     * @param candidates Those that are open to the step.
     * @returns Those that units under suspicion neither use nor wait for.
     */
    selectAvailable(candidates: readonly Candidate[]): readonly Candidate[] {
        return this.#reservations.size + this.#isolatedWorkers.size === 0
            ? candidates
            : candidates.filter(
                  ({ id }) => !this.#reservations.has(id) && !this.#isolatedWorkers.has(id),
              );
    }

    /**
     * Lists the waiting units of a step that are under suspicion.
     *
     * @param step The step.
     * @returns Their numbers.
     */
    listSuspects(step: ReadyStep): number[] {
        if (!step.hasCrashes) {
            return [];
        }
        return [...step.waiting].filter((unit) => {
            const crashes = this.#context.ledger.findUnit(createUnitRef(step, unit))?.crashes ?? [];
            return computeIsolationMs(crashes) > 0;
        });
    }

    /**
     * Selects workers for a unit under suspicion, and keeps one until there are some.
     *
     * @param step The step.
     * @param unit The unit's number.
     * @param candidates The workers that the step may use, by admission.
     * @param now Our clock, in ms.
     * @returns One worker a task; `undefined` when the unit has to wait.
     */
    selectWorkers(
        step: ReadyStep,
        unit: number,
        candidates: StepCandidates,
        now: number,
    ): WorkerId[] | undefined {
        const key = createUnitKey(createUnitRef(step, unit));
        const since = this.#waitingUnits.get(key)?.since ?? now;
        const chosen =
            this.#placeIsolated(step, candidates.admitted) ??
            (now - since >= MAX_ISOLATION_WAIT_MS
                ? placeUnit(createPlacementRequest(step, this.selectAvailable(candidates.admitted)))
                : undefined);
        if (chosen === undefined) {
            this.#waitingUnits.set(key, { step: step.key, since });
            this.#addReservation(step, [...candidates.admitted, ...candidates.expired]);
            return undefined;
        }
        this.#waitingUnits.delete(key);
        for (const id of chosen) {
            this.#releaseReservation(id);
            this.#isolatedWorkers.add(id);
        }
        return chosen;
    }

    /** On workers without young runs, those first that have least to lose. */
    #placeIsolated(step: ReadyStep, admitted: readonly Candidate[]): WorkerId[] | undefined {
        const free = this.#selectStable(admitted).filter(({ id }) => {
            const worker = this.#context.book.findWorker(id);
            return worker !== undefined && !hasRecentStart(worker);
        });
        if (step.spec.isGang) {
            return placeUnit(createPlacementRequest(step, free));
        }
        const ranked = [...free].sort((a, b) => this.#countMembers(a) - this.#countMembers(b));
        for (const candidate of ranked) {
            const chosen = placeUnit(createPlacementRequest(step, [candidate]));
            if (chosen !== undefined) {
                return chosen;
            }
        }
        return undefined;
    }

    /**
     * Leaves out workers that crashed lately, unless most did: one that crashes by itself looks idle each time it is
     * back, and would have the next unit under suspicion blamed for it.
     */
    #selectStable(candidates: readonly Candidate[]): readonly Candidate[] {
        const { book, clock } = this.#context;
        const now = clock.getNow();
        const stable = candidates.filter(({ id }) => {
            const address = book.findWorker(id)?.record.address ?? "";
            return !book.hasRecentCrash(address, now);
        });
        return 2 * stable.length >= candidates.length ? stable : candidates;
    }

    #countMembers({ id }: Candidate): number {
        return this.#context.book.findWorker(id)?.members.size ?? 0;
    }

    #addReservation(step: ReadyStep, candidates: readonly Candidate[]): void {
        const { book } = this.#context;
        const workerCount = [...book.workers].length;
        const maxReservations = Math.max(1, Math.floor(workerCount / WORKERS_PER_RESERVATION));
        const ownReservations = [...this.#reservations.values()].filter(
            (key) => key === step.key,
        ).length;
        const wanted = step.spec.isGang ? step.spec.count : this.listSuspects(step).length;
        if (this.#reservations.size >= maxReservations || ownReservations >= wanted) {
            return;
        }
        const needs = computeReservedResources(step.spec);
        const [best] = this.#selectStable(candidates)
            .filter(({ id }) => !this.#reservations.has(id) && !this.#isolatedWorkers.has(id))
            .filter(({ id }) =>
                hasResourcesFor(book.findWorker(id)?.record.capacity ?? NO_RESOURCES, needs),
            )
            .sort((a, b) => this.#countMembers(a) - this.#countMembers(b));
        if (best !== undefined) {
            this.#reservations.set(best.id, step.key);
        }
    }

    #releaseReservation(id: WorkerId): void {
        const worker = this.#reservations.delete(id)
            ? this.#context.book.findWorker(id)
            : undefined;
        if (worker !== undefined) {
            this.#context.recordFreedCapacity(worker);
        }
    }

    /** The runs that keep others off their workers; those that may have outlasted their starts are looked at. */
    #listIsolatedMembers(now: number): MemberRun[] {
        const isolated: MemberRun[] = [];
        for (const member of this.#context.book.isolatedRuns) {
            if (member.observedRunMs >= member.isolationMs) {
                continue;
            }
            isolated.push(member);
            const worker = this.#context.book.findWorker(member.worker);
            if (worker !== undefined && isProbeDue(member, now)) {
                this.#probe(worker, now);
            }
        }
        return isolated;
    }

    #probe(worker: WorkerState, now: number): void {
        if (now - worker.extraPollAt >= PROBE_INTERVAL_MS) {
            worker.extraPollAt = now;
            this.#context.emit({ type: "look", worker: worker.record.id });
        }
    }
}

/** It runs for long enough to have outlasted its start, and no look has shown it yet. */
function isProbeDue(member: MemberRun, now: number): boolean {
    return (
        member.state === "running" &&
        !isPastStartup(member) &&
        now - member.startedAt >= STARTUP_CRASH_WINDOW_MS
    );
}

function hasRecentStart(worker: WorkerState): boolean {
    return [...worker.members.values()].some((member) => !isPastStartup(member));
}

function createPlacementRequest(
    step: ReadyStep,
    candidates: readonly Candidate[],
): Parameters<typeof placeUnit>[0] {
    const { isGang, count, maxPerWorker, isRackLocal } = step.spec;
    return {
        needs: computeReservedResources(step.spec),
        count: isGang ? count : 1,
        candidates,
        maxPerWorker,
        isRackLocal,
    };
}
