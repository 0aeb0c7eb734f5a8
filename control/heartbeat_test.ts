import test, { type ExecutionContext } from "ava";
import { buildWorkerReport } from "../dispatch/_fixtures.ts";
import type { Incarnation } from "../job/mod.ts";
import { buildLeadership } from "./_fixtures.ts";
import type { Leadership } from "./leadership.ts";

function buildStartedLeadership(t: ExecutionContext): Leadership {
    const { leadership } = buildLeadership({
        waitForLease: () => Promise.resolve(true),
        onStart: () => {},
        onLogLines: () => {},
    });
    t.teardown(() => leadership.stop());
    return leadership;
}

// Guards against a worker that shuts down while the leader still counts on it.
test("a shutdown notice that the leader drops is not acknowledged", async (t) => {
    const leadership = buildStartedLeadership(t);
    const call = { record: buildWorkerReport(), clockMs: undefined, leavesInMs: undefined };
    await leadership.handleHeartbeat({ ...call, sequence: 50 });
    const record = buildWorkerReport({ isDraining: true });
    await t.throwsAsync(leadership.handleHeartbeat({ ...call, record, sequence: 3 }));
    await t.notThrowsAsync(leadership.handleHeartbeat({ ...call, record, sequence: 51 }));
});

// Guards against acknowledging what an incarnation reports that may not be the running one.
test("reports of an incarnation that the worker has not confirmed are not acknowledged", async (t) => {
    const leadership = buildStartedLeadership(t);
    const call = { sequence: 50, clockMs: undefined, leavesInMs: undefined };
    const id = buildWorkerReport().id;
    const [known, other] = [9 as Incarnation, 4 as Incarnation];
    await leadership.handleHeartbeat({ ...call, sequence: 49, record: buildWorkerReport() });
    await leadership.handleHeartbeat({
        ...call,
        record: buildWorkerReport({ incarnation: known }),
    });
    const record = buildWorkerReport({ incarnation: other, isDraining: true });
    await t.throwsAsync(leadership.handleHeartbeat({ ...call, record }));
    await t.throwsAsync(leadership.handleHeartbeat({ ...call, record: buildWorkerReport() }));
    await t.throwsAsync(leadership.handleLeave({ worker: id, incarnation: other }));
    await t.throwsAsync(leadership.handleLeave({ worker: id }));
    await t.notThrowsAsync(leadership.handleLeave({ worker: id, incarnation: known }));
    await t.notThrowsAsync(leadership.handleLeave({ worker: id, incarnation: known }));
});
