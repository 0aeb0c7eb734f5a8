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
        speed: 1,
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

test("learned speed goes before zone and best fit, and after locality and the speed rank", (t) => {
    const request = { ...REQUEST, requiredSpeed: 1.5, zoneRanks: new Map([["z2", 1]]) };
    const fast = buildCandidate("fast", 16_000, { speed: 2, zone: "z2" });
    const tight = buildCandidate("tight", 4_500);
    t.deepEqual(placeUnit({ ...request, candidates: [tight, fast] }), ["fast"]);
    const local = buildCandidate("local", 16_000, { isDataLocal: true });
    t.deepEqual(placeUnit({ ...request, candidates: [fast, local] }), ["local"]);
    const stalled = buildCandidate("stalled", 16_000, { speed: 2, slowness: 3 });
    t.deepEqual(placeUnit({ ...request, candidates: [stalled, tight] }), ["tight"]);
});

test("a task that needs a fast worker takes a slow one if no other is free", (t) => {
    // Guards against capacity that is kept idle while a task waits.
    const candidates = [buildCandidate("slow", 8_000, { speed: 0.7 })];
    t.deepEqual(placeUnit({ ...REQUEST, requiredSpeed: Number.POSITIVE_INFINITY, candidates }), [
        "slow",
    ]);
});

test("a gang is placed on workers of one speed, and mixed only without room for that", (t) => {
    const candidates = ["a", "b", "c", "d"].map((id, i) =>
        buildCandidate(id, 8_000, { speed: i % 2 === 0 ? 1 : 2 }),
    );
    const place = (count: number, requiredSpeed: number): readonly string[] =>
        placeUnit({ ...REQUEST, count, requiredSpeed, candidates }) ?? [];
    t.deepEqual(place(4, 0.5), ["a", "a", "c", "c"]);
    t.deepEqual(place(4, 1.5), ["b", "b", "d", "d"]);
    t.is(place(6, 1.5).length, 6);
    t.is(place(9, 1.5).length, 0);
});

test("without a required speed, speeds don't change the order", (t) => {
    const cpus = [4_500, 16_000, 8_000, 9_000];
    const build = (speeds: readonly number[]): Candidate[] =>
        cpus.map((cpu, i) => buildCandidate(`w${i}`, cpu, { speed: speeds[i] ?? 1 }));
    for (const count of [1, 2, 5, 8]) {
        t.deepEqual(
            placeUnit({ ...REQUEST, count, candidates: build([0.5, 2, 1, 0.7]) }),
            placeUnit({ ...REQUEST, count, candidates: build([1, 1, 1, 1]) }),
        );
    }
});
