/**
 * Tombstones: cancellations of job ids that no job had. A submission that was delayed on its way, and
 * arrives after its cancellation was acknowledged, is recognized by them.
 *
 * @example
 * ```ts
 * import { Tombstones } from "./tombstones.ts";
 * const tombstones = new Tombstones();
 * tombstones.add(job, { queue, workspace, cancelledAt });
 * tombstones.has(job, ({ queue }) => queue === submission.queue);
 * ```
 *
 * @module
 */

import type { QueueName } from "../configuration/mod.ts";
import type { WorkspaceName } from "../workspace/types.ts";
import type { JobId } from "./types.ts";

/** Whose cancellation it is. */
export interface CancellationScope {
    /** The queue that the cancellation addressed. */
    readonly queue: QueueName;
    /** The workspace of the caller; `undefined` for an anonymous one. */
    readonly workspace: WorkspaceName | undefined;
}

/** The cancellation of a job id by one workspace in one queue. */
export interface Tombstone extends CancellationScope {
    /** When it was last cancelled, in ms since the Unix epoch. */
    readonly cancelledAt: number;
}

/** A tombstone in a snapshot: id, queue, workspace and time. */
export type EncodedTombstone = readonly [JobId, QueueName, WorkspaceName | null, number];

/** Tombstones that their holder may not change. */
export type ReadonlyTombstones = Pick<Tombstones, "size" | "count" | "has" | "hasBefore">;

/** Tombstones by job id. Several workspaces may have cancelled the same id. */
export class Tombstones {
    readonly #byJob = new Map<JobId, readonly Tombstone[]>();
    readonly #counts = new Map<WorkspaceName | undefined, number>();
    #size = 0;

    /** The number of tombstones. */
    get size(): number {
        return this.#size;
    }

    /**
     * Counts the tombstones of a workspace.
     *
     * @param workspace The workspace; `undefined` for anonymous callers.
     * @returns The number of tombstones.
     */
    count(workspace: WorkspaceName | undefined): number {
        return this.#counts.get(workspace) ?? 0;
    }

    /**
     * Adds a tombstone. It replaces an earlier one of the same workspace in the same queue.
     *
     * @param job The cancelled id.
     * @param added The tombstone.
     */
    add(job: JobId, added: Tombstone): void {
        const kept = this.#list(job).filter((known) => !isSameScope(known, added));
        this.#replace(job, [...kept, added]);
    }

    /**
     * Returns whether an id has a matching tombstone.
     *
     * @param job The id.
     * @param isMatch Returns whether a tombstone matches.
     * @returns True if at least one matches.
     */
    has(job: JobId, isMatch: (tombstone: Tombstone) => boolean): boolean {
        return this.#list(job).some(isMatch);
    }

    /**
     * Returns whether any tombstone is older than a time.
     *
     * @param time The time, in ms since the Unix epoch.
     * @returns True if {@link Tombstones.removeBefore} would remove one.
     */
    hasBefore(time: number): boolean {
        for (const tombstones of this.#byJob.values()) {
            if (tombstones.some(({ cancelledAt }) => cancelledAt < time)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Removes the tombstones that are older than a time.
     *
     * @param time The time, in ms since the Unix epoch.
     */
    removeBefore(time: number): void {
        for (const [job, tombstones] of this.#byJob) {
            const kept = tombstones.filter(({ cancelledAt }) => cancelledAt >= time);
            if (kept.length < tombstones.length) {
                this.#replace(job, kept);
            }
        }
    }

    /**
     * Copies the tombstones.
     *
     * @returns An independent copy.
     */
    copy(): Tombstones {
        const copy = new Tombstones();
        this.#byJob.forEach((tombstones, job) => copy.#byJob.set(job, tombstones));
        this.#counts.forEach((count, workspace) => copy.#counts.set(workspace, count));
        copy.#size = this.#size;
        return copy;
    }

    /**
     * Encodes the tombstones for a snapshot.
     *
     * @returns One row for each tombstone.
     */
    encode(): EncodedTombstone[] {
        return [...this.#byJob].flatMap(([job, tombstones]) =>
            tombstones.map(
                ({ queue, workspace, cancelledAt }) =>
                    [job, queue, workspace ?? null, cancelledAt] as const,
            ),
        );
    }

    /**
     * Replaces all tombstones by those of a snapshot.
     *
     * @param rows The rows that {@link Tombstones.encode} returned.
     */
    restore(rows: readonly EncodedTombstone[]): void {
        this.#byJob.clear();
        this.#counts.clear();
        this.#size = 0;
        for (const [job, queue, workspace, cancelledAt] of rows) {
            this.add(job, { queue, workspace: workspace ?? undefined, cancelledAt });
        }
    }

    #list(job: JobId): readonly Tombstone[] {
        return this.#byJob.get(job) ?? [];
    }

    #replace(job: JobId, tombstones: readonly Tombstone[]): void {
        this.#updateCounts(this.#list(job), -1);
        this.#updateCounts(tombstones, 1);
        if (tombstones.length === 0) {
            this.#byJob.delete(job);
        } else {
            this.#byJob.set(job, tombstones);
        }
    }

    #updateCounts(tombstones: readonly Tombstone[], sign: 1 | -1): void {
        this.#size += sign * tombstones.length;
        for (const { workspace } of tombstones) {
            const count = this.count(workspace) + sign;
            if (count === 0) {
                this.#counts.delete(workspace);
            } else {
                this.#counts.set(workspace, count);
            }
        }
    }
}

/**
 * Returns whether two cancellations of one id are of the same workspace and queue.
 *
 * @param a One cancellation.
 * @param b The other one.
 * @returns True if the later one replaces the earlier one.
 */
export function isSameScope(a: CancellationScope, b: CancellationScope): boolean {
    return a.queue === b.queue && a.workspace === b.workspace;
}
