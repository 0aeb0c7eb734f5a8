/**
 * Learns from the durations of ended tasks how far the estimates of each queue are off and how fast
 * each worker is: the logarithm of a task's actual duration divided by its estimate is its queue's
 * bias plus its worker's slowness plus noise. Has no clock of its own.
 *
 * @example
 * ```ts
 * import { DurationModel, getMachineKey } from "./duration_model.ts";
 * const model = new DurationModel();
 * const worker = getMachineKey(record);
 * model.recordEnd({ pool, queue, worker, job, estimateMs: 850, actualMs: 1_214, now });
 * model.getQueueRatio(queue).median; // 1.43 once the queue is known well
 * model.getWorkerSpeed(worker).speed; // 1 for a worker of the pool's usual speed
 * ```
 *
 * @module
 */

import type { PoolName, QueueName } from "../configuration/mod.ts";
import type { Brand } from "../inventory/mod.ts";
import type { JobId, WorkerRecord } from "../job/mod.ts";
import { DecayedMean } from "./_decayed_mean.ts";

/** Identifies a machine across the restarts of its worker. */
export type MachineKey = Brand<string, "MachineKey">;

/** The end of a task. */
export interface DurationSample {
    /** Speeds are relative to the workers of the same pool. */
    readonly pool?: PoolName | undefined;
    readonly queue: QueueName;
    readonly worker: MachineKey;
    /**
     * The task's job, if known. The tasks of a job share the error of its estimate, so several of
     * them on one worker say no more about its speed than one.
     */
    readonly job?: JobId | undefined;
    /** The caller's estimate, in ms. */
    readonly estimateMs: number;
    /** From the accepted start to the reported end, in ms. */
    readonly actualMs: number;
    /** The current monotonic time, in ms. */
    readonly now: number;
}

/** Actual durations of a queue's tasks on a worker of usual speed, divided by their estimates. */
export interface QueueRatio {
    /** 1 while unknown. */
    readonly median: number;
    /**
     * The sum of actual durations over the sum of estimates. It may be far from the median: few
     * tasks take much longer than the others, and the largest estimates are mostly too high. 1 while
     * unknown.
     */
    readonly total: number;
    /** The ratio that four fifths of the tasks don't exceed; 1 while unknown. */
    readonly p80: number;
    /** Number of independent recent samples, approximately. */
    readonly samples: number;
}

/** What is known about a worker's speed. */
export interface WorkerSpeedEstimate {
    /** Relative to the usual speed of the pool, which is the median worker's; 1 while unknown. */
    readonly speed: number;
    /** From 0 (unknown) to 1. */
    readonly confidence: number;
}

/** The speeds of the workers that are known with confidence. */
export interface SpeedSummary {
    /** Number of those workers. */
    readonly workers: number;
    /** The speed that a tenth of them don't exceed; 1 if there are none. */
    readonly slowestTenth: number;
    /** The speed that a tenth of them reach; 1 if there are none. */
    readonly fastestTenth: number;
}

interface QueueState {
    readonly pool: PoolState;
    /** Logarithm of the ratio. */
    readonly bias: DecayedMean;
    /** Variance of the samples around the model. */
    noise: number;
    noiseWeight: number;
    readonly totals: WorkTotals;
}

/** Decayed sums over a queue's tasks, in ms. */
interface WorkTotals {
    estimatedMs: number;
    actualMs: number;
    updatedAtMs: number;
}

interface WorkerState {
    readonly pool: PoolState;
    /** Logarithm of the slowness as measured, relative to the mean of the pool. */
    readonly measured: DecayedMean;
    /** The same, drawn towards 0 by as much as the measurement may be off; from the last refresh. */
    slowness: number;
    estimate: WorkerSpeedEstimate;
    isConfident: boolean;
}

