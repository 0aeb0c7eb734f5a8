/**
 * The operators' configuration: queues, worker pools and limits, with validation and routing.
 *
 * @example
 * ```ts
 * import { checkConfiguration, findQueue } from "./mod.ts";
 * ```
 *
 * @module
 */

export * from "./configuration.ts";
export * from "./types.ts";
