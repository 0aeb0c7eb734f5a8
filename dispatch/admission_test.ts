import test from "ava";
import { buildSpec, buildWorkerRecord, FloorFixture } from "./_fixtures.ts";
import { checkFeasible } from "./admission.ts";

const FLOOR = [buildWorkerRecord(), buildWorkerRecord()];

test("a job that some empty worker could run is accepted", (t) => {
    const needs = { cpu: 16_000, memoryMb: 32_000, gpu: 0 };
    t.is(checkFeasible(buildSpec({ count: 50, needs }), FLOOR), undefined);
    t.is(checkFeasible(buildSpec({ requiredLabel: "a" }), FLOOR), undefined);
});

test("a job that no worker could ever run is refused with the reason", (t) => {
    const large = buildSpec({ needs: { cpu: 16_001, memoryMb: 1, gpu: 0 } });
    t.regex(checkFeasible(large, FLOOR) ?? "", /step 0: no worker is large enough/);
    t.regex(checkFeasible(buildSpec({ requiredLabel: "gpu" }), FLOOR) ?? "", /label gpu/);
    const gang = buildSpec({ count: 9, isGang: true, needs: { cpu: 4_000, memoryMb: 1, gpu: 0 } });
    t.regex(checkFeasible(gang, FLOOR) ?? "", /room for 8 of its 9 tasks/);
});

test("nothing is refused while no worker is on record", (t) => {
    t.is(checkFeasible(buildSpec({ requiredLabel: "gpu" }), []), undefined);
});

test("a floor of many hopeless jobs goes on serving the others", (t) => {
    const floor = new FloorFixture({ workers: 4 });
    floor.runFor(100);
    const needs = { cpu: 64_000, memoryMb: 1_000, gpu: 0 };
    for (let i = 0; i < 200; i++) {
        floor.submit(`00000000000${(65_536 + i).toString(16)}`, buildSpec({ needs }));
    }
    floor.submit("00000000000000a1", buildSpec({ count: 2 }));
    floor.runFor(2_000);
    t.is(floor.getState("00000000000000a1"), "complete");
    t.is(floor.getState("0000000000010000"), "unknown");
});
