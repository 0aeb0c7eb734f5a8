/**
 * Room held for gangs. The pattern: a gang needs room for all its tasks at once, on the few workers
 * that its queue's policy admits. Small tasks of less urgent queues fill each gap as it opens, so that
 * a wide gang waits for many seconds on a full floor although room for it passes by every second.
 * A blocked gang therefore holds just enough workers: less urgent work stays off them, and tasks
 * there that resume from a checkpoint make way, where the gang starts by it.
 *
 * @example
 * ```ts
 * import { selectHeld } from "./reservation.ts";
 * const held = selectHeld(candidates, { needs, count: 6 });
 * ```
 *
 * @module
 */

import type { Resources, WorkerId } from "../job/mod.ts";
import { countFittingTasks } from "./placement.ts";
import type { MemberRun } from "./types.ts";

/** A worker that the gang may run on. */
export interface ReservationCandidate {
    readonly id: WorkerId;
    /** What is free, and what less urgent work takes. */
    readonly capacityAfterPreemption: Resources;
}

/**
 * Chooses workers that together can hold a gang once less urgent work has left them: those with the
 * most attainable room, so that few are held.
 *
 * @param candidates The workers that the gang may run on.
 * @param gang What each task needs, and how many there are.
 * @returns The workers and how many tasks each is to take; empty when they could not hold the gang.
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
 * Chooses the tasks that make way on one worker: those that resume from a checkpoint, are less
 * urgent and stand alone; the largest first, so that few are stopped.
 *
 * @param members What runs there.
 * @param missingCpu How much must become free, in thousandths of a core.
 * @param priority The gang's priority.
 * @returns The tasks to stop; empty when they would not free enough.
 */
export function selectVictims(
    members: Iterable<MemberRun>,
    missingCpu: number,
    priority: number,
): MemberRun[] {
    let remainingCpu = missingCpu;
    const preemptible: MemberRun[] = [];
    for (const member of members) {
        if (member.priority <= priority) {
            continue;
        }
        if (member.state === "stopping") {
            remainingCpu -= member.reserved.cpu;
        } else if (member.state === "running" && member.isMovable) {
            preemptible.push(member);
        }
    }
    preemptible.sort((a, b) => b.reserved.cpu - a.reserved.cpu);
    const victims: MemberRun[] = [];
    for (const member of preemptible) {
        if (remainingCpu <= 0) {
            break;
        }
        victims.push(member);
        remainingCpu -= member.reserved.cpu;
    }
    return remainingCpu > 0 ? [] : victims;
}
