/**
 * A queue of requests that wait for placement, by precedence and then by arrival order.
 *
 * @example
 * ```ts
 * import { RequestQueue } from "./_queue.ts";
 * const queue = new RequestQueue();
 * queue.add(request, 100);
 * for (const { precedence, requests } of queue.listBuckets()) { ... }
 * ```
 *
 * @module
 */

import type { RequestRecord } from "./types.ts";

/** The queued requests of one precedence. */
export interface QueueBucket {
    readonly precedence: number;
    readonly requests: readonly RequestRecord[];
}

/** Orders requests that wait for placement. */
export class RequestQueue {
    readonly #buckets = new Map<number, RequestRecord[]>();

    /**
     * Inserts a request in arrival order within its precedence; a requeued request regains its
     * position. The binary search avoids sorting the bucket on every insert.
     *
     * @param request The request.
     * @param precedence The precedence of its class.
     */
    add(request: RequestRecord, precedence: number): void {
        const bucket = this.#buckets.get(precedence) ?? [];
        let low = 0;
        let high = bucket.length;
        while (low < high) {
            const middle = (low + high) >> 1;
            if ((bucket[middle] as RequestRecord).seq < request.seq) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        bucket.splice(low, 0, request);
        this.#buckets.set(precedence, bucket);
    }

    /**
     * Lists the buckets, highest precedence first, after removing requests that are no longer
     * queued.
     *
     * @returns The buckets.
     */
    listBuckets(): QueueBucket[] {
        this.removeNotQueued();
        return [...this.#buckets]
            .sort(([a], [b]) => b - a)
            .map(([precedence, requests]) => ({ precedence, requests }));
    }

    /** Removes requests that are no longer queued. */
    removeNotQueued(): void {
        for (const [precedence, bucket] of this.#buckets) {
            const waiting = bucket.filter((r) => r.state === "queued");
            if (waiting.length === 0) {
                this.#buckets.delete(precedence);
            } else {
                this.#buckets.set(precedence, waiting);
            }
        }
    }

    /**
     * Whether the queue has no buckets; a bucket may still contain requests that left the queue.
     */
    get isEmpty(): boolean {
        return this.#buckets.size === 0;
    }
}
