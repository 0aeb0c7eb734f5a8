/**
 * Tabulates from the merged logs how many requests were accepted in each time span, how many of
 * them were delayed or failed, and why.
 *
 * @example
 * ```ts
 * import { formatCauses, listCauseRows } from "./causes.ts";
 * console.log(formatCauses(listCauseRows(events)));
 * ```
 *
 * @module
 */

import { collectByRequest, type TimelineEvent } from "./timeline.ts";

/** Why a request was delayed or failed; the first cause that applies is counted. */
export type DelayCause =
    /** A task used up the attempts that its queue allows, or kept crashing workers. */
    | "failed"
    /** A worker was lost, or its lease expired. */
    | "worker lost"
    /** A start order was not answered, or was refused. */
    | "order lost"
    /** A task failed and was retried. */
    | "repeated"
    /** A step waited because its workspace was at its limit. */
    | "quota"
    /** A step waited for a worker or for placement advice. */
    | "waited"
    /** A task took more than twice the median of its step, or its end was noticed late. */
    | "straggler"
    /** The leader changed while the request ran. */
    | "leader"
    /** No other cause applies. */
    | "other";

/** The requests accepted in one time span. */
export interface CauseRow {
    /** In ms since the Unix epoch. */
    readonly spanStartMs: number;
    readonly accepted: number;
    /** Number of delayed or failed requests, by cause. */
    readonly causes: ReadonlyMap<DelayCause, number>;
}

/** Options of {@link listCauseRows}. */
export interface CauseOptions {
    /** Length of a span, in ms; 2 s by default. */
    readonly spanMs?: number;
}

const DEFAULT_SPAN_MS = 2_000;
/** The least delay that counts, as a share of the time that the tasks took. */
const MIN_DELAY_RATIO = 0.5;
/** The least delay that counts, for short requests. */
const MIN_DELAY_MS = 500;
/** The wait above which a step counts as delayed; leaves time for placement advice. */
const LONG_WAIT_MS = 1_000;
/** The multiple of its step's median duration above which a task is a straggler. */
const STRAGGLER_FACTOR = 2;
/** In characters. */
const MAX_BAR_LENGTH = 40;

/**
 * Counts the accepted requests of each time span, and the causes of delays and failures.
 *
 * @param events The merged events of all processes.
 * @param options The length of a span.
 * @returns One row for each span with accepted requests, oldest first.
 */
export function listCauseRows(
    events: readonly TimelineEvent[],
    options: CauseOptions = {},
): CauseRow[] {
    const spanMs = options.spanMs ?? DEFAULT_SPAN_MS;
    const leaderChangesMs = events
        .filter(({ message }) => message === "lead gained")
        .map(({ t }) => t);
    const rows = new Map<number, { accepted: number; causes: Map<DelayCause, number> }>();
    for (const requestEvents of collectByRequest(events).values()) {
        const accepted = requestEvents.find(({ message }) => message === "job accepted");
        if (accepted === undefined) {
            continue;
        }
        const spanStartMs = Math.floor(accepted.t / spanMs) * spanMs;
        const row = rows.get(spanStartMs) ?? { accepted: 0, causes: new Map<DelayCause, number>() };
        rows.set(spanStartMs, row);
        row.accepted += 1;
        const cause = findCause(requestEvents, accepted.t, leaderChangesMs);
        if (cause !== undefined) {
            row.causes.set(cause, (row.causes.get(cause) ?? 0) + 1);
        }
    }
    return [...rows]
        .sort(([a], [b]) => a - b)
        .map(([spanStartMs, { accepted, causes }]) => ({ spanStartMs, accepted, causes }));
}

/**
 * Formats rows as a table with a bar chart of the delayed and failed requests.
 *
 * @param rows The rows of {@link listCauseRows}.
 * @returns The table, one line per row.
 */
export function formatCauses(rows: readonly CauseRow[]): string {
    const firstSpanStartMs = rows[0]?.spanStartMs ?? 0;
    const maxDelayed = Math.max(1, ...rows.map((row) => countDelayed(row)));
    const lines = rows.map((row) => {
        const delayed = countDelayed(row);
        const bar = "#".repeat(Math.ceil((delayed * MAX_BAR_LENGTH) / maxDelayed));
        const causes = [...row.causes]
            .sort(([, a], [, b]) => b - a)
            .map(([cause, count]) => `${cause} ${count}`)
            .join(", ");
        const offsetSeconds = ((row.spanStartMs - firstSpanStartMs) / 1_000).toFixed(1).padStart(7);
        const counts = `${String(row.accepted).padStart(6)} ${String(delayed).padStart(7)}`;
        return `${offsetSeconds} s ${counts}  ${bar.padEnd(MAX_BAR_LENGTH)}  ${causes}`.trimEnd();
    });
    return ["   from  accepted delayed", ...lines].join("\n");
}

/** Returns `undefined` for a request that was cancelled, is still running, or was not delayed. */
function findCause(
    requestEvents: readonly TimelineEvent[],
    acceptedAtMs: number,
    leaderChangesMs: readonly number[],
): DelayCause | undefined {
    const hasMessage = (message: string): boolean =>
        requestEvents.some((event) => event.message === message);
    if (hasMessage("job failed")) {
        return "failed";
    }
    const completedAtMs = requestEvents.find(({ message }) => message === "job complete")?.t;
    if (completedAtMs === undefined) {
        return undefined;
    }
    const durationsByStep = listStepDurations(requestEvents);
    const workMs = durationsByStep.reduce(
        (sum, durationsMs) => sum + computeMedian(durationsMs),
        0,
    );
    if (completedAtMs - acceptedAtMs - workMs < Math.max(MIN_DELAY_MS, MIN_DELAY_RATIO * workMs)) {
        return undefined;
    }
    const hasTaskEnd = (...kinds: string[]): boolean =>
        requestEvents.some(
            ({ message, how }) => message === "task ended" && kinds.includes(String(how)),
        );
    if (hasTaskEnd("lost", "lapsed")) {
        return "worker lost";
    }
    if (hasMessage("start unanswered") || hasMessage("start refused")) {
        return "order lost";
    }
    if (hasTaskEnd("failed")) {
        return "repeated";
    }
    if (requestEvents.some((event) => Number(event["waitedMs"]) > LONG_WAIT_MS)) {
        return hasMessage("step waits for quota") ? "quota" : "waited";
    }
    if (durationsByStep.some((durationsMs) => hasStraggler(durationsMs))) {
        return "straggler";
    }
    return leaderChangesMs.some((t) => t >= acceptedAtMs && t <= completedAtMs)
        ? "leader"
        : "other";
}

/** Returns the durations of the completed tasks of each step, in ms. */
function listStepDurations(requestEvents: readonly TimelineEvent[]): number[][] {
    const durationsByStep = new Map<string, number[]>();
    for (const { message, how, task, tookMs } of requestEvents) {
        if (message === "task ended" && how === "done") {
            const name = String(task);
            const step = name.slice(0, name.lastIndexOf("."));
            durationsByStep.set(step, [...(durationsByStep.get(step) ?? []), Number(tookMs)]);
        }
    }
    return [...durationsByStep.values()];
}

function hasStraggler(durationsMs: readonly number[]): boolean {
    return Math.max(...durationsMs) > STRAGGLER_FACTOR * computeMedian(durationsMs);
}

function computeMedian(values: readonly number[]): number {
    const sorted = [...values].sort((a, b) => a - b);
    return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

function countDelayed(row: CauseRow): number {
    return [...row.causes.values()].reduce((sum, count) => sum + count, 0);
}
