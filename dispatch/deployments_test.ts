import test from "ava";
import type { WorkerId } from "../job/mod.ts";
import { buildSpec, SimulatedCluster, QUEUE } from "./_fixtures.ts";

const JOB = "00000000000000a1";
const OTHER_JOB = "00000000000000b2";

function listWorkers(cluster: SimulatedCluster, job = JOB): WorkerId[] {
    return cluster.runs.filter((run) => run.task.startsWith(job)).map((run) => run.worker);
}

test("tasks that need an accelerator run only on workers with a free one", (t) => {
    // Guards against placement that considers processors alone.
    const cluster = new SimulatedCluster({
        workers: 4,
        taskMs: 500,
        getWorkerOverrides: (n) => ({
            capacity: { cpu: 16_000, memoryMb: 32_000, gpu: n > 2 ? 2 : 0 },
        }),
    });
    cluster.submit(JOB, buildSpec({ count: 6, needs: { cpu: 100, memoryMb: 100, gpu: 1 } }));
    cluster.runFor(300);
    t.deepEqual([...listWorkers(cluster)].sort(), ["w3", "w3", "w4", "w4"]);
    cluster.runFor(2_000);
    t.is(cluster.getJobState(JOB), "complete");
});

test("a step that requires a label runs only on workers that have it", (t) => {
    const cluster = new SimulatedCluster({
        workers: 3,
        getWorkerOverrides: (n) => ({ labels: [n === 2 ? "special" : "a", "r1"] }),
    });
    cluster.submit(JOB, buildSpec({ count: 4, requiredLabel: "special" }));
    cluster.runFor(2_000);
    t.deepEqual([...new Set(listWorkers(cluster))], ["w2" as WorkerId]);
    t.is(cluster.getJobState(JOB), "complete");
});

test("a rack-local gang is placed on one rack when it has the capacity", (t) => {
    const cluster = new SimulatedCluster({
        workers: 4,
        getWorkerOverrides: (n) => ({ labels: ["a", n % 2 === 0 ? "even" : "odd"] }),
    });
    const needs = { cpu: 8_000, memoryMb: 1_000, gpu: 0 };
    cluster.submit(JOB, buildSpec({ count: 4, isGang: true, isRackLocal: true, needs }));
    cluster.runFor(300);
    const racks = new Set(listWorkers(cluster).map((id) => Number(id.slice(1)) % 2));
    t.is(racks.size, 1);
});

test("a step's limit of tasks per worker also holds across attempts", (t) => {
    const cluster = new SimulatedCluster({
        workers: 2,
        taskMs: 400,
        getOutcome: (task) => (task.endsWith(".0") ? "failed" : "done"),
    });
    cluster.submit(JOB, buildSpec({ count: 4, maxPerWorker: 1 }));
    for (let i = 0; i < 40; i++) {
        cluster.runFor(50);
        for (const worker of cluster.workers.values()) {
            t.true(worker.runs.length <= 1);
        }
    }
});

test("a start refused for lack of capacity does not count as a failed attempt", (t) => {
    // Guards against counting a worker's capacity refusals as failed attempts, and against
    // retrying them in a tight loop.
    let refusals = 0;
    const cluster = new SimulatedCluster({ workers: 2, taskMs: 300 });
    const [first] = cluster.workers.values();
    const originalStart = first?.start.bind(first);
    if (first !== undefined && originalStart !== undefined) {
        first.start = (order) => {
            if (cluster.now < 2_000) {
                refusals += 1;
                return { type: "refused", reason: "no_room" };
            }
            return originalStart(order);
        };
    }
    cluster.submit(JOB, buildSpec({ count: 30, needs: { cpu: 4_000, memoryMb: 100, gpu: 0 } }));
    cluster.runFor(6_000);
    t.is(cluster.getJobState(JOB), "complete");
    t.true(refusals < 200, `${refusals} refusals`);
});

// Guards against frequent retries of a start that no worker can parse.
test("a start that workers reject as invalid is retried at a limited rate, and other jobs proceed", (t) => {
    let refusals = 0;
    const cluster = new SimulatedCluster({ workers: 3, taskMs: 300 });
    for (const worker of cluster.workers.values()) {
        const start = worker.start.bind(worker);
        worker.start = (order) => {
            if (!order.task.startsWith(JOB)) {
                return start(order);
            }
            refusals += 1;
            return { type: "refused", reason: "invalid" };
        };
    }
    cluster.submit(JOB, buildSpec({ count: 3 }));
    cluster.submit(OTHER_JOB, buildSpec({ count: 30 }));
    cluster.runFor(10_000);
    t.is(cluster.getJobState(OTHER_JOB), "complete");
    t.true(refusals <= 30, `${refusals} refusals`);
});

test("overlapping occurrences run concurrently, each exactly once", (t) => {
    const cluster = new SimulatedCluster({ workers: 2, taskMs: 1_500 });
    const spec = buildSpec({ count: 2 });
    cluster.submit(JOB, { ...spec, repeats: 3, firstAtMs: 500, periodMs: 500 });
    cluster.runFor(4_000);
    t.is(cluster.getJobState(JOB), "complete");
    t.deepEqual([...new Set(cluster.runs.map((run) => run.task))].length, cluster.runs.length);
    t.is(cluster.runs.length, 6);
});

test("a perpetual task restarts within seconds of its worker's death in a full cluster", (t) => {
    // The cluster is full of batch tasks: the perpetual task must get the next free capacity.
    const cluster = new SimulatedCluster({
        workers: 3,
        computeTaskMs: (task) => (task.startsWith(JOB) ? 1e9 : 700),
        capacity: { cpu: 2_000, memoryMb: 32_000, gpu: 0 },
    });
    cluster.submit(JOB, buildSpec({ count: 1, isPerpetual: true, maxAbsent: 1 }));
    cluster.runFor(100);
    cluster.submit(OTHER_JOB, buildSpec({ count: 60, estimateMs: 700 }), QUEUE);
    cluster.runFor(500);
    const [firstWorker] = listWorkers(cluster);
    cluster.killWorker(firstWorker as WorkerId);
    cluster.runFor(13_000);
    t.is(listWorkers(cluster).length, 2);
    t.deepEqual(cluster.violations, []);
});
