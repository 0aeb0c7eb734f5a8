/**
 * Limits the log lines of a frequent event to one a second, each with the number of occurrences.
 *
 * @example
 * ```ts
 * import { RateLimitedLog } from "./rate_limited_log.ts";
 * const refusals = new RateLimitedLog((fields) => log.warn("calls refused", fields));
 * refusals.add();
 * ```
 *
 * @module
 */

/** The shortest time between two lines. */
const REPORT_INTERVAL_MS = 1_000;

/** The fields of a line: those of the last event, and the number of events since the last line. */
export interface RateLimitedFields {
    readonly count: number;
    readonly [field: string]: unknown;
}

/** Counts events and reports them at a limited rate. */
export class RateLimitedLog {
    readonly #report: (fields: RateLimitedFields) => void;
    readonly #getNow: () => number;
    #count = 0;
    #reportedAtMs = Number.NEGATIVE_INFINITY;

    /**
     * @param report Writes a line.
     * @param getNow Returns the time of a monotonic clock, in ms.
     */
    constructor(
        report: (fields: RateLimitedFields) => void,
        getNow: () => number = () => performance.now(),
    ) {
        this.#report = report;
        this.#getNow = getNow;
    }

    /**
     * Counts an event, and reports it unless a line was written within the last second.
     *
     * @param fields The fields that describe the event.
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
