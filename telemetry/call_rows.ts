/**
 * Tabulates from the merged logs how many calls of each kind the fronts answered, late, refused or
 * failed in each time span.
 *
 * @example
 * ```ts
 * import { formatCallRows, listCallRows } from "./call_rows.ts";
 * console.log(formatCallRows(listCallRows(events)));
 * ```
 *
 * @module
 */

import type { TimelineEvent } from "./timeline.ts";

/** The message of a front's line with the counts of its calls. */
export const CALLS_ANSWERED_MESSAGE = "calls answered";
const CONFIGURATION_ACKNOWLEDGED_MESSAGE = "configuration acknowledged";

/** Outcomes of calls. */
export interface CallCounts {
    answered: number;
    /** Answered, but after more than a second. */
    late: number;
    /** Refused as not executed, also because no leader was reached. */
    refused: number;
    /** Without a known outcome. */
    failed: number;
}

/** The calls of one kind in one time span. */
export interface CallRow extends Readonly<CallCounts> {
    /** In ms since the Unix epoch. */
    readonly spanStartMs: number;
    readonly call: string;
}

const DEFAULT_SPAN_MS = 1_000;

/**
 * Adds up the calls of each kind per time span.
 *
 * @param events The merged events of all processes.
 * @param options The length of a span, in ms; 1 s by default.
 * @returns The rows, oldest first, then by kind.
 */
export function listCallRows(
    events: readonly TimelineEvent[],
    options: { readonly spanMs?: number } = {},
): CallRow[] {
    const spanMs = options.spanMs ?? DEFAULT_SPAN_MS;
    const rows = new Map<string, CallRow>();
    for (const event of events) {
        const spanStartMs = Math.floor(event.t / spanMs) * spanMs;
        for (const [call, counts] of Object.entries(decodeCounts(event))) {
            const key = `${spanStartMs} ${call}`;
            const row = rows.get(key);
            rows.set(key, {
                spanStartMs,
                call,
                answered: (row?.answered ?? 0) + counts.answered,
                late: (row?.late ?? 0) + counts.late,
                refused: (row?.refused ?? 0) + counts.refused,
                failed: (row?.failed ?? 0) + counts.failed,
            });
        }
    }
    return [...rows.values()].sort(
        (a, b) => a.spanStartMs - b.spanStartMs || (a.call < b.call ? -1 : 1),
    );
}

/**
 * Formats rows as a table.
 *
 * @param rows The rows of {@link listCallRows}.
 * @returns The table, one line per row.
 */
export function formatCallRows(rows: readonly CallRow[]): string {
    const firstSpanStartMs = rows[0]?.spanStartMs ?? 0;
    const lines = rows.map((row) => {
        const offsetSeconds = ((row.spanStartMs - firstSpanStartMs) / 1_000).toFixed(1).padStart(7);
        const counts = [row.answered, row.late, row.refused, row.failed]
            .map((count) => String(count).padStart(8))
            .join(" ");
        return `${offsetSeconds} s ${row.call.padEnd(13)} ${counts}`;
    });
    return ["   from   call          answered     late  refused   failed", ...lines].join("\n");
}

function decodeCounts(event: TimelineEvent): Readonly<Record<string, Readonly<CallCounts>>> {
    if (event.message === CALLS_ANSWERED_MESSAGE) {
        return event["calls"] as Record<string, CallCounts>;
    }
    if (event.message === CONFIGURATION_ACKNOWLEDGED_MESSAGE) {
        return { configuration: { answered: 1, late: 0, refused: 0, failed: 0 } };
    }
    const isFailedConfiguration =
        event.message === "control call failed" && event["method"] === "PUT" && isConfigPath(event);
    return isFailedConfiguration
        ? { configuration: { answered: 0, late: 0, refused: 0, failed: 1 } }
        : {};
}

/** A worker's path has an id behind its prefix; the configuration's path has none. */
function isConfigPath(event: TimelineEvent): boolean {
    return String(event["path"]).endsWith("/config");
}
