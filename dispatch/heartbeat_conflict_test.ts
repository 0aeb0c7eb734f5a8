import test from "ava";
import fc from "fast-check";
import type { PoolName } from "../configuration/mod.ts";
import type { WorkerReport } from "../job/mod.ts";
import {
    buildSpec,
    buildWorkerRecord,
    buildWorkerReport,
    SimulatedCluster,
    POOL,
} from "./_fixtures.ts";
import { isConflictingHeartbeat } from "./heartbeat_conflict.ts";

const OTHER_POOL = "elsewhere" as PoolName;

function buildKnownWorker(
    change: Partial<WorkerReport> = {},
    isSuspect = false,
): Parameters<typeof isConflictingHeartbeat>[0] {
    return { record: buildWorkerRecord(change), lastSequence: 7, isSuspect, members: new Map() };
}

const context = { sequence: 8, isKnownPool: (pool: PoolName) => pool === POOL };

test("accepts a heartbeat that announces draining or changes labels", (t) => {
    t.false(
        isConflictingHeartbeat(
            buildKnownWorker(),
            buildWorkerReport({ isDraining: true }),
            context,
        ),
    );
    t.false(
        isConflictingHeartbeat(buildKnownWorker(), buildWorkerReport({ labels: ["b"] }), context),
    );
});

test("rejects a heartbeat with another address or pool, or a sequence number far ahead", (t) => {
    for (const change of [{ address: "10.9.9.9:80" }, { pool: OTHER_POOL }]) {
        t.true(isConflictingHeartbeat(buildKnownWorker(), buildWorkerReport(change), context));
    }
    t.true(
        isConflictingHeartbeat(buildKnownWorker(), buildWorkerReport(), {
            ...context,
            sequence: 1e9,
        }),
    );
});

test("replaces a wrong record if its pool is unknown or the worker is suspect and idle", (t) => {
    t.false(
        isConflictingHeartbeat(
            buildKnownWorker({ pool: OTHER_POOL }),
            buildWorkerReport(),
            context,
        ),
    );
    t.false(
        isConflictingHeartbeat(
            buildKnownWorker({ address: "10.9.9.9:80" }, true),
            buildWorkerReport(),
            context,
        ),
    );
    t.true(
        isConflictingHeartbeat(
            buildKnownWorker({}, true),
            buildWorkerReport({ pool: OTHER_POOL }),
            context,
        ),
    );
});

test("completes a job on its worker despite foreign heartbeats with the worker's ID", (t) => {
    // Foreign heartbeats carry another address, pool, capacity or a huge sequence number.
    fc.assert(
        fc.property(
            fc.array(
                fc.record({
                    address: fc.constantFrom("10.0.0.1:80", "10.9.9.9:80"),
                    pool: fc.constantFrom(POOL, OTHER_POOL),
                    cpu: fc.constantFrom(16_000, 1, 999_000),
                    sequence: fc.constantFrom(1e12, 50_000, 20_000),
                }),
                { minLength: 1, maxLength: 6 },
            ),
            (foreignHeartbeats) => {
                const cluster = new SimulatedCluster({ workers: 1, taskMs: 300 });
                cluster.runFor(300);
                for (const { address, pool, cpu, sequence } of foreignHeartbeats) {
                    const capacity = { cpu, memoryMb: 32_000, gpu: 0 };
                    cluster.dispatcher.handleHeartbeat({
                        record: buildWorkerReport({ address, pool, capacity }),
                        sequence,
                        clockMs: undefined,
                        leavesInMs: undefined,
                    });
                }
                cluster.submit("00000000000000a1", buildSpec({ count: 2 }));
                cluster.runFor(7_000);
                t.is(cluster.getJobState("00000000000000a1"), "complete");
                t.deepEqual(cluster.violations, []);
            },
        ),
        { numRuns: 40 },
    );
});
