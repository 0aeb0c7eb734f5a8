import test from "ava";
import { CallTracker, ConnectionTracker } from "../rpc/mod.ts";
import { createLogger, LogSink } from "../telemetry/mod.ts";
import { StatusReporter, type GroupStatus } from "./status_reporter.ts";

const GROUP_STATUS: GroupStatus = {
    role: "leader",
    term: 3,
    leader: "127.0.0.1:7000",
    voters: 5,
    activeVoters: 4,
    jobs: 2,
    appliedIndex: 9,
};

test("a status line shows the group, the longest delays and the waiting calls", async (t) => {
    const written: string[] = [];
    const sink = new LogSink({
        writeBytes: (_fd, bytes, done) => {
            written.push(bytes.toString("utf8"));
            done(null, bytes.length);
        },
    });
    const tracker = new CallTracker();
    const connectionTracker = new ConnectionTracker();
    connectionTracker.recordAccepted();
    const reporter = new StatusReporter({
        tracker,
        connectionTracker,
        describeGroup: () => GROUP_STATUS,
        takeLongestDelayMs: () => 120.4,
        log: createLogger({ process: "c1", zone: "z", sink }),
    });
    reporter.recordPersisted(31);
    reporter.recordPersisted(12);
    await tracker.run("control.hello", () => undefined);
    reporter.reportStatus();
    reporter.reportStatus();
    await sink.close();
    const lines = written.join("").trim().split("\n");
    const [first, second] = lines.map((line) => JSON.parse(line) as Record<string, unknown>);
    t.like(first, { message: "control status", level: "notice", ...GROUP_STATUS });
    t.like(first, { delayMs: 120, persistMs: 31, calls: { "control.hello": { ended: 1 } } });
    t.like(first, { connections: { accepted: 1 } });
    t.like(second, { persistMs: 0, calls: {} });
});
