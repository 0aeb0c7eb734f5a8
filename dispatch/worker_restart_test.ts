import test from "ava";
import type { WorkerId } from "../job/mod.ts";
import {
    buildJobIds,
    buildSpec,
    SimulatedCluster,
    type SimulatedClusterOptions,
} from "./_fixtures.ts";

const WORKER_COUNT = 3;
const RESTART_DELAY_MS = 400;
const JOB_INTERVAL_MS = 60;

/** Builds a cluster whose workers keep their ids when they restart after a crash. */
function buildRestartingCluster(options: Partial<SimulatedClusterOptions> = {}): SimulatedCluster {
    return new SimulatedCluster({
        workers: WORKER_COUNT,
        taskMs: 200,
        restartDelayMs: RESTART_DELAY_MS,
        isIdKept: true,
        ...options,
    });
}

function submitJobs(cluster: SimulatedCluster, ids: readonly string[]): void {
    for (const id of ids) {
        cluster.submit(id, buildSpec({ count: 2 }));
        cluster.runFor(JOB_INTERVAL_MS);
    }
}

/** Crashes all workers and waits until they have restarted. */
function crashAllWorkers(cluster: SimulatedCluster): void {
    for (let i = 1; i <= WORKER_COUNT; i++) {
        cluster.crashWorker(`w${i}` as WorkerId);
    }
    cluster.runFor(RESTART_DELAY_MS + 100);
}

// Guards against acknowledging ends of a restarted worker by the numbers of its previous life.
test("a finished task is not started again after its worker restarted under the same id", (t) => {
    const cluster = buildRestartingCluster();
    const ids = buildJobIds(80);
    submitJobs(cluster, ids.slice(0, 40));
    cluster.runFor(2_000);
    crashAllWorkers(cluster);
    submitJobs(cluster, ids.slice(40));
    cluster.runFor(15_000);
    t.deepEqual(cluster.violations, []);
    t.true(ids.every((id) => cluster.getJobState(id) === "complete"));
});

// Guards against failures of a restarted worker's tasks that are acknowledged but not counted.
test("a task's failures count after its worker restarted under the same id", (t) => {
    const ids = buildJobIds(60);
    const failing = ids.slice(40);
    const cluster = buildRestartingCluster({
        getOutcome: (task) => (failing.includes(task.slice(0, 16)) ? "failed" : "done"),
    });
    submitJobs(cluster, ids.slice(0, 40));
    cluster.runFor(2_000);
    crashAllWorkers(cluster);
    submitJobs(cluster, failing);
    cluster.runFor(30_000);
    t.deepEqual(cluster.violations, []);
    t.true(failing.every((id) => cluster.getJobState(id) === "failed"));
});

// Guards against a shutdown notice that is dropped as outdated, since its numbers begin again.
test("a worker that restarted under the same id and announces its shutdown gets no new start", (t) => {
    const cluster = buildRestartingCluster();
    const ids = buildJobIds(80);
    cluster.runFor(30_000);
    crashAllWorkers(cluster);
    submitJobs(cluster, ids.slice(0, 20));
    cluster.drainWorker("w1" as WorkerId, 8_000);
    cluster.runFor(2_500);
    cluster.replaceLeader({ hasImmediateHeartbeats: false });
    submitJobs(cluster, ids.slice(20));
    t.deepEqual(cluster.violations, []);
});

// Guards against shutdown notices of the previous life that keep a restarted worker idle.
test("a worker that restarted under the same id after draining gets new starts", (t) => {
    const cluster = buildRestartingCluster({ workers: 1 });
    cluster.runFor(3_000);
    cluster.drainWorker("w1" as WorkerId, 2_000);
    cluster.runFor(1_000);
    cluster.crashWorker("w1" as WorkerId);
    cluster.runFor(RESTART_DELAY_MS + 100);
    submitJobs(cluster, buildJobIds(2));
    cluster.runFor(5_000);
    t.true(buildJobIds(2).every((id) => cluster.getJobState(id) === "complete"));
});
