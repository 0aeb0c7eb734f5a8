import test from "ava";
import { buildSpec, POOL, QUEUE } from "../dispatch/_fixtures.ts";
import { StateStore, type Fact, type JobId, type JobSpec, type WorkerId } from "../job/mod.ts";
import { StateReader } from "./state_reader.ts";

const JOB = "00000000000000a1" as JobId;
const SHORT_WAIT_MS = 300;
/** A read that waits this long exceeds the timeout of the test. */
const LONG_WAIT_MS = 600_000;

function buildRunningJob(
    spec: JobSpec,
    maxWaitMs = LONG_WAIT_MS,
): { store: StateStore; reader: StateReader } {
    const store = new StateStore();
    const unit = { job: JOB, occurrence: 0, step: 0, unit: 0 };
    const members = [[0, "w1" as WorkerId]] as const;
    applyFact(store, { type: "jobAccepted", job: JOB, queue: QUEUE, pool: POOL, spec });
    applyFact(store, { type: "attemptStarted", unit, attempt: 1, members });
    return { store, reader: new StateReader(store, { maxWaitMs }) };
}

function applyFact(store: StateStore, fact: Fact): void {
    store.apply({ at: 0, facts: [fact] });
}

function endTask(store: StateStore): void {
    const unit = { job: JOB, occurrence: 0, step: 0, unit: 0 };
    applyFact(store, {
        type: "memberEnded",
        unit,
        attempt: 1,
        index: 0,
        how: "done",
        checkpoint: "",
    });
}

test("a read shortly before the end of a job returns the final state", async (t) => {
    // Guards against a stale `running` that makes the caller ask again after a pause.
    const { store, reader } = buildRunningJob(buildSpec({}));
    const answer = reader.readState(JOB);
    setTimeout(() => {
        endTask(store);
        reader.resolveEndedJobs();
    }, 40);
    t.deepEqual(await answer, { type: "state", state: "complete" });
});

test("a read of a job that keeps running returns after the maximum wait", async (t) => {
    const { reader } = buildRunningJob(buildSpec({}), SHORT_WAIT_MS);
    t.deepEqual(await reader.readState(JOB), { type: "state", state: "running" });
});

test("reads of perpetual, ended and unknown jobs return without waiting", async (t) => {
    const perpetual = buildRunningJob(buildSpec({ isPerpetual: true }));
    t.deepEqual(await perpetual.reader.readState(JOB), { type: "state", state: "running" });
    const { store, reader } = buildRunningJob(buildSpec({}));
    endTask(store);
    t.deepEqual(await reader.readState(JOB), { type: "state", state: "complete" });
    t.is(await reader.readState("00000000000000b2" as JobId), undefined);
});
