import test from "ava";
import type { QueueName } from "../configuration/mod.ts";
import type { WorkerId } from "../job/mod.ts";
import { buildQueue, buildSpec, SimulatedCluster } from "./_fixtures.ts";
import { AdmissionRates, planAdvice, type AdviceCandidate } from "./advice_plan.ts";

const POLICY = { decideMs: 507, perWorkerMs: 7.28, validMs: 2_500 };

function buildCandidates(count: number, taskSlots: number): AdviceCandidate[] {
    return Array.from({ length: count }, (_none, i) => ({
        id: `w${i + 1}` as WorkerId,
        taskSlots,
    }));
}

test("a wide step asks about enough workers in concurrent calls", (t) => {
    const calls = planAdvice({
        workers: buildCandidates(380, 2),
        tasks: 40,
        admissionRate: 0.4,
        policy: POLICY,
    });
    const workers = calls.flat();
    // 40 tasks, a coverage factor of 4 and 0.8 expected slots per worker.
    t.is(workers.length, 200);
    t.is(new Set(workers).size, workers.length);
    t.true(calls.length > 1);
    // The time per worker adds at most the fixed time of a call.
    t.true(calls.every((call) => call.length * POLICY.perWorkerMs <= POLICY.decideMs));
});

test("a small step asks about the minimum number of workers in one call", (t) => {
    const calls = planAdvice({
        workers: buildCandidates(380, 3),
        tasks: 2,
        admissionRate: 0.7,
        policy: { decideMs: 20.8, perWorkerMs: 0.3, validMs: 2_500 },
    });
    t.deepEqual(calls, [buildCandidates(30, 0).map(({ id }) => id)]);
});

test("limits the concurrent calls of a step when no worker has capacity", (t) => {
    const calls = planAdvice({
        workers: buildCandidates(1_000, 0),
        tasks: 40,
        admissionRate: 0.4,
        policy: POLICY,
    });
    t.is(calls.length, 4);
    t.true(calls.flat().length <= 400);
});

test("plans no call without workers", (t) => {
    t.deepEqual(planAdvice({ workers: [], tasks: 3, admissionRate: 1, policy: POLICY }), []);
});

test("the admission rate of a queue converges to its answers", (t) => {
    const rates = new AdmissionRates();
    const queue = "composites" as QueueName;
    t.is(rates.get(queue), 0.5);
    for (let i = 0; i < 50; i++) {
        rates.record(queue, 100, 35);
    }
    t.true(Math.abs(rates.get(queue) - 0.35) < 0.01);
});

test("a gang that needs several advice calls starts before its tickets expire", (t) => {
    // A call covers 100 workers and takes 1.2 s, and tickets expire after 2.5 s: sequential calls
    // would let the first tickets expire before the last arrive.
    const queue = buildQueue({ advice: POLICY });
    const cluster = new SimulatedCluster({
        workers: 300,
        fronts: 20,
        queues: [queue],
        taskMs: 500,
        hasInvariantChecks: false,
        isAdmitted: (_step, worker) => Number(worker.slice(1)) % 3 === 0,
    });
    const needs = { cpu: 9_000, memoryMb: 1_000, gpu: 0 };
    cluster.submit("00000000000000a1", buildSpec({ count: 85, isGang: true, needs }));
    cluster.runFor(3_500);
    t.is(cluster.getJobState("00000000000000a1"), "complete");
});
