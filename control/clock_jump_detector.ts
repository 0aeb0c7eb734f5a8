/**
 * Notices that the machine was suspended. A suspended machine's steady clock stands still, so a
 * leader that wakes up would take its lease for valid although others went on without it and may
 * have elected another leader: it would answer with old state and send orders that the new
 * leader does not know of. The time of day goes on during a suspension; the two clocks drift
 * apart by its length. A step of the time of day looks the same and costs one round to a quorum.
 *
 * @example
 * ```ts
 * import { ClockGuard } from "./clock_jump_detector.ts";
 * const guard = new ClockGuard(() => replica.distrustClock());
 * guard.check();
 * ```
 *
 * @module
 */

/** Time sources of {@link ClockJumpDetector}. */
export interface ClockSources {
    readonly getMonotonicMs?: () => number;
    readonly getWallMs?: () => number;
}

/**
 * A difference below this is a clock being slewed or read twice, in ms. A suspension this short
 * is below the part of the election timeout that a lease leaves unused (0.2 of 250 ms).
 */
const JUMP_THRESHOLD_MS = 40;

/** Compares the steady clock with the time of day. */
export class ClockJumpDetector {
    readonly #onJump: () => void;
    readonly #getMonotonicMs: () => number;
    readonly #getWallMs: () => number;
    #offsetMs: number;

    /**
     * @param onJump Called when the clocks moved apart.
     * @param clocks Time sources, for tests.
     */
    constructor(onJump: () => void, clocks: ClockSources = {}) {
        this.#onJump = onJump;
        this.#getMonotonicMs = clocks.getMonotonicMs ?? (() => performance.now());
        this.#getWallMs = clocks.getWallMs ?? (() => Date.now());
        this.#offsetMs = this.#getWallMs() - this.#getMonotonicMs();
    }

    /** Compares the clocks; to be called before anything that rests on the steady clock alone. */
    check(): void {
        const offsetMs = this.#getWallMs() - this.#getMonotonicMs();
        const jumpMs = offsetMs - this.#offsetMs;
        this.#offsetMs = offsetMs;
        if (Math.abs(jumpMs) > JUMP_THRESHOLD_MS) {
            this.#onJump();
        }
    }
}
