import test from "ava";
import fc from "fast-check";
import type { Crash, CrashEvidence, JobId, TaskName, WorkerId } from "../job/mod.ts";
import { createRandom } from "../tools/seeded_random.ts";
import {
    buildJobIds,
    buildQueue,
    buildSpec,
    FloorFixture,
    type FloorOptions,
} from "./_fixtures.ts";
import {
    computeIsolationMs,
    computeCrashEvidence,
    isCrashLoop,
    STARTUP_CRASH_WINDOW_MS,
} from "./crash_loop.ts";
import type { MemberRun } from "./types.ts";

const JOB = "00000000000000c1";
const CRASHER = `${JOB}.0.0.0` as TaskName;
const CRASH_AFTER_MS = 10;
/** A task is not started this often again once three workers have crashed under it. */
const FORBIDDEN_STARTS = 3;

/** A floor on which one task ends each worker that starts it. */
function buildCrashFloor(options: Partial<FloorOptions> = {}): FloorFixture {
    return new FloorFixture({
        workers: 6,
        taskMs: 600,
        getCrashAfterMs: (task) => (task === CRASHER ? CRASH_AFTER_MS : undefined),
        ...options,
    });
}

function buildHistory(...evidence: readonly CrashEvidence[]): Crash[] {
    return evidence.map((each, i) => ({ attempt: i + 1, evidence: each }));
}

function buildRun(job: string, run: Partial<MemberRun> = {}): MemberRun {
    const unit = { job: job as JobId, occurrence: 0, step: 0, unit: 0 };
    return { unit, attempt: 1, startSends: 1, observedRunMs: 0, ...run } as MemberRun;
}

test("a unit is given up after two crashes that nothing else explains, or four of any kind", (t) => {
    t.false(isCrashLoop([]));
    t.false(isCrashLoop(buildHistory("sole")));
    t.false(isCrashLoop(buildHistory("early", "early", "early")));
    t.true(isCrashLoop(buildHistory("sole", "sole")));
    t.true(isCrashLoop(buildHistory("early", "sole", "sole")));
    t.true(isCrashLoop(buildHistory("late", "late", "late", "late")));
});

test("a unit starts apart after an early crash, and runs apart after three of any kind", (t) => {
    t.is(computeIsolationMs([]), 0);
    t.is(computeIsolationMs(buildHistory("late")), 0);
    t.is(computeIsolationMs(buildHistory("early")), STARTUP_CRASH_WINDOW_MS);
    t.is(computeIsolationMs(buildHistory("late", "late", "late")), Number.POSITIVE_INFINITY);
});

test("of the runs on a crashed worker those that had outlasted their starts are least to blame", (t) => {
    const old = buildRun("a", { observedRunMs: 2_000 });
    const young = buildRun("b");
    const unsent = buildRun("c", { startSends: 0 });
    const listEvidence = (...runs: MemberRun[]): string[] =>
        computeCrashEvidence(runs).map(({ unit, evidence }) => `${unit.job} ${evidence}`);
    t.deepEqual(listEvidence(old, young, unsent), ["a late", "b sole"]);
    t.deepEqual(listEvidence(young, buildRun("d"), old), ["b early", "d early", "a late"]);
    t.deepEqual(listEvidence(young, { ...young, index: 1 }), ["b sole"]);
    t.deepEqual(listEvidence(old), ["a late"]);
});

// Guards against a task that takes its workers down one after another for as long as its job is open.
test("a task that crashes each worker it starts on is given up", (t) => {
    const floor = buildCrashFloor();
    floor.submit(JOB, buildSpec({}));
    floor.runFor(60_000);
    t.true(floor.countStartsAfterCrashes(CRASHER, 3) < FORBIDDEN_STARTS);
    t.is(floor.getState(JOB), "failed");
    t.deepEqual(floor.violations, []);
});

// Guards against counts of crashes that are lost with the leader that saw them.
test("a task that crashes its workers is given up although each crash takes the leader along", (t) => {
    const floor = buildCrashFloor();
    floor.submit(JOB, buildSpec({}));
    for (let seen = 0; floor.now < 90_000; floor.runFor(50)) {
        if (floor.crashes.length > seen) {
            seen = floor.crashes.length;
            floor.replaceLeader();
        }
    }
    t.true(floor.countStartsAfterCrashes(CRASHER, 3) < FORBIDDEN_STARTS);
    t.is(floor.getState(JOB), "failed");
});

