/**
 * A stand-in caller (a merchandiser's tool, a chapel console): submits requests, resends with
 * the same idempotency key when an answer is lost, and waits for every request's end.
 *
 * @example
 * ```ts
 * import { Caller } from "./caller.ts";
 * const caller = new Caller({ entry: "127.0.0.1:7000" });
 * const answers = await caller.runAll(specs);
 * ```
 *
 * @module
 */

import type { RequestStatus, RequestSpec } from "../cell/mod.ts";
import type { RulesChange, RulesChangeResult } from "../rules/mod.ts";
import { EntryClient, parseEntries } from "./entry_client.ts";

/** Options of a caller. */
export interface CallerOptions {
    /** The entry instances, as {@link parseEntries} reads them. */
    readonly entry: string;
    /** How long it resends after lost answers before giving up, in ms. */
    readonly resendTimeoutMs?: number;
    /** The longest wait for all requests to end, in ms. */
    readonly completionTimeoutMs?: number;
}

const MAX_WAIT_CALL_MS = 10_000;

/** A caller of a cell. */
export class Caller {
    readonly #client: EntryClient;
    readonly #resendTimeoutMs: number;
    readonly #completionTimeoutMs: number;

    /**
     * @param options Where to send, how long to resend.
     */
    constructor(options: CallerOptions) {
        this.#client = new EntryClient({ entries: parseEntries(options.entry) });
        this.#resendTimeoutMs = options.resendTimeoutMs ?? 15_000;
        this.#completionTimeoutMs = options.completionTimeoutMs ?? 120_000;
    }

    /**
     * Submits one request, resending with the same key while no answer comes.
     *
     * @param spec The request.
     * @returns The cell's answer.
     * @throws {RpcError} When the cell refused the call (bad params, key reuse) or never answered.
     */
    submit(spec: RequestSpec): Promise<RequestStatus> {
        return this.#client.sendUntil(
            "request.submit",
            { spec },
            Date.now() + this.#resendTimeoutMs,
        );
    }

    /**
     * Cancels a request.
     *
     * @param requestId The request.
     * @returns The answer.
     */
    cancel(requestId: string): Promise<RequestStatus> {
        return this.#client.sendUntil(
            "request.cancel",
            { requestId },
            Date.now() + this.#resendTimeoutMs,
        );
    }

    /**
     * Sends a rules change, as an operator would, until it is answered.
     *
     * @param change The change.
     * @returns Applied, a conflict, or rejected.
     */
    setRules(change: RulesChange): Promise<RulesChangeResult> {
        return this.#client.sendUntil("rules.set", { change }, Date.now() + this.#resendTimeoutMs);
    }

    /**
     * Waits until a request is final, asking again as the cell advises.
     *
     * @param requestId The request.
     * @param deadlineMs A time (ms) after which the last answer is returned as it is.
     * @returns The last answer.
     * @throws {RpcError} When no entry instance answers any more.
     */
    async waitFinal(requestId: string, deadlineMs: number): Promise<RequestStatus> {
        for (;;) {
            const timeoutMs = Math.max(0, Math.min(MAX_WAIT_CALL_MS, deadlineMs - Date.now()));
            const answer = await this.#waitOnce(requestId, timeoutMs, deadlineMs);
            if (answer.final || Date.now() >= deadlineMs) {
                return answer;
            }
        }
    }

    /**
     * Submits all requests, then waits for all to end.
     *
     * @param specs The requests.
     * @returns Their last answers, in order.
     */
    async runAll(specs: readonly RequestSpec[]): Promise<RequestStatus[]> {
        const accepted = await Promise.all(specs.map((spec) => this.submit(spec)));
        const deadlineMs = Date.now() + this.#completionTimeoutMs;
        return Promise.all(accepted.map((a) => this.waitFinal(a.requestId, deadlineMs)));
    }

    /** Bytes this caller sent and received. */
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
