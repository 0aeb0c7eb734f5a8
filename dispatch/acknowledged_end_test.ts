import test from "ava";
import type { QueueName } from "../configuration/mod.ts";
import type { WorkerId } from "../job/mod.ts";
import { createRandom } from "../tools/seeded_random.ts";
import {
    buildJobIds,
    buildQueue,
    buildSpec,
    QUEUE,
    SimulatedCluster,
    type OrderFault,
} from "./_fixtures.ts";

const SEEDS = Array.from({ length: 27 }, (_unused, i) => i + 1);
const WORKER_COUNT = 5;
const LOW_PRIORITY_QUEUE = "batches" as QueueName;
/** Longest commits, latencies and delays of late orders, in ms; each seed has one of each. */
const COMMIT_DELAYS_MS = [12, 60, 200] as const;
const NETWORK_DELAYS_MS = [1, 30, 150] as const;
const LATE_ORDER_DELAYS_MS = [200, 2_000, 9_000] as const;
/** Longer than a lease on the slowest clock. */
const MAX_SILENCE_MS = 11_000;
const DRAIN_MS = 2_000;

/** Selects the fault of an order at random. */
function selectFault(random: () => number, isSilent: boolean, maxDelayMs: number): OrderFault {
    const draw = random();
    const [refused, late, lost] = isSilent ? [0.4, 0.7, 1] : [0.01, 0.06, 0.08];
    if (draw < refused) {
        return { type: "refused" };
    }
    if (draw < late) {
        return { type: "late", afterMs: random() * maxDelayMs };
    }
    return draw < lost ? { type: "lost" } : { type: "none" };
}

/** Runs short tasks beside all faults that may make a leader give up a run. */
function runFaults(seed: number): SimulatedCluster {
    const random = createRandom(seed);
    const maxCommitMs = COMMIT_DELAYS_MS[seed % 3] ?? 0;
    const maxNetworkMs = NETWORK_DELAYS_MS[Math.floor(seed / 3) % 3] ?? 0;
    const maxLateMs = LATE_ORDER_DELAYS_MS[Math.floor(seed / 9) % 3] ?? 0;
    const silentUntilMs = new Map<WorkerId, number>();
    const leavesAtMs = new Map<WorkerId, number>();
    const cluster: SimulatedCluster = new SimulatedCluster({
        workers: WORKER_COUNT,
        clockDrift: seed % 2 === 0 ? 0.02 : 0,
        restartDelayMs: 500,
        queues: [
            buildQueue(),
            buildQueue({ name: LOW_PRIORITY_QUEUE, pathPrefix: "/batches/", priority: 2 }),
        ],
        capacity: { cpu: 4_000, memoryMb: 32_000, gpu: 0 },
        computeTaskMs: () => 40 + random() * (random() < 0.2 ? 1_500 : 300),
        computeCommitDelayMs: () => 2 + random() * maxCommitMs,
        computeNetworkDelayMs: () => 1 + random() * maxNetworkMs,
        getOutcome: () => (random() < 0.05 ? "failed" : "done"),
        getFault: (_kind, worker) => {
            const isSilent = (silentUntilMs.get(worker) ?? 0) > cluster.now;
            return selectFault(random, isSilent, maxLateMs);
        },
    });
    const ids = buildJobIds(60);
    for (const [i, id] of ids.entries()) {
        const first = [
            { count: 3 },
            { count: 3, isGang: true },
            { count: 2, savesProgress: true, estimateMs: 1_000 },
        ][i % 3];
        const next = random() < 0.3 ? [{ after: [0], count: 2 }] : [];
        const queue = random() < 0.5 ? LOW_PRIORITY_QUEUE : QUEUE;
        cluster.submit(id, buildSpec({ ...first }, ...next), queue);
        cluster.runFor(20 + random() * 250);
        const running = [...cluster.workers.keys()];
        const worker = running[Math.floor(random() * running.length)] ?? ("w1" as WorkerId);
        if (random() < 0.15) {
            const hasImmediateHeartbeats = random() < 0.5;
            cluster.replaceLeader({ hasImmediateHeartbeats, committedShare: random() });
        }
        if (random() < 0.1) {
            silentUntilMs.set(worker, cluster.now + random() * MAX_SILENCE_MS);
        }
        if (random() < 0.05) {
            cluster.cancel(ids[Math.floor(random() * i)] ?? id);
        }
        const draw = random();
        if (draw < 0.03) {
            cluster.crashWorker(worker);
        } else if (draw < 0.06 && !leavesAtMs.has(worker)) {
            cluster.drainWorker(worker, DRAIN_MS);
            cluster.addWorker(`w${WORKER_COUNT + i}` as WorkerId, `10.0.1.${i}:80`);
            leavesAtMs.set(worker, cluster.now + DRAIN_MS);
        }
        for (const [leaving, atMs] of leavesAtMs) {
            if (atMs <= cluster.now && cluster.workers.has(leaving)) {
                cluster.dispatcher.handleLeave(leaving, undefined);
                cluster.killWorker(leaving);
            }
        }
    }
    cluster.runFor(30_000);
    return cluster;
}

// Guards against giving up a run as never begun whose end is listed and acknowledged later.
test("no acknowledged end as done is that of a task that starts again, beside all faults", (t) => {
    for (const seed of SEEDS) {
        const cluster = runFaults(seed);
        t.deepEqual(cluster.violations, [], `seed ${seed}`);
        t.true(cluster.runs.length > 60, `seed ${seed}`);
    }
});
