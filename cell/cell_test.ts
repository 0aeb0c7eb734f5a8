import test from "ava";
import { createId, type InstanceId, type LeaseId } from "../inventory/mod.ts";
import { buildCell, buildSpec } from "./_fixtures.ts";
import { listInvariantViolations } from "./_invariants.ts";
import type { Cell, Effect } from "./mod.ts";

function takeGrants(cell: Cell): Extract<Effect, { type: "grant" }>[] {
    return cell
        .takeEffects()
        .filter((e): e is Extract<Effect, { type: "grant" }> => e.type === "grant");
}

function startTasks(
    cell: Cell,
    grants: readonly Extract<Effect, { type: "grant" }>[],
    nowMs: number,
    started: Set<LeaseId>,
): void {
    for (const grant of grants) {
        cell.handleGrantReply(grant.lease.lease, true, "", nowMs);
        cell.handleReport(grant.lease.lease, grant.lease.epoch, "started", "", nowMs);
        started.add(grant.lease.lease);
    }
}

test("a non-idempotent request whose lease expires fails with mayHaveRun and is not retried", (t) => {
    // A retry could bill the customer twice.
    const cell = buildCell({ workers: 2, leaseTtlMs: 100, leaseGraceMs: 50 });
    const started = new Set<LeaseId>();
    const answer = cell.submit(buildSpec({ kind: "batch" }), 0);
    cell.tick(1);
    startTasks(cell, takeGrants(cell), 2, started);
    cell.tick(500);
    cell.tick(600);
    const status = cell.describeRequest(answer.requestId);
    t.is(status?.state, "failed");
    t.true(status?.mayHaveRun);
    t.is(status?.attempts, 1);
    t.is(takeGrants(cell).length, 0);
    t.deepEqual(listInvariantViolations(cell, started), []);
});

test("an idempotent request is leased again only after its first lease has expired", (t) => {
    // Two live leases could run the request on two workers at once.
    const cell = buildCell({ workers: 2, leaseTtlMs: 100, leaseGraceMs: 50 });
    const started = new Set<LeaseId>();
    const answer = cell.submit(buildSpec({ kind: "preview" }), 0);
    cell.tick(1);
    startTasks(cell, takeGrants(cell), 2, started);
    cell.handleHeartbeat(createId("w2"), [], 120);
    cell.tick(140);
    t.is(takeGrants(cell).length, 0, "no second lease while the first may still be running");
    cell.handleHeartbeat(createId("w2"), [], 200);
    cell.tick(200);
    const second = takeGrants(cell);
    t.is(second.length, 1);
    t.is(second[0]?.lease.instance, createId<InstanceId>("w2"));
    t.true((second[0]?.lease.epoch ?? 0) > 1, "the new lease carries a higher epoch");
    startTasks(cell, second, 201, started);
    cell.handleReport(second[0]!.lease.lease, second[0]!.lease.epoch, "completed", "", 250);
    t.is(cell.describeRequest(answer.requestId)?.state, "completed");
    t.deepEqual(listInvariantViolations(cell, started), []);
});

test("a resend with the same key returns the same request; a reused key with other contents throws", (t) => {
    // Two requests under one key would run the reel twice.
    const cell = buildCell();
    const spec = buildSpec({ kind: "reel" });
    const first = cell.submit(spec, 0);
    const again = cell.submit(spec, 5);
    t.is(again.requestId, first.requestId);
    t.is(cell.listRequestIds().length, 1);
    t.throws(
        () => cell.submit({ ...spec, demand: { cores: 3, memoryMb: 1, accelerators: 0 } }, 6),
        { name: "KeyConflictError" },
    );
});

test("a request that no instance can hold is refused on submission with a reason", (t) => {
    // Without the check, the request would wait without end: no instance has 64 cores.
    const cell = buildCell();
    const answer = cell.submit(
        buildSpec({ demand: { cores: 64, memoryMb: 1, accelerators: 0 } }),
        0,
    );
    t.is(answer.state, "refused");
    t.true(answer.final);
    t.false(answer.mayHaveRun);
    t.regex(answer.reason ?? "", /could ever hold/);
});

