/**
 * A pool of JSON-RPC clients, one per server address, with their total byte counts.
 *
 * @example
 * ```ts
 * import { RpcClientPool } from "./client_pool.ts";
 * const pool = new RpcClientPool({ timeoutMs: 2_000 });
 * await pool.getClient("127.0.0.1:7001").call("leases.grant", { leases });
 * ```
 *
 * @module
 */

import { createRpcClient, type RpcClient } from "./rpc_client.ts";

/** Bytes of JSON-RPC message bodies. */
export interface ByteCounts {
    readonly received: number;
    readonly sent: number;
}

/**
 * Adds up byte counts.
 *
 * @param counts The counts to add.
 * @returns The total received and sent.
 */
export function addByteCounts(counts: readonly ByteCounts[]): ByteCounts {
    return {
        received: counts.reduce((sum, c) => sum + c.received, 0),
        sent: counts.reduce((sum, c) => sum + c.sent, 0),
    };
}

/** Creates clients on demand and keeps one per address. */
export class RpcClientPool {
    readonly #timeoutMs: number;
    readonly #clients = new Map<string, RpcClient>();

    /**
     * @param options The timeout of each call, in ms.
     */
    constructor(options: { readonly timeoutMs: number }) {
        this.#timeoutMs = options.timeoutMs;
    }

    /** Total bytes sent and received by all clients of the pool. */
    get bytes(): ByteCounts {
        return addByteCounts([...this.#clients.values()].map((c) => c.bytes()));
    }

    /**
     * Returns the client of an address and creates it on first use.
     *
     * @param address `host:port`.
     * @returns The client.
     */
    getClient(address: string): RpcClient {
        let client = this.#clients.get(address);
        if (client === undefined) {
            client = createRpcClient(address, this.#timeoutMs);
            this.#clients.set(address, client);
        }
        return client;
    }
}
