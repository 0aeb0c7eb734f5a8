/**
 * Logging, metrics, and analysis of the merged logs of all processes.
 *
 * @example
 * ```ts
 * import { createLogger, mergeTimeline } from "./mod.ts";
 * ```
 *
 * @module
 */

export * from "./logger.ts";
export * from "./entry_metrics.ts";
export * from "./timeline.ts";
export * from "./audit.ts";
export * from "./control_metrics.ts";
export * from "./rate_limited_log.ts";
export * from "./event_loop_monitor.ts";
export * from "./log_sink.ts";
export * from "./causes.ts";
export * from "./call_rows.ts";
export * from "./explain.ts";
export * from "./decision_log.ts";
export * from "./request_sampler.ts";
export * from "./stages.ts";
