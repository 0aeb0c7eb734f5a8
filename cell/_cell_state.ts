/**
 * The cell's books: every record, the rules in force, counters and pending effects, with the
 * lookups and the sums that must stay right whoever changes a record.
 *
 * @example
 * ```ts
 * import { Books } from "./_cell_state.ts";
 * const books = new Books(options);
 * books.recordFate(request, at, "accepted", "preview x1");
 * ```
 *
 * @module
 */

import { createHash } from "node:crypto";
import {
    addResources,
    removeResources,
    type CustomerId,
    type InstanceId,
    type Inventory,
    type LeaseId,
    type RequestId,
    type Resources,
} from "../inventory/mod.ts";
import {
    getKindClass,
    getKindRule,
    RulesBook,
    type KindRule,
    type PrecedenceClass,
    type Rules,
} from "../rules/mod.ts";
import { createWorkerState, type WorkerState } from "../scheduler/mod.ts";
import { RequestQueue } from "./_queue.ts";
import type { Effect, LeaseRecord, RequestRecord, RequestSpec } from "./types.ts";

/** Options of a cell. */
export interface CellOptions {
    readonly inventory: Inventory;
    readonly rules: Rules;
    /** Put before every request and lease id, so that ids of different cells never meet. */
    readonly idPrefix?: string;
    /** The part of each customer's quota that this cell may give out, from 0 to 1. */
    readonly quotaShare?: number;
    /** A lease lives this long without a renewal, in ms. The worker stops its task after it. */
    readonly leaseTtlMs?: number;
    /**
     * Extra wait past the time to live before the cell counts a lease lost, in ms. It covers
     * clock drift and a late heartbeat, so that the worker has stopped the task by then.
     */
    readonly leaseGraceMs?: number;
    /** Leases an idempotent request may be offered before it fails. */
    readonly maxAttempts?: number;
    /** Failed tasks in a row after which a worker gets no work for a while. */
    readonly quarantineAfterFailures?: number;
    /** How long a quarantine lasts, in ms. */
    readonly quarantineMs?: number;
    /** The most placements one tick decides. */
    readonly maxPlacementsPerTick?: number;
    /** An attempt that ran at least this long does not count towards the most attempts, in ms. */
    readonly attemptResetMs?: number;
    /**
     * The instances of the other zones' groups, one list per group: what fits there is not
     * refused here, because it can be handed over.
     */
    readonly otherZoneWorkers?: readonly (readonly WorkerState[])[];
    /** How long an ended request keeps its whole time line, in ms. */
    readonly retentionMs?: number;
    /** How long its idempotency key and end state are kept after that, in ms. */
    readonly keyRetentionMs?: number;
}

const DAY_MS = 86_400_000;

const DEFAULT_OPTIONS = {
    idPrefix: "",
    quotaShare: 1,
    leaseTtlMs: 3_000,
    leaseGraceMs: 1_500,
    maxAttempts: 3,
    quarantineAfterFailures: 3,
    quarantineMs: 30_000,
    maxPlacementsPerTick: 5_000,
    attemptResetMs: 60_000,
    otherZoneWorkers: [] as readonly (readonly WorkerState[])[],
    retentionMs: DAY_MS,
    keyRetentionMs: 30 * DAY_MS,
};

/** Options with every default filled in. */
export type ResolvedOptions = typeof DEFAULT_OPTIONS;

/** Counters that the entry process turns into metrics. */
export interface CellCounters {
    placements: number;
    preemptions: number;
    refusals: number;
    declines: number;
    expiries: number;
}

/** What the rules say of a kind, with its class. */
export interface KindPolicy {
    readonly rule: KindRule;
    readonly kindClass: PrecedenceClass;
}

