/**
 * What is known of a worker's own steady clock, on which its leases are counted.
 *
 * @example
 * ```ts
 * import { WorkerClock } from "./worker_clock.ts";
 * const clock = new WorkerClock();
 * clock.record(482_113, now);
 * const isOver = (clock.computeEarliest(now + 6_000) ?? 0) > leaseUntil;
 * ```
 *
 * @module
 */

/** A worker's clock may run this much slower than ours (the workers' contract). */
const MAX_CLOCK_DRIFT = 0.02;

/** Samples of a worker's clock. */
export class WorkerClock {
    #clockMs: number | undefined;
    #sampledAt = 0;

    /**
     * Records what the worker's clock showed before it answered.
     *
     * @param clockMs The worker's clock, in ms.
     * @param now When the answer arrived, in ms of our clock.
     */
    record(clockMs: number, now: number): void {
        // An answer that was long on its way shows an old time; the sample that gives the later
        // clock is the better one.
        if (clockMs >= (this.computeEarliest(now) ?? Number.NEGATIVE_INFINITY)) {
            this.#clockMs = clockMs;
            this.#sampledAt = now;
        }
    }

    /**
     * Computes a time that the worker's clock has reached for certain.
     *
     * @param now Our clock, in ms.
     * @returns The worker's clock at the earliest, or `undefined` before the first sample.
     */
    computeEarliest(now: number): number | undefined {
        if (this.#clockMs === undefined) {
            return undefined;
        }
        return this.#clockMs + (now - this.#sampledAt) * (1 - MAX_CLOCK_DRIFT);
    }
}
