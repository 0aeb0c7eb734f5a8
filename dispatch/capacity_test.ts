import test from "ava";
import fc from "fast-check";
import type { Resources, WorkerId } from "../job/mod.ts";
import { createRandom } from "../tools/seeded_random.ts";
import { buildJobIds, buildSpec, buildWorkerReport, SimulatedCluster } from "./_fixtures.ts";
import { mergeCapacity } from "./reported_capacity.ts";

const JOB = "00000000000000d1";
const FULL_CAPACITY: Resources = { cpu: 16_000, memoryMb: 32_000, gpu: 0 };
const REDUCED_CAPACITY: Resources = { cpu: 4_000, memoryMb: 8_000, gpu: 0 };
const NO_CAPACITY: Resources = { cpu: 0, memoryMb: 0, gpu: 0 };
const HEARTBEAT_INTERVAL_MS = 1_500;

/** Submits more work than the cluster has capacity for. */
function submitBacklog(cluster: SimulatedCluster, jobs: number, intervalMs: number): void {
    const needs = { cpu: 2_000, memoryMb: 1_000, gpu: 0 };
    for (const id of buildJobIds(jobs)) {
        cluster.submit(id, buildSpec({ count: 4, needs }));
        cluster.runFor(intervalMs);
    }
}

/** Sends a heartbeat under the first worker's id that the worker itself did not send. */
function sendForeignHeartbeat(
    cluster: SimulatedCluster,
    capacity: Resources,
    sequence: number,
): void {
    const record = buildWorkerReport({ zone: "hall-a", capacity });
    cluster.dispatcher.handleHeartbeat({
        record,
        sequence,
        clockMs: undefined,
        leavesInMs: undefined,
    });
}

test("a smaller capacity applies at once, a larger one after two consecutive heartbeats report it", (t) => {
    t.deepEqual(mergeCapacity(FULL_CAPACITY, REDUCED_CAPACITY, undefined), {
        capacity: REDUCED_CAPACITY,
        unconfirmed: undefined,
    });
    t.deepEqual(mergeCapacity(REDUCED_CAPACITY, FULL_CAPACITY, undefined), {
        capacity: REDUCED_CAPACITY,
        unconfirmed: FULL_CAPACITY,
    });
    t.deepEqual(mergeCapacity(REDUCED_CAPACITY, FULL_CAPACITY, FULL_CAPACITY), {
        capacity: FULL_CAPACITY,
        unconfirmed: undefined,
    });
    const larger = { ...FULL_CAPACITY, cpu: 99_000 };
    t.deepEqual(mergeCapacity(REDUCED_CAPACITY, larger, FULL_CAPACITY), {
        capacity: REDUCED_CAPACITY,
        unconfirmed: larger,
    });
    t.deepEqual(mergeCapacity(REDUCED_CAPACITY, REDUCED_CAPACITY, FULL_CAPACITY), {
        capacity: REDUCED_CAPACITY,
        unconfirmed: undefined,
    });
    const mixed = { ...REDUCED_CAPACITY, cpu: 99_000, memoryMb: 10 };
    t.deepEqual(mergeCapacity(REDUCED_CAPACITY, mixed, undefined).capacity, {
        ...REDUCED_CAPACITY,
        memoryMb: 10,
    });
});

// Guards against placement by the capacity that a worker reported when it joined.
test("a worker whose capacity shrinks gets no start that exceeds it", (t) => {
    const cluster = new SimulatedCluster({ workers: 2, taskMs: 700 });
    cluster.runFor(2_000);
    cluster.setCapacity("w1" as WorkerId, REDUCED_CAPACITY);
    submitBacklog(cluster, 120, 100);
    t.deepEqual(cluster.violations, []);
});

// Guards against discarding a report of zero capacity as malformed.
test("a worker without capacity gets no start", (t) => {
    const cluster = new SimulatedCluster({ workers: 2, taskMs: 700 });
    cluster.runFor(2_000);
    cluster.setCapacity("w1" as WorkerId, NO_CAPACITY);
    submitBacklog(cluster, 120, 100);
    t.deepEqual(cluster.violations, []);
});

