import test from "ava";
import { buildQueue, buildSpec, buildWorkerReport, POOL, QUEUE } from "../dispatch/_fixtures.ts";
import { StateStore, type Fact, type JobId, type JobSpec } from "../job/mod.ts";
import { createControlMetrics } from "../telemetry/control_metrics.ts";
import { buildConfiguration, buildLeadership, waitUntil } from "./_fixtures.ts";
import type { CallerAnswer, CallerCall } from "./calls.ts";
import type { Leadership } from "./leadership.ts";

const ODD_JOB = "00000000000bad00" as JobId;
const ORDINARY_JOB = "00000000000000a1" as JobId;

interface LeadershipParts {
    readonly leadership: Leadership;
    readonly committedState: StateStore;
    readonly metrics: ReturnType<typeof createControlMetrics>;
    readonly logLines: string[];
}

function startLeadership(committedState?: StateStore, term = 1): LeadershipParts {
    const metrics = createControlMetrics();
    const logLines: string[] = [];
    const parts = buildLeadership({
        waitForLease: () => Promise.resolve(true),
        onStart: () => {},
        onLogLines: (lines) => logLines.push(lines),
        admission: "forecast",
        metrics,
        committedState,
        term,
    });
    parts.leadership.start();
    return { ...parts, metrics, logLines };
}

function buildCall(type: CallerCall["type"], job: JobId, spec: JobSpec): CallerCall {
    return { type, host: "studio.example", path: `/previews/${job}`, spec, problem: "" } as never;
}

function submit(leadership: Leadership, job: JobId, spec: JobSpec): Promise<CallerAnswer> {
    return leadership.handleCaller(buildCall("submit", job, spec));
}

// Guards against a job that is recorded before it fails: each new leader ended on it.
test("a job of 2^64 - 1 tasks is refused with the bound, and nothing of it is recorded", async (t) => {
    const first = startLeadership();
    const spec = buildSpec({ count: 2 ** 64 - 1 });
    for (let i = 0; i < 2; i++) {
        const answer = await submit(first.leadership, ODD_JOB, spec);
        t.is(answer.type, "invalid");
        t.regex((answer as { problem: string }).problem, /tasks, at most 100000/);
    }
    t.is((await submit(first.leadership, ORDINARY_JOB, buildSpec({}))).type, "accepted");
    first.leadership.stop();
    t.deepEqual([...first.committedState.jobs.keys()], [ORDINARY_JOB]);
    const counted = await first.metrics.registry.getSingleMetricAsString(
        "poplarhead_outcomes_total",
    );
    t.regex(counted, /event="job refused",kind="size".* 2/);

    const second = startLeadership(first.committedState, 2);
    t.teardown(() => second.leadership.stop());
    t.is((await submit(second.leadership, ORDINARY_JOB, buildSpec({}))).type, "accepted");
});

/** Builds a state as an earlier release may have left it, with an odd job and an ordinary one. */
function buildStoredState(oddSpec: JobSpec): StateStore {
    const store = new StateStore();
    const accept = (job: JobId, spec: JobSpec): Fact => ({
        type: "jobAccepted",
        job,
        queue: QUEUE,
        pool: POOL,
        spec,
    });
    const configuration = { ...buildConfiguration(1), queues: [buildQueue()] };
    store.apply({
        at: 1,
        facts: [
            { type: "configurationSet", configuration },
            { type: "workerSeen", worker: buildWorkerReport() },
            accept(ODD_JOB, oddSpec),
            accept(ORDINARY_JOB, buildSpec({})),
        ],
    });
    return store;
}

// Guards against a log of an earlier release that ends every new leader.
test("a stored job that no instance can hold fails, and the others go on", async (t) => {
    const replica = buildStoredState(buildSpec({ count: 2 ** 64 - 1 }));
    const { leadership, committedState, logLines } = startLeadership(replica);
    t.teardown(() => leadership.stop());
    await waitUntil(() => committedState.jobs.get(ODD_JOB)?.state === "failed");
    t.is(committedState.jobs.get(ODD_JOB)?.spec, undefined);
    const readState = buildCall("state", ODD_JOB, buildSpec({}));
    t.deepEqual(await leadership.handleCaller(readState), { type: "state", state: "failed" });
    t.is((await submit(leadership, ODD_JOB, buildSpec({ count: 2 ** 64 - 1 }))).type, "accepted");
    await waitUntil(() => committedState.jobs.get(ORDINARY_JOB)?.state === "running");
    await waitUntil(() => /"cause":"size".*"message":"job failed"/.test(logLines.join("")));
});

// Guards against any other job on record that throws when it is opened.
test("a stored job that can't be opened is set aside, and the others go on", async (t) => {
    const spec = buildSpec({ count: 2 });
    const unreadable = { ...spec, steps: [{ ...spec.steps[0], after: null }] } as never;
    const { leadership, committedState, metrics } = startLeadership(buildStoredState(unreadable));
    t.teardown(() => leadership.stop());
    await waitUntil(() => committedState.jobs.get(ORDINARY_JOB)?.state === "running");
    t.is(committedState.jobs.get(ODD_JOB)?.state, "queued");
    const counted = await metrics.registry.getSingleMetricAsString("poplarhead_decisions_total");
    t.regex(counted, /event="job set aside".* 1/);
});
