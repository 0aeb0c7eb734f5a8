import test from "ava";
import type { GrantMessage } from "../cell/mod.ts";
import { createId, type TaskId } from "../inventory/mod.ts";
import { WorkerAgent } from "./worker_agent.ts";

function buildOffer(epoch: number, overrides: Partial<GrantMessage> = {}): GrantMessage {
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

test("a worker declines leases with a stale epoch or too large a demand, and stops tasks whose lease expires", (t) => {
    // Guards against running one task twice, by a delayed offer or after its lease expired.
    const agent = buildAgent();
    t.is(agent.acceptLease(buildOffer(5), 0).status, "accepted");
    t.is(agent.acceptLease(buildOffer(3), 1).status, "declined");
    t.is(
        agent.acceptLease(
            buildOffer(6, {
                task: createId<TaskId>("r2.0"),
                demand: { cores: 5, memoryMb: 1, accelerators: 0 },
            }),
            1,
        ).status,
        "declined",
        "insufficient capacity: 4 + 5 > 8 cores",
    );
    agent.tick(50);
    const reports = agent.tick(150);
    t.deepEqual(
        reports.map((r) => r.report),
        ["stopped"],
    );
    t.is(agent.heldResources.cores, 0);
});

test("a worker declines an offer based on a heartbeat older than the time to live of the lease", (t) => {
    // Guards against an offer of a paused leader whose successor leased the task elsewhere.
    const agent = buildAgent();
    const late = agent.acceptLease(buildOffer(5, { beatAt: 0 }), 101);
    t.is(late.status, "declined");
    t.is(agent.startedTasks.length, 0);
});

test("a lease runs from the heartbeat its offer is based on, and a late acknowledgement does not renew it", (t) => {
    // Guards against a worker that runs a task past the time when the cell expires its lease.
    const agent = buildAgent();
    agent.acceptLease(buildOffer(5, { beatAt: 0 }), 90);
    agent.renewLeases(150, [createId("l5")]);
    t.deepEqual(
        agent.tick(110).map((r) => r.report),
        ["started", "stopped"],
    );
});

test("an offer for another incarnation of the worker is answered 'unknown', not 'declined'", (t) => {
    // "Declined" would mean not started, but the earlier process may have run the task.
    const agent = buildAgent("second");
    const reply = agent.acceptLease(buildOffer(5, { incarnation: "first" }), 1);
    t.is(reply.status, "unknown");
    t.is(agent.startedTasks.length, 0);
});

test("a stop that arrives before its offer declines the offer and reports the task as declined", (t) => {
    // Guards against starting a cancelled task whose stop was delivered first.
    const agent = buildAgent();
    agent.stopLease({ lease: createId("l5"), epoch: 5, incarnation: "", mode: "stop" }, 1);
    t.is(agent.acceptLease(buildOffer(5), 2).status, "declined");
    t.deepEqual(
        agent.tick(3).map((r) => r.report),
        ["declined"],
    );
});
