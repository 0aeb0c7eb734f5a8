/**
 * JSON-RPC 2.0 server, clients and timeouts for the calls between poplarhead's processes.
 *
 * @example
 * ```ts
 * import { createRpcClient } from "./mod.ts";
 * ```
 *
 * @module
 */

export * from "./address.ts";
export * from "./rpc_server.ts";
export * from "./rpc_client.ts";
export * from "./rpc_error.ts";
export * from "./client_pool.ts";
export * from "./call_tracker.ts";
export * from "./connection_tracker.ts";
export * from "./idle_connections.ts";
export * from "./timeout.ts";
