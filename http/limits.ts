/**
 * Computes the limits of a process's HTTP server from the limits of its machine.
 *
 * @example
 * ```ts
 * import { computeBodyLimits } from "./limits.ts";
 * const reader = new BodyReader(computeBodyLimits({ memoryBytes: 350 * 1024 * 1024, maxDescriptors: 4_100 }));
 * ```
 *
 * @module
 */

import type { BodyReaderOptions } from "./body_reader.ts";
import type { BoundedServerOptions } from "./bounded_server.ts";

/** What a machine gives to a process. */
export interface MachineLimits {
    /** Memory, in bytes. */
    readonly memoryBytes: number;
    /** Number of file descriptors, those for files included. */
    readonly maxDescriptors: number;
}

/** Who connects to a server. */
export type ServerClients = "callers" | "workers";

/** Part of the memory that bodies may fill while they arrive or wait. */
const BUFFERED_BODIES_SHARE = 0.1;
/**
 * Part of the memory that the bodies being handled may have filled, small and large ones each. Jobs
 * of many small steps take over thirty times as much once they are decoded and encoded for the leader.
 */
const HANDLED_BODIES_SHARE = 0.003;

/** Number of descriptors that are kept for files. */
const FILE_DESCRIPTORS = 200;
/**
 * Part of the other descriptors that a server's connections may use. A process that serves workers
 * also opens connections to each of them.
 */
const CONNECTION_SHARES: Readonly<Record<ServerClients, number>> = { callers: 0.75, workers: 0.5 };

/** Part of the memory that answers which wait to be sent may fill. */
const UNSENT_ANSWERS_SHARE = 0.1;

/**
 * Computes the limits of a server.
 *
 * @param machine The machine's limits.
 * @param clients Who connects to it.
 * @returns The limits; at least one connection.
 */
export function computeServerLimits(
    { memoryBytes, maxDescriptors }: MachineLimits,
    clients: ServerClients,
): Pick<Required<BoundedServerOptions>, "maxConnections" | "maxUnsentBytes"> {
    const available = maxDescriptors - FILE_DESCRIPTORS;
    return {
        maxConnections: Math.max(1, Math.floor(available * CONNECTION_SHARES[clients])),
        maxUnsentBytes: Math.floor(memoryBytes * UNSENT_ANSWERS_SHARE),
    };
}

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
