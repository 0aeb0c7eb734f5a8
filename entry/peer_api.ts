/**
 * JSON-RPC methods for the other entry instances: replication messages, learner subscriptions,
 * forwarded calls and gossip.
 *
 * @example
 * ```ts
 * import { PeerApi } from "./peer_api.ts";
 * const methods = new PeerApi({ getMember, router, gossip }).createMethods();
 * ```
 *
 * @module
 */

import type { GroupId, GroupMessage, MemberId } from "../log/mod.ts";
import type { EntryId, Gossip, GossipEntry } from "../membership/mod.ts";
import type { RpcMethod } from "../rpc/mod.ts";
import {
    envelopeSchema,
    forwardSchema,
    gossipSchema,
    parseParams,
    subscribeSchema,
} from "./api_schema.ts";
import type { CallRouter } from "./call_router.ts";

/** The view of a local group member that peer calls use. */
export interface PeerMember {
    readonly receive: (
        from: MemberId,
        to: MemberId,
        message: GroupMessage,
    ) => Promise<GroupMessage | null>;
    readonly addLearner: (member: MemberId) => { readonly leader: EntryId | undefined };
}

/** Options of {@link PeerApi}. */
export interface PeerApiOptions {
    /** Returns the local member of a group, if this instance has a replica. */
    readonly getMember: (group: GroupId) => PeerMember | undefined;
    readonly router: CallRouter;
    readonly gossip: Gossip;
}

/** Handles calls from the other entry instances. */
export class PeerApi {
    readonly #options: PeerApiOptions;

    /**
     * @param options See {@link PeerApiOptions}.
     */
    constructor(options: PeerApiOptions) {
        this.#options = options;
    }

    /**
     * Creates the JSON-RPC methods.
     *
     * @returns The methods by name.
     */
    createMethods(): Record<string, RpcMethod> {
        return {
            "peer.group": (params) => this.#handleMessage(params),
            "peer.subscribe": (params) => this.#handleSubscribe(params),
            "peer.forward": (params) => this.#handleForward(params),
            "peer.gossip": (params) => this.#handleGossip(params),
        };
    }

    #handleMessage(params: unknown): Promise<GroupMessage | null> {
        const { group, from, to, message } = parseParams(envelopeSchema, params);
        const member = this.#options.getMember(group as GroupId);
        return member === undefined
            ? Promise.resolve(null)
            : member.receive(from as MemberId, to as MemberId, message as unknown as GroupMessage);
    }

    #handleSubscribe(params: unknown): { readonly leader: EntryId | undefined } {
        const { group, member } = parseParams(subscribeSchema, params);
        const localMember = this.#options.getMember(group as GroupId);
        return localMember?.addLearner(member as MemberId) ?? { leader: undefined };
    }

    #handleForward(params: unknown): Promise<unknown> {
        const { group, method, params: forwardedParams } = parseParams(forwardSchema, params);
        return this.#options.router.runForwarded({
            group: group as GroupId,
            method,
            params: forwardedParams,
        });
    }

    #handleGossip(params: unknown): GossipEntry[] {
        const { table } = parseParams(gossipSchema, params);
        return this.#options.gossip.receive(table as unknown as GossipEntry[], performance.now());
    }
}
