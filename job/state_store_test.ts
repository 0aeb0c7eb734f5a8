import test from "ava";
import { buildSpec, buildWorkerReport, POOL, QUEUE } from "../dispatch/_fixtures.ts";
import { addCrash } from "./crash_history.ts";
import type { Fact } from "./facts.ts";
import { StateStore } from "./state_store.ts";
import type { Incarnation, MemberOutcome, JobId, UnitRef, WorkerId } from "./types.ts";

const JOB = "00000000000000a1" as JobId;
const UNIT: UnitRef = { job: JOB, occurrence: 0, step: 0, unit: 0 };
const WORKER = "w1" as WorkerId;

function buildStore(spec = buildSpec({ count: 1 })): StateStore {
    const store = new StateStore();
    store.apply({
        at: 1,
        facts: [{ type: "jobAccepted", job: JOB, queue: QUEUE, pool: POOL, spec }],
    });
    return store;
}

function buildAttempt(attempt: number, indexes: readonly number[] = [0]): Fact {
    return {
        type: "attemptStarted",
        unit: UNIT,
        attempt,
        members: indexes.map((index) => [index, WORKER] as const),
    };
}

function buildEnd(attempt: number, how: MemberOutcome, index = 0): Fact {
    return { type: "memberEnded", unit: UNIT, attempt, index, how, checkpoint: "" };
}

test("a job is queued, runs and completes", (t) => {
    const store = buildStore();
    t.is(store.jobs.get(JOB)?.state, "queued");
    store.apply({ at: 2, facts: [buildAttempt(1)] });
    t.is(store.jobs.get(JOB)?.state, "running");
    store.apply({ at: 3, facts: [buildEnd(1, "done")] });
    t.is(store.jobs.get(JOB)?.state, "complete");
    t.is(store.jobs.get(JOB)?.spec, undefined);
});

test("an end report of an earlier attempt is ignored", (t) => {
    const store = buildStore();
    store.apply({ at: 2, facts: [buildAttempt(1), buildEnd(1, "lost"), buildAttempt(2)] });
    store.apply({ at: 3, facts: [buildEnd(1, "done")] });
    t.is(store.jobs.get(JOB)?.state, "running");
    t.is(store.findUnit(UNIT)?.members.size, 1);
});

// Guards against a new leader or a restored replica that lacks the crash history.
test("a unit's crash history survives a copy and a snapshot", (t) => {
    const store = buildStore();
    const under = [{ unit: UNIT, attempt: 1, evidence: "sole" as const }];
    store.apply({
        at: 2,
        facts: [
            buildAttempt(1),
            { type: "workerCrashed", worker: WORKER, under },
            buildEnd(1, "lost"),
        ],
    });
    const restored = new StateStore();
    restored.restore(store.encode());
    for (const other of [store, store.copy(), restored]) {
        t.deepEqual(other.findUnit(UNIT)?.crashes, [{ attempt: 1, evidence: "sole" }]);
    }
});

// Guards against a restored replica that misjudges the age of capacity reports.
test("a worker's report clock survives a copy and a snapshot until the worker is removed", (t) => {
    const store = buildStore();
    const clockReport = { type: "workersHeard" as const, reports: [[WORKER, 4_000] as const] };
    store.apply({ at: 2, facts: [clockReport] });
    t.is(store.lastReportClocksMs.size, 0);
    store.apply({
        at: 3,
        facts: [{ type: "workerSeen", worker: buildWorkerReport() }, clockReport],
    });
    const restored = new StateStore();
    restored.restore(store.encode());
    for (const other of [store, store.copy(), restored]) {
        t.is(other.lastReportClocksMs.get(WORKER), 4_000);
        other.apply({ at: 4, facts: [{ type: "workerGone", worker: WORKER }] });
        t.is(other.lastReportClocksMs.size, 0);
    }
});

// Guards against a new leader that ignores a possible crash, or keeps a resolved one.
test("attempts on an expired lease survive a snapshot until the worker answers or is removed", (t) => {
    const under = [{ unit: UNIT, attempt: 1, evidence: "sole" as const }];
    const seen: Fact = { type: "workerSeen", worker: buildWorkerReport() };
    const leaseExpired: Fact = { type: "workerLapsed", worker: WORKER, under };
    for (const end of ["workerAnswered", "workerGone"] as const) {
        const store = buildStore();
        store.apply({ at: 2, facts: [seen, leaseExpired] });
        const restored = new StateStore();
        restored.restore(store.encode());
        for (const other of [store, store.copy(), restored]) {
            t.deepEqual(other.attemptsOnExpiredLeases.get(WORKER), under);
            other.apply({ at: 3, facts: [{ type: end, worker: WORKER }] });
            t.is(other.attemptsOnExpiredLeases.size, 0);
        }
    }
});

