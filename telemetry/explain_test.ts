import test from "ava";
import { explainRequest } from "./explain.ts";
import type { TimelineEvent } from "./timeline.ts";

const REQUEST = "5c0e7a21d94b36f8";

function buildEvent(t: number, message: string, fields: object = {}): TimelineEvent {
    return { t, process: "core-1", zone: "z", message, ...fields };
}

test("explains a delayed request by its lost worker and a leader change", (t) => {
    const events = [
        buildEvent(1_000, "job accepted", { request: REQUEST }),
        buildEvent(1_020, "attempt placed", {
            request: REQUEST,
            workers: ["w1"],
            waitedMs: 20,
            step: `${REQUEST}.0.0`,
        }),
        buildEvent(1_500, "lead lost"),
        buildEvent(1_900, "lead gained"),
        buildEvent(2_000, "worker silent", { worker: "w1" }),
        buildEvent(2_000, "worker silent", { worker: "w7" }),
        buildEvent(9_000, "lease over", { worker: "w1" }),
        buildEvent(9_000, "task ended", { request: REQUEST, worker: "w1", how: "lost" }),
        buildEvent(9_900, "task ended", { request: REQUEST, worker: "w2", how: "done" }),
    ];
    const { causes, events: shown } = explainRequest(events, REQUEST);
    t.deepEqual(causes, [
        "1 task run(s) ended as lost",
        "the leader core-1 was lost meanwhile",
        "lease over: w1",
    ]);
    t.false(shown.some((event) => event["worker"] === "w7"));
});

test("explains a request without a leader by the front's log line", (t) => {
    const events = [
        buildEvent(1_000, "no leader for a call", { path: `/previews/${REQUEST}`, call: "submit" }),
    ];
    t.regex(explainRequest(events, REQUEST).causes[0] ?? "", /no leader could be reached/);
    t.regex(explainRequest([], REQUEST).causes[0] ?? "", /no process logged/);
});

test("reports a refused start with its reason and a long wait with its duration", (t) => {
    const events = [
        buildEvent(1, "start refused", { request: REQUEST, reason: "ticket", worker: "w1" }),
        buildEvent(2, "attempt placed", { request: REQUEST, waitedMs: 4_000, step: "s" }),
    ];
    t.deepEqual(explainRequest(events, REQUEST).causes, [
        "a start was refused: ticket",
        "step s waited 4000 ms for a worker",
    ]);
});

test("explains a submission that arrived after its cancellation", (t) => {
    const events = [
        buildEvent(1, "unknown job cancelled", { request: REQUEST }),
        buildEvent(4_000, "cancelled job refused", { request: REQUEST }),
    ];
    t.deepEqual(explainRequest(events, REQUEST).causes, [
        "it was cancelled before a submission of it arrived, which was refused",
    ]);
});
