import test from "ava";
import fc from "fast-check";
import type { Crash, CrashEvidence, JobId, TaskName, WorkerId } from "../job/mod.ts";
import { createRandom } from "../tools/seeded_random.ts";
import {
    buildJobIds,
    buildQueue,
    buildSpec,
    SimulatedCluster,
    type SimulatedClusterOptions,
} from "./_fixtures.ts";
import {
    computeIsolationMs,
    computeCrashEvidence,
    isCrashLoop,
    STARTUP_CRASH_WINDOW_MS,
} from "./crash_loop.ts";
import type { MemberRun } from "./types.ts";

const JOB = "00000000000000c1";
const CRASHING_TASK = `${JOB}.0.0.0` as TaskName;
const CRASH_DELAY_MS = 10;
/** Starts of a task after three workers crashed while running it must stay below this. */
const START_LIMIT = 3;

/** Builds a cluster in which one task crashes each worker that starts it. */
function buildCrashingCluster(options: Partial<SimulatedClusterOptions> = {}): SimulatedCluster {
    return new SimulatedCluster({
        workers: 6,
        taskMs: 600,
        getCrashAfterMs: (task) => (task === CRASHING_TASK ? CRASH_DELAY_MS : undefined),
        ...options,
    });
}

function buildCrashHistory(...evidence: readonly CrashEvidence[]): Crash[] {
    return evidence.map((each, i) => ({ attempt: i + 1, evidence: each }));
}

function buildRun(job: string, run: Partial<MemberRun> = {}): MemberRun {
    const unit = { job: job as JobId, occurrence: 0, step: 0, unit: 0 };
    return { unit, attempt: 1, startSends: 1, observedRunMs: 0, ...run } as MemberRun;
}

test("a unit is in a crash loop after two crashes with no other suspect, or four of any kind", (t) => {
    t.false(isCrashLoop([]));
    t.false(isCrashLoop(buildCrashHistory("sole")));
    t.false(isCrashLoop(buildCrashHistory("early", "early", "early")));
    t.true(isCrashLoop(buildCrashHistory("sole", "sole")));
    t.true(isCrashLoop(buildCrashHistory("early", "sole", "sole")));
    t.true(isCrashLoop(buildCrashHistory("late", "late", "late", "late")));
});

test("a unit starts in isolation after an early crash and runs in isolation after three of any kind", (t) => {
    t.is(computeIsolationMs([]), 0);
    t.is(computeIsolationMs(buildCrashHistory("late")), 0);
    t.is(computeIsolationMs(buildCrashHistory("early")), STARTUP_CRASH_WINDOW_MS);
    t.is(computeIsolationMs(buildCrashHistory("late", "late", "late")), Number.POSITIVE_INFINITY);
});

test("runs past their startup are the weakest suspects in a worker crash", (t) => {
    const established = buildRun("a", { observedRunMs: 2_000 });
    const recent = buildRun("b");
    const unsent = buildRun("c", { startSends: 0 });
    const listEvidence = (...runs: MemberRun[]): string[] =>
        computeCrashEvidence(runs).map(({ unit, evidence }) => `${unit.job} ${evidence}`);
    t.deepEqual(listEvidence(established, recent, unsent), ["a late", "b sole"]);
    t.deepEqual(listEvidence(recent, buildRun("d"), established), ["b early", "d early", "a late"]);
    t.deepEqual(listEvidence(recent, { ...recent, index: 1 }), ["b sole"]);
    t.deepEqual(listEvidence(established), ["a late"]);
});

// Guards against a task that keeps crashing workers for as long as its job is open.
test("a task that crashes each worker it starts on fails its job", (t) => {
    const cluster = buildCrashingCluster();
    cluster.submit(JOB, buildSpec({}));
    cluster.runFor(60_000);
    t.true(cluster.countStartsAfterCrashes(CRASHING_TASK, 3) < START_LIMIT);
    t.is(cluster.getJobState(JOB), "failed");
    t.deepEqual(cluster.violations, []);
});

// Guards against crash counts that are lost in a leader change.
test("a task that crashes its workers fails its job even if the leader changes at each crash", (t) => {
    const cluster = buildCrashingCluster();
    cluster.submit(JOB, buildSpec({}));
    for (let seenCrashes = 0; cluster.now < 90_000; cluster.runFor(50)) {
        if (cluster.crashes.length > seenCrashes) {
            seenCrashes = cluster.crashes.length;
            cluster.replaceLeader();
        }
    }
    t.true(cluster.countStartsAfterCrashes(CRASHING_TASK, 3) < START_LIMIT);
    t.is(cluster.getJobState(JOB), "failed");
});

