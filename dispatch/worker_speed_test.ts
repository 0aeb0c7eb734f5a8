import test from "ava";
import { WorkerSpeed } from "./worker_speed.ts";

/** Reports the progress of four tasks side by side, four times a second. */
function runTasks(speed: WorkerSpeed, from: number, forMs: number, share: number): number {
    for (let at = from; at < from + forMs; at += 250) {
        for (let task = 0; task < 4; task++) {
            // Estimates are off by half each way.
            const error = task % 2 === 0 ? 0.6 : 1.5;
            speed.record(250 * share * error, 250, at);
        }
    }
    return from + forMs;
}

test("a worker that turns six times slower is told within two seconds, and forgiven later", (t) => {
    const speed = new WorkerSpeed();
    let at = runTasks(speed, 0, 3_000, 1);
    t.is(speed.computeSlowness(at), 1);
    at = runTasks(speed, at, 3_000, 1 / 6);
    t.is(speed.computeSlowness(at), 2);
    at = runTasks(speed, at, 2_500, 1);
    t.is(speed.computeSlowness(at), 1);
});

test("tasks that stand still are told from slow ones", (t) => {
    const speed = new WorkerSpeed();
    let at = runTasks(speed, 0, 3_000, 1);
    at = runTasks(speed, at, 4_500, 0);
    t.is(speed.computeSlowness(at), 3);
    t.is(speed.computeSlowness(at + 5_000), 1);
});
