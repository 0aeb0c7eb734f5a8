import test from "ava";
import type { Incarnation, WorkerRecord } from "../job/mod.ts";
import { QuotaLedger } from "../workspace/mod.ts";
import { buildWorkerReport } from "./_builders.ts";
import { WorkerRegistry } from "./worker_registry.ts";

const MAX_LEASE_MS = 10_000;
const MAX_CALL_DELAY_MS = 3_000;
/** The longest lease on a clock that is 2% slow. */
const SLOWEST_LEASE_MS = MAX_LEASE_MS / 0.98;
const PREVIOUS = 1 as Incarnation;
const CURRENT = 2 as Incarnation;

function buildRegistry(): WorkerRegistry {
    return new WorkerRegistry({
        firstFence: 1,
        leaseMs: 8_500,
        maxLeaseMs: MAX_LEASE_MS,
        maxCallDelayMs: MAX_CALL_DELAY_MS,
        maxReportAgeMs: 3_500,
        quotaLedger: new QuotaLedger(() => undefined),
    });
}

function buildRecord(incarnation: Incarnation): WorkerRecord {
    const report = buildWorkerReport({ incarnation });
    return { ...report, fullCapacity: report.capacity };
}

// Guards against leases of a restarted worker that a poll sent before the restart extends.
test("a lease for the previous incarnation that is given up counts for the current one", (t) => {
    const registry = buildRegistry();
    const worker = registry.ensureWorker(buildRecord(CURRENT), 0);
    registry.recordLeaseGivenUp(worker, PREVIOUS, 2_000);
    const endsAtMs = 2_000 + MAX_CALL_DELAY_MS + SLOWEST_LEASE_MS;
    t.false(registry.hasLeaseExpired(worker, endsAtMs - 1));
    t.true(registry.hasLeaseExpired(worker, endsAtMs + 1));
});

// Guards against a wait for a late delivery that the known incarnation would measure on its clock.
test("a lease for the known incarnation that is given up ends on that incarnation's clock", (t) => {
    const registry = buildRegistry();
    const worker = registry.ensureWorker(buildRecord(CURRENT), 0);
    registry.recordLeaseGivenUp(worker, CURRENT, 2_000);
    t.true(registry.hasLeaseExpired(worker, 2_001));
});
