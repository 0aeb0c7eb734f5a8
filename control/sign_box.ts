/**
 * Gathers workers' heartbeats that say nothing new and hands them to the leader together. A floor
 * of hundreds of workers sends more heartbeats than the leader has orders to give; each as a call
 * of its own would take a tenth of its processor.
 *
 * @example
 * ```ts
 * import { SignBox } from "./sign_box.ts";
 * const box = new SignBox({ send: (signs) => router.call("control.signs", { signs }, 900) });
 * if (box.isTrusted) box.add({ worker, sequence, clockMs });
 * ```
 *
 * @module
 */

import type { WorkerId } from "../job/mod.ts";
import type { LifeSign } from "./calls.ts";

/** Options of {@link SignBox}. */
export interface SignBoxOptions {
    /** Hands heartbeats to the leader; rejects when none took them. */
    readonly send: (signs: readonly LifeSign[]) => Promise<unknown>;
    readonly getNow?: () => number;
}

/** Heartbeats are gathered for this long, in ms: a fifth of the time between two of a worker. */
const GATHER_MS = 300;
/** The box takes heartbeats only while the leader took the last ones within this time, in ms. */
const TRUST_MS = 1_500;

/** Heartbeats on their way. */
export class SignBox {
    readonly #options: SignBoxOptions;
    readonly #getNow: () => number;
    readonly #signs = new Map<WorkerId, LifeSign>();
    #deliveredAt = Number.NEGATIVE_INFINITY;
    #isScheduled = false;

    /**
     * @param options How to reach the leader.
     */
    constructor(options: SignBoxOptions) {
        this.#options = options;
        this.#getNow = options.getNow ?? (() => performance.now());
    }

    /**
     * Whether the leader gets what is put in. A member that is cut off from the leader must not
     * acknowledge heartbeats: their workers would stay with it and look dead to the leader.
     */
    get isTrusted(): boolean {
        return this.#getNow() - this.#deliveredAt < TRUST_MS;
    }

    /** Notes that the leader answered this member just now. */
    confirmLeader(): void {
        this.#deliveredAt = this.#getNow();
    }

    /**
     * Puts a heartbeat in; a newer one of the same worker replaces the older.
     *
     * @param sign The heartbeat.
     */
    add(sign: LifeSign): void {
        this.#signs.set(sign.worker, sign);
        if (!this.#isScheduled) {
            this.#isScheduled = true;
            setTimeout(() => void this.#send(), GATHER_MS);
        }
    }

    async #send(): Promise<void> {
        this.#isScheduled = false;
        const signs = [...this.#signs.values()];
        this.#signs.clear();
        try {
            await this.#options.send(signs);
            this.confirmLeader();
        } catch {
            // The workers' next heartbeats are refused here and go elsewhere; nothing is lost by it.
            this.#deliveredAt = Number.NEGATIVE_INFINITY;
        }
    }
}
