/**
 * Instances, racks, availability zones, services and executors, with branded ids.
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
