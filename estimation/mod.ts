/**
 * Learned durations: how far the stated estimates of a queue are off, and how fast each worker is,
 * from the durations of ended tasks.
 *
 * @example
 * ```ts
 * import { DurationModel } from "./mod.ts";
 * ```
 *
 * @module
 */

export * from "./duration_model.ts";
