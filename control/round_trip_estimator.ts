/**
 * How long an order may stay unanswered before it is sent again, from how long answers took lately. The pattern: a
 * few of a hundred orders get no answer and are carried out seconds later, or never. Each costs its task the
 * timeout, and a job is done only with its last task; with a fixed 400 ms a job of six tasks that loses one answer
 * is late. Answers come within some ms on a calm leader, and some hundred on one at its limit, where a
 * short fixed timeout would send everything twice.
 *
 * @example
 * ```ts
 * import { RoundTrips } from "./round_trip_estimator.ts";
 * const trips = new RoundTrips();
 * trips.record(4);
 * trips.computeTimeoutMs(1); // 120
 * ```
 *
 * @module
 */

/** Weight of a new answer in the mean and in the deviation, as for TCP's retransmission timeout (RFC 6298). */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;
/** The timeout is the mean and so many deviations. */
const DEVIATION_FACTOR = 4;
/** Never shorter than this, in ms: a pause of either side's event loop is no loss. */
const MIN_TIMEOUT_MS = 120;
/** Never longer than this, in ms: an urgent task's objective leaves little more for all its tries. */
const MAX_TIMEOUT_MS = 400;

/** A running estimate of how long answers take. */
export class RoundTripEstimator {
    #meanMs: number | undefined;
    #deviationMs = 0;

    /**
     * Records how long an answer took.
     *
     * @param roundTripMs The time, in ms.
     */
    record(roundTripMs: number): void {
        if (this.#meanMs === undefined) {
            this.#meanMs = roundTripMs;
            this.#deviationMs = roundTripMs / 2;
            return;
        }
        const deviationMs = Math.abs(roundTripMs - this.#meanMs);
        this.#deviationMs += DEVIATION_WEIGHT * (deviationMs - this.#deviationMs);
        this.#meanMs += MEAN_WEIGHT * (roundTripMs - this.#meanMs);
    }

    /**
     * Computes how long to wait for an answer.
     *
     * @param previousTries How often the order was sent before; each try waits twice as long as the one before.
     * @returns Ms; the longest timeout while no answer was seen yet.
     */
    computeTimeoutMs(previousTries: number): number {
        if (this.#meanMs === undefined) {
            return MAX_TIMEOUT_MS;
        }
        const firstTimeoutMs = Math.max(
            MIN_TIMEOUT_MS,
            this.#meanMs + DEVIATION_FACTOR * this.#deviationMs,
        );
        return Math.ceil(Math.min(MAX_TIMEOUT_MS, firstTimeoutMs * 2 ** previousTries));
    }
}
