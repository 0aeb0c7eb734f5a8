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
export interface GroupRoom {
    readonly group: GroupId;
    readonly freeCores: number;
}

/** Options of {@link HandOverAgent}. */
export interface HandOverAgentOptions {
    readonly group: GroupId;
    readonly cell: Cell;
    /** Other groups that serve a service, with the room their leaders told of last. */
    readonly listRoom: (service: string) => readonly GroupRoom[];
    /** Sends requests to a group's leader; answers per item. */
    readonly sendAdopt: (
        to: GroupId,
        items: readonly AdoptItem[],
    ) => Promise<readonly AdoptAnswer[]>;
    readonly propose: (createInput: (at: number) => CellInput) => Promise<unknown>;
}

interface Pending {
    handOver: HandOver;
    /** The other group has said that it knows the key. */
    isKnown: boolean;
}

const ROUND_MS = 100;
/** How often the other groups are asked after what they have, in ms. */
const ASK_MS = 200;
const MOST_PER_ROUND = 64;
/** What the other group may take of its told room in one round: others may hand over too. */
const ROOM_SHARE = 0.5;
/** The other group gives a request back when it could not place it within this time, in ms. */
const ADOPT_WAIT_MS = 1_000;

/** Hands over and asks after one group's requests, while its leader is here. */
export class HandOverAgent {
    readonly #options: HandOverAgentOptions;
    readonly #pending = new Map<RequestId, Pending>();
    #nextRoundAt = 0;
    #nextAskAt = 0;
    #isAsking = false;

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
        const known = this.#pending.get(effect.request);
        const isSame = known?.handOver.key === effect.handOver.key;
        this.#pending.set(effect.request, {
            handOver: effect.handOver,
            isKnown: isSame && known.isKnown,
        });
    }

    /**
     * Does what is due.
     *
     * @param at The cell's time, in ms.
     */
    runRound(at: number): void {
        if (at < this.#nextRoundAt) {
            return;
        }
        this.#nextRoundAt = at + ROUND_MS;
        this.#startHandOvers(at);
        const isDue = at >= this.#nextAskAt || [...this.#pending.values()].some((p) => !p.isKnown);
        if (this.#pending.size > 0 && isDue && !this.#isAsking) {
            this.#nextAskAt = at + ASK_MS;
            this.#isAsking = true;
            void this.#sendAll().finally(() => {
                this.#isAsking = false;
            });
        }
    }

    #startHandOvers(at: number): void {
        const taken = new Map<GroupId, number>();
        for (const request of this.#options.cell.listWaiting(at, MOST_PER_ROUND)) {
            const { service, demand, count } = request.spec;
            const cores = demand.cores * count;
            const room = this.#options
                .listRoom(service)
                .map((r) => ({
                    group: r.group,
                    left: r.freeCores * ROOM_SHARE - (taken.get(r.group) ?? 0),
                }))
                .sort((a, b) => b.left - a.left)[0];
            if (room === undefined || room.left < cores) {
                continue;
            }
            taken.set(room.group, (taken.get(room.group) ?? 0) + cores);
            const { id } = request;
            this.#options
                .propose((now) => ({ type: "handOver", at: now, request: id, to: room.group }))
                .catch(() => undefined);
        }
    }

    async #sendAll(): Promise<void> {
        const byGroup = new Map<string, [RequestId, Pending][]>();
        for (const [id, pending] of this.#pending) {
            const list = byGroup.get(pending.handOver.to) ?? [];
            list.push([id, pending]);
            byGroup.set(pending.handOver.to, list);
        }
        await Promise.all([...byGroup].map(([to, list]) => this.#sendToGroup(to as GroupId, list)));
    }

    async #sendToGroup(to: GroupId, list: readonly [RequestId, Pending][]): Promise<void> {
        const items = list.map(([id, pending]) => this.#createItem(id, pending));
        const answers = await this.#options.sendAdopt(to, items).catch(() => undefined);
        if (answers === undefined) {
            // The group is out of reach or has no leader. What it was told of may run there, so
            // the requests stay in its care until it can say.
            return;
        }
        list.forEach(([id, pending], i) => {
            const answer = answers[i];
            pending.isKnown = answer !== undefined && answer !== "unknown";
            if (typeof answer === "object") {
                this.#handleEnd(id, pending.handOver.key, answer);
            }
        });
    }

    #createItem(id: RequestId, pending: Pending): AdoptItem {
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
                          maxWaitMs: ADOPT_WAIT_MS,
                      },
        };
    }

    #handleEnd(request: RequestId, key: string, answer: HandOverAnswer): void {
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
