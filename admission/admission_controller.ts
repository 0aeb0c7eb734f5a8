/**
 * Decides whether a submitted job can still be of use to its caller, before anything is recorded
 * about it.
 *
 * @example
 * ```ts
 * import { AdmissionController } from "./admission_controller.ts";
 * const controller = new AdmissionController();
 * const decision = controller.checkJob({ job, queue, spec, forecast, ranks, now });
 * ```
 *
 * @module
 */

import type { QueueConfig, QueueName } from "../configuration/mod.ts";
import { computeLatencyObjectiveMs, START_OVERHEAD_MS } from "../dispatch/ranking.ts";
import type { JobId, JobSpec, StepSpec } from "../job/mod.ts";
import type { ShareClass } from "../workspace/mod.ts";
import type { CapacityForecast } from "./forecast.ts";
import { RetrySpreader } from "./retry_spreader.ts";

/** The positions in the order that a submitted job can take; smaller ones are served first. */
export interface JobRanks {
    /** While it can meet its latency objective. */
    readonly onTime: number;
    /** Once it can't any more. */
    readonly late: number;
}

/** A submitted job and what is known about its pool. */
export interface AdmissionRequest {
    readonly job: JobId;
    readonly queue: Pick<QueueConfig, "name" | "stretch" | "targetLatencyMs">;
    readonly spec: JobSpec;
    /** `undefined` while the state of the pool is unknown; everything is admitted then. */
    readonly forecast: CapacityForecast | undefined;
    readonly ranks: JobRanks;
    /** Position of an entitled job of the queue that is on time; that of the job by default. */
    readonly entitledRank?: number;
    /** `entitled` by default. */
    readonly share?: ShareClass;
    /** Time until the workspace's share allows another job, in ms; for borrowed jobs. */
    readonly shareRetryAfterMs?: number;
    /** Median of actual to estimated durations of the queue; 1 while unknown. */
    readonly medianRatio?: number;
    /** The current time on the clock of {@link CapacityForecast.builtAtMs}, in ms. */
    readonly now: number;
}

/** The prediction behind a decision. */
export interface AdmissionPrediction {
    /** Time from the submission to the predicted end, in ms. */
    readonly predictedMs: number;
    /** The job's latency objective, in ms. */
    readonly objectiveMs: number;
}

/** A refusal: the job is not accepted and never runs as a result of this submission. */
export interface AdmissionRefusal extends AdmissionPrediction {
    readonly type: "refused";
    /** `share` if the caller is beyond its share, `backlog` if the pool is too far behind. */
    readonly cause: "backlog" | "share";
    readonly problem: string;
    /** Whole seconds, in ms. */
    readonly retryAfterMs: number;
}

/** A decision about a submitted job. */
export type AdmissionDecision =
    /** The prediction is absent if none was made. */
    ({ readonly type: "admitted" } & Partial<AdmissionPrediction>) | AdmissionRefusal;

/**
 * Multiple of its latency objective after which a job is worth nothing to its caller; see
 * `dispatch/ranking.ts`.
 */
const WORTHLESS_FACTOR = 3;
/**
 * A queue that refuses admits again below this multiple of the objective, so that it doesn't change
 * with each task that ends.
 */
const READMIT_FACTOR = 2.5;
/**
 * Error of a predicted wait, in ms: two steps of the forecast, which rounds the ends of running tasks
 * and the start. A job that would only just be on time is late if the forecast is too early, and is
 * then overtaken until it is worthless.
 */
const FORECAST_ERROR_MS = 200;
/** Time until a workspace has a token again if it is not given, in ms. */
const DEFAULT_SHARE_RETRY_MS = 1_000;

/** What the controller remembers about a queue. */
interface QueueState {
    isRefusing: boolean;
    readonly retrySpreader: RetrySpreader;
}

/** Decides about submitted jobs by the forecast of their pool. */
export class AdmissionController {
    readonly #queues = new Map<QueueName, QueueState>();

