/**
 * Preemption planning, pure: which lower-precedence tasks to stop so that a task of higher
 * precedence fits. Only idempotent tasks of preemptible classes are ever chosen; a billed batch
 * or a tribute reel is never stopped to make room, since it could not run again.
 *
 * @example
 * ```ts
 * import { planPreemption } from "./preempt.ts";
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
import type { PlacementAsk } from "./select.ts";
import { getFreeSlots, isTakingWork, type WorkerState } from "./worker_state.ts";

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
 * @param ask The placement (one task).
 * @param precedence The asker's precedence; only strictly lower victims are taken.
 * @param listVictims Gives a worker's preemptible tasks (idempotent, preemptible class).
 * @param now The time in ms.
 * @returns The plan, or `undefined` when no preemption would make room.
 */
export function planPreemption(
    workers: readonly WorkerState[],
    ask: PlacementAsk,
    precedence: number,
    listVictims: (worker: WorkerState) => readonly Victim[],
    now: number,
): PreemptionPlan | undefined {
    let best: PreemptionPlan | undefined;
    for (const worker of workers) {
        if (!isTakingWork(worker, now) || !isFitting(ask.demand, worker.instance.capacity)) {
            continue;
        }
        const victims = listVictims(worker)
            .filter((v) => v.precedence < precedence)
            .sort((a, b) => a.precedence - b.precedence || b.held.cores - a.held.cores);
        const plan = planOnWorker(worker, ask, victims);
        if (plan !== undefined && (best === undefined || plan.length < best.victims.length)) {
            best = { worker, victims: plan };
            if (plan.length === 1) {
                break;
            }
        }
    }
    return best;
}

function planOnWorker(
    worker: WorkerState,
    ask: PlacementAsk,
    victims: readonly Victim[],
): LeaseId[] | undefined {
    let held = worker.held;
    let slots = getFreeSlots(worker, ask.service);
    const chosen: LeaseId[] = [];
    for (const victim of victims) {
        if (slots > 0 && isFitting(addResources(held, ask.demand), worker.instance.capacity)) {
            break;
        }
        held = removeResources(held, victim.held);
        if (victim.service === ask.service) {
            slots += 1;
        }
        chosen.push(victim.lease);
    }
    const fits = slots > 0 && isFitting(addResources(held, ask.demand), worker.instance.capacity);
    return fits && chosen.length > 0 ? chosen : undefined;
}
