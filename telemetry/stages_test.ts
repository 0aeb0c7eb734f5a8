import test from "ava";
import { formatStages, listStageRows } from "./stages.ts";
import type { TimelineEvent } from "./timeline.ts";

function buildEvent(t: number, message: string, fields: object = {}): TimelineEvent {
    return { t, process: "core-1", zone: "z", message, ...fields };
}

/** Builds the events of a job with one step of two tasks. */
function buildJob(
    request: string,
    queue: string,
    acceptedAtMs: number,
    waitMs: number,
): TimelineEvent[] {
    const step = `${request}.0.0`;
    const placedAtMs = acceptedAtMs + waitMs;
    return [
        buildEvent(acceptedAtMs, "job accepted", { request, queue }),
        buildEvent(acceptedAtMs + 60, "advice received", {
            request,
            step,
            queuedMs: 10,
            tookMs: 40,
        }),
        buildEvent(placedAtMs, "attempt placed", { request, step, unit: 0, attempt: 1 }),
        buildEvent(placedAtMs + 100, "attempt placed", { request, step, unit: 1, attempt: 1 }),
        buildEvent(placedAtMs + 500, "task ended", { request, how: "done", tookMs: 495 }),
        buildEvent(placedAtMs + 700, "attempt placed", { request, step, unit: 1, attempt: 2 }),
        buildEvent(placedAtMs + 900, "job complete", { request }),
    ];
}

test("lists for each queue the latencies until each stage of its jobs", (t) => {
    const events = [
        ...buildJob("a", "previews", 0, 80),
        ...buildJob("b", "previews", 10, 180),
        ...buildJob("c", "heroes", 20, 2_000),
        buildEvent(25, "job accepted", { request: "d", queue: "heroes" }),
    ];
    const rows = listStageRows(events);
    t.deepEqual(
        rows.map(({ queue, jobs }) => [queue, jobs]),
        [
            ["heroes", 2],
            ["previews", 2],
        ],
    );
    t.deepEqual(rows[1]?.latenciesMs.get("asked"), [20, 20]);
    t.deepEqual(rows[1]?.latenciesMs.get("placed"), [80, 180]);
    t.deepEqual(rows[1]?.latenciesMs.get("all placed"), [180, 280]);
    t.deepEqual(rows[1]?.latenciesMs.get("running"), [85, 185]);
    t.deepEqual(rows[0]?.latenciesMs.get("complete"), [2_900]);
    t.regex(formatStages(rows), /complete\s+1\s+2900\s+2900\s+2900 {2}#{40}/);
});

test("groups jobs by the span in which they were accepted", (t) => {
    const events = [...buildJob("a", "q", 1_000, 80), ...buildJob("b", "q", 5_500, 80)];
    const rows = listStageRows(events, { spanMs: 2_000 });
    t.deepEqual(
        rows.map(({ spanStartMs, jobs }) => [spanStartMs, jobs]),
        [
            [1_000, 1],
            [5_000, 1],
        ],
    );
});
