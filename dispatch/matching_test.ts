import test from "ava";
import { QuotaLedger } from "../workspace/mod.ts";
import type { WorkerId } from "../job/mod.ts";
import { buildQueue, buildSpec, buildStep, SimulatedCluster, QUEUE } from "./_fixtures.ts";
import { WorkerRegistry } from "./worker_registry.ts";

/**
 * Steps are matched only with workers that gained capacity since their last try. Guards against a
 * source of capacity that isn't recorded, which would leave steps waiting.
 */

const OCCUPYING_JOB = "00000000000000a1";
const WAITING_JOB = "00000000000000b2";
const WHOLE_WORKER = { cpu: 16_000, memoryMb: 1_000, gpu: 0 };

function countStarts(cluster: SimulatedCluster, job: string): number {
    return cluster.runs.filter((run) => run.task.startsWith(job)).length;
}

function buildRecord(id: string) {
    return {
        id: id as WorkerId,
        incarnation: undefined,
        address: `${id}:80`,
        pool: buildQueue().pool,
        zone: "z",
        capacity: WHOLE_WORKER,
        fullCapacity: WHOLE_WORKER,
        labels: [],
        instance: "",
        isDraining: false,
    };
}

test("lists only the workers that gained capacity since a version, newest first", (t) => {
    const registry = new WorkerRegistry({
        firstFence: 1,
        leaseMs: 1_000,
        maxLeaseMs: 1_000,
        maxCallDelayMs: 1_000,
        maxReportAgeMs: 3_500,
        quotaLedger: new QuotaLedger(() => undefined),
    });
    const [a, b, c] = ["a", "b", "c"].map((id) => registry.ensureWorker(buildRecord(id), 0));
    const initialVersion = registry.capacityVersion;
    t.deepEqual(registry.listChangedSince(initialVersion), []);
    registry.recordCapacityGain(c!);
    registry.recordCapacityGain(a!);
    t.deepEqual(
        registry.listChangedSince(initialVersion).map((worker) => worker.record.id),
        [a!.record.id, c!.record.id],
    );
    registry.removeWorker(a!.record.id);
    t.deepEqual(registry.listChangedSince(initialVersion), [c]);
    t.is(registry.listChangedSince(0).length, 2);
    t.true(registry.listChangedSince(0).includes(b!));
});

test("a waiting task starts when the task that occupies its worker ends", (t) => {
    const cluster = new SimulatedCluster({ workers: 2, taskMs: 600 });
    cluster.submit(OCCUPYING_JOB, buildSpec({ count: 2, needs: WHOLE_WORKER }));
    cluster.runFor(100);
    cluster.submit(WAITING_JOB, buildSpec({ count: 1, needs: WHOLE_WORKER }));
    cluster.runFor(400);
    t.is(countStarts(cluster, WAITING_JOB), 0);
    cluster.runFor(300);
    t.is(countStarts(cluster, WAITING_JOB), 1);
});

test("a waiting task starts when the quarantine of the only free worker ends", (t) => {
    // No event occurs at that moment: only the clock makes the worker usable again.
    const cluster = new SimulatedCluster({
        workers: 1,
        taskMs: 100,
        getOutcome: (task) => (task.startsWith(WAITING_JOB) ? "done" : "failed"),
    });
    cluster.submit(OCCUPYING_JOB, buildSpec({ count: 1 }));
    cluster.submit("00000000000000c3", buildSpec({ count: 1 }));
    cluster.runFor(700);
    cluster.submit(WAITING_JOB, buildSpec({ count: 1 }));
    cluster.runFor(100);
    t.is(countStarts(cluster, WAITING_JOB), 0);
    cluster.runFor(9_000);
    t.is(cluster.getJobState(WAITING_JOB), "complete");
});

test("a waiting task starts on a worker that joins and on one that responds again", (t) => {
    let isSilent = true;
    const cluster = new SimulatedCluster({
        workers: 1,
        taskMs: 300,
        getFault: (_kind, worker) =>
            isSilent && worker === "w1" ? { type: "lost" } : { type: "none" },
    });
    cluster.submit(WAITING_JOB, buildSpec({ count: 1, needs: WHOLE_WORKER }));
    cluster.runFor(2_000);
    t.is(countStarts(cluster, WAITING_JOB), 0);
    cluster.addWorker("w2" as WorkerId, "10.0.0.2:80");
    cluster.submit(OCCUPYING_JOB, buildSpec({ count: 1, needs: WHOLE_WORKER }));
    cluster.runFor(2_000);
    t.is(cluster.getJobState(OCCUPYING_JOB), "complete");
    isSilent = false;
    cluster.runFor(4_000);
    t.is(cluster.getJobState(WAITING_JOB), "complete");
});

test("a waiting task renews its expired ticket and starts", (t) => {
    // Tickets expire after 500 ms; the only worker is busy for 2 s.
    const queue = buildQueue({ advice: { decideMs: 20, perWorkerMs: 0, validMs: 500 } });
    const cluster = new SimulatedCluster({
        workers: 1,
        queues: [queue],
        computeTaskMs: (task) => (task.startsWith(OCCUPYING_JOB) ? 2_000 : 200),
    });
    cluster.submit(OCCUPYING_JOB, buildSpec({ count: 1, needs: WHOLE_WORKER }), QUEUE);
    cluster.runFor(100);
    cluster.submit(WAITING_JOB, buildSpec({ count: 1, needs: WHOLE_WORKER }), QUEUE);
    cluster.runFor(3_000);
    t.is(cluster.getJobState(WAITING_JOB), "complete");
    t.deepEqual(cluster.violations, []);
});

test("a backlog of hundreds of jobs runs completely, in order of submission", (t) => {
    const cluster = new SimulatedCluster({ workers: 4, taskMs: 50, hasInvariantChecks: false });
    const ids = Array.from({ length: 300 }, (_unused, i) => (i + 1).toString(16).padStart(16, "0"));
    ids.forEach((id) =>
        cluster.submit(id, { ...buildSpec(), steps: [buildStep({ needs: WHOLE_WORKER })] }),
    );
    cluster.runFor(30_000);
    t.true(ids.every((id) => cluster.getJobState(id) === "complete"));
    t.deepEqual(
        cluster.runs.map((run) => run.task.slice(0, 16)),
        ids,
    );
});
