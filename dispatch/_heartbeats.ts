/**
 * Handles workers' heartbeats: decides which ones count, and updates the worker's record and state.
 *
 * @example
 * ```ts
 * import { Heartbeats } from "./_heartbeats.ts";
 * const heartbeats = new Heartbeats(context);
 * heartbeats.handleHeartbeat({ record, sequence: 7, clockMs, leavesInMs: undefined });
 * ```
 *
 * @module
 */

import type { Incarnation, WorkerId, WorkerRecord, WorkerReport } from "../job/mod.ts";
import type { DispatchContext } from "./_context.ts";
import { isConflictingHeartbeat } from "./heartbeat_conflict.ts";
import { isSameResources, mergeCapacity } from "./reported_capacity.ts";
import type { Heartbeat, KeepAlive, PollAnswer } from "./types.ts";
import type { WorkerState } from "./worker_registry.ts";

/**
 * Time between two facts that record the workers' clocks, in ms; a third of a heartbeat interval.
 */
const CLOCK_RECORD_INTERVAL_MS = 500;

/** A worker's clock, in ms, in one of its incarnations. */
interface ClockReading {
    readonly incarnation: Incarnation | undefined;
    readonly clockMs: number;
}

/** Handles the heartbeats that reach one leader. */
export class Heartbeats {
    readonly #context: DispatchContext;
    /** Worker clock readings from heartbeats that are not recorded yet. */
    readonly #unrecordedClocks = new Map<WorkerId, ClockReading>();
    #clocksRecordedAtMs = Number.NEGATIVE_INFINITY;

    /**
     * @param context The shared state of the dispatcher.
     */
    constructor(context: DispatchContext) {
        this.#context = context;
    }

    /**
     * Handles a worker's heartbeat.
     *
     * @param heartbeat The worker's report, sequence number and clock.
     */
    handleHeartbeat(heartbeat: Heartbeat): void {
        const { record: report, sequence } = heartbeat;
        const { stateStore } = this.#context;
        if (stateStore.isRemovedWorker(report.id, report.incarnation)) {
            return;
        }
        const now = this.#context.clock.getNow();
        const known = stateStore.workers.get(report.id);
        const state = this.#context.registry.findWorker(report.id);
        if (state !== undefined && hasOtherIncarnation(state.record, report)) {
            this.#handleUnconfirmedHeartbeat(state, heartbeat);
            return;
        }
        if (state !== undefined && sequence <= state.lastSequence) {
            this.#recordOutdatedHeartbeat(heartbeat, state);
            return;
        }
        // Draining is final for an incarnation: a late heartbeat from before the drain must not
        // bring new work to the worker.
        const isDraining = report.isDraining || (known?.isDraining ?? false);
        const { capacity: confirmed, unconfirmed } = mergeCapacity(
            known?.capacity ?? report.capacity,
            report.capacity,
            state?.unconfirmedCapacity,
        );
        const updated = { ...report, capacity: confirmed, isDraining };
        if (state !== undefined && this.#isConflicting(state, updated, sequence)) {
            this.#recordConflict(heartbeat);
            return;
        }
        this.#recordReport(known, updated);
        const recorded = stateStore.workers.get(report.id);
        if (recorded === undefined) {
            return;
        }
        const previousCapacity = state?.record.capacity;
        const worker = this.#context.registry.ensureWorker(recorded, now);
        const wasUsable = this.#context.registry.isUsable(worker, now);
        worker.unconfirmedCapacity = unconfirmed;
        this.#updateWorker(worker, heartbeat, { isNew: state === undefined, now });
        const hasCapacityChange =
            previousCapacity !== undefined && !isSameResources(previousCapacity, confirmed);
        if (!wasUsable || hasCapacityChange) {
            this.#context.recordFreedCapacity(worker);
        }
    }

    /**
     * Handles a keep-alive: a heartbeat whose report is unchanged.
     *
     * @param keepAlive The keep-alive; its capacity may differ from what this leader has recorded.
     */
    handleKeepAlive({ worker, incarnation, sequence, clockMs, capacity }: KeepAlive): void {
        const known = this.#context.stateStore.workers.get(worker);
        if (known !== undefined) {
            const report = { ...createReport(known), capacity };
            const record = { ...report, incarnation: incarnation ?? known.incarnation };
            this.handleHeartbeat({ record, sequence, clockMs, leavesInMs: undefined });
        }
    }

