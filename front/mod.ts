/**
 * Front instances: callers' calls on their way to the leader.
 *
 * @example
 * ```ts
 * import { FrontDaemon } from "./mod.ts";
 * ```
 *
 * @module
 */

export * from "./daemon.ts";
export * from "./reach.ts";
