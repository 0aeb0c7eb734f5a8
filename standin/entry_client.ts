/**
 * An RPC client for a cell with several entry instances: it stays with the instance that
 * responded last and fails over to the leader named in an error, or else to the next instance.
 *
 * @example
 * ```ts
 * import { EntryClient } from "./entry_client.ts";
 * const client = new EntryClient({ entries: [{ id: "entry-a1", address: "127.0.0.1:7001" }] });
 * await client.send("workers.announce", { workers });
 * ```
 *
 * @module
 */

import {
    NO_LEADER_CODE,
    NOT_LEADER_CODE,
    SHUTTING_DOWN_CODE,
    type NoLeaderData,
} from "../entry/errors.ts";
import {
    addByteCounts,
    createRpcClient,
    RpcError,
    type ByteCounts,
    type RpcClient,
} from "../rpc/mod.ts";

/** The id and the address of an entry instance. */
export interface EntryAddress {
    readonly id: string;
    readonly address: string;
}

/** Options of {@link EntryClient}. */
export interface EntryClientOptions {
    readonly entries: readonly EntryAddress[];
    /** The timeout of one call, in ms. */
    readonly timeoutMs?: number;
}

/** Error codes after which the client fails over; 0 means that no response came. */
const FAILOVER_CODES: ReadonlySet<number> = new Set([
    0,
    NO_LEADER_CODE,
    NOT_LEADER_CODE,
    SHUTTING_DOWN_CODE,
]);
const DEFAULT_TIMEOUT_MS = 3_000;

/**
 * Parses a comma-separated list of entry instances, each `id=host:port` or `host:port`.
 *
 * @param text The list.
 * @returns The entry instances.
 */
export function parseEntries(text: string): EntryAddress[] {
    return text
        .split(",")
        .filter((item) => item !== "")
        .map((item) => {
            const separatorIndex = item.indexOf("=");
            return separatorIndex < 0
                ? { id: item, address: item }
                : { id: item.slice(0, separatorIndex), address: item.slice(separatorIndex + 1) };
        });
}

/** Calls methods of a cell, with failover between its entry instances. */
export class EntryClient {
    readonly #entries: readonly EntryAddress[];
    readonly #clients: readonly RpcClient[];
    #currentIndex = 0;

    /**
     * @param options The entry instances and the timeout.
     */
    constructor(options: EntryClientOptions) {
        this.#entries = options.entries;
        this.#clients = options.entries.map((e) =>
            createRpcClient(e.address, options.timeoutMs ?? DEFAULT_TIMEOUT_MS),
        );
    }

    /** The bytes sent to and received from all entry instances so far. */
    get bytes(): ByteCounts {
        return addByteCounts(this.#clients.map((c) => c.bytes()));
    }

    /**
     * Calls a method once, at the current entry instance. After a failover error the next call
     * goes to another instance.
     *
     * @param method The method name.
     * @param params The parameters.
     * @param callTimeoutMs The timeout of this call, in ms.
     * @returns The result.
     * @throws {RpcError} The entry instance's error, or code 0 when it did not respond.
     */
    async send<T>(method: string, params: object, callTimeoutMs?: number): Promise<T> {
        const usedIndex = this.#currentIndex;
        try {
            return await (this.#clients[usedIndex] as RpcClient).call<T>(
                method,
                params,
                callTimeoutMs,
            );
        } catch (error) {
            if (error instanceof RpcError && FAILOVER_CODES.has(error.code)) {
                this.#selectNext(usedIndex, error);
            }
            throw error;
        }
    }

    /**
     * Calls a method with retries and failover until a deadline. The method must be idempotent.
     *
     * @param method The method name.
     * @param params The parameters.
     * @param deadlineMs When to stop retrying, in ms since the Unix epoch.
     * @returns The result.
     * @throws {RpcError} The last error.
     */
    async sendUntil<T>(method: string, params: object, deadlineMs: number): Promise<T> {
        for (let attempt = 1; ; attempt++) {
            try {
                return await this.send<T>(method, params);
            } catch (error) {
                const isRetryable = error instanceof RpcError && FAILOVER_CODES.has(error.code);
                if (!isRetryable || Date.now() >= deadlineMs) {
                    throw error;
                }
                await this.#waitRetry(attempt, error);
            }
        }
    }

    #selectNext(usedIndex: number, error: RpcError): void {
        if (this.#currentIndex !== usedIndex) {
            return;
        }
        const leader = (error.data as NoLeaderData | undefined)?.leader;
        const leaderIndex = this.#entries.findIndex((e) => e.id === leader);
        this.#currentIndex =
            leaderIndex >= 0 && leaderIndex !== usedIndex
                ? leaderIndex
                : (usedIndex + 1) % this.#entries.length;
    }

    /**
     * Waits before a retry: briefly if the error names the leader or some instances have not been
     * tried yet, otherwise for the delay given in the error.
     */
    async #waitRetry(attempt: number, error: RpcError): Promise<void> {
        const isLeaderKnown = (error.data as NoLeaderData | undefined)?.leader !== undefined;
        if (isLeaderKnown || attempt % this.#entries.length !== 0) {
            await new Promise((resolve) => setTimeout(resolve, 20));
            return;
        }
        const delayMs = (error.data as NoLeaderData | undefined)?.retryAfterMs ?? 200;
        await new Promise((resolve) => setTimeout(resolve, delayMs));
    }
}
