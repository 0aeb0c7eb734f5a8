/**
 * The cell: every request, task, lease and worker of one scheduling domain, as a deterministic
 * state machine. Inputs go in (`applyInput`), effects come out (`takeEffects`); it does no I/O
 * and reads no clock, so every replica of a group holds the same cell, and tests can drive it
 * with plain calls.
 *
 * @example
 * ```ts
 * import { Cell } from "./cell.ts";
 * const cell = new Cell({ inventory, rules });
 * cell.announceWorker(instance, "127.0.0.1:7001", 0);
 * const answer = cell.submit(spec, 1);
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
import { getFree, isTakingWork, type WorkerState } from "../scheduler/mod.ts";
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

/** How often a queue that nothing changed for is looked at again, in ms (quarantines end). */
const PLACEMENT_RETRY_INTERVAL_MS = 100;

/** The cell's state machine. */
export class Cell {
    readonly #state: CellState;
    readonly #lifecycle: Lifecycle;
    readonly #placer: Placer;
    readonly #handOverManager: HandOverManager;
    readonly #leaseManager: LeaseManager;
    readonly #rulesUpdater: RulesUpdater;
    #lastPlacedAt = 0;

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
     * Applies one input; every replica of a group applies the same ones in the same order.
     *
     * @param input The input.
     * @returns What the sender of the input is told, where it is told anything.
     * @throws {KeyConflictError} See {@link Cell.submit}.
     */
    applyInput(input: CellInput): RequestStatus | RulesChangeResult | boolean | undefined {
        this.#state.lastInputAt = Math.max(this.#state.lastInputAt, input.at);
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
     * Takes the effects produced since the last call.
     *
     * @returns Effects in the order they arose.
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
     * @param text What {@link Cell.encode} gave.
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

    /** Counters since the cell began. */
    get counters(): CellCounters {
        return this.#state.counters;
    }

    /** The time of the newest input, in ms. */
    get lastInputAt(): number {
        return this.#state.lastInputAt;
    }

    /**
     * Accepts a request, or returns the one that already holds its idempotency key.
     *
     * @param spec The request.
     * @param nowMs The time in ms.
     * @returns The answer as it stands now.
     * @throws {KeyConflictError} When the key names a request with other contents.
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
     * Cancels a request: at once if queued, after the workers confirm the stop otherwise.
     *
     * @param id The request.
     * @param nowMs The time in ms.
     * @returns The answer, or `undefined` for an unknown id.
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
     * Describes a request's fate.
     *
     * @param id The request.
     * @returns The answer, or `undefined` for an unknown id.
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
     * @param key The key.
     * @returns The request's id, or `undefined`.
     */
    findRequestIdByKey(caller: string, key: string): RequestId | undefined {
        return this.#state.requestIdsByKey.get(createCallerKey(caller, key));
    }

    /**
     * Gives what a caller asked for.
     *
     * @param id The request.
     * @returns The request as sent, or `undefined` when its time line was dropped.
     */
    findSpec(id: RequestId): RequestSpec | undefined {
        return this.#state.requests.get(id)?.spec;
    }

    /**
     * Lists every request id whose time line is kept, oldest first.
     *
     * @returns The ids.
     */
    listRequestIds(): RequestId[] {
        return [...this.#state.requests.keys()];
    }

    /**
     * Counts the requests whose time line is kept, per state.
     *
     * @returns The states with their counts.
     */
    countRequestsByState(): Map<string, number> {
        const states = new Map<string, number>();
        for (const request of this.#state.requests.values()) {
            states.set(request.state, (states.get(request.state) ?? 0) + 1);
        }
        return states;
    }

    /**
     * Lists the workers' views (read only by callers).
     *
     * @returns The views.
     */
    listWorkers(): readonly WorkerState[] {
        return this.#state.workerList;
    }

    /**
     * Finds a worker's view (read only by callers).
     *
     * @param instance The worker's instance.
     * @returns The view, or `undefined` for an unknown instance.
     */
    findWorker(instance: InstanceId): WorkerState | undefined {
        return this.#state.workers.get(instance);
    }

    /**
     * Lists every lease of a request whose time line is kept, live or ended.
     *
     * @returns The leases.
     */
    listLeases(): LeaseRecord[] {
        return [...this.#state.leases.values()];
    }

    /**
     * Lists the leases that still hold resources.
     *
     * @returns The leases.
     */
    listLiveLeases(): LeaseRecord[] {
        return [...this.#state.liveLeases].flatMap((id) => this.#state.leases.get(id) ?? []);
    }

    /**
     * Takes a worker's announcement: it takes work from now on, unless an operator drained it.
     *
     * @param instance The worker's instance.
     * @param address Where its agent listens.
     * @param nowMs The time in ms.
     * @param incarnation The worker process; a restarted one gives another.
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
     * Stops new work going to a worker; its tasks go on.
     *
     * @param instance The worker's instance.
     * @param _nowMs The time in ms.
     * @param reason "drained" by an operator (until undrained) or "leaving" by its own word.
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
     * Starts a new leader's rule: workers and leases get their full time again, because the
     * heartbeats that the leader before heard last may not be in the log, and what that leader
     * may not have sent is sent again.
     *
     * @param nowMs The time in ms.
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
     * Advances the cell's clock: ends leases and workers that went silent, gives up on requests
     * past their wait, and places queued work in precedence order.
     *
     * @param nowMs The time in ms.
     */
    tick(nowMs: number): void {
        this.#leaseManager.expireLeases(nowMs);
        this.#placer.placeQueued(nowMs);
        this.#state.removeExpiredRequests(nowMs);
        this.#lastPlacedAt = nowMs;
    }

    /**
     * Lists queued requests that could be handed over to another zone's group: waiting for a
     * while, and not themselves handed over by one.
     *
     * @param nowMs The time in ms.
     * @param limit The most to list.
     * @returns The requests, highest precedence first.
     */
    listHandOverCandidates(nowMs: number, limit: number): RequestRecord[] {
        return this.#handOverManager.listCandidates(nowMs, limit);
    }

    /**
     * Tells how much of the cell's cores is free for new work.
     *
     * @param nowMs The time in ms.
     * @returns Free cores; 0 while work is queued here.
     */
    computeFreeCores(nowMs: number): number {
        if (!this.#state.queue.isEmpty) {
            return 0;
        }
        return this.#state.workerList
            .filter((w) => isTakingWork(w, nowMs))
            .reduce((sum, w) => sum + getFree(w).cores, 0);
    }

    /**
     * Tells whether a tick at a time could change anything, so that an idle leader asks its
     * group to agree on nothing.
     *
     * @param nowMs The time in ms.
     * @returns False when a tick would be without effect.
     */
    hasTickWork(nowMs: number): boolean {
        if (this.#state.isPlacementDue && !this.#state.queue.isEmpty) {
            return true;
        }
        if (nowMs - this.#lastPlacedAt < PLACEMENT_RETRY_INTERVAL_MS) {
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
