import test from "ava";
import { buildQueue, buildSpec, SimulatedCluster } from "./_fixtures.ts";
import { computeLatencyObjectiveMs, rankStep } from "./ranking.ts";

const URGENT = buildQueue({ stretch: 1.5, targetLatencyMs: 250 });

test("the latency objective follows the critical path", (t) => {
    const spec = buildSpec(
        { estimateMs: 400 },
        { estimateMs: 900 },
        { estimateMs: 300, after: [0] },
    );
    t.is(computeLatencyObjectiveMs(spec, URGENT), 1.5 * 900 + 250);
});

test("ranks by priority, then by lateness, then by age", (t) => {
    const buildJobStep = (acceptedAt: number) =>
        ({ step: 0, job: { acceptedAt, spec: buildSpec({}) } }) as never;
    const slow = buildQueue({ priority: 2 });
    const rank = (acceptedAt: number, queue = URGENT): number =>
        rankStep(buildJobStep(acceptedAt), queue, 100_000);
    t.true(rank(99_900) < rank(99_950));
    t.true(rank(99_950) < rank(10_000));
    t.true(rank(10_000) < rank(99_000, slow));
});

test("most new jobs start promptly after an outage despite the backlog", (t) => {
    // During an 8 s outage a backlog of late jobs builds up. Guards against serving it first, which
    // would make new jobs late too.
    let isOutage = true;
    const cluster = new SimulatedCluster({
        workers: 2,
        taskMs: 300,
        queues: [URGENT],
        getFault: () => (isOutage ? { type: "refused" } : { type: "none" }),
    });
    const needs = { cpu: 4_000, memoryMb: 500, gpu: 0 };
    const submittedAtMs = new Map<string, number>();
    let count = 0;
    const submit = (): void => {
        const id = `00000000000${(65_536 + count++).toString(16)}`;
        submittedAtMs.set(id, cluster.now);
        cluster.submit(id, buildSpec({ needs, estimateMs: 300 }));
    };
    for (; cluster.now < 8_000; cluster.runFor(50)) {
        submit();
    }
    isOutage = false;
    const newJobs: string[] = [];
    for (const end = cluster.now + 6_000; cluster.now < end; cluster.runFor(60)) {
        submit();
        newJobs.push([...submittedAtMs.keys()].at(-1) ?? "");
    }
    cluster.runFor(20_000);
    const lateJobs = newJobs.filter((id) => {
        const run = cluster.runs.find((r) => r.task.startsWith(id));
        return (run?.startedAtMs ?? Number.POSITIVE_INFINITY) - (submittedAtMs.get(id) ?? 0) > 700;
    });
    t.true(lateJobs.length < newJobs.length * 0.35, `${lateJobs.length} of ${newJobs.length} late`);
    t.true([...submittedAtMs.keys()].every((id) => cluster.getJobState(id) === "complete"));
});