// Guards against capacity that stays unused after it is restored.
test("a worker whose capacity is restored is fully used again", (t) => {
    const cluster = new SimulatedCluster({ workers: 1, taskMs: 700 });
    cluster.runFor(2_000);
    cluster.setCapacity("w1" as WorkerId, REDUCED_CAPACITY);
    cluster.runFor(8_000);
    cluster.setCapacity("w1" as WorkerId, FULL_CAPACITY);
    cluster.runFor(3 * HEARTBEAT_INTERVAL_MS);
    cluster.submit(JOB, buildSpec({ count: 8, needs: { cpu: 2_000, memoryMb: 1_000, gpu: 0 } }));
    cluster.runFor(300);
    t.is(cluster.runs.length, 8);
    t.deepEqual(cluster.violations, []);
});

// Guards against ignoring a worker's shutdown notice after its capacity has changed.
test("a worker that announces its shutdown after a capacity change gets no new start", (t) => {
    const cluster = new SimulatedCluster({ workers: 2, taskMs: 300 });
    cluster.runFor(2_000);
    cluster.setCapacity("w1" as WorkerId, REDUCED_CAPACITY);
    cluster.runFor(2 * HEARTBEAT_INTERVAL_MS);
    cluster.drainWorker("w1" as WorkerId, 6_000);
    cluster.runFor(100);
    const startsBefore = cluster.runs.length;
    submitBacklog(cluster, 20, 100);
    t.true(cluster.runs.slice(startsBefore).every(({ worker }) => worker !== "w1"));
});

// Guards against a new leader that places by capacities recorded before the outage.
test("a capacity that shrinks while there is no leader limits the next leader", (t) => {
    const cluster = new SimulatedCluster({ workers: 2, taskMs: 2_000 });
    cluster.runFor(2_000);
    cluster.stopLeader();
    cluster.runFor(1_000);
    cluster.setCapacity("w1" as WorkerId, REDUCED_CAPACITY);
    cluster.runFor(6_000);
    cluster.replaceLeader({ hasImmediateHeartbeats: false });
    submitBacklog(cluster, 60, 50);
    t.deepEqual(cluster.violations, []);
});

// Guards against a cluster that idles after a leader change until all heartbeats have arrived.
test("a new leader places tasks at once on workers whose heartbeats are on record", (t) => {
    const cluster = new SimulatedCluster({ workers: 4, taskMs: 300 });
    cluster.runFor(3_200);
    cluster.replaceLeader({ hasImmediateHeartbeats: false });
    cluster.submit(JOB, buildSpec({ count: 4 }));
    cluster.runFor(200);
    t.is(cluster.runs.length, 4);
    t.deepEqual(cluster.violations, []);
});

// Guards against starts on a worker whose heartbeats, and so its capacity changes, are lost.
test("a worker that answers orders but whose heartbeats are lost gets no start that exceeds its capacity", (t) => {
    const cluster = new SimulatedCluster({ workers: 2, taskMs: 700 });
    cluster.runFor(2_000);
    cluster.dropHeartbeats("w1" as WorkerId);
    cluster.setCapacity("w1" as WorkerId, REDUCED_CAPACITY);
    submitBacklog(cluster, 150, 100);
    t.deepEqual(cluster.violations, []);
});

// Guards against sending a start after a slow commit, when its capacity report is stale.
test("a start delayed by a slow commit is not sent when the capacity report is stale", (t) => {
    let commitDelayMs = 12;
    const cluster = new SimulatedCluster({
        workers: 1,
        taskMs: 700,
        computeCommitDelayMs: () => commitDelayMs,
    });
    cluster.runFor(3_010);
    cluster.dropHeartbeats("w1" as WorkerId);
    cluster.setCapacity("w1" as WorkerId, REDUCED_CAPACITY);
    cluster.runFor(2_000);
    commitDelayMs = 3_000;
    cluster.submit(JOB, buildSpec({ count: 8, needs: { cpu: 2_000, memoryMb: 1_000, gpu: 0 } }));
    cluster.runFor(8_000);
    t.deepEqual(cluster.violations, []);
    t.is(cluster.runs.length, 0);
});

