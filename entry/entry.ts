/**
 * The entry instance: one process that serves callers, operators and workers over JSON-RPC,
 * keeps the cell, journals every input before its effects leave, and sends leases to workers.
 * One event loop; the cell is touched only from it.
 *
 * @example
 * ```ts
 * import { EntryInstance } from "./entry.ts";
 * const entry = new EntryInstance({ inventory, rules, dataDir: ".data/entry-1" });
 * const address = await entry.start();
 * // ...
 * await entry.stop();
 * ```
 *
 * @module
 */

import { interval, type Subscription } from "rxjs";
import type { Logger } from "winston";
import {
    Cell,
    KeyConflictError,
    type Answer,
    type CellInput,
    type Effect,
    type LeaseMessage,
} from "../cell/mod.ts";
import {
    createId,
    type InstanceId,
    type Inventory,
    type LeaseId,
    type RequestId,
    type ServiceId,
    type CustomerId,
} from "../inventory/mod.ts";
import { Journal } from "../journal/mod.ts";
import type { Rules } from "../rules/mod.ts";
import {
    createRpcClient,
    MethodError,
    startRpcServer,
    type RpcClient,
    type RpcServer,
} from "../rpc/mod.ts";
import { createEntryMetrics, createLogger, type EntryMetrics } from "../telemetry/mod.ts";
import {
    announceSchema,
    drainSchema,
    heartbeatSchema,
    leaveSchema,
    parseParams,
    reportSchema,
    requestRefSchema,
    rulesChangeSchema,
    submitSchema,
} from "./api_schema.ts";

/** Options of an entry instance. */
export interface EntryOptions {
    readonly inventory: Inventory;
    readonly rules: Rules;
    readonly host?: string;
    /** 0 takes a free port. */
    readonly port?: number;
    readonly zone?: string;
    readonly processId?: string;
    /** Where the journal lives; without it the state lives in memory only. */
    readonly dataDir?: string;
    /** How often the cell places queued work, in ms. */
    readonly tickMs?: number;
    readonly leaseTtlMs?: number;
    readonly leaseGraceMs?: number;
    /** Inputs arriving within this many ms share one journal write and fsync. */
    readonly syncWindowMs?: number;
    readonly logger?: Logger;
}

/** The answer to a grant batch, per lease. */
interface GrantReply {
    readonly lease: LeaseId;
    readonly accepted: boolean;
    readonly reason: string;
}

/** The JSON-RPC error code of a submit refused because the instance is shutting down. */
export const SHUTTING_DOWN_CODE = -32001;
/** The JSON-RPC error code of a reused idempotency key. */
export const KEY_CONFLICT_CODE = -32002;
const GRANT_RETRIES = 5;
const DEFAULT_SYNC_WINDOW_MS = 2;
const GRANT_RETRY_MS = 200;

/** One entry instance. */
export class EntryInstance {
    readonly #options: EntryOptions;
    readonly #cell: Cell;
    readonly #journal: Journal | undefined;
    readonly #log: Logger;
    readonly metrics: EntryMetrics;
    readonly #clients = new Map<string, RpcClient>();
    readonly #waiters = new Map<RequestId, Set<() => void>>();
    #afterSync: (() => void)[] = [];
    #syncScheduled = false;
    #server: RpcServer | undefined;
    #ticks: Subscription | undefined;
    #ready = false;

