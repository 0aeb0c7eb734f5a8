import test from "ava";
import fc from "fast-check";
import { CapacityForecast, type BacklogGroup, type ForecastInput } from "./forecast.ts";

const URGENT = 0;
const URGENT_LATE = 20;
const PATIENT = 200;

function buildForecast(overrides: Partial<ForecastInput> = {}): CapacityForecast {
    return new CapacityForecast({
        builtAtMs: 0,
        capacityCpu: 10_000,
        freeCpu: 0,
        running: [],
        backlog: [],
        ...overrides,
    });
}

function buildGroup(overrides: Partial<BacklogGroup> = {}): BacklogGroup {
    return { rank: URGENT, cpuPerTask: 1_000, taskMs: 1_000, taskCount: 10, ...overrides };
}

test("an idle pool starts a task at once", (t) => {
    t.is(buildForecast({ freeCpu: 10_000 }).computeStartMs({ rank: URGENT, cpu: 1_000 }), 0);
});

test("a task waits until enough running tasks have ended", (t) => {
    const running = [
        { endsInMs: 380, cpu: 1_000 },
        { endsInMs: 720, cpu: 1_000 },
    ];
    const forecast = buildForecast({ running });
    t.is(forecast.computeStartMs({ rank: URGENT, cpu: 1_000 }), 400);
    t.is(forecast.computeStartMs({ rank: URGENT, cpu: 2_000 }), 800);
});

test("work in front delays a task, work behind it does not", (t) => {
    // Guards against a backlog of patient jobs that has urgent ones refused.
    const running = [{ endsInMs: 500, cpu: 10_000 }];
    const backlog = [buildGroup({ taskCount: 20 }), buildGroup({ rank: PATIENT, taskCount: 500 })];
    const forecast = buildForecast({ running, backlog });
    // Two rounds of ten tasks start at 0.5 and 1.5 s, and the first of them ends at 2.5 s.
    t.is(forecast.computeStartMs({ rank: URGENT, cpu: 1_000 }), 2_500);
    t.true(forecast.computeStartMs({ rank: PATIENT, cpu: 1_000 }) > 20_000);
});

test("jobs that were admitted since the forecast was built count as work in front", (t) => {
    // Guards against a burst within 100 ms that is admitted whole on the strength of one forecast.
    const forecast = buildForecast({ freeCpu: 10_000 });
    t.is(forecast.computeStartMs({ rank: URGENT, cpu: 1_000 }), 0);
    forecast.addBacklog(buildGroup({ taskCount: 10 }));
    t.is(forecast.computeStartMs({ rank: URGENT, cpu: 1_000 }), 1_000);
});

test("expected submissions delay the ranks behind them only", (t) => {
    // Guards against late jobs that are admitted during a burst, although each job that is on time
    // goes before them.
    const backlog = [buildGroup(), buildGroup({ rank: URGENT_LATE, taskCount: 5 })];
    const running = [{ endsInMs: 100, cpu: 10_000 }];
    const input = { running, backlog };
    const arrivals = [{ rank: URGENT, cpu: 20_000, taskMs: 1_000 }];
    const expecting = buildForecast({ ...input, arrivals });
    const onTime = { rank: URGENT, cpu: 1_000 };
    const late = { rank: URGENT_LATE, cpu: 1_000 };
    t.is(expecting.computeStartMs(onTime), buildForecast(input).computeStartMs(onTime));
    // The burst is expected to last 4 s, and its last jobs take the pool for as long again.
    t.true(expecting.computeStartMs(late) > 6_000);
    t.is(buildForecast(input).computeStartMs(late), 1_100);
});

test("the wait for a backlog beyond the horizon grows with the backlog", (t) => {
    // Guards against patient queues, with objectives longer than the horizon, that are never refused.
    const computeStartMs = (taskCount: number): number =>
        buildForecast({ backlog: [buildGroup({ taskCount })], freeCpu: 10_000 }).computeStartMs({
            rank: URGENT,
            cpu: 1_000,
        });
    // 600 tasks of 1 s and one core on ten cores.
    t.true(Math.abs(computeStartMs(600) - 60_000) < 2_500);
    t.true(computeStartMs(1_200) > 110_000);
});

test("a task that is larger than the pool waits for the whole pool", (t) => {
    const forecast = buildForecast({ running: [{ endsInMs: 300, cpu: 10_000 }] });
    t.is(forecast.computeStartMs({ rank: URGENT, cpu: 64_000 }), 300);
});

test("services that never end keep their CPU", (t) => {
    const running = [{ endsInMs: Number.POSITIVE_INFINITY, cpu: 10_000 }];
    t.is(buildForecast({ running }).computeStartMs({ rank: URGENT, cpu: 1_000 }), 20_000);
});

test("more work in front never lets a task start earlier, and no start is negative or infinite", (t) => {
    // Guards against a forecast by which a growing backlog opens the queue again.
    const group = fc.record({
        rank: fc.constantFrom(URGENT, URGENT_LATE, PATIENT),
        cpuPerTask: fc.integer({ min: 0, max: 20_000 }),
        taskMs: fc.oneof(
            fc.integer({ min: 0, max: 60_000 }),
            fc.constant(Number.POSITIVE_INFINITY),
        ),
        taskCount: fc.integer({ min: 0, max: 200 }),
    });
    const running = fc.array(
        fc.record({
            endsInMs: fc.integer({ min: 0, max: 30_000 }),
            cpu: fc.integer({ min: 0, max: 5_000 }),
        }),
        { maxLength: 30 },
    );
    fc.assert(
        fc.property(
            running,
            fc.array(group, { maxLength: 10 }),
            group,
            fc.integer({ min: 0, max: 10_000 }),
            (tasks, backlog, added, cpu) => {
                const forecast = buildForecast({ running: tasks, backlog });
                const query = { rank: URGENT_LATE, cpu };
                const before = forecast.computeStartMs(query);
                forecast.addBacklog({ ...added, rank: URGENT_LATE });
                const after = forecast.computeStartMs(query);
                return Number.isFinite(after) && before >= 0 && after >= before - 1e-6;
            },
        ),
        { numRuns: 300 },
    );
    t.pass();
});
