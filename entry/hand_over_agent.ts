/**
 * Hands waiting requests over to other zones' groups with free capacity, and polls those groups
 * until every request is final. Runs on the leader.
 *
 * @example
 * ```ts
 * import { HandOverAgent } from "./hand_over_agent.ts";
 * const agent = new HandOverAgent({ group, cell, listGroupCapacities, sendAdopt, propose });
 * agent.runRound(nowMs);
 * ```
 *
 * @module
 */

import {
    HANDED_OVER_CALLER_PREFIX,
    type Cell,
    type CellInput,
    type Effect,
    type HandOver,
    type HandOverResult,
    type RequestSpec,
} from "../cell/mod.ts";
import type { RequestId } from "../inventory/mod.ts";
import type { GroupId } from "../log/mod.ts";

/** A request that is handed over to another group. */
export interface AdoptItem {
    readonly key: string;
    readonly isCancelled: boolean;
    /** Omitted when only polling the request's state. */
    readonly spec: RequestSpec | undefined;
}

/**
 * State of a request in the other group: `unknown` for an unknown key without a spec, `open` until
 * the request is final, then the full result.
 */
export type AdoptAnswer = "unknown" | "open" | HandOverResult;

/** Free capacity of another group. */
export interface GroupCapacity {
    readonly group: GroupId;
    readonly freeCores: number;
}

/** Options of {@link HandOverAgent}. */
export interface HandOverAgentOptions {
    readonly group: GroupId;
    readonly cell: Cell;
    /** Lists the other groups that run a service, with their last announced capacity. */
    readonly listGroupCapacities: (service: string) => readonly GroupCapacity[];
    /** Sends requests to a group's leader; returns one answer per item, in order. */
    readonly sendAdopt: (
        to: GroupId,
        items: readonly AdoptItem[],
    ) => Promise<readonly AdoptAnswer[]>;
    readonly propose: (createInput: (at: number) => CellInput) => Promise<unknown>;
}

interface PendingHandOver {
    handOver: HandOver;
    /** Whether the other group has confirmed the key. */
    isKnown: boolean;
}

const ROUND_INTERVAL_MS = 100;
const POLL_INTERVAL_MS = 200;
const MAX_HAND_OVERS_PER_ROUND = 64;
/** Share of a group's announced capacity to use in one round; other groups may use it too. */
const MAX_CAPACITY_SHARE = 0.5;
/** Time after which the other group returns a request that it cannot place, in ms. */
const ADOPTED_MAX_WAIT_MS = 1_000;

/** Hands over and polls one group's requests while this instance leads the group. */
export class HandOverAgent {
    readonly #options: HandOverAgentOptions;
    readonly #pending = new Map<RequestId, PendingHandOver>();
    #nextRoundAtMs = 0;
    #nextPollAtMs = 0;
    #isPolling = false;

    /**
     * @param options See {@link HandOverAgentOptions}.
     */
    constructor(options: HandOverAgentOptions) {
        this.#options = options;
    }

    /** Clears all state on loss of leadership. */
    close(): void {
        this.#pending.clear();
    }

    /**
     * Records a request that another group must adopt or cancel.
     *
     * @param effect The hand-over effect from the cell.
     */
    handleEffect(effect: Extract<Effect, { type: "handOver" }>): void {
        const previous = this.#pending.get(effect.request);
        const isSame = previous?.handOver.key === effect.handOver.key;
        this.#pending.set(effect.request, {
            handOver: effect.handOver,
            isKnown: isSame && previous.isKnown,
        });
    }

    /**
     * Starts new hand-overs and polls the pending ones, if due.
     *
     * @param nowMs The cell's time, in ms.
     */
    runRound(nowMs: number): void {
        if (nowMs < this.#nextRoundAtMs) {
            return;
        }
        this.#nextRoundAtMs = nowMs + ROUND_INTERVAL_MS;
        this.#startHandOvers(nowMs);
        const isDue =
            nowMs >= this.#nextPollAtMs || [...this.#pending.values()].some((p) => !p.isKnown);
        if (this.#pending.size > 0 && isDue && !this.#isPolling) {
            this.#nextPollAtMs = nowMs + POLL_INTERVAL_MS;
            this.#isPolling = true;
            void this.#sendPending().finally(() => {
                this.#isPolling = false;
            });
        }
    }

    #startHandOvers(nowMs: number): void {
        const assignedCores = new Map<GroupId, number>();
        for (const request of this.#options.cell.listHandOverCandidates(
            nowMs,
            MAX_HAND_OVERS_PER_ROUND,
        )) {
            const { service, demand, count } = request.spec;
            const cores = demand.cores * count;
            const target = this.#options
                .listGroupCapacities(service)
                .map((capacity) => ({
                    group: capacity.group,
                    availableCores:
                        capacity.freeCores * MAX_CAPACITY_SHARE -
                        (assignedCores.get(capacity.group) ?? 0),
                }))
                .sort((a, b) => b.availableCores - a.availableCores)[0];
            if (target === undefined || target.availableCores < cores) {
                continue;
            }
            assignedCores.set(target.group, (assignedCores.get(target.group) ?? 0) + cores);
            const { id } = request;
            this.#options
                .propose((now) => ({ type: "handOver", at: now, request: id, to: target.group }))
                .catch(() => undefined);
        }
    }

    async #sendPending(): Promise<void> {
        const byGroup = new Map<string, [RequestId, PendingHandOver][]>();
        for (const [id, pending] of this.#pending) {
            const entries = byGroup.get(pending.handOver.to) ?? [];
            entries.push([id, pending]);
            byGroup.set(pending.handOver.to, entries);
        }
        await Promise.all([...byGroup].map(([to, list]) => this.#sendToGroup(to as GroupId, list)));
    }

    async #sendToGroup(
        to: GroupId,
        entries: readonly [RequestId, PendingHandOver][],
    ): Promise<void> {
        const items = entries.map(([id, pending]) => this.#createItem(id, pending));
        const answers = await this.#options.sendAdopt(to, items).catch(() => undefined);
        if (answers === undefined) {
            // The group is unreachable or has no leader. Its requests may be running there, so they
            // stay handed over until it answers.
            return;
        }
        entries.forEach(([id, pending], i) => {
            const answer = answers[i];
            pending.isKnown = answer !== undefined && answer !== "unknown";
            if (typeof answer === "object") {
                this.#handleResult(id, pending.handOver.key, answer);
            }
        });
    }

    #createItem(id: RequestId, pending: PendingHandOver): AdoptItem {
        const { key, isCancelled } = pending.handOver;
        const spec = pending.isKnown ? undefined : this.#options.cell.findSpec(id);
        return {
            key,
            isCancelled,
            spec:
                spec === undefined
                    ? undefined
                    : {
                          ...spec,
                          caller: `${HANDED_OVER_CALLER_PREFIX}${this.#options.group}`,
                          key,
                          maxWaitMs: ADOPTED_MAX_WAIT_MS,
                      },
        };
    }

    #handleResult(request: RequestId, key: string, answer: HandOverResult): void {
        this.#options
            .propose((at) => ({ type: "handOverResult", at, request, key, answer }))
            .then(() => {
                if (this.#pending.get(request)?.handOver.key === key) {
                    this.#pending.delete(request);
                }
            })
            .catch(() => undefined);
    }
}
