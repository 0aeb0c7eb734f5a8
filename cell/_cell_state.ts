/**
 * The state of a cell: all records, the rules in force, counters and pending effects.
 *
 * @example
 * ```ts
 * import { CellState } from "./_cell_state.ts";
 * const state = new CellState(options);
 * state.recordEvent(request, nowMs, "accepted", "preview x1");
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
    RulesStore,
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
    /** Prefix of every request and lease id; makes ids unique across cells. */
    readonly idPrefix?: string;
    /** The fraction of each customer's quota that this cell may allocate, from 0 to 1. */
    readonly quotaShare?: number;
    /** Time to live of a lease without a renewal, in ms; the worker stops its task after it. */
    readonly leaseTtlMs?: number;
    /**
     * Grace period after the time to live before the cell expires a lease, in ms. It covers clock
     * drift and late heartbeats, so that the worker has stopped the task by then.
     */
    readonly leaseGraceMs?: number;
    /** Maximum number of attempts of an idempotent request before it fails. */
    readonly maxAttempts?: number;
    /** Consecutive task failures after which a worker is quarantined. */
    readonly quarantineAfterFailures?: number;
    /** Duration of a quarantine, in ms. */
    readonly quarantineMs?: number;
    /** Maximum number of placement attempts per tick. */
    readonly maxPlacementsPerTick?: number;
    /** Run time in ms after which an attempt resets the request's attempt counter. */
    readonly attemptResetMs?: number;
    /**
     * The workers of the other zones' groups, one list per group. A request that fits on one of
     * them is not refused, because it can be handed over.
     */
    readonly otherZoneWorkers?: readonly (readonly WorkerState[])[];
    /** How long an ended request keeps its full event history, in ms. */
    readonly retentionMs?: number;
    /** How long the idempotency key and final state are kept after that, in ms. */
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

/** Cell options with defaults applied. */
export type ResolvedOptions = typeof DEFAULT_OPTIONS;

/** Counters that the entry process exports as metrics. */
export interface CellCounters {
    placements: number;
    preemptions: number;
    refusals: number;
    declines: number;
    expiries: number;
}

/** The rule of a request kind together with its precedence class. */
export interface KindPolicy {
    readonly rule: KindRule;
    readonly kindClass: PrecedenceClass;
}

/** Holds the cell's records and the indexes and sums derived from them. */
export class CellState {
    readonly options: ResolvedOptions;
    readonly inventory: Inventory;
    readonly rulesStore: RulesStore;
    /** Kinds that a rules change removed while requests of that kind were unfinished. */
    readonly retiredKinds = new Map<string, KindPolicy>();
    readonly workers = new Map<InstanceId, WorkerState>();
    readonly workerList: WorkerState[] = [];
    readonly requests = new Map<RequestId, RequestRecord>();
    readonly requestIdsByKey = new Map<string, RequestId>();
    /** Summaries of ended requests whose event history was removed. */
    readonly tombstones = new Map<RequestId, Tombstone>();
    /** Ended requests, oldest first. */
    readonly endedRequestIds: RequestId[] = [];
    readonly leases = new Map<LeaseId, LeaseRecord>();
    /** Leases that hold resources; lets a tick skip the ended ones. */
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
    /** Requests that another zone's group currently handles. */
    readonly handedOverIds = new Set<RequestId>();
    /** The time of the newest input, in ms; a new leader's clock continues from it. */
    lastInputAtMs = 0;
    /** Whether a change since the last tick may allow a queued request to be placed. */
    isPlacementDue = false;
    #effects: Effect[] = [];

