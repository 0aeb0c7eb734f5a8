import test from "ava";
import type { WorkerId } from "../job/mod.ts";
import { buildSpec, SimulatedCluster } from "./_fixtures.ts";

const JOB = "00000000000000a1";
const DRAINING_WORKER = "w1" as WorkerId;

/** Creates two workers with a job on the first one, which then announces its departure. */
function drainFirstWorker(options: { readonly taskMs: number; readonly leavesInMs: number }) {
    const cluster = new SimulatedCluster({ workers: 1, taskMs: options.taskMs });
    cluster.submit(JOB, buildSpec({ count: 2, estimateMs: options.taskMs, savesProgress: true }));
    cluster.runFor(200);
    cluster.addWorker("w2" as WorkerId, "10.0.0.2:80");
    cluster.drainWorker(DRAINING_WORKER, options.leavesInMs);
    return cluster;
}

test("evacuates tasks that cannot finish before their worker leaves", (t) => {
    const cluster = drainFirstWorker({ taskMs: 5_000, leavesInMs: 3_000 });
    cluster.runFor(2_600);
    t.deepEqual(
        cluster.runs.map((run) => run.worker),
        [DRAINING_WORKER, DRAINING_WORKER, "w2", "w2"],
    );
    t.deepEqual(cluster.violations, []);
});

test("keeps tasks that finish before their worker leaves", (t) => {
    const cluster = drainFirstWorker({ taskMs: 2_500, leavesInMs: 4_000 });
    cluster.runFor(4_000);
    t.is(cluster.runs.length, 2);
    t.is(cluster.getJobState(JOB), "complete");
});

test("stops no task while no other worker has capacity for it", (t) => {
    const cluster = new SimulatedCluster({ workers: 1, taskMs: 5_000 });
    cluster.submit(JOB, buildSpec({ count: 2, estimateMs: 5_000, savesProgress: true }));
    cluster.runFor(200);
    cluster.drainWorker(DRAINING_WORKER, 3_000);
    cluster.runFor(2_600);
    t.deepEqual(
        cluster.workers.get(DRAINING_WORKER)?.runs.map((run) => run.stopsAtMs),
        [undefined, undefined],
    );
});

test("evacuates a perpetual task before its worker leaves", (t) => {
    const cluster = new SimulatedCluster({ workers: 1, taskMs: 1e9 });
    cluster.submit(JOB, buildSpec({ count: 1, isPerpetual: true }));
    cluster.runFor(200);
    cluster.addWorker("w2" as WorkerId, "10.0.0.2:80");
    cluster.drainWorker(DRAINING_WORKER, 3_000);
    cluster.runFor(2_600);
    t.deepEqual(
        cluster.runs.map((run) => run.worker),
        [DRAINING_WORKER, "w2"],
    );
});
