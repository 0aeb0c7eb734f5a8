import test from "ava";
import { buildSpec } from "../dispatch/_fixtures.ts";
import type { JobId, JobSpec, StateStore } from "../job/mod.ts";
import { createControlMetrics } from "../telemetry/control_metrics.ts";
import { buildLeadership } from "./_fixtures.ts";
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
