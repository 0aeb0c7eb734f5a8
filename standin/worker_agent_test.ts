import test from "ava";
import type { GrantMessage } from "../cell/mod.ts";
import { createId, type TaskId } from "../inventory/mod.ts";
import { WorkerAgent } from "./worker_agent.ts";

function buildLease(epoch: number, overrides: Partial<GrantMessage> = {}): GrantMessage {
    return {
        lease: createId(`l${epoch}`),
        task: createId("r1.0"),
        request: createId("r1"),
        instance: createId("w1"),
        incarnation: "",
        epoch,
        beatAt: 0,
        demand: { cores: 4, memoryMb: 1, accelerators: 0 },
        ttlMs: 100,
        work: { runMs: 0, usageFactor: 1, fail: false },
        ...overrides,
    };
}

function buildAgent(incarnation = ""): WorkerAgent {
    return new WorkerAgent({
        instance: createId("w1"),
        capacity: { cores: 8, memoryMb: 100, accelerators: 0 },
        incarnation,
    });
}

test("a worker refuses a lease with a stale epoch and stops a task whose lease was not renewed", (t) => {
    // Guards against running one task twice, by a delayed offer or after its lease expired.
    const agent = buildAgent();
    t.is(agent.acceptLease(buildLease(5), 0).status, "accepted");
    t.is(agent.acceptLease(buildLease(3), 1).status, "declined");
    t.is(
        agent.acceptLease(
            buildLease(6, {
                task: createId<TaskId>("r2.0"),
                demand: { cores: 5, memoryMb: 1, accelerators: 0 },
            }),
            1,
        ).status,
        "declined",
        "no room: 4 + 5 > 8 cores",
    );
    agent.tick(50);
    const reports = agent.tick(150);
    t.deepEqual(
        reports.map((r) => r.report),
        ["stopped"],
    );
    t.is(agent.heldResources.cores, 0);
});

test("a worker refuses an offer whose sender last heard it longer ago than the time to live", (t) => {
    // Guards against an offer of a paused leader whose successor leased the task elsewhere.
    const agent = buildAgent();
    const late = agent.acceptLease(buildLease(5, { beatAt: 0 }), 101);
    t.is(late.status, "declined");
    t.is(agent.startedTasks.length, 0);
});

test("a lease counts from the heartbeat the offer goes by, and a late answer does not revive it", (t) => {
    // Guards against a worker that runs a task past the time when the cell expires its lease.
    const agent = buildAgent();
    agent.acceptLease(buildLease(5, { beatAt: 0 }), 90);
    agent.renewLeases(150, [createId("l5")]);
    t.deepEqual(
        agent.tick(110).map((r) => r.report),
        ["started", "stopped"],
    );
});

test("an offer for an earlier process of the worker is answered 'unknown', never 'declined'", (t) => {
    // "Declined" would mean not started, but the earlier process may have run the task.
    const agent = buildAgent("second");
    const reply = agent.acceptLease(buildLease(5, { incarnation: "first" }), 1);
    t.is(reply.status, "unknown");
    t.is(agent.startedTasks.length, 0);
});

test("a stop that overtakes its offer refuses the offer and reports that the task never started", (t) => {
    // Guards against starting a cancelled task whose stop was delivered first.
    const agent = buildAgent();
    agent.stopLease({ lease: createId("l5"), epoch: 5, incarnation: "", mode: "stop" }, 1);
    t.is(agent.acceptLease(buildLease(5), 2).status, "declined");
    t.deepEqual(
        agent.tick(3).map((r) => r.report),
        ["declined"],
    );
});
