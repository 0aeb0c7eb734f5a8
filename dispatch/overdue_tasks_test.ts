import test from "ava";
import { buildSpec, SimulatedCluster, type OrderFault } from "./_fixtures.ts";

const JOB = "00000000000000a1";

test("detects a task's end soon after a long poll is lost", (t) => {
    // The lost poll alone would delay the first step's end by two seconds.
    const faults: OrderFault[] = [{ type: "lost" }];
    const cluster: SimulatedCluster = new SimulatedCluster({
        workers: 1,
        taskMs: 500,
        getFault: (kind): OrderFault => {
            const isFirstPoll = kind === "look" && cluster.runs.length === 1;
            return (isFirstPoll ? faults.pop() : undefined) ?? { type: "none" };
        },
    });
    cluster.runFor(200);
    cluster.submit(JOB, buildSpec({ count: 1, estimateMs: 500 }, { count: 1, after: [0] }));
    cluster.runFor(2_600);
    t.is(cluster.getJobState(JOB), "complete");
    t.deepEqual(cluster.violations, []);
});

test("detects task ends soon after a partition heals", (t) => {
    // Polls during the partition are lost; the last of them times out only after it has healed.
    for (let healedAtMs = 4_000; healedAtMs <= 6_400; healedAtMs += 200) {
        const cluster: SimulatedCluster = new SimulatedCluster({
            workers: 1,
            taskMs: 1_500,
            getFault: (): OrderFault =>
                cluster.now >= 1_000 && cluster.now < healedAtMs
                    ? { type: "lost" }
                    : { type: "none" },
        });
        cluster.runFor(300);
        cluster.submit(JOB, buildSpec({ count: 2, estimateMs: 1_500 }));
        cluster.runFor(healedAtMs + 700 - 300);
        t.is(cluster.getJobState(JOB), "complete", `partition healed at ${healedAtMs} ms`);
        t.deepEqual(cluster.violations, []);
    }
});
