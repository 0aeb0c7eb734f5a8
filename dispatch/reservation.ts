/**
 * Selects workers to reserve for a gang and tasks to preempt on them. Without reservations, small
 * tasks fill each gap on a full cluster and a wide gang starves.
 *
 * @example
 * ```ts
 * import { selectReservedWorkers } from "./reservation.ts";
 * const reserved = selectReservedWorkers(candidates, { needs, count: 6 });
 * ```
 *
 * @module
 */

import type { Resources, WorkerId } from "../job/mod.ts";
import { countFittingTasks } from "./placement.ts";
import type { MemberRun } from "./types.ts";

/** A worker that may be reserved for a gang. */
export interface ReservationCandidate {
    readonly id: WorkerId;
    /** Free capacity plus the capacity in use by less urgent tasks. */
    readonly capacityAfterPreemption: Resources;
}

/**
 * Selects the fewest workers that can run a gang after preemption, largest capacity first.
 *
 * @param candidates The workers that the gang may run on.
 * @param gang The needs of each task and the number of tasks.
 * @returns The number of tasks by worker; empty if the gang does not fit.
 */
export function selectReservedWorkers(
    candidates: readonly ReservationCandidate[],
    gang: { readonly needs: Resources; readonly count: number },
): Map<WorkerId, number> {
    const reserved = new Map<WorkerId, number>();
    const ranked = candidates
        .map((candidate) => ({
            id: candidate.id,
            count: countFittingTasks(candidate.capacityAfterPreemption, gang.needs),
        }))
        .sort((a, b) => b.count - a.count);
    let remainingTasks = gang.count;
    for (const { id, count } of ranked) {
        if (remainingTasks <= 0 || count === 0) {
            break;
        }
        const taken = Math.min(count, remainingTasks);
        reserved.set(id, taken);
        remainingTasks -= taken;
    }
    return remainingTasks > 0 ? new Map() : reserved;
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
        if (!isMissingAny(remaining)) {
            break;
        }
        if (hasAnyOf(member, remaining)) {
            victims.push(member);
            remaining = computeDifference(remaining, member.reserved);
        }
    }
    return isMissingAny(remaining) ? [] : victims;
}

/**
 * Returns whether any resource is missing.
 *
 * @param missing What is missing of each resource; 0 or less for nothing.
 * @returns True if one is above 0.
 */
export function isMissingAny({ cpu, memoryMb, gpu }: Resources): boolean {
    return cpu > 0 || memoryMb > 0 || gpu > 0;
}

/** Returns whether a task uses a resource that is missing. */
function hasAnyOf({ reserved }: MemberRun, missing: Resources): boolean {
    return (
        (missing.cpu > 0 && reserved.cpu > 0) ||
        (missing.memoryMb > 0 && reserved.memoryMb > 0) ||
        (missing.gpu > 0 && reserved.gpu > 0)
    );
}

function computeDifference(from: Resources, taken: Resources): Resources {
    return {
        cpu: from.cpu - taken.cpu,
        memoryMb: from.memoryMb - taken.memoryMb,
        gpu: from.gpu - taken.gpu,
    };
}
