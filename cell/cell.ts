/**
 * The cell: every request, task, lease and worker of one scheduling domain, as a deterministic
 * state machine. Inputs go in (`applyInput`), effects come out (`takeEffects`); it does no I/O
 * and reads no clock, so the journal can replay it and tests can drive it with plain calls.
 *
 * @example
 * ```ts
 * import { Cell } from "./cell.ts";
 * const cell = new Cell({ inventory, rules });
 * cell.applyInput({ type: "announce", at: 0, instance, address: "127.0.0.1:7001" });
 * const answer = cell.submit(spec, 1);
 * cell.tick(2);
 * for (const effect of cell.takeEffects()) { ... }
 * ```
 *
 * @module
 */

import { applyChartEvent, loadChart } from "../chart/mod.ts";
import {
    addResources,
    createId,
    getMaxResources,
    NO_RESOURCES,
    removeResources,
    type CustomerId,
    type InstanceId,
    type Inventory,
    type LeaseId,
    type RequestId,
    type TaskId,
} from "../inventory/mod.ts";
import { getKindClass, getKindRule, type KindRule, type Rules } from "../rules/mod.ts";
import {
    createWorkerState,
    isEverFeasible,
    placeTask,
    planPreemption,
    type PlacementAsk,
    type Victim,
    type WorkerState,
} from "../scheduler/mod.ts";
import { createRules, listRulesProblems } from "../settings/rules_file.ts";
import {
    KeyConflictError,
    type Answer,
    type CellInput,
    type Effect,
    type HeldLease,
    type LeaseRecord,
    type RequestRecord,
    type RequestSpec,
    type RulesChange,
    type RulesChangeResult,
    type TaskOutcome,
    type TaskReport,
} from "./types.ts";

const requestChart = loadChart(new URL("../request/request_chart.yaml", import.meta.url));
const leaseChart = loadChart(new URL("../lease/lease_chart.yaml", import.meta.url));

/** Options of a cell. */
export interface CellOptions {
    readonly inventory: Inventory;
    readonly rules: Rules;
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
    readonly quarantineAfter?: number;
    /** How long a quarantine lasts, in ms. */
    readonly quarantineMs?: number;
    /** The most placements one tick decides. */
    readonly maxPlacementsPerTick?: number;
}

const DEFAULTS = {
    leaseTtlMs: 3_000,
    leaseGraceMs: 1_500,
    maxAttempts: 3,
    quarantineAfter: 3,
    quarantineMs: 30_000,
    maxPlacementsPerTick: 5_000,
};

/** Counters that the entry process turns into metrics. */
export interface CellCounters {
    placements: number;
    preemptions: number;
    refusals: number;
    declines: number;
    expiries: number;
}

/** The cell's state machine. */
export class Cell {
    readonly #options: typeof DEFAULTS;
    readonly #inventory: Inventory;
    #rules: Rules;
    readonly #workers = new Map<InstanceId, WorkerState>();
    readonly #workerList: WorkerState[] = [];
    readonly #requests = new Map<RequestId, RequestRecord>();
    readonly #byKey = new Map<string, RequestId>();
    readonly #leases = new Map<LeaseId, LeaseRecord>();
    readonly #queue = new Map<number, RequestRecord[]>();
    readonly #customerCores = new Map<CustomerId, number>();
    readonly #rulesChanges = new Map<string, RulesChangeResult>();
    #effects: Effect[] = [];
    #nextSeq = 1;
    #nextEpoch = 1;
    /** Counters since start. */
    readonly counters: CellCounters = {
        placements: 0,
        preemptions: 0,
        refusals: 0,
        declines: 0,
        expiries: 0,
    };

    /**
     * @param options The inventory, the rules and timings; see {@link CellOptions}.
     */
    constructor(options: CellOptions) {
        this.#options = { ...DEFAULTS, ...removeUndefined(options) };
        this.#inventory = options.inventory;
        this.#rules = options.rules;
        for (const instance of options.inventory.instances) {
            const worker = createWorkerState(instance, options.inventory.executors);
            this.#workers.set(instance.id, worker);
            this.#workerList.push(worker);
        }
    }

