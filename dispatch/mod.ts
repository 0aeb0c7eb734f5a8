/**
 * Schedules jobs on workers: admission, placement, orders, advice calls and attempts. Does no I/O:
 * inputs produce facts and effects.
 *
 * @example
 * ```ts
 * import { Dispatcher, type Effect } from "./mod.ts";
 * ```
 *
 * @module
 */

export * from "./admission.ts";
export * from "./advice_scheduler.ts";
export * from "./dispatcher.ts";
export * from "./effect_kind.ts";
export * from "./evacuation.ts";
export * from "./front_assignment.ts";
export * from "./placement.ts";
export * from "./ranking.ts";
export * from "./reservation.ts";
export * from "./ready_steps.ts";
export * from "./speed_preference.ts";
export * from "./types.ts";
export * from "./worker_registry.ts";
export * from "./worker_clock.ts";
export * from "./worker_speed.ts";
export * from "./work_limits.ts";
