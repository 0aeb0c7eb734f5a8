import test from "ava";
import type { LeaseMessage } from "../cell/mod.ts";
import { createId, type TaskId } from "../inventory/mod.ts";
import { WorkerAgent } from "./worker_agent.ts";

function buildLease(epoch: number, overrides: Partial<LeaseMessage> = {}): LeaseMessage {
    return {
        lease: createId(`l${epoch}`),
        task: createId("r1.0"),
        request: createId("r1"),
        instance: createId("w1"),
        epoch,
        demand: { cores: 4, memoryMb: 1, accelerators: 0 },
        ttlMs: 100,
        work: { runMs: 0, usageFactor: 1, fail: false },
        ...overrides,
    };
}

test("a worker refuses a lease with a stale epoch and stops a task whose lease was not renewed", (t) => {
    // A delayed offer from an earlier attempt arrives after a newer one: the worker refuses it,
    // so one task never runs twice on its word. A task whose lease is not renewed within its
    // time to live is stopped by the worker itself: the cell may then lease it elsewhere.
    const agent = new WorkerAgent({
        instance: createId("w1"),
        capacity: { cores: 8, memoryMb: 100, accelerators: 0 },
    });
    t.true(agent.acceptLease(buildLease(5), 0).accepted);
    t.false(agent.acceptLease(buildLease(3), 1).accepted);
    t.false(
        agent.acceptLease(
            buildLease(6, {
                task: createId<TaskId>("r2.0"),
                demand: { cores: 5, memoryMb: 1, accelerators: 0 },
            }),
            1,
        ).accepted,
        "no room: 4 + 5 > 8 cores",
    );
    agent.tick(50);
    const reports = agent.tick(150);
    t.deepEqual(
        reports.map((r) => r.report),
        ["stopped"],
    );
    t.is(agent.held.cores, 0);
});
