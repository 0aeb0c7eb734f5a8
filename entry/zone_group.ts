/**
 * A zone's group on one entry instance: a replica of the zone's cell. While this instance leads, it
 * also ticks the cell, handles worker heartbeats and reports, offers leases and adopts new rules.
 *
 * @example
 * ```ts
 * import { ZoneGroup } from "./zone_group.ts";
 * const group = new ZoneGroup({ ...memberOptions, layout, inventory, rules, config });
 * const status = await group.submit(spec);
 * ```
 *
 * @module
 */

import { interval, type Subscription } from "rxjs";
import {
    HANDED_OVER_CALLER_PREFIX,
    Cell,
    KeyConflictError,
    type RequestStatus,
    type CellInput,
    type CellOptions,
    type Effect,
    type HeldLease,
    type RequestSpec,
    type TaskReport,
} from "../cell/mod.ts";
import type { InstanceId, Inventory, LeaseId, RequestId } from "../inventory/mod.ts";
import type { GroupId } from "../log/mod.ts";
import {
    createGroupInventory,
    createIdPrefix,
    type GroupLayout,
    type Layout,
} from "../membership/mod.ts";
import { MethodError } from "../rpc/mod.ts";
import { createWorkerState, type WorkerState } from "../scheduler/mod.ts";
import type { EntryMetrics } from "../telemetry/mod.ts";
import type { ConfigGroup } from "./config_group.ts";
import { KEY_CONFLICT_CODE } from "./errors.ts";
import {
    HandOverAgent,
    type AdoptAnswer,
    type AdoptItem,
    type HandOverAgentOptions,
} from "./hand_over_agent.ts";
import { GroupMember, LeaderClock, type GroupMemberOptions } from "../group/mod.ts";
import { LeaseDispatcher } from "./lease_dispatcher.ts";

/** The result of applying an input, or why it failed; identical on every replica. */
type CellResult =
    { readonly value: unknown } | { readonly conflict: string } | { readonly failure: string };

/** Options of {@link ZoneGroup}. */
export interface ZoneGroupOptions
    extends Omit<GroupMemberOptions<CellInput, CellResult>, "machine">, CellOptions {
    readonly layout: Layout;
    readonly config: ConfigGroup;
    readonly metrics: EntryMetrics;
    readonly tickMs?: number;
    /** Heartbeats that arrive within this window, in ms, share one renewal entry. */
    readonly renewWindowMs?: number;
    /** See {@link HandOverAgentOptions}. */
    readonly listGroupCapacities: HandOverAgentOptions["listGroupCapacities"];
    /** See {@link HandOverAgentOptions}. */
    readonly sendAdopt: HandOverAgentOptions["sendAdopt"];
    /** Called when a request becomes final on this replica. */
    readonly onFinal: (request: RequestId) => void;
}

/** A worker's heartbeat. */
export interface Heartbeat {
    readonly instance: InstanceId;
    readonly incarnation: string;
    /** Time of sending by the worker's clock, in ms. */
    readonly sentAt: number;
    readonly leases: readonly HeldLease[];
}

/** A worker's report on the task of a lease. */
export interface LeaseReport {
    readonly lease: LeaseId;
    readonly epoch: number;
    readonly report: TaskReport;
    readonly detail: string;
}

/** The response to a batch of heartbeats. */
export interface HeartbeatResponse {
    /** Workers that must announce themselves again: unknown, or of another incarnation. */
    readonly announce: readonly InstanceId[];
    /** Leases that ended or are to stop; the worker stops their tasks and does not renew them. */
    readonly ended: readonly LeaseId[];
}

const DEFAULT_TICK_INTERVAL_MS = 10;
const DEFAULT_RENEW_WINDOW_MS = 100;

/** Replica of a zone's group, with the leader's duties. */
export class ZoneGroup {
    readonly #options: ZoneGroupOptions;
    readonly #clock = new LeaderClock();
    readonly #dispatcher: LeaseDispatcher;
    readonly #handOvers: HandOverAgent;
    readonly cell: Cell;
    readonly member: GroupMember<CellInput, CellResult>;
    #tickSubscription: Subscription | undefined;
    #isTicking = false;
    #lastTickAtMs = 0;
    #rulesAdoption: Promise<unknown> | undefined;
    #renewingWorkers = new Set<InstanceId>();
    #renewal: Promise<unknown> | undefined;

