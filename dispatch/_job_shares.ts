/**
 * Keeps the share class of each open job. The classes follow from the recorded acceptance times, so
 * that nothing is replicated for them.
 *
 * @example
 * ```ts
 * import { JobShares } from "./_job_shares.ts";
 * const shares = new JobShares({ stateStore, clock, admission: "forecast" });
 * const share = shares.recordAccepted(job);
 * ```
 *
 * @module
 */

import type { AdmissionMode } from "../admission/types.ts";
import type { Job, JobId, StateStore } from "../job/mod.ts";
import { ShareMeter, type ShareClass, type WorkspaceName } from "../workspace/mod.ts";
import type { DispatchClock } from "./types.ts";

/** Options of {@link JobShares}. */
export interface JobSharesOptions {
    readonly stateStore: StateStore;
    readonly clock: DispatchClock;
    /** With "off", every job is entitled. */
    readonly admission: AdmissionMode;
}

/** Added to the priority of borrowed jobs; larger than any difference between queues. */
const BORROWED_PRIORITY_OFFSET = 1_000;

/** The share classes of one leader's open jobs. */
export class JobShares {
    readonly #stateStore: StateStore;
    readonly #clock: DispatchClock;
    readonly #isEnabled: boolean;
    readonly #meter: ShareMeter;
    /** Open jobs that found no token. */
    readonly #borrowedJobs = new Set<JobId>();

    /**
     * @param options The replicated state, the clocks and the setting.
     */
    constructor(options: JobSharesOptions) {
        this.#stateStore = options.stateStore;
        this.#clock = options.clock;
        this.#isEnabled = options.admission === "forecast";
        this.#meter = new ShareMeter({
            getWeight: (workspace) =>
                this.#isEnabled ? this.#stateStore.workspaces.get(workspace)?.weight : undefined,
        });
    }

    /**
     * Restores the classes of the jobs on record. Ended jobs count as well: their tokens are not in
     * the buckets any more. The weights in force apply to all of them.
     */
    restore(): void {
        for (const job of this.#stateStore.jobs.values()) {
            this.#recordJob(job, job.acceptedAt);
        }
    }

    /**
     * Records a job that was just accepted.
     *
     * @param job The job.
     * @returns Its class; `undefined` if its jobs are not metered.
     */
    recordAccepted(job: Job): ShareClass | undefined {
        // The recorded time stands still after a step back of the wall clock; by it, every job
        // would be borrowed until the clock has caught up.
        const share = this.#recordJob(job, this.#clock.getWallTimeMs());
        return this.#findWeight(job.workspace) === undefined ? undefined : share;
    }

    /**
     * Returns the class of an open job.
     *
     * @param id The job.
     * @returns The class, which never changes.
     */
    getShare(id: JobId): ShareClass {
        return this.#borrowedJobs.has(id) ? "borrowed" : "entitled";
    }

    /**
     * Computes the priority that decides which tasks may preempt each other: a borrowed job is less
     * urgent than every entitled one.
     *
     * @param id The job.
     * @param priority The priority of its queue.
     * @returns The priority; 0 is the most urgent.
     */
    computePreemptionPriority(id: JobId, priority: number): number {
        return this.#borrowedJobs.has(id) ? priority + BORROWED_PRIORITY_OFFSET : priority;
    }

    /**
     * Removes a job that has ended.
     *
     * @param id The job.
     */
    removeJob(id: JobId): void {
        this.#borrowedJobs.delete(id);
    }

    /**
     * Finds the class that a job submitted now would have, if its workspace is metered.
     *
     * @param workspace Its workspace, if any.
     * @returns The class, or `undefined` if the workspace has no weight.
     */
    findShareNow(workspace: WorkspaceName | undefined): ShareClass | undefined {
        return this.#findWeight(workspace) === undefined ? undefined : this.checkShare(workspace);
    }

    /**
     * Returns the class that a job submitted now would have.
     *
     * @param workspace Its workspace, if any.
     * @returns The class.
     */
    checkShare(workspace: WorkspaceName | undefined): ShareClass {
        return this.#meter.checkShare(workspace, this.#clock.getWallTimeMs());
    }

    /**
     * Computes the time until a job of a workspace would be entitled.
     *
     * @param workspace The workspace, if any.
     * @returns The time, in ms; at most 8 s.
     */
    computeRetryAfterMs(workspace: WorkspaceName | undefined): number {
        return this.#meter.computeRetryAfterMs(workspace, this.#clock.getWallTimeMs());
    }

    /**
     * Returns whether a workspace sends more jobs per second than its weight, over the last 5 s.
     *
     * @param workspace The workspace.
     * @returns True if it borrows.
     */
    isBorrowing(workspace: WorkspaceName): boolean {
        return this.#meter.isBorrowing(workspace, this.#clock.getWallTimeMs());
    }

    /** Applies the weights of a configuration that has just come into force. */
    updateWeights(): void {
        this.#meter.updateWeights(this.#clock.getWallTimeMs());
    }

    #recordJob(job: Job, atMs: number): ShareClass {
        const share = this.#meter.recordJob(job.workspace, atMs);
        if (share === "borrowed" && job.endedAt === undefined) {
            this.#borrowedJobs.add(job.id);
        }
        return share;
    }

    #findWeight(workspace: WorkspaceName | undefined): number | undefined {
        return this.#isEnabled && workspace !== undefined
            ? this.#stateStore.workspaces.get(workspace)?.weight
            : undefined;
    }
}
