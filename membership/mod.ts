/**
 * Which entry instances there are, how a cell's work is divided among them, and who is up.
 *
 * @example
 * ```ts
 * import { createLayout, Gossip } from "./mod.ts";
 * ```
 *
 * @module
 */

export * from "./gossip.ts";
export * from "./identity.ts";
export * from "./layout.ts";
export * from "./leader_router.ts";
export * from "./voter_plan.ts";
