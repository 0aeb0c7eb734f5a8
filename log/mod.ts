/**
 * The replicated, durable log: agreement between the members of a group, its storage, and the
 * replica of a state machine on top of both.
 *
 * @example
 * ```ts
 * import { FileStorage, Replica } from "./mod.ts";
 * ```
 *
 * @module
 */

export * from "./consensus.ts";
export * from "./replica.ts";
export * from "./storage.ts";
export * from "./types.ts";
