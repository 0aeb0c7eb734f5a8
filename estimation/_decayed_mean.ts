/**
 * An exponentially decayed weighted mean with the variance of its error, in constant memory.
 *
 * @example
 * ```ts
 * import { DecayedMean } from "./_decayed_mean.ts";
 * const mean = new DecayedMean(10_000);
 * mean.add({ deviation: 0.2, weight: 0.85, variance: 0.04, group: job, now });
 * mean.computeVariance(now); // 0.04, of one sample
 * ```
 *
 * @module
 */

/** Number of groups that are remembered; about as many jobs as run on a worker at the same time. */
const MAX_GROUPS = 4;

/** One sample of a {@link DecayedMean}. */
export interface MeanSample {
    /** Its distance from the current mean. */
    readonly deviation: number;
    readonly weight: number;
    /** Variance of the sample's error. */
    readonly variance: number;
    /**
     * Samples of one group have the same error and count as one in the variance of the mean, as long
     * as the group is among the last {@link MAX_GROUPS}; `undefined` for a sample of its own.
     */
    readonly group: string | undefined;
    /** The current monotonic time, in ms. */
    readonly now: number;
}

/** A weighted mean in which older samples count less. */
export class DecayedMean {
    readonly #decayMs: number;
    #weight = 0;
    /** Sum of the groups' squared weights, each times the variance of its samples. */
    #squaredErrors = 0;
    /** The last groups and the sums of their weights; the oldest one is at `#oldestGroup`. */
    readonly #groups = new Array<string | undefined>(MAX_GROUPS).fill(undefined);
    readonly #groupWeights = new Array<number>(MAX_GROUPS).fill(0);
    #oldestGroup = 0;
    #updatedAtMs = Number.NEGATIVE_INFINITY;
    /** The mean; 0 without samples. */
    mean = 0;

    /**
     * @param decayMs Time constant of the decay, in ms.
     */
    constructor(decayMs: number) {
        this.#decayMs = decayMs;
    }

    /** When the last sample was added, in ms. */
    get updatedAtMs(): number {
        return this.#updatedAtMs;
    }

    /**
     * Adds a sample.
     *
     * @param sample The sample.
     */
    add({ deviation, weight, variance, group, now }: MeanSample): void {
        const ageMs = Math.max(0, now - this.#updatedAtMs);
        const decay = ageMs === 0 ? 1 : Math.exp(-ageMs / this.#decayMs);
        const groupWeight = this.#takeGroupWeight(group, weight, decay);
        this.#weight = this.#weight * decay + weight;
        this.#squaredErrors =
            this.#squaredErrors * decay * decay + (2 * groupWeight + weight) * weight * variance;
        this.#updatedAtMs = Math.max(now, this.#updatedAtMs);
        this.mean += (weight / this.#weight) * deviation;
    }

    /**
     * Returns whether a sample would have the same error as an earlier one.
     *
     * @param group The sample's group.
     * @returns True if the group is among the last ones.
     */
    hasGroup(group: string | undefined): boolean {
        return group !== undefined && this.#groups.includes(group);
    }

    /** Adds a weight to its group and returns the group's weight before. */
    #takeGroupWeight(group: string | undefined, weight: number, decay: number): number {
        if (decay < 1) {
            for (let i = 0; i < MAX_GROUPS; i++) {
                this.#groupWeights[i] = (this.#groupWeights[i] ?? 0) * decay;
            }
        }
        if (group === undefined) {
            return 0;
        }
        const known = this.#groups.indexOf(group);
        const before = known < 0 ? 0 : (this.#groupWeights[known] ?? 0);
        const index = known < 0 ? this.#oldestGroup : known;
        if (known < 0) {
            this.#groups[index] = group;
            this.#oldestGroup = (index + 1) % MAX_GROUPS;
        }
        this.#groupWeights[index] = before + weight;
        return before;
    }

    /**
     * Computes the variance of the mean's error. It grows with the age of the newest sample.
     *
     * @param now The current monotonic time, in ms.
     * @returns The variance; infinite without samples.
     */
    computeVariance(now: number): number {
        if (this.#weight <= 0) {
            return Number.POSITIVE_INFINITY;
        }
        const ageMs = Math.max(0, now - this.#updatedAtMs);
        const variance = this.#squaredErrors / (this.#weight * this.#weight);
        return ageMs === 0 ? variance : variance * Math.exp(ageMs / this.#decayMs);
    }
}
