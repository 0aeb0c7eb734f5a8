import test from "ava";
import { buildSpec, buildWorkerRecord, SimulatedCluster } from "./_fixtures.ts";
import { checkFeasible } from "./admission.ts";

const WORKERS = [buildWorkerRecord(), buildWorkerRecord()];

test("accepts a job that fits on an idle worker", (t) => {
    const needs = { cpu: 16_000, memoryMb: 32_000, gpu: 0 };
    t.is(checkFeasible(buildSpec({ count: 50, needs }), WORKERS), undefined);
    t.is(checkFeasible(buildSpec({ requiredLabel: "a" }), WORKERS), undefined);
});

test("refuses a job that no worker can ever run and gives the reason", (t) => {
    const large = buildSpec({ needs: { cpu: 16_001, memoryMb: 1, gpu: 0 } });
    t.regex(checkFeasible(large, WORKERS) ?? "", /step 0: no worker is large enough/);
    t.regex(checkFeasible(buildSpec({ requiredLabel: "gpu" }), WORKERS) ?? "", /label gpu/);
    const gang = buildSpec({ count: 9, isGang: true, needs: { cpu: 4_000, memoryMb: 1, gpu: 0 } });
    t.regex(checkFeasible(gang, WORKERS) ?? "", /room for 8 of its 9 tasks/);
});

test("accepts every job while no worker is known", (t) => {
    t.is(checkFeasible(buildSpec({ requiredLabel: "gpu" }), []), undefined);
});

test("many infeasible jobs do not block feasible ones", (t) => {
    const cluster = new SimulatedCluster({ workers: 4 });
    cluster.runFor(100);
    const needs = { cpu: 64_000, memoryMb: 1_000, gpu: 0 };
    for (let i = 0; i < 200; i++) {
        cluster.submit(`00000000000${(65_536 + i).toString(16)}`, buildSpec({ needs }));
    }
    cluster.submit("00000000000000a1", buildSpec({ count: 2 }));
    cluster.runFor(2_000);
    t.is(cluster.getJobState("00000000000000a1"), "complete");
    t.is(cluster.getJobState("0000000000010000"), "unknown");
});

// Guards against a submission that keeps a leader busy for longer than its lease lasts.
test("many steps are checked against many workers within a turn of the event loop", (t) => {
    const workers = Array.from({ length: 1_100 }, () => buildWorkerRecord());
    const steps = Array.from({ length: 1_000 }, (_none, i) => ({
        needs: { cpu: 100 + i, memoryMb: 1, gpu: 0 },
    }));
    const startedAtMs = performance.now();
    t.is(checkFeasible(buildSpec(...steps), workers), undefined);
    t.true(performance.now() - startedAtMs < 100);
});