    /**
     * Applies one input; the journal replays inputs through here.
     *
     * @param input The input.
     */
    applyInput(input: CellInput): void {
        switch (input.type) {
            case "submit":
                this.submit(input.spec, input.at);
                return;
            case "cancel":
                this.cancel(input.request, input.at);
                return;
            case "tick":
                this.tick(input.at);
                return;
            case "announce":
                this.announceWorker(input.instance, input.address, input.at);
                return;
            case "leave":
                this.drainWorker(input.instance, input.at, "leaving");
                return;
            case "drain":
                this.drainWorker(input.instance, input.at, "drained");
                return;
            case "heartbeat":
                this.handleHeartbeat(input.instance, input.leases, input.at);
                return;
            case "grantReply":
                this.handleGrantReply(input.lease, input.accepted, input.reason, input.at);
                return;
            case "report":
                this.handleReport(input.lease, input.epoch, input.report, input.detail, input.at);
                return;
            case "setRules":
                this.setRules(input.change);
                return;
        }
    }

    /**
     * Takes the effects produced since the last call.
     *
     * @returns Effects in the order they arose.
     */
    takeEffects(): Effect[] {
        const effects = this.#effects;
        this.#effects = [];
        return effects;
    }

    /** The rules in force. */
    get rules(): Rules {
        return this.#rules;
    }