interface PoolState {
    readonly queues: Map<QueueName, QueueState>;
    readonly workers: Map<MachineKey, WorkerState>;
    /** Variance of the true slowness of the pool's workers. */
    spread: number;
    /** Whether the spread is too large to be due to chance. */
    isSpreadSignificant: boolean;
    /** Logarithm of the slowness of the median worker. */
    usualSlowness: number;
    summary: SpeedSummary;
    isUnequal: boolean;
    refreshedAtMs: number;
}

/** Durations above this are ignored, in ms; no task of a queue with an objective runs for an hour. */
const MAX_DURATION_MS = 3_600_000;
/** A sample counts by at least this work, in ms: the square of a tiny weight would be 0. */
const MIN_SAMPLE_WORK_MS = 1;
/** A sample counts by its work up to this, in ms, so that a single long task doesn't dominate. */
const MAX_SAMPLE_WORK_MS = 10_000;
/** Time constant of queues, in ms: the work that callers send changes within bursts of 4 to 6 s. */
const QUEUE_DECAY_MS = 10_000;
/** Time constant of workers, in ms: a worker ends one or two tasks a second. */
const WORKER_DECAY_MS = 30_000;
/** Entries without a sample for this long are evicted, in ms. */
const RETENTION_MS = 120_000;
/** Logarithm of the largest deviation from the estimate that a sample may show: a factor of 20. */
const MAX_LOG_RATIO = 3;
/**
 * Deviations are clipped at this multiple of the expected one, so that a task that takes seven
 * times as long moves an estimate no more than an ordinary one.
 */
const DEVIATION_CLIP = 1;
/** Multiple of the noise at which deviations are clipped when the noise itself is measured. */
const NOISE_CLIP = 2;
/** Makes up for that clipping: 1 / E[min(z^2, 4)] of a standard normal z. */
const NOISE_CLIP_CORRECTION = 1.086;
/** Assumed noise of a queue before any sample: estimates are off by half and more. */
const PRIOR_NOISE = 0.6 ** 2;
/** Weight of that assumption, as a number of samples. */
const PRIOR_NOISE_SAMPLES = 3;
/** Greatest weight of the samples so far; later ones replace older ones. */
const MAX_NOISE_SAMPLES = 500;
/** Range of a queue's noise; even with exact estimates, ends are noticed some 10 ms late. */
const MIN_NOISE = 0.1 ** 2;
const MAX_NOISE = 1.5 ** 2;
/** Variance of the logarithm of a ratio or a speed that is not known at all. */
const PRIOR_VARIANCE = 0.5 ** 2;
/**
 * Confidence from which a worker's speed counts as known: the standard deviation of its logarithm is
 * then at most 0.4. Errors of that size alone don't make workers unequal, see
 * {@link SIGNIFICANCE}.
 */
const MIN_CONFIDENCE = 0.6;
/**
 * The measured speeds of workers that are all alike differ by chance. Their spread must exceed what
 * remains of chance by this many standard errors, and by more of them in a small pool, whose spread
 * follows a distribution with a long tail; see {@link SMALL_POOL_WORKERS}.
 */
const SIGNIFICANCE = 5;
/** With this many workers, twice as many standard errors are required. */
const SMALL_POOL_WORKERS = 8;
/** Share of the workers seen lately that must be known before they may count as unequal. */
const MIN_KNOWN_SHARE = 0.25;
/** Speeds of the fastest and the slowest tenth whose ratio exceeds this are unequal. */
const UNEQUAL_RATIO = 1.75;
/** Time between two refreshes of the values that depend on all workers of a pool, in ms. */
const REFRESH_INTERVAL_MS = 250;
/** The 80th percentile of the standard normal distribution. */
const P80_DEVIATIONS = 0.8416;
const MIN_RATIO = 0.25;
const MAX_RATIO = 4;
const MIN_SPEED = 0.5;
const MAX_SPEED = 2;

