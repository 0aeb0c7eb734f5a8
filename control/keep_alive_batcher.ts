/**
 * Gathers workers' heartbeats that say nothing new and hands them to the leader together. A floor
 * of hundreds of workers sends more heartbeats than the leader has orders to give; each as a call
 * of its own would take a tenth of its processor.
 *
 * @example
 * ```ts
 * import { SignBox } from "./keep_alive_batcher.ts";
 * const box = new SignBox({ send: (signs) => router.call("control.signs", { signs }, 900) });
 * if (box.isTrusted) box.add({ worker, sequence, clockMs });
 * ```
 *
 * @module
 */

import type { WorkerId } from "../job/mod.ts";
import type { KeepAlive } from "./calls.ts";

/** Options of {@link KeepAliveBatcher}. */
export interface KeepAliveBatcherOptions {
    /** Hands heartbeats to the leader; rejects when none took them. */
    readonly send: (keepAlives: readonly KeepAlive[]) => Promise<unknown>;
    readonly getNow?: () => number;
}

/** Heartbeats are gathered for this long, in ms: a fifth of the time between two of a worker. */
const BATCH_WINDOW_MS = 300;
/** The box takes heartbeats only while the leader took the last ones within this time, in ms. */
const LEADER_CONTACT_TIMEOUT_MS = 1_500;

/** Heartbeats on their way. */
export class KeepAliveBatcher {
    readonly #options: KeepAliveBatcherOptions;
    readonly #getNow: () => number;
    readonly #pending = new Map<WorkerId, KeepAlive>();
    #lastContactAtMs = Number.NEGATIVE_INFINITY;
    #isSendScheduled = false;

    /**
     * @param options How to reach the leader.
     */
    constructor(options: KeepAliveBatcherOptions) {
        this.#options = options;
        this.#getNow = options.getNow ?? (() => performance.now());
    }

    /**
     * Whether the leader gets what is put in. A member that is cut off from the leader must not
     * acknowledge heartbeats: their workers would stay with it and look dead to the leader.
     */
    get isLeaderReachable(): boolean {
        return this.#getNow() - this.#lastContactAtMs < LEADER_CONTACT_TIMEOUT_MS;
    }

    /** Notes that the leader answered this member just now. */
    recordLeaderContact(): void {
        this.#lastContactAtMs = this.#getNow();
    }

    /**
     * Puts a heartbeat in; a newer one of the same worker replaces the older.
     *
     * @param keepAlive The heartbeat.
     */
    add(keepAlive: KeepAlive): void {
        this.#pending.set(keepAlive.worker, keepAlive);
        if (!this.#isSendScheduled) {
            this.#isSendScheduled = true;
            setTimeout(() => void this.#send(), BATCH_WINDOW_MS);
        }
    }

    async #send(): Promise<void> {
        this.#isSendScheduled = false;
        const keepAlives = [...this.#pending.values()];
        this.#pending.clear();
        try {
            await this.#options.send(keepAlives);
            this.recordLeaderContact();
        } catch {
            // The workers' next heartbeats are refused here and go elsewhere; nothing is lost by it.
            this.#lastContactAtMs = Number.NEGATIVE_INFINITY;
        }
    }
}
