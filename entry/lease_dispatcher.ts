/**
 * Sends lease offers and stops from a group's leader to workers, batched per address. Each offer
 * carries the time of the worker's last heartbeat, so that the worker can refuse offers from a
 * stale leader.
 *
 * @example
 * ```ts
 * import { LeaseDispatcher } from "./lease_dispatcher.ts";
 * const dispatcher = new LeaseDispatcher({ isServing, onDeclined, log });
 * dispatcher.recordHeartbeat(instance, sentAt);
 * dispatcher.sendGrants(grants);
 * ```
 *
 * @module
 */

import type { Logger } from "winston";
import type { Effect, GrantMessage, LeaseMessage } from "../cell/mod.ts";
import type { InstanceId, LeaseId } from "../inventory/mod.ts";
import { RpcClientPool, type ByteCounts } from "../rpc/mod.ts";

/** A worker's reply to one lease offer. */
export interface GrantReply {
    readonly lease: LeaseId;
    /** `unknown`: offered to an earlier incarnation of the worker, which may have run the task. */
    readonly status: "accepted" | "declined" | "unknown";
    readonly reason: string;
}

/** Options of {@link LeaseDispatcher}. */
export interface LeaseDispatcherOptions {
    /** Returns whether this instance leads the group and holds the leader lease. */
    readonly isServing: () => boolean;
    /** Called when a worker declined an offer; its task did not start. */
    readonly onDeclined: (lease: LeaseId, reason: string) => void;
    readonly log: Logger;
}

type Grant = Extract<Effect, { type: "grant" }>;
type Stop = Extract<Effect, { type: "stop" }>;

const CALL_TIMEOUT_MS = 2_000;
const MAX_ATTEMPTS = 5;
const RETRY_DELAY_MS = 200;

/** Dispatches lease offers and stops to the workers of a group. */
export class LeaseDispatcher {
    readonly #options: LeaseDispatcherOptions;
    readonly #clients = new RpcClientPool({ timeoutMs: CALL_TIMEOUT_MS });
    readonly #lastHeartbeatSentAtMs = new Map<InstanceId, number>();
    #deferredGrants: Grant[] = [];

    /**
     * @param options See {@link LeaseDispatcherOptions}.
     */
    constructor(options: LeaseDispatcherOptions) {
        this.#options = options;
    }

    /** Bytes sent and received by calls to workers. */
    get bytes(): ByteCounts {
        return this.#clients.bytes;
    }

    /** Clears all state on loss of leadership; the next leader resends unacknowledged offers. */
    close(): void {
        this.#lastHeartbeatSentAtMs.clear();
        this.#deferredGrants = [];
    }

    /**
     * Records a worker's heartbeat.
     *
     * @param instance The worker's instance.
     * @param sentAt When the heartbeat was sent, by the worker's clock, in ms.
     */
    recordHeartbeat(instance: InstanceId, sentAt: number): void {
        this.#lastHeartbeatSentAtMs.set(
            instance,
            Math.max(sentAt, this.#lastHeartbeatSentAtMs.get(instance) ?? 0),
        );
    }

    /** Sends the offers that were deferred for lack of a heartbeat or of the leader lease. */
    sendDeferred(): void {
        if (this.#deferredGrants.length > 0 && this.#options.isServing()) {
            const deferred = this.#deferredGrants;
            this.#deferredGrants = [];
            this.sendGrants(deferred);
        }
    }

    /**
     * Offers leases to workers; defers those that cannot be sent yet.
     *
     * @param grants The leases to offer.
     */
    sendGrants(grants: readonly Grant[]): void {
        const ready = grants.filter((g) => this.#isReady(g));
        this.#deferredGrants.push(...grants.filter((g) => !this.#isReady(g)));
        for (const [address, batch] of createBatches(ready)) {
            void this.#sendGrantBatch(
                address,
                batch.map((g) => g.lease),
                0,
            );
        }
    }

    /**
     * Asks workers to stop tasks. If a stop is lost, the response to a heartbeat that still lists
     * the lease repeats it.
     *
     * @param stops The leases to stop.
     */
    sendStops(stops: readonly Stop[]): void {
        for (const [address, batch] of createBatches(stops)) {
            this.#clients
                .getClient(address)
                .call("leases.stop", { stops: batch })
                .catch((error: Error) =>
                    this.#options.log.warn("failed to send lease stops", {
                        address,
                        error: error.message,
                    }),
                );
        }
    }

    #isReady(grant: Grant): boolean {
        return this.#lastHeartbeatSentAtMs.has(grant.lease.instance) && this.#options.isServing();
    }

    /**
     * Sends one batch of offers and retries it on failure. Retries are idempotent: the worker gives
     * the same reply to the same lease and epoch. After the last attempt, the lease expires.
     */
    async #sendGrantBatch(
        address: string,
        leases: readonly LeaseMessage[],
        attempt: number,
    ): Promise<void> {
        const offers = leases.flatMap((lease): GrantMessage[] => {
            const beatAt = this.#lastHeartbeatSentAtMs.get(lease.instance);
            return beatAt === undefined ? [] : [{ ...lease, beatAt }];
        });
        if (offers.length === 0 || !this.#options.isServing()) {
            return;
        }
        try {
            const { replies } = await this.#clients
                .getClient(address)
                .call<{ replies: GrantReply[] }>("leases.grant", { leases: offers });
            for (const reply of replies) {
                if (reply.status === "declined") {
                    this.#options.onDeclined(reply.lease, reply.reason);
                }
            }
        } catch (error) {
            this.#options.log.warn("failed to send lease offers", {
                address,
                attempt,
                error: (error as Error).message,
            });
            if (attempt + 1 < MAX_ATTEMPTS) {
                setTimeout(
                    () => void this.#sendGrantBatch(address, leases, attempt + 1),
                    RETRY_DELAY_MS,
                ).unref();
            }
        }
    }
}

function createBatches<T extends { readonly address: string }>(
    items: readonly T[],
): Map<string, T[]> {
    const batches = new Map<string, T[]>();
    for (const item of items) {
        const batch = batches.get(item.address) ?? [];
        batch.push(item);
        batches.set(item.address, batch);
    }
    return batches;
}
