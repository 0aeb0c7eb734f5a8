/**
 * Finds the instance that must serve a call and passes it on. A call that no leader within reach
 * can serve is answered at once, with whether it may have taken effect and when to come back.
 *
 * @example
 * ```ts
 * import { CallRouter } from "./call_router.ts";
 * const router = new CallRouter({ self, network, gossip, getMember, runLocal });
 * const answer = await router.route(group, "request.submit", params);
 * ```
 *
 * @module
 */

import type { GroupId } from "../log/mod.ts";
import type { EntryId, Gossip, GroupLayout } from "../membership/mod.ts";
import { MethodError, RpcError } from "../rpc/mod.ts";
import { createNoLeaderError, NO_LEADER_CODE, type NoLeaderData } from "./errors.ts";
import type { PeerNetwork } from "../group/mod.ts";

/** What the router needs of a local group member. */
export interface LocalMember {
    /** Waits until nobody else can lead; false when this member leads no more. */
    readonly waitServing: () => Promise<boolean>;
    readonly leader: EntryId | undefined;
}

/** Options of {@link CallRouter}. */
export interface CallRouterOptions {
    readonly self: EntryId;
    readonly network: PeerNetwork;
    readonly gossip: Gossip;
    /** The local member of a group, if this instance keeps a replica. */
    readonly getMember: (group: GroupId) => LocalMember | undefined;
    /** Serves a call here; this instance leads the group. */
    readonly runLocal: (group: GroupId, method: string, params: unknown) => Promise<unknown>;
}

/** A call passed on between entry instances. */
export interface ForwardedCall {
    readonly group: GroupId;
    readonly method: string;
    readonly params: unknown;
}

const FORWARD_TIMEOUT_MS = 2_000;
const MAX_FORWARD_ATTEMPTS = 3;

/** Passes calls on to leaders. */
export class CallRouter {
    readonly #options: CallRouterOptions;

    /**
     * @param options See {@link CallRouterOptions}.
     */
    constructor(options: CallRouterOptions) {
        this.#options = options;
    }

    /**
     * Serves a call here or at the leader. Every method that comes this way is safe to repeat,
     * so a leader that does not answer is followed by the next candidate.
     *
     * @param group The group that decides.
     * @param method The method.
     * @param params Its params.
     * @returns The result.
     * @throws {MethodError} The leader's error, or that none is within reach.
     */
    async route(group: GroupLayout, method: string, params: unknown): Promise<unknown> {
        const isServing = await this.#options.getMember(group.id)?.waitServing();
        if (isServing === true) {
            return this.#options.runLocal(group.id, method, params);
        }
        const tried = new Set<EntryId>([this.#options.self]);
        const candidates = this.#listCandidates(group);
        let outcome: NoLeaderData["outcome"] = "not_accepted";
        while (candidates.length > 0 && tried.size <= MAX_FORWARD_ATTEMPTS) {
            const target = candidates.shift() as EntryId;
            if (tried.has(target)) {
                continue;
            }
            tried.add(target);
            try {
                return await this.#sendForward(target, { group: group.id, method, params });
            } catch (error) {
                const data = this.#readNoLeaderData(error);
                if (data === undefined || data.outcome === "unknown") {
                    outcome = "unknown";
                }
                if (data?.leader !== undefined) {
                    candidates.unshift(data.leader);
                }
            }
        }
        throw createNoLeaderError(group.id, outcome);
    }

    /**
     * Serves a call that another instance passed on; it is not passed on again.
     *
     * @param call The call.
     * @returns The result.
     * @throws {MethodError} The method's error, or that this instance does not lead.
     */
    async runForwarded(call: ForwardedCall): Promise<unknown> {
        const member = this.#options.getMember(call.group);
        const isServing = await member?.waitServing();
        if (isServing !== true) {
            throw createNoLeaderError(call.group, "not_accepted", member?.leader);
        }
        return this.#options.runLocal(call.group, call.method, call.params);
    }

    /** The leader by the replica here, then by gossip, then the voters that are up. */
    #listCandidates(group: GroupLayout): EntryId[] {
        const now = performance.now();
        const { gossip } = this.#options;
        const knownLeaders = [
            this.#options.getMember(group.id)?.leader,
            gossip.findLeader(group.id, now),
        ].filter((id) => id !== undefined);
        const voters = group.voters.filter((v) =>
            ["up", "unknown"].includes(gossip.getStatus(v, now)),
        );
        return [...knownLeaders, ...voters];
    }

    async #sendForward(target: EntryId, call: ForwardedCall): Promise<unknown> {
        const client = this.#options.network.getClient(target);
        if (client === undefined) {
            throw createNoLeaderError(call.group, "not_accepted");
        }
        try {
            return await client.call("peer.forward", call, FORWARD_TIMEOUT_MS);
        } catch (error) {
            if (error instanceof RpcError && error.code !== 0 && error.code !== NO_LEADER_CODE) {
                throw new RemoteMethodError(error);
            }
            throw error;
        }
    }

    /** Tells a missing leader from the leader's own answer, which is passed on as it is. */
    #readNoLeaderData(error: unknown): NoLeaderData | undefined {
        if (error instanceof RemoteMethodError) {
            throw new MethodError(error.rpcError.message, error.rpcError.code, error.rpcError.data);
        }
        const codedError = error as { code?: number; data?: unknown };
        return codedError.code === NO_LEADER_CODE ? (codedError.data as NoLeaderData) : undefined;
    }
}

/** The leader answered with an error of its own. */
class RemoteMethodError extends Error {
    readonly rpcError: RpcError;

    constructor(answer: RpcError) {
        super(answer.message);
        this.rpcError = answer;
    }
}
