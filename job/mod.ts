/**
 * Jobs of steps: types, the facts of the log, and the durable state that they make.
 *
 * @example
 * ```ts
 * import { Ledger, type Fact, type JobSpec } from "./mod.ts";
 * ```
 *
 * @module
 */

export * from "./crash_history.ts";
export * from "./facts.ts";
export * from "./state_store.ts";
export * from "./types.ts";
