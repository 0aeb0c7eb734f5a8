/**
 * Counts what all open jobs hold together.
 *
 * @example
 * ```ts
 * import { OpenWork } from "./_open_work.ts";
 * const openWork = new OpenWork(limits);
 * const problem = openWork.checkCapacityFor(size);
 * ```
 *
 * @module
 */

import type { JobId } from "../job/mod.ts";
import type { JobSize, WorkLimits } from "./work_limits.ts";

/** The open jobs of one leader and their total size. */
export class OpenWork {
    readonly #limits: WorkLimits;
    readonly #sizes = new Map<JobId, JobSize>();
    #tasks = 0;
    #steps = 0;
    #characters = 0;

    /**
     * @param limits The bounds.
     */
    constructor(limits: WorkLimits) {
        this.#limits = limits;
    }

    /**
     * Adds an open job.
     *
     * @param job The job.
     * @param size Its size.
     */
    addJob(job: JobId, size: JobSize): void {
        this.removeJob(job);
        this.#sizes.set(job, size);
        this.#addTotals(size, 1);
    }

    /**
     * Removes a job that has ended.
     *
     * @param job The job; no effect if it was not added.
     */
    removeJob(job: JobId): void {
        const size = this.#sizes.get(job);
        if (size !== undefined) {
            this.#sizes.delete(job);
            this.#addTotals(size, -1);
        }
    }

    /**
     * Checks whether there is capacity for another job.
     *
     * @param size The size of the job, which is within the bounds of single jobs.
     * @returns The bound that would be exceeded, in words, or `undefined` if there is capacity.
     */
    checkCapacityFor({ tasks, steps, characters }: JobSize): string | undefined {
        const { maxOpenTasks, maxOpenSteps, maxOpenCharacters } = this.#limits;
        return (
            checkTotal("tasks", this.#tasks + tasks, maxOpenTasks) ??
            checkTotal("steps", this.#steps + steps, maxOpenSteps) ??
            checkTotal("characters", this.#characters + characters, maxOpenCharacters)
        );
    }

    #addTotals({ tasks, steps, characters }: JobSize, sign: 1 | -1): void {
        this.#tasks += sign * tasks;
        this.#steps += sign * steps;
        this.#characters += sign * characters;
    }
}

function checkTotal(name: string, total: number, limit: number): string | undefined {
    return total <= limit ? undefined : `the open jobs hold up to ${limit} ${name} together`;
}
