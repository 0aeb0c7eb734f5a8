/**
 * Preemption planning: selects the lower-precedence tasks to stop so that a task of higher
 * precedence fits. The caller offers only idempotent tasks of preemptible classes as victims.
 *
 * @example
 * ```ts
 * import { planPreemption } from "./preemption.ts";
 * const plan = planPreemption(workers, requirements, 100, listVictims, Date.now());
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

/** A task that may be stopped in favor of a task of higher precedence. */
export interface Victim {
    readonly lease: LeaseId;
    readonly service: ServiceId;
    readonly held: Resources;
    readonly precedence: number;
}

/** The tasks to stop on one worker. */
export interface PreemptionPlan {
    readonly worker: WorkerState;
    readonly victims: readonly LeaseId[];
}

/**
 * Plans a preemption that frees capacity for one task. Victims are taken on each worker in
 * ascending order of precedence; the worker with the fewest victims is selected.
 *
 * @param workers The candidate workers.
 * @param requirements The requirements of the task; `count` is ignored.
 * @param precedence The precedence of the task; only tasks of lower precedence are stopped.
 * @param listVictims Returns the tasks on a worker that may be preempted.
 * @param nowMs The current time in ms.
 * @returns The plan, or `undefined` when no preemption frees enough capacity.
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
