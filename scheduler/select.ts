/**
 * Placement decisions, pure: which worker (or workers) a task goes to under each policy.
 * Latency-first for previews and join checks, packing for batches, all-or-nothing for gangs,
 * spread across racks and zones for services.
 *
 * @example
 * ```ts
 * import { placeTask } from "./select.ts";
 * const worker = placeTask(workers, { demand, service, placement: "latency" }, now);
 * ```
 *
 * @module
 */

import { addResources, isFitting, type Resources, type ServiceId } from "../inventory/mod.ts";
import type { Placement } from "../rules/mod.ts";
import { getFree, getFreeSlots, isTakingWork, type WorkerState } from "./worker_state.ts";

/** What one placement asks for. */
export interface PlacementAsk {
    readonly demand: Resources;
    readonly service: ServiceId;
    readonly placement: Placement;
    /** Tasks placed at once: gang size or service replicas; 1 otherwise. */
    readonly count: number;
}

/** Extra use put on workers by earlier choices of the same decision. */
type Pending = Map<WorkerState, number>;

/**
 * Tells whether `count` more tasks of `demand` fit on a worker, counting what the decision
 * already put there. This is the overcommit safeguard: every placement passes here, and what is
 * held counts leases not yet reported as used.
 *
 * @param worker The worker.
 * @param ask The placement.
 * @param already Tasks of this decision already put on the worker.
 * @param now The time in ms.
 * @returns True when one more task fits.
 */
export function isFeasible(
    worker: WorkerState,
    ask: PlacementAsk,
    already: number,
    now: number,
): boolean {
    if (!isTakingWork(worker, now) || getFreeSlots(worker, ask.service) <= already) {
        return false;
    }
    const after = addResources(worker.held, computeScaled(ask.demand, already + 1));
    return isFitting(after, worker.instance.capacity);
}

/**
 * Chooses workers for every task of a placement, or none at all (all-or-nothing).
 *
 * @param workers The candidates.
 * @param ask The placement.
 * @param now The time in ms.
 * @returns One worker per task (a worker may repeat), or `undefined` when they do not all fit.
 */
export function placeTask(
    workers: readonly WorkerState[],
    ask: PlacementAsk,
    now: number,
): WorkerState[] | undefined {
    const pending: Pending = new Map();
    const chosen: WorkerState[] = [];
    for (let i = 0; i < ask.count; i++) {
        const worker = selectOne(workers, ask, pending, chosen, now);
        if (worker === undefined) {
            return undefined;
        }
        pending.set(worker, (pending.get(worker) ?? 0) + 1);
        chosen.push(worker);
    }
    return chosen;
}

function selectOne(
    workers: readonly WorkerState[],
    ask: PlacementAsk,
    pending: Pending,
    chosen: readonly WorkerState[],
    now: number,
): WorkerState | undefined {
    let best: WorkerState | undefined;
    let bestScore = Number.POSITIVE_INFINITY;
    for (const worker of workers) {
        const already = pending.get(worker) ?? 0;
        if (!isFeasible(worker, ask, already, now)) {
            continue;
        }
        const score = rankWorker(worker, ask, already, chosen);
        if (score < bestScore) {
            bestScore = score;
            best = worker;
        }
    }
    return best;
}

/**
 * Scores a feasible worker; lower is better.
 * latency: the emptiest worker, so the task starts at once and does not contend.
 * packing and gang: best fit, the fewest cores left over, so large holes stay whole.
 * spread: a rack and zone not yet used by this decision, then the emptiest.
 */
function rankWorker(
    worker: WorkerState,
    ask: PlacementAsk,
    already: number,
    chosen: readonly WorkerState[],
): number {
    const free = getFree(worker).cores - ask.demand.cores * (already + 1);
    switch (ask.placement) {
        case "latency":
            return -free;
        case "packing":
        case "gang":
            return free;
        case "spread": {
            const sameZone = chosen.filter((c) => c.instance.zone === worker.instance.zone).length;
            const sameRack = chosen.filter((c) => c.instance.rack === worker.instance.rack).length;
            const sameWorker = chosen.filter((c) => c === worker).length;
            return sameWorker * 1e9 + sameRack * 1e6 + sameZone * 1e3 - free;
        }
    }
}

/**
 * Multiplies resources by a whole number.
 *
 * @param resources One task's demand.
 * @param times How many tasks.
 * @returns The total.
 */
export function computeScaled(resources: Resources, times: number): Resources {
    return {
        cores: resources.cores * times,
        memoryMb: resources.memoryMb * times,
        accelerators: resources.accelerators * times,
    };
}

/**
 * Tells whether a placement could ever fit on the inventory as it is, everything else gone.
 * A request that fails here is refused at once: it would wait for ever.
 *
 * @param workers Every worker of the inventory, alive or not.
 * @param ask The placement.
 * @returns True when an empty cell could hold all its tasks.
 */
export function isEverFeasible(workers: readonly WorkerState[], ask: PlacementAsk): boolean {
    let room = 0;
    for (const worker of workers) {
        const slots = worker.slots.get(ask.service) ?? 0;
        if (slots === 0 || !isFitting(ask.demand, worker.instance.capacity)) {
            continue;
        }
        const byCores =
            ask.demand.cores > 0
                ? Math.floor(worker.instance.capacity.cores / ask.demand.cores)
                : slots;
        const byMemory =
            ask.demand.memoryMb > 0
                ? Math.floor(worker.instance.capacity.memoryMb / ask.demand.memoryMb)
                : slots;
        room += Math.min(slots, byCores, byMemory);
        if (room >= ask.count) {
            return true;
        }
    }
    return false;
}
