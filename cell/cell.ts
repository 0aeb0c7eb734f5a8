/**
 * A deterministic state machine of one scheduling domain: requests, tasks, leases and workers.
 * Inputs go in through `applyInput` and effects come out of `takeEffects`. It does no I/O and reads
 * no clock, so all replicas of a group hold the same state.
 *
 * @example
 * ```ts
 * import { Cell } from "./cell.ts";
 * const cell = new Cell({ inventory, rules });
 * cell.announceWorker(instance, "127.0.0.1:7001", 0);
 * const status = cell.submit(spec, 1);
 * cell.tick(2);
 * for (const effect of cell.takeEffects()) { ... }
 * ```
 *
 * @module
 */

import {
    createId,
    type InstanceId,
    type Inventory,
    type LeaseId,
    type RequestId,
    type TaskId,
} from "../inventory/mod.ts";
import { type Rules, type RulesChange, type RulesChangeResult } from "../rules/mod.ts";
import { getFreeResources, isSchedulable, type WorkerState } from "../scheduler/mod.ts";
import type { RulesFile } from "../rules/rules_file.ts";
import {
    CellState,
    computeSpecHash,
    createCallerKey,
    type CellCounters,
    type CellOptions,
    type Tombstone,
} from "./_cell_state.ts";
import { HandOverManager } from "./_hand_over_manager.ts";
import { LeaseManager } from "./_lease_manager.ts";
import { Lifecycle, requestChart } from "./_lifecycle.ts";
import { Placer } from "./_placer.ts";
import { RulesUpdater } from "./_rules_updater.ts";
import { encodeState, restoreState } from "./_snapshot.ts";
import {
    HANDED_OVER_CALLER_PREFIX,
    HANDED_OVER_DETAIL_PREFIX,
    KeyConflictError,
    type RequestStatus,
    type CellInput,
    type Effect,
    type HeldLease,
    type LeaseRecord,
    type RequestRecord,
    type RequestSpec,
    type TaskReport,
} from "./types.ts";

export type { CellCounters, CellOptions } from "./_cell_state.ts";

/**
 * Minimum interval between ticks while no placement is due, in ms. An unchanged queue is retried
 * too, since quarantines end without an input.
 */
const PLACEMENT_RETRY_INTERVAL_MS = 100;

/** The state machine of a cell. */
export class Cell {
    readonly #state: CellState;
    readonly #lifecycle: Lifecycle;
    readonly #placer: Placer;
    readonly #handOverManager: HandOverManager;
    readonly #leaseManager: LeaseManager;
    readonly #rulesUpdater: RulesUpdater;
    #lastTickAtMs = 0;

    /**
     * @param options The inventory, the rules and timings; see {@link CellOptions}.
     */
    constructor(options: CellOptions) {
        this.#state = new CellState(options);
        this.#lifecycle = new Lifecycle(this.#state);
        this.#placer = new Placer(this.#state, this.#lifecycle);
        this.#handOverManager = new HandOverManager(this.#state, this.#lifecycle);
        this.#leaseManager = new LeaseManager(this.#state, this.#lifecycle);
        this.#rulesUpdater = new RulesUpdater(this.#state);
    }

