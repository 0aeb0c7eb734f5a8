/**
 * How a process outside the cell reaches it: a list of entry instances (what a balancer would
 * give), the one that answered last first, others in turn when it does not answer, and the
 * leader that an answer names.
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

/** An entry instance as an outside process knows it. */
export interface EntryAddress {
    readonly id: string;
    readonly address: string;
}

/** Options of {@link EntryClient}. */
export interface EntryClientOptions {
    readonly entries: readonly EntryAddress[];
    /** How long one call may take, in ms. */
    readonly timeoutMs?: number;
}

/** The error codes after which another entry instance is tried. */
const FAILOVER_CODES: ReadonlySet<number> = new Set([
    0,
    NO_LEADER_CODE,
    NOT_LEADER_CODE,
    SHUTTING_DOWN_CODE,
]);
const DEFAULT_TIMEOUT_MS = 3_000;

/**
 * Reads a list of entry instances: `id=host:port` or `host:port`, separated by commas.
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

/** A client of a cell. */
export class EntryClient {
    readonly #entries: readonly EntryAddress[];
    readonly #clients: readonly RpcClient[];
    #currentIndex = 0;

    /**
     * @param options The entry instances, the timeout.
     */
    constructor(options: EntryClientOptions) {
        this.#entries = options.entries;
        this.#clients = options.entries.map((e) =>
            createRpcClient(e.address, options.timeoutMs ?? DEFAULT_TIMEOUT_MS),
        );
    }

    /** Bytes sent and received. */
    get bytes(): ByteCounts {
        return addByteCounts(this.#clients.map((c) => c.bytes()));
    }

    /**
     * Calls a method once at the entry instance that answered last. When it does not answer or
     * names another, the next call goes there.
     *
     * @param method The method.
     * @param params Its params.
     * @param callTimeoutMs How long the call may take, in ms.
     * @returns The result.
     * @throws {RpcError} The entry instance's error, or code 0 when it did not answer.
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
     * Calls a method, trying other entry instances and coming back when told to, until a time.
     * Only for methods that are safe to repeat (by key, by change id, or by their nature).
     *
     * @param method The method.
     * @param params Its params.
     * @param deadlineMs When to give up, in ms since the epoch.
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

    /** Waits as told, but not before every other instance had its turn. */
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
