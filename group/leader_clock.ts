/**
 * The time that a group's leader puts on inputs. It goes on from the newest time in the group's
 * log, whatever the machine's time of day does: a step of the clock, or a leader on a machine
 * whose clock is behind, must neither expire every lease at once nor keep dead ones alive.
 *
 * @example
 * ```ts
 * import { LeaderClock } from "./leader_clock.ts";
 * const clock = new LeaderClock();
 * clock.start(cell.lastAt);
 * const at = clock.getNow();
 * ```
 *
 * @module
 */

/** Options of {@link LeaderClock}. */
export interface LeaderClockOptions {
    /** A clock that never goes back, in ms. */
    readonly getMonotonicMs?: () => number;
    /** The time of day, in ms since the epoch. */
    readonly getWallTimeMs?: () => number;
}

/** A leader's clock. */
export class LeaderClock {
    readonly #getMonotonicMs: () => number;
    readonly #getWallTimeMs: () => number;
    #offsetMs = 0;

    /**
     * @param options Time sources, for tests.
     */
    constructor(options: LeaderClockOptions = {}) {
        this.#getMonotonicMs = options.getMonotonicMs ?? (() => performance.now());
        this.#getWallTimeMs = options.getWallTimeMs ?? (() => Date.now());
    }

    /**
     * Starts the clock of a new leader.
     *
     * @param lastLogTimeMs The newest time in the group's log, in ms.
     */
    start(lastLogTimeMs: number): void {
        this.#offsetMs = Math.max(this.#getWallTimeMs(), lastLogTimeMs) - this.#getMonotonicMs();
    }

    /**
     * Gives the time.
     *
     * @returns Whole ms.
     */
    getNow(): number {
        return Math.round(this.#offsetMs + this.#getMonotonicMs());
    }
}