    /**
     * Records worker clocks, so that a new leader can place work before each worker's next
     * heartbeat.
     *
     * @param now The current monotonic time, in ms.
     */
    recordClocks(now: number): void {
        if (
            this.#unrecordedClocks.size === 0 ||
            now - this.#clocksRecordedAtMs < CLOCK_RECORD_INTERVAL_MS
        ) {
            return;
        }
        this.#clocksRecordedAtMs = now;
        const reports = [...this.#unrecordedClocks]
            .filter(([id, { incarnation }]) => {
                const worker = this.#context.registry.findWorker(id);
                return worker?.record.incarnation === incarnation;
            })
            .map(([id, { clockMs }]) => [id, clockMs] as const);
        this.#unrecordedClocks.clear();
        if (reports.length > 0) {
            this.#context.recordFact({ type: "workersHeard", reports });
        }
    }

    /** Records a report that differs from the worker's record. */
    #recordReport(known: WorkerRecord | undefined, updated: WorkerReport): void {
        if (known === undefined || !isSameReport(known, updated)) {
            this.#context.recordFact({ type: "workerSeen", worker: updated });
            this.#context.recordDecision(
                "decision",
                known === undefined ? "worker joined" : "worker changed",
                {
                    worker: updated.id,
                    address: updated.address,
                    draining: updated.isDraining,
                    capacity: updated.capacity,
                },
            );
            this.#pollSameAddress(updated);
        }
    }

    /** Takes over what a heartbeat tells about the state of its worker, apart from its record. */
    #updateWorker(
        worker: WorkerState,
        { record: { id }, sequence, clockMs, leavesInMs }: Heartbeat,
        { isNew, now }: { readonly isNew: boolean; readonly now: number },
    ): void {
        if (isNew && this.#context.stateStore.hasRemovedIncarnation(id)) {
            // The heartbeat may be a late one of an earlier incarnation, and late orders to the
            // removed one may reach this one.
            worker.isSuspect = true;
            this.#context.registry.advanceFence(worker);
        }
        worker.isReportMissing = false;
        worker.lastSequence = sequence;
        worker.lastContactAtMs = now;
        worker.lastReport = { arrivedAtMs: now, clockMs };
        if (clockMs !== undefined) {
            const { incarnation } = worker.record;
            this.#unrecordedClocks.set(id, { incarnation, clockMs });
        }
        worker.leavesAtMs = leavesInMs === undefined ? worker.leavesAtMs : now + leavesInMs;
        if (worker.isSuspect) {
            // The worker is alive but has not answered orders; it stays suspect until it answers a
            // poll.
            this.#context.emit({ type: "look", worker: id });
        }
        if (clockMs !== undefined) {
            worker.clock.record(clockMs, now);
        }
    }

    /** Logs a dropped heartbeat that would have changed the worker's record. */
    #recordOutdatedHeartbeat({ record, sequence }: Heartbeat, state: WorkerState): void {
        if (record.isDraining && !state.record.isDraining) {
            this.#context.recordDecision("failure", "heartbeat outdated", {
                worker: record.id,
                draining: record.isDraining,
                sequence,
                newest: state.lastSequence,
            });
        }
    }

    /**
     * Keeps a heartbeat of another incarnation until the worker itself tells which one is running:
     * the heartbeat may have been delayed since before a restart.
     */
    #handleUnconfirmedHeartbeat(worker: WorkerState, heartbeat: Heartbeat): void {
        const { record } = heartbeat;
        if (record.incarnation === undefined || this.#isConflicting(worker, record, 0)) {
            this.#recordConflict(heartbeat);
            return;
        }
        worker.pendingHeartbeat = { heartbeat, arrivedAtMs: this.#context.clock.getNow() };
        this.#context.emit({ type: "look", worker: record.id });
    }

    /**
     * Applies or drops a pending heartbeat once an answer tells which incarnation is running.
     *
     * @param id The worker.
     * @param sentAtMs When the poll was sent, in ms.
     * @param answer The answer to the poll.
     */
    resolvePending(id: WorkerId, sentAtMs: number, answer: PollAnswer): void {
        const worker = this.#context.registry.findWorker(id);
        const pending = worker?.pendingHeartbeat;
        if (worker === undefined || pending === undefined || answer.type !== "state") {
            return;
        }
        const { incarnation } = worker.record;
        const isConfirmed = pending.heartbeat.record.incarnation === incarnation;
        const isRefuted = answer.incarnation === incarnation && sentAtMs >= pending.arrivedAtMs;
        if (!isConfirmed && !isRefuted) {
            return;
        }
        worker.pendingHeartbeat = undefined;
        this.#context.recordFreedCapacity(worker);
        if (isConfirmed) {
            this.handleHeartbeat(pending.heartbeat);
        }
    }

    #recordConflict({ record, sequence }: Heartbeat): void {
        this.#context.recordDecision("failure", "heartbeat conflicts with its worker's record", {
            worker: record.id,
            incarnation: record.incarnation,
            address: record.address,
            pool: record.pool,
            sequence,
        });
    }

    #isConflicting(state: WorkerState, report: WorkerReport, sequence: number): boolean {
        if (state.isReportMissing) {
            return false;
        }
        const pools = this.#context.stateStore.configuration?.pools ?? [];
        return isConflictingHeartbeat(state, report, {
            sequence,
            isKnownPool: (pool) => pools.some(({ name }) => name === pool),
        });
    }

    /** Polls other workers with the same address: all but one of them are earlier incarnations. */
    #pollSameAddress(report: WorkerReport): void {
        for (const other of this.#context.registry.workers) {
            if (other.record.address === report.address && other.record.id !== report.id) {
                this.#context.emit({ type: "look", worker: other.record.id });
            }
        }
    }
}

/**
 * Returns whether a heartbeat's report matches the worker's record.
 *
 * @param record The worker's record.
 * @param report The heartbeat's report.
 * @returns True if all reported fields are equal.
 */
export function isSameReport(record: WorkerRecord, report: WorkerReport): boolean {
    return JSON.stringify(createReport(record)) === JSON.stringify(createReport(report));
}

/** Copies the fields that the worker itself reports. */
function createReport(report: WorkerReport): WorkerReport {
    const { id, incarnation, address, pool, zone, capacity, labels, instance } = report;
    const { isDraining } = report;
    return { id, incarnation, address, pool, zone, capacity, labels, instance, isDraining };
}

/** Returns whether a report is not from the incarnation that the record is known to describe. */
function hasOtherIncarnation({ incarnation }: WorkerRecord, report: WorkerReport): boolean {
    return incarnation !== undefined && incarnation !== report.incarnation;
}
