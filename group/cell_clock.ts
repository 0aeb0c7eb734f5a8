/**
 * The time that a group's leader puts on inputs. It goes on from the newest time in the group's
 * log, whatever the machine's time of day does: a step of the clock, or a leader on a machine
 * whose clock is behind, must neither expire every lease at once nor keep dead ones alive.
 *
 * @example
 * ```ts
 * import { CellClock } from "./cell_clock.ts";
 * const clock = new CellClock();
 * clock.start(cell.lastAt);
 * const at = clock.getNow();
 * ```
 *
 * @module
 */

/** Options of {@link CellClock}. */
export interface CellClockOptions {
    /** A clock that never goes back, in ms. */
    readonly getMonotonic?: () => number;
    /** The time of day, in ms since the epoch. */
    readonly getWall?: () => number;
}

/** A leader's clock. */
export class CellClock {
    readonly #getMonotonic: () => number;
    readonly #getWall: () => number;
    #offset = 0;

    /**
     * @param options Time sources, for tests.
     */
    constructor(options: CellClockOptions = {}) {
        this.#getMonotonic = options.getMonotonic ?? (() => performance.now());
        this.#getWall = options.getWall ?? (() => Date.now());
    }

    /**
     * Starts the clock of a new leader.
     *
     * @param lastAt The newest time in the group's log, in ms.
     */
    start(lastAt: number): void {
        this.#offset = Math.max(this.#getWall(), lastAt) - this.#getMonotonic();
    }

    /**
     * Gives the time.
     *
     * @returns Whole ms.
     */
    getNow(): number {
        return Math.round(this.#offset + this.#getMonotonic());
    }
}