    /**
     * Applies one input. All replicas of a group apply the same inputs in the same order.
     *
     * @param input The input.
     * @returns The result for the input's sender, if there is one.
     * @throws {KeyConflictError} See {@link Cell.submit}.
     */
    applyInput(input: CellInput): RequestStatus | RulesChangeResult | boolean | undefined {
        this.#state.lastInputAtMs = Math.max(this.#state.lastInputAtMs, input.at);
        switch (input.type) {
            case "submit":
                return this.submit(input.spec, input.at);
            case "cancel":
                return this.cancel(input.request, input.at);
            case "tick":
                this.tick(input.at);
                return undefined;
            case "announce":
                this.announceWorker(input.instance, input.address, input.at, input.incarnation);
                return undefined;
            case "leave":
                return this.drainWorker(input.instance, input.at, "leaving");
            case "drain":
                return this.drainWorker(input.instance, input.at, "drained");
            case "undrain":
                return this.cancelDrain(input.instance);
            case "heartbeat":
                this.handleHeartbeat(input.instance, input.leases, input.at);
                return undefined;
            case "renew":
                this.renewWorkers(input.workers, input.at);
                return undefined;
            case "takeover":
                this.handleTakeover(input.at);
                return undefined;
            case "grantReply":
                this.handleGrantReply(input.lease, input.accepted, input.reason, input.at);
                return undefined;
            case "report":
                this.handleReport(input.lease, input.epoch, input.report, input.detail, input.at);
                return undefined;
            case "handOver":
                this.#handOverManager.startHandOver(input.request, input.to, input.at);
                return undefined;
            case "handOverResult":
                this.#handOverManager.handleResult(
                    input.request,
                    input.key,
                    input.answer,
                    input.at,
                );
                return undefined;
            case "setRules":
                return this.setRules(input.change);
            case "adoptRules":
                return this.adoptRules(input.rules);
        }
    }

    /**
     * Takes the effects emitted since the last call.
     *
     * @returns The effects, in order.
     */
    takeEffects(): Effect[] {
        return this.#state.takeEffects();
    }

    /**
     * Encodes the whole state.
     *
     * @returns Text for {@link Cell.restore}.
     */
    encode(): string {
        return encodeState(this.#state);
    }

    /**
     * Replaces the whole state.
     *
     * @param text The output of {@link Cell.encode}.
     */
    restore(text: string): void {
        restoreState(this.#state, text);
    }

    /** The rules in force. */
    get rules(): Rules {
        return this.#state.rules;
    }

    /** The inventory. */
    get inventory(): Inventory {
        return this.#state.inventory;
    }

    /** Counters since the cell was created. */
    get counters(): CellCounters {
        return this.#state.counters;
    }

    /** The time of the newest input, in ms. */
    get lastInputAtMs(): number {
        return this.#state.lastInputAtMs;
    }

    /**
     * Accepts a request, or returns the existing one with the same idempotency key.
     *
     * @param spec The request.
     * @param nowMs The current time in ms.
     * @returns The request's current status.
     * @throws {KeyConflictError} When the key belongs to a request with other contents.
     */
    submit(spec: RequestSpec, nowMs: number): RequestStatus {
        const callerKey = createCallerKey(spec.caller, spec.key);
        const existingId = this.#state.requestIdsByKey.get(callerKey);
        if (existingId !== undefined) {
            this.#checkSameSpec(existingId, spec);
            return this.describeRequest(existingId) as RequestStatus;
        }
        const seq = this.#state.nextSeq++;
        const id = createId<RequestId>(`${this.#state.options.idPrefix}r${seq}`);
        const request = this.#createRequest(id, seq, spec, nowMs);
        this.#state.requests.set(id, request);
        this.#state.requestIdsByKey.set(callerKey, id);
        const isHandedOver = spec.caller.startsWith(HANDED_OVER_CALLER_PREFIX);
        this.#state.recordEvent(
            request,
            nowMs,
            "accepted",
            `${spec.kind} x${spec.count} for ${spec.customer}${isHandedOver ? `, ${HANDED_OVER_DETAIL_PREFIX}${spec.key}` : ""}`,
        );
        const refusal = this.#placer.findRefusalReason(spec);
        if (refusal !== undefined) {
            this.#lifecycle.applyRequestEvent(request, "refuse", nowMs, refusal);
        } else {
            this.#state.addToQueue(request);
        }
        return this.describeRequest(id) as RequestStatus;
    }

    /**
     * Cancels a request: immediately when queued, otherwise once the workers confirm the stop.
     *
     * @param id The request's id.
     * @param nowMs The current time in ms.
     * @returns The request's status, or `undefined` for an unknown id.
     */
    cancel(id: RequestId, nowMs: number): RequestStatus | undefined {
        const request = this.#state.requests.get(id);
        if (request === undefined) {
            return this.describeRequest(id);
        }
        if (request.state === "queued") {
            const reason = request.mayHaveStarted
                ? "cancelled; an earlier attempt may have run"
                : "cancelled before it started";
            this.#lifecycle.applyRequestEvent(request, "cancel", nowMs, reason);
        } else if (request.state === "leased" || request.state === "running") {
            this.#lifecycle.applyRequestEvent(request, "cancel", nowMs, "cancel asked; stopping");
            request.stopping = "cancel";
            this.#lifecycle.stopLeases(request, "stop");
        } else if (request.state === "handed") {
            this.#handOverManager.cancel(request, nowMs);
        }
        return this.describeRequest(id);
    }

    /**
     * Describes the status of a request.
     *
     * @param id The request's id.
     * @returns The status, or `undefined` for an unknown id.
     */
    describeRequest(id: RequestId): RequestStatus | undefined {
        const request = this.#state.requests.get(id);
        if (request === undefined) {
            const tombstone = this.#state.tombstones.get(id);
            return tombstone === undefined ? undefined : describeTombstone(tombstone);
        }
        const final = requestChart.finalStates.has(request.state);
        return {
            requestId: request.id,
            caller: request.spec.caller,
            key: request.spec.key,
            kind: request.spec.kind,
            state: request.state,
            final,
            reason: request.reason,
            started: request.started,
            mayHaveRun: request.mayHaveStarted,
            attempts: request.attempts,
            acceptedAt: request.acceptedAt,
            startedAt: request.startedAt,
            endedAt: request.endedAt,
            retryAfterMs: final
                ? undefined
                : Math.max(100, Math.min(5_000, request.spec.declaredRunMs)),
            events: [...request.events],
        };
    }

    /**
     * Finds a request by its caller's idempotency key.
     *
     * @param caller The caller.
     * @param key The idempotency key.
     * @returns The request's id, or `undefined`.
     */
    findRequestIdByKey(caller: string, key: string): RequestId | undefined {
        return this.#state.requestIdsByKey.get(createCallerKey(caller, key));
    }

    /**
     * Finds the spec that a caller submitted.
     *
     * @param id The request's id.
     * @returns The spec, or `undefined` when it is unknown or past its retention.
     */
    findSpec(id: RequestId): RequestSpec | undefined {
        return this.#state.requests.get(id)?.spec;
    }

    /**
     * Lists the ids of all requests within their retention, oldest first.
     *
     * @returns The ids.
     */
    listRequestIds(): RequestId[] {
        return [...this.#state.requests.keys()];
    }

    /**
     * Counts the requests within their retention by state.
     *
     * @returns The number of requests per state.
     */
    countRequestsByState(): Map<string, number> {
        const states = new Map<string, number>();
        for (const request of this.#state.requests.values()) {
            states.set(request.state, (states.get(request.state) ?? 0) + 1);
        }
        return states;
    }

    /**
     * Lists the state of every worker; callers must not modify it.
     *
     * @returns The workers.
     */
    listWorkers(): readonly WorkerState[] {
        return this.#state.workerList;
    }

    /**
     * Finds the state of a worker; callers must not modify it.
     *
     * @param instance The worker's instance.
     * @returns The worker, or `undefined` for an unknown instance.
     */
    findWorker(instance: InstanceId): WorkerState | undefined {
        return this.#state.workers.get(instance);
    }

    /**
     * Lists the live and ended leases of requests within their retention.
     *
     * @returns The leases.
     */
    listLeases(): LeaseRecord[] {
        return [...this.#state.leases.values()];
    }

    /**
     * Lists the leases that hold resources.
     *
     * @returns The leases.
     */
    listLiveLeases(): LeaseRecord[] {
        return [...this.#state.liveLeases].flatMap((id) => this.#state.leases.get(id) ?? []);
    }

    /**
     * Registers a worker process: it receives work from now on, unless an operator drained it.
     *
     * @param instance The worker's instance.
     * @param address The address of its agent.
     * @param nowMs The current time in ms.
     * @param incarnation The id of the worker process; changes with a restart.
     */
    announceWorker(instance: InstanceId, address: string, nowMs: number, incarnation = ""): void {
        const worker = this.#state.workers.get(instance);
        if (worker === undefined) {
            return;
        }
        worker.address = address;
        worker.incarnation = incarnation;
        worker.alive = true;
        worker.leaving = false;
        worker.lastHeartbeatAt = nowMs;
        this.#state.isPlacementDue = true;
    }

    /**
     * Stops sending new work to a worker; its running tasks continue.
     *
     * @param instance The worker's instance.
     * @param _nowMs The current time in ms.
     * @param reason "drained" by an operator (until undrained), or "leaving" as the worker
     * announced.
     * @returns False for an unknown instance.
     */
    drainWorker(instance: InstanceId, _nowMs: number, reason: "drained" | "leaving"): boolean {
        const worker = this.#state.workers.get(instance);
        if (worker === undefined) {
            return false;
        }
        worker[reason] = true;
        return true;
    }

    /**
     * Ends an operator's drain.
     *
     * @param instance The worker's instance.
     * @returns False for an unknown instance.
     */
    cancelDrain(instance: InstanceId): boolean {
        const worker = this.#state.workers.get(instance);
        if (worker === undefined) {
            return false;
        }
        worker.drained = false;
        this.#state.isPlacementDue = true;
        return true;
    }

    /** See {@link LeaseManager.handleHeartbeat}. */
    handleHeartbeat(instance: InstanceId, held: readonly HeldLease[], nowMs: number): void {
        this.#leaseManager.handleHeartbeat(instance, held, nowMs);
    }

    /** See {@link LeaseManager.isRenewal}. */
    isRenewal(instance: InstanceId, held: readonly HeldLease[]): boolean {
        return this.#leaseManager.isRenewal(instance, held);
    }

    /** See {@link LeaseManager.listLeasesToStop}. */
    listLeasesToStop(held: readonly HeldLease[]): LeaseId[] {
        return this.#leaseManager.listLeasesToStop(held);
    }

    /** See {@link LeaseManager.renewWorkers}. */
    renewWorkers(instances: readonly InstanceId[], nowMs: number): void {
        this.#leaseManager.renewWorkers(instances, nowMs);
    }

    /**
     * Prepares the cell for a new leader. Workers and leases get their full timeout again, because
     * the last heartbeats to the previous leader may not be in the log, and unacknowledged
     * messages are emitted again.
     *
     * @param nowMs The current time in ms.
     */
    handleTakeover(nowMs: number): void {
        for (const worker of this.#state.workerList) {
            if (worker.alive) {
                worker.lastHeartbeatAt = Math.max(worker.lastHeartbeatAt, nowMs);
            }
        }
        for (const lease of this.listLiveLeases()) {
            lease.renewedAt = Math.max(lease.renewedAt, nowMs);
        }
        this.#lifecycle.emitUnacknowledged();
        this.#handOverManager.emitPending();
        this.#state.isPlacementDue = true;
    }

    /** See {@link LeaseManager.handleGrantReply}. */
    handleGrantReply(id: LeaseId, accepted: boolean, reason: string, nowMs: number): void {
        this.#leaseManager.handleGrantReply(id, accepted, reason, nowMs);
    }

    /** See {@link LeaseManager.handleReport}. */
    handleReport(
        id: LeaseId,
        epoch: number,
        report: TaskReport,
        detail: string,
        nowMs: number,
    ): void {
        this.#leaseManager.handleReport(id, epoch, report, detail, nowMs);
    }

    /** See {@link RulesUpdater.setRules}. */
    setRules(change: RulesChange): RulesChangeResult {
        return this.#rulesUpdater.setRules(change);
    }

    /** See {@link RulesUpdater.adoptRules}. */
    adoptRules(file: RulesFile): boolean {
        return this.#rulesUpdater.adoptRules(file);
    }

    /** See {@link RulesUpdater.listRulesProblems}. */
    listRulesProblems(rules: RulesFile): string[] {
        return this.#rulesUpdater.listRulesProblems(rules);
    }

    /**
     * Advances the cell's clock: expires leases and workers, ends requests past their maximum wait,
     * places queued requests, and removes requests past their retention.
     *
     * @param nowMs The current time in ms.
     */
    tick(nowMs: number): void {
        this.#leaseManager.expireLeases(nowMs);
        this.#placer.placeQueued(nowMs);
        this.#state.removeExpiredRequests(nowMs);
        this.#lastTickAtMs = nowMs;
    }

    /**
     * Lists queued requests that may be handed over to another zone's group: those that have waited
     * long enough and were not received from another group.
     *
     * @param nowMs The current time in ms.
     * @param limit The maximum number of requests to list.
     * @returns The requests, highest precedence first.
     */
    listHandOverCandidates(nowMs: number, limit: number): RequestRecord[] {
        return this.#handOverManager.listCandidates(nowMs, limit);
    }

    /**
     * Computes the free cores for new work.
     *
     * @param nowMs The current time in ms.
     * @returns The free cores; 0 while requests are queued.
     */
    computeFreeCores(nowMs: number): number {
        if (!this.#state.queue.isEmpty) {
            return 0;
        }
        return this.#state.workerList
            .filter((w) => isSchedulable(w, nowMs))
            .reduce((sum, w) => sum + getFreeResources(w).cores, 0);
    }

    /**
     * Returns whether a tick is needed to place requests or to expire leases or workers, so that an
     * idle leader replicates no input. Removal of old requests alone does not require a tick.
     *
     * @param nowMs The current time in ms.
     * @returns True when a tick is needed.
     */
    hasTickWork(nowMs: number): boolean {
        if (this.#state.isPlacementDue && !this.#state.queue.isEmpty) {
            return true;
        }
        if (nowMs - this.#lastTickAtMs < PLACEMENT_RETRY_INTERVAL_MS) {
            return false;
        }
        return !this.#state.queue.isEmpty || this.#leaseManager.hasExpired(nowMs);
    }

    #checkSameSpec(existingId: RequestId, spec: RequestSpec): void {
        const request = this.#state.requests.get(existingId);
        const isSame =
            request === undefined
                ? this.#state.tombstones.get(existingId)?.specHash === computeSpecHash(spec)
                : JSON.stringify(request.spec) === JSON.stringify(spec);
        if (!isSame) {
            throw new KeyConflictError(spec.caller, spec.key, existingId);
        }
    }

    #createRequest(id: RequestId, seq: number, spec: RequestSpec, nowMs: number): RequestRecord {
        return {
            id,
            seq,
            spec,
            atMostOnce: this.#state.findKindPolicy(spec.kind)?.rule.idempotent === false,
            state: requestChart.initial,
            acceptedAt: nowMs,
            startedAt: undefined,
            endedAt: undefined,
            reason: undefined,
            attempts: 0,
            attemptStartedAt: undefined,
            started: false,
            mayHaveStarted: false,
            mayHaveRunBefore: false,
            stopping: undefined,
            trouble: undefined,
            troubleDetail: "",
            queuedAt: nowMs,
            handedTo: undefined,
            handOvers: 0,
            blockedBy: undefined,
            tasks: Array.from({ length: spec.count }, (_, i) => ({
                id: createId<TaskId>(`${id}.${i}`),
                state: "waiting" as const,
                lease: undefined,
                outcome: undefined,
            })),
            events: [],
        };
    }
}

function describeTombstone(tombstone: Tombstone): RequestStatus {
    return {
        requestId: tombstone.id,
        caller: tombstone.caller,
        key: tombstone.key,
        kind: tombstone.kind,
        state: tombstone.state,
        final: true,
        reason: tombstone.reason,
        started: tombstone.started,
        mayHaveRun: tombstone.mayHaveStarted,
        attempts: tombstone.attempts,
        acceptedAt: tombstone.acceptedAt,
        startedAt: tombstone.startedAt,
        endedAt: tombstone.endedAt,
        retryAfterMs: undefined,
        events: [],
    };
}
