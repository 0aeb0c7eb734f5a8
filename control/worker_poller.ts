/**
 * Long-polls workers that run tasks. Each poll renews the leases and returns the tasks that have
 * ended.
 *
 * @example
 * ```ts
 * import { WorkerPoller } from "./worker_poller.ts";
 * const poller = new WorkerPoller({ dispatcher, workerCalls, flush, waitForLease });
 * poller.start(worker);
 * ```
 *
 * @module
 */

import type { Dispatcher, PollAnswer, PollOrder } from "../dispatch/mod.ts";
import type { WorkerId } from "../job/mod.ts";
import type { WorkerCalls } from "./calls.ts";

/** Options of {@link WorkerPoller}. */
export interface WorkerPollerOptions {
    readonly dispatcher: Dispatcher;
    readonly workerCalls: WorkerCalls;
    /** Commits the results of a poll before they are acknowledged to the worker. */
    readonly flush: () => Promise<void>;
    /**
     * Waits for the leader lease; false if this process is no longer the leader and must not renew
     * task leases.
     */
    readonly waitForLease: () => Promise<boolean>;
}

/**
 * The time between two polls of a worker, in ms. Ends within it are returned by one poll, and are
 * noticed later by half of it on average, which the shortest latency objective allows.
 */
const POLL_INTERVAL_MS = 100;
/** The backoff after an unanswered poll, in ms. */
const FAILED_POLL_BACKOFF_MS = 150;

/** Polls workers on behalf of one leader. */
export class WorkerPoller {
    readonly #options: WorkerPollerOptions;
    readonly #polledWorkers = new Set<WorkerId>();
    readonly #immediatePolls = new Set<WorkerId>();
    #isStopped = false;

    /**
     * @param options The dispatcher and the calls; see {@link WorkerPollerOptions}.
     */
    constructor(options: WorkerPollerOptions) {
        this.#options = options;
    }

    /**
     * Polls a worker until it runs no tasks and all ends are acknowledged.
     *
     * @param id The worker.
     */
    start(id: WorkerId): void {
        if (!this.#polledWorkers.has(id)) {
            this.#polledWorkers.add(id);
            void this.#runPollLoop(id);
        }
    }

    /**
     * Returns whether a worker is being polled.
     *
     * @param id The worker.
     * @returns True until the poll loop of the worker has ended.
     */
    isPolling(id: WorkerId): boolean {
        return this.#polledWorkers.has(id);
    }

    /**
     * Polls a worker immediately, even while a long poll is in flight.
     *
     * @param id The worker.
     */
    async pollImmediately(id: WorkerId): Promise<void> {
        if (this.#immediatePolls.has(id)) {
            return;
        }
        this.#immediatePolls.add(id);
        const order = this.#preparePoll(id, false);
        if (order !== undefined) {
            await this.#sendPoll(order);
        }
        this.#immediatePolls.delete(id);
        this.start(id);
    }

    /** Stops polling; answers to polls in flight are ignored. */
    stop(): void {
        this.#isStopped = true;
    }

    async #runPollLoop(id: WorkerId): Promise<void> {
        for (;;) {
            const order = this.#preparePoll(id, true);
            if (order === undefined) {
                break;
            }
            const answer = await this.#sendPoll(order);
            const pauseMs = answer.type === "state" ? POLL_INTERVAL_MS : FAILED_POLL_BACKOFF_MS;
            await new Promise((resolve) => setTimeout(resolve, pauseMs));
        }
        this.#polledWorkers.delete(id);
    }

    #preparePoll(id: WorkerId, isLongPoll: boolean): PollOrder | undefined {
        return this.#isStopped ? undefined : this.#options.dispatcher.preparePoll(id, isLongPoll);
    }

    async #sendPoll(order: PollOrder): Promise<PollAnswer> {
        const { dispatcher, workerCalls, flush, waitForLease } = this.#options;
        const hasLease = await waitForLease();
        if (!hasLease || this.#isStopped) {
            dispatcher.dropPoll(order);
            return { type: "unanswered", cause: "not serving" };
        }
        const sentAtMs = performance.now();
        const answer = await workerCalls.poll(order);
        if (!this.#isStopped) {
            dispatcher.handlePollAnswer(order, sentAtMs, answer);
            // Without leadership the poll loop ends; unacknowledged ends remain for the next
            // leader.
            await flush().catch(() => this.stop());
        }
        return answer;
    }
}
