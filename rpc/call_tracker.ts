/**
 * Tracks the calls that a process is handling, by method, so that a log line can show what waits
 * and for how long.
 *
 * @example
 * ```ts
 * import { CallTracker } from "./call_tracker.ts";
 * const tracker = new CallTracker();
 * await tracker.run("control.callers", () => handleCaller(call));
 * tracker.takeSummary(); // { "control.callers": { ended: 1, failed: 0, ... } }
 * ```
 *
 * @module
 */

/** The calls of one method since the last summary. */
export interface CallSummary {
    /** Calls that ended, failed ones included. */
    readonly ended: number;
    readonly failed: number;
    /** The longest duration of an ended call, in ms. */
    readonly maxMs: number;
    /** Calls in progress. */
    readonly waiting: number;
    /** The age of the oldest call in progress, in ms; 0 if there is none. */
    readonly oldestMs: number;
}

interface MethodCalls {
    readonly startedAtMs: Set<{ readonly atMs: number }>;
    ended: number;
    failed: number;
    maxMs: number;
}

/** Tracks calls by method. */
export class CallTracker {
    readonly #getNow: () => number;
    readonly #methods = new Map<string, MethodCalls>();

    /**
     * @param getNow Returns the time of a monotonic clock, in ms.
     */
    constructor(getNow: () => number = () => performance.now()) {
        this.#getNow = getNow;
    }

    /**
     * Runs a call and tracks it until it ends.
     *
     * @param method The method's name.
     * @param handle Handles the call.
     * @returns The result of the call.
     */
    async run<T>(method: string, handle: () => T | Promise<T>): Promise<T> {
        const calls = this.#getMethod(method);
        const call = { atMs: this.#getNow() };
        calls.startedAtMs.add(call);
        try {
            return await handle();
        } catch (error) {
            calls.failed += 1;
            throw error;
        } finally {
            calls.startedAtMs.delete(call);
            calls.ended += 1;
            calls.maxMs = Math.max(calls.maxMs, this.#getNow() - call.atMs);
        }
    }

    /**
     * Summarizes the calls since the last summary and starts a new period.
     *
     * @returns The summaries by method, without methods that had no calls.
     */
    takeSummary(): Record<string, CallSummary> {
        const now = this.#getNow();
        const summary: Record<string, CallSummary> = {};
        for (const [method, calls] of this.#methods) {
            // A set keeps the order of insertion, so the oldest call comes first.
            const [oldest] = calls.startedAtMs;
            if (calls.ended > 0 || oldest !== undefined) {
                summary[method] = {
                    ended: calls.ended,
                    failed: calls.failed,
                    maxMs: Math.round(calls.maxMs),
                    waiting: calls.startedAtMs.size,
                    oldestMs: oldest === undefined ? 0 : Math.round(now - oldest.atMs),
                };
            }
            Object.assign(calls, { ended: 0, failed: 0, maxMs: 0 });
        }
        return summary;
    }

    #getMethod(method: string): MethodCalls {
        let calls = this.#methods.get(method);
        if (calls === undefined) {
            calls = { startedAtMs: new Set(), ended: 0, failed: 0, maxMs: 0 };
            this.#methods.set(method, calls);
        }
        return calls;
    }
}
