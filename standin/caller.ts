/**
 * A simulated client of a cell: submits requests, retries with the same idempotency key when a
 * response is lost, and waits until every request reaches a final state.
 *
 * @example
 * ```ts
 * import { Caller } from "./caller.ts";
 * const caller = new Caller({ entry: "127.0.0.1:7000" });
 * const statuses = await caller.runAll(specs);
 * ```
 *
 * @module
 */

import type { RequestStatus, RequestSpec } from "../cell/mod.ts";
import type { RulesChange, RulesChangeResult } from "../rules/mod.ts";
import { EntryClient, parseEntries } from "./entry_client.ts";

/** Options of {@link Caller}. */
export interface CallerOptions {
    /** The entry instances, in the format of {@link parseEntries}. */
    readonly entry: string;
    /** How long a call without a response is retried, in ms. */
    readonly retryTimeoutMs?: number;
    /** The longest wait for all requests to become final, in ms. */
    readonly completionTimeoutMs?: number;
}

/** Bounds one `request.wait` call, in ms. */
const MAX_WAIT_CALL_MS = 10_000;

/** Submits requests to a cell and follows them to their final state. */
export class Caller {
    readonly #client: EntryClient;
    readonly #retryTimeoutMs: number;
    readonly #completionTimeoutMs: number;

    /**
     * @param options The entry instances and the timeouts.
     */
    constructor(options: CallerOptions) {
        this.#client = new EntryClient({ entries: parseEntries(options.entry) });
        this.#retryTimeoutMs = options.retryTimeoutMs ?? 15_000;
        this.#completionTimeoutMs = options.completionTimeoutMs ?? 120_000;
    }

    /**
     * Submits one request, retrying with the same idempotency key until a response arrives.
     *
     * @param spec The request.
     * @returns The status of the request.
     * @throws {RpcError} When the cell rejects the call (invalid parameters, reused key) or does
     *   not respond in time.
     */
    submit(spec: RequestSpec): Promise<RequestStatus> {
        return this.#client.sendUntil(
            "request.submit",
            { spec },
            Date.now() + this.#retryTimeoutMs,
        );
    }

    /**
     * Cancels a request, retrying until a response arrives.
     *
     * @param requestId The id of the request.
     * @returns The status of the request.
     * @throws {RpcError} When the cell rejects the call or does not respond in time.
     */
    cancel(requestId: string): Promise<RequestStatus> {
        return this.#client.sendUntil(
            "request.cancel",
            { requestId },
            Date.now() + this.#retryTimeoutMs,
        );
    }

    /**
     * Sends a rules change, retrying until a response arrives.
     *
     * @param change The change.
     * @returns Whether the change was applied, conflicted with another, or was rejected.
     * @throws {RpcError} When the cell rejects the call or does not respond in time.
     */
    setRules(change: RulesChange): Promise<RulesChangeResult> {
        return this.#client.sendUntil("rules.set", { change }, Date.now() + this.#retryTimeoutMs);
    }

    /**
     * Waits until a request is final, with repeated long polls.
     *
     * @param requestId The id of the request.
     * @param deadlineMs The time (ms since the Unix epoch) after which the last status is returned,
     *   final or not.
     * @returns The last status.
     * @throws {RpcError} When no entry instance responds by the deadline.
     */
    async waitFinal(requestId: string, deadlineMs: number): Promise<RequestStatus> {
        for (;;) {
            const timeoutMs = Math.max(0, Math.min(MAX_WAIT_CALL_MS, deadlineMs - Date.now()));
            const status = await this.#waitOnce(requestId, timeoutMs, deadlineMs);
            if (status.final || Date.now() >= deadlineMs) {
                return status;
            }
        }
    }

    /**
     * Submits all requests, then waits until all are final.
     *
     * @param specs The requests.
     * @returns The last status of each request, in the order of `specs`.
     * @throws {RpcError} When the cell rejects a request or does not respond in time.
     */
    async runAll(specs: readonly RequestSpec[]): Promise<RequestStatus[]> {
        const accepted = await Promise.all(specs.map((spec) => this.submit(spec)));
        const deadlineMs = Date.now() + this.#completionTimeoutMs;
        return Promise.all(accepted.map((a) => this.waitFinal(a.requestId, deadlineMs)));
    }

    /** The bytes sent and received so far. */
    get bytes(): { received: number; sent: number } {
        return this.#client.bytes;
    }

    async #waitOnce(
        requestId: string,
        timeoutMs: number,
        deadlineMs: number,
    ): Promise<RequestStatus> {
        const params = { requestId, timeoutMs };
        try {
            return await this.#client.send<RequestStatus>(
                "request.wait",
                params,
                timeoutMs + 3_000,
            );
        } catch (error) {
            if (Date.now() >= deadlineMs) {
                throw error;
            }
            await new Promise((resolve) => setTimeout(resolve, 200));
            return this.#client.sendUntil<RequestStatus>("request.fate", { requestId }, deadlineMs);
        }
    }
}
