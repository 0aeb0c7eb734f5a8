/**
 * Control instances: replicated state, leadership and the calls between processes.
 *
 * @example
 * ```ts
 * import { ControlDaemon, type WorkerCalls } from "./mod.ts";
 * ```
 *
 * @module
 */

export * from "./calls.ts";
export * from "./clock_jump_detector.ts";
export * from "./daemon.ts";
export * from "./leadership.ts";
export * from "./state_reader.ts";
export * from "./status_reporter.ts";
export * from "./worker_poller.ts";
