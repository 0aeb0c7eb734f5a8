import test from "ava";
import fc from "fast-check";
import type { WorkerId } from "../job/mod.ts";
import { placeUnit, type Candidate } from "./placement.ts";

function buildCandidate(id: string, cpu: number, overrides: Partial<Candidate> = {}): Candidate {
    return {
        id: id as WorkerId,
        freeCapacity: { cpu, memoryMb: 32_000, gpu: 0 },
        rack: "r1",
        zone: "z1",
        tasksOfStep: 0,
        isDataLocal: false,
        slowness: 1,
        hasRecentFailure: false,
        ...overrides,
    };
}

const REQUEST = {
    needs: { cpu: 4_000, memoryMb: 1_000, gpu: 0 },
    count: 1,
    maxPerWorker: 0,
    isRackLocal: false,
};

test("places a task by best fit", (t) => {
    const candidates = [buildCandidate("big", 16_000), buildCandidate("tight", 4_500)];
    t.deepEqual(placeUnit({ ...REQUEST, candidates }), ["tight"]);
});

test("places all tasks of a gang or none", (t) => {
    const candidates = [buildCandidate("a", 8_000), buildCandidate("b", 5_000)];
    t.is(placeUnit({ ...REQUEST, count: 4, candidates }), undefined);
    t.is(placeUnit({ ...REQUEST, count: 3, candidates })?.length, 3);
});

test("places a rack-local gang in one rack if possible, otherwise across racks", (t) => {
    const candidates = [
        buildCandidate("a", 4_000, { rack: "r1" }),
        buildCandidate("b", 4_000, { rack: "r2" }),
        buildCandidate("c", 4_000, { rack: "r2" }),
    ];
    const placed = placeUnit({ ...REQUEST, count: 2, isRackLocal: true, candidates });
    t.deepEqual([...(placed ?? [])].sort(), ["b", "c"]);
    t.is(placeUnit({ ...REQUEST, count: 3, isRackLocal: true, candidates })?.length, 3);
});

test("never exceeds a worker's capacity or the step's limit per worker", (t) => {
    fc.assert(
        fc.property(
            fc.array(fc.integer({ min: 0, max: 16_000 }), { minLength: 1, maxLength: 8 }),
            fc.integer({ min: 1, max: 6 }),
            fc.integer({ min: 0, max: 3 }),
            (cpuCapacities, count, maxPerWorker) => {
                const candidates = cpuCapacities.map((cpu, i) => buildCandidate(`w${i}`, cpu));
                const placed = placeUnit({ ...REQUEST, count, maxPerWorker, candidates }) ?? [];
                return candidates.every((candidate) => {
                    const placedCount = placed.filter((id) => id === candidate.id).length;
                    const isWithinLimit = maxPerWorker === 0 || placedCount <= maxPerWorker;
                    return (
                        placedCount * REQUEST.needs.cpu <= candidate.freeCapacity.cpu &&
                        isWithinLimit
                    );
                });
            },
        ),
    );
    t.pass();
});
