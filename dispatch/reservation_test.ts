import test from "ava";
import type { QueueName } from "../configuration/mod.ts";
import type { WorkerId } from "../job/mod.ts";
import { buildQueue, buildSpec, SimulatedCluster } from "./_fixtures.ts";
import { selectReservation, type CapacityRelease } from "./reservation.ts";

const GANG_QUEUE = "composites" as QueueName;
const BATCH_QUEUE = "batches" as QueueName;

const NEEDS = { cpu: 4_000, memoryMb: 1_000, gpu: 0 };

/** Builds an urgent queue, one of gangs, and a less urgent one. */
function buildQueues() {
    return [
        buildQueue(),
        buildQueue({ name: GANG_QUEUE, pathPrefix: "/g/", priority: 1 }),
        buildQueue({ name: BATCH_QUEUE, pathPrefix: "/b/", priority: 2 }),
    ];
}

function buildCandidate(id: string, cpu: number, releases: readonly CapacityRelease[] = []) {
    const freeCapacity = { cpu, memoryMb: 32_000, gpu: 0 };
    return { id: id as WorkerId, freeCapacity, releases, maxTasks: 100 };
}

function buildRelease(inMs: number, cpu: number): CapacityRelease {
    return { inMs, resources: { cpu, memoryMb: 0, gpu: 0 } };
}

test("reserves the fewest workers, and none for a gang that does not fit", (t) => {
    const candidates = [buildCandidate("a", 4_000), buildCandidate("b", 16_000)];
    const select = (count: number) =>
        selectReservation(candidates, { needs: NEEDS, count }).workers;
    t.deepEqual([...select(4)], [["b" as WorkerId, 4]]);
    t.is(select(5).size, 2);
    t.is(select(6).size, 0);
});

test("reserves the workers on which a gang can start first", (t) => {
    const candidates = [
        buildCandidate("a", 0, [buildRelease(9_000, 16_000)]),
        buildCandidate("b", 4_000, [buildRelease(2_000, 8_000), buildRelease(1_000, 4_000)]),
        buildCandidate("c", 0, [buildRelease(3_000, 4_000)]),
    ];
    const select = (count: number) => selectReservation(candidates, { needs: NEEDS, count });
    t.is(select(1).startsInMs, 0);
    t.is(select(2).startsInMs, 1_000);
    t.deepEqual([...select(4).workers], [["b" as WorkerId, 4]]);
    t.is(select(4).startsInMs, 2_000);
    t.is(select(5).startsInMs, 3_000);
    t.is(select(6).startsInMs, 9_000);
});

// Guards against workers that are reserved without an end.
test("reserves none for a gang that has to wait for a task without an end", (t) => {
    const candidates = [
        buildCandidate("a", 8_000, [buildRelease(Number.POSITIVE_INFINITY, 8_000)]),
        { ...buildCandidate("b", 16_000), maxTasks: 1 },
    ];
    t.is(selectReservation(candidates, { needs: NEEDS, count: 4 }).workers.size, 0);
    t.is(selectReservation(candidates, { needs: NEEDS, count: 3 }).workers.size, 2);
});

test("a wide gang starts within seconds on a cluster full of small tasks", (t) => {
    // Guards against starvation: small tasks arrive faster than they end and fill each gap.
    const cluster = new SimulatedCluster({
        workers: 4,
        taskMs: 2_000,
        queues: buildQueues(),
    });
    const small = { cpu: 1_000, memoryMb: 500, gpu: 0 };
    let count = 0;
    const submitBatch = (): void => {
        const id = `00000000000${(65_536 + count++).toString(16)}`;
        cluster.submit(
            id,
            buildSpec({ count: 10, needs: small, savesProgress: count % 2 === 0 }),
            BATCH_QUEUE,
        );
    };
    for (; cluster.now < 4_000; cluster.runFor(200)) {
        submitBatch();
    }
    const wide = { cpu: 5_000, memoryMb: 500, gpu: 0 };
    const submittedAtMs = cluster.now;
    const gang = "00000000000000a1";
    cluster.submit(gang, buildSpec({ count: 4, isGang: true, needs: wide }), GANG_QUEUE);
    for (; cluster.now < submittedAtMs + 8_000; cluster.runFor(200)) {
        submitBatch();
    }
    const started = cluster.runs.find((run) => run.task.startsWith(gang));
    t.true((started?.startedAtMs ?? Number.POSITIVE_INFINITY) - submittedAtMs < 3_000);
    t.is(cluster.getJobState(gang), "complete");
    cluster.runFor(120_000);
    t.true([...cluster.committedState.jobs.values()].every((job) => job.state === "complete"));
    t.deepEqual(cluster.violations, []);
});

