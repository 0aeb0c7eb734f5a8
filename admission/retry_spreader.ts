/**
 * Computes the `Retry-After` of refused submissions of one queue, spread so that the callers don't
 * all return together.
 *
 * @example
 * ```ts
 * import { RetrySpreader } from "./retry_spreader.ts";
 * const spreader = new RetrySpreader();
 * spreader.recordAdmission(job, now);
 * spreader.recordRefusal(otherJob, 2_500, now); // 3_000 or 4_000, by the job's id
 * ```
 *
 * @module
 */

import { computeHash } from "../hashing/mod.ts";
import type { JobId } from "../job/mod.ts";

/** The shortest `Retry-After`, in s. */
const MIN_RETRY_AFTER_S = 1;
/** The longest `Retry-After`, in s: a caller that waits longer would miss a pool that is idle again. */
const MAX_RETRY_AFTER_S = 8;
/** Period over which admitted and refused callers are counted, in s; a retry falls within it. */
const WINDOW_S = MAX_RETRY_AFTER_S;
/**
 * How long a refusal is remembered, in ms: the longest `Retry-After`, and as long again for a caller
 * that returns late.
 */
const MEMORY_MS = 2 * MAX_RETRY_AFTER_S * 1_000;
/** Bounds the remembered refusals of a queue; more than callers in 16 s at ten times today's rate. */
const MAX_REMEMBERED = 20_000;
/** Number of hash values from which the position in the jitter is taken. */
const HASH_RANGE = 2 ** 32;

interface RememberedRefusal {
    readonly refusedAtMs: number;
    readonly retryAfterMs: number;
}

/**
 * Computes a `Retry-After` that depends on nothing but the caller's request, for refusals that say
 * nothing about a queue.
 *
 * @param key Identifies the request; the same each time it is sent.
 * @param spread The shortest result, in ms, and the number of seconds over which they are spread.
 * @returns The `Retry-After` in whole seconds, as ms, if the shortest one is.
 */
export function computeSpreadRetryAfterMs(
    key: string,
    { minMs, seconds }: { readonly minMs: number; readonly seconds: number },
): number {
    return minMs + 1_000 * (computeHash(key) % seconds);
}

/** Spreads the retries of one queue's callers. */
export class RetrySpreader {
    readonly #admitted = new WindowCounter();
    readonly #refused = new WindowCounter();
    /** By time of the last refusal, oldest first. */
    readonly #refusals = new Map<JobId, RememberedRefusal>();
    #firstAtMs: number | undefined;

    /**
     * Records that a job was admitted.
     *
     * @param job The job.
     * @param now The current time, in ms.
     */
    recordAdmission(job: JobId, now: number): void {
        this.#firstAtMs ??= now;
        this.#admitted.add(now);
        this.#refusals.delete(job);
    }

    /**
     * Records that a job was refused.
     *
     * @param job The job.
     * @param delayMs Time until a retry has a chance of success, in ms.
     * @param now The current time, in ms.
     * @returns The `Retry-After` in whole seconds, as ms. A caller that is refused again gets no
     * longer one than before.
     */
    recordRefusal(job: JobId, delayMs: number, now: number): number {
        this.#firstAtMs ??= now;
        this.#removeExpired(now);
        const earlier = this.#refusals.get(job);
        const isCounted = earlier !== undefined && now - earlier.refusedAtMs < WINDOW_S * 1_000;
        if (!isCounted) {
            this.#refused.add(now);
        }
        const computedMs = 1_000 * this.#computeRetryAfterSeconds(job, delayMs, now);
        const retryAfterMs = Math.min(computedMs, earlier?.retryAfterMs ?? computedMs);
        this.#refusals.delete(job);
        this.#refusals.set(job, { refusedAtMs: now, retryAfterMs });
        return retryAfterMs;
    }

    #computeRetryAfterSeconds(job: JobId, delayMs: number, now: number): number {
        const maxJitter = MAX_RETRY_AFTER_S - MIN_RETRY_AFTER_S;
        const servedPerSecond = this.#computeServedPerSecond(now);
        const jitterRange = Math.min(
            maxJitter,
            1 + Math.floor(this.#refused.count(now) / servedPerSecond),
        );
        // Callers are spread over the whole jitter, so a long delay is shortened rather than the
        // jitter: at the longest delay, all callers would return together.
        const delay = Math.min(
            MAX_RETRY_AFTER_S - jitterRange,
            Math.max(MIN_RETRY_AFTER_S, Math.ceil(delayMs / 1_000)),
        );
        const fraction = computeHash(job) / HASH_RANGE;
        return delay + Math.floor(fraction * (jitterRange + 1));
    }

    /** The admitted jobs a second; under overload, the pool serves as many. At least 1. */
    #computeServedPerSecond(now: number): number {
        const observedSeconds = (now - (this.#firstAtMs ?? now)) / 1_000;
        const seconds = Math.min(WINDOW_S, Math.max(1, observedSeconds));
        return Math.max(1, this.#admitted.count(now) / seconds);
    }

    #removeExpired(now: number): void {
        for (const [job, { refusedAtMs }] of this.#refusals) {
            const isExpired = now - refusedAtMs > MEMORY_MS;
            if (!isExpired && this.#refusals.size < MAX_REMEMBERED) {
                return;
            }
            this.#refusals.delete(job);
        }
    }
}

/** Counts events of the last {@link WINDOW_S} seconds, by second. */
class WindowCounter {
    readonly #counts = new Float64Array(WINDOW_S);
    readonly #seconds = new Float64Array(WINDOW_S).fill(Number.NEGATIVE_INFINITY);

    add(now: number): void {
        const second = Math.floor(now / 1_000);
        const slot = ((second % WINDOW_S) + WINDOW_S) % WINDOW_S;
        if (this.#seconds[slot] !== second) {
            this.#seconds[slot] = second;
            this.#counts[slot] = 0;
        }
        this.#counts[slot] = (this.#counts[slot] ?? 0) + 1;
    }

    count(now: number): number {
        const oldest = Math.floor(now / 1_000) - WINDOW_S;
        return this.#counts.reduce(
            (total, count, slot) => total + ((this.#seconds[slot] ?? 0) > oldest ? count : 0),
            0,
        );
    }
}
