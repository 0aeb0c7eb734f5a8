import test from "ava";
import type { Configuration, QueueName } from "../configuration/mod.ts";
import { StateStore, type Fact, type JobId } from "../job/mod.ts";
import { buildJobIds, buildQueue, buildSpec, POOL, QUEUE, SimulatedCluster } from "./_fixtures.ts";
import { RemovedQueues } from "./_removed_queues.ts";

const REMOVED = "reels" as QueueName;

function buildConfiguration(version: number, priority: number): Configuration {
    return {
        version,
        queues: [
            buildQueue(),
            buildQueue({
                name: "archive" as QueueName,
                pathPrefix: "/archive/",
                priority,
                maxAttempts: 7,
            }),
        ],
        pools: [{ name: POOL, hasAdmissionCheck: false, isStandby: false }],
        limits: { maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
        document: {},
    };
}

// Guards against an accepted job that never runs: a leader of an earlier release recorded it after the
// configuration that removed its queue.
test("a stored job whose queue is lost runs on its pool with the lowest priority", (t) => {
    const cluster = new SimulatedCluster({ workers: 1, taskMs: 300 });
    cluster.runFor(500);
    const [lost = "" as JobId, ...others] = buildJobIds(4) as JobId[];
    const needs = { cpu: 16_000, memoryMb: 1_000, gpu: 0 };
    const spec = buildSpec({ count: 2, needs });
    const accept = (job: JobId, queue: QueueName): Fact => ({
        type: "jobAccepted",
        job,
        queue,
        pool: POOL,
        spec,
    });
    cluster.stopLeader();
    cluster.committedState.apply({
        at: cluster.now,
        facts: [
            { type: "configurationSet", configuration: buildConfiguration(2, 3) },
            accept(lost, REMOVED),
            ...others.map((job) => accept(job, QUEUE)),
        ],
    });
    t.false(cluster.committedState.queues.has(REMOVED));
    cluster.replaceLeader();
    cluster.runFor(1_000);
    t.is(cluster.getJobState(lost), "queued");
    cluster.runFor(8_000);
    others.forEach((job) => t.is(cluster.getJobState(job), "complete"));
    t.is(cluster.getJobState(lost), "complete");
});

test("the substitute of a lost queue gives as many attempts as any configured queue", (t) => {
    const stateStore = new StateStore();
    const job = { queue: REMOVED, pool: POOL };
    const removedQueues = new RemovedQueues(stateStore);
    t.like(removedQueues.getQueue(job), { priority: 0, maxAttempts: 1, advice: undefined });
    stateStore.apply({
        at: 1,
        facts: [{ type: "configurationSet", configuration: buildConfiguration(1, 5) }],
    });
    removedQueues.clear();
    t.like(removedQueues.getQueue(job), { pool: POOL, priority: 5, maxAttempts: 7 });
});
