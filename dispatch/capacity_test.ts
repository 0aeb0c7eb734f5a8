import test from "ava";
import fc from "fast-check";
import type { Resources, WorkerId } from "../job/mod.ts";
import { createRandom } from "../tools/seeded_random.ts";
import { buildJobIds, buildSpec, buildWorkerReport, FloorFixture } from "./_fixtures.ts";
import { mergeCapacity } from "./reported_capacity.ts";

const JOB = "00000000000000d1";
const FULL: Resources = { cpu: 16_000, memoryMb: 32_000, gpu: 0 };
const SMALL: Resources = { cpu: 4_000, memoryMb: 8_000, gpu: 0 };
const NONE: Resources = { cpu: 0, memoryMb: 0, gpu: 0 };
const HEARTBEAT_MS = 1_500;

/** Hands in jobs that would fill the floor several times over. */
function submitFlood(floor: FloorFixture, jobs: number, everyMs: number): void {
    const needs = { cpu: 2_000, memoryMb: 1_000, gpu: 0 };
    for (const id of buildJobIds(jobs)) {
        floor.submit(id, buildSpec({ count: 4, needs }));
        floor.runFor(everyMs);
    }
}

/** A heartbeat of another writer in the name of the first worker. */
function sendForeignHeartbeat(floor: FloorFixture, capacity: Resources, sequence: number): void {
    const record = buildWorkerReport({ zone: "hall-a", capacity });
    floor.dispatcher.handleHeartbeat({
        record,
        sequence,
        clockMs: undefined,
        leavesInMs: undefined,
    });
}

test("a smaller room counts at once, a larger one when two heartbeats in a row tell it", (t) => {
    t.deepEqual(mergeCapacity(FULL, SMALL, undefined), { capacity: SMALL, unconfirmed: undefined });
    t.deepEqual(mergeCapacity(SMALL, FULL, undefined), { capacity: SMALL, unconfirmed: FULL });
    t.deepEqual(mergeCapacity(SMALL, FULL, FULL), { capacity: FULL, unconfirmed: undefined });
    const larger = { ...FULL, cpu: 99_000 };
    t.deepEqual(mergeCapacity(SMALL, larger, FULL), { capacity: SMALL, unconfirmed: larger });
    t.deepEqual(mergeCapacity(SMALL, SMALL, FULL), { capacity: SMALL, unconfirmed: undefined });
    const mixed = { ...SMALL, cpu: 99_000, memoryMb: 10 };
    t.deepEqual(mergeCapacity(SMALL, mixed, undefined).capacity, { ...SMALL, memoryMb: 10 });
});

// Guards against placing by the room that a worker told when it joined.
test("a worker whose room shrinks while it runs gets no start beyond it", (t) => {
    const floor = new FloorFixture({ workers: 2, taskMs: 700 });
    floor.runFor(2_000);
    floor.setCapacity("w1" as WorkerId, SMALL);
    submitFlood(floor, 120, 100);
    t.deepEqual(floor.violations, []);
});

// Guards against taking a worker without any room for a damaged message, and placing on as before.
test("a worker that has no room left gets no start", (t) => {
    const floor = new FloorFixture({ workers: 2, taskMs: 700 });
    floor.runFor(2_000);
    floor.setCapacity("w1" as WorkerId, NONE);
    submitFlood(floor, 120, 100);
    t.deepEqual(floor.violations, []);
});

// Guards against room that stays unused after it has grown back.
test("a worker whose room grows back is filled again", (t) => {
    const floor = new FloorFixture({ workers: 1, taskMs: 700 });
    floor.runFor(2_000);
    floor.setCapacity("w1" as WorkerId, SMALL);
    floor.runFor(8_000);
    floor.setCapacity("w1" as WorkerId, FULL);
    floor.runFor(3 * HEARTBEAT_MS);
    floor.submit(JOB, buildSpec({ count: 8, needs: { cpu: 2_000, memoryMb: 1_000, gpu: 0 } }));
    floor.runFor(300);
    t.is(floor.runs.length, 8);
    t.deepEqual(floor.violations, []);
});

// Guards against dropping all that a worker says, its farewell included, once its room has changed.
test("a worker whose room has changed can still announce that it leaves", (t) => {
    const floor = new FloorFixture({ workers: 2, taskMs: 300 });
    floor.runFor(2_000);
    floor.setCapacity("w1" as WorkerId, SMALL);
    floor.runFor(2 * HEARTBEAT_MS);
    floor.drainWorker("w1" as WorkerId, 6_000);
    floor.runFor(100);
    const before = floor.runs.length;
    submitFlood(floor, 20, 100);
    t.true(floor.runs.slice(before).every(({ worker }) => worker !== "w1"));
});

// Guards against a new leader that places by what was on record before the outage.
test("a room that shrinks while nobody leads binds the next leader", (t) => {
    const floor = new FloorFixture({ workers: 2, taskMs: 2_000 });
    floor.runFor(2_000);
    floor.stopLeader();
    floor.runFor(1_000);
    floor.setCapacity("w1" as WorkerId, SMALL);
    floor.runFor(6_000);
    floor.replaceLeader({ isHeardAtOnce: false });
    submitFlood(floor, 60, 50);
    t.deepEqual(floor.violations, []);
});

// Guards against a floor that stands still after each change of leaders until all heartbeats came in.
test("a new leader gives out work at once on workers whose heartbeats are on record", (t) => {
    const floor = new FloorFixture({ workers: 4, taskMs: 300 });
    floor.runFor(3_200);
    floor.replaceLeader({ isHeardAtOnce: false });
    floor.submit(JOB, buildSpec({ count: 4 }));
    floor.runFor(200);
    t.is(floor.runs.length, 4);
    t.deepEqual(floor.violations, []);
});

