/**
 * Logs at short intervals what a control instance does: its role in the group, the voters that
 * answer it, the longest delay of its event loop, its connections and the calls that wait in it.
 *
 * @example
 * ```ts
 * import { StatusReporter } from "./status_reporter.ts";
 * const reporter = new StatusReporter({ tracker, describeGroup, takeLongestDelayMs, log });
 * reporter.start();
 * ```
 *
 * @module
 */

import { interval, type Subscription } from "rxjs";
import type { Logger } from "winston";
import type { CallTracker, ConnectionTracker } from "../rpc/mod.ts";

/** A control instance's view of its group. */
export interface GroupStatus {
    readonly role: string;
    readonly term: number;
    readonly leader: string | undefined;
    readonly voters: number;
    /** Voters that acknowledged this leader lately; 0 on other members. */
    readonly activeVoters: number;
    readonly jobs: number;
    readonly appliedIndex: number;
}

/** Options of {@link StatusReporter}. */
export interface StatusReporterOptions {
    readonly tracker: CallTracker;
    readonly connectionTracker: ConnectionTracker;
    /** Describes the group; `undefined` before this instance has joined it. */
    readonly describeGroup: () => GroupStatus | undefined;
    /** Takes the longest delay of the event loop since the last call, in ms. */
    readonly takeLongestDelayMs?: (() => number) | undefined;
    readonly log: Logger;
}

const REPORT_INTERVAL_MS = 500;

/** Reports the status of one control instance. */
export class StatusReporter {
    readonly #options: StatusReporterOptions;
    #subscription: Subscription | undefined;
    #longestPersistMs = 0;

    /**
     * @param options The sources of the status and the log.
     */
    constructor(options: StatusReporterOptions) {
        this.#options = options;
    }

    /** Starts reporting. */
    start(): void {
        this.#subscription = interval(REPORT_INTERVAL_MS).subscribe(() => this.reportStatus());
    }

    /** Stops reporting. */
    stop(): void {
        this.#subscription?.unsubscribe();
    }

    /**
     * Records that entries were persisted.
     *
     * @param durationMs The duration of the write, in ms.
     */
    recordPersisted(durationMs: number): void {
        this.#longestPersistMs = Math.max(this.#longestPersistMs, durationMs);
    }

    /** Logs the status since the last report. */
    reportStatus(): void {
        const { tracker, connectionTracker, describeGroup, takeLongestDelayMs, log } =
            this.#options;
        const group = describeGroup();
        if (group === undefined) {
            return;
        }
        log.notice("control status", {
            ...group,
            delayMs: Math.round(takeLongestDelayMs?.() ?? 0),
            persistMs: Math.round(this.#longestPersistMs),
            connections: connectionTracker.takeSummary(),
            calls: tracker.takeSummary(),
        });
        this.#longestPersistMs = 0;
    }
}