test("crashes of a gang's workers count once per attempt, with the strongest evidence", (t) => {
    const early = addCrash([], { attempt: 1, evidence: "early" }, false);
    t.deepEqual(addCrash(early, { attempt: 1, evidence: "sole" }, false), [
        { attempt: 1, evidence: "sole" },
    ]);
    t.is(addCrash(early, { attempt: 1, evidence: "late" }, false), early);
});

test("an attempt that runs past startup downgrades earlier crashes, or clears those of a perpetual task", (t) => {
    const early = addCrash([], { attempt: 1, evidence: "sole" }, false);
    t.deepEqual(addCrash(early, { attempt: 2, evidence: "late" }, false), [
        { attempt: 1, evidence: "late" },
        { attempt: 2, evidence: "late" },
    ]);
    t.deepEqual(addCrash(early, { attempt: 2, evidence: "late" }, true), []);
});

test("a gang's attempt counts as one failure, however many members failed", (t) => {
    const store = buildStore(buildSpec({ count: 3, isGang: true }));
    store.apply({ at: 2, facts: [buildAttempt(1, [0, 1, 2])] });
    store.apply({
        at: 3,
        facts: [buildEnd(1, "failed", 0), buildEnd(1, "failed", 1), buildEnd(1, "broken", 2)],
    });
    t.is(store.findUnit(UNIT)?.failures, 1);
});

test("a cancelled job keeps its running members until their ends are reported", (t) => {
    const store = buildStore();
    store.apply({ at: 2, facts: [buildAttempt(1), { type: "jobCancelled", job: JOB }] });
    t.is(store.jobs.get(JOB)?.state, "cancelled");
    t.is(store.findUnit(UNIT)?.members.size, 1);
    store.apply({ at: 3, facts: [buildEnd(1, "stopped")] });
    t.is(store.jobs.get(JOB)?.occurrences.size, 0);
});

test("a restored store equals the original and applies further facts", (t) => {
    const store = buildStore();
    store.apply({ at: 2, facts: [buildAttempt(1)] });
    const copy = new StateStore();
    copy.restore(store.encode());
    t.is(copy.encode(), store.encode());
    copy.apply({ at: 3, facts: [buildEnd(1, "done")] });
    t.is(copy.jobs.get(JOB)?.state, "complete");
});

test("a copy is independent of its original, but shares immutable jobs", (t) => {
    // Guards against a unit shared by both, which would count a failed attempt twice.
    const store = buildStore();
    const endedJob = "00000000000000c3" as JobId;
    const spec = buildSpec({ count: 1 });
    store.apply({
        at: 2,
        facts: [
            buildAttempt(1),
            { type: "jobAccepted", job: endedJob, queue: QUEUE, pool: POOL, spec },
            { type: "jobCancelled", job: endedJob },
            { type: "workerGone", worker: WORKER },
        ],
    });
    const copy = store.copy();
    t.is(copy.encode(), store.encode());
    t.is(copy.jobs.get(endedJob), store.jobs.get(endedJob));
    t.true(copy.isRemovedWorker(WORKER, undefined));
    copy.apply({ at: 3, facts: [buildEnd(1, "failed")] });
    t.is(copy.findUnit(UNIT)?.failures, 1);
    t.is(store.findUnit(UNIT)?.failures, 0);
    t.is(store.findUnit(UNIT)?.members.size, 1);
    store.apply({ at: 3, facts: [buildEnd(1, "done")] });
    t.is(copy.jobs.get(JOB)?.state, "running");
});

test("copying thousands of jobs is at least 3 times faster than encoding and restoring them", (t) => {
    const store = new StateStore();
    const facts: Fact[] = [];
    for (let i = 0; i < 5_000; i++) {
        const job = i.toString(16).padStart(16, "0") as JobId;
        const spec = { ...buildSpec({ count: 6 }), payload: "x".repeat(1_000) };
        facts.push({ type: "jobAccepted", job, queue: QUEUE, pool: POOL, spec });
        if (i % 10 > 0) {
            facts.push({ type: "jobCancelled", job });
        }
    }
    store.apply({ at: 1, facts });
    const startedAtMs = performance.now();
    new StateStore().restore(store.encode());
    const encodedMs = performance.now() - startedAtMs;
    t.is(store.copy().jobs.size, 5_000);
    const copyMs = performance.now() - startedAtMs - encodedMs;
    t.true(
        3 * copyMs < encodedMs,
        `copying took ${copyMs} ms, encoding and restoring ${encodedMs} ms`,
    );
});

test("only jobs that ended before the retention limit are removed", (t) => {
    const store = buildStore();
    store.apply({ at: 100, facts: [{ type: "jobCancelled", job: JOB }] });
    store.apply({ at: 150, facts: [{ type: "jobsForgotten", before: 100 }] });
    t.true(store.jobs.has(JOB));
    store.apply({ at: 200, facts: [{ type: "jobsForgotten", before: 101 }] });
    t.false(store.jobs.has(JOB));
});

