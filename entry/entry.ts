/**
 * The entry instance: a process that serves callers, operators and workers over JSON-RPC. It has
 * replicas of the configuration group and its zone's group and forwards calls to other leaders.
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
import type { RequestStatus, Cell } from "../cell/mod.ts";
import {
    createId,
    type CustomerId,
    type InstanceId,
    type Inventory,
    type RequestId,
    type ServiceId,
} from "../inventory/mod.ts";
import { DEFAULT_TIMINGS, type GroupId } from "../log/mod.ts";
import {
    createLayout,
    Gossip,
    loadIncarnation,
    type Deployment,
    type EntryId,
    type Layout,
    type LeadershipClaim,
} from "../membership/mod.ts";
import type { Rules, RulesChange } from "../rules/mod.ts";
import { MethodError, startRpcServer, type RpcServer } from "../rpc/mod.ts";
import { createEntryMetrics, createLogger, type EntryMetrics } from "../telemetry/mod.ts";
import {
    adoptSchema,
    drainSchema,
    parseParams,
    requestRefSchema,
    rulesChangeSchema,
    rulesCheckSchema,
    submitSchema,
} from "./api_schema.ts";
import { CallRouter, type LocalMember } from "./call_router.ts";
import { ConfigGroup } from "./config_group.ts";
import {
    toMethodError,
    createNoLeaderError,
    NOT_FOUND_CODE,
    SHUTTING_DOWN_CODE,
} from "./errors.ts";
import type { AdoptAnswer, AdoptItem, GroupCapacity } from "./hand_over_agent.ts";
import { PeerApi, type PeerMember } from "./peer_api.ts";
import { PeerNetwork } from "../group/mod.ts";
import { CompletionWaiters } from "./completion_waiters.ts";
import { describeStatus, type EntryStatus } from "./status.ts";
import { WorkerApi } from "./worker_api.ts";
import { ZoneGroup } from "./zone_group.ts";

/** Options of {@link EntryInstance}. */
export interface EntryOptions {
    readonly inventory: Inventory;
    /** Initial rules; later versions come from the configuration group's log. */
    readonly rules: Rules;
    /** The entry instances and groups of the cell; standalone if omitted. */
    readonly deployment?: Deployment;
    /**
     * Whether the cell starts for the first time, with empty disks. Defaults to true if standalone
     * and to false otherwise.
     */
    readonly bootstrap?: boolean;
    readonly host?: string;
    /** Port to listen on; 0 selects a free port. */
    readonly port?: number;
    readonly zone?: string;
    readonly processId?: string;
    /** Directory of the groups' logs; state is kept in memory only if omitted. */
    readonly dataDir?: string;
    /** Interval at which the cell places queued work, in ms. */
    readonly tickMs?: number;
    readonly leaseTtlMs?: number;
    readonly leaseGraceMs?: number;
    /** Inputs that arrive within this window, in ms, share one log entry and one fsync. */
    readonly syncWindowMs?: number;
    /** Number of log entries between snapshots. */
    readonly snapshotIntervalEntries?: number;
    readonly logger?: Logger;
}

const GOSSIP_INTERVAL_MS = 500;
/** Maximum time that a leader holds a forwarded `request.wait`, in ms. */
const MAX_FORWARDED_WAIT_MS = 1_500;
const START_TIMEOUT_MS = 10_000;
const STANDALONE_GROUP = "cell" as GroupId;

/** An entry instance: JSON-RPC server, replicas and gossip. */
export class EntryInstance {
    readonly #options: EntryOptions;
    readonly #self: EntryId;
    readonly #layout: Layout;
    readonly #network: PeerNetwork;
    readonly #gossip: Gossip;
    readonly #router: CallRouter;
    readonly #config: ConfigGroup;
    readonly #zones = new Map<GroupId, ZoneGroup>();
    readonly #waiters = new CompletionWaiters();
    readonly #log: Logger;
    readonly metrics: EntryMetrics;
    #server: RpcServer | undefined;
    #gossipSubscription: Subscription | undefined;
    #isAccepting = false;

