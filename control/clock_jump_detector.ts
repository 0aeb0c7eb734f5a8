/**
 * Detects that the machine was suspended: the monotonic clock stops during a suspension while the
 * wall clock continues. A suspended leader would otherwise regard an expired lease as valid. An
 * adjustment of the wall clock is also reported.
 *
 * @example
 * ```ts
 * import { ClockJumpDetector } from "./clock_jump_detector.ts";
 * const detector = new ClockJumpDetector(() => replica.invalidateLease());
 * detector.check();
 * ```
 *
 * @module
 */

/** Clock sources of {@link ClockJumpDetector}, in ms. */
export interface ClockSources {
    readonly getMonotonicMs?: () => number;
    readonly getWallTimeMs?: () => number;
}

/**
 * The minimum offset change that counts as a jump, in ms. It tolerates slewing and is less than the
 * time between the end of a lease and the shortest election timeout (20% of 250 ms).
 */
const JUMP_THRESHOLD_MS = 40;

/** Compares the monotonic clock with the wall clock. */
export class ClockJumpDetector {
    readonly #onJump: () => void;
    readonly #getMonotonicMs: () => number;
    readonly #getWallTimeMs: () => number;
    #offsetMs: number;

    /**
     * @param onJump Called when the offset between the clocks has changed.
     * @param clocks Clock sources; replaced in tests.
     */
    constructor(onJump: () => void, clocks: ClockSources = {}) {
        this.#onJump = onJump;
        this.#getMonotonicMs = clocks.getMonotonicMs ?? (() => performance.now());
        this.#getWallTimeMs = clocks.getWallTimeMs ?? (() => Date.now());
        this.#offsetMs = this.#getWallTimeMs() - this.#getMonotonicMs();
    }

    /** Checks the offset between the clocks. Call it before relying on the monotonic clock. */
    check(): void {
        const offsetMs = this.#getWallTimeMs() - this.#getMonotonicMs();
        const jumpMs = offsetMs - this.#offsetMs;
        this.#offsetMs = offsetMs;
        if (Math.abs(jumpMs) > JUMP_THRESHOLD_MS) {
            this.#onJump();
        }
    }
}
