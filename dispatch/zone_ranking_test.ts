import test from "ava";
import type { WorkerId } from "../job/mod.ts";
import { buildSpec, SimulatedCluster } from "./_fixtures.ts";
import type { Candidate } from "./placement.ts";
import { rankZones } from "./zone_ranking.ts";

const JOB = "00000000000000a1";
const ZONES = ["z1", "z2", "z3", "z4"];

function buildCandidate(zone: string, cpu: number): Candidate {
    return {
        id: `${zone}-${cpu}` as WorkerId,
        freeCapacity: { cpu, memoryMb: 1_000, gpu: 0 },
        rack: "r1",
        zone,
        tasksOfStep: 0,
        isDataLocal: false,
        speed: 1,
        slowness: 1,
        hasRecentFailure: false,
    };
}

function startCluster(): SimulatedCluster {
    const cluster = new SimulatedCluster({
        workers: 8,
        taskMs: 3_000,
        getWorkerOverrides: (number) => ({ zone: ZONES[number % ZONES.length] as string }),
    });
    cluster.runFor(300);
    return cluster;
}

/** Lists the zones in which a job's tasks started, one entry per task. */
function listZones(cluster: SimulatedCluster, job: string): string[] {
    return cluster.runs
        .filter((run) => run.task.startsWith(job))
        .map((run) => cluster.committedState.workers.get(run.worker)?.zone ?? "");
}

test("ranks zones by tasks of the step, then by free CPU", (t) => {
    const candidates = [buildCandidate("z1", 9), buildCandidate("z2", 4), buildCandidate("z3", 20)];
    const tasksByZone = new Map([["z2", 1]]);
    const ranks = rankZones(candidates, { tasksByZone, isSpread: false });
    t.deepEqual([...ranks.keys()], ["z2", "z3", "z1"]);
    const spread = rankZones(candidates, { tasksByZone, isSpread: true });
    t.deepEqual([...spread.keys()], ["z3", "z1", "z2"]);
});

test("packs each job into one zone and distributes jobs over the zones", (t) => {
    const cluster = startCluster();
    const jobs = Array.from({ length: 4 }, (_, i) => `00000000000000b${i}`);
    for (const job of jobs) {
        cluster.submit(job, buildSpec({ count: 6, needs: { cpu: 2_000, memoryMb: 100, gpu: 0 } }));
        cluster.runFor(200);
    }
    const zones = jobs.map((job) => new Set(listZones(cluster, job)));
    t.deepEqual(
        zones.map((set) => set.size),
        [1, 1, 1, 1],
    );
    t.is(new Set(zones.flatMap((set) => [...set])).size, 4);
});

test("a step that exceeds the capacity of a zone uses other zones at once", (t) => {
    const cluster = startCluster();
    cluster.submit(JOB, buildSpec({ count: 40, needs: { cpu: 2_000, memoryMb: 100, gpu: 0 } }));
    cluster.runFor(300);
    t.is(listZones(cluster, JOB).length, 40);
});

test("spreads perpetual tasks evenly over zones", (t) => {
    const cluster = startCluster();
    cluster.submit(JOB, buildSpec({ count: 8, isPerpetual: true }));
    cluster.runFor(300);
    const zones = listZones(cluster, JOB);
    ZONES.forEach((zone) => t.is(zones.filter((other) => other === zone).length, 2));
});
