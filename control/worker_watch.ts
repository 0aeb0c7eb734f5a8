/**
 * Looks at workers that have work: one look after another, each renewing the leases and waiting
 * at the worker for the next end.
 *
 * @example
 * ```ts
 * import { WorkerWatch } from "./worker_watch.ts";
 * const watch = new WorkerWatch({ dispatcher, calls, flush });
 * watch.start(worker);
 * ```
 *
 * @module
 */

import type { Dispatcher, LookAnswer, LookOrder } from "../dispatch/mod.ts";
import type { WorkerId } from "../job/mod.ts";
import type { WorkerCalls } from "./calls.ts";

/** Options of {@link WorkerWatch}. */
export interface WorkerWatchOptions {
    readonly dispatcher: Dispatcher;
    readonly calls: WorkerCalls;
    /** Agrees on what a look told, before the worker may forget it. */
    readonly flush: () => Promise<void>;
    /** Whether this process still leads; a look of one that does not must not renew a lease. */
    readonly waitServing: () => Promise<boolean>;
}

/**
 * Pause between two looks at a worker, in ms. Ends that fall into it come with one look instead
 * of several. An end is noticed later by half of it in the mean, which the shortest objective bears.
 */
const LOOK_PAUSE_MS = 100;
/** Pause after a look without an answer, in ms. */
const FAILED_LOOK_PAUSE_MS = 150;

/** The looks of one leader. */
export class WorkerWatch {
    readonly #options: WorkerWatchOptions;
    readonly #watched = new Set<WorkerId>();
    readonly #looking = new Set<WorkerId>();
    #isStopped = false;

    /**
     * @param options The decisions, the calls; see {@link WorkerWatchOptions}.
     */
    constructor(options: WorkerWatchOptions) {
        this.#options = options;
    }

    /**
     * Watches a worker until nothing runs there and its ends are acknowledged.
     *
     * @param id The worker.
     */
    start(id: WorkerId): void {
        if (!this.#watched.has(id)) {
            this.#watched.add(id);
            void this.#run(id);
        }
    }

    /**
     * Tells whether a worker is watched.
     *
     * @param id The worker.
     * @returns True until nothing runs there any more.
     */
    isWatching(id: WorkerId): boolean {
        return this.#watched.has(id);
    }

    /**
     * Looks at a worker at once, beside the look under way.
     *
     * @param id The worker.
     */
    async look(id: WorkerId): Promise<void> {
        if (this.#looking.has(id)) {
            return;
        }
        this.#looking.add(id);
        const order = this.#prepareLook(id, false);
        if (order !== undefined) {
            await this.#sendLook(order);
        }
        this.#looking.delete(id);
        this.start(id);
    }

    /** Sends nothing from now on. */
    stop(): void {
        this.#isStopped = true;
    }

    async #run(id: WorkerId): Promise<void> {
        for (;;) {
            const order = this.#prepareLook(id, true);
            if (order === undefined) {
                break;
            }
            const answer = await this.#sendLook(order);
            const pause = answer.type === "state" ? LOOK_PAUSE_MS : FAILED_LOOK_PAUSE_MS;
            await new Promise((resolve) => setTimeout(resolve, pause));
        }
        this.#watched.delete(id);
    }

    #prepareLook(id: WorkerId, mayWait: boolean): LookOrder | undefined {
        return this.#isStopped ? undefined : this.#options.dispatcher.prepareLook(id, mayWait);
    }

    async #sendLook(order: LookOrder): Promise<LookAnswer> {
        const { dispatcher, calls, flush, waitServing } = this.#options;
        const isServing = await waitServing();
        if (!isServing) {
            return { type: "unanswered", cause: "not serving" };
        }
        const sentAt = performance.now();
        const answer = await calls.look(order);
        if (!this.#isStopped) {
            dispatcher.handleLook(order, sentAt, answer);
            // Without a lead any more the loop ends; the ends stay listed for the next leader.
            await flush().catch(() => this.stop());
        }
        return answer;
    }
}
