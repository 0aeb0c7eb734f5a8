import test from "ava";
import { buildJobIds, buildSpec, SimulatedCluster } from "./_fixtures.ts";
import { checkJobSize, computeJobSize, createWorkLimits } from "./work_limits.ts";
import type { JobSpec } from "../job/mod.ts";

const LIMITS = createWorkLimits({
    maxJobTasks: 10,
    maxJobSteps: 3,
    maxJobStepRuns: 4,
    maxJobDependencies: 2,
    maxGangTasks: 5,
});

function checkSpec(spec: JobSpec): string | undefined {
    return checkJobSize(computeJobSize(spec), LIMITS);
}

test("a job within all bounds passes, also at each of them", (t) => {
    t.is(checkSpec(buildSpec({ count: 5, isGang: true }, { count: 4 }, { count: 1 })), undefined);
    t.is(checkSpec({ ...buildSpec({ count: 2 }), repeats: 4 }), undefined);
    t.is(checkSpec(buildSpec({}, { after: [0] }, { after: [1] })), undefined);
});

test("a job beyond a bound is refused with its name", (t) => {
    t.regex(checkSpec(buildSpec({ count: 11 })) ?? "", /11 tasks, at most 10/);
    t.regex(checkSpec(buildSpec({ count: 2 ** 64 - 1 })) ?? "", /tasks, at most 10/);
    t.regex(checkSpec(buildSpec({}, {}, {}, {})) ?? "", /4 steps, at most 3/);
    t.regex(checkSpec({ ...buildSpec({}), repeats: 2 ** 53 }) ?? "", /tasks, at most 10/);
    const repeated = { ...buildSpec({}, {}), repeats: 3 };
    t.regex(checkSpec(repeated) ?? "", /6 steps of all occurrences, at most 4/);
    const dense = buildSpec({}, { after: [0] }, { after: [0, 1] });
    t.regex(checkSpec(dense) ?? "", /3 dependencies, at most 2/);
    const gang = buildSpec({ count: 6, isGang: true });
    t.regex(checkSpec(gang) ?? "", /6 tasks in a gang, at most 5/);
});

test("a count that overflows is beyond the bound", (t) => {
    const spec = { ...buildSpec({ count: Number.MAX_VALUE }, { count: 1 }), repeats: 2 };
    t.regex(checkSpec(spec) ?? "", /Infinity tasks/);
});

test("bounds that are not positive integers are rejected", (t) => {
    t.throws(() => createWorkLimits({ maxJobTasks: 0 }), { message: /maxJobTasks/ });
    t.throws(() => createWorkLimits({ maxJobSteps: 1.5 }), { message: /maxJobSteps/ });
    t.throws(() => createWorkLimits({ maxGangTasks: Number.NaN }), { message: /maxGangTasks/ });
});

// Guards against jobs that are each within the bounds and together fill the memory of a leader.
test("a job beyond the capacity for open jobs is refused until one of them ends", (t) => {
    const cluster = new SimulatedCluster({
        workers: 2,
        dispatcherOptions: { workLimits: { maxJobTasks: 6, maxOpenTasks: 10 } },
    });
    cluster.runFor(500);
    const [first = "", second = "", third = "", fourth = ""] = buildJobIds(4);
    t.is(cluster.submit(first, buildSpec({ count: 6 })), undefined);
    t.regex(cluster.submit(second, buildSpec({ count: 6 })) ?? "", /up to 10 tasks together/);
    const refusal = cluster.refusals.get(second);
    t.true(refusal?.cause === "openWork" && refusal.retryAfterMs >= 5_000);
    t.is(cluster.submit(third, buildSpec({ count: 4 })), undefined);
    t.is(cluster.submit(first, buildSpec({ count: 6 })), undefined);
    cluster.runFor(5_000);
    t.is(cluster.getJobState(first), "complete");
    t.is(cluster.getJobState(second), "unknown");
    t.is(cluster.submit(second, buildSpec({ count: 6 })), undefined);
    cluster.runFor(100);
    cluster.replaceLeader();
    t.regex(cluster.submit(fourth, buildSpec({ count: 6 })) ?? "", /up to 10 tasks together/);
});

test("payloads and labels of open jobs are bounded together", (t) => {
    const cluster = new SimulatedCluster({
        workers: 2,
        dispatcherOptions: { workLimits: { maxOpenCharacters: 100 } },
    });
    cluster.runFor(500);
    const [first = "", second = ""] = buildJobIds(2);
    const spec = { ...buildSpec({ image: "x".repeat(20) }), payload: "y".repeat(60) };
    t.is(cluster.submit(first, spec), undefined);
    t.regex(cluster.submit(second, spec) ?? "", /up to 100 characters together/);
});
