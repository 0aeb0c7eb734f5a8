import test from "ava";
import { buildWorkerReport } from "../dispatch/_fixtures.ts";
import { buildLeadership } from "./_fixtures.ts";

// Guards against a worker that shuts down while the leader still counts on it.
test("a shutdown notice that the leader drops is not acknowledged", async (t) => {
    const { leadership } = buildLeadership({
        waitForLease: () => Promise.resolve(true),
        onStart: () => {},
        onLogLines: () => {},
    });
    t.teardown(() => leadership.stop());
    const call = { record: buildWorkerReport(), clockMs: undefined, leavesInMs: undefined };
    await leadership.handleHeartbeat({ ...call, sequence: 50 });
    const record = buildWorkerReport({ isDraining: true });
    await t.throwsAsync(leadership.handleHeartbeat({ ...call, record, sequence: 3 }));
    await t.notThrowsAsync(leadership.handleHeartbeat({ ...call, record, sequence: 51 }));
});
