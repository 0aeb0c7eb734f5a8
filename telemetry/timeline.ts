/**
 * Merges the JSON logs of several processes into one timeline, ordered by time.
 *
 * @example
 * ```ts
 * import { mergeTimeline } from "./timeline.ts";
 * const lines = mergeTimeline([entryLog, workerLog], { request: "r12" });
 * ```
 *
 * @module
 */

/** One event of the timeline. */
export interface TimelineEvent {
    /** In ms since the Unix epoch. */
    readonly t: number;
    readonly process: string;
    readonly zone: string;
    readonly message: string;
    readonly request?: string;
    readonly [field: string]: unknown;
}

/** The message of a line that batches task starts and completions of one step. */
export const STEP_PROGRESS_MESSAGE = "step progress";

/** The placement of one unit of a step. */
export interface PlacedUnit {
    readonly unit: number;
    readonly attempt: number;
    /** Time from when the step became ready to the placement, in ms. */
    readonly waitedMs: number;
    readonly workers: readonly string[];
}

/** The completion of a task. */
export interface EndedTask {
    readonly task: string;
    readonly attempt: number;
    readonly worker: string;
    /** Time since the worker accepted the task, in ms. */
    readonly tookMs: number;
}

interface RelativeTime {
    /** Time from the event to the line that reports it, in ms. */
    readonly agoMs: number;
}

/** A line of {@link STEP_PROGRESS_MESSAGE}. */
interface StepProgressEvent extends TimelineEvent {
    readonly step: string;
    readonly placed?: readonly (PlacedUnit & RelativeTime)[];
    readonly ended?: readonly (EndedTask & RelativeTime)[];
}

/** Options of {@link mergeTimeline}. */
export interface MergeOptions {
    /** Keeps only the events of this request. */
    readonly request?: string;
}

/**
 * Parses and merges logs, skipping lines that are not JSON log events.
 *
 * @param texts The contents of each process's log.
 * @param options A filter.
 * @returns The events, oldest first; events of the same time keep the order of the logs.
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
 * Groups events by request.
 *
 * @param events The merged events.
 * @returns The events of each request, in their original order.
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
 * Formats an event as one line of text.
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

/** Expands a step progress line into one event for each placement and completion. */
function decodeStepProgress(event: TimelineEvent): TimelineEvent[] {
    if (event.message !== STEP_PROGRESS_MESSAGE) {
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
    // Log collectors may prefix each line with a time or a name.
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
