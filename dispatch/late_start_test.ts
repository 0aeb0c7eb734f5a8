import test from "ava";
import type { WorkerId } from "../job/mod.ts";
import { buildSpec, SimulatedCluster, type OrderFault } from "./_fixtures.ts";

const JOB = "00000000000000a1";
const W1 = "w1" as WorkerId;
const MAX_CALL_DELAY_MS = 3_000;
/** How long after the submission starts on the first worker get no answer, in ms. */
const SILENT_MS = 2_000;
const GANG_RUN_MS = 60_000;

/** Builds a cluster whose first worker leaves starts unanswered, and does not execute them. */
function buildClusterWithSilentWorker(workers: number, taskMs: number): SimulatedCluster {
    const cluster: SimulatedCluster = new SimulatedCluster({
        workers,
        taskMs,
        isIdKept: true,
        dispatcherOptions: { limits: { maxCallDelayMs: MAX_CALL_DELAY_MS } },
        getFault: (kind, worker): OrderFault => {
            const isSilent = kind === "start" && worker === W1 && cluster.now < SILENT_MS;
            return isSilent ? { type: "lost" } : { type: "none" };
        },
    });
    return cluster;
}

// Guards against starting a task elsewhere while the next incarnation may still execute its start.
test("a task whose starts got no answer waits until they can no longer be executed", (t) => {
    const cluster = buildClusterWithSilentWorker(1, 300);
    cluster.submit(JOB, buildSpec({}));
    cluster.runFor(SILENT_MS);
    t.deepEqual(cluster.runs, []);
    cluster.runFor(10_000);
    const [run] = cluster.runs;
    t.is(run?.attempt, 2);
    t.true((run?.startedAtMs ?? 0) > MAX_CALL_DELAY_MS);
    t.is(cluster.getJobState(JOB), "complete");
});

// Guards against a gang whose members wait for one that is missing until its start is out of date.
test("a gang with a missing member is stopped before that member's attempt ends", (t) => {
    const cluster = buildClusterWithSilentWorker(2, GANG_RUN_MS);
    const needs = { cpu: 10_000, memoryMb: 1_000, gpu: 0 };
    cluster.submit(JOB, buildSpec({ count: 2, isGang: true, needs }));
    cluster.runFor(SILENT_MS + 500);
    t.is(cluster.runs.length, 1);
    t.deepEqual(cluster.workers.get("w2" as WorkerId)?.runs, []);
    cluster.runFor(5_000);
    t.deepEqual(
        cluster.runs.map(({ attempt }) => attempt),
        [1, 2, 2],
    );
    t.deepEqual(cluster.violations, []);
});