test("preempts tasks for a gang only if that frees all of its workers", (t) => {
    // One worker runs tasks with checkpoints, the other long tasks without. Preempting only the
    // first would leave it idle until the second is free.
    const cluster = new SimulatedCluster({
        workers: 2,
        computeTaskMs: (task) => (task.startsWith("00000000000000b") ? 10_000 : 3_000),
        queues: buildQueues(),
    });
    const needs = { cpu: 8_000, memoryMb: 500, gpu: 0 };
    cluster.submit("00000000000000b1", buildSpec({ count: 2, needs }), BATCH_QUEUE);
    cluster.runFor(500);
    cluster.submit(
        "00000000000000c1",
        buildSpec({ count: 2, needs, savesProgress: true }),
        BATCH_QUEUE,
    );
    cluster.runFor(500);
    const wide = { cpu: 16_000, memoryMb: 500, gpu: 0 };
    cluster.submit(
        "00000000000000a1",
        buildSpec({ count: 2, isGang: true, needs: wide }),
        GANG_QUEUE,
    );
    cluster.runFor(4_000);
    t.is(cluster.getJobState("00000000000000c1"), "complete");
    cluster.runFor(20_000);
    t.is(cluster.getJobState("00000000000000a1"), "complete");
    t.deepEqual(cluster.violations, []);
});

// Guards against a gang that waits for memory which preemptible tasks hold.
test("a gang that is short of memory preempts the tasks that hold it", (t) => {
    const cluster = new SimulatedCluster({
        workers: 2,
        computeTaskMs: (task) => (task.startsWith("00000000000000c") ? 60_000 : 500),
        queues: buildQueues(),
    });
    const memory = { cpu: 100, memoryMb: 20_000, gpu: 0 };
    cluster.submit(
        "00000000000000c1",
        buildSpec({ count: 2, needs: memory, estimateMs: 60_000, savesProgress: true }),
        BATCH_QUEUE,
    );
    cluster.runFor(500);
    const gang = "00000000000000a1";
    const needs = { cpu: 1_000, memoryMb: 30_000, gpu: 0 };
    cluster.submit(gang, buildSpec({ count: 2, isGang: true, needs }), GANG_QUEUE);
    cluster.runFor(5_000);
    t.is(cluster.getJobState(gang), "complete");
    t.deepEqual(cluster.violations, []);
});

// Guards against preemption that discards work and starts a gang no sooner.
test("a gang waits for tasks that are about to end instead of preempting them", (t) => {
    const preempted: unknown[] = [];
    const cluster = new SimulatedCluster({
        workers: 2,
        taskMs: 1_200,
        queues: buildQueues(),
        dispatcherOptions: {
            recordDecision: (_kind, event, fields) => {
                if (event === "task preempted") {
                    preempted.push(fields);
                }
            },
        },
    });
    const batch = buildSpec({
        count: 8,
        needs: { ...NEEDS, memoryMb: 500 },
        estimateMs: 1_200,
        savesProgress: true,
    });
    cluster.submit("00000000000000b1", batch, BATCH_QUEUE);
    cluster.runFor(600);
    const gang = "00000000000000a1";
    const needs = { cpu: 16_000, memoryMb: 500, gpu: 0 };
    cluster.submit(gang, buildSpec({ count: 2, isGang: true, needs }), GANG_QUEUE);
    cluster.runFor(3_500);
    t.deepEqual(preempted, []);
    t.is(cluster.getJobState(gang), "complete");
});
