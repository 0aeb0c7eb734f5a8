/**
 * Where the tasks of a step go: pure choices among workers with room.
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

/** A worker that may run the step. */
export interface Candidate {
    readonly id: WorkerId;
    /** What it has left; a caller that places unit after unit takes from it. */
    readonly free: { -readonly [K in keyof Resources]: Resources[K] };
    readonly rack: string;
    readonly zone: string;
    /** Tasks of the step that it runs already. */
    tasksOfStep: number;
    /** It holds the step's data. */
    readonly isDataLocal: boolean;
    /** How much slower it works than the others, 1 for as fast. */
    readonly slowness: number;
    /** The last task that ended there failed. */
    readonly hasRecentFailure: boolean;
}

/** What is to be placed at once. */
export interface PlacementRequest {
    readonly needs: Resources;
    /** Tasks: 1, or a whole gang. */
    readonly count: number;
    readonly candidates: readonly Candidate[];
    /** At most this many tasks of the step on one worker; 0 for no limit. */
    readonly maxPerWorker: number;
    /** The tasks should share a rack. */
    readonly isRackLocal: boolean;
    /** Availability zones in the order in which they are to be filled; none goes before another by default. */
    readonly zoneRanks?: ReadonlyMap<string, number>;
}

interface WorkerSlots {
    readonly candidate: Candidate;
    readonly taskCount: number;
}

/**
 * Chooses a worker for each task, or none at all when they do not fit together. Tasks go where
 * least is left over afterwards, so that the largest holes stay whole for wide tasks.
 *
 * @param request What is to be placed.
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
    // Slower across racks, but it runs: waiting for a whole rack may take for ever.
    return fillWorkers(request, request.candidates);
}

function fillWorkers(
    request: PlacementRequest,
    candidates: readonly Candidate[],
): WorkerId[] | undefined {
    const slots: WorkerSlots[] = [];
    let total = 0;
    for (const candidate of candidates) {
        const fits = countAllowedTasks(request, candidate);
        if (fits > 0) {
            slots.push({ candidate, taskCount: fits });
            total += fits;
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
    slots.sort((a, b) => compareSlots(a, b, request));
    const chosen: WorkerId[] = [];
    for (const { candidate, taskCount: fits } of slots) {
        for (let i = 0; i < fits && chosen.length < request.count; i++) {
            chosen.push(candidate.id);
        }
    }
    return chosen;
}

function countAllowedTasks(request: PlacementRequest, candidate: Candidate): number {
    const fitting = countFittingTasks(candidate.free, request.needs);
    const allowed =
        request.maxPerWorker > 0 ? request.maxPerWorker - candidate.tasksOfStep : request.count;
    return Math.max(0, Math.min(fitting, allowed, request.count));
}

/**
 * Counts how many tasks a room takes.
 *
 * @param capacity What is there.
 * @param needs What each task takes.
 * @returns Tasks; without a bound when they need nothing.
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

/** Near and fast first, then by zone, then best fit, then the id so that equal workers keep their order. */
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
    const byZone =
        (zoneRanks?.get(a.candidate.zone) ?? 0) - (zoneRanks?.get(b.candidate.zone) ?? 0);
    if (byZone !== 0) {
        return byZone;
    }
    const byLeftoverCpu = computeLeftoverCpu(a, needs) - computeLeftoverCpu(b, needs);
    return byLeftoverCpu !== 0 ? byLeftoverCpu : a.candidate.id < b.candidate.id ? -1 : 1;
}

function computeLeftoverCpu(slot: WorkerSlots, needs: Resources): number {
    return slot.candidate.free.cpu - slot.taskCount * needs.cpu;
}
