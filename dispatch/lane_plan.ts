/**
 * How the calls to the advice service are spread over the front instances that can make them.
 * The service takes one call at a time from each calling instance, so an urgent queue's short
 * calls must not stand behind a slow queue's: each queue gets lanes of its own.
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

/** How much one queue asks. */
export interface LaneDemand {
    readonly queue: QueueName;
    /** Seconds of calls per second; for urgent queues weighted so that they seldom wait. */
    readonly load: number;
}

/**
 * Gives each queue lanes in proportion to its load, at least one while there are enough; with
 * fewer lanes than queues, queues share.
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
