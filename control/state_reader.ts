/**
 * Answers questions about a job's state from a replica. The pattern: a caller asks the moment its last
 * task has ended, some tens of milliseconds before that end is on record here, is told `running`, and
 * comes again only after a pause. An answer that is about to change is therefore held until it does,
 * for a moment.
 *
 * @example
 * ```ts
 * import { StateReader } from "./state_reader.ts";
 * const reader = new StateReader(ledger);
 * const answer = await reader.readState(job);
 * ```
 *
 * @module
 */

import type { Job, JobId, StateStore } from "../job/mod.ts";
import type { CallerAnswer } from "./calls.ts";

/**
 * How long a question waits for a running job's end, in ms: longer than an end takes to be on record (a pause
 * between two looks at a worker, the way, a commit), below the silence after which a front takes the leader for
 * lost.
 */
const DEFAULT_MAX_WAIT_MS = 200;
/** Questions that wait at the same time at most: some hundred bytes each. */
const MAX_WAITING_READS = 2_000;

interface PendingRead {
    readonly job: JobId;
    readonly finish: () => void;
}

/** Options of {@link StateReader}. */
export interface StateReaderOptions {
    /** How long a question waits, in ms. */
    readonly maxWaitMs?: number;
}

/** Reads of one replica. */
export class StateReader {
    readonly #ledger: StateStore;
    readonly #maxWaitMs: number;
    readonly #pendingReads = new Set<PendingRead>();

    /**
     * @param ledger The replica.
     * @param options How long a question waits.
     */
    constructor(ledger: StateStore, options: StateReaderOptions = {}) {
        this.#ledger = ledger;
        this.#maxWaitMs = options.maxWaitMs ?? DEFAULT_MAX_WAIT_MS;
    }

    /**
     * Reads a job's state.
     *
     * @param id The job.
     * @returns The answer, or `undefined` when the replica does not know the job.
     */
    async readState(id: JobId): Promise<CallerAnswer | undefined> {
        const job = this.#ledger.jobs.get(id);
        if (job !== undefined && isAboutToEnd(job) && this.#pendingReads.size < MAX_WAITING_READS) {
            await this.#waitForEnd(id);
        }
        const known = this.#ledger.jobs.get(id);
        return known === undefined ? undefined : { type: "state", state: known.state };
    }

    /** Answers the questions about jobs that have ended; called after each change of the replica. */
    resolveEndedJobs(): void {
        for (const pendingRead of this.#pendingReads) {
            if (this.#ledger.jobs.get(pendingRead.job)?.endedAt !== undefined) {
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

/** A job of set times, or whose tasks last, is not asked about because it is about to end. */
function isAboutToEnd(job: Job): boolean {
    const isOneShot = job.spec?.repeats === 0 && job.spec.steps.every((step) => !step.isPerpetual);
    return job.state === "running" && isOneShot;
}