    /**
     * @param options Inventory, rules, deployment, listen address; see {@link EntryOptions}.
     */
    constructor(options: EntryOptions) {
        this.#options = options;
        this.#self = (options.processId ?? "entry") as EntryId;
        this.#log =
            options.logger ?? createLogger({ process: this.#self, zone: options.zone ?? "local" });
        this.metrics = createEntryMetrics();
        const deployment = options.deployment ?? createStandaloneDeployment(options, this.#self);
        this.#layout = createLayout(deployment, options.inventory);
        this.#network = new PeerNetwork({
            findAddress: (id) => deployment.members.find((m) => m.id === id)?.address,
        });
        this.#gossip = new Gossip({
            self: this.#self,
            members: deployment.members.map((m) => m.id),
            startedAtMs: Date.now(),
            random: Math.random,
        });
        const memberOptions = {
            self: this.#self,
            incarnation: loadIncarnation({
                dataDir: options.dataDir,
                bootstrap: options.bootstrap ?? options.deployment === undefined,
            }),
            network: this.#network,
            dataDir: options.dataDir,
            timings: deployment.timings,
            batchWindowMs: options.syncWindowMs,
            snapshotIntervalEntries: options.snapshotIntervalEntries,
            log: this.#log,
        };
        this.#config = new ConfigGroup({
            ...memberOptions,
            group: this.#layout.config,
            rules: options.rules,
        });
        for (const group of this.#layout.groups) {
            if ([...group.voters, ...group.learners].includes(this.#self)) {
                const zone = new ZoneGroup({
                    ...memberOptions,
                    group,
                    layout: this.#layout,
                    config: this.#config,
                    inventory: options.inventory,
                    rules: options.rules,
                    leaseTtlMs: options.leaseTtlMs,
                    leaseGraceMs: options.leaseGraceMs,
                    tickMs: options.tickMs,
                    metrics: this.metrics,
                    listGroupCapacities: (service) => this.#listGroupCapacities(group.id, service),
                    sendAdopt: (to, items) => this.#sendAdopt(group.id, to, items),
                    onFinal: (request) => this.#waiters.wake(request),
                });
                this.#zones.set(group.id, zone);
            }
        }
        this.#router = new CallRouter({
            self: this.#self,
            network: this.#network,
            gossip: this.#gossip,
            getMember: (group) => this.#getMember(group),
            runLocal: (group, method, params) => this.#runLocal(group, method, params),
        });
    }

    /**
     * The cell of the first zone replica; for read-only use in tests and tools.
     *
     * @throws {Error} If this instance has no zone replica.
     */
    get cell(): Cell {
        const [zone] = this.#zones.values();
        if (zone === undefined) {
            throw new Error(`${this.#self} has no zone replica`);
        }
        return zone.cell;
    }

    /** Whether this instance leads every group that it has a replica of. */
    get isServing(): boolean {
        return (
            this.#config.member.isServing &&
            [...this.#zones.values()].every((zone) => zone.isServing)
        );
    }

    /**
     * Starts the server, the replicas and gossip. A standalone instance waits until it leads; in a
     * deployment, elections may still be in progress on return.
     *
     * @returns The address that the instance listens on.
     */
    async start(): Promise<string> {
        this.#server = await startRpcServer({
            host: this.#options.host,
            port: this.#options.port,
            methods: this.#createMethods(),
            routes: {
                "/metrics": async (_req, res) => {
                    await this.#updateGauges();
                    res.writeHead(200, { "content-type": this.metrics.registry.contentType }).end(
                        await this.metrics.registry.metrics(),
                    );
                },
                "/healthz": (_req, res) => void res.writeHead(200).end("ok"),
                "/readyz": (_req, res) => {
                    const isReady = this.#isReady();
                    res.writeHead(isReady ? 200 : 503).end(isReady ? "ready" : "not ready");
                },
            },
        });
        this.#config.member.start();
        for (const zone of this.#zones.values()) {
            zone.member.start();
        }
        this.#startGossip();
        if (this.#options.deployment === undefined) {
            await this.#waitForLeadership();
        }
        this.#isAccepting = true;
        this.#log.info("listening", { address: this.#server.address });
        return this.#server.address;
    }

    /**
     * Shuts down gracefully: fails the readiness check, refuses new submits, answers waiting
     * callers with the current state, completes the calls in flight, then stops the replicas.
     */
    async stop(): Promise<void> {
        this.#isAccepting = false;
        this.#log.info("stopping", { inFlight: this.#server?.inFlight() ?? 0 });
        this.#waiters.wakeAll();
        this.#updateGossip();
        await this.#sendGossip();
        await this.#server?.close();
        this.#gossipSubscription?.unsubscribe();
        await Promise.all([
            ...[...this.#zones.values()].map((zone) => zone.stop()),
            this.#config.member.stop(),
        ]);
        this.#network.close();
        this.#log.info("stopped", {});
    }

    #createMethods(): Record<string, (params: unknown) => unknown> {
        return {
            "request.submit": (params) => this.#handleSubmit(params),
            "request.fate": (params) => this.#getRequestStatus(params),
            "request.wait": (params) => this.#waitForRequest(params),
            "request.cancel": (params) => this.#routeRequest("request.cancel", params),
            "instance.drain": (params) => this.#routeInstance("instance.drain", params),
            "instance.undrain": (params) => this.#routeInstance("instance.undrain", params),
            "rules.set": (params) => this.#router.route(this.#layout.config, "rules.set", params),
            "cell.status": () => this.#describeStatus(),
            ...new WorkerApi({
                layout: this.#layout,
                inventory: this.#options.inventory,
                getZone: (group) => this.#zones.get(group),
                findLeader: (group) => this.#gossip.findLeader(group, performance.now()),
                log: this.#log,
            }).createMethods(),
            ...new PeerApi({
                getMember: (group) => this.#getMember(group),
                router: this.#router,
                gossip: this.#gossip,
            }).createMethods(),
        };
    }

    // Calls from callers and operators.

    async #handleSubmit(params: unknown): Promise<unknown> {
        if (!this.#isAccepting) {
            throw new MethodError(
                "this entry instance is shutting down; resend to another entry instance",
                SHUTTING_DOWN_CODE,
            );
        }
        const { spec } = parseParams(submitSchema, params);
        const homeGroup = this.#layout.findHomeGroup(
            spec.caller,
            createId<ServiceId>(spec.service),
        );
        return this.#router.route(homeGroup, "request.submit", params);
    }

    /**
     * Returns a request's status. A final status never changes, so any replica can return it; any
     * other comes from the leader, because a replica may lag.
     */
    async #getRequestStatus(params: unknown): Promise<RequestStatus> {
        const local = this.#findLocalStatus(params);
        if (local?.final === true) {
            return local;
        }
        return (await this.#routeRequest("request.fate", params)) as RequestStatus;
    }

    /**
     * Waits until the request is final or the timeout elapses. The local replica wakes the wait, so
     * that the leader need not hold every caller's connection.
     */
    async #waitForRequest(params: unknown): Promise<RequestStatus> {
        const { timeoutMs } = parseParams(requestRefSchema, params);
        const deadlineMs = performance.now() + timeoutMs;
        const current = this.#findLocalStatus(params) ?? (await this.#getRequestStatus(params));
        if (current.final || timeoutMs === 0 || !this.#isAccepting) {
            return current.final ? current : this.#getRequestStatus(params);
        }
        if (this.#findReplica(current.requestId) === undefined) {
            return this.#pollRequest(current.requestId, deadlineMs);
        }
        await this.#waiters.wait(current.requestId, timeoutMs, () => {
            return this.#findLocalStatus(params)?.final ?? false;
        });
        return this.#getRequestStatus(params);
    }

    /**
     * Waits for a request whose group has no local replica, by long polling its leader, which
     * avoids transferring the request's whole history repeatedly.
     */
    async #pollRequest(id: RequestId, deadlineMs: number): Promise<RequestStatus> {
        for (;;) {
            const remainingMs = Math.max(0, deadlineMs - performance.now());
            const timeoutMs = this.#isAccepting ? Math.min(remainingMs, MAX_FORWARDED_WAIT_MS) : 0;
            const params = { requestId: id, timeoutMs };
            const status = (await this.#routeRequest("request.wait", params)) as RequestStatus;
            if (status.final || timeoutMs === 0) {
                return status;
            }
        }
    }

    #findLocalStatus(params: unknown): RequestStatus | undefined {
        const ref = parseParams(requestRefSchema, params);
        for (const zone of this.#zones.values()) {
            const id =
                ref.requestId !== undefined
                    ? createId<RequestId>(ref.requestId)
                    : zone.cell.findRequestIdByKey(ref.caller ?? "", ref.key ?? "");
            const status = id === undefined ? undefined : zone.cell.describeRequest(id);
            if (status !== undefined) {
                return status;
            }
        }
        return undefined;
    }

    #findReplica(id: RequestId): ZoneGroup | undefined {
        const owner = this.#layout.findOwnerGroup(id);
        return owner === undefined ? undefined : this.#zones.get(owner.id);
    }

    /** Routes by request id; a reference by key is tried in every home group of the caller. */
    async #routeRequest(method: string, params: unknown): Promise<unknown> {
        const ref = parseParams(requestRefSchema, params);
        if (ref.requestId !== undefined) {
            const owner = this.#layout.findOwnerGroup(ref.requestId);
            if (owner === undefined) {
                throw createNotFoundError();
            }
            return this.#router.route(owner, method, params);
        }
        if (ref.caller === undefined || ref.key === undefined) {
            throw createNotFoundError();
        }
        const { caller } = ref;
        const homeGroups = new Set(
            this.#options.inventory.services.map((s) => this.#layout.findHomeGroup(caller, s.id)),
        );
        let lastError: unknown = createNotFoundError();
        for (const homeGroup of homeGroups) {
            try {
                return await this.#router.route(homeGroup, method, params);
            } catch (error) {
                if ((error as { code?: number }).code !== NOT_FOUND_CODE) {
                    lastError = error;
                }
            }
        }
        throw lastError;
    }

    #routeInstance(method: string, params: unknown): Promise<unknown> {
        const { instance } = parseParams(drainSchema, params);
        const zone = this.#options.inventory.instances.find((i) => i.id === instance)?.zone;
        const group = this.#layout.findZoneGroup(zone);
        if (group === undefined) {
            return Promise.resolve({ drained: false });
        }
        return this.#router.route(group, method, params);
    }

    // Calls that this instance executes as the leader of a group.

    async #runLocal(group: GroupId, method: string, params: unknown): Promise<unknown> {
        try {
            if (group === this.#layout.config.id) {
                return await this.#runConfigMethod(method, params);
            }
            return await this.#runZoneMethod(this.#getZone(group), method, params);
        } catch (error) {
            throw toMethodError(group, error);
        }
    }

    async #runConfigMethod(method: string, params: unknown): Promise<unknown> {
        if (method !== "rules.set") {
            throw new MethodError(`unknown method ${method}`, -32601);
        }
        const { change } = parseParams(rulesChangeSchema, params);
        const problems = await this.#listRulesProblems(change);
        const result = await this.#config.setRules(change, problems);
        // Zones led by this instance adopt the rules before the operator gets the result; other
        // zones adopt them in the next tick of their leader.
        await Promise.all([...this.#zones.values()].map((z) => z.adoptRules())).catch(
            (error: Error) =>
                this.#log.warn("failed to adopt new rules; the zone leader retries", {
                    error: error.message,
                }),
        );
        return result;
    }

    /**
     * Asks every zone's group to validate the rules. An unreachable zone reports no problems: it
     * keeps removed kinds for the requests that still use them.
     */
    async #listRulesProblems(change: RulesChange): Promise<string[]> {
        const answers = await Promise.all(
            this.#layout.groups.map(async (group) => {
                const { rules } = change;
                return this.#router
                    .route(group, "rules.check", { rules })
                    .catch(() => []) as Promise<string[]>;
            }),
        );
        return [...new Set(answers.flat())];
    }

    async #runZoneMethod(zone: ZoneGroup, method: string, params: unknown): Promise<unknown> {
        switch (method) {
            case "request.submit": {
                const { spec } = parseParams(submitSchema, params);
                return zone.submit({
                    ...spec,
                    service: createId<ServiceId>(spec.service),
                    customer: createId<CustomerId>(spec.customer),
                });
            }
            case "request.wait":
                return this.#waitLocal(zone.cell, params);
            case "request.fate":
                return zone.cell.describeRequest(findRequest(zone.cell, params));
            case "request.cancel":
                return zone.cancel(findRequest(zone.cell, params));
            case "instance.drain":
            case "instance.undrain": {
                const { instance } = parseParams(drainSchema, params);
                const type = method === "instance.drain" ? "drain" : "undrain";
                const isKnown = await zone.drain(type, createId<InstanceId>(instance));
                return { drained: isKnown && type === "drain" };
            }
            case "zone.adopt": {
                const { from, items } = parseParams(adoptSchema, params);
                return zone.adopt(from as GroupId, items as unknown as AdoptItem[]);
            }
            case "rules.check":
                return zone.cell.listRulesProblems(parseParams(rulesCheckSchema, params).rules);
            default:
                throw new MethodError(`unknown method ${method}`, -32601);
        }
    }

    /** Lists the other groups with workers of a service, with their last announced free cores. */
    #listGroupCapacities(ownGroup: GroupId, service: string): GroupCapacity[] {
        const zones = this.#options.inventory.services.find((s) => s.id === service)?.zones ?? [];
        const nowMs = performance.now();
        return this.#layout.groups
            .filter((g) => g.id !== ownGroup && g.zones.some((z) => zones.includes(z)))
            .map((g) => ({ group: g.id, freeCores: this.#gossip.getFreeCores(g.id, nowMs) }));
    }

    #sendAdopt(
        from: GroupId,
        to: GroupId,
        items: readonly AdoptItem[],
    ): Promise<readonly AdoptAnswer[]> {
        const group = this.#layout.groups.find((g) => g.id === to);
        if (group === undefined) {
            return Promise.reject(new Error(`group ${to} is not in the deployment`));
        }
        const params = { from, items };
        return this.#router.route(group, "zone.adopt", params) as Promise<AdoptAnswer[]>;
    }

    async #waitLocal(cell: Cell, params: unknown): Promise<RequestStatus | undefined> {
        const id = findRequest(cell, params);
        const { timeoutMs } = parseParams(requestRefSchema, params);
        const isFinal = (): boolean => cell.describeRequest(id)?.final ?? false;
        await this.#waiters.wait(id, this.#isAccepting ? timeoutMs : 0, isFinal);
        return cell.describeRequest(id);
    }

    #getZone(group: GroupId): ZoneGroup {
        const zone = this.#zones.get(group);
        if (zone === undefined) {
            throw createNoLeaderError(group, "not_accepted");
        }
        return zone;
    }

    #startGossip(): void {
        this.#gossipSubscription = interval(GOSSIP_INTERVAL_MS).subscribe(() => {
            this.#updateGossip();
            void this.#sendGossip();
        });
    }

    #updateGossip(): void {
        const leadClaims: LeadershipClaim[] = [];
        for (const [group, zone] of this.#zones) {
            if (zone.isServing) {
                const { term } = zone.member.replica;
                leadClaims.push({ group, term, freeCores: zone.freeCores });
            }
        }
        if (this.#config.member.isServing) {
            const { term } = this.#config.member.replica;
            leadClaims.push({ group: this.#layout.config.id, term, freeCores: 0 });
        }
        this.#gossip.setLocalState(leadClaims, !this.#isAccepting);
    }

    async #sendGossip(): Promise<void> {
        const peers = this.#gossip.tick(performance.now());
        const table = this.#gossip.listEntries();
        await Promise.all(
            peers.map(async (peer) => {
                const answer = await this.#network
                    .getClient(peer)
                    ?.call<ReturnType<Gossip["listEntries"]>>("peer.gossip", { table })
                    .catch(() => undefined);
                if (answer !== undefined) {
                    this.#gossip.receive(answer, performance.now());
                }
            }),
        );
    }

    // Status.

    #getMember(group: GroupId): (LocalMember & PeerMember) | undefined {
        return group === this.#layout.config.id
            ? this.#config.member
            : this.#zones.get(group)?.member;
    }

    /** Returns whether this instance accepts work and all its zone groups have a known leader. */
    #isReady(): boolean {
        return (
            this.#isAccepting &&
            [...this.#zones.values()].every((z) => z.isServing || z.member.leader !== undefined)
        );
    }

    async #waitForLeadership(): Promise<void> {
        const deadlineMs = performance.now() + START_TIMEOUT_MS;
        while (!this.isServing && performance.now() < deadlineMs) {
            await new Promise((resolve) => setTimeout(resolve, 2));
        }
    }

    #describeStatus(): EntryStatus {
        const serverBytes = this.#server?.bytes() ?? { received: 0, sent: 0 };
        return describeStatus({
            self: this.#self,
            isReady: this.#isReady(),
            rulesVersion: this.#config.rules.version,
            zones: this.#zones,
            config: this.#config,
            gossip: this.#gossip,
            members: this.#options.deployment?.members.map((m) => m.id) ?? [this.#self],
            bytes: [
                serverBytes,
                this.#network.bytes,
                ...[...this.#zones.values()].map((z) => z.workerBytes),
            ],
        });
    }

    async #updateGauges(): Promise<void> {
        const status = this.#describeStatus();
        this.metrics.leasedCoresRatio.set(status.packingCores);
        this.metrics.queuedRequests.set(status.requests["queued"] ?? 0);
    }
}

function createStandaloneDeployment(options: EntryOptions, self: EntryId): Deployment {
    const [zone] = options.inventory.zones;
    return {
        members: [
            {
                id: self,
                zone: zone as Deployment["members"][number]["zone"],
                address: "127.0.0.1:0",
                hasDisk: true,
            },
        ],
        groups: [{ id: STANDALONE_GROUP, zones: options.inventory.zones }],
        callers: new Map(),
        timings: DEFAULT_TIMINGS,
    };
}

function createNotFoundError(): MethodError {
    return new MethodError("no such request: give requestId, or caller and key", NOT_FOUND_CODE);
}

function findRequest(cell: Cell, params: unknown): RequestId {
    const ref = parseParams(requestRefSchema, params);
    const id =
        ref.requestId !== undefined
            ? createId<RequestId>(ref.requestId)
            : cell.findRequestIdByKey(ref.caller ?? "", ref.key ?? "");
    if (id === undefined || cell.describeRequest(id) === undefined) {
        throw createNotFoundError();
    }
    return id;
}
