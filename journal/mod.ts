/**
 * The durable journal of cell inputs.
 *
 * @example
 * ```ts
 * import { Journal } from "./mod.ts";
 * ```
 *
 * @module
 */

export * from "./journal.ts";
