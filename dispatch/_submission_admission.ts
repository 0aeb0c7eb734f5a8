/**
 * Runs admission control for the dispatcher: keeps a recent forecast of each pool and decides about
 * submitted jobs by it.
 *
 * @example
 * ```ts
 * import { SubmissionAdmission } from "./_submission_admission.ts";
 * const admission = new SubmissionAdmission(context);
 * const decision = admission.checkJob({ job, queue, pool, spec });
 * ```
 *
 * @module
 */

import {
    AdmissionController,
    ArrivalMeter,
    CapacityForecast,
    type AdmissionDecision,
} from "../admission/mod.ts";
import type { PoolName, QueueName } from "../configuration/mod.ts";
import type { JobId, JobSpec } from "../job/mod.ts";
import type { WorkspaceName } from "../workspace/mod.ts";
import type { DispatchContext } from "./_context.ts";
import {
    collectForecastInput,
    computeJobRanks,
    countForecastItems,
    listFirstTasks,
    listTasks,
} from "./_forecast_input.ts";

/** A submitted job. */
export interface AdmissionCandidate {
    readonly job: JobId;
    readonly queue: QueueName;
    readonly pool: PoolName;
    /** The workspace whose share the job uses, if any. */
    readonly workspace?: WorkspaceName | undefined;
    readonly spec: JobSpec;
}

/** The age up to which the forecast of a small pool is used, in ms. */
const MIN_FORECAST_AGE_MS = 100;
/**
 * Tasks, steps and workers that a leader goes through in a millisecond on average; each takes about
 * a microsecond, so that building forecasts takes a few hundredths of a core. Up to some 300 workers,
 * forecasts are built every 100 ms; the state of a larger pool changes less in that time.
 */
const ITEMS_PER_MS = 30;
/**
 * Longest time that a new leader waits for its first polls of the workers, in ms; by then, the
 * tasks that previous leaders started are known except on workers that don't answer.
 */
const WARM_UP_MS = 3_000;

/** A pool's forecast; without a value if the state of the pool is unknown. */
interface CachedForecast {
    /** Until when it is used, in ms. */
    readonly validUntilMs: number;
    readonly forecast: CapacityForecast | undefined;
}

/** Decides about submitted jobs on behalf of one leader. */
export class SubmissionAdmission {
    readonly #context: DispatchContext;
    readonly #controller = new AdmissionController();
    readonly #forecasts = new Map<PoolName, CachedForecast>();
    readonly #meters = new Map<PoolName, ArrivalMeter>();
    readonly #startedAtMs: number;
    readonly #warmPools = new Set<PoolName>();

    /**
     * @param context The shared state of the dispatcher.
     */
    constructor(context: DispatchContext) {
        this.#context = context;
        this.#startedAtMs = context.clock.getNow();
    }

    /**
     * Decides about a job that is not known yet. An admitted job counts as waiting from now on.
     *
     * @param candidate The job.
     * @returns The decision; always `admitted` in mode `off`.
     */
    checkJob({ job, queue: name, pool, workspace, spec }: AdmissionCandidate): AdmissionDecision {
        const queue = this.#context.findQueue(name);
        if (this.#context.admission === "off" || queue === undefined) {
            return { type: "admitted" };
        }
        const now = this.#context.clock.getNow();
        const forecast = this.#getForecast(pool, now);
        const share = this.#context.jobShares.checkShare(workspace);
        const ratio = this.#context.getQueueRatio(name);
        const rankQuery = { spec, queue, share, medianRatio: ratio.median };
        const ranks = computeJobRanks(rankQuery);
        const entitledRank =
            share === "entitled"
                ? ranks.onTime
                : computeJobRanks({ ...rankQuery, share: "entitled" }).onTime;
        const decision = this.#controller.checkJob({
            job,
            queue,
            spec,
            forecast,
            ranks,
            entitledRank,
            share,
            shareRetryAfterMs: this.#context.jobShares.computeRetryAfterMs(workspace),
            medianRatio: ratio.median,
            now,
        });
        if (decision.type === "admitted" && spec.repeats === 0) {
            listFirstTasks(spec, ranks.onTime, ratio.total).forEach((group) =>
                forecast?.addBacklog(group),
            );
            this.#ensureMeter(pool).record(listTasks(spec, ranks.onTime, ratio.total), now);
        }
        return decision;
    }

    #ensureMeter(pool: PoolName): ArrivalMeter {
        const meter = this.#meters.get(pool) ?? new ArrivalMeter();
        this.#meters.set(pool, meter);
        return meter;
    }

    #getForecast(pool: PoolName, now: number): CapacityForecast | undefined {
        const cached = this.#forecasts.get(pool);
        if (cached !== undefined && now < cached.validUntilMs) {
            return cached.forecast;
        }
        const input = this.#isWarm(pool, now)
            ? collectForecastInput(this.#context, pool, now)
            : undefined;
        const arrivals = this.#ensureMeter(pool).listRates(now);
        const forecast = input && new CapacityForecast({ ...input, arrivals });
        const validUntilMs = now + this.#computeMaxAgeMs();
        this.#forecasts.set(pool, { validUntilMs, forecast });
        return forecast;
    }

    #computeMaxAgeMs(): number {
        return Math.max(MIN_FORECAST_AGE_MS, countForecastItems(this.#context) / ITEMS_PER_MS);
    }

    /** Returns whether the tasks on the pool's workers are known. */
    #isWarm(pool: PoolName, now: number): boolean {
        if (!this.#warmPools.has(pool)) {
            const isPolled = [...this.#context.registry.workers].every(
                ({ record, pollAnsweredAtMs }) =>
                    record.pool !== pool || Number.isFinite(pollAnsweredAtMs),
            );
            if (isPolled || now - this.#startedAtMs >= WARM_UP_MS) {
                this.#warmPools.add(pool);
            }
        }
        return this.#warmPools.has(pool);
    }
}
