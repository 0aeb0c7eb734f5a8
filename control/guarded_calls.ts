/**
 * Guards a leader against calls to workers that fail in an unexpected way: a rejection that nobody
 * handles would end its process.
 *
 * @example
 * ```ts
 * import { GuardedWorkerCalls } from "./guarded_calls.ts";
 * const calls = new GuardedWorkerCalls(workerCalls, { log });
 * const answer = await calls.poll(order);
 * ```
 *
 * @module
 */

import type { Logger } from "winston";
import type {
    OrderAnswer,
    PaceOrder,
    PollAnswer,
    PollOrder,
    StartOrder,
    StopOrder,
} from "../dispatch/mod.ts";
import { RateLimitedLog } from "../telemetry/rate_limited_log.ts";
import type { WorkerCalls } from "./calls.ts";

/** Options of {@link GuardedWorkerCalls}. */
export interface GuardedWorkerCallsOptions {
    readonly log: Logger;
}

/** Calls workers and answers for each call that throws or rejects; its promises never reject. */
export class GuardedWorkerCalls implements WorkerCalls {
    readonly #calls: WorkerCalls;
    readonly #failureLog: RateLimitedLog;

    /**
     * @param calls Sends the calls.
     * @param options The log of failed calls; see {@link GuardedWorkerCallsOptions}.
     */
    constructor(calls: WorkerCalls, { log }: GuardedWorkerCallsOptions) {
        this.#calls = calls;
        this.#failureLog = new RateLimitedLog((fields) => log.error("worker call failed", fields));
    }

    /** See {@link WorkerCalls.start}. */
    start = (order: StartOrder, timeoutMs: number): Promise<OrderAnswer> =>
        this.#run(order, () => this.#calls.start(order, timeoutMs));

    /** See {@link WorkerCalls.stop}. */
    stop = (order: StopOrder, timeoutMs: number): Promise<OrderAnswer> =>
        this.#run(order, () => this.#calls.stop(order, timeoutMs));

    /** See {@link WorkerCalls.pace}. */
    pace = (order: PaceOrder, timeoutMs: number): Promise<OrderAnswer> =>
        this.#run(order, () => this.#calls.pace(order, timeoutMs));

    /** See {@link WorkerCalls.poll}. */
    poll = (order: PollOrder): Promise<PollAnswer> =>
        this.#run<PollAnswer>(order, () => this.#calls.poll(order));

    async #run<T extends OrderAnswer | PollAnswer>(
        { worker, address }: Pick<PollOrder, "worker" | "address">,
        send: () => Promise<T>,
    ): Promise<T | Extract<OrderAnswer, { type: "unanswered" }>> {
        try {
            return await send();
        } catch (error) {
            const { message } = error as Error;
            this.#failureLog.add({ worker, address, error: message });
            // The order may have been sent before the call failed.
            return { type: "unanswered", cause: message };
        }
    }
}
