import test from "ava";
import { LogSink } from "./log_sink.ts";
import { createLogger } from "./logger.ts";

interface StalledSink {
    readonly sink: LogSink;
    readonly release: () => void;
    readonly texts: string[];
    readonly clock: { now: number };
}

/** Builds a sink whose writes only finish when `release` is called. */
function buildStalledSink(): StalledSink {
    const pending: (() => void)[] = [];
    const texts: string[] = [];
    const clock = { now: 0 };
    const sink = new LogSink({
        maxQueuedBytes: 1_000,
        failureReserveBytes: 200,
        linesPerSecond: 1_000,
        getNow: () => clock.now,
        writeBytes: (_fd, bytes, done) => {
            texts.push(bytes.toString());
            pending.push(() => done(null, bytes.length));
        },
    });
    return { sink, texts, clock, release: () => pending.shift()?.() };
}

const LINE = `${"x".repeat(99)}\n`;

test("bounds the queue while the reader stalls, and reports dropped lines", async (t) => {
    // Lines about failures use a reserve; dropped lines are reported once the reader is back.
    const { sink, release, texts } = buildStalledSink();
    sink.write(LINE, false);
    await new Promise((resolve) => setTimeout(resolve, 80));
    for (let i = 0; i < 100; i++) {
        sink.write(LINE, false);
    }
    t.is(sink.queuedBytes, 1_000);
    t.is(sink.droppedLines, 90);
    sink.write(LINE, true);
    sink.write(LINE, true);
    sink.write(LINE, true);
    t.is(sink.queuedBytes, 1_200);
    release();
    await new Promise((resolve) => setTimeout(resolve, 120));
    t.regex(texts[1] ?? "", /"log lines given up","count":91/);
});

test("limits the sustained line rate, except for failures", (t) => {
    const { sink, clock } = buildStalledSink();
    const rateLimitedSink = new LogSink({
        linesPerSecond: 10,
        getNow: () => clock.now,
        writeBytes: (_fd, bytes, done) => done(null, bytes.length),
    });
    for (let i = 0; i < 100; i++) {
        rateLimitedSink.write("a\n", false);
    }
    t.is(rateLimitedSink.droppedLines, 60);
    clock.now += 1_000;
    for (let i = 0; i < 100; i++) {
        rateLimitedSink.write("a\n", false);
    }
    t.is(rateLimitedSink.droppedLines, 150);
    rateLimitedSink.write("a\n", true);
    t.is(rateLimitedSink.droppedLines, 150);
    t.is(sink.droppedLines, 0);
});

test("keeps lines at level notice when lines at level info are dropped", (t) => {
    // At `info` the line would share the rate limit of the lines about tasks.
    const sink = new LogSink({
        linesPerSecond: 0,
        writeBytes: (_fd, bytes, done) => done(null, bytes.length),
    });
    const log = createLogger({ process: "c1", zone: "z", sink });
    log.info("task ended");
    log.notice("configuration set", { version: 19 });
    t.is(sink.droppedLines, 1);
    t.true(sink.queuedBytes > 0);
});

test("writes a burst in blocks of whole lines within the pipe's atomic write size", async (t) => {
    // Guards against long writes: a collector's read may end within a line and lose the rest of it.
    const blocks: Buffer[] = [];
    const sink = new LogSink({
        writeBytes: (_fd, bytes, done) => {
            blocks.push(bytes);
            setImmediate(() => done(null, bytes.length));
        },
    });
    for (let i = 0; i < 200; i++) {
        sink.write(LINE, false);
    }
    await sink.close(1_000);
    t.true(blocks.length > 1);
    t.true(blocks.every((bytes) => bytes.length <= 4_096 && bytes.at(-1) === 10));
    t.is(Buffer.concat(blocks).toString(), LINE.repeat(200));
});
