import test from "ava";
import type { WorkerId } from "../job/mod.ts";
import type { TaskRun } from "../standin/task_worker.ts";
import { InvariantChecker } from "./_invariant_checker.ts";
import type { EndReport } from "./types.ts";

const TASK = "00000000000000a1.0.0.0";
const [W1, W2] = ["w1" as WorkerId, "w2" as WorkerId];

function buildRun(attempt: number, startedAtMs: number): TaskRun {
    return {
        task: TASK,
        attempt,
        startedAtMs,
        finishesAtMs: startedAtMs + 100,
        demand: { cpu: 1, memoryMb: 1, gpu: 0 },
        stopsAtMs: undefined,
    };
}

function buildEnd(attempt: number): EndReport {
    return { number: 1, task: TASK, attempt, how: "done", checkpoint: "" };
}

/** Builds a checker and the function that sets its clock. */
function buildChecker(): { checker: InvariantChecker; setNow: (nowMs: number) => void } {
    let nowMs = 0;
    const checker = new InvariantChecker({
        workers: new Map(),
        getNow: () => nowMs,
        getMaxAttempts: () => 3,
        getWorkspace: () => undefined,
    });
    return { checker, setNow: (next) => (nowMs = next) };
}

// Guards against a check that misses a restart if the end is acknowledged only after it.
test("an end that is acknowledged after its task started again is reported", (t) => {
    const { checker, setNow } = buildChecker();
    const first = buildRun(1, 0);
    checker.recordRun(W1, first);
    setNow(100);
    checker.recordEnd(W1, first, "done");
    setNow(150);
    checker.recordRun(W2, buildRun(2, 150));
    t.deepEqual(checker.violations, []);
    setNow(200);
    checker.recordAcknowledgedEnd(W1, buildEnd(1));
    t.is(checker.violations.length, 1);
});

test("an end that is acknowledged after earlier attempts alone is not reported", (t) => {
    const { checker, setNow } = buildChecker();
    const [first, second] = [buildRun(1, 0), buildRun(2, 150)];
    checker.recordRun(W1, first);
    checker.recordEnd(W1, first, "failed");
    setNow(150);
    checker.recordRun(W2, second);
    setNow(250);
    checker.recordEnd(W2, second, "done");
    checker.recordAcknowledgedEnd(W2, buildEnd(2));
    t.deepEqual(checker.violations, []);
});

test("two attempts of a task on one worker at the same time are reported", (t) => {
    const { checker } = buildChecker();
    checker.recordRun(W1, buildRun(1, 0));
    checker.recordRun(W1, buildRun(2, 0));
    t.is(checker.violations.length, 1);
});
