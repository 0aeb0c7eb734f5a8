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

import { applyChartEvent } from "../chart/mod.ts";
import {
    createId,
    getMaxResources,
    isFitting,
    NO_RESOURCES,
    type InstanceId,
    type Inventory,
    type LeaseId,
    type RequestId,
    type TaskId,
} from "../inventory/mod.ts";
import {
    getKindClass,
    type Rules,
    type RulesChange,
    type RulesChangeResult,
} from "../rules/mod.ts";
import { getFree, isTakingWork, type WorkerState } from "../scheduler/mod.ts";
import { listRulesProblems, type RulesFile } from "../rules/rules_file.ts";
import {
    Books,
    computeSpecHash,
    createKey,
    type CellCounters,
    type CellOptions,
    type Tombstone,
} from "./_books.ts";
import { HandOvers } from "./_hand_overs.ts";
import { leaseChart, Lifecycle, NO_GUARDS, requestChart } from "./_lifecycle.ts";
import { Placer } from "./_placer.ts";
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
    #lastPlacedAt = 0;

    /**
     * @param options The inventory, the rules and timings; see {@link CellOptions}.
     */
    constructor(options: CellOptions) {
        this.#books = new Books(options);
        this.#lifecycle = new Lifecycle(this.#books);
        this.#placer = new Placer(this.#books, this.#lifecycle);
        this.#handOvers = new HandOvers(this.#books, this.#lifecycle);
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

    /**
     * Takes a heartbeat: renews the listed leases and takes their reported use. A lease the
     * worker holds but the cell has ended (or never made) is stopped, so no stray copy runs.
     *
     * @param instance The worker's instance.
     * @param held The leases the worker holds, with their use.
     * @param at The time in ms.
     */
    handleHeartbeat(instance: InstanceId, held: readonly HeldLease[], at: number): void {
        const worker = this.#books.workers.get(instance);
        if (worker === undefined) {
            return;
        }
        this.#renewWorker(worker, at);
        for (const item of held) {
            const lease = this.#findLiveLease(item.lease, item.epoch);
            if (lease === undefined) {
                this.#books.emit({
                    type: "stop",
                    address: worker.address ?? "",
                    instance,
                    incarnation: worker.incarnation,
                    lease: item.lease,
                    epoch: item.epoch,
                    mode: "stop",
                });
                continue;
            }
            this.#renewLease(lease, at);
            if (item.usage !== undefined) {
                lease.reported = item.usage;
                this.#books.setHeld(worker, lease, getMaxResources(lease.declared, item.usage));
            }
        }
    }

    /**
     * Tells whether a heartbeat lists just the leases that this cell has live on the worker, none
     * using more than declared: then the short `renew` input says the same as the heartbeat.
     *
     * @param instance The worker's instance.
     * @param held The leases the worker holds.
     * @returns True when `renew` is enough.
     */
    isRenewal(instance: InstanceId, held: readonly HeldLease[]): boolean {
        const worker = this.#books.workers.get(instance);
        return (
            worker !== undefined &&
            worker.leases.size === held.length &&
            held.every((item) => {
                const lease = this.#findLiveLease(item.lease, item.epoch);
                return (
                    lease?.worker === instance &&
                    !lease.stopSent &&
                    isFitting(lease.held, lease.declared) &&
                    isFitting(item.usage ?? NO_RESOURCES, lease.declared)
                );
            })
        );
    }

    /**
     * Lists which of a worker's leases it must stop: those that ended here, and those that were
     * told to stop and still run (the stop may have been lost).
     *
     * @param held The leases the worker holds.
     * @returns The leases to stop.
     */
    listToStop(held: readonly HeldLease[]): LeaseId[] {
        return held
            .filter((item) => this.#findLiveLease(item.lease, item.epoch)?.stopSent !== false)
            .map((item) => item.lease);
    }

    /**
     * Renews workers and every live lease on them.
     *
     * @param instances The workers' instances.
     * @param at The time in ms.
     */
    renewWorkers(instances: readonly InstanceId[], at: number): void {
        for (const instance of instances) {
            const worker = this.#books.workers.get(instance);
            if (worker === undefined) {
                continue;
            }
            this.#renewWorker(worker, at);
            for (const id of worker.leases) {
                const lease = this.#books.leases.get(id);
                if (lease !== undefined) {
                    this.#renewLease(lease, at);
                }
            }
        }
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

    /**
     * Takes a worker's reply to a lease offer.
     *
     * @param id The lease.
     * @param accepted Whether the worker took it.
     * @param reason The worker's reason when it did not.
     * @param at The time in ms.
     */
    handleGrantReply(id: LeaseId, accepted: boolean, reason: string, at: number): void {
        const lease = this.#books.leases.get(id);
        if (lease === undefined || lease.state !== leaseChart.initial) {
            return;
        }
        if (accepted) {
            lease.state = applyChartEvent(leaseChart, lease.state, "accept", NO_GUARDS);
            lease.renewedAt = at;
            return;
        }
        this.#closeDeclined(lease, reason, at);
    }

    /**
     * Takes a worker's report of a task.
     *
     * @param id The lease.
     * @param epoch The lease's epoch as the worker holds it; a stale one is ignored.
     * @param report What happened.
     * @param detail The worker's words.
     * @param at The time in ms.
     */
    handleReport(id: LeaseId, epoch: number, report: TaskReport, detail: string, at: number): void {
        const lease = this.#findLiveLease(id, epoch);
        const request = lease === undefined ? undefined : this.#books.getRequest(lease.request);
        const task = request?.tasks.find((t) => t.id === lease?.task);
        if (lease === undefined || request === undefined || task === undefined) {
            return;
        }
        if (report === "declined") {
            if (lease.state === leaseChart.initial) {
                this.#closeDeclined(lease, detail, at);
            }
            return;
        }
        if (report === "started") {
            if (lease.state === leaseChart.initial) {
                lease.state = applyChartEvent(leaseChart, lease.state, "accept", NO_GUARDS);
            }
            lease.renewedAt = at;
            task.state = "running";
            this.#lifecycle.handleTaskStarted(request, at);
            return;
        }
        this.#recordWorkerResult(this.#books.getWorker(lease.worker), request, report, at);
        this.#lifecycle.closeLease(lease, "release", report, detail, at);
    }

    /**
     * Applies a rules change: once per change id; a stale expected version is a conflict.
     *
     * @param change The change.
     * @returns Applied with the new version, or why not.
     */
    setRules(change: RulesChange): RulesChangeResult {
        const result = this.#books.rulesBook.applyChange(change, () =>
            this.listRulesProblems(change.rules),
        );
        this.#books.isDirty = true;
        return result;
    }

    /**
     * Takes rules that the configuration group decided. Kinds that it drops while requests of
     * them have not ended stay known to those requests only; requests of a kind that became
     * non-idempotent are not run again.
     *
     * @param file The rules.
     * @returns Whether they are in force now; older ones than those in force are ignored.
     */
    adoptRules(file: RulesFile): boolean {
        const before = this.rules;
        if (!this.#books.rulesBook.adoptRules(file)) {
            return false;
        }
        for (const [kind, rule] of before.kinds) {
            if (!this.rules.kinds.has(kind)) {
                this.#books.retiredKinds.set(kind, {
                    rule,
                    kindClass: getKindClass(before, rule),
                });
            }
        }
        for (const request of this.#books.requests.values()) {
            if (this.rules.kinds.get(request.spec.kind)?.idempotent === false) {
                request.atMostOnce = true;
            }
        }
        this.#books.isDirty = true;
        return true;
    }

    /**
     * Finds what would break if rules took effect: problems of the rules themselves, and kinds
     * that requests not yet ended still need (their next tick would find no rule for them).
     *
     * @param rules The rules.
     * @returns One line per problem.
     */
    listRulesProblems(rules: RulesFile): string[] {
        const problems = listRulesProblems(rules);
        const kinds = new Set(rules.kinds.map((k) => k.name));
        const inUse = new Map<string, number>();
        for (const request of this.#books.requests.values()) {
            if (!requestChart.finalStates.has(request.state) && !kinds.has(request.spec.kind)) {
                inUse.set(request.spec.kind, (inUse.get(request.spec.kind) ?? 0) + 1);
            }
        }
        for (const [kind, count] of inUse) {
            problems.push(`kind "${kind}" is in use by ${count} request(s) not yet ended`);
        }
        return problems;
    }

    /**
     * Advances the cell's clock: ends leases and workers that went silent, gives up on requests
     * past their wait, and places queued work in precedence order.
     *
     * @param at The time in ms.
     */
    tick(at: number): void {
        this.#expireLeases(at);
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
        return !this.#books.queue.isEmpty || this.#hasExpired(at);
    }

    #hasExpired(at: number): boolean {
        const deadline = this.#getSilenceLimit();
        return (
            this.#books.workerList.some((w) => w.alive && at - w.lastHeartbeatAt > deadline) ||
            this.#hasExpiredLease(at - deadline)
        );
    }

    #hasExpiredLease(renewedBefore: number): boolean {
        for (const id of this.#books.liveLeases) {
            if ((this.#books.leases.get(id)?.renewedAt ?? renewedBefore) < renewedBefore) {
                return true;
            }
        }
        return false;
    }

    #expireLeases(at: number): void {
        const deadline = this.#getSilenceLimit();
        for (const worker of this.#books.workerList) {
            if (worker.alive && at - worker.lastHeartbeatAt > deadline) {
                worker.alive = false;
            }
        }
        // Over the ids themselves: building a list of thousands of leases on every tick took 7%
        // of the cell's time. Closing one takes it, and maybe others of its request, out.
        for (const id of this.#books.liveLeases) {
            const lease = this.#books.leases.get(id);
            if (lease === undefined || at - lease.renewedAt <= deadline) {
                continue;
            }
            this.#books.counters.expiries += 1;
            this.#lifecycle.closeLease(
                lease,
                "expire",
                "lost",
                `no heartbeat from ${lease.worker} for ${at - lease.renewedAt} ms`,
                at,
            );
        }
    }

    #getSilenceLimit(): number {
        return this.#books.options.leaseTtlMs + this.#books.options.leaseGraceMs;
    }

    #renewWorker(worker: WorkerState, at: number): void {
        if (!worker.alive) {
            worker.alive = true;
            this.#books.isDirty = true;
        }
        worker.lastHeartbeatAt = at;
    }

    #renewLease(lease: LeaseRecord, at: number): void {
        lease.state = applyChartEvent(leaseChart, lease.state, "renew", NO_GUARDS);
        lease.renewedAt = at;
    }

    #findLiveLease(id: LeaseId, epoch: number): LeaseRecord | undefined {
        const lease = this.#books.leases.get(id);
        const isLive = lease?.epoch === epoch && !leaseChart.finalStates.has(lease.state);
        return isLive ? lease : undefined;
    }

    #closeDeclined(lease: LeaseRecord, reason: string, at: number): void {
        this.#books.counters.declines += 1;
        this.#lifecycle.closeLease(
            lease,
            "decline",
            "declined",
            `worker ${lease.worker} declined: ${reason}`,
            at,
        );
    }

    #recordWorkerResult(
        worker: WorkerState,
        request: RequestRecord,
        report: TaskReport,
        at: number,
    ): void {
        if (report === "completed") {
            worker.failuresInARow = 0;
        }
        if (report !== "failed") {
            return;
        }
        worker.failuresInARow += 1;
        if (worker.failuresInARow >= this.#books.options.quarantineAfter) {
            worker.quarantinedUntil = at + this.#books.options.quarantineMs;
            this.#books.recordFate(
                request,
                at,
                "quarantine",
                `worker ${worker.instance.id} failed ${worker.failuresInARow} in a row`,
            );
        }
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
