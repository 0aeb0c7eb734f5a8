/**
 * Reads job states from a replica. A read of a running job waits briefly for its end to be
 * replicated, so that a caller that asks right after the last task doesn't receive `running`.
 *
 * @example
 * ```ts
 * import { StateReader } from "./state_reader.ts";
 * const reader = new StateReader(store);
 * const answer = await reader.readState(job);
 * ```
 *
 * @module
 */

import type { Job, JobId, StateStore } from "../job/mod.ts";
import type { CallerAnswer } from "./calls.ts";

/**
 * How long a read waits for the end of a running job, in ms. This covers the usual poll and commit
 * latency and is below the failover timeout of a front.
 */
const DEFAULT_MAX_WAIT_MS = 200;
/**
 * The maximum number of reads that wait at the same time, some hundred bytes each; further ones
 * return immediately.
 */
const MAX_PENDING_READS = 2_000;

interface PendingRead {
    readonly job: JobId;
    readonly finish: () => void;
}

/** Options of {@link StateReader}. */
export interface StateReaderOptions {
    /** The maximum wait of a read, in ms. */
    readonly maxWaitMs?: number;
}

/** Reads job states from one replica. */
export class StateReader {
    readonly #store: StateStore;
    readonly #maxWaitMs: number;
    readonly #pendingReads = new Set<PendingRead>();

    /**
     * @param store The replica.
     * @param options The maximum wait.
     */
    constructor(store: StateStore, options: StateReaderOptions = {}) {
        this.#store = store;
        this.#maxWaitMs = options.maxWaitMs ?? DEFAULT_MAX_WAIT_MS;
    }

    /**
     * Reads a job's state.
     *
     * @param id The job.
     * @returns The answer, or `undefined` if the replica doesn't know the job.
     */
    async readState(id: JobId): Promise<CallerAnswer | undefined> {
        const job = this.#store.jobs.get(id);
        if (
            job !== undefined &&
            isRunningOneShot(job) &&
            this.#pendingReads.size < MAX_PENDING_READS
        ) {
            await this.#waitForEnd(id);
        }
        const known = this.#store.jobs.get(id);
        return known === undefined ? undefined : { type: "state", state: known.state };
    }

    /**
     * Completes the waiting reads of jobs that have ended. Call it after each change of the
     * replica.
     */
    resolveEndedJobs(): void {
        for (const pendingRead of this.#pendingReads) {
            if (this.#store.jobs.get(pendingRead.job)?.endedAt !== undefined) {
                pendingRead.finish();
            }
        }
    }

    #waitForEnd(job: JobId): Promise<void> {
        return new Promise((resolve) => {
            const finish = (): void => {
                clearTimeout(timer);
                this.#pendingReads.delete(pendingRead);
                resolve();
            };
            const timer = setTimeout(finish, this.#maxWaitMs);
            const pendingRead: PendingRead = { job, finish };
            this.#pendingReads.add(pendingRead);
        });
    }
}

/** Returns whether a job is running and has neither repeats nor perpetual tasks. */
function isRunningOneShot(job: Job): boolean {
    const isOneShot = job.spec?.repeats === 0 && job.spec.steps.every((step) => !step.isPerpetual);
    return job.state === "running" && isOneShot;
}
