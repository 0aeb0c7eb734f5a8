import test from "ava";
import { ConnectionTracker } from "../rpc/mod.ts";
import { createLogger, LogSink } from "../telemetry/mod.ts";
import { CallSummaryLog } from "./call_summary_log.ts";

test("outcomes are counted by kind of call and logged once", async (t) => {
    const written: string[] = [];
    const sink = new LogSink({
        writeBytes: (_fd, bytes, done) => {
            written.push(bytes.toString("utf8"));
            done(null, bytes.length);
        },
    });
    const connectionTracker = new ConnectionTracker();
    const summaryLog = new CallSummaryLog({
        connectionTracker,
        log: createLogger({ process: "f1", zone: "z", sink }),
    });
    connectionTracker.recordOpened(5);
    summaryLog.recordOutcome("submit", "accepted", 20);
    summaryLog.recordOutcome("submit", "accepted", 1_200);
    summaryLog.recordOutcome("submit", "unreached", 300);
    summaryLog.recordOutcome("cancel", "unknown", 3_000);
    summaryLog.flush();
    summaryLog.flush();
    await sink.close();
    const lines = written.join("").trim().split("\n");
    t.is(lines.length, 1);
    t.like(JSON.parse(lines[0] ?? ""), {
        message: "calls answered",
        calls: {
            submit: { answered: 1, late: 1, refused: 1, failed: 0 },
            cancel: { answered: 0, late: 0, refused: 0, failed: 1 },
        },
        connections: { opened: 1, connectMs: 5 },
    });
});
