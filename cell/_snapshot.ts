/**
 * Encodes the state of a cell as text and restores it. A restored cell makes the same decisions as
 * one that replayed every input: floating-point sums and the order of a worker's leases are stored,
 * not recomputed. Ended leases are left out, since inputs treat unknown and ended leases alike.
 *
 * @example
 * ```ts
 * import { encodeState, restoreState } from "./_snapshot.ts";
 * restoreState(otherState, encodeState(state));
 * ```
 *
 * @module
 */

import type { CustomerId, InstanceId, LeaseId, Resources, ServiceId } from "../inventory/mod.ts";
import type { RulesStoreState } from "../rules/mod.ts";
import type { WorkerState } from "../scheduler/mod.ts";
import {
    createCallerKey,
    type CellState,
    type CellCounters,
    type KindPolicy,
    type Tombstone,
} from "./_cell_state.ts";
import { RequestQueue } from "./_queue.ts";
import type { LeaseRecord, RequestRecord } from "./types.ts";

interface WorkerSnapshot {
    readonly address: string | undefined;
    readonly incarnation: string;
    readonly alive: boolean;
    readonly drained: boolean;
    readonly leaving: boolean;
    readonly quarantinedUntil: number;
    readonly lastHeartbeatAt: number;
    readonly failuresInARow: number;
    readonly held: Resources;
    readonly slotsUsed: readonly (readonly [ServiceId, number])[];
    readonly leases: readonly LeaseId[];
}

interface CellSnapshot {
    readonly rules: RulesStoreState;
    readonly retired: readonly (readonly [string, KindPolicy])[];
    readonly workers: readonly (readonly [InstanceId, WorkerSnapshot])[];
    readonly requests: readonly RequestRecord[];
    readonly tombstones: readonly Tombstone[];
    readonly ended: readonly string[];
    readonly leases: readonly LeaseRecord[];
    readonly customerCores: readonly (readonly [CustomerId, number])[];
    readonly counters: CellCounters;
    readonly nextSeq: number;
    readonly nextEpoch: number;
    readonly lastAt: number;
}

/**
 * Encodes a cell's state.
 *
 * @param state The state.
 * @returns JSON text.
 */
export function encodeState(state: CellState): string {
    const snapshot: CellSnapshot = {
        rules: state.rulesStore.encode(),
        retired: [...state.retiredKinds],
        workers: state.workerList.map((w): [InstanceId, WorkerSnapshot] => [
            w.instance.id,
            {
                address: w.address,
                incarnation: w.incarnation,
                alive: w.alive,
                drained: w.drained,
                leaving: w.leaving,
                quarantinedUntil: w.quarantinedUntil,
                lastHeartbeatAt: w.lastHeartbeatAt,
                failuresInARow: w.failuresInARow,
                held: w.held,
                slotsUsed: [...w.slotsUsed],
                leases: [...w.leases],
            },
        ]),
        requests: [...state.requests.values()],
        tombstones: [...state.tombstones.values()],
        ended: state.endedRequestIds,
        leases: [...state.liveLeases].flatMap((id) => state.leases.get(id) ?? []),
        customerCores: [...state.customerCores],
        counters: state.counters,
        nextSeq: state.nextSeq,
        nextEpoch: state.nextEpoch,
        lastAt: state.lastInputAtMs,
    };
    return JSON.stringify(snapshot);
}

/**
 * Replaces a cell's state. Workers that are no longer in the inventory are dropped.
 *
 * @param state The state to replace.
 * @param text The output of {@link encodeState}.
 */
export function restoreState(state: CellState, text: string): void {
    const snapshot = JSON.parse(text) as CellSnapshot;
    state.rulesStore.restore(snapshot.rules);
    replaceEntries(state.retiredKinds, snapshot.retired);
    for (const [id, workerSnapshot] of snapshot.workers) {
        restoreWorker(state.workers.get(id), workerSnapshot);
    }
    replaceEntries(
        state.requests,
        snapshot.requests.map((r) => [r.id, r]),
    );
    replaceEntries(
        state.tombstones,
        snapshot.tombstones.map((s) => [s.id, s]),
    );
    replaceEntries(state.requestIdsByKey, [
        ...snapshot.tombstones.map((s) => [createCallerKey(s.caller, s.key), s.id] as const),
        ...snapshot.requests.map(
            (r) => [createCallerKey(r.spec.caller, r.spec.key), r.id] as const,
        ),
    ]);
    state.endedRequestIds.splice(
        0,
        state.endedRequestIds.length,
        ...(snapshot.ended as typeof state.endedRequestIds),
    );
    replaceEntries(
        state.leases,
        snapshot.leases.map((l) => [l.id, l]),
    );
    state.liveLeases.clear();
    snapshot.leases.forEach((l) => state.liveLeases.add(l.id));
    replaceEntries(state.customerCores, snapshot.customerCores);
    Object.assign(state.counters, snapshot.counters);
    state.nextSeq = snapshot.nextSeq;
    state.nextEpoch = snapshot.nextEpoch;
    state.lastInputAtMs = snapshot.lastAt;
    state.queue = new RequestQueue();
    state.handedOverIds.clear();
    for (const request of snapshot.requests) {
        if (request.state === "queued") {
            state.queue.add(request, state.getKindPolicy(request).kindClass.precedence);
        } else if (request.state === "handed") {
            state.handedOverIds.add(request.id);
        }
    }
    state.isPlacementDue = true;
    state.takeEffects();
}

function restoreWorker(worker: WorkerState | undefined, snapshot: WorkerSnapshot): void {
    if (worker === undefined) {
        return;
    }
    const { slotsUsed, leases, ...rest } = snapshot;
    Object.assign(worker, { address: undefined }, rest);
    replaceEntries(worker.slotsUsed, slotsUsed);
    worker.leases.clear();
    leases.forEach((lease) => worker.leases.add(lease));
}

function replaceEntries<K, V>(map: Map<K, V>, items: readonly (readonly [K, V])[]): void {
    map.clear();
    for (const [key, value] of items) {
        map.set(key, value);
    }
}
