/**
 * Logs once a second how many calls of each kind a front answered, late, refused or failed, and the
 * connections and calls to other processes that this took.
 *
 * @example
 * ```ts
 * import { CallSummaryLog } from "./call_summary_log.ts";
 * const summaryLog = new CallSummaryLog({ connectionTracker, log });
 * summaryLog.start();
 * summaryLog.recordOutcome("cancel", "cancelled", 12);
 * ```
 *
 * @module
 */

import { interval, type Subscription } from "rxjs";
import type { Logger } from "winston";
import type { CallerCall } from "../control/calls.ts";
import type { ConnectionTracker } from "../rpc/mod.ts";
import { CALLS_ANSWERED_MESSAGE, type CallCounts } from "../telemetry/call_rows.ts";
import type { CallOutcome } from "./call_outcome.ts";

const REPORT_INTERVAL_MS = 1_000;
/** The duration above which an answered call counts as late, in ms. */
const LATE_MS = 1_000;

/** Options of {@link CallSummaryLog}. */
export interface CallSummaryLogOptions {
    readonly connectionTracker: ConnectionTracker;
    readonly log: Logger;
}

/** Counts the outcomes of calls and logs them. */
export class CallSummaryLog {
    readonly #options: CallSummaryLogOptions;
    #counts = new Map<CallerCall["type"], CallCounts>();
    #subscription: Subscription | undefined;

    /**
     * @param options The connections to report and the log.
     */
    constructor(options: CallSummaryLogOptions) {
        this.#options = options;
    }

    /** Starts logging. */
    start(): void {
        this.#subscription = interval(REPORT_INTERVAL_MS).subscribe(() => this.flush());
    }

    /** Logs the last counts and stops. */
    stop(): void {
        this.#subscription?.unsubscribe();
        this.flush();
    }

    /**
     * Counts the outcome of a call.
     *
     * @param call The kind of call.
     * @param outcome Its outcome.
     * @param durationMs How long it took, in ms.
     */
    recordOutcome(
        call: CallerCall["type"],
        outcome: CallOutcome["type"],
        durationMs: number,
    ): void {
        const counts = this.#counts.get(call) ?? { answered: 0, late: 0, refused: 0, failed: 0 };
        counts[classifyOutcome(outcome, durationMs)] += 1;
        this.#counts.set(call, counts);
    }

    /** Logs the counts since the last line, if there were any calls. */
    flush(): void {
        if (this.#counts.size > 0) {
            const { connectionTracker, log } = this.#options;
            log.info(CALLS_ANSWERED_MESSAGE, {
                calls: Object.fromEntries(this.#counts),
                connections: connectionTracker.takeSummary(),
            });
            this.#counts = new Map();
        }
    }
}

function classifyOutcome(outcome: CallOutcome["type"], durationMs: number): keyof CallCounts {
    switch (outcome) {
        case "unknown":
            return "failed";
        case "unreached":
        case "refused":
            return "refused";
        default:
            return durationMs > LATE_MS ? "late" : "answered";
    }
}
