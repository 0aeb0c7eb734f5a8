/**
 * Jobs and their steps: types, the replicated facts, and the state built from them.
 *
 * @example
 * ```ts
 * import { StateStore, type Fact, type JobSpec } from "./mod.ts";
 * ```
 *
 * @module
 */

export * from "./crash_history.ts";
export * from "./facts.ts";
export * from "./state_store.ts";
export * from "./tombstones.ts";
export * from "./types.ts";