/** Work at a ratio of 1 that the totals of an unknown queue begin with, in ms; some ten tasks. */
const PRIOR_TOTAL_MS = 20_000;
const UNKNOWN_RATIO: QueueRatio = { median: 1, total: 1, p80: 1, samples: 0 };
const UNKNOWN_SPEED: WorkerSpeedEstimate = { speed: 1, confidence: 0 };
const UNKNOWN_SUMMARY: SpeedSummary = { workers: 0, slowestTenth: 1, fastestTenth: 1 };

/**
 * Returns the key under which a worker's speed is learned, which outlives the worker's restarts if
 * it reports its machine.
 *
 * @param record The worker.
 * @returns Its machine, or the worker's id if it does not report one.
 */
export function getMachineKey(record: Pick<WorkerRecord, "id" | "instance">): MachineKey {
    return (record.instance === "" ? record.id : record.instance) as string as MachineKey;
}

/** Estimates of queues' ratios and workers' speeds, for one leader. */
export class DurationModel {
    readonly #pools = new Map<PoolName | undefined, PoolState>();
    readonly #queues = new Map<QueueName, QueueState>();
    readonly #workers = new Map<MachineKey, WorkerState>();
    #now = Number.NEGATIVE_INFINITY;
    #ignoredSamples = 0;
    /** Reused for sorting; as long as the largest pool. */
    #scratch = new Float64Array(64);

    /** Number of samples that were ignored because a duration was out of range. */
    get ignoredSamples(): number {
        return this.#ignoredSamples;
    }

    /** Number of machines and queues with samples. */
    get size(): number {
        return this.#workers.size + this.#queues.size;
    }

    /**
     * Records the end of a task.
     *
     * @param sample Its queue, its worker and its durations.
     */
    recordEnd(sample: DurationSample): void {
        const { estimateMs, actualMs, job } = sample;
        if (!isInRange(estimateMs) || !isInRange(actualMs) || !Number.isFinite(sample.now)) {
            this.#ignoredSamples += 1;
            return;
        }
        this.#now = Math.max(this.#now, sample.now);
        const now = this.#now;
        const pool = this.#ensurePool(sample.pool);
        const queue = this.#ensureQueue(pool, sample.queue);
        const worker = this.#ensureWorker(pool, sample.worker);
        const logRatio = computeClipped(Math.log(actualMs / estimateMs), MAX_LOG_RATIO);
        const workMs = computeBounded(estimateMs, MIN_SAMPLE_WORK_MS, MAX_SAMPLE_WORK_MS);
        // The slowness as measured if workers do differ: placement then sends urgent queues to fast
        // workers alone, and what is drawn towards 0 would little by little pass into their biases.
        const slowness = pool.isSpreadSignificant ? worker.measured.mean : worker.slowness;
        // A worker of unknown speed says little about the queue.
        const uncertainty = Math.min(pool.spread, worker.measured.computeVariance(now));
        const sampleVariance = queue.noise + uncertainty;
        // The queue is updated first: what all workers have in common is its bias, not their speed.
        queue.bias.add({
            deviation: computeClippedDeviation(logRatio - slowness, queue.bias, queue.noise, now),
            // Not by its work: a task whose estimate is too high would count more for that reason.
            weight: queue.noise / sampleVariance,
            variance: sampleVariance,
            group: job,
            now,
        });
        addToTotals(queue.totals, sample, now);
        const residual = logRatio - queue.bias.mean;
        if (!worker.measured.hasGroup(job)) {
            updateNoise(queue, worker.measured, residual, now);
        }
        const variance = queue.noise + queue.bias.computeVariance(now);
        worker.measured.add({
            deviation: computeClippedDeviation(residual, worker.measured, variance, now),
            weight: workMs / variance,
            variance,
            group: job,
            now,
        });
        if (now - pool.refreshedAtMs >= REFRESH_INTERVAL_MS) {
            this.#updatePool(pool, now);
        }
    }

