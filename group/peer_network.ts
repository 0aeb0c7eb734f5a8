/**
 * Transports consensus messages between entry instances over JSON-RPC. At most one call per group
 * and receiving member is in flight; a newer append or snapshot supersedes a queued one. Heartbeats
 * have a channel of their own, so that they don't wait until entries or a snapshot are persisted.
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

/** Consensus message with its routing fields, as sent over the network. */
export interface PeerEnvelope {
    readonly group: GroupId;
    readonly from: MemberId;
    /** The receiving incarnation; a later incarnation of the instance ignores the message. */
    readonly to: MemberId;
    readonly message: GroupMessage;
}

/** Replica that receives the responses and delivery failures of a transport. */
export interface MessageReceiver {
    readonly receive: (from: MemberId, message: GroupMessage) => Promise<GroupMessage | undefined>;
    readonly handleUndelivered: (member: MemberId) => void;
}

/** Options of {@link PeerNetwork}. */
export interface PeerNetworkOptions {
    /** Returns an instance's `host:port`, or `undefined` if it is unknown. */
    readonly findAddress: (id: EntryId) => string | undefined;
    /** Timeout of a message other than a snapshot, in ms. */
    readonly timeoutMs?: number;
    /** Timeout of a snapshot, in ms. */
    readonly snapshotTimeoutMs?: number;
}

interface PeerChannel {
    isSending: boolean;
    readonly queue: GroupMessage[];
}

const DEFAULT_TIMEOUT_MS = 1_000;
const DEFAULT_SNAPSHOT_TIMEOUT_MS = 10_000;

/** Manages the RPC clients and the message queues for the other entry instances. */
export class PeerNetwork {
    readonly #options: PeerNetworkOptions;
    readonly #clients: RpcClientPool;
    readonly #channels = new Map<string, PeerChannel>();
    #isClosed = false;

    /**
     * @param options Address lookup and timeouts.
     */
    constructor(options: PeerNetworkOptions) {
        this.#options = options;
        this.#clients = new RpcClientPool({ timeoutMs: options.timeoutMs ?? DEFAULT_TIMEOUT_MS });
    }

    /**
     * Returns the RPC client for an entry instance.
     *
     * @param id The entry instance.
     * @returns The client, or `undefined` if the instance's address is unknown.
     */
    getClient(id: EntryId): RpcClient | undefined {
        const address = this.#options.findAddress(id);
        return address === undefined ? undefined : this.#clients.getClient(address);
    }

    /** Number of bytes sent to and received from the other entry instances. */
    get bytes(): ByteCounts {
        return this.#clients.bytes;
    }

    /** Stops sending messages, including queued ones. */
    close(): void {
        this.#isClosed = true;
    }

    /**
     * Creates the transport of a group member.
     *
     * @param group The group.
     * @param self The sending member.
     * @param getReceiver Returns the replica that receives the responses.
     * @returns The transport.
     */
    createTransport(group: GroupId, self: MemberId, getReceiver: () => MessageReceiver): Transport {
        return {
            send: (to, message) => {
                const key = `${group}|${to}${isHeartbeat(message) ? "|heartbeat" : ""}`;
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
                if (!isHeartbeat(message)) {
                    receiver.handleUndelivered(envelope.to);
                }
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

function isHeartbeat(message: GroupMessage): boolean {
    return message.type === "append" && message.entries.length === 0;
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