    /**
     * Decides about a job. The number of its tasks has no influence, so that wide jobs are refused
     * no more often than others.
     *
     * @param request The job and its pool's forecast; see {@link AdmissionRequest}.
     * @returns The decision.
     */
    checkJob(request: AdmissionRequest): AdmissionDecision {
        const { job, forecast, now } = request;
        const queueState = this.#ensureQueueState(request.queue.name);
        const firstTask = findLargestFirstTask(request.spec);
        if (forecast === undefined || firstTask === undefined || !hasEnd(request.spec)) {
            queueState.retrySpreader.recordAdmission(job, now);
            return { type: "admitted" };
        }
        const { waitMs, isPoolCongested, ...prediction } = computePrediction(
            request,
            forecast,
            firstTask,
        );
        const { objectiveMs, predictedMs } = prediction;
        if (request.share === "borrowed" && isPoolCongested) {
            const delayMs = request.shareRetryAfterMs ?? DEFAULT_SHARE_RETRY_MS;
            return {
                type: "refused",
                cause: "share",
                problem: "the workspace has used its share and the pool is congested",
                ...prediction,
                retryAfterMs: queueState.retrySpreader.recordRefusal(job, delayMs, now),
            };
        }
        const factor = queueState.isRefusing ? READMIT_FACTOR : WORTHLESS_FACTOR;
        // A job that can start now has no better chance later, however long it takes.
        queueState.isRefusing = waitMs > 0 && predictedMs > factor * objectiveMs;
        if (!queueState.isRefusing) {
            queueState.retrySpreader.recordAdmission(job, now);
            return { type: "admitted", ...prediction };
        }
        return {
            type: "refused",
            cause: "backlog",
            problem: `the backlog would delay its end beyond ${factor} times its objective`,
            ...prediction,
            retryAfterMs: queueState.retrySpreader.recordRefusal(
                job,
                predictedMs - objectiveMs,
                now,
            ),
        };
    }

    #ensureQueueState(queue: QueueName): QueueState {
        const known = this.#queues.get(queue);
        if (known !== undefined) {
            return known;
        }
        const added = { isRefusing: false, retrySpreader: new RetrySpreader() };
        this.#queues.set(queue, added);
        return added;
    }
}

/** Predicts the end of a job; all times are from now, in ms. */
function computePrediction(
    { queue, spec, ranks, entitledRank = ranks.onTime, medianRatio = 1, now }: AdmissionRequest,
    forecast: CapacityForecast,
    firstTask: StepSpec,
): AdmissionPrediction & { readonly waitMs: number; readonly isPoolCongested: boolean } {
    const chainMs =
        medianRatio * computeLatencyObjectiveMs(spec, { stretch: 1, targetLatencyMs: 0 });
    // The objective follows the actual durations, as the caller's does.
    const objectiveMs = queue.stretch * chainMs + queue.targetLatencyMs;
    const { cpu } = firstTask.needs;
    const ageMs = now - forecast.builtAtMs;
    const computeWaitMs = (rank: number): number =>
        Math.max(0, forecast.computeStartMs({ rank, cpu }) - ageMs);
    const runMs = START_OVERHEAD_MS + chainMs;
    // Without a wait, the pool isn't the reason why an objective is missed.
    const isTooLong = (waitMs: number): boolean =>
        waitMs > 0 && waitMs + FORECAST_ERROR_MS + runMs > objectiveMs;
    const onTimeWaitMs = computeWaitMs(ranks.onTime);
    const isPoolCongested = isTooLong(
        entitledRank === ranks.onTime ? onTimeWaitMs : computeWaitMs(entitledRank),
    );
    // A job that misses its objective gives way to those that meet theirs, unless it is the next.
    const isOvertaken = isTooLong(onTimeWaitMs) && forecast.hasBacklog(ranks.onTime);
    const waitMs = isOvertaken ? Math.max(onTimeWaitMs, computeWaitMs(ranks.late)) : onTimeWaitMs;
    return { waitMs, isPoolCongested, predictedMs: waitMs + runMs, objectiveMs };
}

/** Returns whether a job is to end: repeating jobs and services have no latency objective. */
function hasEnd({ repeats, steps }: JobSpec): boolean {
    return repeats === 0 && steps.every((step) => !step.isPerpetual);
}

/**
 * Lists the steps that a job starts with and that reserve CPU.
 *
 * @param spec The job.
 * @returns The steps; none for a job that runs on leftover CPU only.
 */
export function listFirstSteps(spec: JobSpec): StepSpec[] {
    return spec.steps.filter((step) => step.after.length === 0 && !step.isFiller);
}

/** Finds the task with the largest CPU request among those that a job starts with. */
function findLargestFirstTask(spec: JobSpec): StepSpec | undefined {
    return listFirstSteps(spec).reduce<StepSpec | undefined>(
        (largest, step) => (step.needs.cpu > (largest?.needs.cpu ?? -1) ? step : largest),
        undefined,
    );
}
