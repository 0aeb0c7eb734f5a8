import test from "ava";
import fc from "fast-check";
import type { PoolName } from "../configuration/mod.ts";
import type { Incarnation, WorkerId } from "../job/mod.ts";
import { createRandom } from "../tools/seeded_random.ts";
import {
    buildJobIds,
    buildSpec,
    SimulatedCluster,
    type OrderFault,
    type SimulatedClusterOptions,
} from "./_fixtures.ts";
import type { Heartbeat, StateAnswer } from "./types.ts";

const W1 = "w1" as WorkerId;
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

function getHeartbeat(cluster: SimulatedCluster): Heartbeat {
    const heartbeat = cluster.buildHeartbeat(W1);
    if (heartbeat === undefined) {
        throw new Error("w1 is down");
    }
    return heartbeat;
}

function sendHeartbeat(
    cluster: SimulatedCluster,
    heartbeat: Heartbeat,
    overrides: Partial<Heartbeat["record"]> = {},
): void {
    const record = { ...heartbeat.record, ...overrides };
    cluster.dispatcher.handleHeartbeat({ ...heartbeat, record });
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
    cluster.drainWorker(W1, 8_000);
    cluster.runFor(2_500);
    const startsBefore = cluster.runs.length;
    cluster.replaceLeader({ hasImmediateHeartbeats: false });
    submitJobs(cluster, ids.slice(20));
    t.true(cluster.runs.length > startsBefore);
    t.true(cluster.runs.slice(startsBefore).every(({ worker }) => worker !== "w1"));
    t.deepEqual(cluster.violations, []);
});

// Guards against shutdown notices of the previous life that keep a restarted worker idle.
test("a worker that restarted under the same id after draining gets new starts", (t) => {
    const cluster = buildRestartingCluster({ workers: 1 });
    cluster.runFor(3_000);
    cluster.drainWorker(W1, 2_000);
    cluster.runFor(1_000);
    cluster.crashWorker(W1);
    cluster.runFor(RESTART_DELAY_MS + 100);
    submitJobs(cluster, buildJobIds(2));
    cluster.runFor(5_000);
    t.true(buildJobIds(2).every((id) => cluster.getJobState(id) === "complete"));
});

// Guards against a delayed heartbeat that brings a previous incarnation back.
test("a late heartbeat of the previous incarnation changes nothing", (t) => {
    const cluster = buildRestartingCluster({ workers: 1 });
    cluster.runFor(3_000);
    const late = getHeartbeat(cluster);
    cluster.crashWorker(W1);
    cluster.runFor(RESTART_DELAY_MS + 100);
    const { incarnation } = getHeartbeat(cluster).record;
    sendHeartbeat(cluster, { ...late, sequence: 500 }, { isDraining: true });
    cluster.runFor(2_000);
    const known = cluster.committedState.workers.get(W1);
    t.is(known?.incarnation, incarnation);
    t.false(known?.isDraining);
    cluster.drainWorker(W1, 6_000);
    cluster.runFor(200);
    sendHeartbeat(cluster, { ...late, sequence: 501 });
    cluster.runFor(200);
    t.true(cluster.committedState.workers.get(W1)?.isDraining);
});

// Guards against a heartbeat that moves a worker to an incarnation that is not running.
test("a heartbeat of an unknown incarnation counts only after the worker has confirmed it", (t) => {
    const cluster = buildRestartingCluster({ workers: 1, taskMs: 2_000 });
    cluster.runFor(3_000);
    const [id = ""] = buildJobIds(1);
    cluster.submit(id, buildSpec({ count: 2 }));
    cluster.runFor(300);
    const heartbeat = getHeartbeat(cluster);
    const incarnation = 77 as Incarnation;
    sendHeartbeat(cluster, { ...heartbeat, sequence: 1 }, { incarnation, isDraining: true });
    cluster.runFor(200);
    const known = cluster.committedState.workers.get(W1);
    t.is(known?.incarnation, heartbeat.record.incarnation);
    t.false(known?.isDraining);
    cluster.runFor(4_000);
    t.is(cluster.runs.length, 2);
    t.is(cluster.getJobState(id), "complete");
});