/** The cell's records. */
export class CellState {
    readonly options: ResolvedOptions;
    readonly inventory: Inventory;
    readonly rulesStore: RulesBook;
    /** Kinds that a change dropped while requests of them had not ended. */
    readonly retiredKinds = new Map<string, KindPolicy>();
    readonly workers = new Map<InstanceId, WorkerState>();
    readonly workerList: WorkerState[] = [];
    readonly requests = new Map<RequestId, RequestRecord>();
    readonly requestIdsByKey = new Map<string, RequestId>();
    /** What is kept of requests whose time line was dropped. */
    readonly tombstones = new Map<RequestId, Tombstone>();
    /** Ended requests, oldest end first. */
    readonly endedRequestIds: RequestId[] = [];
    readonly leases = new Map<LeaseId, LeaseRecord>();
    /** Leases that hold resources; the tick looks at these only, not at the whole history. */
    readonly liveLeases = new Set<LeaseId>();
    queue = new RequestQueue();
    readonly customerCores = new Map<CustomerId, number>();
    readonly counters: CellCounters = {
        placements: 0,
        preemptions: 0,
        refusals: 0,
        declines: 0,
        expiries: 0,
    };
    nextSeq = 1;
    nextEpoch = 1;
    /** Requests in the care of another zone's group. */
    readonly handedOverIds = new Set<RequestId>();
    /** The time of the newest input; the next leader's clock starts from it. */
    lastInputAt = 0;
    /** Something changed that may let a queued request be placed. */
    isPlacementDue = false;
    #effects: Effect[] = [];

    /**
     * @param options The inventory, the rules and timings; see {@link CellOptions}.
     */
    constructor(options: CellOptions) {
        this.options = { ...DEFAULT_OPTIONS, ...removeUndefined(options) };
        this.inventory = options.inventory;
        this.rulesStore = new RulesBook(options.rules);
        for (const instance of options.inventory.instances) {
            const worker = createWorkerState(instance, options.inventory.executors);
            this.workers.set(instance.id, worker);
            this.workerList.push(worker);
        }
    }

    /** The rules in force. */
    get rules(): Rules {
        return this.rulesStore.rules;
    }

    /**
     * Queues an effect.
     *
     * @param effect The effect.
     */
    emitEffect(effect: Effect): void {
        this.#effects.push(effect);
    }

    /**
     * Takes the effects queued since the last call.
     *
     * @returns The effects, in order.
     */
    takeEffects(): Effect[] {
        const effects = this.#effects;
        this.#effects = [];
        return effects;
    }

    /**
     * Finds what the rules say of a kind, in force or retired.
     *
     * @param kind The kind.
     * @returns The policy, or `undefined`.
     */
    findKindPolicy(kind: string): KindPolicy | undefined {
        const rule = getKindRule(this.rules, kind);
        return rule === undefined
            ? this.retiredKinds.get(kind)
            : { rule, kindClass: getKindClass(this.rules, rule) };
    }

    /**
     * Gives what the rules say of a request's kind.
     *
     * @param request An accepted request.
     * @returns The policy.
     * @throws {Error} When the kind was lost (retired kinds prevent it).
     */
    getKindPolicy(request: RequestRecord): KindPolicy {
        const policy = this.findKindPolicy(request.spec.kind);
        if (policy === undefined) {
            throw new Error(`request ${request.id}: kind ${request.spec.kind} lost its rule`);
        }
        return policy;
    }

    /**
     * Tells whether a request may be leased again after a lease that may have started it.
     *
     * @param request The request.
     * @returns True for an idempotent request with attempts left.
     */
    isRetryable(request: RequestRecord): boolean {
        const rule = this.findKindPolicy(request.spec.kind)?.rule;
        return (
            rule !== undefined &&
            rule.idempotent &&
            !request.atMostOnce &&
            request.attempts < this.options.maxAttempts
        );
    }

    /**
     * Gives the cores that a customer may hold in this cell.
     *
     * @param customer The customer.
     * @returns The cores, or `undefined` without a quota.
     */
    getQuotaCores(customer: CustomerId): number | undefined {
        const quota = this.rules.quotas.get(customer);
        return quota === undefined ? undefined : quota.cores * this.options.quotaShare;
    }

    /**
     * Changes what a lease counts against its worker.
     *
     * @param worker The lease's worker.
     * @param lease The lease.
     * @param held What it holds from now on.
     */
    setHeldResources(worker: WorkerState, lease: LeaseRecord, held: Resources): void {
        worker.held = addResources(removeResources(worker.held, lease.held), held);
        lease.held = held;
    }

    /**
     * Changes what a customer holds.
     *
     * @param customer The customer.
     * @param cores Cores to add; negative to give back.
     */
    addCustomerCores(customer: CustomerId, cores: number): void {
        this.customerCores.set(customer, (this.customerCores.get(customer) ?? 0) + cores);
    }

    /**
     * Puts a request in the queue by its class's precedence.
     *
     * @param request The request.
     */
    addToQueue(request: RequestRecord): void {
        request.queuedAt = this.lastInputAt;
        this.queue.add(request, this.getKindPolicy(request).kindClass.precedence);
        this.isPlacementDue = true;
    }

