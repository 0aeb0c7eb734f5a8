import test from "ava";
import { DecisionLog } from "./decision_log.ts";
import { explainRequest } from "./explain.ts";
import { mergeTimeline } from "./timeline.ts";

interface LogFixture {
    readonly decisions: DecisionLog;
    readonly clock: { now: number };
    readonly lines: { level: string; message: string; fields: Record<string, unknown> }[];
    /** Returns the lines as JSON, as a process writes them. */
    readonly formatOutput: () => string;
}

function buildLog(linesPerSecond = 1_000_000): LogFixture {
    const clock = { now: 0 };
    const lines: LogFixture["lines"] = [];
    const timestamps: number[] = [];
    const decisions = new DecisionLog({
        log: {
            log: (level: string, message: string, fields: Record<string, unknown>) => {
                lines.push({ level, message, fields });
                timestamps.push(clock.now);
            },
        } as never,
        computeLinesPerSecond: () => linesPerSecond,
        getNow: () => clock.now,
    });
    const formatOutput = (): string =>
        lines
            .map(({ level, message, fields }, i) =>
                JSON.stringify({
                    t: timestamps[i],
                    process: "c",
                    zone: "z",
                    level,
                    message,
                    ...fields,
                }),
            )
            .join("\n");
    return { decisions, clock, lines, formatOutput };
}

/** Records the decisions of a job with one step, from acceptance to completion. */
function runJob({ decisions, clock }: LogFixture, request: string, tasks: number): void {
    const step = `${request}.0.0`;
    decisions.record("decision", "job accepted", { request, queue: "q", steps: 1 });
    for (let unit = 0; unit < tasks; unit++) {
        decisions.record("decision", "attempt placed", {
            request,
            step,
            unit,
            attempt: 1,
            workers: [`w${unit}`],
            waitedMs: 10,
        });
    }
    clock.now += 50;
    for (let unit = 0; unit < tasks; unit++) {
        decisions.record("decision", "task ended", {
            request,
            task: `${step}.${unit}`,
            attempt: 1,
            worker: `w${unit}`,
            how: "done",
            tookMs: 40,
        });
    }
    decisions.record("decision", "job complete", { request });
}

test("writes the forty events of a step as one line, which merges back into forty events", (t) => {
    const log = buildLog();
    runJob(log, "a", 20);
    t.deepEqual(
        log.lines.map(({ message }) => message),
        ["job accepted", "job complete", "step progress"],
    );
    const { events } = explainRequest(mergeTimeline([log.formatOutput()]), "a");
    const count = (message: string): number => events.filter((e) => e.message === message).length;
    t.is(count("attempt placed"), 20);
    t.is(count("task ended"), 20);
    t.is(events.find(({ message }) => message === "attempt placed")?.t, 0);
    t.is(events.find(({ message }) => message === "task ended")?.t, 50);
});

test("logs a failure at once, and batched decisions when the leader stops", (t) => {
    const { decisions, lines } = buildLog();
    decisions.record("decision", "attempt placed", {
        request: "a",
        step: "a.0.0",
        unit: 0,
        attempt: 1,
        workers: ["w0"],
        waitedMs: 0,
    });
    decisions.record("failure", "task ended", { request: "a", task: "a.0.0.0", how: "failed" });
    t.deepEqual(
        lines.map(({ level, message }) => [level, message]),
        [["warn", "task ended"]],
    );
    decisions.flush();
    t.is(lines.at(-1)?.message, "step progress");
});

test("samples whole requests above the rate limit, and logs sampled ones completely", (t) => {
    // Dropping single lines would leave gaps in nearly every request.
    const log = buildLog(12);
    const jobs = 5_000;
    for (let i = 0; i < jobs; i++) {
        log.clock.now = Math.max(log.clock.now, i * 2);
        runJob(log, `job-${i}`, 3);
    }
    const events = mergeTimeline([log.formatOutput()]);
    const counts = new Map<string, number>();
    for (const { request } of events) {
        if (request !== undefined) {
            counts.set(request, (counts.get(request) ?? 0) + 1);
        }
    }
    const eventsPerJob = 8;
    t.deepEqual([...new Set(counts.values())], [eventsPerJob]);
    t.true(counts.size > 100 && counts.size < jobs / 2, `${counts.size} requests logged`);
    t.true(log.lines.some(({ message }) => message === "requests sampled"));
});

test("logs a request that was not sampled from its first failure on", (t) => {
    const { decisions, lines, clock } = buildLog(1);
    for (let i = 0; i < 50_000; i++) {
        clock.now += 1;
        decisions.record("decision", "job accepted", { request: `job-${i}` });
    }
    const linesBefore = lines.length;
    const lateRequests = Array.from({ length: 100 }, (_none, i) => `late-${i}`);
    lateRequests.forEach((request) => decisions.record("decision", "job accepted", { request }));
    const loggedRequests = new Set(lines.slice(linesBefore).map(({ fields }) => fields["request"]));
    const request = lateRequests.find((id) => !loggedRequests.has(id)) as string;
    decisions.record("failure", "start refused", { request, reason: "ticket" });
    decisions.record("decision", "job complete", { request });
    t.deepEqual(
        lines.filter(({ fields }) => fields["request"] === request).map(({ message }) => message),
        ["start refused", "job complete"],
    );
});