// Guards against taking the first report after an upgrade for a crash.
test("a worker whose record has no incarnation keeps its tasks when it reports one", (t) => {
    const cluster = buildRestartingCluster({ workers: 1, taskMs: 3_000 });
    cluster.runFor(3_000);
    const [id = ""] = buildJobIds(1);
    cluster.submit(id, buildSpec({ count: 4 }));
    cluster.runFor(500);
    const known = cluster.committedState.workers.get(W1);
    const encoded = JSON.parse(cluster.committedState.encode()) as { workers: object[] };
    encoded.workers = encoded.workers.map((worker) => ({ ...worker, incarnation: undefined }));
    cluster.committedState.restore(JSON.stringify(encoded));
    t.is(cluster.committedState.workers.get(W1)?.incarnation, undefined);
    cluster.replaceLeader();
    cluster.runFor(5_000);
    t.is(cluster.committedState.workers.get(W1)?.incarnation, known?.incarnation);
    t.is(cluster.runs.length, 4);
    t.is(cluster.getJobState(id), "complete");
});

// Guards against a restarted worker whose reports contradict what its previous process reported.
test("a worker that restarted in another pool is used for that pool only", (t) => {
    const cluster = buildRestartingCluster({ workers: 1 });
    const [first = "", second = ""] = buildJobIds(2);
    cluster.runFor(3_000);
    cluster.dropHeartbeats(W1);
    cluster.crashWorker(W1);
    cluster.runFor(RESTART_DELAY_MS);
    cluster.submit(first, buildSpec({}));
    cluster.runFor(2_000);
    const heartbeat = getHeartbeat(cluster);
    const pool = "archive" as PoolName;
    sendHeartbeat(cluster, { ...heartbeat, sequence: 1 }, { pool });
    cluster.runFor(300);
    t.is(cluster.committedState.workers.get(W1)?.pool, pool);
    cluster.submit(second, buildSpec({}));
    cluster.runFor(2_000);
    t.is(cluster.getJobState(second), "queued");
});

// Guards against a rolling upgrade in which no report names the incarnation for a while.
test("a keep-alive that an earlier release forwards counts for the known incarnation", (t) => {
    const cluster = buildRestartingCluster({ workers: 1 });
    cluster.runFor(1_600);
    cluster.dropHeartbeats(W1);
    const { capacity } = getHeartbeat(cluster).record;
    for (let sequence = 10; sequence < 16; sequence++) {
        const clockMs = cluster.workers.get(W1)?.clockMs;
        cluster.dispatcher.handleKeepAlive({ worker: W1, sequence, clockMs, capacity });
        cluster.runFor(1_000);
    }
    submitJobs(cluster, buildJobIds(1));
    cluster.runFor(1_000);
    t.is(cluster.getJobState(buildJobIds(1)[0] ?? ""), "complete");
});

// Guards against reports that another writer sends, or an instance of an earlier release forwards.
test("a heartbeat without an incarnation changes nothing once the worker reports one", (t) => {
    const cluster = buildRestartingCluster({ workers: 1 });
    cluster.runFor(3_000);
    const heartbeat = getHeartbeat(cluster);
    sendHeartbeat(
        cluster,
        { ...heartbeat, sequence: 500 },
        { incarnation: undefined, isDraining: true },
    );
    cluster.runFor(2_000);
    const known = cluster.committedState.workers.get(W1);
    t.is(known?.incarnation, heartbeat.record.incarnation);
    t.false(known?.isDraining);
    submitJobs(cluster, buildJobIds(2));
    cluster.runFor(3_000);
    t.true(buildJobIds(2).every((id) => cluster.getJobState(id) === "complete"));
});

