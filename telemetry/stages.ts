/**
 * Computes from the merged logs how long the jobs of each queue took to reach each stage, with
 * percentiles and a bar chart.
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

/** The stages of a job's first step and the job's completion, in order. */
export const STAGES = [
    /** The first request for placement advice is sent. */
    "asked",
    /** The advice is received. */
    "advised",
    /** The first task is placed. */
    "placed",
    /** The last task of the first step is placed for the first time. */
    "all placed",
    /** A worker accepts the first task. */
    "running",
    /** The job is complete. */
    "complete",
] as const;

/** The name of a stage. */
export type Stage = (typeof STAGES)[number];

/** The latencies of one queue's jobs that were accepted in one time span. */
export interface StageRow {
    readonly queue: string;
    /** In ms since the Unix epoch; the time of the first event if there is a single span. */
    readonly spanStartMs: number;
    readonly jobs: number;
    /** Times from acceptance to each stage, in ms, ascending. */
    readonly latenciesMs: ReadonlyMap<Stage, readonly number[]>;
}

/** Options of {@link listStageRows}. */
export interface StageOptions {
    /** Length of a span, in ms; by default one span covers all events. */
    readonly spanMs?: number;
}

interface MutableStageRow extends StageRow {
    jobs: number;
    readonly latenciesMs: Map<Stage, number[]>;
}

const PERCENTILES = [50, 95, 99];
/** In characters. */
const MAX_BAR_LENGTH = 40;

/**
 * Collects how long jobs took to reach each stage.
 *
 * @param events The merged events of all processes.
 * @param options The length of a span.
 * @returns One row for each queue and span, sorted by queue, then by time.
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
 * Formats rows as a table: for each stage the number of jobs that reached it, the percentiles of
 * their latencies, and a bar for the median.
 *
 * @param rows The rows of {@link listStageRows}.
 * @returns The table, one line per stage.
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

/** Returns when a job reached each stage that its events show, in ms since the Unix epoch. */
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

/** Computes a percentile of ascending values by the nearest-rank method. */
function computePercentile(sorted: readonly number[], percentile: number): number {
    const rank = Math.max(1, Math.ceil((percentile / 100) * sorted.length));
    return Math.round(sorted[rank - 1] ?? 0);
}
