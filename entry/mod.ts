/**
 * The entry instance process: JSON-RPC API, replicated groups and worker connections.
 *
 * @example
 * ```ts
 * import { EntryInstance } from "./mod.ts";
 * ```
 *
 * @module
 */

export * from "./api_schema.ts";
export * from "./entry.ts";
export * from "./errors.ts";
export * from "./status.ts";
