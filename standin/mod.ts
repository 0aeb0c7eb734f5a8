/**
 * Simulated workers and callers, a failover client and a fault-injecting relay, for tests and
 * load runs.
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
