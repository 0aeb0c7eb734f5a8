/**
 * Scheduling rules: precedence classes, request kinds and customer quotas, and versioned changes
 * to them.
 *
 * @example
 * ```ts
 * import { getKindRule } from "./mod.ts";
 * const rule = getKindRule(rules, "preview");
 * ```
 *
 * @module
 */

export * from "./rules.ts";
export * from "./rules_store.ts";
