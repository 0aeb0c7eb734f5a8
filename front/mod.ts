/**
 * Front instances, which forward callers' requests to the leader.
 *
 * @example
 * ```ts
 * import { FrontDaemon } from "./mod.ts";
 * ```
 *
 * @module
 */

export * from "./call_outcome.ts";
export * from "./daemon.ts";
export * from "./leader_reachability.ts";
