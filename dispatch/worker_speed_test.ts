import test from "ava";
import { WorkerSpeed } from "./worker_speed.ts";

/** Records the progress of four concurrent tasks every 250 ms, and returns the end time. */
function runTasks(
    speed: WorkerSpeed,
    startMs: number,
    durationMs: number,
    speedShare: number,
): number {
    for (let at = startMs; at < startMs + durationMs; at += 250) {
        for (let task = 0; task < 4; task++) {
            // Half of the estimates are too high, the others too low.
            const estimateError = task % 2 === 0 ? 0.6 : 1.5;
            speed.record(250 * speedShare * estimateError, 250, at);
        }
    }
    return startMs + durationMs;
}

test("ranks a worker as slow after a sixfold slowdown, and as normal after it recovers", (t) => {
    const speed = new WorkerSpeed();
    let at = runTasks(speed, 0, 3_000, 1);
    t.is(speed.computeSpeedRank(at), 1);
    at = runTasks(speed, at, 3_000, 1 / 6);
    t.is(speed.computeSpeedRank(at), 2);
    at = runTasks(speed, at, 2_500, 1);
    t.is(speed.computeSpeedRank(at), 1);
});

test("ranks a worker whose tasks make no progress as stalled until the samples expire", (t) => {
    const speed = new WorkerSpeed();
    let at = runTasks(speed, 0, 3_000, 1);
    at = runTasks(speed, at, 4_500, 0);
    t.is(speed.computeSpeedRank(at), 3);
    t.is(speed.computeSpeedRank(at + 5_000), 1);
});
