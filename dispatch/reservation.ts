/**
 * Selects workers to reserve for a gang and tasks to preempt on them. Without reservations, small
 * tasks fill each gap on a full cluster and a wide gang starves.
 *
 * @example
 * ```ts
 * import { selectReservation } from "./reservation.ts";
 * const { workers } = selectReservation(candidates, { needs, count: 6 });
 * ```
 *
 * @module
 */

import type { Resources, WorkerId } from "../job/mod.ts";
import { countFittingTasks } from "./placement.ts";
import type { MemberRun } from "./types.ts";
import { computeDifference, hasResourcesFor, NO_RESOURCES } from "./worker_registry.ts";

/** Capacity that a task is expected to free. */
export interface CapacityRelease {
    /** The time until then, in ms; infinite for a task that does not end by itself. */
    readonly inMs: number;
    readonly resources: Resources;
}

/** A worker that may be reserved for a gang. */
export interface ReservationCandidate {
    readonly id: WorkerId;
    readonly freeCapacity: Resources;
    /** What less urgent tasks are expected to free. */
    readonly releases: readonly CapacityRelease[];
    /** Maximum number of the gang's tasks on the worker. */
    readonly maxTasks: number;
}

/** The workers that are reserved for a gang. */
export interface Reservation {
    /** The number of tasks by worker; empty if the gang has no reservation. */
    readonly workers: ReadonlyMap<WorkerId, number>;
    /** The time until all of them are expected to have capacity, in ms. */
    readonly startsInMs: number;
}

/** The reservation of a gang that can't start on the candidates. */
export const NO_RESERVATION: Reservation = {
    workers: new Map(),
    startsInMs: Number.POSITIVE_INFINITY,
};

/** The number of tasks that a worker has capacity for from some time on. */
interface TaskSlots {
    readonly id: WorkerId;
    readonly inMs: number;
    readonly count: number;
}

/**
 * Selects the workers on which a gang can start first, and of these the fewest.
 *
 * @param candidates The workers that the gang may run on.
 * @param gang The needs of each task and the number of tasks.
 * @returns The reservation; without workers if the tasks that have to end first never do.
 */
export function selectReservation(
    candidates: readonly ReservationCandidate[],
    gang: { readonly needs: Resources; readonly count: number },
): Reservation {
    const slots = candidates.flatMap((candidate) => listTaskSlots(candidate, gang.needs));
    const startsInMs = computeStartMs(slots, gang.count);
    if (startsInMs === undefined) {
        return NO_RESERVATION;
    }
    const counts = new Map<WorkerId, number>();
    slots
        .filter(({ inMs }) => inMs <= startsInMs)
        .forEach(({ id, count }) => counts.set(id, Math.max(count, counts.get(id) ?? 0)));
    const workers = new Map<WorkerId, number>();
    let remainingTasks = gang.count;
    for (const [id, count] of [...counts].sort(([, a], [, b]) => b - a)) {
        if (remainingTasks <= 0) {
            break;
        }
        const taken = Math.min(count, remainingTasks);
        workers.set(id, taken);
        remainingTasks -= taken;
    }
    return { workers, startsInMs };
}

/** Lists each time at which a worker has capacity for more tasks than before. */
function listTaskSlots(candidate: ReservationCandidate, needs: Resources): TaskSlots[] {
    const capacity = { ...candidate.freeCapacity };
    const slots: TaskSlots[] = [];
    let previousCount = 0;
    const addSlots = (inMs: number): void => {
        const count = Math.min(candidate.maxTasks, countFittingTasks(capacity, needs));
        if (count > previousCount) {
            slots.push({ id: candidate.id, inMs, count });
            previousCount = count;
        }
    };
    addSlots(0);
    const releases = candidate.releases.filter(({ inMs }) => Number.isFinite(inMs));
    for (const { inMs, resources } of releases.sort((a, b) => a.inMs - b.inMs)) {
        capacity.cpu += resources.cpu;
        capacity.memoryMb += resources.memoryMb;
        capacity.gpu += resources.gpu;
        addSlots(inMs);
    }
    return slots;
}

/** Computes when there is capacity for a number of tasks; `undefined` if there never is. */
function computeStartMs(slots: readonly TaskSlots[], taskCount: number): number | undefined {
    const countByWorker = new Map<WorkerId, number>();
    let total = 0;
    for (const { id, inMs, count } of [...slots].sort((a, b) => a.inMs - b.inMs)) {
        total += count - (countByWorker.get(id) ?? 0);
        countByWorker.set(id, count);
        if (total >= taskCount) {
            return inMs;
        }
    }
    return undefined;
}

/**
 * Selects the tasks to preempt on one worker: less urgent ones that resume from a checkpoint,
 * largest first. Capacity of tasks that are already stopping is counted.
 *
 * @param members The tasks on the worker.
 * @param missing The capacity to free; what is missing of a resource is above 0.
 * @param priority The gang's priority.
 * @returns The tasks to stop; empty if they would not free enough, or if enough is being freed
 * already.
 */
export function selectVictims(
    members: Iterable<MemberRun>,
    missing: Resources,
    priority: number,
): MemberRun[] {
    let remaining = missing;
    const preemptible: MemberRun[] = [];
    for (const member of members) {
        if (member.priority <= priority) {
            continue;
        }
        if (member.state === "stopping") {
            remaining = computeDifference(remaining, member.reserved);
        } else if (member.state === "running" && member.isMovable) {
            preemptible.push(member);
        }
    }
    preemptible.sort(
        (a, b) => b.reserved.cpu - a.reserved.cpu || b.reserved.memoryMb - a.reserved.memoryMb,
    );
    const victims: MemberRun[] = [];
    for (const member of preemptible) {
        if (hasResourcesFor(NO_RESOURCES, remaining)) {
            break;
        }
        if (hasAnyOf(member, remaining)) {
            victims.push(member);
            remaining = computeDifference(remaining, member.reserved);
        }
    }
    return hasResourcesFor(NO_RESOURCES, remaining) ? victims : [];
}

/** Returns whether a task uses a resource that is missing. */
function hasAnyOf({ reserved }: MemberRun, missing: Resources): boolean {
    return (
        (missing.cpu > 0 && reserved.cpu > 0) ||
        (missing.memoryMb > 0 && reserved.memoryMb > 0) ||
        (missing.gpu > 0 && reserved.gpu > 0)
    );
}
