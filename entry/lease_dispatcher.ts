/**
 * What the leader of a group tells the workers: lease offers and stops, batched per address. An
 * offer leaves only with a heartbeat of its worker to go by, so that the worker can refuse an
 * offer from a leader that was frozen or cut off since.
 *
 * @example
 * ```ts
 * import { WorkerLink } from "./lease_dispatcher.ts";
 * const link = new WorkerLink({ isServing, onDeclined, log });
 * link.recordBeat(instance, sentAt);
 * link.sendGrants(leases);
 * ```
 *
 * @module
 */

import type { Logger } from "winston";
import type { Effect, GrantMessage, LeaseMessage } from "../cell/mod.ts";
import type { InstanceId, LeaseId } from "../inventory/mod.ts";
import { RpcClientPool, type ByteCounts } from "../rpc/mod.ts";

/** A worker's answer to one offer. */
export interface GrantReply {
    readonly lease: LeaseId;
    /** `unknown`: meant for an earlier process of the worker, which may have run it. */
    readonly status: "accepted" | "declined" | "unknown";
    readonly reason: string;
}

/** Options of {@link LeaseDispatcher}. */
export interface LeaseDispatcherOptions {
    /** Whether this instance leads and nobody else can. */
    readonly isServing: () => boolean;
    /** A worker did not take an offer, and its task did not start. */
    readonly onDeclined: (lease: LeaseId, reason: string) => void;
    readonly log: Logger;
}

type Grant = Extract<Effect, { type: "grant" }>;
type Stop = Extract<Effect, { type: "stop" }>;

const CALL_TIMEOUT_MS = 2_000;
const MAX_ATTEMPTS = 5;
const RETRY_DELAY_MS = 200;

/** The leader's connections to its workers. */
export class LeaseDispatcher {
    readonly #options: LeaseDispatcherOptions;
    readonly #clients = new RpcClientPool({ timeoutMs: CALL_TIMEOUT_MS });
    readonly #lastHeartbeatAt = new Map<InstanceId, number>();
    #deferredGrants: Grant[] = [];

    /**
     * @param options See {@link LeaseDispatcherOptions}.
     */
    constructor(options: LeaseDispatcherOptions) {
        this.#options = options;
    }

    /** Bytes sent to and received from workers by this side's calls. */
    get bytes(): ByteCounts {
        return this.#clients.bytes;
    }

    /** Forgets everything: another instance leads now, and sends again what is unanswered. */
    close(): void {
        this.#lastHeartbeatAt.clear();
        this.#deferredGrants = [];
    }

    /**
     * Notes a worker's heartbeat.
     *
     * @param instance The worker's instance.
     * @param sentAt When it was sent, by the worker's clock.
     */
    recordHeartbeat(instance: InstanceId, sentAt: number): void {
        this.#lastHeartbeatAt.set(
            instance,
            Math.max(sentAt, this.#lastHeartbeatAt.get(instance) ?? 0),
        );
    }

    /** Sends the offers that waited for a heartbeat or for the leader's lease. */
    sendDeferred(): void {
        if (this.#deferredGrants.length > 0 && this.#options.isServing()) {
            const deferred = this.#deferredGrants;
            this.#deferredGrants = [];
            this.sendGrants(deferred);
        }
    }

    /**
     * Offers leases.
     *
     * @param grants The offers.
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
     * Asks workers to stop tasks. A stop that is lost is sent again when the worker's next
     * heartbeat still lists the lease.
     *
     * @param stops The stops.
     */
    sendStops(stops: readonly Stop[]): void {
        for (const [address, batch] of createBatches(stops)) {
            this.#clients
                .getClient(address)
                .call("leases.stop", { stops: batch })
                .catch((error: Error) =>
                    this.#options.log.warn("stop not delivered", {
                        address,
                        error: error.message,
                    }),
                );
        }
    }

    #isReady(grant: Grant): boolean {
        return this.#lastHeartbeatAt.has(grant.lease.instance) && this.#options.isServing();
    }

    /**
     * Sends offers. A lost answer is asked for again with the same lease and epoch: the worker
     * answers a repeated offer as it answered the first, so an unknown outcome is never guessed.
     * After the retries the lease simply expires.
     */
    async #sendGrantBatch(
        address: string,
        leases: readonly LeaseMessage[],
        attempt: number,
    ): Promise<void> {
        const offers = leases.flatMap((lease): GrantMessage[] => {
            const beatAt = this.#lastHeartbeatAt.get(lease.instance);
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
            this.#options.log.warn("offer not answered", {
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
