/**
 * Validation of a configuration, and routing of calls to queues.
 *
 * @example
 * ```ts
 * import { findQueue } from "./configuration.ts";
 * const match = findQueue(configuration, "previews.example", "/p/5c0e7a21d94b36f8");
 * ```
 *
 * @module
 */

import { checkWorkspaces } from "../workspace/workspace_checks.ts";
import type { Configuration, QueueConfig } from "./types.ts";

/** The queue of a call and the part of the path after the queue's prefix. */
export interface QueueMatch {
    readonly queue: QueueConfig;
    readonly pathSuffix: string;
}

/**
 * Finds the queue of a call by its host and the longest matching path prefix.
 *
 * @param configuration The active configuration.
 * @param host The requested host, without the port.
 * @param path The requested path.
 * @returns The matching queue, or `undefined` when no queue matches.
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
 * Checks the rules that the schema of a configuration can't express.
 *
 * @param configuration The configuration to check.
 * @returns A description of each problem; empty when the configuration is valid.
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
    findings.push(...checkWorkspaces(configuration.workspaces ?? []));
    return findings;
}
