/**
 * The leader's part in handing requests over to other zones' groups: choose requests that wait
 * and a group with room, tell that group, and ask after the requests until each has ended.
 *
 * @example
 * ```ts
 * import { HandOverAgent } from "./hand_over_agent.ts";
 * const agent = new HandOverAgent({ group, cell, listRoom, sendAdopt, propose });
 * agent.runRound(at);
 * ```
 *
 * @module
 */

import {
    ADOPTED_CALLER,
    type Cell,
    type CellInput,
    type Effect,
    type HandOver,
    type HandOverAnswer,
    type RequestSpec,
} from "../cell/mod.ts";
import type { RequestId } from "../inventory/mod.ts";
import type { GroupId } from "../log/mod.ts";

/** A request on its way to another group. */
export interface AdoptItem {
    readonly key: string;
    readonly isCancelled: boolean;
    /** Left out when only asking after it. */
    readonly spec: RequestSpec | undefined;
}

/**
 * How a request stands in the other group: `unknown` for a key that came without a request. Only
 * an end is told in full; what still runs is asked after often, and must stay short.
 */
export type AdoptAnswer = "unknown" | "open" | HandOverAnswer;

/** Another group's room. */
export interface GroupCapacity {
    readonly group: GroupId;
    readonly freeCores: number;
}

/** Options of {@link HandOverAgent}. */
export interface HandOverAgentOptions {
    readonly group: GroupId;
    readonly cell: Cell;
    /** Other groups that serve a service, with the room their leaders told of last. */
    readonly listGroupCapacities: (service: string) => readonly GroupCapacity[];
    /** Sends requests to a group's leader; answers per item. */
    readonly sendAdopt: (
        to: GroupId,
        items: readonly AdoptItem[],
    ) => Promise<readonly AdoptAnswer[]>;
    readonly propose: (createInput: (at: number) => CellInput) => Promise<unknown>;
}

interface PendingHandOver {
    handOver: HandOver;
    /** The other group has said that it knows the key. */
    isKnown: boolean;
}

const ROUND_INTERVAL_MS = 100;
/** How often the other groups are asked after what they have, in ms. */
const POLL_INTERVAL_MS = 200;
const MAX_HAND_OVERS_PER_ROUND = 64;
/** What the other group may take of its told room in one round: others may hand over too. */
const MAX_CAPACITY_SHARE = 0.5;
/** The other group gives a request back when it could not place it within this time, in ms. */
const ADOPTED_MAX_WAIT_MS = 1_000;

/** Hands over and asks after one group's requests, while its leader is here. */
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

    /** Forgets everything: another instance leads now. */
    close(): void {
        this.#pending.clear();
    }

    /**
     * Notes a request that another group is to take or withdraw.
     *
     * @param effect The cell's word.
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
     * Does what is due.
     *
     * @param at The cell's time, in ms.
     */
    runRound(at: number): void {
        if (at < this.#nextRoundAtMs) {
            return;
        }
        this.#nextRoundAtMs = at + ROUND_INTERVAL_MS;
        this.#startHandOvers(at);
        const isDue =
            at >= this.#nextPollAtMs || [...this.#pending.values()].some((p) => !p.isKnown);
        if (this.#pending.size > 0 && isDue && !this.#isPolling) {
            this.#nextPollAtMs = at + POLL_INTERVAL_MS;
            this.#isPolling = true;
            void this.#sendPending().finally(() => {
                this.#isPolling = false;
            });
        }
    }

    #startHandOvers(at: number): void {
        const assignedCores = new Map<GroupId, number>();
        for (const request of this.#options.cell.listWaiting(at, MAX_HAND_OVERS_PER_ROUND)) {
            const { service, demand, count } = request.spec;
            const cores = demand.cores * count;
            const target = this.#options
                .listGroupCapacities(service)
                .map((r) => ({
                    group: r.group,
                    availableCores:
                        r.freeCores * MAX_CAPACITY_SHARE - (assignedCores.get(r.group) ?? 0),
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
            // The group is out of reach or has no leader. What it was told of may run there, so
            // the requests stay in its care until it can say.
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
                          caller: `${ADOPTED_CALLER}${this.#options.group}`,
                          key,
                          maxWaitMs: ADOPTED_MAX_WAIT_MS,
                      },
        };
    }

    #handleResult(request: RequestId, key: string, answer: HandOverAnswer): void {
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
