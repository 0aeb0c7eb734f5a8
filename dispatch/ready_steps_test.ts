import test from "ava";
import { StateStore, type Job, type JobId, type JobSpec, type UnitRef } from "../job/mod.ts";
import { buildJobIds, buildSpec, POOL, QUEUE, SimulatedCluster } from "./_fixtures.ts";
import { ReadySteps } from "./ready_steps.ts";

interface ReadyStepsFixture {
    readonly readySteps: ReadySteps;
    readonly stateStore: StateStore;
    readonly job: Job;
}

function buildRepeatingJob(overrides: Partial<JobSpec>): ReadyStepsFixture {
    const stateStore = new StateStore();
    const id = buildJobIds(1)[0] as JobId;
    const spec = { ...buildSpec({ count: 1 }), ...overrides };
    stateStore.apply({
        at: 1,
        facts: [{ type: "jobAccepted", job: id, queue: QUEUE, pool: POOL, spec }],
    });
    const clock = { getNow: () => 1_000, getWallTimeMs: () => 1_000 };
    const readySteps = new ReadySteps({ stateStore, clock });
    return { readySteps, stateStore, job: stateStore.jobs.get(id) as Job };
}

// Guards against a leader that opens overdue occurrences until its memory is full.
test("overdue occurrences are opened a limited number at a time", (t) => {
    const { readySteps, stateStore, job } = buildRepeatingJob({ repeats: 50_000 });
    readySteps.openJob(job);
    t.is(readySteps.size, 1_000);
    for (let i = 0; i < 10; i++) {
        readySteps.openDueOccurrences();
    }
    t.is(readySteps.size, 2_000);

    const unit: UnitRef = { job: job.id, occurrence: 0, step: 0, unit: 0 };
    const worker = "w1" as never;
    stateStore.apply({
        at: 2,
        facts: [
            { type: "attemptStarted", unit, attempt: 1, members: [[0, worker]] },
            { type: "memberEnded", unit, attempt: 1, index: 0, how: "done", checkpoint: "" },
        ],
    });
    readySteps.handleUnitDone(unit);
    t.is(readySteps.size, 1_999);
    t.true(readySteps.openDueOccurrences());
    t.is(readySteps.size, 2_000);
});

test("occurrences that are not due stay closed", (t) => {
    const { readySteps, job } = buildRepeatingJob({ repeats: 9, firstAtMs: 500, periodMs: 250 });
    readySteps.openJob(job);
    t.is(readySteps.size, 3);
    t.false(readySteps.openDueOccurrences());
});

test("a job with thousands of overdue occurrences runs all of them, and others beside it", (t) => {
    const cluster = new SimulatedCluster({ workers: 8, taskMs: 50, hasInvariantChecks: false });
    cluster.runFor(500);
    const [large = "", small = ""] = buildJobIds(2);
    const spec = buildSpec({ count: 1, needs: { cpu: 100, memoryMb: 1, gpu: 0 } });
    t.is(cluster.submit(large, { ...spec, repeats: 2_500 }), undefined);
    t.is(cluster.submit(small, { ...spec, repeats: 3, periodMs: 100 }), undefined);
    cluster.runFor(2_000);
    t.not(cluster.getJobState(small), "queued");
    cluster.replaceLeader();
    cluster.runFor(15_000);
    t.is(cluster.getJobState(small), "complete");
    t.is(cluster.getJobState(large), "complete");
});

// Guards against one run that decides and commits the starts of a whole fleet of tiny tasks.
test("a run starts a limited number of tasks, and the next ones the others", (t) => {
    const cluster = new SimulatedCluster({ workers: 4, taskMs: 10, hasInvariantChecks: false });
    cluster.runFor(500);
    const [job = ""] = buildJobIds(1);
    const needs = { cpu: 0, memoryMb: 0, gpu: 0 };
    const runs: number[] = [];
    const { dispatcher } = cluster;
    const takeOutput = dispatcher.takeOutput.bind(dispatcher);
    dispatcher.takeOutput = () => {
        const output = takeOutput();
        runs.push(output.facts.filter(({ type }) => type === "attemptStarted").length);
        return output;
    };
    t.is(cluster.submit(job, buildSpec({ count: 1_700, needs })), undefined);
    cluster.runFor(3_000);
    t.is(cluster.getJobState(job), "complete");
    t.is(Math.max(...runs), 500);
});
