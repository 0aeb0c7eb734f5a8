/**
 * Estimates a worker's speed from its tasks' progress relative to their estimates, so that new work
 * can avoid workers that are slow or stalled but still answer.
 *
 * @example
 * ```ts
 * import { WorkerSpeed } from "./worker_speed.ts";
 * const speed = new WorkerSpeed();
 * speed.record(150, 1_000, now); // 150 ms of estimated work done in 1 s
 * speed.computeSpeedRank(now); // 2
 * ```
 *
 * @module
 */

/**
 * Time constant of the exponential decay, in ms. Estimates are off by half and more, so several
 * tasks must agree; slow periods last 5 s and more, so it must not be longer.
 */
const DECAY_MS = 1_500;
/** Minimum task time observed before a worker is ranked, in ms. */
const MIN_OBSERVED_MS = 1_000;
/**
 * Share of the estimated speed below which a worker counts as slow; about twice the error of the
 * estimates.
 */
const SLOW_SPEED = 0.3;
/** Share of the estimated speed below which a worker counts as stalled. */
const STALLED_SPEED = 0.06;
/** Time without progress reports after which a worker's rank is reset, in ms. */
const EXPIRY_MS = 4_000;

/** Exponentially decayed ratio of completed work to elapsed time. */
export class WorkerSpeed {
    #completedMs = 0;
    #elapsedMs = 0;
    #recordedAtMs = Number.NEGATIVE_INFINITY;

    /**
     * Records a task's progress.
     *
     * @param completedMs Work completed, in ms of the task's estimate.
     * @param elapsedMs Time taken, in ms.
     * @param now The current monotonic time, in ms.
     */
    record(completedMs: number, elapsedMs: number, now: number): void {
        const decay = Math.exp(-(now - this.#recordedAtMs) / DECAY_MS);
        this.#completedMs = this.#completedMs * decay + completedMs;
        this.#elapsedMs = this.#elapsedMs * decay + elapsedMs;
        this.#recordedAtMs = now;
    }

    /**
     * Ranks the worker by its speed.
     *
     * @param now The current monotonic time, in ms.
     * @returns 1 for normal speed or too few recent samples, 2 for slow, 3 for stalled.
     */
    computeSpeedRank(now: number): number {
        if (now - this.#recordedAtMs > EXPIRY_MS || this.#elapsedMs < MIN_OBSERVED_MS) {
            return 1;
        }
        const speed = this.#completedMs / this.#elapsedMs;
        if (speed < STALLED_SPEED) {
            return 3;
        }
        return speed < SLOW_SPEED ? 2 : 1;
    }
}
