/**
 * Computes the limits of a process's HTTP server from the limits of its machine.
 *
 * @example
 * ```ts
 * import { computeBodyLimits } from "./limits.ts";
 * const reader = new BodyReader(computeBodyLimits({ memoryBytes: 350 * 1024 * 1024 }));
 * ```
 *
 * @module
 */

import type { BodyReaderOptions } from "./body_reader.ts";

/** What a machine gives to a process. */
export interface MachineLimits {
    /** Memory, in bytes. */
    readonly memoryBytes: number;
}

/** Part of the memory that bodies may fill while they arrive or wait. */
const BUFFERED_BODIES_SHARE = 0.1;
/**
 * Part of the memory that the bodies being handled may have filled, small and large ones each. Jobs
 * of many small steps take over thirty times as much once they are decoded and encoded for the leader.
 */
const HANDLED_BODIES_SHARE = 0.003;

/**
 * Computes how much memory bodies may take.
 *
 * @param machine The machine's limits.
 * @returns The limits.
 */
export function computeBodyLimits({ memoryBytes }: MachineLimits): Required<BodyReaderOptions> {
    return {
        maxBufferedBytes: Math.floor(memoryBytes * BUFFERED_BODIES_SHARE),
        maxHandledBytes: Math.floor(memoryBytes * HANDLED_BODIES_SHARE),
    };
}
