/**
 * A log line for what may happen hundreds of times a second: one a second at most, with the count.
 *
 * @example
 * ```ts
 * import { CountedLog } from "./rate_limited_log.ts";
 * const lapses = new CountedLog((fields) => log.warn("lease lapsed for calls", fields));
 * lapses.add();
 * ```
 *
 * @module
 */

/** Time between two lines, in ms: short enough to place them beside other lines of an outage. */
const REPORT_INTERVAL_MS = 1_000;

/** What a line tells: how many there were, and what is known of the last one. */
export interface RateLimitedFields {
    readonly count: number;
    readonly [field: string]: unknown;
}

/** Counts events and reports them. */
export class RateLimitedLog {
    readonly #report: (fields: RateLimitedFields) => void;
    readonly #getNow: () => number;
    #count = 0;
    #reportedAtMs = Number.NEGATIVE_INFINITY;

    /**
     * @param report Writes the line.
     * @param getNow A clock that never goes back, in ms.
     */
    constructor(
        report: (fields: RateLimitedFields) => void,
        getNow: () => number = () => performance.now(),
    ) {
        this.#report = report;
        this.#getNow = getNow;
    }

    /**
     * Counts an event; the first one after a quiet time is reported at once.
     *
     * @param fields What is known of it.
     */
    add(fields: Readonly<Record<string, unknown>> = {}): void {
        this.#count += 1;
        const now = this.#getNow();
        if (now - this.#reportedAtMs >= REPORT_INTERVAL_MS) {
            this.#reportedAtMs = now;
            this.#report({ ...fields, count: this.#count });
            this.#count = 0;
        }
    }
}