// Guards against a delayed notice that removes a worker with running tasks.
test("a late departure of the previous incarnation does not remove the worker", (t) => {
    const cluster = buildRestartingCluster({ workers: 1, taskMs: 1_500 });
    cluster.runFor(3_000);
    const { incarnation: previous } = getHeartbeat(cluster).record;
    cluster.crashWorker(W1);
    cluster.runFor(RESTART_DELAY_MS + 2_000);
    const ids = buildJobIds(1);
    submitJobs(cluster, ids);
    cluster.runFor(300);
    cluster.dispatcher.handleLeave(W1, previous);
    cluster.dispatcher.handleLeave(W1, undefined);
    cluster.runFor(4_000);
    t.is(cluster.runs.length, 2);
    t.true(ids.every((id) => cluster.getJobState(id) === "complete"));
    cluster.dispatcher.handleLeave(W1, getHeartbeat(cluster).record.incarnation);
    t.false(cluster.dispatcher.takeOutput().facts.every(({ type }) => type !== "workerGone"));
});

// Guards against starting a task twice whose order the restarted worker has executed.
test("a start that reaches the next incarnation is the attempt's only run", (t) => {
    let hasLostOrder = false;
    const cluster = buildRestartingCluster({
        workers: 2,
        taskMs: 2_500,
        restartDelayMs: 50,
        getFault: (kind): OrderFault => {
            if (kind !== "start" || hasLostOrder) {
                return { type: "none" };
            }
            hasLostOrder = true;
            return { type: "late", afterMs: 120 };
        },
    });
    cluster.runFor(3_000);
    const [id = ""] = buildJobIds(1);
    cluster.submit(id, buildSpec({}));
    cluster.runFor(30);
    cluster.crashWorker(W1);
    cluster.crashWorker("w2" as WorkerId);
    cluster.runFor(12_000);
    t.deepEqual(cluster.violations, []);
    t.is(cluster.getJobState(id), "complete");
});

// Guards against single restarts being safe but not their overlap with other faults.
test("restarts under the same ids break no invariant beside lost orders, drains and leader changes", (t) => {
    const property = fc.property(fc.integer({ min: 1, max: 1_000_000 }), (seed) => {
        const random = createRandom(seed);
        let isFaultFree = false;
        const cluster = buildRestartingCluster({
            workers: 5,
            seed,
            taskMs: 250,
            restartDelayMs: 30 + random() * 3_000,
            getFault: (): OrderFault => {
                const draw = isFaultFree ? 1 : random();
                if (draw < 0.02) {
                    return { type: "lost" };
                }
                return draw < 0.03 ? { type: "refused" } : { type: "none" };
            },
            getOutcome: (task) => (task.endsWith("3.0.0.0") ? "failed" : "done"),
        });
        const ids = buildJobIds(60);
        for (const id of ids) {
            cluster.submit(id, buildSpec({ count: 2 }));
            cluster.runFor(100);
            const worker = `w${1 + Math.floor(random() * 5)}` as WorkerId;
            const draw = random();
            if (draw < 0.12) {
                cluster.crashWorker(worker);
            } else if (draw < 0.16) {
                cluster.drainWorker(worker, 4_000);
            } else if (draw < 0.2) {
                cluster.replaceLeader({ hasImmediateHeartbeats: random() < 0.5 });
            }
        }
        isFaultFree = true;
        for (let i = 1; i <= 5; i++) {
            cluster.crashWorker(`w${i}` as WorkerId);
        }
        cluster.runFor(60_000);
        const open = ids.filter((id) => ["queued", "running"].includes(cluster.getJobState(id)));
        return cluster.violations.length === 0 && open.length === 0;
    });
    t.notThrows(() => fc.assert(property, { numRuns: 25 }));
});

/** Builds a cluster whose worker `w1` has listed an end that is committed but not acknowledged. */
function buildClusterWithEnd(options: Partial<SimulatedClusterOptions> = {}): SimulatedCluster {
    const cluster = buildRestartingCluster({ workers: 1, ...options });
    cluster.runFor(3_000);
    const { incarnation } = getHeartbeat(cluster).record;
    sendPoll(cluster, 0, 1);
    cluster.dispatcher.confirmEnds(W1, incarnation, 1);
    cluster.runFor(1);
    return cluster;
}