// Guards against missing a crash because the lease expires before the next incarnation joins.
test("a task that crashes its workers fails its job even if they return after their leases expire", (t) => {
    const cluster = buildCrashingCluster({ restartDelayMs: 14_000, workers: 10 });
    cluster.submit(JOB, buildSpec({}));
    cluster.runFor(150_000);
    t.true(cluster.countStartsAfterCrashes(CRASHING_TASK, 3) < START_LIMIT);
    t.is(cluster.getJobState(JOB), "failed");
});

// Guards against losing a crash when the leader changes before the worker's next incarnation joins.
test("a task that crashes its workers fails its job even if leaders change while they are down", (t) => {
    for (const intervalMs of [9_300, 10_000, 12_000, 13_000]) {
        const cluster = buildCrashingCluster({ restartDelayMs: 14_000, workers: 12 });
        cluster.submit(JOB, buildSpec({}));
        for (let next = intervalMs; cluster.now < 150_000; cluster.runFor(100)) {
            if (cluster.now > next) {
                next += intervalMs;
                cluster.replaceLeader();
            }
        }
        t.true(
            cluster.countStartsAfterCrashes(CRASHING_TASK, 3) < START_LIMIT,
            `every ${intervalMs} ms`,
        );
        t.is(cluster.getJobState(JOB), "failed", `every ${intervalMs} ms`);
    }
});

// Guards against a limit that covers only tasks that crash their workers right after the start.
test("a task that crashes its workers late in its run fails its job", (t) => {
    const cluster = buildCrashingCluster({
        taskMs: 4_000,
        getCrashAfterMs: (task) => (task === CRASHING_TASK ? 2_500 : undefined),
    });
    cluster.submit(JOB, buildSpec({}));
    cluster.runFor(90_000);
    t.true(cluster.countStartsAfterCrashes(CRASHING_TASK, 3) < START_LIMIT);
    t.is(cluster.getJobState(JOB), "failed");
});

// Guards against a gang that crashes one worker per member in each attempt.
test("a gang whose members crash their workers fails its job", (t) => {
    const cluster = buildCrashingCluster({
        getCrashAfterMs: (task) => (task.startsWith(JOB) ? CRASH_DELAY_MS : undefined),
    });
    cluster.submit(JOB, buildSpec({ count: 3, isGang: true }));
    cluster.runFor(60_000);
    t.true(cluster.countStartsAfterCrashes(CRASHING_TASK, 3) < START_LIMIT);
    t.is(cluster.getJobState(JOB), "failed");
});

// Guards against restarting a perpetual task forever although it crashes its workers.
test("a perpetual task that crashes each worker it starts on fails its job", (t) => {
    const cluster = buildCrashingCluster();
    cluster.submit(JOB, buildSpec({ isPerpetual: true }));
    cluster.runFor(60_000);
    t.true(cluster.countStartsAfterCrashes(CRASHING_TASK, 3) < START_LIMIT);
    t.is(cluster.getJobState(JOB), "failed");
});

// Guards against failing a perpetual task because of occasional crashes over a long run.
test("a perpetual task survives repeated worker crashes long after its starts", (t) => {
    const cluster = new SimulatedCluster({ workers: 3, taskMs: 1e9 });
    cluster.submit(JOB, buildSpec({ isPerpetual: true }));
    for (let i = 0; i < 8; i++) {
        cluster.runFor(12_000);
        cluster.crashWorker(cluster.runs.at(-1)?.worker as WorkerId);
    }
    cluster.runFor(12_000);
    t.is(cluster.getJobState(JOB), "running");
    t.is(cluster.runs.length, 9);
});

// Guards against failing tasks that merely shared a worker with the crashing one.
test("jobs that share workers with crashing tasks complete", (t) => {
    const crashingJobs = new Set(buildJobIds(160).filter((_id, i) => i % 20 === 7));
    const cluster = buildCrashingCluster({
        workers: 12,
        taskMs: 900,
        queues: [buildQueue({ maxAttempts: 3 })],
        getCrashAfterMs: (task) => (crashingJobs.has(task.split(".")[0] ?? "") ? 10 : undefined),
    });
    for (const id of buildJobIds(160)) {
        cluster.submit(id, buildSpec({ count: crashingJobs.has(id) ? 1 : 3 }));
        cluster.runFor(60);
    }
    cluster.runFor(40_000);
    const states = buildJobIds(160).map(
        (id) => `${crashingJobs.has(id)} ${cluster.getJobState(id)}`,
    );
    t.deepEqual([...new Set(states)].sort(), ["false complete", "true failed"]);
    t.true(cluster.crashes.length <= 3 * crashingJobs.size, `${cluster.crashes.length} crashes`);
    t.deepEqual(cluster.violations, []);
});

