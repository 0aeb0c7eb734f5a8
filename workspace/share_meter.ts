/**
 * Measures the jobs of each workspace against its weight, with one token bucket per workspace. A
 * job that finds a token is entitled; one that finds none is borrowed from what the other
 * workspaces leave unused.
 *
 * @example
 * ```ts
 * import { ShareMeter } from "./share_meter.ts";
 * const meter = new ShareMeter({ getWeight: (name) => stateStore.workspaces.get(name)?.weight });
 * const share = meter.recordJob(workspace, job.acceptedAt);
 * ```
 *
 * @module
 */

import type { ShareClass, WorkspaceName } from "./types.ts";

/** Options of {@link ShareMeter}. */
export interface ShareMeterOptions {
    /**
     * Returns the jobs per second that a workspace is entitled to; `undefined` if its jobs are not
     * metered.
     */
    readonly getWeight: (workspace: WorkspaceName) => number | undefined;
}

/** Time at the weight's rate that fills an empty bucket, in s. */
const CAPACITY_S = 1;
/**
 * Minimum capacity of a bucket, in jobs. Callers come at random, so that a workspace which uses three
 * quarters of its weight on average finds a bucket of 2 empty for a fifth of its jobs, and they
 * were late at usual load; 8 jobs in excess cost the others nothing.
 */
const MIN_CAPACITY = 8;
/** Tolerance of the refill, whose sums of fractions are inexact, in jobs. */
const TOKEN_TOLERANCE = 1e-9;
/**
 * Longest time until a retry, in ms, as for other refusals. Congestion seldom lasts longer, and
 * without it a job needs no token.
 */
const MAX_RETRY_AFTER_MS = 8_000;
/** Span over which the rate of a workspace's jobs is measured, in ms. */
const RATE_WINDOW_MS = 5_000;
/** Resolution of that span, in ms; an error of at most a fiftieth of the rate. */
const RATE_SLOT_MS = 100;
const RATE_SLOTS = RATE_WINDOW_MS / RATE_SLOT_MS;

interface Bucket {
    tokens: number;
    /** The weight at the last refill, in jobs per second. */
    weight: number;
    /** The time of the last refill, in ms since the Unix epoch. */
    refilledAtMs: number;
    readonly rate: JobRate;
}

/** The token buckets of all workspaces. */
export class ShareMeter {
    readonly #getWeight: (workspace: WorkspaceName) => number | undefined;
    readonly #buckets = new Map<WorkspaceName, Bucket>();

    /**
     * @param options The weights; see {@link ShareMeterOptions}.
     */
    constructor(options: ShareMeterOptions) {
        this.#getWeight = options.getWeight;
    }

    /**
     * Records an accepted job and takes a token if there is one.
     *
     * @param workspace The workspace of the job, if any.
     * @param atMs When the job was accepted, in ms since the Unix epoch.
     * @returns The class of the job.
     */
    recordJob(workspace: WorkspaceName | undefined, atMs: number): ShareClass {
        const bucket = this.#updateBucket(workspace, atMs);
        if (bucket === undefined) {
            return "entitled";
        }
        bucket.rate.recordJob(atMs);
        if (!hasToken(bucket)) {
            return "borrowed";
        }
        bucket.tokens = Math.max(0, bucket.tokens - 1);
        return "entitled";
    }

    /**
     * Returns the class that a job would have, without taking a token.
     *
     * @param workspace The workspace of the job, if any.
     * @param atMs The current time, in ms since the Unix epoch.
     * @returns The class.
     */
    checkShare(workspace: WorkspaceName | undefined, atMs: number): ShareClass {
        const bucket = this.#updateBucket(workspace, atMs);
        return bucket === undefined || hasToken(bucket) ? "entitled" : "borrowed";
    }

    /**
     * Computes the time until a workspace's bucket has a token.
     *
     * @param workspace The workspace, if any.
     * @param atMs The current time, in ms since the Unix epoch.
     * @returns The time, in ms; at most 8 s, also for a weight of 0.
     */
    computeRetryAfterMs(workspace: WorkspaceName | undefined, atMs: number): number {
        const bucket = this.#updateBucket(workspace, atMs);
        if (bucket === undefined || hasToken(bucket)) {
            return 0;
        }
        return Math.min(
            MAX_RETRY_AFTER_MS,
            Math.ceil(((1 - bucket.tokens) * 1_000) / bucket.weight),
        );
    }

