/**
 * Detects heartbeats that conflict with the worker whose ID they carry: another address, another
 * pool, or a sequence number far ahead. Accepting one would misdirect the worker's orders or make
 * its own heartbeats look outdated.
 *
 * @example
 * ```ts
 * import { isConflictingHeartbeat } from "./heartbeat_conflict.ts";
 * isConflictingHeartbeat(worker, report, { sequence: 7, isKnownPool: () => true });
 * ```
 *
 * @module
 */

import type { PoolName } from "../configuration/mod.ts";
import type { WorkerReport } from "../job/mod.ts";
import type { WorkerState } from "./worker_registry.ts";

/**
 * Largest gap between the sequence numbers of consecutive heartbeats. With a heartbeat every second
 * or two, a larger one means hours of lost heartbeats, and a worker silent for so long is removed.
 */
const MAX_SEQUENCE_GAP = 10_000;

/** A heartbeat's sequence number, and the configured pools. */
export interface HeartbeatConflictContext {
    readonly sequence: number;
    /** Whether the configuration contains a pool. */
    readonly isKnownPool: (pool: PoolName) => boolean;
}

/**
 * Returns whether a heartbeat conflicts with its worker's record. Address and pool are fixed for
 * one incarnation. A wrong record can still be replaced: if its pool is not configured, or if the
 * worker is suspect and runs nothing.
 *
 * @param known The worker.
 * @param report The heartbeat's report.
 * @param context The heartbeat's sequence number, and the configured pools.
 * @returns Whether to drop the heartbeat.
 */
export function isConflictingHeartbeat(
    known: Pick<WorkerState, "record" | "lastSequence" | "isSuspect" | "members">,
    report: WorkerReport,
    context: HeartbeatConflictContext,
): boolean {
    const isFarAhead =
        known.lastSequence >= 0 && context.sequence - known.lastSequence > MAX_SEQUENCE_GAP;
    if (isFarAhead) {
        return true;
    }
    const { record } = known;
    if (isSameEndpoint(record, report)) {
        return false;
    }
    const isReplaceable =
        !context.isKnownPool(record.pool) || (known.isSuspect && known.members.size === 0);
    return !isReplaceable || !context.isKnownPool(report.pool);
}

function isSameEndpoint(a: WorkerReport, b: WorkerReport): boolean {
    return a.address === b.address && a.pool === b.pool;
}
