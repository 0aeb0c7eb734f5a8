import test from "ava";
import type { WorkerId } from "../job/mod.ts";
import { buildSpec, SimulatedCluster, type OrderFault } from "./_fixtures.ts";

const JOB = "00000000000000a1";
const W1 = "w1" as WorkerId;
const W2 = "w2" as WorkerId;
const MAX_CALL_DELAY_MS = 3_000;
/** When the last of three start orders is given up, after 400 ms each. */
const LAST_GIVEN_UP_MS = 1_200;
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
    t.true((run?.startedAtMs ?? 0) > LAST_GIVEN_UP_MS + MAX_CALL_DELAY_MS);
    t.true((run?.startedAtMs ?? 0) < LAST_GIVEN_UP_MS + MAX_CALL_DELAY_MS + 500);
    t.is(cluster.getJobState(JOB), "complete");
});

// Guards against a gang whose members wait for one that is missing until its start is out of date.
test("a gang with a missing member is stopped before that member's attempt ends", (t) => {
    const cluster = buildClusterWithSilentWorker(2, GANG_RUN_MS);
    const needs = { cpu: 10_000, memoryMb: 1_000, gpu: 0 };
    cluster.submit(JOB, buildSpec({ count: 2, isGang: true, needs }));
    cluster.runFor(SILENT_MS + 500);
    t.is(cluster.runs.length, 1);
    t.deepEqual(cluster.workers.get(W2)?.runs, []);
    cluster.runFor(5_000);
    t.deepEqual(
        cluster.runs.map(({ attempt }) => attempt),
        [1, 2, 2],
    );
    t.deepEqual(cluster.violations, []);
});

/** What happens to a worker whose first start order is executed late. */
interface LateStartCase {
    readonly taskMs: number;
    /** How late which start order is executed, in ms and counted from 1; the others are not. */
    readonly lateStart: { readonly number: number; readonly afterMs: number };
    /** Whether the other start orders are lost. */
    readonly hasLostStarts?: boolean;
    readonly crashedAfterMs: number;
    readonly clockDrift?: number;
}

/**
 * Runs one task on a worker that crashes, restarts and is isolated, while another worker is free.
 *
 * @returns The violations of invariants.
 */
function runLateStart(lateStartCase: LateStartCase): readonly string[] {
    const { taskMs, lateStart, hasLostStarts = false, crashedAfterMs, clockDrift } = lateStartCase;
    let starts = 0;
    const cluster = new SimulatedCluster({
        workers: 2,
        taskMs,
        isIdKept: true,
        restartDelayMs: 600,
        clockDrift,
        getFault: (kind, worker): OrderFault => {
            if (kind !== "start" || worker !== W1) {
                return { type: "none" };
            }
            starts += 1;
            if (starts === lateStart.number) {
                return { type: "late", afterMs: lateStart.afterMs };
            }
            return hasLostStarts ? { type: "lost" } : { type: "none" };
        },
    });
    const capacity = { cpu: 16_000, memoryMb: 32_000, gpu: 0 };
    cluster.setCapacity(W2, { cpu: 0, memoryMb: 0, gpu: 0 });
    cluster.runFor(30_000);
    cluster.submit(JOB, buildSpec({}));
    cluster.setCapacity(W2, capacity);
    cluster.runFor(crashedAfterMs);
    cluster.crashWorker(W1);
    cluster.runFor(1);
    cluster.setIsolated(W1, true);
    cluster.runFor(18_000);
    cluster.setIsolated(W1, false);
    cluster.runFor(10_000);
    return cluster.violations;
}

// Guards against a listed run's expiry while a late start of the same task runs elsewhere.
test("a listed run does not hide a late start in the next incarnation", (t) => {
    const lateStart = { number: 1, afterMs: 2_300 };
    t.deepEqual(runLateStart({ taskMs: 20_000, lateStart, crashedAfterMs: 1_200 }), []);
});

// Guards against a delay that is counted from sending an order instead of from giving it up.
test("a start that is executed long after it was given up is its task's only run", (t) => {
    const violations = [2_900, 3_300].flatMap((afterMs) =>
        runLateStart({
            taskMs: 30_000,
            lateStart: { number: 3, afterMs },
            hasLostStarts: true,
            crashedAfterMs: 600,
            clockDrift: 0.02,
        }),
    );
    t.deepEqual(violations, []);
});

// Guards against acknowledging the end of one start while another can still be executed.
test("a late start does not repeat a task whose other start has ended as done", (t) => {
    const lateStart = { number: 1, afterMs: 2_300 };
    t.deepEqual(runLateStart({ taskMs: 300, lateStart, crashedAfterMs: 1_200 }), []);
});
