import test from "ava";
import type { QueueName } from "../configuration/mod.ts";
import type { WorkerId } from "../job/mod.ts";
import { buildQueue, buildSpec, FloorFixture } from "./_fixtures.ts";
import { selectHeld } from "./reservation.ts";

const GANGS = "composites" as QueueName;
const BATCHES = "batches" as QueueName;

function buildCandidate(id: string, cpu: number) {
    return { id: id as WorkerId, attainable: { cpu, memoryMb: 32_000, gpu: 0 } };
}

test("just enough workers are held, and none for a gang that can not fit", (t) => {
    const candidates = [buildCandidate("a", 4_000), buildCandidate("b", 16_000)];
    const needs = { cpu: 4_000, memoryMb: 1_000, gpu: 0 };
    t.deepEqual([...selectHeld(candidates, { needs, count: 4 })], [["b" as WorkerId, 4]]);
    t.is(selectHeld(candidates, { needs, count: 5 }).size, 2);
    t.is(selectHeld(candidates, { needs, count: 6 }).size, 0);
});

test("a wide gang starts within seconds on a floor full of small tasks", (t) => {
    // The caller's hero shot waits. Batches of small tasks arrive faster than they end and take
    // each gap; without held room the gang starts when the batches stop coming.
    const floor = new FloorFixture({
        workers: 4,
        taskMs: 2_000,
        queues: [
            buildQueue(),
            buildQueue({ name: GANGS, pathPrefix: "/g/", priority: 1 }),
            buildQueue({ name: BATCHES, pathPrefix: "/b/", priority: 2 }),
        ],
    });
    const small = { cpu: 1_000, memoryMb: 500, gpu: 0 };
    let count = 0;
    const submitBatch = (): void => {
        const id = `00000000000${(65_536 + count++).toString(16)}`;
        floor.submit(
            id,
            buildSpec({ count: 10, needs: small, savesProgress: count % 2 === 0 }),
            BATCHES,
        );
    };
    for (; floor.now < 4_000; floor.runFor(200)) {
        submitBatch();
    }
    const wide = { cpu: 5_000, memoryMb: 500, gpu: 0 };
    const submittedAt = floor.now;
    const gang = "00000000000000a1";
    floor.submit(gang, buildSpec({ count: 4, isGang: true, needs: wide }), GANGS);
    for (; floor.now < submittedAt + 8_000; floor.runFor(200)) {
        submitBatch();
    }
    const started = floor.runs.find((run) => run.task.startsWith(gang));
    t.true((started?.at ?? Number.POSITIVE_INFINITY) - submittedAt < 3_000);
    t.is(floor.getState(gang), "complete");
    floor.runFor(120_000);
    t.true([...floor.durable.jobs.values()].every((job) => job.state === "complete"));
    t.deepEqual(floor.violations, []);
});
