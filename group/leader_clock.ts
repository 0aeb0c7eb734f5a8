/**
 * Monotonic clock for the timestamps that a group's leader puts on commands. It continues from the
 * newest timestamp in the log, so that wall clock steps and a leader with a slow clock neither
 * expire all leases at once nor keep expired ones valid.
 *
 * @example
 * ```ts
 * import { LeaderClock } from "./leader_clock.ts";
 * const clock = new LeaderClock();
 * clock.start(store.lastBatchAtMs);
 * const nowMs = clock.getNow();
 * ```
 *
 * @module
 */

/** Options of {@link LeaderClock}. */
export interface LeaderClockOptions {
    /** Returns the monotonic time in ms. */
    readonly getMonotonicMs?: () => number;
    /** Returns the wall clock time in ms since the Unix epoch. */
    readonly getWallTimeMs?: () => number;
}

/** Monotonic clock of a group's leader. */
export class LeaderClock {
    readonly #getMonotonicMs: () => number;
    readonly #getWallTimeMs: () => number;
    #offsetMs = 0;

    /**
     * @param options Time sources; the system clocks by default.
     */
    constructor(options: LeaderClockOptions = {}) {
        this.#getMonotonicMs = options.getMonotonicMs ?? (() => performance.now());
        this.#getWallTimeMs = options.getWallTimeMs ?? (() => Date.now());
    }

    /**
     * Starts the clock when this member becomes leader.
     *
     * @param lastLogTimeMs The newest timestamp in the group's log, in ms since the Unix epoch.
     */
    start(lastLogTimeMs: number): void {
        this.#offsetMs = Math.max(this.#getWallTimeMs(), lastLogTimeMs) - this.#getMonotonicMs();
    }

    /**
     * Returns the current time.
     *
     * @returns The time in whole ms since the Unix epoch.
     */
    getNow(): number {
        return Math.round(this.#offsetMs + this.#getMonotonicMs());
    }
}
