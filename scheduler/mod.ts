/**
 * Placement and preemption decisions, computed from the state of the workers. The functions
 * perform no I/O; the current time is a parameter.
 *
 * @example
 * ```ts
 * import { placeTasks } from "./mod.ts";
 * const selected = placeTasks(
 *     workers,
 *     { demand, service, placement: "packing", count: 1 },
 *     Date.now(),
 * );
 * ```
 *
 * @module
 */

export * from "./preemption.ts";
export * from "./placement.ts";
export * from "./worker_state.ts";
