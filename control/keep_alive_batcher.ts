/**
 * Batches workers' heartbeats that carry no changes and forwards them to the leader, which reduces
 * the number of calls that the leader handles.
 *
 * @example
 * ```ts
 * import { KeepAliveBatcher } from "./keep_alive_batcher.ts";
 * const batcher = new KeepAliveBatcher({
 *     send: (keepAlives) => router.call("control.signs", { signs: keepAlives }, 900),
 * });
 * if (batcher.isLeaderReachable) batcher.add({ worker, sequence, clockMs, capacity });
 * ```
 *
 * @module
 */

import type { KeepAlive } from "../dispatch/mod.ts";
import type { WorkerId } from "../job/mod.ts";

/** Options of {@link KeepAliveBatcher}. */
export interface KeepAliveBatcherOptions {
    /** Sends a batch to the leader; rejects if no leader accepted it. */
    readonly send: (keepAlives: readonly KeepAlive[]) => Promise<unknown>;
    /** Returns the time of a monotonic clock, in ms. */
    readonly getNow?: () => number;
}

/**
 * How long keep-alives are collected before they are sent, in ms; a fifth of a worker's heartbeat
 * interval.
 */
const BATCH_WINDOW_MS = 300;
/**
 * How long keep-alives are collected while their senders wait for the leader, in ms. A worker tries
 * another instance after a second without an acknowledgement.
 */
const WAITING_BATCH_WINDOW_MS = 50;
/** The leader counts as unreachable after this time without contact, in ms. */
const LEADER_CONTACT_TIMEOUT_MS = 1_500;

/** Collects keep-alives and sends them to the leader in batches. */
export class KeepAliveBatcher {
    readonly #options: KeepAliveBatcherOptions;
    readonly #getNow: () => number;
    readonly #pending = new Map<WorkerId, KeepAlive>();
    #lastContactAtMs = Number.NEGATIVE_INFINITY;
    #nextBatch: Promise<Error | undefined> | undefined;

    /**
     * @param options The send function and the clock.
     */
    constructor(options: KeepAliveBatcherOptions) {
        this.#options = options;
        this.#getNow = options.getNow ?? (() => performance.now());
    }

    /**
     * Whether the leader was reached recently. Otherwise heartbeats must not be acknowledged before
     * the leader has received them: it would consider the workers lost.
     */
    get isLeaderReachable(): boolean {
        return this.#getNow() - this.#lastContactAtMs < LEADER_CONTACT_TIMEOUT_MS;
    }

    /** Records that the leader has just responded to this instance. */
    recordLeaderContact(): void {
        this.#lastContactAtMs = this.#getNow();
    }

    /**
     * Adds a keep-alive to the next batch, replacing an older one of the same worker.
     *
     * @param keepAlive The keep-alive.
     * @returns Resolves once the keep-alive may be acknowledged: at once if the leader was reached
     *     recently, otherwise when it has received the batch.
     * @throws {Error} If the leader was not reached recently and does not receive the batch.
     */
    async add(keepAlive: KeepAlive): Promise<void> {
        this.#pending.set(keepAlive.worker, keepAlive);
        const windowMs = this.isLeaderReachable ? BATCH_WINDOW_MS : WAITING_BATCH_WINDOW_MS;
        this.#nextBatch ??= this.#sendAfter(windowMs);
        if (this.isLeaderReachable) {
            return;
        }
        const error = await this.#nextBatch;
        if (error !== undefined) {
            throw error;
        }
    }

    /**
     * Collects keep-alives for a while, then sends them. If that fails, no retry is needed: until
     * the leader is reached, workers get no acknowledgement and repeat their heartbeats.
     *
     * @returns Why the batch did not reach the leader, if so.
     */
    async #sendAfter(windowMs: number): Promise<Error | undefined> {
        await new Promise((resolve) => setTimeout(resolve, windowMs));
        this.#nextBatch = undefined;
        const keepAlives = [...this.#pending.values()];
        this.#pending.clear();
        try {
            await this.#options.send(keepAlives);
            this.recordLeaderContact();
            return undefined;
        } catch (error) {
            this.#lastContactAtMs = Number.NEGATIVE_INFINITY;
            return error as Error;
        }
    }
}
