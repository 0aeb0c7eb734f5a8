import test from "ava";
import fc from "fast-check";
import { buildJobIds, buildQueue, buildSpec } from "../dispatch/_builders.ts";
import type { JobId, JobSpec } from "../job/mod.ts";
import {
    AdmissionController,
    type AdmissionDecision,
    type AdmissionRequest,
} from "./admission_controller.ts";
import { CapacityForecast } from "./forecast.ts";

/** Its objective is 1.5 s for a chain of 0.8 s. */
const QUEUE = buildQueue({ stretch: 1.5, targetLatencyMs: 300 });
const SPEC = buildSpec({ estimateMs: 800 });
const RANKS = { onTime: 0, late: 20 };

/** Builds the forecast of a pool that is occupied for a time. */
function buildForecast(busyMs: number): CapacityForecast {
    return new CapacityForecast({
        builtAtMs: 0,
        capacityCpu: 100_000,
        freeCpu: 0,
        running: [{ endsInMs: busyMs, cpu: 100_000 }],
        backlog: [],
    });
}

function checkJob(
    overrides: Partial<AdmissionRequest> = {},
    controller = new AdmissionController(),
): AdmissionDecision {
    return controller.checkJob({
        job: "00000000000000a1" as JobId,
        queue: QUEUE,
        spec: SPEC,
        forecast: buildForecast(0),
        ranks: RANKS,
        now: 0,
        ...overrides,
    });
}

test("a job is refused once its end would lie beyond three times its objective", (t) => {
    // Predicted end: the wait, 0.15 s for the start and 0.8 s for the work; three times 1.5 s.
    t.is(checkJob({ forecast: buildForecast(3_500) }).type, "admitted");
    const decision = checkJob({ forecast: buildForecast(3_600) });
    t.like(decision, {
        type: "refused",
        cause: "backlog",
        predictedMs: 4_550,
        objectiveMs: 1_500,
    });
    // On time again 3.05 s later.
    t.true(decision.type === "refused" && decision.retryAfterMs >= 4_000);
});

test("a queue that refuses admits again only below 2.5 times the objective", (t) => {
    // Guards against a queue that opens and closes with each task that ends at the threshold.
    const controller = new AdmissionController();
    const listTypes = (busyTimesMs: readonly number[]): string[] =>
        busyTimesMs.map((ms) => checkJob({ forecast: buildForecast(ms) }, controller).type);
    const atThreshold = Array.from({ length: 20 }, (_unused, i) => (i % 2 === 0 ? 3_600 : 3_400));
    t.deepEqual(new Set(listTypes(atThreshold)), new Set(["refused"]));
    t.deepEqual(listTypes([2_800, 3_400, 3_500]), ["admitted", "admitted", "admitted"]);
});

test("queues are decided about apart", (t) => {
    const controller = new AdmissionController();
    const patient = buildQueue({ name: "variants" as typeof QUEUE.name, targetLatencyMs: 3_000 });
    const forecast = buildForecast(4_000);
    t.is(checkJob({ forecast }, controller).type, "refused");
    t.is(checkJob({ forecast, queue: patient }, controller).type, "admitted");
});

test("a new leader that knows no worker admits everything", (t) => {
    // Guards against jobs that are refused after a change of leader because nothing is known yet.
    const controller = new AdmissionController();
    t.is(checkJob({ forecast: buildForecast(9_000) }, controller).type, "refused");
    t.deepEqual(checkJob({ forecast: undefined }, controller), { type: "admitted" });
});

test("a job that can start now is admitted, however far its work exceeds the objective", (t) => {
    // Guards against a job that is refused for good although the pool is idle.
    const queue = buildQueue({ stretch: 0, targetLatencyMs: 100 });
    t.is(checkJob({ queue }).type, "admitted");
});

test("jobs without an end or on leftover CPU only have no objective and are admitted", (t) => {
    const forecast = buildForecast(19_000);
    const specs: JobSpec[] = [
        buildSpec({ isPerpetual: true }),
        buildSpec({ isFiller: true }),
        { ...buildSpec({}), repeats: 5, periodMs: 1_000 },
    ];
    specs.forEach((spec) => t.is(checkJob({ forecast, spec }).type, "admitted"));
});

test("the learned ratio lengthens the work and the objective alike", (t) => {
    // Guards against jobs that are refused for good because their estimates are too short.
    t.is(checkJob({ medianRatio: 4 }).type, "admitted");
    const decision = checkJob({ forecast: buildForecast(3_600), medianRatio: 2 });
    t.like(decision, { type: "admitted", predictedMs: 5_350, objectiveMs: 2_700 });
});

test("the age of a forecast is deducted from the wait", (t) => {
    const forecast = buildForecast(3_600);
    t.like(checkJob({ forecast, now: 90 }), { type: "admitted", predictedMs: 4_460 });
});

test("a borrowed job is refused while the pool is congested, with the time of its share", (t) => {
    const share = "borrowed";
    const congested = buildForecast(1_000);
    const decision = checkJob({ forecast: congested, share, shareRetryAfterMs: 2_000 });
    t.like(decision, { type: "refused", cause: "share" });
    t.true(decision.type === "refused" && decision.retryAfterMs >= 2_000);
    t.is(checkJob({ forecast: congested }).type, "admitted");
    t.is(checkJob({ forecast: buildForecast(300), share }).type, "admitted");
    // A weight of 0 never gets a token; the caller is still told a time.
    const never = checkJob({ forecast: congested, share, shareRetryAfterMs: Infinity });
    t.true(never.type === "refused" && never.retryAfterMs <= 8_000);
});

test("the decision does not depend on the number of tasks", (t) => {
    // Guards against an overload in which the largest jobs are refused and small ones served.
    fc.assert(
        fc.property(
            fc.integer({ min: 0, max: 8_000 }),
            fc.integer({ min: 1, max: 500 }),
            fc.boolean(),
            (busyMs, count, isGang) => {
                const forecast = buildForecast(busyMs);
                const wide = buildSpec({ estimateMs: 800, count, isGang });
                return checkJob({ forecast }).type === checkJob({ forecast, spec: wide }).type;
            },
        ),
    );
    t.pass();
});

test("refused callers of a burst are told different times", (t) => {
    // Guards against a burst that returns as a whole.
    const controller = new AdmissionController();
    const forecast = buildForecast(6_000);
    const times = buildJobIds(100).map((id, i) => {
        const decision = checkJob({ job: id as JobId, forecast, now: 10 * i }, controller);
        return decision.type === "refused" ? decision.retryAfterMs : 0;
    });
    t.true(new Set(times).size >= 5);
    t.true(times.every((ms) => ms >= 1_000 && ms <= 8_000));
});
