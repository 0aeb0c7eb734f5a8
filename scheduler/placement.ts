/**
 * Selects the workers for the tasks of a request: the least loaded worker for low latency, best
 * fit for packing and gangs, or spread across racks and zones.
 *
 * @example
 * ```ts
 * import { placeTasks } from "./placement.ts";
 * const requirements = { demand, service, placement: "latency", count: 1 } as const;
 * const selected = placeTasks(workers, requirements, Date.now());
 * ```
 *
 * @module
 */

import { addResources, isFitting, type Resources, type ServiceId } from "../inventory/mod.ts";
import type { PlacementPolicy } from "../rules/mod.ts";
import { getFreeResources, getFreeSlots, isSchedulable, type WorkerState } from "./worker_state.ts";

/** The resources, service and placement policy that a request needs. */
export interface PlacementRequirements {
    readonly demand: Resources;
    readonly service: ServiceId;
    readonly placement: PlacementPolicy;
    /** Number of tasks to place together: the gang size or service replicas; 1 otherwise. */
    readonly count: number;
}

/** Number of tasks that the current placement has already assigned to each worker. */
type TaskCountByWorker = Map<WorkerState, number>;

/**
 * Checks whether one more task fits on a worker. Every placement goes through this check, which
 * prevents overcommitment: leases hold their declared resources before any usage is reported.
 *
 * @param worker The worker.
 * @param requirements The requirements of each task.
 * @param assignedTaskCount Number of tasks that this placement has already assigned to the worker.
 * @param nowMs The current time in ms.
 * @returns True when the worker is schedulable and has a free slot and enough resources.
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
 * Selects a worker for each task of a request; either all tasks are placed or none.
 *
 * @param workers The candidate workers.
 * @param requirements The requirements of the request.
 * @param nowMs The current time in ms.
 * @returns One worker per task, possibly repeated, or `undefined` when not all tasks fit.
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
 * Computes the score of a feasible worker; lower is better.
 *
 * - latency: most free cores, which limits contention.
 * - packing, gang: fewest free cores left (best fit), which limits fragmentation.
 * - spread: fewest tasks of this placement on the same worker, then rack, then zone; then most
 *   free cores.
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
            const tasksInZone = selected.filter(
                (c) => c.instance.zone === worker.instance.zone,
            ).length;
            const tasksInRack = selected.filter(
                (c) => c.instance.rack === worker.instance.rack,
            ).length;
            const tasksOnWorker = selected.filter((c) => c === worker).length;
            return tasksOnWorker * 1e9 + tasksInRack * 1e6 + tasksInZone * 1e3 - freeCoresAfter;
        }
    }
}

/**
 * Computes the resources that several equal tasks need together.
 *
 * @param demand The demand of one task.
 * @param count The number of tasks.
 * @returns The total demand.
 */
export function computeTotalDemand(demand: Resources, count: number): Resources {
    return {
        cores: demand.cores * count,
        memoryMb: demand.memoryMb * count,
        accelerators: demand.accelerators * count,
    };
}

/**
 * Checks whether a request would fit if no other task ran. A request that fails this check is
 * refused, since it would stay queued indefinitely.
 *
 * @param workers All workers of the inventory, including those that are not alive.
 * @param requirements The requirements of the request.
 * @returns True when the workers have the capacity for all tasks.
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