test("preemption stops a preemptible idempotent task and never a non-idempotent one", (t) => {
    // The batch is never preempted, since it cannot run again; the hero is queued again only after
    // its worker confirms the stop.
    const cell = buildCell({ workers: 1, cores: 8 });
    const started = new Set<LeaseId>();
    const batch = cell.submit(
        buildSpec({ kind: "batch", demand: { cores: 4, memoryMb: 1, accelerators: 0 } }),
        0,
    );
    const hero = cell.submit(
        buildSpec({ kind: "hero", demand: { cores: 4, memoryMb: 1, accelerators: 0 } }),
        0,
    );
    cell.tick(1);
    startTasks(cell, takeGrants(cell), 2, started);
    const preview = cell.submit(
        buildSpec({ kind: "preview", demand: { cores: 4, memoryMb: 1, accelerators: 0 } }),
        3,
    );
    cell.tick(4);
    const stops = cell.takeEffects().filter((e) => e.type === "stop");
    t.is(stops.length, 1);
    const heroLease = cell.listLeases().find((l) => l.request === hero.requestId);
    t.is(stops[0]?.type === "stop" ? stops[0].lease : undefined, heroLease?.id);
    cell.handleReport(heroLease!.id, heroLease!.epoch, "stopped", "", 5);
    cell.tick(6);
    const grants = takeGrants(cell);
    t.is(grants[0]?.lease.request, preview.requestId);
    t.is(cell.describeRequest(hero.requestId)?.state, "queued");
    t.is(cell.describeRequest(batch.requestId)?.state, "running");
    t.deepEqual(listInvariantViolations(cell, started), []);
});

test("a request cancelled in the queue did not run; consecutive failures quarantine a worker", (t) => {
    // Without the quarantine, every retry could be placed on the failing worker again.
    const cell = buildCell({ workers: 2, quotaCores: 1_000 });
    const reel = cell.submit(
        buildSpec({ kind: "reel", demand: { cores: 100, memoryMb: 1, accelerators: 0 }, count: 1 }),
        0,
    );
    t.is(reel.state, "refused");
    cell.drainWorker(createId("w1"), 0, "drained");
    cell.drainWorker(createId("w2"), 0, "drained");
    const queued = cell.submit(buildSpec({ kind: "reel" }), 0);
    cell.tick(1);
    const cancelled = cell.cancel(queued.requestId, 2);
    t.is(cancelled?.state, "cancelled");
    t.false(cancelled?.mayHaveRun);
    const other = buildCell({ workers: 2 });
    for (let i = 0; i < 3; i++) {
        other.submit(
            buildSpec({ kind: "preview", demand: { cores: 15, memoryMb: 1, accelerators: 0 } }),
            10 * i,
        );
        other.tick(10 * i + 1);
        for (const grant of takeGrants(other)) {
            other.handleReport(grant.lease.lease, grant.lease.epoch, "started", "", 10 * i + 2);
            other.handleReport(grant.lease.lease, grant.lease.epoch, "failed", "boom", 10 * i + 3);
        }
    }
    t.true(other.listWorkers().some((w) => w.quarantinedUntil > 100));
});

test("a rules change that removes a kind in use or names an unknown class is rejected as a whole", (t) => {
    // Without the check, the next tick would throw: the queued batch's kind would have no rule.
    const cell = buildCell({ workers: 1 });
    cell.drainWorker(createId<InstanceId>("w1"), 0, "drained");
    const batch = cell.submit(buildSpec({ kind: "batch" }), 0);
    const result = cell.setRules({
        changeId: "c1",
        expectedVersion: 1,
        rules: {
            version: 0,
            classes: [{ name: "interactive", precedence: 100, preemptible: false }],
            kinds: [
                { name: "preview", class: "interactive", placement: "latency", idempotent: true },
                { name: "reel", class: "nope", placement: "packing", idempotent: false },
            ],
            quotas: [],
        },
    });
    t.is(result.status, "rejected");
    t.regex(result.status === "rejected" ? result.reason : "", /kind "batch" is in use/);
    t.regex(result.status === "rejected" ? result.reason : "", /unknown class "nope"/);
    t.is(cell.rules.version, 1);
    cell.tick(1);
    t.is(cell.describeRequest(batch.requestId)?.state, "queued");
});
