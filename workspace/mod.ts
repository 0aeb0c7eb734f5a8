/**
 * The workspaces that share a deployment: their API keys, which jobs a caller may access, the limits
 * on what each may run, and the shares to which they are entitled.
 *
 * @example
 * ```ts
 * import { AccessControl, QuotaLedger } from "./mod.ts";
 * ```
 *
 * @module
 */

export * from "./access.ts";
export * from "./key_index.ts";
export * from "./quota.ts";
export * from "./quota_round.ts";
export * from "./share_meter.ts";
export * from "./workspace_checks.ts";
export * from "./types.ts";
