import test from "ava";
import { createRandom } from "../tools/seeded_random.ts";
import { buildJobIds, buildSpec, SimulatedCluster, type OrderFault } from "./_fixtures.ts";

const SEEDS = Array.from({ length: 20 }, (_unused, i) => i + 1);

/** Runs short tasks while leaders change during slow commits. */
function runLeaderChanges(seed: number): SimulatedCluster {
    const random = createRandom(seed);
    const cluster = new SimulatedCluster({
        workers: 4,
        computeTaskMs: () => 50 + random() * 250,
        computeCommitDelayMs: () => 60 + random() * 140,
        getFault: (): OrderFault => {
            const draw = random();
            if (draw < 0.01) {
                return { type: "lost" };
            }
            return draw < 0.03 ? { type: "late", afterMs: random() * 2_000 } : { type: "none" };
        },
    });
    for (const id of buildJobIds(40)) {
        cluster.submit(id, buildSpec({ count: 3 }));
        cluster.runFor(20 + random() * 180);
        if (random() < 0.25) {
            cluster.replaceLeader();
        }
    }
    cluster.runFor(15_000);
    return cluster;
}

// Guards against acknowledging an end to its worker before the end is committed.
test("no finished task is started again when leaders change during slow commits", (t) => {
    for (const seed of SEEDS) {
        const cluster = runLeaderChanges(seed);
        t.deepEqual(cluster.violations, [], `seed ${seed}`);
        t.true(cluster.runs.length > 40, `seed ${seed}`);
    }
});
