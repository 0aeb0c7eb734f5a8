import test from "ava";
import type { JobId } from "../job/mod.ts";
import type { WorkspaceName } from "../workspace/mod.ts";
import { buildJobIds, QUEUE, SimulatedCluster } from "./_fixtures.ts";
import type { CancellationRefusal } from "./mod.ts";

const ACME = "acme" as WorkspaceName;
const OTHER = "other" as WorkspaceName;
const RETENTION_MS = 20_000;
const MAX_TOMBSTONES = 8;

function startCluster(): SimulatedCluster {
    const cluster = new SimulatedCluster({
        workers: 1,
        dispatcherOptions: {
            limits: { retentionMs: RETENTION_MS },
            workLimits: { maxTombstones: MAX_TOMBSTONES },
        },
    });
    cluster.runFor(500);
    return cluster;
}

function cancelUnknown(
    { dispatcher }: SimulatedCluster,
    job: string,
    workspace?: WorkspaceName,
): CancellationRefusal | undefined {
    return dispatcher.addTombstone({ job: job as JobId, queue: QUEUE, workspace });
}

/** Cancels ids until one is refused, and returns how many were not. */
function cancelUntilRefused(
    cluster: SimulatedCluster,
    ids: readonly string[],
    workspace?: WorkspaceName,
): number {
    return ids.findIndex((id) => cancelUnknown(cluster, id, workspace) !== undefined);
}

// Guards against cancellations of random ids that fill the memory of all instances.
test("tombstones are bounded, and a cancellation beyond the bound is refused with a time", (t) => {
    const cluster = startCluster();
    const ids = buildJobIds(2 * MAX_TOMBSTONES);
    const count = cancelUntilRefused(cluster, ids);
    t.is(count, MAX_TOMBSTONES / 2);
    const refusal = cancelUnknown(cluster, ids[count] ?? "");
    t.true((refusal?.retryAfterMs ?? 0) >= 5_000);
    t.false(cluster.dispatcher.hasTombstone(ids[count] as JobId, () => true));
});

// Guards against one workspace whose cancellations keep those of the others from being acknowledged.
test("a workspace that cancels many ids leaves room for others", (t) => {
    const cluster = startCluster();
    t.is(cancelUntilRefused(cluster, buildJobIds(9), ACME), MAX_TOMBSTONES / 2);
    t.is(cancelUntilRefused(cluster, buildJobIds(9), OTHER), MAX_TOMBSTONES / 4);
    t.is(cancelUntilRefused(cluster, buildJobIds(9)), MAX_TOMBSTONES / 8);
});

// Guards against a cancellation that is refused although it needs no room.
test("a repeated cancellation is accepted at the bound", (t) => {
    const cluster = startCluster();
    const ids = buildJobIds(MAX_TOMBSTONES);
    cancelUntilRefused(cluster, ids);
    t.is(cancelUnknown(cluster, ids[0] ?? ""), undefined);
});

// Guards against ids that stay blocked, and bounds that stay reached.
test("tombstones are removed after the retention time, also by the next leader", (t) => {
    const cluster = startCluster();
    const ids = buildJobIds(MAX_TOMBSTONES);
    cancelUntilRefused(cluster, ids);
    cluster.runFor(RETENTION_MS / 2);
    cluster.replaceLeader();
    t.true(cluster.dispatcher.hasTombstone(ids[0] as JobId, () => true));
    cluster.runFor(RETENTION_MS);
    t.is(cluster.committedState.tombstones.size, 0);
    t.is(cancelUnknown(cluster, ids.at(-1) ?? ""), undefined);
});