    /**
     * @param options Inventory, rules, where to listen and keep state; see {@link EntryOptions}.
     */
    constructor(options: EntryOptions) {
        this.#options = options;
        this.#log =
            options.logger ??
            createLogger({ process: options.processId ?? "entry", zone: options.zone ?? "local" });
        this.metrics = createEntryMetrics();
        this.#cell = new Cell({
            inventory: options.inventory,
            rules: options.rules,
            leaseTtlMs: options.leaseTtlMs,
            leaseGraceMs: options.leaseGraceMs,
        });
        this.#journal =
            options.dataDir === undefined ? undefined : Journal.open({ dir: options.dataDir });
    }

    /** The cell (read it only; inputs go through the RPC methods). */
    get cell(): Cell {
        return this.#cell;
    }

    /**
     * Replays the journal, starts the server and the tick loop.
     *
     * @returns The address the instance listens on.
     */
    async start(): Promise<string> {
        const replayed = this.#restore();
        this.#server = await startRpcServer({
            host: this.#options.host,
            port: this.#options.port,
            methods: this.#createMethods(),
            routes: {
                "/metrics": async (_req, res) => {
                    this.#updateGauges();
                    res.writeHead(200, { "content-type": this.metrics.registry.contentType }).end(
                        await this.metrics.registry.metrics(),
                    );
                },
                "/healthz": (_req, res) => void res.writeHead(200).end("ok"),
                "/readyz": (_req, res) =>
                    void res
                        .writeHead(this.#ready ? 200 : 503)
                        .end(this.#ready ? "ready" : "not ready"),
            },
        });
        this.#ticks = interval(this.#options.tickMs ?? 10).subscribe(() => this.#applyTick());
        this.#ready = true;
        this.#log.info("listening", { address: this.#server.address, replayed });
        return this.#server.address;
    }

    /**
     * Shuts down without cutting off any request in flight: readiness turns false first, new
     * submits are refused at once with a code that says to resend elsewhere, waiting callers
     * get the answer as it stands, every answer already owed is sent, then the journal closes.
     */
    async stop(): Promise<void> {
        this.#ready = false;
        this.#log.info("stopping", { inFlight: this.#server?.inFlight() ?? 0 });
        for (const wake of [...this.#waiters.values()].flatMap((set) => [...set])) {
            wake();
        }
        this.#ticks?.unsubscribe();
        await this.#server?.close();
        this.#syncNow();
        this.#journal?.close();
        this.#log.info("stopped", {});
    }

    #restore(): number {
        const inputs = this.#journal?.readAll() ?? [];
        for (const input of inputs) {
            this.#cell.applyInput(input);
        }
        this.#cell.takeEffects();
        return inputs.length;
    }

    #createMethods(): Record<string, (params: unknown) => unknown> {
        return {
            "request.submit": (params) => this.#handleSubmit(params),
            "request.fate": (params) => this.#getAnswer(params),
            "request.wait": (params) => this.#waitAnswer(params),
            "request.cancel": (params) => this.#handleCancel(params),
            "instance.drain": (params) => this.#handleDrain(params),
            "rules.set": (params) => this.#handleRules(params),
            "cell.status": () => this.#describeStatus(),
            "workers.announce": (params) => this.#handleAnnounce(params),
            "workers.heartbeat": (params) => this.#handleHeartbeat(params),
            "workers.report": (params) => this.#handleReport(params),
            "workers.leave": (params) => this.#handleLeave(params),
        };
    }

    async #handleSubmit(params: unknown): Promise<Answer> {
        if (!this.#ready) {
            throw new MethodError(
                "this entry instance is shutting down; resend to another entry instance",
                SHUTTING_DOWN_CODE,
            );
        }
        const { spec } = parseParams(submitSchema, params);
        const typed = {
            ...spec,
            service: createId<ServiceId>(spec.service),
            customer: createId<CustomerId>(spec.customer),
        };
        const existing = this.#cell.findByKey(spec.caller, spec.key);
        let answer: Answer;
        try {
            answer = this.#cell.submit(typed, Date.now());
        } catch (error) {
            if (error instanceof KeyConflictError) {
                throw new MethodError(error.message, KEY_CONFLICT_CODE);
            }
            throw error;
        }
        if (existing === undefined) {
            this.#journal?.append({ type: "submit", at: answer.acceptedAt, spec: typed });
        }
        await this.#waitSync();
        return answer;
    }

    #findRequest(params: unknown): RequestId {
        const ref = parseParams(requestRefSchema, params);
        const id =
            ref.requestId !== undefined
                ? createId<RequestId>(ref.requestId)
                : ref.caller !== undefined && ref.key !== undefined
                  ? this.#cell.findByKey(ref.caller, ref.key)
                  : undefined;
        if (id === undefined || this.#cell.describeRequest(id) === undefined) {
            throw new MethodError("no such request: give requestId, or caller and key", -32004);
        }
        return id;
    }

    #getAnswer(params: unknown): Answer {
        return this.#cell.describeRequest(this.#findRequest(params)) as Answer;
    }

    /** Answers when the request is final, or when the wait runs out, whichever is first. */
    async #waitAnswer(params: unknown): Promise<Answer> {
        const id = this.#findRequest(params);
        const { timeoutMs } = parseParams(requestRefSchema, params);
        const now = this.#cell.describeRequest(id) as Answer;
        if (now.final || timeoutMs === 0 || !this.#ready) {
            return now;
        }
        await new Promise<void>((resolve) => {
            const set = this.#waiters.get(id) ?? new Set();
            const wake = (): void => {
                clearTimeout(timer);
                set.delete(wake);
                resolve();
            };
            const timer = setTimeout(wake, timeoutMs);
            set.add(wake);
            this.#waiters.set(id, set);
        });
        return this.#cell.describeRequest(id) as Answer;
    }

    async #handleCancel(params: unknown): Promise<Answer> {
        const id = this.#findRequest(params);
        const answer = this.#applyLogged({ type: "cancel", at: Date.now(), request: id }, () =>
            this.#cell.cancel(id, Date.now()),
        );
        await this.#waitSync();
        return answer as Answer;
    }

    async #handleDrain(params: unknown): Promise<{ drained: boolean }> {
        const { instance } = parseParams(drainSchema, params);
        const at = Date.now();
        const drained = this.#applyLogged(
            { type: "drain", at, instance: createId<InstanceId>(instance) },
            () => this.#cell.drainWorker(createId<InstanceId>(instance), at, "drained"),
        );
        await this.#waitSync();
        return { drained };
    }

    async #handleRules(params: unknown): Promise<unknown> {
        const { change } = parseParams(rulesChangeSchema, params);
        const result = this.#applyLogged({ type: "setRules", at: Date.now(), change }, () =>
            this.#cell.setRules(change),
        );
        await this.#waitSync();
        return result;
    }

    #handleAnnounce(params: unknown): Promise<{ ok: true }> {
        const { workers } = parseParams(announceSchema, params);
        return this.#applyBatch(
            workers.map((w) => ({
                type: "announce",
                at: Date.now(),
                instance: createId<InstanceId>(w.instance),
                address: w.address,
            })),
        );
    }

    #handleHeartbeat(params: unknown): Promise<{ ok: true }> {
        const { beats } = parseParams(heartbeatSchema, params);
        return this.#applyBatch(
            beats.map((beat) => ({
                type: "heartbeat",
                at: Date.now(),
                instance: createId<InstanceId>(beat.instance),
                leases: beat.leases.map((l) => ({
                    lease: createId<LeaseId>(l.lease),
                    epoch: l.epoch,
                    usage: l.usage,
                })),
            })),
        );
    }

    #handleReport(params: unknown): Promise<{ ok: true }> {
        const { reports } = parseParams(reportSchema, params);
        return this.#applyBatch(
            reports.map((r) => ({
                type: "report",
                at: Date.now(),
                lease: createId<LeaseId>(r.lease),
                epoch: r.epoch,
                report: r.report,
                detail: r.detail,
            })),
        );
    }

    #handleLeave(params: unknown): Promise<{ ok: true }> {
        const { instances } = parseParams(leaveSchema, params);
        this.#log.info("upstream leaving", { instances });
        return this.#applyBatch(
            instances.map((i) => ({
                type: "leave",
                at: Date.now(),
                instance: createId<InstanceId>(i),
            })),
        );
    }

    /** Applies and journals a batch of worker inputs, answering after they are durable. */
    async #applyBatch(inputs: readonly CellInput[]): Promise<{ ok: true }> {
        for (const input of inputs) {
            this.#applyLogged(input, () => this.#cell.applyInput(input));
        }
        await this.#waitSync();
        return { ok: true };
    }

    #describeStatus(): object {
        const states: Record<string, number> = {};
        for (const id of this.#cell.listRequests()) {
            const state = this.#cell.describeRequest(id)?.state ?? "unknown";
            states[state] = (states[state] ?? 0) + 1;
        }
        const workers = this.#cell.listWorkers();
        const held = workers.reduce((sum, w) => sum + w.held.cores, 0);
        const total = workers.reduce((sum, w) => sum + w.instance.capacity.cores, 0);
        return {
            ready: this.#ready,
            rulesVersion: this.#cell.rules.version,
            requests: states,
            workersAlive: workers.filter((w) => w.alive).length,
            workers: workers.length,
            packingCores: total === 0 ? 0 : held / total,
            counters: this.#cell.counters,
            bytes: this.#measureBytes(),
        };
    }

    /** Bytes received and sent by this process over JSON-RPC, both as server and as client. */
    #measureBytes(): { received: number; sent: number } {
        const served = this.#server?.bytes() ?? { received: 0, sent: 0 };
        let received = served.received;
        let sent = served.sent;
        for (const client of this.#clients.values()) {
            received += client.bytes().received;
            sent += client.bytes().sent;
        }
        return { received, sent };
    }

    /** Applies an input through `apply`, journals it, and schedules the sync. */
    #applyLogged<T>(input: CellInput, apply: () => T): T {
        const result = apply();
        this.#journal?.append(input);
        this.#planSync();
        return result;
    }

    #applyTick(): void {
        // One reading of the clock for the tick and its record: a replay must tick at the very
        // time the original did, or an expiry on the boundary could decide differently.
        const at = Date.now();
        this.#cell.tick(at);
        const effects = this.#cell.takeEffects();
        if (effects.length === 0) {
            return;
        }
        // A tick that decided nothing changed nothing a replay needs; only deciding ticks are kept.
        this.#journal?.append({ type: "tick", at });
        this.#pendingEffects.push(...effects);
        this.#planSync();
    }

    #pendingEffects: Effect[] = [];

    #planSync(): void {
        if (!this.#syncScheduled) {
            this.#syncScheduled = true;
            // Group commit: inputs of the next few ms share one write and one fsync. Each
            // loop turn paying its own fsync made fsync the largest cost of the process.
            setTimeout(() => this.#syncNow(), this.#options.syncWindowMs ?? DEFAULT_SYNC_WINDOW_MS);
        }
    }

    #waitSync(): Promise<void> {
        return new Promise((resolve) => {
            this.#afterSync.push(resolve);
            this.#planSync();
        });
    }

    /**
     * Makes every journalled input durable, then lets its effects and answers out. Nothing a
     * worker or caller is told can be lost by a crash after it was told.
     */
    #syncNow(): void {
        this.#syncScheduled = false;
        if (this.#journal !== undefined && this.#journal.pending > 0) {
            const end = this.metrics.journalSyncSeconds.startTimer();
            this.#journal.sync();
            end();
        }
        const effects = [...this.#pendingEffects, ...this.#cell.takeEffects()];
        this.#pendingEffects = [];
        this.#sendEffects(effects);
        const waiting = this.#afterSync;
        this.#afterSync = [];
        for (const resolve of waiting) {
            resolve();
        }
    }

    #sendEffects(effects: readonly Effect[]): void {
        const grants = new Map<string, LeaseMessage[]>();
        const stops = new Map<string, object[]>();
        for (const effect of effects) {
            switch (effect.type) {
                case "grant":
                    grants.set(effect.address, [
                        ...(grants.get(effect.address) ?? []),
                        effect.lease,
                    ]);
                    this.metrics.placements.inc();
                    break;
                case "stop":
                    stops.set(effect.address, [
                        ...(stops.get(effect.address) ?? []),
                        {
                            instance: effect.instance,
                            lease: effect.lease,
                            epoch: effect.epoch,
                            mode: effect.mode,
                        },
                    ]);
                    break;
                case "fate":
                    this.#log.info(effect.event.event, {
                        request: effect.request,
                        detail: effect.event.detail,
                    });
                    break;
                case "started":
                    this.metrics.waitSeconds.observe(
                        { class: effect.className },
                        effect.waitMs / 1_000,
                    );
                    break;
                case "final":
                    this.metrics.finals.inc({ state: effect.state });
                    for (const wake of [...(this.#waiters.get(effect.request) ?? [])]) {
                        wake();
                    }
                    this.#waiters.delete(effect.request);
                    break;
            }
        }
        for (const [address, leases] of grants) {
            void this.#sendGrants(address, leases, 0);
        }
        for (const [address, list] of stops) {
            void this.#getClient(address)
                .call("leases.stop", { stops: list })
                .catch((error: Error) =>
                    this.#log.warn("stop not delivered", { address, error: error.message }),
                );
        }
    }

    /**
     * Sends lease offers. A lost answer is resent with the same lease and epoch: the worker
     * answers a resend as it answered the first, so an unknown outcome is asked again rather
     * than guessed. After the retries the lease simply expires, and the cell decides.
     */
    async #sendGrants(
        address: string,
        leases: readonly LeaseMessage[],
        attempt: number,
    ): Promise<void> {
        try {
            const { replies } = await this.#getClient(address).call<{ replies: GrantReply[] }>(
                "leases.grant",
                { leases },
            );
            for (const reply of replies) {
                const input: CellInput = {
                    type: "grantReply",
                    at: Date.now(),
                    lease: reply.lease,
                    accepted: reply.accepted,
                    reason: reply.reason,
                };
                this.#applyLogged(input, () => this.#cell.applyInput(input));
            }
        } catch (error) {
            this.#log.warn("grant not answered", {
                address,
                attempt,
                error: (error as Error).message,
            });
            if (attempt + 1 < GRANT_RETRIES && this.#ready) {
                setTimeout(
                    () => void this.#sendGrants(address, leases, attempt + 1),
                    GRANT_RETRY_MS,
                );
            }
        }
    }

    #getClient(address: string): RpcClient {
        let client = this.#clients.get(address);
        if (client === undefined) {
            client = createRpcClient(address, 2_000);
            this.#clients.set(address, client);
        }
        return client;
    }

    #updateGauges(): void {
        const status = this.#describeStatus() as {
            packingCores: number;
            requests: Record<string, number>;
        };
        this.metrics.packingCores.set(status.packingCores);
        this.metrics.queued.set(status.requests["queued"] ?? 0);
    }
}
