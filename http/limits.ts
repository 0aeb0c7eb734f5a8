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

/** Part of the memory that bodies may fill while they arrive. */
const BUFFERED_BODIES_SHARE = 0.1;
/**
 * Computes how much memory bodies may take.
 *
 * @param machine The machine's limits.
 * @returns The limits.
 */
export function computeBodyLimits({ memoryBytes }: MachineLimits): Required<BodyReaderOptions> {
    return {
        maxBufferedBytes: Math.floor(memoryBytes * BUFFERED_BODIES_SHARE),
    };
}
