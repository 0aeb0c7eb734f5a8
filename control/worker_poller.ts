/**
 * Looks at workers that have work: one look after another, each renewing the leases and waiting
 * at the worker for the next end.
 *
 * @example
 * ```ts
 * import { WorkerWatch } from "./worker_poller.ts";
 * const watch = new WorkerWatch({ dispatcher, calls, flush });
 * watch.start(worker);
 * ```
 *
 * @module
 */

import type { Dispatcher, LookAnswer, LookOrder } from "../dispatch/mod.ts";
import type { WorkerId } from "../job/mod.ts";
import type { WorkerCalls } from "./calls.ts";

/** Options of {@link WorkerPoller}. */
export interface WorkerPollerOptions {
    readonly dispatcher: Dispatcher;
    readonly workerCalls: WorkerCalls;
    /** Agrees on what a look told, before the worker may forget it. */
    readonly flush: () => Promise<void>;
    /** Whether this process still leads; a look of one that does not must not renew a lease. */
    readonly waitForLease: () => Promise<boolean>;
}

/**
 * Pause between two looks at a worker, in ms. Ends that fall into it come with one look instead
 * of several. An end is noticed later by half of it in the mean, which the shortest objective bears.
 */
const POLL_INTERVAL_MS = 100;
/** Pause after a look without an answer, in ms. */
const FAILED_POLL_BACKOFF_MS = 150;

/** The looks of one leader. */
export class WorkerPoller {
    readonly #options: WorkerPollerOptions;
    readonly #polledWorkers = new Set<WorkerId>();
    readonly #immediatePolls = new Set<WorkerId>();
    #isStopped = false;

    /**
     * @param options The decisions, the calls; see {@link WorkerPollerOptions}.
     */
    constructor(options: WorkerPollerOptions) {
        this.#options = options;
    }

    /**
     * Watches a worker until nothing runs there and its ends are acknowledged.
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
     * Tells whether a worker is watched.
     *
     * @param id The worker.
     * @returns True until nothing runs there any more.
     */
    isPolling(id: WorkerId): boolean {
        return this.#polledWorkers.has(id);
    }

    /**
     * Looks at a worker at once, beside the look under way.
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

    /** Sends nothing from now on. */
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

    #preparePoll(id: WorkerId, isLongPoll: boolean): LookOrder | undefined {
        return this.#isStopped ? undefined : this.#options.dispatcher.prepareLook(id, isLongPoll);
    }

    async #sendPoll(order: LookOrder): Promise<LookAnswer> {
        const { dispatcher, workerCalls, flush, waitForLease } = this.#options;
        const hasLease = await waitForLease();
        if (!hasLease) {
            return { type: "unanswered", cause: "not serving" };
        }
        const sentAtMs = performance.now();
        const answer = await workerCalls.poll(order);
        if (!this.#isStopped) {
            dispatcher.handleLook(order, sentAtMs, answer);
            // Without a lead any more the loop ends; the ends stay listed for the next leader.
            await flush().catch(() => this.stop());
        }
        return answer;
    }
}
