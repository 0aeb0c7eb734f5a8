/**
 * Notices that the machine was suspended. A suspended machine's steady clock stands still, so a
 * leader that wakes up would take its lease for valid although others went on without it and may
 * have elected another leader: it would answer with old state and send orders that the new
 * leader does not know of. The time of day goes on during a suspension; the two clocks drift
 * apart by its length. A step of the time of day looks the same and costs one round to a quorum.
 *
 * @example
 * ```ts
 * import { ClockGuard } from "./clock_guard.ts";
 * const guard = new ClockGuard(() => replica.distrustClock());
 * guard.check();
 * ```
 *
 * @module
 */

/** Time sources of {@link ClockGuard}. */
export interface ClockGuardClocks {
    readonly getMonotonic?: () => number;
    readonly getWall?: () => number;
}

/**
 * A difference below this is a clock being slewed or read twice, in ms. A suspension this short
 * is below the part of the election timeout that a lease leaves unused (0.2 of 250 ms).
 */
const TOLERANCE_MS = 40;

/** Compares the steady clock with the time of day. */
export class ClockGuard {
    readonly #onJump: () => void;
    readonly #getMonotonic: () => number;
    readonly #getWall: () => number;
    #offset: number;

    /**
     * @param onJump Called when the clocks moved apart.
     * @param clocks Time sources, for tests.
     */
    constructor(onJump: () => void, clocks: ClockGuardClocks = {}) {
        this.#onJump = onJump;
        this.#getMonotonic = clocks.getMonotonic ?? (() => performance.now());
        this.#getWall = clocks.getWall ?? (() => Date.now());
        this.#offset = this.#getWall() - this.#getMonotonic();
    }

    /** Compares the clocks; to be called before anything that rests on the steady clock alone. */
    check(): void {
        const offset = this.#getWall() - this.#getMonotonic();
        const jump = offset - this.#offset;
        this.#offset = offset;
        if (Math.abs(jump) > TOLERANCE_MS) {
            this.#onJump();
        }
    }
}