    /** The inventory. */
    get inventory(): Inventory {
        return this.#inventory;
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
        const keyOf = `${spec.caller}\u0000${spec.key}`;
        const existing = this.#byKey.get(keyOf);
        if (existing !== undefined) {
            const request = this.#getRequest(existing);
            if (JSON.stringify(request.spec) !== JSON.stringify(spec)) {
                throw new KeyConflictError(spec.caller, spec.key, existing);
            }
            return this.describeRequest(existing) as Answer;
        }
        const seq = this.#nextSeq++;
        const id = createId<RequestId>(`r${seq}`);
        const request: RequestRecord = {
            id,
            seq,
            spec,
            state: requestChart.initial,
            acceptedAt: at,
            startedAt: undefined,
            endedAt: undefined,
            reason: undefined,
            attempts: 0,
            started: false,
            mayHaveStarted: false,
            mayHaveRunBefore: false,
            stopping: undefined,
            trouble: undefined,
            troubleDetail: "",
            blockedBy: undefined,
            tasks: Array.from({ length: spec.count }, (_, i) => ({
                id: createId<TaskId>(`${id}.${i}`),
                state: "waiting" as const,
                lease: undefined,
                outcome: undefined,
            })),
            events: [],
        };
        this.#requests.set(id, request);
        this.#byKey.set(keyOf, id);
        this.#recordFate(
            request,
            at,
            "accepted",
            `${spec.kind} x${spec.count} for ${spec.customer}`,
        );
        const refusal = this.#findRefusal(spec);
        if (refusal !== undefined) {
            this.#applyRequestEvent(request, "refuse", at, refusal);
        } else {
            this.#addToQueue(request);
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
        const request = this.#requests.get(id);
        if (request === undefined) {
            return undefined;
        }
        if (request.state === "queued") {
            this.#applyRequestEvent(
                request,
                "cancel",
                at,
                request.mayHaveStarted
                    ? "cancelled; an earlier attempt may have run"
                    : "cancelled before it started",
            );
        } else if (request.state === "leased" || request.state === "running") {
            this.#applyRequestEvent(request, "cancel", at, "cancel asked; stopping");
            request.stopping = "cancel";
            this.#stopLeases(request, "stop", at);
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
        const request = this.#requests.get(id);
        if (request === undefined) {
            return undefined;
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
        return this.#byKey.get(`${caller}\u0000${key}`);
    }

    /**
     * Lists every request id, oldest first.
     *
     * @returns The ids.
     */
    listRequests(): RequestId[] {
        return [...this.#requests.keys()];
    }

    /**
     * Lists the workers' views (read only by callers).
     *
     * @returns The views.
     */
    listWorkers(): readonly WorkerState[] {
        return this.#workerList;
    }

    /**
     * Lists every lease ever made, live or ended.
     *
     * @returns The leases.
     */
    listLeases(): LeaseRecord[] {
        return [...this.#leases.values()];
    }

    /**
     * Lists the leases that still hold resources.
     *
     * @returns The leases.
     */
    listLiveLeases(): LeaseRecord[] {
        return [...this.#leases.values()].filter((l) => !leaseChart.finalStates.has(l.state));
    }

    /**
     * Takes a worker's announcement: it takes work from now on.
     *
     * @param instance The worker's instance.
     * @param address Where its agent listens.
     * @param at The time in ms.
     */
    announceWorker(instance: InstanceId, address: string, at: number): void {
        const worker = this.#workers.get(instance);
        if (worker === undefined) {
            return;
        }
        worker.address = address;
        worker.alive = true;
        worker.draining = false;
        worker.lastHeartbeatAt = at;
    }

    /**
     * Stops new work going to a worker; its tasks go on.
     *
     * @param instance The worker's instance.
     * @param at The time in ms.
     * @param why "drained" by an operator or "leaving" by its own word.
     * @returns False for an unknown instance.
     */
    drainWorker(instance: InstanceId, at: number, why: "drained" | "leaving"): boolean {
        const worker = this.#workers.get(instance);
        if (worker === undefined) {
            return false;
        }
        worker.draining = true;
        void at;
        void why;
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
        const worker = this.#workers.get(instance);
        if (worker === undefined) {
            return;
        }
        worker.alive = true;
        worker.lastHeartbeatAt = at;
        for (const item of held) {
            const lease = this.#leases.get(item.lease);
            if (
                lease === undefined ||
                lease.epoch !== item.epoch ||
                leaseChart.finalStates.has(lease.state)
            ) {
                if (worker.address !== undefined) {
                    this.#effects.push({
                        type: "stop",
                        address: worker.address,
                        instance,
                        lease: item.lease,
                        epoch: item.epoch,
                        mode: "stop",
                    });
                }
                continue;
            }
            lease.state = applyChartEvent(leaseChart, lease.state, "renew", NO_GUARDS);
            lease.renewedAt = at;
            if (item.usage !== undefined) {
                lease.reported = item.usage;
                this.#setHeld(worker, lease, getMaxResources(lease.declared, item.usage));
            }
        }
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
        const lease = this.#leases.get(id);
        if (lease === undefined || lease.state !== "offered") {
            return;
        }
        if (accepted) {
            lease.state = applyChartEvent(leaseChart, lease.state, "accept", NO_GUARDS);
            lease.renewedAt = at;
            return;
        }
        this.counters.declines += 1;
        this.#closeLease(
            lease,
            "decline",
            "declined",
            `worker ${lease.worker} declined: ${reason}`,
            at,
        );
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
        const lease = this.#leases.get(id);
        if (
            lease === undefined ||
            lease.epoch !== epoch ||
            leaseChart.finalStates.has(lease.state)
        ) {
            return;
        }
        const request = this.#getRequest(lease.request);
        const task = request.tasks.find((t) => t.id === lease.task);
        if (task === undefined) {
            return;
        }
        if (report === "started") {
            if (lease.state === "offered") {
                lease.state = applyChartEvent(leaseChart, lease.state, "accept", NO_GUARDS);
            }
            lease.renewedAt = at;
            task.state = "running";
            this.#handleTaskStarted(request, at);
            return;
        }
        const worker = this.#getWorker(lease.worker);
        if (report === "failed") {
            worker.failuresInARow += 1;
            if (worker.failuresInARow >= this.#options.quarantineAfter) {
                worker.quarantinedUntil = at + this.#options.quarantineMs;
                this.#recordFate(
                    request,
                    at,
                    "quarantine",
                    `worker ${worker.instance.id} failed ${worker.failuresInARow} in a row`,
                );
            }
        } else if (report === "completed") {
            worker.failuresInARow = 0;
        }
        this.#closeLease(lease, "release", report, detail, at);
    }

    /**
     * Applies a rules change: once per change id; a stale expected version is a conflict.
     *
     * @param change The change.
     * @returns Applied with the new version, or a conflict with the version in force.
     */
    setRules(change: RulesChange): RulesChangeResult {
        const earlier = this.#rulesChanges.get(change.changeId);
        if (earlier !== undefined) {
            return earlier;
        }
        let result: RulesChangeResult;
        if (change.expectedVersion !== this.#rules.version) {
            result = {
                status: "conflict",
                version: this.#rules.version,
                reason: `expected version ${change.expectedVersion}, but ${this.#rules.version} is in force`,
            };
        } else {
            const problems = this.#listRulesProblems(change);
            if (problems.length > 0) {
                result = {
                    status: "rejected",
                    version: this.#rules.version,
                    reason: problems.join("; "),
                };
            } else {
                const version = this.#rules.version + 1;
                this.#rules = createRules({ ...change.rules, version });
                result = { status: "applied", version };
            }
        }
        this.#rulesChanges.set(change.changeId, result);
        return result;
    }

