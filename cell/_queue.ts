/**
 * The queue of requests waiting for a placement: highest precedence first, then arrival order.
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

/** One precedence's waiting requests. */
export interface QueueBucket {
    readonly precedence: number;
    readonly requests: readonly RequestRecord[];
}

/** Requests waiting for a placement. */
export class RequestQueue {
    readonly #buckets = new Map<number, RequestRecord[]>();

    /**
     * Adds a request in arrival order within its precedence; a requeued one returns to its
     * place. A binary search finds the place: sorting on every insert would cost a
     * backlog of thousands most of a tick.
     *
     * @param request The request.
     * @param precedence Its class's precedence.
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
     * Lists the buckets, highest precedence first, after dropping requests no longer queued.
     *
     * @returns The buckets.
     */
    listBuckets(): QueueBucket[] {
        this.removeNotQueued();
        return [...this.#buckets]
            .sort(([a], [b]) => b - a)
            .map(([precedence, requests]) => ({ precedence, requests }));
    }

    /** Drops requests that were placed, cancelled or refused. */
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

    /** Whether anything may be waiting. */
    get isEmpty(): boolean {
        return this.#buckets.size === 0;
    }
}
