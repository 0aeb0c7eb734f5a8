/**
 * How fast a worker does its work, told by its tasks' progress against their estimates. The
 * pattern: some workers turn several times slower for seconds, or their tasks stand still, while
 * they answer every order. New work that goes there is late; work that goes elsewhere is not.
 *
 * @example
 * ```ts
 * import { WorkerSpeed } from "./worker_speed.ts";
 * const speed = new WorkerSpeed();
 * speed.record(150, 1_000, now); // 150 ms of estimated work done in 1 s
 * speed.computeSlowness(now); // 2
 * ```
 *
 * @module
 */

/**
 * Time constant of the figure, in ms: estimates are off by half and more each way, so several
 * tasks must agree; slow spells last 5 s and more, so it must not take longer.
 */
const DECAY_MS = 1_500;
/** Work observed before the figure counts, in ms of tasks' time. */
const MIN_OBSERVED_MS = 1_000;
/** Below this share of the estimated speed a worker counts as slow: twice the estimates' error. */
const SLOW_SPEED = 0.3;
/** Below this share its tasks stand still. */
const STALLED_SPEED = 0.06;
/** Without new progress reports the figure is forgotten after this, in ms: the worker is tried again. */
const EXPIRY_MS = 4_000;

/** A decayed sum of work done over time taken. */
export class WorkerSpeed {
    #completedMs = 0;
    #elapsedMs = 0;
    #recordedAt = Number.NEGATIVE_INFINITY;

    /**
     * Records a task's progress.
     *
     * @param completedMs Work done, in ms of its estimate.
     * @param elapsedMs The time that it took, in ms.
     * @param now Our clock, in ms.
     */
    record(completedMs: number, elapsedMs: number, now: number): void {
        const decay = Math.exp(-(now - this.#recordedAt) / DECAY_MS);
        this.#completedMs = this.#completedMs * decay + completedMs;
        this.#elapsedMs = this.#elapsedMs * decay + elapsedMs;
        this.#recordedAt = now;
    }

    /**
     * Ranks the worker among others.
     *
     * @param now Our clock, in ms.
     * @returns 1 for the usual speed or when too little is known, 2 for slow, 3 for stalled.
     */
    computeSpeedRank(now: number): number {
        if (now - this.#recordedAt > EXPIRY_MS || this.#elapsedMs < MIN_OBSERVED_MS) {
            return 1;
        }
        const speed = this.#completedMs / this.#elapsedMs;
        if (speed < STALLED_SPEED) {
            return 3;
        }
        return speed < SLOW_SPEED ? 2 : 1;
    }
}
