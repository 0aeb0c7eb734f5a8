/**
 * Merges the capacity in a worker's heartbeat with the known one. A decrease counts at once; an
 * increase needs two consecutive heartbeats, so that one false heartbeat cannot overcommit a
 * worker.
 *
 * @example
 * ```ts
 * import { mergeCapacity } from "./reported_capacity.ts";
 * const { capacity, unconfirmed } = mergeCapacity(known, reported, worker.unconfirmedCapacity);
 * ```
 *
 * @module
 */

import type { Resources } from "../job/mod.ts";

/** Capacity to place work on, and a larger one that the next heartbeat has to confirm. */
export interface MergedCapacity {
    readonly capacity: Resources;
    readonly unconfirmed: Resources | undefined;
}

/**
 * Merges a reported capacity with the known one.
 *
 * @param known The capacity in use so far.
 * @param reported The capacity in the heartbeat.
 * @param unconfirmed A larger capacity from the previous heartbeat.
 * @returns The capacity to use from now on, and the larger one to confirm, if any.
 */
export function mergeCapacity(
    known: Resources,
    reported: Resources,
    unconfirmed: Resources | undefined,
): MergedCapacity {
    const smaller = computeMinimum(known, reported);
    if (isSameResources(smaller, reported)) {
        return { capacity: reported, unconfirmed: undefined };
    }
    if (unconfirmed !== undefined && isSameResources(unconfirmed, reported)) {
        return { capacity: reported, unconfirmed: undefined };
    }
    return { capacity: smaller, unconfirmed: reported };
}

/**
 * Returns whether two amounts of resources are equal.
 *
 * @param a The first amount.
 * @param b The second amount.
 * @returns True if all resources are equal.
 */
export function isSameResources(a: Resources, b: Resources): boolean {
    return a.cpu === b.cpu && a.memoryMb === b.memoryMb && a.gpu === b.gpu;
}

function computeMinimum(a: Resources, b: Resources): Resources {
    return {
        cpu: Math.min(a.cpu, b.cpu),
        memoryMb: Math.min(a.memoryMb, b.memoryMb),
        gpu: Math.min(a.gpu, b.gpu),
    };
}
