/**
 * Assigns front instances ("lanes") to queues. The advice service handles one call at a time per
 * instance, so each queue gets its own lanes to keep short urgent calls from waiting behind long
 * ones.
 *
 * @example
 * ```ts
 * import { planLanes } from "./lane_plan.ts";
 * const lanes = planLanes(["front-1", "front-2"] as LaneId[], [{ queue, load: 0.4 }]);
 * ```
 *
 * @module
 */

import type { QueueName } from "../configuration/mod.ts";
import type { LaneId } from "./types.ts";

/** The load of one queue. */
export interface LaneDemand {
    readonly queue: QueueName;
    /** Call time per unit of time; weighted higher for urgent queues. */
    readonly load: number;
}

/**
 * Assigns lanes to queues in proportion to their load, at least one each. Queues share lanes if
 * there are fewer lanes than queues.
 *
 * @param lanes The front instances, in a stable order.
 * @param demands The queues, in a stable order.
 * @returns The lanes of each queue.
 */
export function planLanes(
    lanes: readonly LaneId[],
    demands: readonly LaneDemand[],
): Map<QueueName, LaneId[]> {
    const counts = demands.map(() => 1);
    for (let assignedCount = demands.length; assignedCount < lanes.length; assignedCount++) {
        const mostLoaded = findMostLoaded(demands, counts);
        counts[mostLoaded] = (counts[mostLoaded] ?? 0) + 1;
    }
    const plan = new Map<QueueName, LaneId[]>();
    let nextLane = 0;
    demands.forEach((demand, i) => {
        const queueLanes: LaneId[] = [];
        for (let k = 0; k < (counts[i] ?? 0); k++) {
            const lane = lanes[nextLane++ % Math.max(1, lanes.length)];
            if (lane !== undefined && !queueLanes.includes(lane)) {
                queueLanes.push(lane);
            }
        }
        plan.set(demand.queue, queueLanes);
    });
    return plan;
}

function findMostLoaded(demands: readonly LaneDemand[], counts: readonly number[]): number {
    let mostLoaded = 0;
    let maxLoad = -1;
    demands.forEach((demand, i) => {
        const load = demand.load / (counts[i] ?? 1);
        if (load > maxLoad) {
            mostLoaded = i;
            maxLoad = load;
        }
    });
    return mostLoaded;
}
