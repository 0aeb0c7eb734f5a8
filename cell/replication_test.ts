import test from "ava";
import fc from "fast-check";
import { createId, type InstanceId, type LeaseId, type RequestId } from "../inventory/mod.ts";
import { createWorkerState } from "../scheduler/mod.ts";
import { createRulesFile } from "../rules/rules_file.ts";
import { buildCell, buildInventoryFixture, buildRulesFixture, buildSpec } from "./_fixtures.ts";
import { Cell, type CellInput, type Effect, type RequestSpec } from "./mod.ts";

type Grant = Extract<Effect, { type: "grant" }>;

function takeEffectsOfType<T extends Effect["type"]>(
    cell: Cell,
    type: T,
): Extract<Effect, { type: T }>[] {
    return cell.takeEffects().filter((e): e is Extract<Effect, { type: T }> => e.type === type);
}

test("a new leader resends every unanswered offer and every unconfirmed stop", (t) => {
    // The previous leader may have failed between committing a lease or a cancellation and sending
    // it.
    const cell = buildCell({ workers: 2 });
    cell.submit(buildSpec({ kind: "batch" }), 0);
    const cancelled = cell.submit(buildSpec({ kind: "batch" }), 0);
    cell.tick(1);
    const grants = takeEffectsOfType(cell, "grant");
    cell.cancel(cancelled.requestId, 2);
    const stops = takeEffectsOfType(cell, "stop");
    cell.handleTakeover(2_900);
    const again = cell.takeEffects();
    const offered = again.filter((e): e is Grant => e.type === "grant");
    t.deepEqual(offered, [grants[0] as Grant], "the resent offer has the same lease and epoch");
    t.deepEqual(
        again.filter((e) => e.type === "stop").map((e) => e.type === "stop" && e.lease),
        stops.map((e) => e.lease),
    );
    cell.tick(4_600);
    t.is(cell.listLiveLeases().length, 2, "leases get their full timeout again after the takeover");
});

test("an attempt of a gang counts once, not once per task", (t) => {
    // Counting attempts per task would use up the limit of 3 in the first attempt.
    const cell = buildCell({ workers: 4, leaseTtlMs: 100, leaseGraceMs: 50 });
    const gang = cell.submit(buildSpec({ kind: "gang", count: 4 }), 0);
    cell.tick(1);
    t.is(takeEffectsOfType(cell, "grant").length, 4);
    cell.tick(500);
    t.like(cell.describeRequest(gang.requestId), { state: "queued", attempts: 1 });
});

test("a heartbeat of a restarted worker process does not renew the leases of the previous one", (t) => {
    // The restarted process does not run the earlier task, so its heartbeats must not renew the
    // lease.
    const cell = buildCell({ workers: 1, leaseTtlMs: 100, leaseGraceMs: 50 });
    const batch = cell.submit(buildSpec({ kind: "batch" }), 0);
    cell.tick(1);
    const [grant] = takeEffectsOfType(cell, "grant");
    t.is(grant?.lease.incarnation, "");
    cell.handleReport(grant?.lease.lease as LeaseId, grant?.lease.epoch ?? 0, "started", "", 2);
    cell.announceWorker(createId<InstanceId>("w1"), "new", 50, "second");
    t.false(cell.isRenewal(createId("w1"), []), "an empty heartbeat does not renew the lease");
    cell.handleHeartbeat(createId("w1"), [], 100);
    cell.handleHeartbeat(createId("w1"), [], 170);
    cell.tick(171);
    t.like(cell.describeRequest(batch.requestId), { state: "failed", mayHaveRun: true });
});

test("an operator's drain persists when the worker announces itself again, until undrained", (t) => {
    // A worker under repair must get no work until the operator undrains it.
    const cell = buildCell({ workers: 1 });
    const instance = createId<InstanceId>("w1");
    cell.drainWorker(instance, 0, "drained");
    cell.announceWorker(instance, "a", 1, "second");
    cell.submit(buildSpec(), 2);
    cell.tick(3);
    t.is(takeEffectsOfType(cell, "grant").length, 0);
    cell.cancelDrain(instance);
    cell.tick(4);
    t.is(takeEffectsOfType(cell, "grant").length, 1);
});

test("a rules change that makes a kind idempotent does not make accepted requests retryable", (t) => {
    // The batch was accepted as at most once; the new rule applies to later requests only.
    const cell = buildCell({ workers: 2, leaseTtlMs: 100, leaseGraceMs: 50 });
    const batch = cell.submit(buildSpec({ kind: "batch" }), 0);
    cell.tick(1);
    takeEffectsOfType(cell, "grant");
    const file = createRulesFile(buildRulesFixture());
    const rules = {
        ...file,
        version: 2,
        kinds: file.kinds.map((k) => ({ ...k, idempotent: true })),
    };
    t.true(cell.adoptRules(rules));
    t.false(cell.adoptRules({ ...rules, version: 1 }), "an older version is ignored");
    cell.tick(500);
    t.is(cell.describeRequest(batch.requestId)?.state, "failed");
});

