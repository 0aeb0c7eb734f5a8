import test from "ava";
import { ConnectionTracker } from "./connection_tracker.ts";

test("a summary counts connections and calls and starts a new period", (t) => {
    const tracker = new ConnectionTracker();
    tracker.recordOpened(12.4);
    tracker.recordOpened(3);
    tracker.recordOpenFailed();
    tracker.recordAnswered(40);
    tracker.recordAbandoned();
    tracker.recordAccepted();
    tracker.recordUnsent();
    t.deepEqual(tracker.takeSummary(), {
        opened: 2,
        openFailed: 1,
        connectMs: 12,
        answered: 1,
        answerMs: 40,
        abandoned: 1,
        accepted: 1,
        unsent: 1,
    });
    t.is(tracker.takeSummary().opened, 0);
});
