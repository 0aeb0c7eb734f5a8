/**
 * Implements the replicated log: the consensus protocol, its durable storage, and a replicated
 * state machine on top of both.
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