    /**
     * Notes that a request ended, for retention.
     *
     * @param request The request.
     */
    recordEnd(request: RequestRecord): void {
        this.endedRequestIds.push(request.id);
    }

    /**
     * Drops the time lines of requests that ended long ago, and much later their keys. Without
     * it a day of 14,000 jobs would add 38 MB for ever. The end state and the idempotency key
     * stay for a month: a resend must not run a billed batch again.
     *
     * @param nowMs The time in ms.
     */
    removeExpiredRequests(nowMs: number): void {
        const { retentionMs, keyRetentionMs } = this.options;
        let dropped = 0;
        for (const id of this.endedRequestIds) {
            const request = this.requests.get(id);
            if (request === undefined || nowMs - (request.endedAt ?? nowMs) < retentionMs) {
                break;
            }
            dropped += 1;
            this.requests.delete(id);
            this.tombstones.set(id, createTombstone(request));
        }
        this.endedRequestIds.splice(0, dropped);
        if (dropped > 0) {
            this.#removeEndedLeases();
        }
        for (const [id, tombstone] of this.tombstones) {
            if (nowMs - tombstone.endedAt < retentionMs + keyRetentionMs) {
                break;
            }
            this.tombstones.delete(id);
            this.requestIdsByKey.delete(createCallerKey(tombstone.caller, tombstone.key));
        }
    }

    #removeEndedLeases(): void {
        for (const [id, lease] of this.leases) {
            if (!this.requests.has(lease.request)) {
                this.leases.delete(id);
            }
        }
    }

    /**
     * Adds a line to a request's time line.
     *
     * @param request The request.
     * @param nowMs The time in ms.
     * @param event What happened.
     * @param detail In words.
     */
    recordEvent(request: RequestRecord, nowMs: number, event: string, detail: string): void {
        const entry = { at: nowMs, event, detail };
        request.events.push(entry);
        this.emitEffect({ type: "fate", request: request.id, event: entry });
    }

    /**
     * Looks up a request that must exist.
     *
     * @param id Its id.
     * @returns The request.
     */
    getRequest(id: RequestId): RequestRecord {
        const request = this.requests.get(id);
        if (request === undefined) {
            throw new Error(`unknown request ${id}`);
        }
        return request;
    }

    /**
     * Looks up a worker that must exist.
     *
     * @param id Its instance's id.
     * @returns The worker.
     */
    getWorker(id: InstanceId): WorkerState {
        const worker = this.workers.get(id);
        if (worker === undefined) {
            throw new Error(`unknown instance ${id}`);
        }
        return worker;
    }
}

/** What is kept of a request whose time line was dropped. */
export interface Tombstone {
    readonly id: RequestId;
    readonly caller: string;
    readonly key: string;
    readonly kind: string;
    readonly specHash: string;
    readonly state: string;
    readonly reason: string | undefined;
    readonly started: boolean;
    readonly mayHaveStarted: boolean;
    readonly attempts: number;
    readonly acceptedAt: number;
    readonly startedAt: number | undefined;
    readonly endedAt: number;
}

/**
 * Gives the map key of a caller's idempotency key.
 *
 * @param caller The caller.
 * @param key Its key.
 * @returns Both, joined so that no two pairs give the same text.
 */
export function createCallerKey(caller: string, key: string): string {
    return `${caller}\u0000${key}`;
}

/**
 * Hashes a request's contents, to tell a resend from a reused key.
 *
 * @param spec The request.
 * @returns A hex digest.
 */
export function computeSpecHash(spec: RequestSpec): string {
    return createHash("sha1").update(JSON.stringify(spec)).digest("hex");
}

function createTombstone(request: RequestRecord): Tombstone {
    return {
        id: request.id,
        caller: request.spec.caller,
        key: request.spec.key,
        kind: request.spec.kind,
        specHash: computeSpecHash(request.spec),
        state: request.state,
        reason: request.reason,
        started: request.started,
        mayHaveStarted: request.mayHaveStarted,
        attempts: request.attempts,
        acceptedAt: request.acceptedAt,
        startedAt: request.startedAt,
        endedAt: request.endedAt ?? request.acceptedAt,
    };
}

function removeUndefined<T extends object>(value: T): Partial<T> {
    return Object.fromEntries(
        Object.entries(value).filter(([, v]) => v !== undefined),
    ) as Partial<T>;
}
