/**
 * The reference scheduler that differential tests compare the cell with.
 *
 * @example
 * ```ts
 * import { ReferenceScheduler } from "./mod.ts";
 * const reference = new ReferenceScheduler(inventory, rules);
 * ```
 *
 * @module
 */

export * from "./reference_scheduler.ts";