// Guards against rejecting work as infeasible during a temporary capacity reduction.
test("a job that fits the workers' full capacity is not rejected while that capacity is reduced", (t) => {
    const cluster = new SimulatedCluster({ workers: 2, taskMs: 300 });
    cluster.runFor(2_000);
    for (const id of ["w1", "w2"]) {
        cluster.setCapacity(id as WorkerId, REDUCED_CAPACITY);
    }
    cluster.runFor(2 * HEARTBEAT_INTERVAL_MS);
    cluster.submit(JOB, buildSpec({ needs: { cpu: 9_000, memoryMb: 1_000, gpu: 0 } }));
    cluster.runFor(2_000);
    t.is(cluster.getJobState(JOB), "queued");
    cluster.setCapacity("w2" as WorkerId, FULL_CAPACITY);
    cluster.runFor(4 * HEARTBEAT_INTERVAL_MS);
    t.is(cluster.getJobState(JOB), "complete");
    t.deepEqual(cluster.violations, []);
});

// Guards against starts that rely on a single unconfirmed report of larger capacity.
test("a larger capacity that was reported only once is not allocated", (t) => {
    const cluster = new SimulatedCluster({ workers: 1, taskMs: 700 });
    cluster.runFor(1_000);
    sendForeignHeartbeat(cluster, { cpu: 999_000, memoryMb: 999_000, gpu: 8 }, 2);
    submitBacklog(cluster, 60, 50);
    t.deepEqual(cluster.violations, []);
});

// Guards against a false report of smaller capacity that disables a worker permanently.
test("a falsely reported smaller capacity lasts until the worker's own next heartbeats", (t) => {
    const cluster = new SimulatedCluster({ workers: 1, taskMs: 300 });
    cluster.runFor(1_000);
    sendForeignHeartbeat(cluster, NO_CAPACITY, 2);
    cluster.submit(JOB, buildSpec({}));
    cluster.runFor(4 * HEARTBEAT_INTERVAL_MS);
    t.is(cluster.getJobState(JOB), "complete");
});

// Guards against a control instance whose outdated state makes a change look like a keep-alive.
test("the capacity that a keep-alive reports limits the worker's starts", (t) => {
    const cluster = new SimulatedCluster({ workers: 1, taskMs: 700 });
    cluster.runFor(1_600);
    cluster.dropHeartbeats("w1" as WorkerId);
    cluster.setCapacity("w1" as WorkerId, REDUCED_CAPACITY);
    for (let i = 0; i < 8; i++) {
        cluster.dispatcher.handleKeepAlive({
            worker: "w1" as WorkerId,
            sequence: 100 + i,
            clockMs: cluster.now,
            capacity: REDUCED_CAPACITY,
        });
        submitBacklog(cluster, 10, 100);
    }
    t.deepEqual(cluster.violations, []);
    t.true(cluster.runs.length > 10);
});

// Guards against limits that hold for one capacity change but not for many, combined with faults.
test("workers whose capacities change are never overcommitted under other faults, and all jobs complete", (t) => {
    const property = fc.property(fc.integer({ min: 1, max: 1_000_000 }), (seed) => {
        const random = createRandom(seed);
        let isFaultFree = false;
        const cluster = new SimulatedCluster({
            workers: 6,
            taskMs: 500,
            clockDrift: 0.01,
            getFault: () => {
                const draw = isFaultFree ? 1 : random();
                return draw < 0.03 ? { type: "lost" } : { type: "none" };
            },
        });
        const ids = buildJobIds(120);
        ids.forEach((id, i) => {
            const cpu = 500 + Math.floor(random() * 3_500);
            cluster.submit(id, buildSpec({ count: 3, needs: { cpu, memoryMb: 500, gpu: 0 } }));
            cluster.runFor(100);
            const worker = `w${1 + Math.floor(random() * 6)}` as WorkerId;
            if (random() < 0.2) {
                const fraction = random();
                cluster.setCapacity(worker, {
                    cpu: Math.floor(16_000 * fraction),
                    memoryMb: 32_000,
                    gpu: 0,
                });
            }
            if (i % 40 === 39) {
                cluster.stopLeader();
                cluster.runFor(random() * 5_000);
                cluster.replaceLeader({ hasImmediateHeartbeats: random() < 0.5 });
            }
        });
        isFaultFree = true;
        for (let i = 1; i <= 6; i++) {
            cluster.setCapacity(`w${i}` as WorkerId, FULL_CAPACITY);
        }
        cluster.runFor(40_000);
        t.deepEqual(cluster.violations, []);
        t.deepEqual(
            ids.filter((id) => cluster.getJobState(id) !== "complete"),
            [],
        );
    });
    fc.assert(property, { numRuns: 12, seed: 11 });
});
