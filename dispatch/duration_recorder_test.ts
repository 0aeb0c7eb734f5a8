import test from "ava";
import type { QueueName } from "../configuration/mod.ts";
import type { StepSpec } from "../job/mod.ts";
import { buildSpec, QUEUE, SimulatedCluster, type OrderFault } from "./_fixtures.ts";

const JOB = "00000000000000a1";

/** Runs one step of tasks that take 600 ms and returns the ratio that was learned. */
function runStep(step: Partial<StepSpec>, queue: QueueName = QUEUE): { samples: number } {
    const cluster = new SimulatedCluster({ workers: 3, taskMs: 600 });
    cluster.runFor(100);
    cluster.submit(JOB, buildSpec({ estimateMs: 300, ...step }), queue);
    cluster.runFor(2_000);
    return cluster.dispatcher.durationModel.getQueueRatio(queue);
}

test("the end of a task is recorded, but not that of gangs and fillers", (t) => {
    t.true(runStep({ count: 1 }).samples > 0);
    t.is(runStep({ count: 3, isGang: true }).samples, 0);
    t.is(runStep({ count: 1, isFiller: true }).samples, 0);
});

test("tasks whose start an earlier leader saw are left out", (t) => {
    const cluster = new SimulatedCluster({ workers: 3, taskMs: 600 });
    cluster.runFor(100);
    cluster.submit(JOB, buildSpec({ count: 3 }));
    cluster.runFor(300);
    cluster.replaceLeader();
    cluster.runFor(2_000);
    t.is(cluster.getJobState(JOB), "complete");
    t.is(cluster.dispatcher.durationModel.size, 0);
});

test("tasks whose start was sent more than once are left out", (t) => {
    // The first send may have been executed long before the one that was answered.
    let starts = 0;
    const cluster = new SimulatedCluster({
        workers: 1,
        taskMs: 600,
        getFault: (kind): OrderFault => {
            starts += kind === "start" ? 1 : 0;
            return kind === "start" && starts === 1
                ? { type: "late", afterMs: 5 }
                : { type: "none" };
        },
    });
    cluster.runFor(100);
    cluster.submit(JOB, buildSpec({ count: 1 }));
    cluster.runFor(3_000);
    t.is(cluster.getJobState(JOB), "complete");
    t.is(cluster.dispatcher.durationModel.size, 0);
});

test("a task that failed is left out", (t) => {
    const cluster = new SimulatedCluster({ workers: 1, taskMs: 600, getOutcome: () => "failed" });
    cluster.submit(JOB, buildSpec({ count: 1 }));
    cluster.runFor(3_000);
    t.is(cluster.dispatcher.durationModel.size, 0);
});
