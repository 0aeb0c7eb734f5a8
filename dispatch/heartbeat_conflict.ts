/**
 * Heartbeats that cannot come from the worker whose id they bear. The pattern: another writer, or a damaged
 * message, names a live worker with another address or pool, or with a number far ahead of its own.
 * Taken over, it would send the worker's orders elsewhere, or make its own later heartbeats look old. A room may
 * change while a worker runs; what another writer says of it is weighed in `room_reports.ts`.
 *
 * @example
 * ```ts
 * import { isContradiction } from "./heartbeat_conflict.ts";
 * isContradiction(worker, record, { sequence: 7, isPoolNamed: () => true });
 * ```
 *
 * @module
 */

import type { PoolName } from "../configuration/mod.ts";
import type { WorkerReport } from "../job/mod.ts";
import type { WorkerState } from "./worker_registry.ts";

/**
 * A heartbeat's number is at most this far ahead of the one before: with a heartbeat every second or two that
 * is hours of lost ones, which the worker's silence would have ended long before.
 */
const MAX_SEQUENCE_GAP = 10_000;

/** What a heartbeat is held against, beside the worker's record. */
export interface HeartbeatConflictContext {
    readonly sequence: number;
    /** Whether the configuration names a pool. */
    readonly isKnownPool: (pool: PoolName) => boolean;
}

/**
 * Tells whether a heartbeat contradicts what is known of its worker. Place and pool stay with one life of a
 * worker. The record that is known may be the false one: it gives way when its pool is not named, or when
 * orders to it fail and nothing runs there.
 *
 * @param known The worker.
 * @param report What the heartbeat says.
 * @param context Its number, the pools.
 * @returns Whether it is to be dropped.
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
