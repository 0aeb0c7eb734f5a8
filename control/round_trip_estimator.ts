/**
 * Estimates the retransmission timeout of orders from recent round-trip times, so that a lost order
 * is retried quickly while a loaded leader doesn't send duplicates.
 *
 * @example
 * ```ts
 * import { RoundTripEstimator } from "./round_trip_estimator.ts";
 * const estimator = new RoundTripEstimator();
 * estimator.record(4);
 * estimator.computeTimeoutMs(0); // 120
 * ```
 *
 * @module
 */

/** Weights of a new sample in the mean and in the deviation, as in RFC 6298. */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;
/** The timeout is the mean plus this many mean deviations. */
const DEVIATION_FACTOR = 4;
/** The lower bound of the timeout, in ms; tolerates short pauses of the event loop. */
const MIN_TIMEOUT_MS = 120;
/**
 * The upper bound of the timeout, in ms. An urgent task's latency objective leaves little more for
 * all its tries.
 */
const MAX_TIMEOUT_MS = 400;

/** Estimates round-trip times with a moving average. */
export class RoundTripEstimator {
    #meanMs: number | undefined;
    #deviationMs = 0;

    /**
     * Records a round-trip time.
     *
     * @param roundTripMs The time between an order and its answer, in ms.
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
     * @param previousTries How often the order was sent before; each retry doubles the timeout.
     * @returns The timeout in ms; the upper bound while there is no sample.
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
