/**
 * The cell's books as text and back. A cell restored from a snapshot decides exactly as one that
 * replayed every input: sums are kept as they are (adding them up anew in another order could
 * differ in the last bit), and the order of a worker's leases is kept (preemption looks at it).
 * Ended leases are left out: every input treats an unknown lease like an ended one.
 *
 * @example
 * ```ts
 * import { encodeBooks, restoreBooks } from "./_snapshot.ts";
 * restoreBooks(other, encodeBooks(books));
 * ```
 *
 * @module
 */

import type { CustomerId, InstanceId, LeaseId, Resources, ServiceId } from "../inventory/mod.ts";
import type { RulesBookState } from "../rules/mod.ts";
import type { WorkerState } from "../scheduler/mod.ts";
import {
    createKey,
    type Books,
    type CellCounters,
    type KindPolicy,
    type Tombstone,
} from "./_books.ts";
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
    readonly rules: RulesBookState;
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
 * Encodes the books.
 *
 * @param books The books.
 * @returns JSON text.
 */
export function encodeBooks(books: Books): string {
    const snapshot: CellSnapshot = {
        rules: books.rulesBook.encode(),
        retired: [...books.retiredKinds],
        workers: books.workerList.map((w): [InstanceId, WorkerSnapshot] => [
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
        requests: [...books.requests.values()],
        tombstones: [...books.tombstones.values()],
        ended: books.ended,
        leases: [...books.liveLeases].flatMap((id) => books.leases.get(id) ?? []),
        customerCores: [...books.customerCores],
        counters: books.counters,
        nextSeq: books.nextSeq,
        nextEpoch: books.nextEpoch,
        lastAt: books.lastAt,
    };
    return JSON.stringify(snapshot);
}

/**
 * Replaces the contents of the books. Workers that the inventory no longer has are dropped.
 *
 * @param books The books to fill.
 * @param text What {@link encodeBooks} gave.
 */
export function restoreBooks(books: Books, text: string): void {
    const snapshot = JSON.parse(text) as CellSnapshot;
    books.rulesBook.restore(snapshot.rules);
    setAll(books.retiredKinds, snapshot.retired);
    for (const [id, item] of snapshot.workers) {
        restoreWorker(books.workers.get(id), item);
    }
    setAll(
        books.requests,
        snapshot.requests.map((r) => [r.id, r]),
    );
    setAll(
        books.tombstones,
        snapshot.tombstones.map((s) => [s.id, s]),
    );
    setAll(books.byKey, [
        ...snapshot.tombstones.map((s) => [createKey(s.caller, s.key), s.id] as const),
        ...snapshot.requests.map((r) => [createKey(r.spec.caller, r.spec.key), r.id] as const),
    ]);
    books.ended.splice(0, books.ended.length, ...(snapshot.ended as typeof books.ended));
    setAll(
        books.leases,
        snapshot.leases.map((l) => [l.id, l]),
    );
    books.liveLeases.clear();
    snapshot.leases.forEach((l) => books.liveLeases.add(l.id));
    setAll(books.customerCores, snapshot.customerCores);
    Object.assign(books.counters, snapshot.counters);
    books.nextSeq = snapshot.nextSeq;
    books.nextEpoch = snapshot.nextEpoch;
    books.lastAt = snapshot.lastAt;
    books.queue = new RequestQueue();
    books.handed.clear();
    for (const request of snapshot.requests) {
        if (request.state === "queued") {
            books.queue.add(request, books.getPolicy(request).kindClass.precedence);
        } else if (request.state === "handed") {
            books.handed.add(request.id);
        }
    }
    books.isDirty = true;
    books.takeEffects();
}

function restoreWorker(worker: WorkerState | undefined, item: WorkerSnapshot): void {
    if (worker === undefined) {
        return;
    }
    const { slotsUsed, leases, ...rest } = item;
    Object.assign(worker, { address: undefined }, rest);
    setAll(worker.slotsUsed, slotsUsed);
    worker.leases.clear();
    leases.forEach((lease) => worker.leases.add(lease));
}

function setAll<K, V>(map: Map<K, V>, items: readonly (readonly [K, V])[]): void {
    map.clear();
    for (const [key, value] of items) {
        map.set(key, value);
    }
}
