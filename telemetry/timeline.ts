/**
 * Merges the JSON log lines of many processes into one time line, ordered by time.
 *
 * @example
 * ```ts
 * import { mergeTimeline } from "./timeline.ts";
 * const lines = mergeTimeline([entryLog, workerLog], { request: "r12" });
 * ```
 *
 * @module
 */

/** One event of the time line. */
export interface TimelineEvent {
    readonly t: number;
    readonly process: string;
    readonly zone: string;
    readonly message: string;
    readonly request?: string;
    readonly [field: string]: unknown;
}

/** Options of {@link mergeTimeline}. */
export interface MergeOptions {
    /** Keep only events of this request. */
    readonly request?: string;
}

/**
 * Parses and merges log texts; lines that are not JSON log events are skipped.
 *
 * @param texts The contents of each process's log.
 * @param options A filter.
 * @returns The events, oldest first (ties keep their process order).
 */
export function mergeTimeline(
    texts: readonly string[],
    options: MergeOptions = {},
): TimelineEvent[] {
    const events: TimelineEvent[] = [];
    for (const text of texts) {
        for (const line of text.split("\n")) {
            const event = parseEvent(line);
            if (
                event !== undefined &&
                (options.request === undefined || event.request === options.request)
            ) {
                events.push(event);
            }
        }
    }
    return events.sort((a, b) => a.t - b.t);
}

/**
 * Formats an event as one readable line.
 *
 * @param event The event.
 * @returns `time process zone [request] message fields`.
 */
export function formatEvent(event: TimelineEvent): string {
    const { t, process, zone, message, request, ...rest } = event;
    const fields = Object.entries(rest)
        .filter(([k]) => k !== "level")
        .map(([k, v]) => `${k}=${typeof v === "string" ? v : JSON.stringify(v)}`)
        .join(" ");
    return `${new Date(t).toISOString()} ${process} ${zone}${request === undefined ? "" : ` [${request}]`} ${message} ${fields}`.trimEnd();
}

function parseEvent(line: string): TimelineEvent | undefined {
    // What collects the lines may put a time or a name before each.
    const start = line.indexOf("{");
    if (start < 0) {
        return undefined;
    }
    try {
        const value = JSON.parse(line.slice(start)) as Partial<TimelineEvent>;
        return typeof value.t === "number" && typeof value.process === "string"
            ? (value as TimelineEvent)
            : undefined;
    } catch {
        return undefined;
    }
}
