/**
 * Carries the groups' messages between entry instances over JSON-RPC. A request and its response
 * are one HTTP call; per member and group one call is under way at a time, and a newer append
 * replaces one that still waits, because it carries the same entries and more.
 *
 * @example
 * ```ts
 * import { PeerNetwork } from "./peer_network.ts";
 * const network = new PeerNetwork({ findAddress });
 * const transport = network.createTransport(group, self, () => replica);
 * ```
 *
 * @module
 */

import type { GroupId, GroupMessage, MemberId, Transport } from "../log/mod.ts";
import { parseEntryId, type EntryId } from "../membership/mod.ts";
import { RpcClientPool, type ByteCounts, type RpcClient } from "../rpc/mod.ts";

/** A group's message on the wire. */
export interface PeerEnvelope {
    readonly group: GroupId;
    readonly from: MemberId;
    /** The incarnation it is for: a message for an earlier one must not reach its successor. */
    readonly to: MemberId;
    readonly message: GroupMessage;
}

/** The replica that a transport works for. */
export interface MessageReceiver {
    readonly receive: (from: MemberId, message: GroupMessage) => Promise<GroupMessage | undefined>;
    readonly handleUndelivered: (member: MemberId) => void;
}

/** Options of {@link PeerNetwork}. */
export interface PeerNetworkOptions {
    /** Gives an instance's `host:port`, or `undefined` when it is not known. */
    readonly findAddress: (id: EntryId) => string | undefined;
    /** How long a message may take, in ms. */
    readonly timeoutMs?: number;
    /** How long a snapshot may take, in ms. */
    readonly snapshotTimeoutMs?: number;
}

interface PeerChannel {
    isSending: boolean;
    readonly queue: GroupMessage[];
}

const DEFAULT_TIMEOUT_MS = 1_000;
const DEFAULT_SNAPSHOT_TIMEOUT_MS = 10_000;

/** Connections to the other entry instances. */
export class PeerNetwork {
    readonly #options: PeerNetworkOptions;
    readonly #clients: RpcClientPool;
    readonly #channels = new Map<string, PeerChannel>();
    #isClosed = false;

    /**
     * @param options The members' addresses, timeouts.
     */
    constructor(options: PeerNetworkOptions) {
        this.#options = options;
        this.#clients = new RpcClientPool({ timeoutMs: options.timeoutMs ?? DEFAULT_TIMEOUT_MS });
    }

    /**
     * Gives the client of an entry instance.
     *
     * @param id The entry instance.
     * @returns Its client, or `undefined` when its address is not known.
     */
    getClient(id: EntryId): RpcClient | undefined {
        const address = this.#options.findAddress(id);
        return address === undefined ? undefined : this.#clients.getClient(address);
    }

    /** Bytes sent to and received from the other entry instances. */
    get bytes(): ByteCounts {
        return this.#clients.bytes;
    }

    /** Sends nothing from now on. */
    close(): void {
        this.#isClosed = true;
    }

    /**
     * Creates the transport of one group's member.
     *
     * @param group The group.
     * @param self The member.
     * @param getReceiver Gives the replica that takes responses.
     * @returns The transport.
     */
    createTransport(group: GroupId, self: MemberId, getReceiver: () => MessageReceiver): Transport {
        return {
            send: (to, message) => {
                const key = `${group}|${to}`;
                const channel = this.#channels.get(key) ?? { isSending: false, queue: [] };
                this.#channels.set(key, channel);
                enqueueMessage(channel, message);
                void this.#sendQueued(channel, { group, from: self, to }, getReceiver());
            },
        };
    }

    async #sendQueued(
        channel: PeerChannel,
        envelope: Omit<PeerEnvelope, "message">,
        receiver: MessageReceiver,
    ): Promise<void> {
        if (channel.isSending) {
            return;
        }
        channel.isSending = true;
        for (;;) {
            const message = channel.queue.shift();
            if (message === undefined || this.#isClosed) {
                break;
            }
            try {
                const response = await this.#sendEnvelope({ ...envelope, message });
                if (response !== null) {
                    void receiver.receive(envelope.to, response);
                }
            } catch {
                receiver.handleUndelivered(envelope.to);
            }
        }
        channel.isSending = false;
    }

    async #sendEnvelope(envelope: PeerEnvelope): Promise<GroupMessage | null> {
        const client = this.getClient(parseEntryId(envelope.to));
        if (client === undefined) {
            return null;
        }
        const timeoutMs =
            envelope.message.type === "snapshot"
                ? (this.#options.snapshotTimeoutMs ?? DEFAULT_SNAPSHOT_TIMEOUT_MS)
                : undefined;
        return client.call<GroupMessage | null>("peer.group", envelope, timeoutMs);
    }
}

function enqueueMessage(channel: PeerChannel, message: GroupMessage): void {
    if (message.type === "append" || message.type === "snapshot") {
        const supersededIndex = channel.queue.findIndex((m) => m.type === message.type);
        if (supersededIndex >= 0) {
            channel.queue.splice(supersededIndex, 1);
        }
    }
    channel.queue.push(message);
}
