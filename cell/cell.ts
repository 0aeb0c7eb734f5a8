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
    Books,
    computeSpecHash,
    createKey,
    type CellCounters,
    type CellOptions,
    type Tombstone,
} from "./_books.ts";
import { HandOvers } from "./_hand_overs.ts";
import { LeaseKeeper } from "./_lease_keeper.ts";
import { Lifecycle, requestChart } from "./_lifecycle.ts";
import { Placer } from "./_placer.ts";
import { RulesChanges } from "./_rules_changes.ts";
import { encodeBooks, restoreBooks } from "./_snapshot.ts";
import {
    ADOPTED_CALLER,
    HANDED_OVER_AS,
    KeyConflictError,
    type Answer,
    type CellInput,
    type Effect,
    type HeldLease,
    type LeaseRecord,
    type RequestRecord,
    type RequestSpec,
    type TaskReport,
} from "./types.ts";

export type { CellCounters, CellOptions } from "./_books.ts";

/** How often a queue that nothing changed for is looked at again, in ms (quarantines end). */
const IDLE_PLACE_MS = 100;

/** The cell's state machine. */
export class Cell {
    readonly #books: Books;
    readonly #lifecycle: Lifecycle;
    readonly #placer: Placer;
    readonly #handOvers: HandOvers;
    readonly #leases: LeaseKeeper;
    readonly #rulesChanges: RulesChanges;
    #lastPlacedAt = 0;

    /**
     * @param options The inventory, the rules and timings; see {@link CellOptions}.
     */
    constructor(options: CellOptions) {
        this.#books = new Books(options);
        this.#lifecycle = new Lifecycle(this.#books);
        this.#placer = new Placer(this.#books, this.#lifecycle);
        this.#handOvers = new HandOvers(this.#books, this.#lifecycle);
        this.#leases = new LeaseKeeper(this.#books, this.#lifecycle);
        this.#rulesChanges = new RulesChanges(this.#books);
    }

    /**
     * Applies one input; every replica of a group applies the same ones in the same order.
     *
     * @param input The input.
     * @returns What the sender of the input is told, where it is told anything.
     * @throws {KeyConflictError} See {@link Cell.submit}.
     */
    applyInput(input: CellInput): Answer | RulesChangeResult | boolean | undefined {
        this.#books.lastAt = Math.max(this.#books.lastAt, input.at);
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
                return this.releaseDrain(input.instance);
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
                this.#handOvers.startHandOver(input.request, input.to, input.at);
                return undefined;
            case "handOverResult":
                this.#handOvers.handleResult(input.request, input.key, input.answer, input.at);
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
        return this.#books.takeEffects();
    }