function buildSeen(incarnation: number | undefined, isDraining = false): Fact {
    const worker = { incarnation: incarnation as Incarnation | undefined, isDraining };
    return { type: "workerSeen", worker: buildWorkerReport(worker) };
}

// Guards against facts of a previous incarnation that a later leader takes for the running one's.
test("a restart replaces a worker's incarnation and what was recorded of the previous one", (t) => {
    const store = buildStore();
    const under = [{ unit: UNIT, attempt: 1, evidence: "early" as const }];
    store.apply({
        at: 2,
        facts: [
            buildSeen(9, true),
            buildAttempt(1),
            { type: "workersHeard", reports: [[WORKER, 500]] },
            { type: "workerLapsed", worker: WORKER, under },
            buildSeen(4),
        ],
    });
    const restored = new StateStore();
    restored.restore(store.encode());
    for (const state of [store, store.copy(), restored]) {
        t.is(state.workers.get(WORKER)?.incarnation as number, 4);
        t.false(state.workers.get(WORKER)?.isDraining);
        t.false(state.lastReportClocksMs.has(WORKER));
        t.false(state.attemptsOnExpiredLeases.has(WORKER));
        t.true(state.isRemovedWorker(WORKER, 9 as Incarnation));
        t.false(state.isRemovedWorker(WORKER, 4 as Incarnation));
    }
    t.is(restored.encode(), store.encode());
});

// Guards against losing the incarnation to a leader of an earlier release.
test("a record keeps its incarnation when a report leaves it out, and adopts the first one", (t) => {
    const store = buildStore();
    store.apply({
        at: 2,
        facts: [buildSeen(undefined, true), buildSeen(9, true), buildSeen(undefined)],
    });
    t.is(store.workers.get(WORKER)?.incarnation as number, 9);
    t.false(store.hasRemovedIncarnation(WORKER));
    const encoded = JSON.parse(store.encode()) as { gone: unknown[] };
    const restored = new StateStore();
    restored.restore(JSON.stringify({ ...encoded, gone: ["w7"] }));
    t.true(restored.isRemovedWorker("w7" as WorkerId, undefined));
    t.false(restored.isRemovedWorker("w7" as WorkerId, 1 as Incarnation));
    t.true(restored.hasRemovedIncarnation("w7" as WorkerId));
});

// Guards against a copy that changes with its original: units without an attempt are shared.
test("attempts of a copy don't appear in the original, nor the other way round", (t) => {
    const store = buildStore(buildSpec({ count: 3 }));
    store.apply({ at: 2, facts: [buildAttempt(1)] });
    const copy = store.copy();
    const second = { ...UNIT, unit: 1 };
    copy.apply({
        at: 3,
        facts: [{ type: "attemptStarted", unit: second, attempt: 1, members: [[1, WORKER]] }],
    });
    store.apply({ at: 3, facts: [buildEnd(1, "done")] });
    t.is(store.findUnit(second)?.attempt, 0);
    t.is(store.findUnit(second)?.members.size, 0);
    t.is(copy.findUnit(UNIT)?.isDone, false);
    t.is(copy.findUnit(UNIT)?.members.size, 1);
});

// Guards against ends that each look at all tasks of their job: replicas fall behind their leader.
test("the ends of 40,000 tasks of a job cost no more than those of many jobs", (t) => {
    const count = 40_000;
    const store = buildStore(buildSpec({ count }));
    const startedAtMs = performance.now();
    for (let index = 0; index < count; index++) {
        const unit = { ...UNIT, unit: index };
        const end = { ...buildEnd(1, "done", index), unit } as Fact;
        const start: Fact = {
            type: "attemptStarted",
            unit,
            attempt: 1,
            members: [[index, WORKER]],
        };
        store.apply({ at: 2, facts: [start, end] });
    }
    t.is(store.jobs.get(JOB)?.state, "complete");
    t.true(performance.now() - startedAtMs < 1_500);
});

test("a restored job completes like the original", (t) => {
    const store = buildStore(buildSpec({ count: 2 }, { count: 1, after: [0] }));
    const second = { ...UNIT, unit: 1 };
    const third = { ...UNIT, step: 1 };
    const buildRun = (unit: UnitRef): Fact[] => [
        { type: "attemptStarted", unit, attempt: 1, members: [[unit.unit, WORKER]] },
        { type: "memberEnded", unit, attempt: 1, index: unit.unit, how: "done", checkpoint: "" },
    ];
    store.apply({ at: 2, facts: buildRun(UNIT) });
    const restored = new StateStore();
    restored.restore(store.encode());
    t.is(restored.encode(), store.encode());
    for (const replica of [store, restored]) {
        replica.apply({ at: 3, facts: buildRun(second) });
        t.is(replica.jobs.get(JOB)?.state, "running");
        replica.apply({ at: 4, facts: buildRun(third) });
        t.is(replica.jobs.get(JOB)?.state, "complete");
    }
    t.is(restored.encode(), store.encode());
});
