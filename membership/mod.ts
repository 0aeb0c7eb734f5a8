/**
 * Cluster membership: layout of the groups, member identity, failure detection, and leader routing.
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