    /**
     * @param options Layout, inventory, rules, timings; see {@link ZoneGroupOptions}.
     */
    constructor(options: ZoneGroupOptions) {
        this.#options = options;
        const { group, layout } = options;
        this.cell = new Cell({
            ...options,
            inventory: createGroupInventory(options.inventory, group),
            idPrefix: createIdPrefix(layout, group),
            quotaShare: group.quotaShare,
            otherZoneWorkers: layout.groups
                .filter((other) => other.id !== group.id)
                .map((other) => createWorkerStates(options.inventory, other)),
        });
        this.#handOvers = new HandOverAgent({
            group: group.id,
            cell: this.cell,
            listGroupCapacities: options.listGroupCapacities,
            sendAdopt: options.sendAdopt,
            propose: (createInput) => this.#propose(createInput),
        });
        this.#dispatcher = new LeaseDispatcher({
            isServing: () => this.isServing,
            onDeclined: (lease, reason) =>
                void this.#propose((at) => ({
                    type: "grantReply",
                    at,
                    lease,
                    accepted: false,
                    reason,
                })).catch(() => undefined),
            log: options.log,
        });
        this.member = new GroupMember({
            ...options,
            machine: {
                apply: (input) => this.#applyInput(input),
                encode: () => this.cell.encode(),
                restore: (state) => this.cell.restore(state),
            },
            createExtraCommands: (inputs) => this.#createBatchTick(inputs),
            onApplied: () => this.#handleEffects(this.cell.takeEffects()),
            onLeadershipGained: () => this.#startLeading(),
            onLeadershipLost: () => this.#stopLeading(),
            onPersisted: (tookMs) => options.metrics.logSyncSeconds.observe(tookMs / 1_000),
        });
    }

    /** Whether this instance leads the group and holds the leader lease. */
    get isServing(): boolean {
        return this.member.isServing;
    }

    /** Bytes sent and received by calls to workers. */
    get workerBytes(): { received: number; sent: number } {
        return this.#dispatcher.bytes;
    }

    /** Stops the replica and the leader's duties. */
    async stop(): Promise<void> {
        await this.member.stop();
        this.#stopLeading();
    }

    /**
     * Submits a request; resolves once a quorum has stored it durably.
     *
     * @param spec The request.
     * @returns The request's status after the commit.
     * @throws {MethodError} With {@link KEY_CONFLICT_CODE} if the key belongs to another request.
     * @throws {NotLeaderError} If this instance does not lead the group.
     * @throws {OutcomeUnknownError} If leadership ended and the input may still be applied.
     */
    async submit(spec: RequestSpec): Promise<RequestStatus> {
        return (await this.#propose((at) => ({ type: "submit", at, spec }))) as RequestStatus;
    }

    /**
     * Cancels a request.
     *
     * @param request The request.
     * @returns The request's status, or `undefined` for an unknown id.
     * @throws {NotLeaderError} If this instance does not lead the group.
     * @throws {OutcomeUnknownError} If leadership ended and the input may still be applied.
     */
    async cancel(request: RequestId): Promise<RequestStatus | undefined> {
        return (await this.#propose((at) => ({ type: "cancel", at, request }))) as
            RequestStatus | undefined;
    }

    /**
     * Starts or ends an operator's drain of an instance.
     *
     * @param type Whether to start or to end the drain.
     * @param instance The instance.
     * @returns False for an unknown instance.
     * @throws {NotLeaderError} If this instance does not lead the group.
     * @throws {OutcomeUnknownError} If leadership ended and the input may still be applied.
     */
    async drain(type: "drain" | "undrain", instance: InstanceId): Promise<boolean> {
        return (await this.#propose((at) => ({ type, at, instance }))) as boolean;
    }

    /**
     * Adopts requests that another zone's group hands over, and returns the state of each.
     *
     * @param from The group that hands the requests over.
     * @param items The requests.
     * @returns One answer per request, in order.
     * @throws {NotLeaderError} If this instance does not lead the group.
     * @throws {OutcomeUnknownError} If leadership ended and the input may still be applied.
     */
    adopt(from: GroupId, items: readonly AdoptItem[]): Promise<AdoptAnswer[]> {
        return Promise.all(items.map((item) => this.#adoptItem(from, item)));
    }

    async #adoptItem(from: GroupId, item: AdoptItem): Promise<AdoptAnswer> {
        const knownRequest = this.cell.findRequestIdByKey(
            `${HANDED_OVER_CALLER_PREFIX}${from}`,
            item.key,
        );
        if (knownRequest === undefined && item.spec === undefined) {
            return "unknown";
        }
        let answer =
            knownRequest === undefined
                ? await this.submit(item.spec as RequestSpec)
                : this.cell.describeRequest(knownRequest);
        if (answer !== undefined && item.isCancelled && !answer.final) {
            answer = await this.cancel(answer.requestId);
        }
        if (answer?.final !== true) {
            return "open";
        }
        const { requestId, state, started, mayHaveRun, startedAt, reason } = answer;
        return { requestId, state, started, mayHaveRun, startedAt, reason };
    }

    /**
     * Writes the configuration group's newest rules to this group's log, if this instance leads.
     */
    async adoptRules(): Promise<void> {
        const { config } = this.#options;
        if (!this.isServing || config.rules.version <= this.cell.rules.version) {
            return;
        }
        this.#rulesAdoption ??= this.#propose((at) => ({
            type: "adoptRules",
            at,
            rules: config.rulesFile,
        })).finally(() => {
            this.#rulesAdoption = undefined;
        });
        await this.#rulesAdoption;
    }

    /** Free cores to announce to the other groups; 0 on followers. */
    get freeCores(): number {
        return this.isServing ? this.cell.computeFreeCores(this.#clock.getNow()) : 0;
    }

    /**
     * Registers workers.
     *
     * @param workers The workers, with the address and incarnation of their process.
     * @throws {NotLeaderError} If this instance does not lead the group.
     * @throws {OutcomeUnknownError} If leadership ended and the input may still be applied.
     */
    async announceWorkers(
        workers: readonly {
            readonly instance: InstanceId;
            readonly address: string;
            readonly incarnation: string;
            readonly sentAt: number;
        }[],
    ): Promise<void> {
        await Promise.all(
            workers.map(({ instance, address, incarnation }) =>
                this.#propose((at) => ({ type: "announce", at, instance, address, incarnation })),
            ),
        );
        workers.forEach((w) => this.#dispatcher.recordHeartbeat(w.instance, w.sentAt));
        this.#dispatcher.sendDeferred();
    }

    /**
     * Stops placing work on workers that shut down.
     *
     * @param instances The workers' instances.
     * @throws {NotLeaderError} If this instance does not lead the group.
     * @throws {OutcomeUnknownError} If leadership ended and the input may still be applied.
     */
    async handleLeaving(instances: readonly InstanceId[]): Promise<void> {
        await Promise.all(
            instances.map((instance) => this.#propose((at) => ({ type: "leave", at, instance }))),
        );
    }

    /**
     * Handles heartbeats and renews leases. The response is sent only after the renewal is
     * committed, so a replaced leader cannot extend a lease that its successor has reassigned.
     *
     * @param heartbeats The heartbeats.
     * @returns The workers that must announce themselves and the leases to stop.
     * @throws {NotLeaderError} If this instance does not lead the group.
     * @throws {OutcomeUnknownError} If leadership ended and the input may still be applied.
     */
    async handleHeartbeats(heartbeats: readonly Heartbeat[]): Promise<HeartbeatResponse> {
        const announce: InstanceId[] = [];
        const proposals: Promise<unknown>[] = [];
        for (const beat of heartbeats) {
            const worker = this.cell.findWorker(beat.instance);
            if (worker?.address === undefined || worker.incarnation !== beat.incarnation) {
                announce.push(beat.instance);
                continue;
            }
            proposals.push(
                this.cell.isRenewal(beat.instance, beat.leases)
                    ? this.#renew(beat.instance)
                    : this.#propose((at) => ({
                          type: "heartbeat",
                          at,
                          instance: beat.instance,
                          leases: beat.leases,
                      })),
            );
        }
        await Promise.all(proposals);
        heartbeats.forEach((beat) => this.#dispatcher.recordHeartbeat(beat.instance, beat.sentAt));
        this.#dispatcher.sendDeferred();
        const ended = heartbeats.flatMap((beat) => this.cell.listLeasesToStop(beat.leases));
        return { announce, ended };
    }

    /**
     * Handles task reports.
     *
     * @param reports The reports, in chronological order.
     * @throws {NotLeaderError} If this instance does not lead the group.
     * @throws {OutcomeUnknownError} If leadership ended and the input may still be applied.
     */
    async handleReports(reports: readonly LeaseReport[]): Promise<void> {
        await Promise.all(
            reports.map((r) => this.#propose((at) => ({ ...r, type: "report", at }))),
        );
    }

    #renew(instance: InstanceId): Promise<unknown> {
        this.#renewingWorkers.add(instance);
        this.#renewal ??= new Promise((resolve, reject) => {
            setTimeout(() => {
                const workers = [...this.#renewingWorkers];
                this.#renewingWorkers = new Set();
                this.#renewal = undefined;
                this.#propose((at) => ({ type: "renew", at, workers })).then(resolve, reject);
            }, this.#options.renewWindowMs ?? DEFAULT_RENEW_WINDOW_MS);
        });
        return this.#renewal;
    }

    async #propose(createInput: (at: number) => CellInput): Promise<unknown> {
        const result = await this.member.replica.propose(createInput(this.#clock.getNow()));
        if ("conflict" in result) {
            throw new MethodError(result.conflict, KEY_CONFLICT_CODE);
        }
        if ("failure" in result) {
            throw new Error(result.failure);
        }
        return result.value;
    }

    /** Applies an input; an error becomes a failure result, identical on every replica. */
    #applyInput(input: CellInput): CellResult {
        try {
            return { value: this.cell.applyInput(input) };
        } catch (error) {
            if (error instanceof KeyConflictError) {
                return { conflict: error.message };
            }
            this.#options.log.error("failed to apply input", {
                type: input.type,
                error: (error as Error).stack,
            });
            return { failure: (error as Error).message };
        }
    }

    #startLeading(): void {
        this.#clock.start(this.cell.lastInputAtMs);
        this.#options.log.info("became leader", {
            group: this.#options.group.id,
            term: this.member.replica.term,
        });
        this.#options.metrics.leading.set({ group: this.#options.group.id }, 1);
        setImmediate(() => {
            this.#propose((at) => ({ type: "takeover", at })).catch(() => undefined);
        });
        this.#tickSubscription?.unsubscribe();
        this.#tickSubscription = interval(
            this.#options.tickMs ?? DEFAULT_TICK_INTERVAL_MS,
        ).subscribe(() => this.#runTick());
    }

    #stopLeading(): void {
        if (this.#tickSubscription !== undefined) {
            this.#options.log.info("stopped leading", { group: this.#options.group.id });
        }
        this.#tickSubscription?.unsubscribe();
        this.#tickSubscription = undefined;
        this.#options.metrics.leading.set({ group: this.#options.group.id }, 0);
        this.#dispatcher.close();
        this.#handOvers.close();
    }

    #runTick(): void {
        if (!this.isServing) {
            return;
        }
        this.#dispatcher.sendDeferred();
        this.adoptRules().catch(() => undefined);
        this.#handOvers.runRound(this.#clock.getNow());
        if (!this.#isTicking && this.cell.hasTickWork(this.#clock.getNow())) {
            this.#isTicking = true;
            this.#propose((at) => this.#createTick(at))
                .catch(() => undefined)
                .finally(() => {
                    this.#isTicking = false;
                });
        }
    }

    #createTick(nowMs: number): CellInput {
        this.#lastTickAtMs = nowMs;
        return { type: "tick", at: nowMs };
    }

    /** Adds a tick to a batch that may allow new placements, unless one ran within the interval. */
    #createBatchTick(inputs: readonly CellInput[]): CellInput[] {
        const nowMs = this.#clock.getNow();
        const isDue =
            nowMs - this.#lastTickAtMs >= (this.#options.tickMs ?? DEFAULT_TICK_INTERVAL_MS);
        const hasPlacementWork = inputs.some((i) => i.type === "submit" || i.type === "report");
        return isDue && hasPlacementWork ? [this.#createTick(nowMs)] : [];
    }

    /** Notifies waiters of final requests on every replica; other effects are for the leader. */
    #handleEffects(effects: readonly Effect[]): void {
        const isLeader = this.member.replica.role === "leader";
        const grants: Extract<Effect, { type: "grant" }>[] = [];
        const stops: Extract<Effect, { type: "stop" }>[] = [];
        for (const effect of effects) {
            if (effect.type === "final") {
                this.#options.onFinal(effect.request);
            }
            if (!isLeader) {
                continue;
            }
            switch (effect.type) {
                case "grant":
                    this.#options.metrics.placements.inc();
                    grants.push(effect);
                    break;
                case "stop":
                    stops.push(effect);
                    break;
                case "handOver":
                    this.#handOvers.handleEffect(effect);
                    break;
                default:
                    this.#recordEffect(effect);
            }
        }
        this.#dispatcher.sendGrants(grants);
        this.#dispatcher.sendStops(stops);
    }

    #recordEffect(effect: Extract<Effect, { type: "fate" | "started" | "final" }>): void {
        const { metrics, log } = this.#options;
        switch (effect.type) {
            case "fate":
                log.info(effect.event.event, {
                    request: effect.request,
                    detail: effect.event.detail,
                });
                return;
            case "started":
                metrics.waitSeconds.observe({ class: effect.className }, effect.waitMs / 1_000);
                return;
            case "final":
                metrics.finishedRequests.inc({ state: effect.state });
                return;
        }
    }
}

function createWorkerStates(inventory: Inventory, group: GroupLayout): WorkerState[] {
    const { instances, executors } = createGroupInventory(inventory, group);
    return instances.map((instance) => createWorkerState(instance, executors));
}
