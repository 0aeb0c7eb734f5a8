/**
 * The room of a worker as its heartbeats tell it. The pattern: a worker's room shrinks and grows again while it
 * runs, and one that guards nothing starts whatever it is told to. So a smaller room counts at once, a larger one
 * when two heartbeats in a row have told it (a single false message must not have work started on room that is not
 * there), and a room that was told too long ago counts for nothing.
 *
 * @example
 * ```ts
 * import { mergeRoom } from "./reported_capacity.ts";
 * const { room, unconfirmed } = mergeRoom(known, told, worker.unconfirmedRoom);
 * ```
 *
 * @module
 */

import type { Resources } from "../job/mod.ts";

/** The room to place by, and a larger one that the next heartbeat may confirm. */
export interface MergedCapacity {
    readonly capacity: Resources;
    readonly unconfirmed: Resources | undefined;
}

/**
 * Weighs what a heartbeat tells against what is known.
 *
 * @param known The room that is placed by so far.
 * @param reported The room that the heartbeat tells.
 * @param unconfirmed A larger room that the heartbeat before told.
 * @returns The room to place by from now on.
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
 * Tells whether two rooms are the same.
 *
 * @param a One.
 * @param b The other.
 * @returns True when nothing differs.
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
