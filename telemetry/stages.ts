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

import { collectByRequest, type TimelineEvent } from "./timeline.ts";

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
    readonly spanStartMs: number;
    readonly jobs: number;
    /** Ms since the job was accepted, ascending. */
    readonly latenciesMs: ReadonlyMap<Stage, readonly number[]>;
}

/** Options of {@link listStageRows}. */
export interface StageOptions {
    /** Length of a span, in ms; one span over all by default. */
    readonly spanMs?: number;
}

interface MutableStageRow extends StageRow {
    jobs: number;
    readonly latenciesMs: Map<Stage, number[]>;
}

const PERCENTILES = [50, 95, 99];
/** The longest bar of the plot, in characters. */
const MAX_BAR_LENGTH = 40;

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
    const rows = new Map<string, MutableStageRow>();
    const firstMs = events[0]?.t ?? 0;
    for (const requestEvents of collectByRequest(events).values()) {
        const accepted = requestEvents.find(({ message }) => message === "job accepted");
        if (accepted === undefined) {
            continue;
        }
        const queue = String(accepted["queue"]);
        const spanStartMs = computeSpanStart(accepted.t, firstMs, options.spanMs);
        const key = `${queue} ${spanStartMs}`;
        const row: MutableStageRow = rows.get(key) ?? {
            queue,
            spanStartMs,
            jobs: 0,
            latenciesMs: new Map(),
        };
        rows.set(key, row);
        row.jobs += 1;
        for (const [stage, at] of listStageTimes(requestEvents)) {
            const latenciesMs = row.latenciesMs.get(stage) ?? [];
            latenciesMs.push(at - accepted.t);
            row.latenciesMs.set(stage, latenciesMs);
        }
    }
    for (const row of rows.values()) {
        row.latenciesMs.forEach((latenciesMs) => latenciesMs.sort((a, b) => a - b));
    }
    return [...rows.values()].sort(
        (a, b) => a.queue.localeCompare(b.queue) || a.spanStartMs - b.spanStartMs,
    );
}

/**
 * Formats the rows: for each stage how many jobs reached it, the percentiles, and a bar for the median.
 *
 * @param rows The rows.
 * @returns Lines of text.
 */
export function formatStages(rows: readonly StageRow[]): string {
    const firstSpanStartMs = Math.min(...rows.map(({ spanStartMs }) => spanStartMs));
    const medians = rows.flatMap(({ latenciesMs }) =>
        [...latenciesMs.values()].map((t) => computePercentile(t, 50)),
    );
    const maxMedianMs = Math.max(1, ...medians);
    const lines = rows.flatMap((row) => [
        `${row.queue}: ${row.jobs} jobs accepted from ${((row.spanStartMs - firstSpanStartMs) / 1_000).toFixed(1)} s`,
        ...STAGES.flatMap((stage) => formatStage(stage, row.latenciesMs.get(stage), maxMedianMs)),
    ]);
    const titles = PERCENTILES.map((p) => `p${p}`.padStart(7)).join("");
    return [`${"ms since accepted".padEnd(20)}${"jobs".padStart(6)}${titles}`, ...lines].join("\n");
}

function formatStage(
    stage: Stage,
    latenciesMs: readonly number[] | undefined,
    maxMedianMs: number,
): string[] {
    if (latenciesMs === undefined) {
        return [];
    }
    const values = PERCENTILES.map((p) =>
        String(computePercentile(latenciesMs, p)).padStart(7),
    ).join("");
    const bar = "#".repeat(
        Math.ceil((computePercentile(latenciesMs, 50) * MAX_BAR_LENGTH) / maxMedianMs),
    );
    return [
        `  ${stage.padEnd(18)}${String(latenciesMs.length).padStart(6)}${values}  ${bar}`.trimEnd(),
    ];
}

function computeSpanStart(t: number, firstMs: number, spanMs: number | undefined): number {
    return spanMs === undefined ? firstMs : firstMs + Math.floor((t - firstMs) / spanMs) * spanMs;
}

/** When a job reached each stage, as far as its lines tell; in ms since 1970. */
function listStageTimes(requestEvents: readonly TimelineEvent[]): Map<Stage, number> {
    const times = new Map<Stage, number>();
    const advised = requestEvents.find(({ message }) => message === "advice received");
    if (advised !== undefined) {
        times.set("asked", advised.t - Number(advised["tookMs"] ?? 0));
        times.set("advised", advised.t);
    }
    const placed = requestEvents.filter(({ message }) => message === "attempt placed");
    const step = placed[0]?.["step"];
    const firstAttempts = placed.filter(
        (event) => event["step"] === step && event["attempt"] === 1,
    );
    setFirstTime(times, "placed", placed);
    const lastPlacement = firstAttempts.at(-1);
    if (lastPlacement !== undefined) {
        times.set("all placed", lastPlacement.t);
    }
    const startTimesMs = requestEvents
        .filter(({ message, how }) => message === "task ended" && how === "done")
        .map(({ t, tookMs }) => t - Number(tookMs));
    if (startTimesMs.length > 0) {
        times.set("running", Math.min(...startTimesMs));
    }
    setFirstTime(
        times,
        "complete",
        requestEvents.filter(({ message }) => message === "job complete"),
    );
    return times;
}

function setFirstTime(
    times: Map<Stage, number>,
    stage: Stage,
    events: readonly TimelineEvent[],
): void {
    const first = events[0];
    if (first !== undefined) {
        times.set(stage, first.t);
    }
}

/** The nearest-rank percentile of ascending values. */
function computePercentile(sorted: readonly number[], percentile: number): number {
    const rank = Math.max(1, Math.ceil((percentile / 100) * sorted.length));
    return Math.round(sorted[rank - 1] ?? 0);
}
