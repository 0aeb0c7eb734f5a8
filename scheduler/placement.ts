/**
 * Placement decisions, pure: which worker (or workers) a task goes to under each policy.
 * Latency-first for previews and join checks, packing for batches, all-or-nothing for gangs,
 * spread across racks and zones for services.
 *
 * @example
 * ```ts
 * import { placeTask } from "./placement.ts";
 * const worker = placeTask(workers, { demand, service, placement: "latency" }, now);
 * ```
 *
 * @module
 */

import { addResources, isFitting, type Resources, type ServiceId } from "../inventory/mod.ts";
import type { PlacementPolicy } from "../rules/mod.ts";
import { getFreeResources, getFreeSlots, isSchedulable, type WorkerState } from "./worker_state.ts";

/** What one placement asks for. */
export interface PlacementRequirements {
    readonly demand: Resources;
    readonly service: ServiceId;
    readonly placement: PlacementPolicy;
    /** Tasks placed at once: gang size or service replicas; 1 otherwise. */
    readonly count: number;
}

/** Extra use put on workers by earlier choices of the same decision. */
type TaskCountByWorker = Map<WorkerState, number>;

/**
 * Tells whether `count` more tasks of `demand` fit on a worker, counting what the decision
 * already put there. This is the overcommit safeguard: every placement passes here, and what is
 * held counts leases not yet reported as used.
 *
 * @param worker The worker.
 * @param requirements The placement.
 * @param assignedTaskCount Tasks of this decision already put on the worker.
 * @param nowMs The time in ms.
 * @returns True when one more task fits.
 */
export function isFeasible(
    worker: WorkerState,
    requirements: PlacementRequirements,
    assignedTaskCount: number,
    nowMs: number,
): boolean {
    if (
        !isSchedulable(worker, nowMs) ||
        getFreeSlots(worker, requirements.service) <= assignedTaskCount
    ) {
        return false;
    }
    const heldAfter = addResources(
        worker.held,
        computeTotalDemand(requirements.demand, assignedTaskCount + 1),
    );
    return isFitting(heldAfter, worker.instance.capacity);
}

/**
 * Chooses workers for every task of a placement, or none at all (all-or-nothing).
 *
 * @param workers The candidates.
 * @param requirements The placement.
 * @param nowMs The time in ms.
 * @returns One worker per task (a worker may repeat), or `undefined` when they do not all fit.
 */
export function placeTasks(
    workers: readonly WorkerState[],
    requirements: PlacementRequirements,
    nowMs: number,
): WorkerState[] | undefined {
    const taskCountByWorker: TaskCountByWorker = new Map();
    const selected: WorkerState[] = [];
    for (let i = 0; i < requirements.count; i++) {
        const worker = selectWorker(workers, requirements, taskCountByWorker, selected, nowMs);
        if (worker === undefined) {
            return undefined;
        }
        taskCountByWorker.set(worker, (taskCountByWorker.get(worker) ?? 0) + 1);
        selected.push(worker);
    }
    return selected;
}

function selectWorker(
    workers: readonly WorkerState[],
    requirements: PlacementRequirements,
    taskCountByWorker: TaskCountByWorker,
    selected: readonly WorkerState[],
    nowMs: number,
): WorkerState | undefined {
    let best: WorkerState | undefined;
    let bestScore = Number.POSITIVE_INFINITY;
    for (const worker of workers) {
        const assignedTaskCount = taskCountByWorker.get(worker) ?? 0;
        if (!isFeasible(worker, requirements, assignedTaskCount, nowMs)) {
            continue;
        }
        const score = computeWorkerScore(worker, requirements, assignedTaskCount, selected);
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
function computeWorkerScore(
    worker: WorkerState,
    requirements: PlacementRequirements,
    assignedTaskCount: number,
    selected: readonly WorkerState[],
): number {
    const freeCoresAfter =
        getFreeResources(worker).cores - requirements.demand.cores * (assignedTaskCount + 1);
    switch (requirements.placement) {
        case "latency":
            return -freeCoresAfter;
        case "packing":
        case "gang":
            return freeCoresAfter;
        case "spread": {
            const sameZone = selected.filter(
                (c) => c.instance.zone === worker.instance.zone,
            ).length;
            const sameRack = selected.filter(
                (c) => c.instance.rack === worker.instance.rack,
            ).length;
            const sameWorker = selected.filter((c) => c === worker).length;
            return sameWorker * 1e9 + sameRack * 1e6 + sameZone * 1e3 - freeCoresAfter;
        }
    }
}

/**
 * Multiplies resources by a whole number.
 *
 * @param demand One task's demand.
 * @param count How many tasks.
 * @returns The total.
 */
export function computeTotalDemand(demand: Resources, count: number): Resources {
    return {
        cores: demand.cores * count,
        memoryMb: demand.memoryMb * count,
        accelerators: demand.accelerators * count,
    };
}

/**
 * Tells whether a placement could ever fit on the inventory as it is, everything else gone.
 * A request that fails here is refused at once: it would wait for ever.
 *
 * @param workers Every worker of the inventory, alive or not.
 * @param requirements The placement.
 * @returns True when an empty cell could hold all its tasks.
 */
export function isFeasibleOnEmptyWorkers(
    workers: readonly WorkerState[],
    requirements: PlacementRequirements,
): boolean {
    let taskCapacity = 0;
    for (const worker of workers) {
        const slots = worker.slots.get(requirements.service) ?? 0;
        if (slots === 0 || !isFitting(requirements.demand, worker.instance.capacity)) {
            continue;
        }
        const maxTasksByCores =
            requirements.demand.cores > 0
                ? Math.floor(worker.instance.capacity.cores / requirements.demand.cores)
                : slots;
        const maxTasksByMemory =
            requirements.demand.memoryMb > 0
                ? Math.floor(worker.instance.capacity.memoryMb / requirements.demand.memoryMb)
                : slots;
        taskCapacity += Math.min(slots, maxTasksByCores, maxTasksByMemory);
        if (taskCapacity >= requirements.count) {
            return true;
        }
    }
    return false;
}
