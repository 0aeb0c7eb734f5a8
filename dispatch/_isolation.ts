/**
 * Starts of units under which workers crashed, apart from other starts; see `crash_loop.ts` for the pattern. A
 * unit under suspicion goes to the worker with least to lose, once every run there has outlasted its start, and no
 * other start follows until it has outlasted its own. A second crash then tells of this unit alone.
 *
 * @example
 * ```ts
 * import { Isolation } from "./_isolation.ts";
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
const PATIENCE_MS = 3_000;
/** One worker of so many is kept for units under suspicion at most, and always one. */
const WORKERS_PER_RESERVATION = 8;
/** Pause between two looks that ask whether runs have outlasted their starts, in ms. */
const LOOK_AGAIN_MS = 250;

/** The isolated starts of one leader. */
export class Isolation {
    readonly #context: DispatchContext;
    readonly #reservations = new Map<WorkerId, StepKey>();
    /** Units under suspicion that found no worker yet, by their keys. */
    readonly #waiting = new Map<string, { readonly step: StepKey; readonly since: number }>();
    #closed = new Set<WorkerId>();

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
                this.#release(id);
            } else if ([...worker.members.values()].some((member) => isUnproven(member, now))) {
                this.#look(worker, now);
            }
        }
        for (const [key, { step }] of this.#waiting) {
            if (board.findStep(step) === undefined) {
                this.#waiting.delete(key);
            }
        }
        this.#closed = new Set(this.#listApart(now).map((member) => member.worker));
    }

    /**
     * Tells whether a worker takes no start of a step.
     *
     * @param id The worker.
     * @param step The step.
     * @returns True beside a run under suspicion, and while the worker is kept for another step.
     */
    isClosed(id: WorkerId, step: ReadyStep): boolean {
        const holder = this.#reservations.get(id);
        return this.#closed.has(id) || (holder !== undefined && holder !== step.key);
    }

    /**
     * Selects the candidates that units without suspicion may use.
     *
     * @param candidates Those that are open to the step.
     * @returns Those that units under suspicion neither use nor wait for.
     */
    selectOpen(candidates: readonly Candidate[]): readonly Candidate[] {
        return this.#reservations.size + this.#closed.size === 0
            ? candidates
            : candidates.filter(({ id }) => !this.#reservations.has(id) && !this.#closed.has(id));
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
        const since = this.#waiting.get(key)?.since ?? now;
        const chosen =
            this.#placeApart(step, candidates.admitted) ??
            (now - since >= PATIENCE_MS
                ? placeUnit(createRequest(step, this.selectOpen(candidates.admitted)))
                : undefined);
        if (chosen === undefined) {
            this.#waiting.set(key, { step: step.key, since });
            this.#addReservation(step, [...candidates.admitted, ...candidates.expired]);
            return undefined;
        }
        this.#waiting.delete(key);
        for (const id of chosen) {
            this.#release(id);
            this.#closed.add(id);
        }
        return chosen;
    }

    /** On workers without young runs, those first that have least to lose. */
    #placeApart(step: ReadyStep, admitted: readonly Candidate[]): WorkerId[] | undefined {
        const free = this.#selectSteady(admitted).filter(({ id }) => {
            const worker = this.#context.book.findWorker(id);
            return worker !== undefined && !hasYoungRun(worker);
        });
        if (step.spec.isGang) {
            return placeUnit(createRequest(step, free));
        }
        const ranked = [...free].sort((a, b) => this.#countMembers(a) - this.#countMembers(b));
        for (const candidate of ranked) {
            const chosen = placeUnit(createRequest(step, [candidate]));
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
    #selectSteady(candidates: readonly Candidate[]): readonly Candidate[] {
        const { book, clock } = this.#context;
        const now = clock.getNow();
        const steady = candidates.filter(({ id }) => {
            const address = book.findWorker(id)?.record.address ?? "";
            return !book.hasRecentCrash(address, now);
        });
        return 2 * steady.length >= candidates.length ? steady : candidates;
    }

    #countMembers({ id }: Candidate): number {
        return this.#context.book.findWorker(id)?.members.size ?? 0;
    }

    #addReservation(step: ReadyStep, candidates: readonly Candidate[]): void {
        const { book } = this.#context;
        const workers = [...book.workers].length;
        const most = Math.max(1, Math.floor(workers / WORKERS_PER_RESERVATION));
        const own = [...this.#reservations.values()].filter((key) => key === step.key).length;
        const wanted = step.spec.isGang ? step.spec.count : this.listSuspects(step).length;
        if (this.#reservations.size >= most || own >= wanted) {
            return;
        }
        const needs = computeReservedResources(step.spec);
        const [best] = this.#selectSteady(candidates)
            .filter(({ id }) => !this.#reservations.has(id) && !this.#closed.has(id))
            .filter(({ id }) =>
                hasResourcesFor(book.findWorker(id)?.record.capacity ?? NO_RESOURCES, needs),
            )
            .sort((a, b) => this.#countMembers(a) - this.#countMembers(b));
        if (best !== undefined) {
            this.#reservations.set(best.id, step.key);
        }
    }

    #release(id: WorkerId): void {
        const worker = this.#reservations.delete(id)
            ? this.#context.book.findWorker(id)
            : undefined;
        if (worker !== undefined) {
            this.#context.recordRoom(worker);
        }
    }

    /** The runs that keep others off their workers; those that may have outlasted their starts are looked at. */
    #listApart(now: number): MemberRun[] {
        const apart: MemberRun[] = [];
        for (const member of this.#context.book.isolatedRuns) {
            if (member.observedRunMs >= member.isolationMs) {
                continue;
            }
            apart.push(member);
            const worker = this.#context.book.findWorker(member.worker);
            if (worker !== undefined && isUnproven(member, now)) {
                this.#look(worker, now);
            }
        }
        return apart;
    }

    #look(worker: WorkerState, now: number): void {
        if (now - worker.extraPollAt >= LOOK_AGAIN_MS) {
            worker.extraPollAt = now;
            this.#context.emit({ type: "look", worker: worker.record.id });
        }
    }
}

/** It runs for long enough to have outlasted its start, and no look has shown it yet. */
function isUnproven(member: MemberRun, now: number): boolean {
    return (
        member.state === "running" &&
        !isPastStartup(member) &&
        now - member.startedAt >= STARTUP_CRASH_WINDOW_MS
    );
}

function hasYoungRun(worker: WorkerState): boolean {
    return [...worker.members.values()].some((member) => !isPastStartup(member));
}

function createRequest(
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
