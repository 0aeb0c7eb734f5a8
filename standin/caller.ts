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

import type { Answer, RequestSpec } from "../cell/mod.ts";
import { createRpcClient, RpcError, type RpcClient } from "../rpc/mod.ts";

/** Options of a caller. */
export interface CallerOptions {
    readonly entry: string;
    /** Resends after a lost answer before giving up. */
    readonly resends?: number;
    /** The longest wait for all requests to end, in ms. */
    readonly deadlineMs?: number;
}

/** A caller of one entry instance. */
export class Caller {
    readonly #client: RpcClient;
    readonly #resends: number;
    readonly #deadlineMs: number;

    /**
     * @param options Where to send, how often to resend.
     */
    constructor(options: CallerOptions) {
        this.#client = createRpcClient(options.entry, 15_000);
        this.#resends = options.resends ?? 5;
        this.#deadlineMs = options.deadlineMs ?? 120_000;
    }

    /**
     * Submits one request, resending on transport errors with the same key.
     *
     * @param spec The request.
     * @returns The cell's answer.
     * @throws {RpcError} When the cell refused the call (bad params, key reuse) or never answered.
     */
    async submit(spec: RequestSpec): Promise<Answer> {
        for (let attempt = 0; ; attempt++) {
            try {
                return await this.#client.call<Answer>("request.submit", { spec });
            } catch (error) {
                if (!(error instanceof RpcError) || error.code !== 0 || attempt >= this.#resends) {
                    throw error;
                }
            }
        }
    }

    /**
     * Waits until a request is final, asking again as the cell advises.
     *
     * @param requestId The request.
     * @param until A time (ms) after which the last answer is returned as it is.
     * @returns The last answer.
     */
    async waitFinal(requestId: string, until: number): Promise<Answer> {
        for (;;) {
            const answer = await this.#client.call<Answer>("request.wait", {
                requestId,
                timeoutMs: Math.max(0, Math.min(10_000, until - Date.now())),
            });
            if (answer.final || Date.now() >= until) {
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
    async runAll(specs: readonly RequestSpec[]): Promise<Answer[]> {
        const accepted = await Promise.all(specs.map((spec) => this.submit(spec)));
        const until = Date.now() + this.#deadlineMs;
        return Promise.all(accepted.map((a) => this.waitFinal(a.requestId, until)));
    }

    /** Bytes this caller sent and received. */
    get bytes(): { received: number; sent: number } {
        return this.#client.bytes();
    }
}