// Guards against starts on a worker that answers orders while its heartbeats, and its new room, get lost.
test("a worker that nobody hears of gets no new work although it answers orders", (t) => {
    const floor = new FloorFixture({ workers: 2, taskMs: 700 });
    floor.runFor(2_000);
    floor.dropHeartbeats("w1" as WorkerId);
    floor.setCapacity("w1" as WorkerId, SMALL);
    submitFlood(floor, 150, 100);
    t.deepEqual(floor.violations, []);
});

// Guards against starts that were decided on a fresh room and leave seconds later, when a commit was held up.
test("a start that a slow commit held up is not sent on a room that was told too long ago", (t) => {
    let commitMs = 12;
    const floor = new FloorFixture({ workers: 1, taskMs: 700, computeCommitMs: () => commitMs });
    floor.runFor(3_010);
    floor.dropHeartbeats("w1" as WorkerId);
    floor.setCapacity("w1" as WorkerId, SMALL);
    floor.runFor(2_000);
    commitMs = 3_000;
    floor.submit(JOB, buildSpec({ count: 8, needs: { cpu: 2_000, memoryMb: 1_000, gpu: 0 } }));
    floor.runFor(8_000);
    t.deepEqual(floor.violations, []);
    t.is(floor.runs.length, 0);
});

// Guards against refusing work as impossible that has room again in a moment.
test("a job that fits the workers at their usual size is not refused while they are small", (t) => {
    const floor = new FloorFixture({ workers: 2, taskMs: 300 });
    floor.runFor(2_000);
    for (const id of ["w1", "w2"]) {
        floor.setCapacity(id as WorkerId, SMALL);
    }
    floor.runFor(2 * HEARTBEAT_MS);
    floor.submit(JOB, buildSpec({ needs: { cpu: 9_000, memoryMb: 1_000, gpu: 0 } }));
    floor.runFor(2_000);
    t.is(floor.getState(JOB), "queued");
    floor.setCapacity("w2" as WorkerId, FULL);
    floor.runFor(4 * HEARTBEAT_MS);
    t.is(floor.getState(JOB), "complete");
    t.deepEqual(floor.violations, []);
});

// Guards against starts on room that only another writer's message has named.
test("a larger room that was told once is not given away", (t) => {
    const floor = new FloorFixture({ workers: 1, taskMs: 700 });
    floor.runFor(1_000);
    sendForeignHeartbeat(floor, { cpu: 999_000, memoryMb: 999_000, gpu: 8 }, 2);
    submitFlood(floor, 60, 50);
    t.deepEqual(floor.violations, []);
});

// Guards against losing a worker to another writer that names less room than it has.
test("a smaller room of another writer lasts until the worker's own next heartbeats", (t) => {
    const floor = new FloorFixture({ workers: 1, taskMs: 300 });
    floor.runFor(1_000);
    sendForeignHeartbeat(floor, NONE, 2);
    floor.submit(JOB, buildSpec({}));
    floor.runFor(4 * HEARTBEAT_MS);
    t.is(floor.getState(JOB), "complete");
});

// Guards against a member that knows an older room and passes a heartbeat on as one that says nothing new.
test("a heartbeat that was gathered as saying nothing new tells its own room", (t) => {
    const floor = new FloorFixture({ workers: 1, taskMs: 700 });
    floor.runFor(1_600);
    floor.dropHeartbeats("w1" as WorkerId);
    floor.setCapacity("w1" as WorkerId, SMALL);
    for (let i = 0; i < 8; i++) {
        floor.dispatcher.handleUnchangedHeartbeat("w1" as WorkerId, 100 + i, floor.now, SMALL);
        submitFlood(floor, 10, 100);
    }
    t.deepEqual(floor.violations, []);
    t.true(floor.runs.length > 10);
});

// Guards against a bound that holds for one change of room and not for many beside other faults.
test("rooms that shrink and grow beside other faults are never given twice", (t) => {
    const property = fc.property(fc.integer({ min: 1, max: 1_000_000 }), (seed) => {
        const random = createRandom(seed);
        let isCalm = false;
        const floor = new FloorFixture({
            workers: 6,
            taskMs: 500,
            clockDrift: 0.01,
            getFault: () => {
                const draw = isCalm ? 1 : random();
                return draw < 0.03 ? { type: "lost" } : { type: "none" };
            },
        });
        const ids = buildJobIds(120);
        ids.forEach((id, i) => {
            const cpu = 500 + Math.floor(random() * 3_500);
            floor.submit(id, buildSpec({ count: 3, needs: { cpu, memoryMb: 500, gpu: 0 } }));
            floor.runFor(100);
            const worker = `w${1 + Math.floor(random() * 6)}` as WorkerId;
            if (random() < 0.2) {
                const share = random();
                floor.setCapacity(worker, {
                    cpu: Math.floor(16_000 * share),
                    memoryMb: 32_000,
                    gpu: 0,
                });
            }
            if (i % 40 === 39) {
                floor.stopLeader();
                floor.runFor(random() * 5_000);
                floor.replaceLeader({ isHeardAtOnce: random() < 0.5 });
            }
        });
        isCalm = true;
        for (let i = 1; i <= 6; i++) {
            floor.setCapacity(`w${i}` as WorkerId, FULL);
        }
        floor.runFor(40_000);
        t.deepEqual(floor.violations, []);
        t.deepEqual(
            ids.filter((id) => floor.getState(id) !== "complete"),
            [],
        );
    });
    fc.assert(property, { numRuns: 12, seed: 11 });
});