    /**
     * Finds what would break if a change took effect: problems of the rules themselves, and kinds
     * that requests not yet ended still need (their next tick would find no rule for them).
     */
    #listRulesProblems(change: RulesChange): string[] {
        const problems = listRulesProblems(change.rules);
        const kinds = new Set(change.rules.kinds.map((k) => k.name));
        const inUse = new Map<string, number>();
        for (const request of this.#requests.values()) {
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
        this.#placeQueued(at);
    }

    #expireLeases(at: number): void {
        const deadline = this.#options.leaseTtlMs + this.#options.leaseGraceMs;
        for (const worker of this.#workerList) {
            if (worker.alive && at - worker.lastHeartbeatAt > deadline) {
                worker.alive = false;
            }
        }
        for (const lease of this.#leases.values()) {
            if (!leaseChart.finalStates.has(lease.state) && at - lease.renewedAt > deadline) {
                this.counters.expiries += 1;
                this.#closeLease(
                    lease,
                    "expire",
                    "lost",
                    `no heartbeat from ${lease.worker} for ${at - lease.renewedAt} ms`,
                    at,
                );
            }
        }
    }

    #placeQueued(at: number): void {
        const precedences = [...this.#queue.keys()].sort((a, b) => b - a);
        const blocked = new Set<string>();
        let budget = this.#options.maxPlacementsPerTick;
        for (const precedence of precedences) {
            const bucket = (this.#queue.get(precedence) ?? []).filter((r) => r.state === "queued");
            this.#queue.set(precedence, bucket);
            for (const request of bucket) {
                if (budget <= 0) {
                    return;
                }
                if (this.#checkDeadline(request, at)) {
                    continue;
                }
                const shape = `${request.spec.service}|${request.spec.kind}|${JSON.stringify(request.spec.demand)}|${request.spec.count}`;
                if (blocked.has(shape)) {
                    continue;
                }
                budget -= 1;
                if (!this.#placeRequest(request, precedence, at)) {
                    blocked.add(shape);
                }
            }
        }
        for (const [precedence, bucket] of this.#queue) {
            this.#queue.set(
                precedence,
                bucket.filter((r) => r.state === "queued"),
            );
        }
    }

    #checkDeadline(request: RequestRecord, at: number): boolean {
        if (request.spec.maxWaitMs <= 0 || at - request.acceptedAt <= request.spec.maxWaitMs) {
            return false;
        }
        const reason = `not started within ${request.spec.maxWaitMs} ms`;
        if (request.mayHaveStarted) {
            this.#applyRequestEvent(
                request,
                "give_up",
                at,
                `${reason}; an earlier attempt may have run`,
            );
        } else {
            this.#applyRequestEvent(request, "refuse", at, reason);
        }
        return true;
    }

    #placeRequest(request: RequestRecord, precedence: number, at: number): boolean {
        const rule = this.#getRule(request);
        const ask = this.#createAsk(request, rule);
        const quota = this.#rules.quotas.get(request.spec.customer);
        if (quota !== undefined) {
            const used = this.#customerCores.get(request.spec.customer) ?? 0;
            if (used + request.spec.demand.cores * request.spec.count > quota.cores + 1e-9) {
                this.#recordBlocked(
                    request,
                    at,
                    `quota of ${request.spec.customer}: ${used} of ${quota.cores} cores in use`,
                );
                return true;
            }
        }
        const chosen = placeTask(this.#workerList, ask, at);
        if (chosen !== undefined) {
            this.#grantAll(request, chosen, at);
            return true;
        }
        if (request.spec.count === 1) {
            this.#startPreemption(request, ask, precedence, at);
        }
        this.#recordBlocked(request, at, "no worker has room now");
        return false;
    }

    #startPreemption(
        request: RequestRecord,
        ask: PlacementAsk,
        precedence: number,
        at: number,
    ): void {
        const plan = planPreemption(
            this.#workerList,
            ask,
            precedence,
            (w) => this.#listVictims(w),
            at,
        );
        if (plan === undefined) {
            return;
        }
        for (const leaseId of plan.victims) {
            const lease = this.#leases.get(leaseId);
            if (lease === undefined) {
                continue;
            }
            const victim = this.#getRequest(lease.request);
            victim.stopping = "preempt";
            this.#recordFate(
                victim,
                at,
                "preempt",
                `stopped for ${request.id} (${request.spec.kind})`,
            );
            this.#stopLeases(victim, "checkpoint", at);
            this.counters.preemptions += 1;
        }
        this.#recordFate(
            request,
            at,
            "preempting",
            `${plan.victims.length} task(s) on ${plan.worker.instance.id}`,
        );
    }

    #listVictims(worker: WorkerState): Victim[] {
        const victims: Victim[] = [];
        for (const leaseId of worker.leases) {
            const lease = this.#leases.get(leaseId);
            if (lease === undefined || lease.stopSent) {
                continue;
            }
            const request = this.#getRequest(lease.request);
            const rule = this.#getRule(request);
            const kindClass = getKindClass(this.#rules, rule);
            const retryable = rule.idempotent && request.attempts < this.#options.maxAttempts;
            if (
                !kindClass.preemptible ||
                !retryable ||
                request.spec.count !== 1 ||
                request.stopping !== undefined
            ) {
                continue;
            }
            victims.push({
                lease: leaseId,
                service: request.spec.service,
                held: lease.held,
                precedence: kindClass.precedence,
            });
        }
        return victims;
    }

    #grantAll(request: RequestRecord, chosen: readonly WorkerState[], at: number): void {
        request.trouble = undefined;
        request.troubleDetail = "";
        request.blockedBy = undefined;
        request.tasks.forEach((task, i) => {
            const worker = chosen[i] as WorkerState;
            const epoch = this.#nextEpoch++;
            const lease: LeaseRecord = {
                id: createId<LeaseId>(`l${epoch}`),
                task: task.id,
                request: request.id,
                worker: worker.instance.id,
                epoch,
                state: leaseChart.initial,
                grantedAt: at,
                renewedAt: at,
                declared: request.spec.demand,
                reported: undefined,
                held: NO_RESOURCES,
                stopSent: false,
            };
            this.#leases.set(lease.id, lease);
            worker.leases.add(lease.id);
            worker.slotsUsed.set(
                request.spec.service,
                (worker.slotsUsed.get(request.spec.service) ?? 0) + 1,
            );
            this.#setHeld(worker, lease, request.spec.demand);
            this.#addCustomerCores(request.spec.customer, request.spec.demand.cores);
            task.state = "offered";
            task.lease = lease.id;
            task.outcome = undefined;
            request.attempts += 1;
            this.counters.placements += 1;
            this.#effects.push({
                type: "grant",
                address: worker.address ?? "",
                lease: {
                    lease: lease.id,
                    task: task.id,
                    request: request.id,
                    instance: worker.instance.id,
                    epoch,
                    demand: request.spec.demand,
                    ttlMs: this.#options.leaseTtlMs,
                    work: request.spec.work,
                },
            });
        });
        request.mayHaveStarted = true;
        const where = [...new Set(chosen.map((w) => w.instance.id))].join(",");
        this.#applyRequestEvent(request, "grant", at, `leased on ${where}`);
    }

    #handleTaskStarted(request: RequestRecord, at: number): void {
        if (!request.tasks.every((t) => t.state === "running" || t.state === "ended")) {
            return;
        }
        if (request.state === "leased") {
            request.started = true;
            request.startedAt ??= at;
            this.#applyRequestEvent(request, "start", at, "started");
            const rule = this.#getRule(request);
            this.#effects.push({
                type: "started",
                request: request.id,
                className: rule.className,
                waitMs: at - request.acceptedAt,
            });
        } else if (request.state === "cancelling") {
            request.started = true;
        }
    }

    /**
     * Ends a lease, frees what it held, and moves its request once none of its leases is live.
     * A request goes back to the queue only after every lease of its last attempt has ended
     * (released, declined, or expired past the grace): so no task runs in two places at once.
     */
    #closeLease(
        lease: LeaseRecord,
        event: string,
        outcome: TaskOutcome,
        detail: string,
        at: number,
    ): void {
        lease.state = applyChartEvent(leaseChart, lease.state, event, NO_GUARDS);
        const worker = this.#getWorker(lease.worker);
        this.#setHeld(worker, lease, NO_RESOURCES);
        worker.leases.delete(lease.id);
        const request = this.#getRequest(lease.request);
        worker.slotsUsed.set(
            request.spec.service,
            (worker.slotsUsed.get(request.spec.service) ?? 1) - 1,
        );
        this.#addCustomerCores(request.spec.customer, -request.spec.demand.cores);
        const task = request.tasks.find((t) => t.id === lease.task);
        if (task !== undefined) {
            task.state = "ended";
            task.outcome = outcome;
        }
        if (outcome !== "completed" && request.trouble === undefined) {
            request.trouble = outcome;
            request.troubleDetail = detail;
        }
        if (outcome === "completed" || outcome === "stopped") {
            this.#recordFate(request, at, `task ${outcome}`, `${lease.task} on ${lease.worker}`);
        } else {
            this.#recordFate(request, at, `task ${outcome}`, detail);
        }
        if (
            request.trouble !== undefined &&
            request.stopping === undefined &&
            request.tasks.some((t) => t.state !== "ended")
        ) {
            request.stopping = "trouble";
            this.#stopLeases(request, "stop", at);
        }
        if (request.tasks.every((t) => t.state === "ended")) {
            this.#closeAttempt(request, at);
        }
    }

    #closeAttempt(request: RequestRecord, at: number): void {
        const allCompleted = request.tasks.every((t) => t.outcome === "completed");
        const allDeclined = request.tasks.every((t) => t.outcome === "declined");
        if (!allDeclined) {
            request.mayHaveRunBefore = true;
        }
        request.mayHaveStarted = request.mayHaveRunBefore;
        const stopping = request.stopping;
        request.stopping = undefined;
        let event: string;
        let reason: string;
        if (allCompleted) {
            event = "finish";
            reason = "completed";
        } else if (request.state === "cancelling") {
            event =
                request.trouble === "failed"
                    ? "fail"
                    : request.trouble === "lost"
                      ? "lose"
                      : request.trouble === "declined"
                        ? "decline"
                        : "stopped";
            reason =
                event === "stopped" || event === "decline"
                    ? request.started
                        ? "cancelled after it started"
                        : "cancelled; stopped before it started"
                    : `while cancelling: ${request.troubleDetail}`;
        } else if (
            stopping === "preempt" &&
            (request.trouble === "stopped" || request.trouble === undefined)
        ) {
            event = "preempt";
            reason = "preempted; queued again";
        } else {
            event =
                request.trouble === "declined"
                    ? "decline"
                    : request.trouble === "lost"
                      ? "lose"
                      : "fail";
            reason = request.troubleDetail;
        }
        for (const task of request.tasks) {
            task.state = "waiting";
            task.lease = undefined;
        }
        this.#applyRequestEvent(request, event, at, reason);
        if (request.state === "queued") {
            this.#addToQueue(request);
        }
    }

    #stopLeases(request: RequestRecord, mode: "stop" | "checkpoint", at: number): void {
        for (const task of request.tasks) {
            const lease = task.lease === undefined ? undefined : this.#leases.get(task.lease);
            if (lease === undefined || leaseChart.finalStates.has(lease.state) || lease.stopSent) {
                continue;
            }
            lease.stopSent = true;
            const worker = this.#getWorker(lease.worker);
            this.#effects.push({
                type: "stop",
                address: worker.address ?? "",
                instance: worker.instance.id,
                lease: lease.id,
                epoch: lease.epoch,
                mode,
            });
        }
        void at;
    }

    #applyRequestEvent(request: RequestRecord, event: string, at: number, reason: string): void {
        const guards = this.#getGuards(request);
        const before = request.state;
        request.state = applyChartEvent(requestChart, request.state, event, guards);
        if (event === "decline" && request.trouble === "declined" && request.state === "queued") {
            request.attempts = Math.max(0, request.attempts - request.tasks.length);
        }
        this.#recordFate(request, at, event, `${before} -> ${request.state}: ${reason}`);
        if (requestChart.finalStates.has(request.state)) {
            request.endedAt = at;
            request.reason = reason;
            if (request.state === "refused") {
                this.counters.refusals += 1;
            }
            this.#effects.push({ type: "final", request: request.id, state: request.state });
        }
    }

    #getGuards(request: RequestRecord): ReadonlySet<string> {
        const rule = this.#rules.kinds.get(request.spec.kind);
        const retryable =
            rule !== undefined && rule.idempotent && request.attempts < this.#options.maxAttempts;
        return retryable ? RETRYABLE : AT_MOST_ONCE;
    }

    #recordBlocked(request: RequestRecord, at: number, why: string): void {
        if (request.blockedBy !== why) {
            request.blockedBy = why;
            this.#recordFate(request, at, "waiting", why);
        }
    }

    #findRefusal(spec: RequestSpec): string | undefined {
        const rule = getKindRule(this.#rules, spec.kind);
        if (rule === undefined) {
            return `no rule names kind "${spec.kind}"`;
        }
        if (!this.#inventory.services.some((s) => s.id === spec.service)) {
            return `no service "${spec.service}" in the inventory`;
        }
        const quota = this.#rules.quotas.get(spec.customer);
        if (quota !== undefined && spec.demand.cores * spec.count > quota.cores) {
            return `asks ${spec.demand.cores * spec.count} cores; the quota of ${spec.customer} is ${quota.cores}`;
        }
        if (!isEverFeasible(this.#workerList, this.#createAsk(undefined, rule, spec))) {
            return `no instance of ${spec.service} could ever hold ${spec.count} x ${JSON.stringify(spec.demand)}`;
        }
        return undefined;
    }

    #createAsk(
        request: RequestRecord | undefined,
        rule: KindRule,
        spec = request?.spec,
    ): PlacementAsk {
        const s = spec as RequestSpec;
        return { demand: s.demand, service: s.service, placement: rule.placement, count: s.count };
    }

    #addToQueue(request: RequestRecord): void {
        const rule = this.#getRule(request);
        const precedence = getKindClass(this.#rules, rule).precedence;
        const bucket = this.#queue.get(precedence) ?? [];
        // Arrival order within a class; a requeued request goes back to its place by binary
        // search (a full sort on every insert made a backlog of thousands cost 10 ms a tick).
        let low = 0;
        let high = bucket.length;
        while (low < high) {
            const middle = (low + high) >> 1;
            if ((bucket[middle] as RequestRecord).seq < request.seq) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        bucket.splice(low, 0, request);
        this.#queue.set(precedence, bucket);
    }

    #setHeld(worker: WorkerState, lease: LeaseRecord, held: typeof NO_RESOURCES): void {
        worker.held = addResources(removeResources(worker.held, lease.held), held);
        lease.held = held;
    }

    #addCustomerCores(customer: CustomerId, cores: number): void {
        this.#customerCores.set(customer, (this.#customerCores.get(customer) ?? 0) + cores);
    }

    #recordFate(request: RequestRecord, at: number, event: string, detail: string): void {
        const entry = { at, event, detail };
        request.events.push(entry);
        this.#effects.push({ type: "fate", request: request.id, event: entry });
    }

    #getRule(request: RequestRecord): KindRule {
        const rule = getKindRule(this.#rules, request.spec.kind);
        if (rule === undefined) {
            throw new Error(`request ${request.id}: kind ${request.spec.kind} lost its rule`);
        }
        return rule;
    }

    #getRequest(id: RequestId): RequestRecord {
        const request = this.#requests.get(id);
        if (request === undefined) {
            throw new Error(`unknown request ${id}`);
        }
        return request;
    }

    #getWorker(id: InstanceId): WorkerState {
        const worker = this.#workers.get(id);
        if (worker === undefined) {
            throw new Error(`unknown instance ${id}`);
        }
        return worker;
    }
}

const NO_GUARDS: ReadonlySet<string> = new Set();
const RETRYABLE: ReadonlySet<string> = new Set(["retryable"]);
const AT_MOST_ONCE: ReadonlySet<string> = new Set(["at_most_once"]);

function removeUndefined<T extends object>(value: T): Partial<T> {
    return Object.fromEntries(
        Object.entries(value).filter(([, v]) => v !== undefined),
    ) as Partial<T>;
}
