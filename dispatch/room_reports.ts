/**
 * The room of a worker as its heartbeats tell it. The pattern: a worker's room shrinks and grows again while it
 * runs, and one that guards nothing starts whatever it is told to. So a smaller room counts at once, a larger one
 * when two heartbeats in a row have told it (a single false message must not have work started on room that is not
 * there), and a room that was told too long ago counts for nothing.
 *
 * @example
 * ```ts
 * import { mergeRoom } from "./room_reports.ts";
 * const { room, unconfirmed } = mergeRoom(known, told, worker.unconfirmedRoom);
 * ```
 *
 * @module
 */

import type { Resources } from "../job/mod.ts";

/** The room to place by, and a larger one that the next heartbeat may confirm. */
export interface MergedRoom {
    readonly room: Resources;
    readonly unconfirmed: Resources | undefined;
}

/**
 * Weighs what a heartbeat tells against what is known.
 *
 * @param known The room that is placed by so far.
 * @param told The room that the heartbeat tells.
 * @param unconfirmed A larger room that the heartbeat before told.
 * @returns The room to place by from now on.
 */
export function mergeRoom(
    known: Resources,
    told: Resources,
    unconfirmed: Resources | undefined,
): MergedRoom {
    const smaller = computeLeast(known, told);
    if (isSameRoom(smaller, told)) {
        return { room: told, unconfirmed: undefined };
    }
    if (unconfirmed !== undefined && isSameRoom(unconfirmed, told)) {
        return { room: told, unconfirmed: undefined };
    }
    return { room: smaller, unconfirmed: told };
}

/**
 * Tells whether two rooms are the same.
 *
 * @param a One.
 * @param b The other.
 * @returns True when nothing differs.
 */
export function isSameRoom(a: Resources, b: Resources): boolean {
    return a.cpu === b.cpu && a.memoryMb === b.memoryMb && a.gpu === b.gpu;
}

function computeLeast(a: Resources, b: Resources): Resources {
    return {
        cpu: Math.min(a.cpu, b.cpu),
        memoryMb: Math.min(a.memoryMb, b.memoryMb),
        gpu: Math.min(a.gpu, b.gpu),
    };
}
