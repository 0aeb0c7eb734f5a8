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

/** The message of a line that gathers starts and ends of one step's tasks. */
export const STEP_PROGRESS = "step progress";

/** A unit that was placed. */
export interface PlacedUnit {
    readonly unit: number;
    readonly attempt: number;
    /** Time since the step's turn came, in ms. */
    readonly waitedMs: number;
    readonly workers: readonly string[];
}

/** A task that was done. */
export interface EndedTask {
    readonly task: string;
    readonly attempt: number;
    readonly worker: string;
    /** Time since its worker took the order, in ms. */
    readonly tookMs: number;
}

/** How long before its line something happened. */
interface RelativeTime {
    readonly agoMs: number;
}

/** A line of {@link STEP_PROGRESS}. */
interface StepProgressEvent extends TimelineEvent {
    readonly step: string;
    readonly placed?: readonly (PlacedUnit & RelativeTime)[];
    readonly ended?: readonly (EndedTask & RelativeTime)[];
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
                events.push(...decodeStepProgress(event));
            }
        }
    }
    return events.sort((a, b) => a.t - b.t);
}

/**
 * Gathers the events of each request.
 *
 * @param events The merged events.
 * @returns Each request's events, in their order.
 */
export function collectByRequest(events: readonly TimelineEvent[]): Map<string, TimelineEvent[]> {
    const byRequest = new Map<string, TimelineEvent[]>();
    for (const event of events) {
        if (event.request !== undefined) {
            const requestEvents = byRequest.get(event.request) ?? [];
            requestEvents.push(event);
            byRequest.set(event.request, requestEvents);
        }
    }
    return byRequest;
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

/** Gives what a gathered line tells as events of their own, each at its own time. */
function decodeStepProgress(event: TimelineEvent): TimelineEvent[] {
    if (event.message !== STEP_PROGRESS) {
        return [event];
    }
    const { placed = [], ended = [], ...shared } = event as StepProgressEvent;
    const { step, ...common } = shared;
    return [
        ...placed.map(({ agoMs, ...row }) => ({
            ...common,
            ...row,
            step,
            t: event.t - agoMs,
            message: "attempt placed",
        })),
        ...ended.map(({ agoMs, ...row }) => ({
            ...common,
            ...row,
            how: "done",
            t: event.t - agoMs,
            message: "task ended",
        })),
    ];
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
