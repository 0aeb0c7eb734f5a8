/**
 * Isolates the starts of units that are suspected of crashing workers; see `crash_loop.ts`. A
 * suspect starts on a worker without other recent starts, so that a second crash can be attributed
 * to it.
 *
 * @example
 * ```ts
 * import { CrashIsolation } from "./_crash_isolation.ts";
 * const isolation = new CrashIsolation(context);
 * isolation.update(now);
 * const workers = isolation.selectWorkers(step, unit, candidates, now);
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

/**
 * Time after which a suspect unit is placed beside other tasks if no isolated worker was found, in
 * ms.
 */
const MAX_ISOLATION_WAIT_MS = 3_000;
/** One worker out of this many may be reserved for suspect units; at least one always may. */
const WORKERS_PER_RESERVATION = 8;
/** Minimum time between two extra polls of a worker, in ms. */
const EXTRA_POLL_INTERVAL_MS = 250;

/** Manages the isolated starts of one leader. */
export class CrashIsolation {
    readonly #context: DispatchContext;
    readonly #reservations = new Map<WorkerId, StepKey>();
    /** Suspect units that wait for a worker, by unit key. */
    readonly #waitingUnits = new Map<
        string,
        { readonly step: StepKey; readonly sinceMs: number }
    >();
    #isolatedWorkers = new Set<WorkerId>();

    /**
     * @param context The shared state of the dispatcher.
     */
    constructor(context: DispatchContext) {
        this.#context = context;
    }

