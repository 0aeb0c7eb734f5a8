import test from "ava";
import { buildSpec, SimulatedCluster, type OrderFault } from "./_fixtures.ts";

const JOB = "00000000000000a1";

test("detects a task's end soon after a long poll is lost", (t) => {
    // The lost poll alone would delay the first step's end by two seconds.
    const faults: OrderFault[] = [{ type: "lost" }];
    const floor: SimulatedCluster = new SimulatedCluster({
        workers: 1,
        taskMs: 500,
        getFault: (kind): OrderFault => {
            const isFirstPoll = kind === "look" && floor.runs.length === 1;
            return (isFirstPoll ? faults.pop() : undefined) ?? { type: "none" };
        },
    });
    floor.runFor(200);
    floor.submit(JOB, buildSpec({ count: 1, estimateMs: 500 }, { count: 1, after: [0] }));
    floor.runFor(2_600);
    t.is(floor.getJobState(JOB), "complete");
    t.deepEqual(floor.violations, []);
});

test("detects task ends soon after a partition heals", (t) => {
    // Polls during the partition are lost; the last of them times out only after it has healed.
    for (let healedAt = 4_000; healedAt <= 6_400; healedAt += 200) {
        const floor: SimulatedCluster = new SimulatedCluster({
            workers: 1,
            taskMs: 1_500,
            getFault: (): OrderFault =>
                floor.now >= 1_000 && floor.now < healedAt ? { type: "lost" } : { type: "none" },
        });
        floor.runFor(300);
        floor.submit(JOB, buildSpec({ count: 2, estimateMs: 1_500 }));
        floor.runFor(healedAt + 700 - 300);
        t.is(floor.getJobState(JOB), "complete", `partition healed at ${healedAt} ms`);
        t.deepEqual(floor.violations, []);
    }
});
