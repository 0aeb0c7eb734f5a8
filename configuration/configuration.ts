/**
 * Checks of a configuration, and the queue that a call belongs to.
 *
 * @example
 * ```ts
 * import { findQueue } from "./configuration.ts";
 * const match = findQueue(configuration, "previews.example", "/p/5c0e7a21d94b36f8");
 * ```
 *
 * @module
 */

import type { Configuration, QueueConfig } from "./types.ts";

/** A call's queue and what follows the queue's prefix in the path. */
export interface QueueMatch {
    readonly queue: QueueConfig;
    readonly pathSuffix: string;
}

/**
 * Finds the queue of a call: the host must be the queue's, the longest prefix wins.
 *
 * @param configuration The configuration in force.
 * @param host The host that the caller named, without a port.
 * @param path The path of the call.
 * @returns The queue, or `undefined` when there is none.
 */
export function findQueue(
    configuration: Configuration,
    host: string,
    path: string,
): QueueMatch | undefined {
    let longestMatch: QueueConfig | undefined;
    for (const queue of configuration.queues) {
        const matches = queue.host === host && path.startsWith(queue.pathPrefix);
        if (matches && queue.pathPrefix.length > (longestMatch?.pathPrefix.length ?? -1)) {
            longestMatch = queue;
        }
    }
    return longestMatch === undefined
        ? undefined
        : { queue: longestMatch, pathSuffix: path.slice(longestMatch.pathPrefix.length) };
}

/**
 * Checks what the schema of a configuration cannot say.
 *
 * @param configuration The configuration.
 * @returns What is wrong, one sentence each; empty when it may come into force.
 */
export function checkConfiguration(configuration: Configuration): string[] {
    const findings: string[] = [];
    const pools = new Set(configuration.pools.map((pool) => pool.name));
    const urlPrefixes = new Set<string>();
    for (const queue of configuration.queues) {
        if (!pools.has(queue.pool)) {
            findings.push(`queue ${queue.name}: unknown pool ${queue.pool}`);
        }
        if (queue.timeoutMs <= 0) {
            findings.push(`queue ${queue.name}: the timeout must be above 0 ms`);
        }
        const urlPrefix = `${queue.host}${queue.pathPrefix}`;
        if (urlPrefixes.has(urlPrefix)) {
            findings.push(`queue ${queue.name}: another queue has host and prefix ${urlPrefix}`);
        }
        urlPrefixes.add(urlPrefix);
    }
    return findings;
}