    /**
     * Encodes the whole state.
     *
     * @returns Text for {@link Cell.restore}.
     */
    encode(): string {
        return encodeBooks(this.#books);
    }

    /**
     * Replaces the whole state.
     *
     * @param text What {@link Cell.encode} gave.
     */
    restore(text: string): void {
        restoreBooks(this.#books, text);
    }

    /** The rules in force. */
    get rules(): Rules {
        return this.#books.rules;
    }

    /** The inventory. */
    get inventory(): Inventory {
        return this.#books.inventory;
    }

    /** Counters since the cell began. */
    get counters(): CellCounters {
        return this.#books.counters;
    }

    /** The time of the newest input, in ms. */
    get lastAt(): number {
        return this.#books.lastAt;
    }

    /**
     * Accepts a request, or returns the one that already holds its idempotency key.
     *
     * @param spec The request.
     * @param at The time in ms.
     * @returns The answer as it stands now.
     * @throws {KeyConflictError} When the key names a request with other contents.
     */
    submit(spec: RequestSpec, at: number): Answer {
        const keyOf = createKey(spec.caller, spec.key);
        const existing = this.#books.byKey.get(keyOf);
        if (existing !== undefined) {
            this.#checkSameSpec(existing, spec);
            return this.describeRequest(existing) as Answer;
        }
        const seq = this.#books.nextSeq++;
        const id = createId<RequestId>(`${this.#books.options.idPrefix}r${seq}`);
        const request = this.#createRequest(id, seq, spec, at);
        this.#books.requests.set(id, request);
        this.#books.byKey.set(keyOf, id);
        const isAdopted = spec.caller.startsWith(ADOPTED_CALLER);
        this.#books.recordFate(
            request,
            at,
            "accepted",
            `${spec.kind} x${spec.count} for ${spec.customer}${isAdopted ? `, ${HANDED_OVER_AS}${spec.key}` : ""}`,
        );
        const refusal = this.#placer.findRefusal(spec);
        if (refusal !== undefined) {
            this.#lifecycle.applyRequestEvent(request, "refuse", at, refusal);
        } else {
            this.#books.addToQueue(request);
        }
        return this.describeRequest(id) as Answer;
    }

    /**
     * Cancels a request: at once if queued, after the workers confirm the stop otherwise.
     *
     * @param id The request.
     * @param at The time in ms.
     * @returns The answer, or `undefined` for an unknown id.
     */
    cancel(id: RequestId, at: number): Answer | undefined {
        const request = this.#books.requests.get(id);
        if (request === undefined) {
            return this.describeRequest(id);
        }
        if (request.state === "queued") {
            const reason = request.mayHaveStarted
                ? "cancelled; an earlier attempt may have run"
                : "cancelled before it started";
            this.#lifecycle.applyRequestEvent(request, "cancel", at, reason);
        } else if (request.state === "leased" || request.state === "running") {
            this.#lifecycle.applyRequestEvent(request, "cancel", at, "cancel asked; stopping");
            request.stopping = "cancel";
            this.#lifecycle.stopLeases(request, "stop");
        } else if (request.state === "handed") {
            this.#handOvers.cancel(request, at);
        }
        return this.describeRequest(id);
    }

    /**
     * Describes a request's fate.
     *
     * @param id The request.
     * @returns The answer, or `undefined` for an unknown id.
     */
    describeRequest(id: RequestId): Answer | undefined {
        const request = this.#books.requests.get(id);
        if (request === undefined) {
            const stone = this.#books.tombstones.get(id);
            return stone === undefined ? undefined : describeTombstone(stone);
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
    findByKey(caller: string, key: string): RequestId | undefined {
        return this.#books.byKey.get(createKey(caller, key));
    }

    /**
     * Gives what a caller asked for.
     *
     * @param id The request.
     * @returns The request as sent, or `undefined` when its time line was dropped.
     */
    findSpec(id: RequestId): RequestSpec | undefined {
        return this.#books.requests.get(id)?.spec;
    }

    /**
     * Lists every request id whose time line is kept, oldest first.
     *
     * @returns The ids.
     */
    listRequests(): RequestId[] {
        return [...this.#books.requests.keys()];
    }

    /**
     * Counts the requests whose time line is kept, per state.
     *
     * @returns The states with their counts.
     */
    computeStates(): Map<string, number> {
        const states = new Map<string, number>();
        for (const request of this.#books.requests.values()) {
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
        return this.#books.workerList;
    }

    /**
     * Finds a worker's view (read only by callers).
     *
     * @param instance The worker's instance.
     * @returns The view, or `undefined` for an unknown instance.
     */
    findWorker(instance: InstanceId): WorkerState | undefined {
        return this.#books.workers.get(instance);
    }

    /**
     * Lists every lease of a request whose time line is kept, live or ended.
     *
     * @returns The leases.
     */
    listLeases(): LeaseRecord[] {
        return [...this.#books.leases.values()];
    }

    /**
     * Lists the leases that still hold resources.
     *
     * @returns The leases.
     */
    listLiveLeases(): LeaseRecord[] {
        return [...this.#books.liveLeases].flatMap((id) => this.#books.leases.get(id) ?? []);
    }

    /**
     * Takes a worker's announcement: it takes work from now on, unless an operator drained it.
     *
     * @param instance The worker's instance.
     * @param address Where its agent listens.
     * @param at The time in ms.
     * @param incarnation The worker process; a restarted one gives another.
     */
    announceWorker(instance: InstanceId, address: string, at: number, incarnation = ""): void {
        const worker = this.#books.workers.get(instance);
        if (worker === undefined) {
            return;
        }
        worker.address = address;
        worker.incarnation = incarnation;
        worker.alive = true;
        worker.leaving = false;
        worker.lastHeartbeatAt = at;
        this.#books.isDirty = true;
    }

    /**
     * Stops new work going to a worker; its tasks go on.
     *
     * @param instance The worker's instance.
     * @param _at The time in ms.
     * @param why "drained" by an operator (until undrained) or "leaving" by its own word.
     * @returns False for an unknown instance.
     */
    drainWorker(instance: InstanceId, _at: number, why: "drained" | "leaving"): boolean {
        const worker = this.#books.workers.get(instance);
        if (worker === undefined) {
            return false;
        }
        worker[why] = true;
        return true;
    }

    /**
     * Ends an operator's drain.
     *
     * @param instance The worker's instance.
     * @returns False for an unknown instance.
     */
    releaseDrain(instance: InstanceId): boolean {
        const worker = this.#books.workers.get(instance);
        if (worker === undefined) {
            return false;
        }
        worker.drained = false;
        this.#books.isDirty = true;
        return true;
    }

    /** See {@link LeaseKeeper.handleHeartbeat}. */
    handleHeartbeat(instance: InstanceId, held: readonly HeldLease[], at: number): void {
        this.#leases.handleHeartbeat(instance, held, at);
    }

    /** See {@link LeaseKeeper.isRenewal}. */
    isRenewal(instance: InstanceId, held: readonly HeldLease[]): boolean {
        return this.#leases.isRenewal(instance, held);
    }

    /** See {@link LeaseKeeper.listToStop}. */
    listToStop(held: readonly HeldLease[]): LeaseId[] {
        return this.#leases.listToStop(held);
    }

    /** See {@link LeaseKeeper.renewWorkers}. */
    renewWorkers(instances: readonly InstanceId[], at: number): void {
        this.#leases.renewWorkers(instances, at);
    }

    /**
     * Starts a new leader's rule: workers and leases get their full time again, because the
     * heartbeats that the leader before heard last may not be in the log, and what that leader
     * may not have sent is sent again.
     *
     * @param at The time in ms.
     */
    handleTakeover(at: number): void {
        for (const worker of this.#books.workerList) {
            if (worker.alive) {
                worker.lastHeartbeatAt = Math.max(worker.lastHeartbeatAt, at);
            }
        }
        for (const lease of this.listLiveLeases()) {
            lease.renewedAt = Math.max(lease.renewedAt, at);
        }
        this.#lifecycle.emitUnanswered();
        this.#handOvers.emitAll();
        this.#books.isDirty = true;
    }

    /** See {@link LeaseKeeper.handleGrantReply}. */
    handleGrantReply(id: LeaseId, accepted: boolean, reason: string, at: number): void {
        this.#leases.handleGrantReply(id, accepted, reason, at);
    }

    /** See {@link LeaseKeeper.handleReport}. */
    handleReport(id: LeaseId, epoch: number, report: TaskReport, detail: string, at: number): void {
        this.#leases.handleReport(id, epoch, report, detail, at);
    }

    /** See {@link RulesChanges.setRules}. */
    setRules(change: RulesChange): RulesChangeResult {
        return this.#rulesChanges.setRules(change);
    }

    /** See {@link RulesChanges.adoptRules}. */
    adoptRules(file: RulesFile): boolean {
        return this.#rulesChanges.adoptRules(file);
    }

    /** See {@link RulesChanges.listRulesProblems}. */
    listRulesProblems(rules: RulesFile): string[] {
        return this.#rulesChanges.listRulesProblems(rules);
    }

    /**
     * Advances the cell's clock: ends leases and workers that went silent, gives up on requests
     * past their wait, and places queued work in precedence order.
     *
     * @param at The time in ms.
     */
    tick(at: number): void {
        this.#leases.expireLeases(at);
        this.#placer.placeQueued(at);
        this.#books.removeOld(at);
        this.#lastPlacedAt = at;
    }

    /**
     * Lists queued requests that could be handed over to another zone's group: waiting for a
     * while, and not themselves handed over by one.
     *
     * @param at The time in ms.
     * @param most The most to list.
     * @returns The requests, highest precedence first.
     */
    listWaiting(at: number, most: number): RequestRecord[] {
        return this.#handOvers.listWaiting(at, most);
    }

    /**
     * Tells how much of the cell's cores is free for new work.
     *
     * @param at The time in ms.
     * @returns Free cores; 0 while work is queued here.
     */
    computeFreeCores(at: number): number {
        if (!this.#books.queue.isEmpty) {
            return 0;
        }
        return this.#books.workerList
            .filter((w) => isTakingWork(w, at))
            .reduce((sum, w) => sum + getFree(w).cores, 0);
    }

    /**
     * Tells whether a tick at a time could change anything, so that an idle leader asks its
     * group to agree on nothing.
     *
     * @param at The time in ms.
     * @returns False when a tick would be without effect.
     */
    hasTickWork(at: number): boolean {
        if (this.#books.isDirty && !this.#books.queue.isEmpty) {
            return true;
        }
        if (at - this.#lastPlacedAt < IDLE_PLACE_MS) {
            return false;
        }
        return !this.#books.queue.isEmpty || this.#leases.hasExpired(at);
    }

    #checkSameSpec(existing: RequestId, spec: RequestSpec): void {
        const request = this.#books.requests.get(existing);
        const isSame =
            request === undefined
                ? this.#books.tombstones.get(existing)?.specHash === computeSpecHash(spec)
                : JSON.stringify(request.spec) === JSON.stringify(spec);
        if (!isSame) {
            throw new KeyConflictError(spec.caller, spec.key, existing);
        }
    }

    #createRequest(id: RequestId, seq: number, spec: RequestSpec, at: number): RequestRecord {
        return {
            id,
            seq,
            spec,
            atMostOnce: this.#books.findPolicy(spec.kind)?.rule.idempotent === false,
            state: requestChart.initial,
            acceptedAt: at,
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
            queuedAt: at,
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

function describeTombstone(stone: Tombstone): Answer {
    return {
        requestId: stone.id,
        caller: stone.caller,
        key: stone.key,
        kind: stone.kind,
        state: stone.state,
        final: true,
        reason: stone.reason,
        started: stone.started,
        mayHaveRun: stone.mayHaveStarted,
        attempts: stone.attempts,
        acceptedAt: stone.acceptedAt,
        startedAt: stone.startedAt,
        endedAt: stone.endedAt,
        retryAfterMs: undefined,
        events: [],
    };
}