// Guards against crashes that are not counted because the lease ends before the next incarnation shows them.
test("a task that crashes its workers is given up although they return only after their leases", (t) => {
    const floor = buildCrashFloor({ restartMs: 14_000, workers: 10 });
    floor.submit(JOB, buildSpec({}));
    floor.runFor(150_000);
    t.true(floor.countStartsAfterCrashes(CRASHER, 3) < FORBIDDEN_STARTS);
    t.is(floor.getState(JOB), "failed");
});

// Guards against crashes that are forgotten with a leader that gave the worker's runs up and did not see it return.
test("a task that crashes its workers is given up although leaders change while they are away", (t) => {
    for (const everyMs of [9_300, 10_000, 12_000, 13_000]) {
        const floor = buildCrashFloor({ restartMs: 14_000, workers: 12 });
        floor.submit(JOB, buildSpec({}));
        for (let next = everyMs; floor.now < 150_000; floor.runFor(100)) {
            if (floor.now > next) {
                next += everyMs;
                floor.replaceLeader();
            }
        }
        t.true(floor.countStartsAfterCrashes(CRASHER, 3) < FORBIDDEN_STARTS, `every ${everyMs} ms`);
        t.is(floor.getState(JOB), "failed", `every ${everyMs} ms`);
    }
});

// Guards against a bound that holds only for tasks that crash their workers at once.
test("a task that crashes its workers late in its run is given up", (t) => {
    const floor = buildCrashFloor({
        taskMs: 4_000,
        getCrashAfterMs: (task) => (task === CRASHER ? 2_500 : undefined),
    });
    floor.submit(JOB, buildSpec({}));
    floor.runFor(90_000);
    t.true(floor.countStartsAfterCrashes(CRASHER, 3) < FORBIDDEN_STARTS);
    t.is(floor.getState(JOB), "failed");
});

// Guards against a gang that takes a worker a member down with each attempt.
test("a gang whose members crash their workers is given up", (t) => {
    const floor = buildCrashFloor({
        getCrashAfterMs: (task) => (task.startsWith(JOB) ? CRASH_AFTER_MS : undefined),
    });
    floor.submit(JOB, buildSpec({ count: 3, isGang: true }));
    floor.runFor(60_000);
    t.true(floor.countStartsAfterCrashes(CRASHER, 3) < FORBIDDEN_STARTS);
    t.is(floor.getState(JOB), "failed");
});

// Guards against a lasting task that is started again for ever, whatever it does to its workers.
test("a lasting task that crashes each worker it starts on is given up", (t) => {
    const floor = buildCrashFloor();
    floor.submit(JOB, buildSpec({ isPerpetual: true }));
    floor.runFor(60_000);
    t.true(floor.countStartsAfterCrashes(CRASHER, 3) < FORBIDDEN_STARTS);
    t.is(floor.getState(JOB), "failed");
});

// Guards against giving a lasting task up because its workers crash now and then over a long life.
test("a lasting task outlives any number of crashes that come long after its starts", (t) => {
    const floor = new FloorFixture({ workers: 3, taskMs: 1e9 });
    floor.submit(JOB, buildSpec({ isPerpetual: true }));
    for (let i = 0; i < 8; i++) {
        floor.runFor(12_000);
        floor.crashWorker(floor.runs.at(-1)?.worker as WorkerId);
    }
    floor.runFor(12_000);
    t.is(floor.getState(JOB), "running");
    t.is(floor.runs.length, 9);
});

// Guards against failing the tasks that only ran beside the one that crashes its workers.
test("jobs beside tasks that crash their workers complete", (t) => {
    const crashers = new Set(buildJobIds(160).filter((_id, i) => i % 20 === 7));
    const floor = buildCrashFloor({
        workers: 12,
        taskMs: 900,
        queues: [buildQueue({ maxAttempts: 3 })],
        getCrashAfterMs: (task) => (crashers.has(task.split(".")[0] ?? "") ? 10 : undefined),
    });
    for (const id of buildJobIds(160)) {
        floor.submit(id, buildSpec({ count: crashers.has(id) ? 1 : 3 }));
        floor.runFor(60);
    }
    floor.runFor(40_000);
    const states = buildJobIds(160).map((id) => `${crashers.has(id)} ${floor.getState(id)}`);
    t.deepEqual([...new Set(states)].sort(), ["false complete", "true failed"]);
    t.true(floor.crashes.length <= 3 * crashers.size, `${floor.crashes.length} crashes`);
    t.deepEqual(floor.violations, []);
});