/** Polls `w1`, which answers at once with the given number of ends, and returns the cursor sent. */
function sendPoll(cluster: SimulatedCluster, delayMs: number, ends: number): number | undefined {
    const order = cluster.dispatcher.preparePoll(W1, false);
    const sentAtMs = cluster.now;
    cluster.runFor(delayMs);
    if (order !== undefined) {
        cluster.dispatcher.handlePollAnswer(order, sentAtMs, buildAnswer(cluster, ends));
    }
    return order?.cursor;
}

function buildAnswer(cluster: SimulatedCluster, ends: number): StateAnswer {
    const { record, clockMs = 0 } = getHeartbeat(cluster);
    const ended = Array.from({ length: ends }, (_unused, i) => ({
        number: i + 1,
        task: "00000000000000a1.0.0.0",
        attempt: i + 1,
        how: "done" as const,
        checkpoint: "",
    }));
    return { type: "state", incarnation: record.incarnation, clockMs, running: [], ended };
}

// Guards against acknowledging ends of a worker whose restart its pending poll would tell of.
test("ends are not acknowledged while another poll is pending", (t) => {
    const cluster = buildClusterWithEnd();
    const pending = cluster.dispatcher.preparePoll(W1, true);
    t.is(pending?.cursor, 1);
    t.is(sendPoll(cluster, 1, 1), 0);
    if (pending !== undefined) {
        cluster.dispatcher.handlePollAnswer(pending, cluster.now, buildAnswer(cluster, 1));
    }
    cluster.dispatcher.confirmEnds(W1, getHeartbeat(cluster).record.incarnation, 2);
    t.is(sendPoll(cluster, 1, 2), 2);
});

// Guards against taking an answer from before a restart for a sign that there was none.
test("an answer to a poll that was sent before another call failed permits no acknowledgement", (t) => {
    const cluster = buildClusterWithEnd();
    const late = cluster.dispatcher.preparePoll(W1, false);
    const failed = cluster.dispatcher.preparePoll(W1, true);
    const sentAtMs = cluster.now;
    cluster.runFor(10);
    if (late === undefined || failed === undefined) {
        t.fail();
        return;
    }
    const noAnswer = { type: "unanswered", cause: "reset" } as const;
    cluster.dispatcher.handlePollAnswer(failed, sentAtMs, noAnswer);
    cluster.dispatcher.handlePollAnswer(late, sentAtMs, buildAnswer(cluster, 1));
    cluster.runFor(1);
    cluster.dispatcher.confirmEnds(W1, getHeartbeat(cluster).record.incarnation, 2);
    t.is(sendPoll(cluster, 1, 2), 0);
    t.is(sendPoll(cluster, 1, 2), 2);
});

// Guards against ends that are never acknowledged after a poll that the leader could not send.
test("a poll that was not sent does not hold back acknowledgements", (t) => {
    const cluster = buildClusterWithEnd();
    const unsent = cluster.dispatcher.preparePoll(W1, false);
    if (unsent !== undefined) {
        cluster.dispatcher.dropPoll(unsent);
    }
    t.is(cluster.dispatcher.preparePoll(W1, true)?.cursor, 1);
});

// Guards against acknowledging ends of an incarnation that executes a start meant for the one before.
test("ends are not acknowledged while a start awaits its answer", (t) => {
    let hasAnswers = false;
    const cluster = buildClusterWithEnd({
        getFault: (kind): OrderFault =>
            kind === "start" && !hasAnswers ? { type: "lost" } : { type: "none" },
    });
    const [id = ""] = buildJobIds(1);
    cluster.submit(id, buildSpec({}));
    cluster.runFor(100);
    cluster.dispatcher.confirmEnds(W1, getHeartbeat(cluster).record.incarnation, 2);
    t.is(sendPoll(cluster, 0, 2), 0);
    hasAnswers = true;
    cluster.runFor(1_000);
    t.is(cluster.runs.length, 1);
    cluster.dispatcher.confirmEnds(W1, getHeartbeat(cluster).record.incarnation, 3);
    t.is(sendPoll(cluster, 0, 3), 3);
});