    /**
     * Returns how the actual durations of a queue's tasks compare with their estimates.
     *
     * @param queue The queue.
     * @returns Ratios from 0.25 to 4; 1 while unknown.
     */
    getQueueRatio(queue: QueueName): QueueRatio {
        const state = this.#queues.get(queue);
        if (state === undefined) {
            return UNKNOWN_RATIO;
        }
        const variance = state.bias.computeVariance(this.#now);
        const confidence = computeConfidence(variance);
        const bias = (state.bias.mean + state.pool.usualSlowness) * confidence;
        const deviation = P80_DEVIATIONS * Math.sqrt(state.noise) * confidence;
        return {
            median: computeBounded(Math.exp(bias), MIN_RATIO, MAX_RATIO),
            total: computeBounded(
                state.totals.actualMs / state.totals.estimatedMs,
                MIN_RATIO,
                MAX_RATIO,
            ),
            p80: computeBounded(Math.exp(bias + deviation), MIN_RATIO, MAX_RATIO),
            samples: state.noise / variance,
        };
    }

    /**
     * Returns a worker's speed.
     *
     * @param worker The worker's machine.
     * @returns A speed from 0.5 to 2, relative to the pool's usual speed; 1 while unknown.
     */
    getWorkerSpeed(worker: MachineKey): WorkerSpeedEstimate {
        return this.#workers.get(worker)?.estimate ?? UNKNOWN_SPEED;
    }

    /**
     * Returns whether the speeds of a pool's workers differ by more than estimation errors explain.
     *
     * @param pool The pool; any pool by default.
     * @returns True if the fastest tenth is more than 1.75 times as fast as the slowest tenth.
     */
    hasUnequalWorkers(pool?: PoolName): boolean {
        if (pool !== undefined) {
            return this.#pools.get(pool)?.isUnequal ?? false;
        }
        for (const { isUnequal } of this.#pools.values()) {
            if (isUnequal) {
                return true;
            }
        }
        return false;
    }

    /**
     * Summarizes the speeds of each pool's workers.
     *
     * @returns The summaries by pool.
     */
    summarizeSpeeds(): Map<PoolName | undefined, SpeedSummary> {
        return new Map([...this.#pools].map(([name, { summary }]) => [name, summary]));
    }

    /**
     * Lists the speeds of the workers that are known with confidence.
     *
     * @returns The speeds, in no order.
     */
    listWorkerSpeeds(): number[] {
        return [...this.#workers.values()]
            .filter(({ isConfident }) => isConfident)
            .map(({ estimate }) => estimate.speed);
    }

    /**
     * Lists the ratios of all queues with samples.
     *
     * @returns The ratios by queue.
     */
    listQueueRatios(): Map<QueueName, QueueRatio> {
        return new Map([...this.#queues.keys()].map((name) => [name, this.getQueueRatio(name)]));
    }

    #ensurePool(name: PoolName | undefined): PoolState {
        let pool = this.#pools.get(name);
        if (pool === undefined) {
            pool = {
                queues: new Map(),
                workers: new Map(),
                spread: 0,
                isSpreadSignificant: false,
                usualSlowness: 0,
                summary: UNKNOWN_SUMMARY,
                isUnequal: false,
                refreshedAtMs: Number.NEGATIVE_INFINITY,
            };
            this.#pools.set(name, pool);
        }
        return pool;
    }

    /** Finds a queue's state; a queue that has moved to another pool is learned anew. */
    #ensureQueue(pool: PoolState, name: QueueName): QueueState {
        let queue = this.#queues.get(name);
        if (queue?.pool !== pool) {
            queue?.pool.queues.delete(name);
            queue = {
                pool,
                bias: new DecayedMean(QUEUE_DECAY_MS),
                noise: PRIOR_NOISE,
                noiseWeight: PRIOR_NOISE_SAMPLES,
                totals: {
                    estimatedMs: PRIOR_TOTAL_MS,
                    actualMs: PRIOR_TOTAL_MS,
                    updatedAtMs: this.#now,
                },
            };
            this.#queues.set(name, queue);
            pool.queues.set(name, queue);
        }
        return queue;
    }

    #ensureWorker(pool: PoolState, key: MachineKey): WorkerState {
        let worker = this.#workers.get(key);
        if (worker?.pool !== pool) {
            worker?.pool.workers.delete(key);
            worker = {
                pool,
                measured: new DecayedMean(WORKER_DECAY_MS),
                slowness: 0,
                estimate: UNKNOWN_SPEED,
                isConfident: false,
            };
            this.#workers.set(key, worker);
            pool.workers.set(key, worker);
        }
        return worker;
    }

    /** Updates the values that depend on all workers of a pool. */
    #updatePool(pool: PoolState, now: number): void {
        pool.refreshedAtMs = now;
        this.#removeStale(pool, now);
        this.#updateSpread(pool, now);
        const sorted = this.#updateSlowness(pool, now);
        pool.usualSlowness = computeQuantile(sorted, 0.5);
        this.#updateSpeeds(pool, now);
    }

    #removeStale(pool: PoolState, now: number): void {
        for (const [key, { measured }] of pool.workers) {
            if (now - measured.updatedAtMs > RETENTION_MS) {
                pool.workers.delete(key);
                this.#workers.delete(key);
            }
        }
        for (const [name, { bias }] of pool.queues) {
            if (now - bias.updatedAtMs > RETENTION_MS) {
                pool.queues.delete(name);
                this.#queues.delete(name);
            }
        }
    }

    /**
     * Measures how much the workers differ beyond the errors of their measurements, and moves what
     * they have in common into the queues' biases. With workers that are all alike, the spread is
     * close to 0, and so are the values that {@link WorkerState.slowness} takes.
     */
    #updateSpread(pool: PoolState, now: number): void {
        let weightSum = 0;
        let sum = 0;
        for (const { measured } of pool.workers.values()) {
            const weight = 1 / (measured.computeVariance(now) + PRIOR_VARIANCE);
            weightSum += weight;
            sum += weight * measured.mean;
        }
        if (weightSum === 0) {
            return;
        }
        const mean = sum / weightSum;
        let excess = 0;
        let squaredErrors = 0;
        for (const { measured } of pool.workers.values()) {
            const variance = measured.computeVariance(now);
            const weight = 1 / (variance + PRIOR_VARIANCE);
            measured.mean -= mean;
            if (weight > 0) {
                excess += weight * (measured.mean ** 2 - variance);
                squaredErrors += 2 * (weight * variance) ** 2;
            }
        }
        for (const { bias } of pool.queues.values()) {
            bias.mean += mean;
        }
        pool.spread = computeBounded(excess / weightSum, 0, MAX_LOG_RATIO);
        const standardErrors = SIGNIFICANCE * (1 + SMALL_POOL_WORKERS / pool.workers.size);
        pool.isSpreadSignificant = excess > standardErrors * Math.sqrt(squaredErrors);
    }