    /**
     * Returns whether a workspace sends more jobs per second than its weight, over the last 5 s.
     *
     * @param workspace The workspace.
     * @param atMs The current time, in ms since the Unix epoch.
     * @returns True if it borrows; false if its jobs are not metered.
     */
    isBorrowing(workspace: WorkspaceName, atMs: number): boolean {
        const jobs = this.#buckets.get(workspace)?.rate.countJobs(atMs) ?? 0;
        const weight = this.#findWeight(workspace);
        if (weight === undefined || weight === 0) {
            return weight === 0 && jobs > 0;
        }
        // Evenly spaced jobs at the weight's rate are at most one more than the product.
        return jobs - 1 > (weight * RATE_WINDOW_MS) / 1_000;
    }

    /**
     * Returns what is left in a workspace's bucket.
     *
     * @param workspace The workspace.
     * @param atMs The current time, in ms since the Unix epoch.
     * @returns The tokens, in jobs; `undefined` if its jobs are not metered.
     */
    getTokens(workspace: WorkspaceName, atMs: number): number | undefined {
        return this.#updateBucket(workspace, atMs)?.tokens;
    }

    /**
     * Applies changed weights: each bucket is refilled at its old weight up to now, keeps its fill
     * up to its new capacity, and is dropped if its workspace has no weight any more.
     *
     * @param atMs The current time, in ms since the Unix epoch.
     */
    updateWeights(atMs: number): void {
        for (const workspace of [...this.#buckets.keys()]) {
            if (this.#updateBucket(workspace, atMs) === undefined) {
                this.#buckets.delete(workspace);
            }
        }
    }

    #updateBucket(workspace: WorkspaceName | undefined, atMs: number): Bucket | undefined {
        const weight = workspace === undefined ? undefined : this.#findWeight(workspace);
        if (workspace === undefined || weight === undefined) {
            return undefined;
        }
        const bucket = this.#buckets.get(workspace);
        if (bucket === undefined) {
            const created = {
                tokens: computeCapacity(weight),
                weight,
                refilledAtMs: atMs,
                rate: new JobRate(),
            };
            this.#buckets.set(workspace, created);
            return created;
        }
        // After a step back of the clock, nothing is refilled for the step, and the refill goes on
        // from the new time: waiting for the clock to catch up would refuse tokens for as long.
        const elapsedMs = Math.max(0, atMs - bucket.refilledAtMs);
        const refilled = bucket.tokens + (elapsedMs * bucket.weight) / 1_000;
        bucket.tokens = Math.min(refilled, computeCapacity(bucket.weight), computeCapacity(weight));
        bucket.weight = weight;
        bucket.refilledAtMs = atMs;
        return bucket;
    }

    /** Returns a usable weight. Earlier releases store an infinite weight as `null`. */
    #findWeight(workspace: WorkspaceName): number | undefined {
        const weight = this.#getWeight(workspace);
        return Number.isFinite(weight) ? Math.max(0, weight ?? 0) : undefined;
    }
}

/** Counts the jobs of the last {@link RATE_WINDOW_MS}. */
class JobRate {
    readonly #counts = new Array<number>(RATE_SLOTS).fill(0);
    /** The slot of time that each count belongs to. */
    readonly #slots = new Array<number>(RATE_SLOTS).fill(Number.NEGATIVE_INFINITY);

    recordJob(atMs: number): void {
        const slot = Math.floor(atMs / RATE_SLOT_MS);
        const index = slot % RATE_SLOTS;
        this.#counts[index] = this.#slots[index] === slot ? (this.#counts[index] ?? 0) + 1 : 1;
        this.#slots[index] = slot;
    }

    countJobs(atMs: number): number {
        const slot = Math.floor(atMs / RATE_SLOT_MS);
        return this.#counts.reduce((sum, count, i) => {
            const age = slot - (this.#slots[i] ?? 0);
            return age >= 0 && age < RATE_SLOTS ? sum + count : sum;
        }, 0);
    }
}

function computeCapacity(weight: number): number {
    return weight === 0 ? 0 : Math.max(MIN_CAPACITY, weight * CAPACITY_S);
}

function hasToken({ tokens, weight }: Bucket): boolean {
    return weight > 0 && tokens >= 1 - TOKEN_TOLERANCE;
}
