/**
 * Places the tasks of a step on workers with free capacity.
 *
 * @example
 * ```ts
 * import { placeUnit } from "./placement.ts";
 * const workers = placeUnit({ needs, count: 6, candidates, maxPerWorker: 0, isRackLocal: false });
 * ```
 *
 * @module
 */

import type { Resources, WorkerId } from "../job/mod.ts";
import { computeSpeedPreference, selectSpeedClass } from "./speed_preference.ts";

/** A worker that a step may be placed on. */
export interface Candidate {
    readonly id: WorkerId;
    /** Free capacity; reduced by the caller after each placed unit. */
    readonly freeCapacity: { -readonly [K in keyof Resources]: Resources[K] };
    readonly rack: string;
    readonly zone: string;
    /** Number of the step's tasks on the worker; only counted if the step limits it. */
    tasksOfStep: number;
    /** Whether the worker stores the step's data. */
    readonly isDataLocal: boolean;
    /** Learned speed relative to the pool's usual speed; 1 unless the workers are unequal. */
    readonly speed: number;
    /** Speed rank of the worker, plus 1 if a task of the step failed there; lower goes first. */
    readonly slowness: number;
    /** Whether a task failed there recently and none has succeeded since. */
    readonly hasRecentFailure: boolean;
}

/** The tasks to place together and the workers to choose from. */
export interface PlacementRequest {
    readonly needs: Resources;
    /** Number of tasks: 1, or the size of the gang. */
    readonly count: number;
    readonly candidates: readonly Candidate[];
    /** Maximum number of the step's tasks on one worker; 0 for no limit. */
    readonly maxPerWorker: number;
    /** Whether the tasks should share a rack. */
    readonly isRackLocal: boolean;
    /** Availability zones by preference, lowest first; zones without an entry rank 0. */
    readonly zoneRanks?: ReadonlyMap<string, number>;
    /**
     * The speed at which the step meets its latency objective; `undefined` if the workers are not
     * known to be unequal, so that speed does not count.
     */
    readonly requiredSpeed?: number | undefined;
}

interface WorkerSlots {
    readonly candidate: Candidate;
    readonly taskCount: number;
    readonly speed: number;
    /** See {@link computeSpeedPreference}; 0 if speed does not count. */
    readonly speedPreference: number;
}

/**
 * Selects a worker for each task, or none if the tasks don't all fit. Uses best fit, which keeps
 * large gaps free for wide tasks.
 *
 * @param request The tasks and the candidates.
 * @returns One worker per task, or `undefined`.
 */
export function placeUnit(request: PlacementRequest): WorkerId[] | undefined {
    if (!request.isRackLocal) {
        return fillWorkers(request, request.candidates);
    }
    const racks = new Set(request.candidates.map((c) => c.rack));
    for (const rack of racks) {
        const sameRack = request.candidates.filter((c) => c.rack === rack);
        const chosen = fillWorkers(request, sameRack);
        if (chosen !== undefined) {
            return chosen;
        }
    }
    // Falls back to several racks, since a rack with enough capacity may never come free.
    return fillWorkers(request, request.candidates);
}

function fillWorkers(
    request: PlacementRequest,
    candidates: readonly Candidate[],
): WorkerId[] | undefined {
    const { requiredSpeed } = request;
    const slots: WorkerSlots[] = [];
    let total = 0;
    for (const candidate of candidates) {
        const taskCount = countAllowedTasks(request, candidate);
        if (taskCount > 0) {
            const { speed } = candidate;
            const speedPreference =
                requiredSpeed === undefined ? 0 : computeSpeedPreference(speed, requiredSpeed);
            slots.push({ candidate, taskCount, speed, speedPreference });
            total += taskCount;
        }
    }
    if (total < request.count) {
        return undefined;
    }
    if (request.count === 1) {
        const compare = (a: WorkerSlots, b: WorkerSlots): WorkerSlots =>
            compareSlots(b, a, request) < 0 ? b : a;
        return [slots.reduce(compare).candidate.id];
    }
    const selected =
        requiredSpeed === undefined ? slots : selectGangSlots(slots, request.count, requiredSpeed);
    selected.sort((a, b) => compareSlots(a, b, request));
    const chosen: WorkerId[] = [];
    for (const { candidate, taskCount } of selected) {
        for (let i = 0; i < taskCount && chosen.length < request.count; i++) {
            chosen.push(candidate.id);
        }
    }
    return chosen;
}

/**
 * Selects workers of one speed class for a gang, if possible among those that store its data and are
 * not ranked as slow, which goes before speed; all workers if no class has the capacity.
 */
function selectGangSlots(
    slots: WorkerSlots[],
    count: number,
    requiredSpeed: number,
): WorkerSlots[] {
    const minSlowness = Math.min(...slots.map(({ candidate }) => candidate.slowness));
    const unslowed = slots.filter(({ candidate }) => candidate.slowness === minSlowness);
    const local = unslowed.filter(({ candidate }) => candidate.isDataLocal);
    return (
        selectSpeedClass(local, count, requiredSpeed) ??
        selectSpeedClass(unslowed, count, requiredSpeed) ??
        slots
    );
}

function countAllowedTasks(request: PlacementRequest, candidate: Candidate): number {
    const fitting = countFittingTasks(candidate.freeCapacity, request.needs);
    const allowed =
        request.maxPerWorker > 0 ? request.maxPerWorker - candidate.tasksOfStep : request.count;
    return Math.max(0, Math.min(fitting, allowed, request.count));
}

/**
 * Counts how many tasks fit into a capacity.
 *
 * @param capacity The available resources.
 * @param needs The resources that each task takes.
 * @returns The number of tasks; unbounded if they need nothing.
 */
export function countFittingTasks(capacity: Resources, needs: Resources): number {
    const countFor = (available: number, required: number): number =>
        required > 0 ? Math.floor(available / required) : Number.MAX_SAFE_INTEGER;
    const count = Math.min(
        countFor(capacity.cpu, needs.cpu),
        countFor(capacity.memoryMb, needs.memoryMb),
        countFor(capacity.gpu, needs.gpu),
    );
    return Math.max(0, count);
}

/**
 * Compares by data locality, speed rank, learned speed, zone rank and best fit; the id makes the
 * order deterministic. Learned speed goes before the zone, since a task on a worker that is too slow
 * is late for certain, while a partition of zones is rare. Its classes are few and each has workers
 * in all zones, so a step's tasks still share few zones.
 */
function compareSlots(
    a: WorkerSlots,
    b: WorkerSlots,
    { needs, zoneRanks }: PlacementRequest,
): number {
    const byLocality = Number(b.candidate.isDataLocal) - Number(a.candidate.isDataLocal);
    if (byLocality !== 0) {
        return byLocality;
    }
    const bySlowness = a.candidate.slowness - b.candidate.slowness;
    if (bySlowness !== 0) {
        return bySlowness;
    }
    const bySpeed = a.speedPreference - b.speedPreference;
    if (bySpeed !== 0) {
        return bySpeed;
    }
    const byZone =
        (zoneRanks?.get(a.candidate.zone) ?? 0) - (zoneRanks?.get(b.candidate.zone) ?? 0);
    if (byZone !== 0) {
        return byZone;
    }
    const byLeftoverCpu = computeLeftoverCpu(a, needs) - computeLeftoverCpu(b, needs);
    return byLeftoverCpu !== 0 ? byLeftoverCpu : a.candidate.id < b.candidate.id ? -1 : 1;
}

function computeLeftoverCpu(slot: WorkerSlots, needs: Resources): number {
    return slot.candidate.freeCapacity.cpu - slot.taskCount * needs.cpu;
}
