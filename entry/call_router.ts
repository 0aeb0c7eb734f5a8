/**
 * Routes a call to the leader of its group. If no leader is reachable, the call fails at once with
 * an error that indicates whether it may have taken effect and when to retry.
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

/** The view of a local group member that the router uses. */
export interface LocalMember {
    /** Waits until this member holds the leader lease; false if it is not the leader. */
    readonly waitForLease: () => Promise<boolean>;
    readonly leader: EntryId | undefined;
}

/** Options of {@link CallRouter}. */
export interface CallRouterOptions {
    readonly self: EntryId;
    readonly network: PeerNetwork;
    readonly gossip: Gossip;
    /** Returns the local member of a group, if this instance has a replica. */
    readonly getMember: (group: GroupId) => LocalMember | undefined;
    /** Executes a call locally; this instance must lead the group. */
    readonly runLocal: (group: GroupId, method: string, params: unknown) => Promise<unknown>;
}

/** A call forwarded from one entry instance to another. */
export interface ForwardedCall {
    readonly group: GroupId;
    readonly method: string;
    readonly params: unknown;
}

const FORWARD_TIMEOUT_MS = 2_000;
const MAX_FORWARD_ATTEMPTS = 3;

/** Forwards calls to group leaders. */
export class CallRouter {
    readonly #options: CallRouterOptions;

    /**
     * @param options See {@link CallRouterOptions}.
     */
    constructor(options: CallRouterOptions) {
        this.#options = options;
    }

    /**
     * Executes a call locally or forwards it to the leader. Routed methods are idempotent, so if a
     * candidate does not answer, the next one is tried.
     *
     * @param group The group that owns the call.
     * @param method The method.
     * @param params The method's params.
     * @returns The method's result.
     * @throws {MethodError} The leader's error, or that no leader is reachable.
     */
    async route(group: GroupLayout, method: string, params: unknown): Promise<unknown> {
        const isServing = await this.#options.getMember(group.id)?.waitForLease();
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
                const data = this.#getNoLeaderData(error);
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
     * Executes a call that another instance forwarded. It is never forwarded again.
     *
     * @param call The forwarded call.
     * @returns The method's result.
     * @throws {MethodError} The method's error, or that this instance is not the leader.
     */
    async runForwarded(call: ForwardedCall): Promise<unknown> {
        const member = this.#options.getMember(call.group);
        const isServing = await member?.waitForLease();
        if (isServing !== true) {
            throw createNoLeaderError(call.group, "not_accepted", member?.leader);
        }
        return this.#options.runLocal(call.group, call.method, call.params);
    }

    /**
     * Lists the leader that the local replica knows, the one that gossip reports, and then the
     * voters that are up or of unknown status.
     */
    #listCandidates(group: GroupLayout): EntryId[] {
        const nowMs = performance.now();
        const { gossip } = this.#options;
        const knownLeaders = [
            this.#options.getMember(group.id)?.leader,
            gossip.findLeader(group.id, nowMs),
        ].filter((id) => id !== undefined);
        const voters = group.voters.filter((v) =>
            ["up", "unknown"].includes(gossip.getStatus(v, nowMs)),
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

    /**
     * Returns the data of a no-leader error, or `undefined` if the call itself failed. Rethrows an
     * error that the leader returned.
     */
    #getNoLeaderData(error: unknown): NoLeaderData | undefined {
        if (error instanceof RemoteMethodError) {
            throw new MethodError(error.rpcError.message, error.rpcError.code, error.rpcError.data);
        }
        const codedError = error as { code?: number; data?: unknown };
        return codedError.code === NO_LEADER_CODE ? (codedError.data as NoLeaderData) : undefined;
    }
}

/** Wraps an error that the leader itself returned for a forwarded call. */
class RemoteMethodError extends Error {
    readonly rpcError: RpcError;

    constructor(error: RpcError) {
        super(error.message);
        this.rpcError = error;
    }
}
