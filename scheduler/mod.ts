/**
 * Pure placement decisions: feasibility, ranking per policy, gang and spread, preemption.
 * No I/O and no clock: every function takes the time it needs.
 *
 * @example
 * ```ts
 * import { placeTask } from "./mod.ts";
 * const chosen = placeTask(workers, { demand, service, placement: "packing", count: 1 }, now);
 * ```
 *
 * @module
 */

export * from "./preemption.ts";
export * from "./placement.ts";
export * from "./worker_state.ts";