test("a kind removed by adopted rules stays available to its unfinished requests only", (t) => {
    // The queued batch is placed by its old rule; a new batch is refused.
    const cell = buildCell({ workers: 1 });
    const old = cell.submit(buildSpec({ kind: "batch" }), 0);
    const file = createRulesFile(buildRulesFixture());
    cell.adoptRules({ ...file, version: 2, kinds: file.kinds.filter((k) => k.name !== "batch") });
    cell.tick(1);
    t.is(cell.describeRequest(old.requestId)?.state, "leased");
    t.like(cell.submit(buildSpec({ kind: "batch" }), 2), { state: "refused" });
});

test("a request past its retention keeps its end state and idempotency key", (t) => {
    // A late resend must not run the batch again.
    const cell = buildCell({ workers: 1, retentionMs: 1_000, keyRetentionMs: 10_000 });
    const spec = buildSpec({ kind: "batch" });
    const { requestId } = cell.submit(spec, 0);
    cell.tick(1);
    const [grant] = takeEffectsOfType(cell, "grant");
    cell.handleReport(grant?.lease.lease as LeaseId, grant?.lease.epoch ?? 0, "started", "", 2);
    cell.handleReport(grant?.lease.lease as LeaseId, grant?.lease.epoch ?? 0, "completed", "", 3);
    cell.tick(2_000);
    t.is(cell.listRequestIds().length, 0);
    t.is(cell.listLeases().length, 0);
    t.like(cell.submit(spec, 2_001), { requestId, state: "completed", events: [] });
    t.throws(() => cell.submit({ ...spec, count: 2 }, 2_002), { name: "KeyConflictError" });
    cell.tick(20_000);
    t.is(cell.describeRequest(requestId), undefined);
});

test("a request that waits for its quota records the reason once", (t) => {
    // One event per change of the customer's usage would make the history grow with the wait.
    const cell = buildCell({ quotaCores: 4 });
    cell.submit(buildSpec({ demand: { cores: 3, memoryMb: 1, accelerators: 0 } }), 0);
    cell.tick(1);
    const waiting = cell.submit(
        buildSpec({ kind: "hero", demand: { cores: 4, memoryMb: 1, accelerators: 0 } }),
        2,
    );
    for (let at = 3; at < 20; at += 2) {
        cell.submit(
            buildSpec({ maxWaitMs: 1, demand: { cores: 0.01 * at, memoryMb: 1, accelerators: 0 } }),
            at,
        );
        cell.tick(at + 1);
    }
    const waitingEvents = cell
        .describeRequest(waiting.requestId)
        ?.events.filter((e) => e.event === "waiting");
    t.is(waitingEvents?.length, 1);
});

test("the cells of two zones together allocate no more than a shared quota", (t) => {
    // Each zone allocates from its own share, without communication with the other.
    const cells = [0.5, 0.5].map((quotaShare) => buildCell({ quotaCores: 8, quotaShare }));
    for (const cell of cells) {
        for (let i = 0; i < 5; i++) {
            cell.submit(buildSpec({ demand: { cores: 2, memoryMb: 1, accelerators: 0 } }), 0);
        }
        cell.tick(1);
    }
    const held = cells.flatMap((c) => c.listLiveLeases()).reduce((n, l) => n + l.held.cores, 0);
    t.is(held, 8);
});

test("a handed-over request is queued again only when the other zone reports that it did not run", (t) => {
    // Until the other zone reports an end state, the request may be running there.
    const cell = buildCell({ workers: 1, cores: 2 });
    cell.submit(buildSpec({ kind: "reel" }), 0);
    const { requestId } = cell.submit(buildSpec({ kind: "batch" }), 0);
    cell.tick(1);
    t.deepEqual(
        cell.listHandOverCandidates(200, 10).map((r) => r.id),
        [requestId],
    );
    cell.applyInput({ type: "handOver", at: 200, request: requestId, to: "z2" });
    const [effect] = takeEffectsOfType(cell, "handOver");
    const key = effect?.handOver.key ?? "";
    t.like(cell.describeRequest(requestId), { state: "handed", mayHaveRun: true, final: false });
    cell.handleTakeover(300);
    t.is(takeEffectsOfType(cell, "handOver").length, 1, "a new leader emits the hand-over again");
    const refused = {
        requestId: createId<RequestId>("z2.r1"),
        state: "refused",
        started: false,
        mayHaveRun: false,
        startedAt: undefined,
        reason: "not started within 1000 ms",
    };
    cell.applyInput({ type: "handOverResult", at: 400, request: requestId, key, answer: refused });
    t.like(cell.describeRequest(requestId), { state: "queued", mayHaveRun: false });
    cell.applyInput({ type: "handOver", at: 2_000, request: requestId, to: "z2" });
    cell.applyInput({
        type: "handOverResult",
        at: 2_100,
        request: requestId,
        key,
        answer: refused,
    });
    t.is(
        cell.describeRequest(requestId)?.state,
        "handed",
        "the result of the first hand-over is ignored",
    );
    const failed = { ...refused, state: "failed", mayHaveRun: true, started: true };
    const again = takeEffectsOfType(cell, "handOver").at(-1)?.handOver.key ?? "";
    cell.applyInput({
        type: "handOverResult",
        at: 2_200,
        request: requestId,
        key: again,
        answer: failed,
    });
    t.like(cell.describeRequest(requestId), { state: "failed", mayHaveRun: true });
});

