/**
 * The inventory of a cell (instances, racks, availability zones, services and executors) and the
 * branded id types.
 *
 * @example
 * ```ts
 * import { createId, isFitting, type InstanceId } from "./mod.ts";
 * ```
 *
 * @module
 */

export * from "./ids.ts";
export * from "./inventory.ts";
