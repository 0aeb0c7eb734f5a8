import test from "ava";
import type { WorkerId } from "../job/mod.ts";
import {
    buildJobIds,
    buildSpec,
    SimulatedCluster,
    type SimulatedClusterOptions,
} from "./_fixtures.ts";

const EVENT = "end discarded";
const W1 = "w1" as WorkerId;
const W3 = "w3" as WorkerId;
/** Longer than a lease on the slowest clock. */
const SILENCE_MS = 10_000;

interface RecordedDecision {
    readonly kind: string;
    readonly event: string;
    readonly fields: Readonly<Record<string, unknown>>;
}

/** Builds a cluster and the list to which its leaders' decisions are added. */
function buildRecordingCluster(options: SimulatedClusterOptions): {
    cluster: SimulatedCluster;
    decisions: RecordedDecision[];
} {
    const decisions: RecordedDecision[] = [];
    const cluster = new SimulatedCluster({
        ...options,
        dispatcherOptions: {
            recordDecision: (kind, event, fields) => decisions.push({ kind, event, fields }),
        },
    });
    return { cluster, decisions };
}

// Guards against a finished run that is given up without a trace.
test("an end as done that comes after its lease expired is recorded once", (t) => {
    let isSilent = false;
    const { cluster, decisions } = buildRecordingCluster({
        workers: 2,
        computeTaskMs: (_task, worker) => (worker === W1 ? 300 : 20_000),
        getFault: (_kind, worker) =>
            isSilent && worker === W1 ? { type: "lost" } : { type: "none" },
    });
    const [id = ""] = buildJobIds(1);
    cluster.runFor(2_000);
    cluster.drainWorker("w2" as WorkerId);
    cluster.runFor(2_000);
    cluster.submit(id, buildSpec({}));
    cluster.runFor(100);
    t.is(cluster.runs[0]?.worker, W1);
    isSilent = true;
    cluster.addWorker(W3, "10.0.0.3:80");
    cluster.runFor(SILENCE_MS);
    t.is(cluster.runs[1]?.worker, W3);
    isSilent = false;
    cluster.runFor(4_000);
    const discarded = decisions.filter(({ event }) => event === EVENT);
    t.deepEqual(discarded, [
        {
            kind: "failure",
            event: EVENT,
            fields: {
                request: id,
                task: `${id}.0.0.0`,
                attempt: 1,
                worker: W1,
                how: "done",
                number: 1,
                current: 2,
            },
        },
    ]);
});

// Guards against a warning for each end that an earlier leader has recorded.
test("ends that are on record as done are not recorded as discarded by new leaders", (t) => {
    const { cluster, decisions } = buildRecordingCluster({ workers: 3, taskMs: 150 });
    buildJobIds(40).forEach((id, i) => {
        cluster.submit(id, buildSpec(i % 3 === 0 ? { count: 3, isGang: true } : { count: 3 }));
        cluster.runFor(90);
        cluster.replaceLeader();
    });
    cluster.runFor(5_000);
    t.true(decisions.some(({ event }) => event === "task ended"));
    t.deepEqual(
        decisions.filter(({ event }) => event === EVENT),
        [],
    );
});
