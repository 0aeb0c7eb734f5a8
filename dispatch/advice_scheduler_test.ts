import test from "ava";
import type { QueueName } from "../configuration/mod.ts";
import type { WorkerId } from "../job/mod.ts";
import { AdviceScheduler } from "./advice_scheduler.ts";
import { assignFronts } from "./front_assignment.ts";
import type { AdviceCall, FrontId, StepKey } from "./types.ts";

const FRONTS = ["f1", "f2", "f3", "f4", "f5", "f6"] as FrontId[];
const SLOW_QUEUE = "composites" as QueueName;
const URGENT_QUEUE = "previews" as QueueName;

function buildCall(id: number, queue: QueueName, decideMs: number): AdviceCall {
    return {
        id,
        step: `job${id}.0.0` as StepKey,
        queue,
        policy: { decideMs, perWorkerMs: 0, validMs: 2_000 },
        workers: ["w1" as WorkerId],
        rank: id,
    };
}

test("assigns fronts in proportion to load, at least one per queue", (t) => {
    const plan = assignFronts(FRONTS, [
        { queue: SLOW_QUEUE, load: 1.2 },
        { queue: URGENT_QUEUE, load: 0.3 },
    ]);
    t.is(plan.get(SLOW_QUEUE)?.length, 5);
    t.is(plan.get(URGENT_QUEUE)?.length, 1);
});

test("queues share fronts if there are fewer fronts than queues", (t) => {
    const plan = assignFronts(["f1"] as FrontId[], [
        { queue: SLOW_QUEUE, load: 1 },
        { queue: URGENT_QUEUE, load: 1 },
    ]);
    t.deepEqual(plan.get(SLOW_QUEUE), ["f1"]);
    t.deepEqual(plan.get(URGENT_QUEUE), ["f1"]);
});

test("a burst of slow calls does not occupy the urgent queue's fronts", (t) => {
    // A short urgent call that waits behind a 0.7 s call misses its latency objective.
    const scheduler = new AdviceScheduler();
    scheduler.setFronts(FRONTS);
    scheduler.addCall(buildCall(1, URGENT_QUEUE, 15), 0, 0);
    scheduler.startCalls(0).forEach(({ call }) => scheduler.endCall(call.id, true, 15));
    for (let id = 2; id < 30; id++) {
        scheduler.addCall(buildCall(id, SLOW_QUEUE, 700), 1, 20);
    }
    t.true(scheduler.startCalls(20).length < FRONTS.length);
    scheduler.addCall(buildCall(100, URGENT_QUEUE, 15), 0, 21);
    t.deepEqual(
        scheduler.startCalls(21).map(({ call }) => call.id),
        [100],
    );
});

test("a front backs off after a failed call", (t) => {
    const scheduler = new AdviceScheduler();
    scheduler.setFronts(["f1" as FrontId]);
    scheduler.addCall(buildCall(1, URGENT_QUEUE, 15), 0, 0);
    t.is(scheduler.startCalls(0).length, 1);
    scheduler.endCall(1, false, 100);
    scheduler.addCall(buildCall(2, URGENT_QUEUE, 15), 0, 100);
    t.is(scheduler.startCalls(100).length, 0);
    t.is(scheduler.startCalls(5_000).length, 1);
});