    /** Updates the workers' slowness and returns the values in ascending order. */
    #updateSlowness(pool: PoolState, now: number): Float64Array {
        const values = this.#getScratch(pool.workers.size);
        let count = 0;
        for (const worker of pool.workers.values()) {
            const variance = worker.measured.computeVariance(now);
            const reliability = pool.spread === 0 ? 0 : pool.spread / (pool.spread + variance);
            worker.slowness = worker.measured.mean * reliability;
            values[count++] = worker.slowness;
        }
        return values.subarray(0, count).sort();
    }

    #updateSpeeds(pool: PoolState, now: number): void {
        const values = this.#getScratch(pool.workers.size);
        let known = 0;
        for (const worker of pool.workers.values()) {
            const confidence = computeConfidence(worker.measured.computeVariance(now));
            const slowness = worker.slowness - pool.usualSlowness;
            const speed = computeBounded(Math.exp(-slowness), MIN_SPEED, MAX_SPEED);
            worker.isConfident = confidence >= MIN_CONFIDENCE;
            worker.estimate = { speed, confidence };
            if (worker.isConfident) {
                values[known++] = computeTypicalSlowness(worker) - pool.usualSlowness;
            }
        }
        const sorted = values.subarray(0, known).sort();
        const fastest = computeQuantile(sorted, 0.1);
        const slowest = computeQuantile(sorted, 0.9);
        pool.summary =
            known === 0
                ? UNKNOWN_SUMMARY
                : {
                      workers: known,
                      slowestTenth: computeBounded(Math.exp(-slowest), MIN_SPEED, MAX_SPEED),
                      fastestTenth: computeBounded(Math.exp(-fastest), MIN_SPEED, MAX_SPEED),
                  };
        const isKnown = known >= MIN_KNOWN_SHARE * pool.workers.size;
        pool.isUnequal =
            isKnown && pool.isSpreadSignificant && slowest - fastest > Math.log(UNEQUAL_RATIO);
    }

    #getScratch(length: number): Float64Array {
        if (this.#scratch.length < length) {
            this.#scratch = new Float64Array(2 * length);
        }
        return this.#scratch;
    }
}

