import test from "ava";
import { WorkerSpeed } from "./worker_speed.ts";

/** Records the progress of four concurrent tasks every 250 ms, and returns the end time in ms. */
function runTasks(
    speed: WorkerSpeed,
    startMs: number,
    durationMs: number,
    speedShare: number,
): number {
    for (let atMs = startMs; atMs < startMs + durationMs; atMs += 250) {
        for (let task = 0; task < 4; task++) {
            // Half of the estimates are too high, the others too low.
            const estimateError = task % 2 === 0 ? 0.6 : 1.5;
            speed.record(250 * speedShare * estimateError, 250, atMs);
        }
    }
    return startMs + durationMs;
}

test("ranks a worker as slow after a sixfold slowdown, and as normal after it recovers", (t) => {
    const speed = new WorkerSpeed();
    let atMs = runTasks(speed, 0, 3_000, 1);
    t.is(speed.computeSpeedRank(atMs), 1);
    atMs = runTasks(speed, atMs, 3_000, 1 / 6);
    t.is(speed.computeSpeedRank(atMs), 2);
    atMs = runTasks(speed, atMs, 2_500, 1);
    t.is(speed.computeSpeedRank(atMs), 1);
});

test("ranks a worker whose tasks make no progress as stalled until the samples expire", (t) => {
    const speed = new WorkerSpeed();
    let atMs = runTasks(speed, 0, 3_000, 1);
    atMs = runTasks(speed, atMs, 4_500, 0);
    t.is(speed.computeSpeedRank(atMs), 3);
    t.is(speed.computeSpeedRank(atMs + 5_000), 1);
});
