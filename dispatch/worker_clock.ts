/**
 * Estimates a worker's monotonic clock, on which its leases are measured.
 *
 * @example
 * ```ts
 * import { WorkerClock } from "./worker_clock.ts";
 * const clock = new WorkerClock();
 * clock.record(482_113, now);
 * const isOver = (clock.computeEarliest(now + 6_000) ?? 0) > leaseEndWorkerMs;
 * ```
 *
 * @module
 */

/** Maximum rate by which the worker API allows a worker's clock to run slower than the leader's. */
const MAX_CLOCK_DRIFT = 0.02;
/** Scales a duration on the slowest allowed clock of a worker to the leader's clock. */
export const SLOWEST_CLOCK_FACTOR = 1 / (1 - MAX_CLOCK_DRIFT);

/** The best sample of a worker's clock. */
export class WorkerClock {
    #clockMs: number | undefined;
    #sampledAtMs = 0;

    /**
     * Records a clock reading from a worker's message.
     *
     * @param clockMs The worker's clock, in ms.
     * @param now When the message arrived, in ms of the leader's clock.
     */
    record(clockMs: number, now: number): void {
        // Keep the sample that yields the later time; a delayed message carries an outdated
        // reading.
        if (clockMs >= (this.computeEarliest(now) ?? Number.NEGATIVE_INFINITY)) {
            this.#clockMs = clockMs;
            this.#sampledAtMs = now;
        }
    }

    /**
     * Computes the earliest time that the worker's clock can show now.
     *
     * @param now The current monotonic time, in ms.
     * @returns The lower bound in ms, or `undefined` before the first sample.
     */
    computeEarliest(now: number): number | undefined {
        if (this.#clockMs === undefined) {
            return undefined;
        }
        return this.#clockMs + (now - this.#sampledAtMs) * (1 - MAX_CLOCK_DRIFT);
    }
}
