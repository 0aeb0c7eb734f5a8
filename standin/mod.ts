/**
 * Stand-ins for the outside systems: workers (many in one process) and callers.
 *
 * @example
 * ```ts
 * import { WorkerHost } from "./mod.ts";
 * ```
 *
 * @module
 */

export * from "./worker_agent.ts";
export * from "./worker_host.ts";
export * from "./caller.ts";
export * from "./entry_client.ts";
export * from "./fault_relay.ts";
