/**
 * The naive single-process reference scheduler used by the differential tests.
 *
 * @example
 * ```ts
 * import { ReferenceScheduler } from "./mod.ts";
 * ```
 *
 * @module
 */

export * from "./reference_scheduler.ts";
