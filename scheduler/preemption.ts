/**
 * Preemption planning, pure: which lower-precedence tasks to stop so that a task of higher
 * precedence fits. Only idempotent tasks of preemptible classes are ever chosen; a billed batch
 * or a tribute reel is never stopped to make room, since it could not run again.
 *
 * @example
 * ```ts
 * import { planPreemption } from "./preemption.ts";
 * const plan = planPreemption(workers, ask, 100, listVictims, now);
 * ```
 *
 * @module
 */

import {
    addResources,
    isFitting,
    removeResources,
    type LeaseId,
    type Resources,
    type ServiceId,
} from "../inventory/mod.ts";
import type { PlacementRequirements } from "./placement.ts";
import { getFreeSlots, isSchedulable, type WorkerState } from "./worker_state.ts";

/** A running task that may be stopped for higher work. */
export interface Victim {
    readonly lease: LeaseId;
    readonly service: ServiceId;
    readonly held: Resources;
    readonly precedence: number;
}

/** Tasks to stop on one worker. */
export interface PreemptionPlan {
    readonly worker: WorkerState;
    readonly victims: readonly LeaseId[];
}

/**
 * Plans the smallest preemption that makes one task fit.
 *
 * @param workers The candidates.
 * @param requirements The placement (one task).
 * @param precedence The asker's precedence; only strictly lower victims are taken.
 * @param listVictims Gives a worker's preemptible tasks (idempotent, preemptible class).
 * @param nowMs The time in ms.
 * @returns The plan, or `undefined` when no preemption would make room.
 */
export function planPreemption(
    workers: readonly WorkerState[],
    requirements: PlacementRequirements,
    precedence: number,
    listVictims: (worker: WorkerState) => readonly Victim[],
    nowMs: number,
): PreemptionPlan | undefined {
    let best: PreemptionPlan | undefined;
    for (const worker of workers) {
        if (
            !isSchedulable(worker, nowMs) ||
            !isFitting(requirements.demand, worker.instance.capacity)
        ) {
            continue;
        }
        const candidates = listVictims(worker)
            .filter((v) => v.precedence < precedence)
            .sort((a, b) => a.precedence - b.precedence || b.held.cores - a.held.cores);
        const leaseIds = selectVictims(worker, requirements, candidates);
        if (
            leaseIds !== undefined &&
            (best === undefined || leaseIds.length < best.victims.length)
        ) {
            best = { worker, victims: leaseIds };
            if (leaseIds.length === 1) {
                break;
            }
        }
    }
    return best;
}

function selectVictims(
    worker: WorkerState,
    requirements: PlacementRequirements,
    candidates: readonly Victim[],
): LeaseId[] | undefined {
    let held = worker.held;
    let freeSlots = getFreeSlots(worker, requirements.service);
    const selected: LeaseId[] = [];
    for (const candidate of candidates) {
        if (
            freeSlots > 0 &&
            isFitting(addResources(held, requirements.demand), worker.instance.capacity)
        ) {
            break;
        }
        held = removeResources(held, candidate.held);
        if (candidate.service === requirements.service) {
            freeSlots += 1;
        }
        selected.push(candidate.lease);
    }
    const fits =
        freeSlots > 0 &&
        isFitting(addResources(held, requirements.demand), worker.instance.capacity);
    return fits && selected.length > 0 ? selected : undefined;
}