    /**
     * Prepares a placement round: drops stale reservations and waiting units, and polls workers
     * whose tasks may be past their startup.
     *
     * @param now The current monotonic time, in ms.
     */
    update(now: number): void {
        const { registry, readySteps } = this.#context;
        for (const [id, key] of this.#reservations) {
            const worker = registry.findWorker(id);
            const hasWaiting = (readySteps.findStep(key)?.waiting.size ?? 0) > 0;
            if (worker === undefined || !hasWaiting || !registry.isUsable(worker, now)) {
                this.#releaseReservation(id);
            } else if ([...worker.members.values()].some((member) => isExtraPollDue(member, now))) {
                this.#sendExtraPoll(worker, now);
            }
        }
        for (const [key, { step }] of this.#waitingUnits) {
            if (readySteps.findStep(step) === undefined) {
                this.#waitingUnits.delete(key);
            }
        }
        this.#isolatedWorkers = new Set(
            this.#listIsolatedMembers(now).map((member) => member.worker),
        );
    }

    /**
     * Checks whether a worker is closed to new tasks of a step.
     *
     * @param id The worker.
     * @param step The step.
     * @returns True if an isolated task runs there or the worker is reserved for another step.
     */
    isBlocked(id: WorkerId, step: ReadyStep): boolean {
        const reservedFor = this.#reservations.get(id);
        return (
            this.#isolatedWorkers.has(id) || (reservedFor !== undefined && reservedFor !== step.key)
        );
    }

    /**
     * Selects the candidates for units that are not suspected of crashing workers.
     *
     * @param candidates The candidates of the step.
     * @returns The candidates that are neither reserved for suspect units nor isolated.
     */
    selectAvailable(candidates: readonly Candidate[]): readonly Candidate[] {
        return this.#reservations.size + this.#isolatedWorkers.size === 0
            ? candidates
            : candidates.filter(
                  ({ id }) => !this.#reservations.has(id) && !this.#isolatedWorkers.has(id),
              );
    }

    /**
     * Lists the waiting units of a step that are suspected of crashing workers.
     *
     * @param step The step.
     * @returns The unit numbers.
     */
    listSuspectUnits(step: ReadyStep): number[] {
        if (!step.hasCrashes) {
            return [];
        }
        return [...step.waiting].filter((unit) => {
            const crashes =
                this.#context.stateStore.findUnit(createUnitRef(step, unit))?.crashes ?? [];
            return computeIsolationMs(crashes) > 0;
        });
    }

    /**
     * Selects workers for a suspect unit, or reserves one for it if none is available.
     *
     * @param step The step.
     * @param unit The unit number.
     * @param candidates The workers that the step may use, by admission.
     * @param now The current monotonic time, in ms.
     * @returns One worker per task; `undefined` if the unit has to wait.
     */
    selectWorkers(
        step: ReadyStep,
        unit: number,
        candidates: StepCandidates,
        now: number,
    ): WorkerId[] | undefined {
        const key = createUnitKey(createUnitRef(step, unit));
        const sinceMs = this.#waitingUnits.get(key)?.sinceMs ?? now;
        const chosen =
            this.#placeIsolated(step, candidates.admitted) ??
            (now - sinceMs >= MAX_ISOLATION_WAIT_MS
                ? placeUnit(createPlacementRequest(step, this.selectAvailable(candidates.admitted)))
                : undefined);
        if (chosen === undefined) {
            this.#waitingUnits.set(key, { step: step.key, sinceMs });
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

    /** Places a suspect unit on workers without recent starts, those with fewest tasks first. */
    #placeIsolated(step: ReadyStep, admitted: readonly Candidate[]): WorkerId[] | undefined {
        const eligible = this.#selectStable(admitted).filter(({ id }) => {
            const worker = this.#context.registry.findWorker(id);
            return worker !== undefined && !hasRecentStart(worker);
        });
        if (step.spec.isGang) {
            return placeUnit(createPlacementRequest(step, eligible));
        }
        const ranked = [...eligible].sort((a, b) => this.#countMembers(a) - this.#countMembers(b));
        for (const candidate of ranked) {
            const chosen = placeUnit(createPlacementRequest(step, [candidate]));
            if (chosen !== undefined) {
                return chosen;
            }
        }
        return undefined;
    }

    /**
     * Selects workers without recent crashes, unless most have crashed. A worker that crashes by
     * its own fault is idle after each restart and would attract suspect units.
     */
    #selectStable(candidates: readonly Candidate[]): readonly Candidate[] {
        const { registry, clock } = this.#context;
        const now = clock.getNow();
        const stable = candidates.filter(({ id }) => {
            const address = registry.findWorker(id)?.record.address ?? "";
            return !registry.hasRecentCrash(address, now);
        });
        return 2 * stable.length >= candidates.length ? stable : candidates;
    }

    #countMembers({ id }: Candidate): number {
        return this.#context.registry.findWorker(id)?.members.size ?? 0;
    }

    #addReservation(step: ReadyStep, candidates: readonly Candidate[]): void {
        const { registry } = this.#context;
        const workerCount = [...registry.workers].length;
        const maxReservations = Math.max(1, Math.floor(workerCount / WORKERS_PER_RESERVATION));
        const ownReservations = [...this.#reservations.values()].filter(
            (key) => key === step.key,
        ).length;
        const wantedReservations = step.spec.isGang
            ? step.spec.count
            : this.listSuspectUnits(step).length;
        if (this.#reservations.size >= maxReservations || ownReservations >= wantedReservations) {
            return;
        }
        const needs = computeReservedResources(step.spec);
        const [leastLoaded] = this.#selectStable(candidates)
            .filter(({ id }) => !this.#reservations.has(id) && !this.#isolatedWorkers.has(id))
            .filter(({ id }) =>
                hasResourcesFor(registry.findWorker(id)?.record.capacity ?? NO_RESOURCES, needs),
            )
            .sort((a, b) => this.#countMembers(a) - this.#countMembers(b));
        if (leastLoaded !== undefined) {
            this.#reservations.set(leastLoaded.id, step.key);
        }
    }

    #releaseReservation(id: WorkerId): void {
        const worker = this.#reservations.delete(id)
            ? this.#context.registry.findWorker(id)
            : undefined;
        if (worker !== undefined) {
            this.#context.recordFreedCapacity(worker);
        }
    }

    /**
     * Lists the members that still run in isolation, and polls workers whose tasks may be past
     * their startup.
     */
    #listIsolatedMembers(now: number): MemberRun[] {
        const isolated: MemberRun[] = [];
        for (const member of this.#context.registry.isolatedRuns) {
            if (member.observedRunMs >= member.isolationMs) {
                continue;
            }
            isolated.push(member);
            const worker = this.#context.registry.findWorker(member.worker);
            if (worker !== undefined && isExtraPollDue(member, now)) {
                this.#sendExtraPoll(worker, now);
            }
        }
        return isolated;
    }

    #sendExtraPoll(worker: WorkerState, now: number): void {
        if (now - worker.extraPollAtMs >= EXTRA_POLL_INTERVAL_MS) {
            worker.extraPollAtMs = now;
            this.#context.emit({ type: "look", worker: worker.record.id });
        }
    }
}

/** Checks whether a task may be past its startup although no poll has confirmed it yet. */
function isExtraPollDue(member: MemberRun, now: number): boolean {
    return (
        member.state === "running" &&
        !isPastStartup(member) &&
        now - member.startedAtMs >= STARTUP_CRASH_WINDOW_MS
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
