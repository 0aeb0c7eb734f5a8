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
const DEFAULT_HOLD_MS = 200;
/** Questions that wait at the same time at most: some hundred bytes each. */
const MAX_WAITING = 2_000;

interface Waiter {
    readonly job: JobId;
    readonly finish: () => void;
}

/** Options of {@link StateReader}. */
export interface StateReaderOptions {
    /** How long a question waits, in ms. */
    readonly holdMs?: number;
}

/** Reads of one replica. */
export class StateReader {
    readonly #ledger: StateStore;
    readonly #holdMs: number;
    readonly #waiters = new Set<Waiter>();

    /**
     * @param ledger The replica.
     * @param options How long a question waits.
     */
    constructor(ledger: StateStore, options: StateReaderOptions = {}) {
        this.#ledger = ledger;
        this.#holdMs = options.holdMs ?? DEFAULT_HOLD_MS;
    }

    /**
     * Reads a job's state.
     *
     * @param id The job.
     * @returns The answer, or `undefined` when the replica does not know the job.
     */
    async readState(id: JobId): Promise<CallerAnswer | undefined> {
        const job = this.#ledger.jobs.get(id);
        if (job !== undefined && isAboutToEnd(job) && this.#waiters.size < MAX_WAITING) {
            await this.#waitForEnd(id);
        }
        const known = this.#ledger.jobs.get(id);
        return known === undefined ? undefined : { type: "state", state: known.state };
    }

    /** Answers the questions about jobs that have ended; called after each change of the replica. */
    update(): void {
        for (const waiter of this.#waiters) {
            if (this.#ledger.jobs.get(waiter.job)?.endedAt !== undefined) {
                waiter.finish();
            }
        }
    }

    #waitForEnd(job: JobId): Promise<void> {
        return new Promise((resolve) => {
            const finish = (): void => {
                clearTimeout(timer);
                this.#waiters.delete(waiter);
                resolve();
            };
            const timer = setTimeout(finish, this.#holdMs);
            const waiter: Waiter = { job, finish };
            this.#waiters.add(waiter);
        });
    }
}

/** A job of set times, or whose tasks last, is not asked about because it is about to end. */
function isAboutToEnd(job: Job): boolean {
    const isShort = job.spec?.repeats === 0 && job.spec.steps.every((step) => !step.isPerpetual);
    return job.state === "running" && isShort;
}
