/**
 * The operators' configuration: queues, pools of workers, limits; versions, checks, look-up.
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
