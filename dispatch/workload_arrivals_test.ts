import test from "ava";
import type { WorkspaceName } from "../workspace/mod.ts";
import { buildWorkspace } from "./_fixtures.ts";
import {
    classifyAnswer,
    computeResendTimeMs,
    EntitlementMeter,
    SurgeSchedule,
} from "./_workload_arrivals.ts";
import { CROWDED_MIX, SHARED_FLOOR_MIX, UNEVEN_MIX, type Surges } from "./_workload_mixes.ts";
import { WorkloadSimulation } from "./_workload_simulation.ts";

// Guards against callers of the model who wait less than Retry-After, or who never give up.
test("a refused job is sent again after whole seconds, at most 4 times and within 3 s", (t) => {
    t.is(classifyAnswer(undefined), undefined);
    const infeasible = { type: "refused", cause: "infeasible", problem: "too wide" } as const;
    t.deepEqual(classifyAnswer(infeasible), { retryAfterMs: undefined });
    const shed = {
        type: "refused",
        cause: "backlog",
        problem: "too late",
        predictedMs: 9_000,
        objectiveMs: 1_500,
        retryAfterMs: 1_200,
    } as const;
    t.deepEqual(classifyAnswer(shed), { retryAfterMs: 2_000 });
    const refusal = { retryAfterMs: 1_000 };
    const attempt = { firstSentAtMs: 500, sentAtMs: 2_500, resends: 2 };
    t.is(computeResendTimeMs(refusal, attempt), 3_500);
    t.is(computeResendTimeMs(refusal, { ...attempt, sentAtMs: 2_501 }), undefined);
    t.is(computeResendTimeMs(refusal, { ...attempt, sentAtMs: 500, resends: 4 }), undefined);
    t.is(computeResendTimeMs({ retryAfterMs: undefined }, attempt), undefined);
});

// Guards against a wrong reference for the entitled share: a burst beyond the weight, and a refill.
test("a workspace is entitled to its weight in jobs a second, and to 2 at once", (t) => {
    const name = "acme" as WorkspaceName;
    const meter = new EntitlementMeter([buildWorkspace({ name, weight: 1 })]);
    t.deepEqual(
        [0, 0, 0, 500, 1_000, 1_000].map((now) => meter.takeJob(name, now)),
        [true, true, false, false, true, false],
    );
    t.true(meter.takeJob(undefined, 1_000));
});

// Guards against surges that change the jobs of a run without them, which would void comparisons.
test("surges add jobs and leave the usual ones as they are", (t) => {
    const listJobs = (surges: Surges | undefined): string[] => {
        const mix = { ...CROWDED_MIX, surges };
        const simulation = new WorkloadSimulation({ mix, workers: 20, seed: 1 });
        simulation.run(27, 0.5);
        return simulation.countedJobs.map(
            ({ id, coreSeconds, objectiveMs }) => `${id} ${coreSeconds} ${objectiveMs}`,
        );
    };
    const surges = CROWDED_MIX.surges && { ...CROWDED_MIX.surges, intervalMs: 6_000 };
    const usual = listJobs(undefined);
    const withQueues = listJobs(surges && { ...surges, hotWorkspaces: undefined });
    const withBoth = listJobs(surges);
    t.true(withBoth.length > withQueues.length && withQueues.length > usual.length);
    t.deepEqual(
        [...usual, ...withQueues].filter((job) => !withBoth.includes(job)),
        [],
    );
});

// Guards against a queue factor that depends on whether workspaces are hot, as in an ablation.
test("a schedule keeps its surges when one kind is left out", (t) => {
    const { surges } = CROWDED_MIX;
    const create = (mix: typeof CROWDED_MIX): SurgeSchedule =>
        new SurgeSchedule({ mix, seconds: 60, seed: 3 });
    const full = create(CROWDED_MIX);
    const withoutHot = create({
        ...CROWDED_MIX,
        surges: surges && { ...surges, hotWorkspaces: undefined },
    });
    let surgeMs = 0;
    for (let atMs = 0; atMs < 60_000; atMs += 50) {
        const surge = full.findSurge(atMs);
        t.is(surge?.queueFactor, withoutHot.findSurge(atMs)?.queueFactor);
        t.is(surge?.startsAtMs, withoutHot.findSurge(atMs)?.startsAtMs);
        t.is(withoutHot.findSurge(atMs)?.hotWorkspaces.length ?? 0, 0);
        surgeMs += surge === undefined ? 0 : 50;
    }
    t.true(surgeMs > 0);
    t.is(create(SHARED_FLOOR_MIX).findSurge(0), undefined);
});

// Guards against a model whose refused jobs run, and against fates that don't add up.
test("each job of the new mixes has one fate", (t) => {
    for (const mix of [CROWDED_MIX, UNEVEN_MIX]) {
        const simulation = new WorkloadSimulation({ mix, workers: 10, seed: 2 });
        simulation.run(20, 0.8);
        t.deepEqual(simulation.listRecordedRefusals(), []);
        for (const summary of simulation.listSummaries()) {
            const { jobs, withinObjective, late, failed, refused, value } = summary;
            t.is(withinObjective + late + failed + refused, jobs);
            t.true(late >= 0 && value >= withinObjective && value <= jobs);
        }
    }
});
