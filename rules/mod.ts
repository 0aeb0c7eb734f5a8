/**
 * Precedence classes, kinds of request with their placement and idempotency, and quotas.
 *
 * @example
 * ```ts
 * import { getKindRule } from "./mod.ts";
 * ```
 *
 * @module
 */

export * from "./rules.ts";
export * from "./rules_store.ts";