// Guards against counting an announced shutdown as a crash of the tasks that were running there.
test("tasks on workers that announced their shutdown are not suspected of a crash", (t) => {
    const cluster = new SimulatedCluster({ workers: 2, taskMs: 30_000 });
    cluster.submit(JOB, buildSpec({}));
    for (let i = 0; i < 5; i++) {
        cluster.runFor(300);
        const worker = cluster.runs.at(-1)?.worker as WorkerId;
        cluster.drainWorker(worker);
        cluster.runFor(1_600);
        cluster.crashWorker(worker);
        cluster.runFor(6_000);
    }
    t.is(cluster.runs.length, 6);
    t.deepEqual(
        cluster.committedState.findUnit({ job: JOB as JobId, occurrence: 0, step: 0, unit: 0 })
            ?.crashes,
        [],
    );
});

// Guards against failing jobs whose workers crash for unrelated reasons.
test("jobs complete on workers that crash occasionally for unrelated reasons", (t) => {
    const random = createRandom(5);
    const cluster = new SimulatedCluster({ workers: 12, taskMs: 1_500 });
    for (const id of buildJobIds(200)) {
        cluster.submit(id, buildSpec({ count: 3 }));
        cluster.runFor(100);
        if (random() < 0.08) {
            const ids = [...cluster.workers.keys()];
            cluster.crashWorker(ids[Math.floor(random() * ids.length)] as WorkerId);
        }
    }
    cluster.runFor(40_000);
    t.deepEqual(
        buildJobIds(200).filter((id) => cluster.getJobState(id) !== "complete"),
        [],
    );
    t.deepEqual(cluster.violations, []);
});

// Guards against blaming tasks for a flapping worker, which looks idle after each restart.
test("jobs complete in a cluster with flapping workers", (t) => {
    for (const seed of [1, 2, 3, 4, 5, 6]) {
        const random = createRandom(seed);
        const cluster = new SimulatedCluster({ workers: 8, taskMs: 900, restartDelayMs: 400 });
        for (const id of buildJobIds(200)) {
            cluster.submit(
                id,
                buildSpec({ count: 3, needs: { cpu: 4_000, memoryMb: 500, gpu: 0 } }),
            );
            cluster.runFor(100);
            for (const worker of ["w1", "w2"]) {
                const current = [...cluster.workers.keys()].find((w) => w.split("#")[0] === worker);
                if (current !== undefined && random() < 0.12) {
                    cluster.crashWorker(current);
                }
            }
        }
        cluster.runFor(40_000);
        t.deepEqual(
            buildJobIds(200).filter((id) => cluster.getJobState(id) !== "complete"),
            [],
            `seed ${seed}`,
        );
    }
});

// Guards against a limit that fails when crashes combine with lost orders and leader changes.
test("starts of crashing tasks stay limited under other faults, and all other jobs complete", (t) => {
    const property = fc.property(fc.integer({ min: 1, max: 1_000_000 }), (seed) => {
        const random = createRandom(seed);
        const ids = buildJobIds(60);
        const crashingJobs = new Set(ids.filter(() => random() < 0.08));
        let isFaultFree = false;
        const cluster = new SimulatedCluster({
            workers: 10,
            taskMs: 700,
            clockDrift: 0.01,
            restartDelayMs: 500 + random() * 5_000,
            getCrashAfterMs: (task) =>
                crashingJobs.has(task.split(".")[0] ?? "") ? 10 : undefined,
            getFault: () => {
                const draw = isFaultFree ? 1 : random();
                if (draw < 0.02) {
                    return { type: "lost" };
                }
                return draw < 0.05
                    ? { type: "late", afterMs: 2_000 + random() * 6_000 }
                    : { type: "none" };
            },
        });
        ids.forEach((id, i) => {
            cluster.submit(id, buildSpec({ count: 2, isGang: random() < 0.2 }));
            cluster.runFor(100);
            if (i % 25 === 24) {
                cluster.replaceLeader();
            }
        });
        isFaultFree = true;
        cluster.runFor(90_000);
        t.deepEqual(cluster.violations, []);
        for (const id of ids) {
            t.is(
                cluster.getJobState(id),
                crashingJobs.has(id) ? "failed" : "complete",
                `seed ${seed}: ${id}`,
            );
            if (crashingJobs.has(id)) {
                t.true(cluster.countStartsAfterCrashes(`${id}.0.0.0`, 3) < START_LIMIT);
            }
        }
    });
    fc.assert(property, { numRuns: 12, seed: 7 });
});
