/**
 * Assigns front instances to queues. The advice service handles one call at a time per instance, so
 * each queue gets its own fronts to keep short urgent calls from waiting behind long ones.
 *
 * @example
 * ```ts
 * import { assignFronts } from "./front_assignment.ts";
 * const fronts = assignFronts(["front-1", "front-2"] as FrontId[], [{ queue, load: 0.4 }]);
 * ```
 *
 * @module
 */

import type { QueueName } from "../configuration/mod.ts";
import type { FrontId } from "./types.ts";

/** The load of one queue. */
export interface QueueDemand {
    readonly queue: QueueName;
    /** Call time per unit of time; weighted higher for urgent queues. */
    readonly load: number;
}

/**
 * Assigns fronts to queues in proportion to their load, at least one each. Queues share fronts if
 * there are fewer fronts than queues.
 *
 * @param fronts The front instances, in a stable order.
 * @param demands The queues, in a stable order.
 * @returns The fronts of each queue.
 */
export function assignFronts(
    fronts: readonly FrontId[],
    demands: readonly QueueDemand[],
): Map<QueueName, FrontId[]> {
    const counts = demands.map(() => 1);
    for (let assignedCount = demands.length; assignedCount < fronts.length; assignedCount++) {
        const mostLoaded = findMostLoaded(demands, counts);
        counts[mostLoaded] = (counts[mostLoaded] ?? 0) + 1;
    }
    const assignment = new Map<QueueName, FrontId[]>();
    let nextFront = 0;
    demands.forEach((demand, i) => {
        const queueFronts: FrontId[] = [];
        for (let k = 0; k < (counts[i] ?? 0); k++) {
            const front = fronts[nextFront++ % Math.max(1, fronts.length)];
            if (front !== undefined && !queueFronts.includes(front)) {
                queueFronts.push(front);
            }
        }
        assignment.set(demand.queue, queueFronts);
    });
    return assignment;
}

function findMostLoaded(demands: readonly QueueDemand[], counts: readonly number[]): number {
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
