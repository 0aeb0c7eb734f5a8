/**
 * Measures replication between real processes on loopback: commit latency, election time after the
 * leader is killed, frozen or stopped, propagation time of a rules change, and catch-up time of a
 * lagging instance. Writes the results to `bench/results/cluster-<instances>.json`.
 *
 * @example
 * ```sh
 * npx tsx bench/cluster_bench.ts 3
 * npx tsx bench/cluster_bench.ts 9
 * ```
 *
 * @module
 */

import { writeFileSync } from "node:fs";
import * as hdr from "hdr-histogram-js";
import { buildCluster, buildRulesFile, Workload } from "../entry/_cluster_fixtures.ts";
import { waitUntil, type Cluster } from "../load/cluster_runner.ts";

const COMMIT_COUNT = 300;
const RULES_CHANGE_COUNT = 50;
const ELECTION_COUNT = 3;
const MISSED_REQUEST_COUNT = 1_000;
const ALL_ZONES = ["z1", "z2", "z3"];

/** Latency percentiles in ms. */
interface LatencySummary {
    readonly p50: number;
    readonly p99: number;
    readonly max: number;
    readonly count: number;
}

async function measureLatencies(
    count: number,
    run: (i: number) => Promise<void>,
): Promise<LatencySummary> {
    const histogram = hdr.build({ numberOfSignificantValueDigits: 3 });
    for (let i = 0; i < count; i++) {
        const startedAtMs = performance.now();
        await run(i);
        histogram.recordValue(Math.round((performance.now() - startedAtMs) * 1_000));
    }
    const toMs = (us: number): number => Number((us / 1_000).toFixed(1));
    return {
        p50: toMs(histogram.getValueAtPercentile(50)),
        p99: toMs(histogram.getValueAtPercentile(99)),
        max: toMs(histogram.maxValue),
        count,
    };
}

async function measureCommitLatencies(workload: Workload): Promise<LatencySummary> {
    const demand = { cores: 99, memoryMb: 1, accelerators: 0 };
    return measureLatencies(COMMIT_COUNT, async () => {
        // No worker can meet the demand, so the latency is that of the commit alone.
        await workload.submit({ kind: "batch", demand });
    });
}

async function measureRulesChangeLatencies(
    cluster: Cluster,
    workload: Workload,
): Promise<LatencySummary> {
    const firstVersion = (await cluster.listStatuses())[0]?.rulesVersion ?? 1;
    return measureLatencies(RULES_CHANGE_COUNT, async (i) => {
        const version = firstVersion + i;
        await workload.caller.setRules({
            changeId: `bench-${version}`,
            expectedVersion: version,
            rules: buildRulesFile(),
        });
        for (;;) {
            const statuses = await cluster.listStatuses();
            if (statuses.every((s) => s.groups.every((g) => g.rulesVersion === version + 1))) {
                return;
            }
        }
    });
}

/** Measures election times in ms, without the restart of the previous leader. */
async function measureElectionTimes(
    cluster: Cluster,
    group: string,
    signal: "SIGKILL" | "SIGSTOP" | "SIGTERM",
): Promise<number[]> {
    const timesMs: number[] = [];
    for (let i = 0; i < ELECTION_COUNT; i++) {
        const leader = (await cluster.findLeader(group)) as string;
        const startedAtMs = performance.now();
        cluster.sendSignal(leader, signal);
        await waitUntil("another instance leads", async () => {
            return (await cluster.findLeader(group, leader)) !== undefined;
        });
        timesMs.push(Math.round(performance.now() - startedAtMs));
        if (signal === "SIGSTOP") {
            cluster.sendSignal(leader, "SIGCONT");
        } else {
            await cluster.stopProcess(leader);
            await cluster.startEntry(leader);
        }
        await cluster.waitLeaders();
        await waitUntil("all instances are ready", async () => {
            const statuses = await cluster.listStatuses();
            return statuses.every((s) => s.ready);
        });
    }
    return timesMs;
}

async function measureRecovery(cluster: Cluster, workload: Workload): Promise<object> {
    const leaders = [await cluster.findLeader("z1"), await cluster.findLeader("config")];
    const laggingId = [1, 2, 3]
        .map((i) => `e-z1-${i}`)
        .find((id) => !leaders.includes(id)) as string;
    await cluster.killProcess(laggingId);
    const demand = { cores: 99, memoryMb: 1, accelerators: 0 };
    for (let i = 0; i < MISSED_REQUEST_COUNT / 10; i++) {
        await Promise.all(
            Array.from({ length: 10 }, () => workload.submit({ kind: "batch", demand })),
        );
    }
    const startedAtMs = performance.now();
    await cluster.startEntry(laggingId);
    const listeningMs = Math.round(performance.now() - startedAtMs);
    await waitUntil("the lagging instance has caught up", async () => {
        const statuses = await cluster.listStatuses();
        const applied = statuses.flatMap(
            (s) => s.groups.find((g) => g.id === "z1")?.appliedIndex ?? [],
        );
        const laggingStatus = statuses.find((s) => s.id === laggingId);
        return laggingStatus?.ready === true && Math.max(...applied) - Math.min(...applied) <= 2;
    });
    const totalMs = Math.round(performance.now() - startedAtMs);
    return {
        missed: MISSED_REQUEST_COUNT,
        listeningMs,
        caughtUpAfterListeningMs: totalMs - listeningMs,
    };
}

const instances = Number(process.argv[2] ?? 3);
const zones = instances >= 9 ? ALL_ZONES : ["z1"];
const cluster = await buildCluster({
    zones,
    entriesPerZone: Math.ceil(instances / zones.length),
    workers: 6,
    snapshotIntervalEntries: 200,
    callers: [{ caller: "console-1", zone: "z1" }],
});
try {
    const workload = new Workload(cluster);
    const commitLatencies = await measureCommitLatencies(workload);
    const rulesChangeLatencies = await measureRulesChangeLatencies(cluster, workload);
    const recovery = await measureRecovery(cluster, workload);
    const killed = await measureElectionTimes(cluster, "z1", "SIGKILL");
    const frozen = await measureElectionTimes(cluster, "z1", "SIGSTOP");
    const stopped = await measureElectionTimes(cluster, "z1", "SIGTERM");
    const result = {
        command: `npx tsx bench/cluster_bench.ts ${instances}`,
        at: new Date().toISOString(),
        instances,
        commitMs: commitLatencies,
        changeInForceEverywhereMs: rulesChangeLatencies,
        recovery,
        electionAfterKillMs: killed,
        electionAfterFreezeMs: frozen,
        nextLeaderAfterGracefulStopMs: stopped,
    };
    console.log(JSON.stringify(result, null, 2));
    writeFileSync(
        new URL(`./results/cluster-${instances}.json`, import.meta.url),
        `${JSON.stringify(result, null, 2)}\n`,
    );
} finally {
    await cluster.stop();
}
