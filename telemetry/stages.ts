/**
 * Where the time of jobs goes, stage by stage, for each queue: from the merged logs, with percentiles
 * and a plot. `causes.ts` says why single requests were late; this says which stage a whole kind of work
 * waits in.
 *
 * @example
 * ```ts
 * import { formatStages, listStageRows } from "./stages.ts";
 * console.log(formatStages(listStageRows(events, { spanMs: 4_000 })));
 * ```
 *
 * @module
 */

import { listByRequest, type TimelineEvent } from "./timeline.ts";

/** The stages of a job's first step and its end, in order. */
export const STAGES = [
    /** Accepted until its first call for advice is made: the wait for a lane. */
    "asked",
    /** Until the answer to that call. */
    "advised",
    /** Until its first task is placed. */
    "placed",
    /** Until the last task of the first step is placed, for the first time. */
    "all placed",
    /** Until a worker took the first order. */
    "running",
    /** Until the job is complete. */
    "complete",
] as const;

/** A stage's name. */
export type Stage = (typeof STAGES)[number];

/** The times of one queue's jobs that were accepted in one span. */
export interface StageRow {
    readonly queue: string;
    /** Start of the span, in ms since 1970; the first event when there are no spans. */
    readonly since: number;
    readonly jobs: number;
    /** Ms since the job was accepted, ascending. */
    readonly times: ReadonlyMap<Stage, readonly number[]>;
}

/** Options of {@link listStageRows}. */
export interface StageOptions {
    /** Length of a span, in ms; one span over all by default. */
    readonly spanMs?: number;
}

interface GrowingRow extends StageRow {
    jobs: number;
    readonly times: Map<Stage, number[]>;
}

const PERCENTILES = [50, 95, 99];
/** The longest bar of the plot, in characters. */
const BAR_LENGTH = 40;

/**
 * Gathers the times at which jobs reached each stage.
 *
 * @param events The merged events of every process.
 * @param options The spans.
 * @returns One row a queue and span, by queue, oldest first.
 */
export function listStageRows(
    events: readonly TimelineEvent[],
    options: StageOptions = {},
): StageRow[] {
    const rows = new Map<string, GrowingRow>();
    const first = events[0]?.t ?? 0;
    for (const own of listByRequest(events).values()) {
        const accepted = own.find(({ message }) => message === "job accepted");
        if (accepted === undefined) {
            continue;
        }
        const queue = String(accepted["queue"]);
        const since = computeSince(accepted.t, first, options.spanMs);
        const key = `${queue} ${since}`;
        const row: GrowingRow = rows.get(key) ?? { queue, since, jobs: 0, times: new Map() };
        rows.set(key, row);
        row.jobs += 1;
        for (const [stage, at] of listStageTimes(own)) {
            const times = row.times.get(stage) ?? [];
            times.push(at - accepted.t);
            row.times.set(stage, times);
        }
    }
    for (const row of rows.values()) {
        row.times.forEach((times) => times.sort((a, b) => a - b));
    }
    return [...rows.values()].sort((a, b) => a.queue.localeCompare(b.queue) || a.since - b.since);
}

/**
 * Formats the rows: for each stage how many jobs reached it, the percentiles, and a bar for the median.
 *
 * @param rows The rows.
 * @returns Lines of text.
 */
export function formatStages(rows: readonly StageRow[]): string {
    const first = Math.min(...rows.map(({ since }) => since));
    const medians = rows.flatMap(({ times }) => [...times.values()].map((t) => getAt(t, 50)));
    const most = Math.max(1, ...medians);
    const lines = rows.flatMap((row) => [
        `${row.queue}: ${row.jobs} jobs accepted from ${((row.since - first) / 1_000).toFixed(1)} s`,
        ...STAGES.flatMap((stage) => formatStage(stage, row.times.get(stage), most)),
    ]);
    const titles = PERCENTILES.map((p) => `p${p}`.padStart(7)).join("");
    return [`${"ms since accepted".padEnd(20)}${"jobs".padStart(6)}${titles}`, ...lines].join("\n");
}

function formatStage(stage: Stage, times: readonly number[] | undefined, most: number): string[] {
    if (times === undefined) {
        return [];
    }
    const values = PERCENTILES.map((p) => String(getAt(times, p)).padStart(7)).join("");
    const bar = "#".repeat(Math.ceil((getAt(times, 50) * BAR_LENGTH) / most));
    return [`  ${stage.padEnd(18)}${String(times.length).padStart(6)}${values}  ${bar}`.trimEnd()];
}

function computeSince(t: number, first: number, spanMs: number | undefined): number {
    return spanMs === undefined ? first : first + Math.floor((t - first) / spanMs) * spanMs;
}

/** When a job reached each stage, as far as its lines tell; in ms since 1970. */
function listStageTimes(own: readonly TimelineEvent[]): Map<Stage, number> {
    const times = new Map<Stage, number>();
    const advised = own.find(({ message }) => message === "advice received");
    if (advised !== undefined) {
        times.set("asked", advised.t - Number(advised["tookMs"] ?? 0));
        times.set("advised", advised.t);
    }
    const placed = own.filter(({ message }) => message === "attempt placed");
    const step = placed[0]?.["step"];
    const firstTries = placed.filter((event) => event["step"] === step && event["attempt"] === 1);
    setFirst(times, "placed", placed);
    const last = firstTries.at(-1);
    if (last !== undefined) {
        times.set("all placed", last.t);
    }
    const starts = own
        .filter(({ message, how }) => message === "task ended" && how === "done")
        .map(({ t, tookMs }) => t - Number(tookMs));
    if (starts.length > 0) {
        times.set("running", Math.min(...starts));
    }
    setFirst(
        times,
        "complete",
        own.filter(({ message }) => message === "job complete"),
    );
    return times;
}

function setFirst(times: Map<Stage, number>, stage: Stage, events: readonly TimelineEvent[]): void {
    const first = events[0];
    if (first !== undefined) {
        times.set(stage, first.t);
    }
}

/** The nearest-rank percentile of ascending values. */
function getAt(sorted: readonly number[], percentile: number): number {
    const rank = Math.max(1, Math.ceil((percentile / 100) * sorted.length));
    return Math.round(sorted[rank - 1] ?? 0);
}
