import test from "ava";
import { CallTracker } from "./call_tracker.ts";

test("a summary counts ended calls and shows the age of the oldest waiting one", async (t) => {
    let now = 0;
    const tracker = new CallTracker(() => now);
    let finish = (): void => {};
    const waiting = tracker.run("submit", () => new Promise<void>((resolve) => (finish = resolve)));
    now = 40;
    await tracker.run("submit", () => (now += 10));
    await t.throwsAsync(tracker.run("submit", () => Promise.reject(new Error("refused"))));
    t.deepEqual(tracker.takeSummary(), {
        submit: { ended: 2, failed: 1, maxMs: 10, waiting: 1, oldestMs: 50 },
    });
    finish();
    await waiting;
    t.deepEqual(tracker.takeSummary(), {
        submit: { ended: 1, failed: 0, maxMs: 50, waiting: 0, oldestMs: 0 },
    });
    t.deepEqual(tracker.takeSummary(), {});
});
