/**
 * Measures the work that is submitted to a pool, by rank. Work of a smaller rank that arrives later
 * is served first, so a forecast has to expect it.
 *
 * @example
 * ```ts
 * import { ArrivalMeter } from "./arrival_meter.ts";
 * const meter = new ArrivalMeter();
 * meter.record([{ rank: 0, cpuPerTask: 2_000, taskMs: 800, taskCount: 3 }], now);
 * meter.listRates(now);
 * ```
 *
 * @module
 */

import type { ArrivalRate, BacklogGroup } from "./forecast.ts";

/**
 * Time constant with which submissions lose their weight, in ms. Shorter than a burst of 4 s, so that
 * most of it is still ahead when it is noticed, and long enough for ten wide jobs at 5 a second.
 */
const DECAY_MS = 2_000;
/** Share of a core below which a rank is dropped, in thousandths of a core. */
const MIN_CPU = 1;

interface RankMeter {
    /** Decayed sum of CPU times ms. */
    work: number;
    /** Decayed sum of CPU. */
    cpu: number;
    updatedAtMs: number;
}

/** The recent submissions of one pool. */
export class ArrivalMeter {
    readonly #ranks = new Map<number, RankMeter>();

    /**
     * Records the tasks of an admitted job.
     *
     * @param groups The tasks of all its steps.
     * @param now The current time, in ms.
     */
    record(groups: Iterable<BacklogGroup>, now: number): void {
        for (const { rank, cpuPerTask, taskMs, taskCount } of groups) {
            if (Number.isFinite(taskMs)) {
                const meter = this.#decay(rank, now);
                meter.cpu += cpuPerTask * taskCount;
                meter.work += cpuPerTask * taskCount * taskMs;
            }
        }
    }

    /**
     * Lists the recent rates.
     *
     * @param now The current time, in ms.
     * @returns One rate for each rank with recent submissions.
     */
    listRates(now: number): ArrivalRate[] {
        const rates: ArrivalRate[] = [];
        for (const rank of [...this.#ranks.keys()]) {
            const { work, cpu } = this.#decay(rank, now);
            if (work / DECAY_MS < MIN_CPU) {
                this.#ranks.delete(rank);
            } else {
                rates.push({ rank, cpu: work / DECAY_MS, taskMs: work / cpu });
            }
        }
        return rates;
    }

    #decay(rank: number, now: number): RankMeter {
        const meter = this.#ranks.get(rank) ?? { work: 0, cpu: 0, updatedAtMs: now };
        this.#ranks.set(rank, meter);
        const factor = Math.exp(-Math.max(0, now - meter.updatedAtMs) / DECAY_MS);
        meter.work *= factor;
        meter.cpu *= factor;
        meter.updatedAtMs = now;
        return meter;
    }
}