function isInRange(durationMs: number): boolean {
    return durationMs > 0 && durationMs <= MAX_DURATION_MS;
}

function computeBounded(value: number, min: number, max: number): number {
    return Math.min(max, Math.max(min, value));
}

function computeClipped(value: number, limit: number): number {
    return computeBounded(value, -limit, limit);
}

/**
 * Computes a slowness of which the values of all workers are spread as their true values are. Each
 * worker's best estimate is drawn further towards the mean, so their tenths would be too close.
 */
function computeTypicalSlowness({ measured, slowness }: WorkerState): number {
    return Math.sign(slowness) * Math.sqrt(slowness * measured.mean);
}

/** Computes a sample's clipped deviation from a mean. */
function computeClippedDeviation(
    value: number,
    mean: DecayedMean,
    noise: number,
    now: number,
): number {
    const uncertainty = Math.min(PRIOR_VARIANCE, mean.computeVariance(now));
    return computeClipped(value - mean.mean, DEVIATION_CLIP * Math.sqrt(noise + uncertainty));
}

/**
 * Updates a queue's noise by a sample's deviation from the other samples of its worker, which leaves
 * the differences between workers out.
 */
function updateNoise(
    queue: QueueState,
    measured: DecayedMean,
    residual: number,
    now: number,
): void {
    const uncertainty = measured.computeVariance(now);
    const share = queue.noise / (queue.noise + uncertainty);
    if (share === 0) {
        return;
    }
    const limit = NOISE_CLIP * Math.sqrt(queue.noise + uncertainty);
    const deviation = computeClipped(residual - measured.mean, limit);
    const squared = deviation * deviation * share * NOISE_CLIP_CORRECTION;
    queue.noiseWeight = Math.min(MAX_NOISE_SAMPLES, queue.noiseWeight + share);
    const gain = share / queue.noiseWeight;
    queue.noise = computeBounded(
        queue.noise + gain * (squared - queue.noise),
        MIN_NOISE,
        MAX_NOISE,
    );
}

function computeConfidence(variance: number): number {
    return PRIOR_VARIANCE / (PRIOR_VARIANCE + variance);
}

/** Interpolates a quantile of sorted values; 0 without values. */
function computeQuantile(sorted: Float64Array, share: number): number {
    const position = share * (sorted.length - 1);
    const below = sorted[Math.floor(position)] ?? 0;
    const above = sorted[Math.ceil(position)] ?? below;
    return below + (above - below) * (position - Math.floor(position));
}

function addToTotals(
    totals: WorkTotals,
    { estimateMs, actualMs }: Pick<DurationSample, "estimateMs" | "actualMs">,
    now: number,
): void {
    const decay = Math.exp(-(now - totals.updatedAtMs) / QUEUE_DECAY_MS);
    totals.estimatedMs = totals.estimatedMs * decay + estimateMs;
    totals.actualMs = totals.actualMs * decay + actualMs;
    totals.updatedAtMs = now;
}
