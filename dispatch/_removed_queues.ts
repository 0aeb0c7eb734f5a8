/**
 * Stands in for queues whose configuration is lost: a leader of an earlier release may have accepted
 * a job while its queue was being removed. Such a job was acknowledged, so it runs on the pool that
 * is on record with it, with the lowest priority.
 *
 * @example
 * ```ts
 * import { RemovedQueues } from "./_removed_queues.ts";
 * const queue = new RemovedQueues(stateStore).getQueue(job);
 * ```
 *
 * @module
 */

import type { QueueConfig, QueueName } from "../configuration/mod.ts";
import type { Job, StateStore } from "../job/mod.ts";

/** Substitutes for the queues of jobs that the state has no queue for. */
export class RemovedQueues {
    readonly #stateStore: StateStore;
    readonly #queues = new Map<QueueName, QueueConfig>();

    /**
     * @param stateStore The replicated state.
     */
    constructor(stateStore: StateStore) {
        this.#stateStore = stateStore;
    }

    /**
     * Returns a substitute for a job's queue.
     *
     * @param job The job.
     * @returns A queue without advice or latency objective, with the lowest priority and the most
     *     attempts of all configured queues.
     */
    getQueue(job: Pick<Job, "queue" | "pool">): QueueConfig {
        const known = this.#queues.get(job.queue);
        if (known?.pool === job.pool) {
            return known;
        }
        const configured = this.#stateStore.configuration?.queues ?? [];
        const added: QueueConfig = {
            name: job.queue,
            host: "",
            pathPrefix: "",
            pool: job.pool,
            priority: configured.reduce((max, queue) => Math.max(max, queue.priority), 0),
            maxAttempts: configured.reduce((max, queue) => Math.max(max, queue.maxAttempts), 1),
            stretch: 1,
            targetLatencyMs: 0,
            timeoutMs: 0,
            advice: undefined,
        };
        this.#queues.set(job.queue, added);
        return added;
    }

    /** Forgets the substitutes, after the configuration has changed. */
    clear(): void {
        this.#queues.clear();
    }
}