    /**
     * @param options The inventory, the rules and timings; see {@link CellOptions}.
     */
    constructor(options: CellOptions) {
        this.options = { ...DEFAULT_OPTIONS, ...removeUndefined(options) };
        this.inventory = options.inventory;
        this.rulesStore = new RulesStore(options.rules);
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
     * Queues an effect for the surrounding process.
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
     * Finds the policy of a kind, including kinds that a rules change removed.
     *
     * @param kind The kind.
     * @returns The policy, or `undefined` for an unknown kind.
     */
    findKindPolicy(kind: string): KindPolicy | undefined {
        const rule = getKindRule(this.rules, kind);
        return rule === undefined
            ? this.retiredKinds.get(kind)
            : { rule, kindClass: getKindClass(this.rules, rule) };
    }

    /**
     * Returns the policy of a request's kind.
     *
     * @param request An accepted request.
     * @returns The policy.
     * @throws {Error} When no policy exists; retired kinds prevent this.
     */
    getKindPolicy(request: RequestRecord): KindPolicy {
        const policy = this.findKindPolicy(request.spec.kind);
        if (policy === undefined) {
            throw new Error(`request ${request.id}: no rule for kind ${request.spec.kind}`);
        }
        return policy;
    }

    /**
     * Returns whether a request may be leased again after an attempt that may have started.
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
     * Returns the cores that a customer may hold in this cell.
     *
     * @param customer The customer.
     * @returns The cores, or `undefined` without a quota.
     */
    getQuotaCores(customer: CustomerId): number | undefined {
        const quota = this.rules.quotas.get(customer);
        return quota === undefined ? undefined : quota.cores * this.options.quotaShare;
    }

    /**
     * Replaces the resources that a lease reserves on its worker.
     *
     * @param worker The lease's worker.
     * @param lease The lease.
     * @param held The resources it holds from now on.
     */
    setHeldResources(worker: WorkerState, lease: LeaseRecord, held: Resources): void {
        worker.held = addResources(removeResources(worker.held, lease.held), held);
        lease.held = held;
    }

    /**
     * Adjusts the number of cores that a customer holds.
     *
     * @param customer The customer.
     * @param cores The cores to add; negative to release.
     */
    addCustomerCores(customer: CustomerId, cores: number): void {
        this.customerCores.set(customer, (this.customerCores.get(customer) ?? 0) + cores);
    }

    /**
     * Enqueues a request with the precedence of its class.
     *
     * @param request The request.
     */
    addToQueue(request: RequestRecord): void {
        request.queuedAt = this.lastInputAtMs;
        this.queue.add(request, this.getKindPolicy(request).kindClass.precedence);
        this.isPlacementDue = true;
    }

    /**
     * Records that a request ended, for retention.
     *
     * @param request The request.
     */
    recordEnd(request: RequestRecord): void {
        this.endedRequestIds.push(request.id);
    }

    /**
     * Removes the event history of requests past their retention, and later their idempotency keys.
     * The final state and key are kept longer, so that a resend does not run a request again.
     *
     * @param nowMs The current time in ms.
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
     * Appends an event to a request's history.
     *
     * @param request The request.
     * @param nowMs The current time in ms.
     * @param event The event's name.
     * @param detail A description for people.
     */
    recordEvent(request: RequestRecord, nowMs: number, event: string, detail: string): void {
        const entry = { at: nowMs, event, detail };
        request.events.push(entry);
        this.emitEffect({ type: "fate", request: request.id, event: entry });
    }

    /**
     * Returns a request that must exist.
     *
     * @param id The request's id.
     * @returns The request.
     * @throws {Error} When the id is unknown.
     */
    getRequest(id: RequestId): RequestRecord {
        const request = this.requests.get(id);
        if (request === undefined) {
            throw new Error(`unknown request ${id}`);
        }
        return request;
    }

    /**
     * Returns a worker that must exist.
     *
     * @param id The id of its instance.
     * @returns The worker.
     * @throws {Error} When the instance is unknown.
     */
    getWorker(id: InstanceId): WorkerState {
        const worker = this.workers.get(id);
        if (worker === undefined) {
            throw new Error(`unknown instance ${id}`);
        }
        return worker;
    }
}

/**
 * The summary of an ended request whose event history was removed. Times are in ms since the Unix
 * epoch.
 */
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
 * Creates the map key for a caller's idempotency key.
 *
 * @param caller The caller.
 * @param key The caller's idempotency key.
 * @returns An unambiguous combination of both.
 */
export function createCallerKey(caller: string, key: string): string {
    return `${caller}\u0000${key}`;
}

/**
 * Hashes a request's contents, to distinguish a resend from a reused key.
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
