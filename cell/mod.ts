/**
 * The cell's deterministic state machine and its typed records.
 *
 * @example
 * ```ts
 * import { Cell } from "./mod.ts";
 * ```
 *
 * @module
 */

export * from "./cell.ts";
export * from "./types.ts";
