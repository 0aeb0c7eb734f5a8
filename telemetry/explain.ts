/**
 * Explains one request from the merged logs: its own events, those of the workers and leaders that
 * it depended on, and the likely causes of a delay or failure.
 *
 * @example
 * ```ts
 * import { explainRequest } from "./explain.ts";
 * const explanation = explainRequest(events, "5c0e7a21d94b36f8");
 * ```
 *
 * @module
 */

import type { TimelineEvent } from "./timeline.ts";

/** The events and causes found for a request. */
export interface Explanation {
    /** The request's own events and the related ones of workers and leaders. */
    readonly events: readonly TimelineEvent[];
    /** What delayed the request or made it fail, one phrase each. */
    readonly causes: readonly string[];
}

/** Events that affect all running requests. */
const LEADER_EVENTS: ReadonlySet<string> = new Set(["lead gained", "lead lost", "started"]);
/** Events of a worker that affect the tasks running on it. */
const WORKER_EVENTS: ReadonlySet<string> = new Set([
    "worker silent",
    "worker answers again",
    "worker gone",
    "lease over",
    "worker changed",
]);
/** The wait above which a step counts as delayed; leaves time for placement advice. */
const LONG_WAIT_MS = 1_000;
/** How long before a request's first event related events are included. */
const LOOKBACK_MS = 3_000;

/**
 * Explains a request.
 *
 * @param events The merged events of all processes.
 * @param request The request's id.
 * @returns Its events and the related ones, and the causes found.
 */
export function explainRequest(events: readonly TimelineEvent[], request: string): Explanation {
    const requestEvents = events.filter((event) => isOfRequest(event, request));
    const firstMs = requestEvents[0]?.t ?? 0;
    const lastMs = requestEvents.at(-1)?.t ?? 0;
    const workers = new Set(requestEvents.flatMap((event) => listWorkers(event)));
    const relatedEvents = events.filter(
        (event) =>
            event.t >= firstMs - LOOKBACK_MS &&
            event.t <= lastMs &&
            (LEADER_EVENTS.has(event.message) || isOfWorker(event, workers)),
    );
    const all = [...new Set([...requestEvents, ...relatedEvents])].sort((a, b) => a.t - b.t);
    return {
        events: requestEvents.length === 0 ? [] : all,
        causes: listCauses(requestEvents, relatedEvents),
    };
}

function listCauses(
    requestEvents: readonly TimelineEvent[],
    relatedEvents: readonly TimelineEvent[],
): string[] {
    if (requestEvents.length === 0) {
        return [
            "no process logged this request: it reached no leader, or its log lines were dropped",
        ];
    }
    const causes: string[] = [];
    const hasMessage = (message: string): boolean =>
        requestEvents.some((event) => event.message === message);
    if (hasMessage("no leader for a call") && !hasMessage("job accepted")) {
        causes.push("no leader could be reached when it was submitted");
    }
    causes.push(...summarizeAbnormalEnds(requestEvents));
    for (const event of requestEvents) {
        if (event.message === "job failed") {
            causes.push(
                `a task failed too often (limit of its queue: ${String(event["limit"])}) or kept crashing workers`,
            );
        } else if (event.message === "call refused for its key") {
            causes.push(describeKeyRefusal(event));
        } else if (event.message === "job refused") {
            causes.push(`it was refused: ${String(event["problem"])}`);
        } else if (event.message === "cancelled job refused") {
            causes.push("it was cancelled before a submission of it arrived, which was refused");
        } else if (event.message === "step waits for quota") {
            causes.push(
                `step ${String(event["step"])} waited: workspace ${String(event["workspace"])} was at its limit`,
            );
        } else if (event.message === "start refused") {
            causes.push(`a start was refused: ${String(event["reason"])}`);
        } else if (event.message === "start unanswered") {
            causes.push(`a start got no answer from ${String(event["worker"])}`);
        } else if (event.message === "attempt placed" && isLongWait(event)) {
            causes.push(
                `step ${String(event["step"])} waited ${String(event["waitedMs"])} ms for a worker`,
            );
        }
    }
    for (const event of relatedEvents) {
        if (event.message === "lead lost") {
            causes.push(`the leader ${event.process} was lost meanwhile`);
        } else if (event.message === "worker gone" || event.message === "lease over") {
            causes.push(`${event.message}: ${String(event["worker"])}`);
        }
    }
    return [...new Set(causes)];
}

function describeKeyRefusal(event: TimelineEvent): string {
    return event["cause"] === "keyMissing"
        ? "a call was refused: an instance of an earlier release forwarded it without its key"
        : "a call was refused: no workspace of the configuration holds its key";
}

/** Counts the task ends other than `done`, by kind. */
function summarizeAbnormalEnds(requestEvents: readonly TimelineEvent[]): string[] {
    const counts = new Map<string, number>();
    for (const event of requestEvents) {
        const outcome = event.message === "task ended" ? String(event["how"]) : "done";
        if (outcome !== "done") {
            counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
        }
    }
    return [...counts].map(([outcome, count]) => `${count} task run(s) ended as ${outcome}`);
}

function isLongWait(event: TimelineEvent): boolean {
    return Number(event["waitedMs"]) > LONG_WAIT_MS;
}

function isOfRequest(event: TimelineEvent, request: string): boolean {
    return event.request === request || String(event["path"] ?? "").endsWith(`/${request}`);
}

function isOfWorker(event: TimelineEvent, workers: ReadonlySet<string>): boolean {
    return WORKER_EVENTS.has(event.message) && workers.has(String(event["worker"]));
}

function listWorkers(event: TimelineEvent): string[] {
    const listed = Array.isArray(event["workers"]) ? (event["workers"] as string[]) : [];
    return typeof event["worker"] === "string" ? [...listed, event["worker"]] : listed;
}
