/**
 * Clients of many servers, one per address, with their bytes summed.
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

import { createRpcClient, type RpcClient } from "./http_rpc.ts";

/** Bytes over JSON-RPC. */
export interface ByteCounts {
    readonly received: number;
    readonly sent: number;
}

/**
 * Sums byte counts.
 *
 * @param counts The counts.
 * @returns Their sum.
 */
export function addByteCounts(counts: readonly ByteCounts[]): ByteCounts {
    return {
        received: counts.reduce((sum, c) => sum + c.received, 0),
        sent: counts.reduce((sum, c) => sum + c.sent, 0),
    };
}

/** One client per address. */
export class RpcClientPool {
    readonly #timeoutMs: number;
    readonly #clients = new Map<string, RpcClient>();

    /**
     * @param options How long one call may take, in ms.
     */
    constructor(options: { readonly timeoutMs: number }) {
        this.#timeoutMs = options.timeoutMs;
    }

    /** Bytes sent and received by all clients. */
    get bytes(): ByteCounts {
        return addByteCounts([...this.#clients.values()].map((c) => c.bytes()));
    }

    /**
     * Gives the client of an address.
     *
     * @param address `host:port`.
     * @returns Its client.
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