// Guards against counting a worker's announced end as a crash under what still ran there.
test("tasks on workers that announced their end before they were replaced are not suspected", (t) => {
    const floor = new FloorFixture({ workers: 2, taskMs: 30_000 });
    floor.submit(JOB, buildSpec({}));
    for (let i = 0; i < 5; i++) {
        floor.runFor(300);
        const worker = floor.runs.at(-1)?.worker as WorkerId;
        floor.drainWorker(worker);
        floor.runFor(1_600);
        floor.crashWorker(worker);
        floor.runFor(6_000);
    }
    t.is(floor.runs.length, 6);
    t.deepEqual(
        floor.durable.findUnit({ job: JOB as JobId, occurrence: 0, step: 0, unit: 0 })?.crashes,
        [],
    );
});

// Guards against failing jobs whose workers crash by causes of their own.
test("jobs on workers that crash now and then by themselves complete", (t) => {
    const random = createRandom(5);
    const floor = new FloorFixture({ workers: 12, taskMs: 1_500 });
    for (const id of buildJobIds(200)) {
        floor.submit(id, buildSpec({ count: 3 }));
        floor.runFor(100);
        if (random() < 0.08) {
            const ids = [...floor.workers.keys()];
            floor.crashWorker(ids[Math.floor(random() * ids.length)] as WorkerId);
        }
    }
    floor.runFor(40_000);
    t.deepEqual(
        buildJobIds(200).filter((id) => floor.getState(id) !== "complete"),
        [],
    );
    t.deepEqual(floor.violations, []);
});

// Guards against blaming tasks for a worker that goes down again and again by itself, and looks idle each time it is back.
test("jobs beside workers that go down and up by turns complete", (t) => {
    for (const seed of [1, 2, 3, 4, 5, 6]) {
        const random = createRandom(seed);
        const floor = new FloorFixture({ workers: 8, taskMs: 900, restartMs: 400 });
        for (const id of buildJobIds(200)) {
            floor.submit(id, buildSpec({ count: 3, needs: { cpu: 4_000, memoryMb: 500, gpu: 0 } }));
            floor.runFor(100);
            for (const worker of ["w1", "w2"]) {
                const current = [...floor.workers.keys()].find((w) => w.split("#")[0] === worker);
                if (current !== undefined && random() < 0.12) {
                    floor.crashWorker(current);
                }
            }
        }
        floor.runFor(40_000);
        t.deepEqual(
            buildJobIds(200).filter((id) => floor.getState(id) !== "complete"),
            [],
            `seed ${seed}`,
        );
    }
});

// Guards against a bound that holds for crashes alone and not beside lost orders, cuts and changes of leaders.
test("beside other faults a task that crashes its workers is started within bounds, and others end", (t) => {
    const property = fc.property(fc.integer({ min: 1, max: 1_000_000 }), (seed) => {
        const random = createRandom(seed);
        const ids = buildJobIds(60);
        const crashers = new Set(ids.filter(() => random() < 0.08));
        let isCalm = false;
        const floor = new FloorFixture({
            workers: 10,
            taskMs: 700,
            clockDrift: 0.01,
            restartMs: 500 + random() * 5_000,
            getCrashAfterMs: (task) => (crashers.has(task.split(".")[0] ?? "") ? 10 : undefined),
            getFault: () => {
                const draw = isCalm ? 1 : random();
                if (draw < 0.02) {
                    return { type: "lost" };
                }
                return draw < 0.05
                    ? { type: "late", afterMs: 2_000 + random() * 6_000 }
                    : { type: "none" };
            },
        });
        ids.forEach((id, i) => {
            floor.submit(id, buildSpec({ count: 2, isGang: random() < 0.2 }));
            floor.runFor(100);
            if (i % 25 === 24) {
                floor.replaceLeader();
            }
        });
        isCalm = true;
        floor.runFor(90_000);
        t.deepEqual(floor.violations, []);
        for (const id of ids) {
            t.is(
                floor.getState(id),
                crashers.has(id) ? "failed" : "complete",
                `seed ${seed}: ${id}`,
            );
            if (crashers.has(id)) {
                t.true(floor.countStartsAfterCrashes(`${id}.0.0.0`, 3) < FORBIDDEN_STARTS);
            }
        }
    });
    fc.assert(property, { numRuns: 12, seed: 7 });
});