test("a request that only another zone's instances can hold is queued, not refused", (t) => {
    // This zone's instances have 4 cores; those of the other zone have 16.
    const large = buildInventoryFixture({ workers: 1, cores: 16 });
    const otherZoneWorkers = [large.instances.map((i) => createWorkerState(i, large.executors))];
    const cell = buildCell({ workers: 1, cores: 4, otherZoneWorkers });
    const demand = { cores: 8, memoryMb: 1, accelerators: 0 };
    t.is(cell.submit(buildSpec({ demand }), 0).state, "queued");
    t.is(cell.submit(buildSpec({ demand: { ...demand, cores: 99 } }), 0).state, "refused");
});

const stepArbitrary = fc.record({
    kind: fc.constantFrom("submit", "tick", "start", "complete", "fail", "beat", "cancel", "leap"),
    pick: fc.nat(20),
    cores: fc.integer({ min: 1, max: 12 }),
    isRestored: fc.boolean(),
});

test("a cell restored from a snapshot makes the same decisions as one that applied every input", (t) => {
    // Different decisions by two replicas could allocate the same cores twice.
    const kinds = ["preview", "batch", "hero", "gang", "service"];
    fc.assert(
        fc.property(fc.array(stepArbitrary, { minLength: 10, maxLength: 60 }), (steps) => {
            const options = {
                inventory: buildInventoryFixture({ workers: 3 }),
                rules: buildRulesFixture(20),
                leaseTtlMs: 100,
                leaseGraceMs: 50,
                retentionMs: 500,
            };
            const original = new Cell(options);
            let restored = new Cell(options);
            const grants: Grant[] = [];
            let at = 0;
            const apply = (input: CellInput): void => {
                const results = [original, restored].map((cell) => cell.applyInput(input));
                t.deepEqual(toPlain(results[1]), toPlain(results[0]));
                const [effects, restoredEffects] = [original.takeEffects(), restored.takeEffects()];
                t.deepEqual(toPlain(restoredEffects), toPlain(effects));
                grants.push(...effects.filter((e): e is Grant => e.type === "grant"));
            };
            for (const instance of options.inventory.instances) {
                const { id } = instance;
                apply({ type: "announce", at, instance: id, address: "a", incarnation: "1" });
            }
            for (const step of steps) {
                at += step.kind === "leap" ? 200 : 10;
                const spec = createStepSpec(kinds[step.pick % kinds.length] as string, step.cores);
                listInputs(step, at, spec, grants, original).forEach(apply);
                if (step.isRestored) {
                    const text = restored.encode();
                    restored = new Cell(options);
                    restored.restore(text);
                    t.is(restored.encode(), text);
                }
            }
        }),
        { numRuns: 150, seed: 11 },
    );
});

function createStepSpec(kind: string, cores: number): RequestSpec {
    const count = kind === "gang" || kind === "service" ? 2 : 1;
    return buildSpec({ kind, count, demand: { cores, memoryMb: 512, accelerators: 0 } });
}

function listInputs(
    step: { readonly kind: string; readonly pick: number },
    at: number,
    spec: RequestSpec,
    grants: readonly Grant[],
    cell: Cell,
): CellInput[] {
    const lease = grants[step.pick % Math.max(1, grants.length)]?.lease;
    const report = { started: "start", completed: "complete", failed: "fail" } as const;
    const reportType = (["started", "completed", "failed"] as const).find(
        (r) => report[r] === step.kind,
    );
    if (step.kind === "submit") {
        return [{ type: "submit", at, spec }];
    }
    if (step.kind === "beat") {
        return [{ type: "renew", at, workers: cell.listWorkers().map((w) => w.instance.id) }];
    }
    if (step.kind === "cancel" && lease !== undefined) {
        return [{ type: "cancel", at, request: lease.request }];
    }
    if (reportType !== undefined && lease !== undefined) {
        const { lease: id, epoch } = lease;
        return [{ type: "report", at, lease: id, epoch, report: reportType, detail: "" }];
    }
    return [{ type: "tick", at }];
}

/** Removes `undefined` fields, as encoding to JSON does. */
function toPlain(value: unknown): unknown {
    return value === undefined ? undefined : JSON.parse(JSON.stringify(value));
}
