/**
 * Feeds the durations of ended tasks to the duration model and logs what the model has learned.
 *
 * @example
 * ```ts
 * import { DurationRecorder } from "./_duration_recorder.ts";
 * const recorder = new DurationRecorder(context);
 * recorder.recordEnd(worker, member);
 * ```
 *
 * @module
 */

import { getMachineKey } from "../estimation/mod.ts";
import type { DispatchContext } from "./_context.ts";
import type { MemberRun } from "./types.ts";
import type { WorkerState } from "./worker_registry.ts";

/** Minimum time between two log lines, in ms. */
const REPORT_INTERVAL_MS = 5_000;

/** Records the durations of the tasks that end under one leader. */
export class DurationRecorder {
    readonly #context: DispatchContext;
    #reportedAtMs = Number.NEGATIVE_INFINITY;
    #hasNewSamples = false;

    /**
     * @param context The dispatcher's shared state.
     */
    constructor(context: DispatchContext) {
        this.#context = context;
    }

    /**
     * Records the duration of a task that is done. Left out are tasks whose estimate does not
     * describe their duration (members of a gang wait for each other, perpetual and filler tasks,
     * tasks resumed from a checkpoint) and tasks whose start this leader has not seen.
     *
     * The percentage that running tasks report is not used: it is in whole percent, it need not
     * grow linearly with time, and an early value would count a task twice, with the same error.
     *
     * @param worker The worker.
     * @param member The task; its end is not recorded yet.
     */
    recordEnd(worker: WorkerState, member: MemberRun): void {
        const { stateStore, durationModel, clock } = this.#context;
        const job = stateStore.jobs.get(member.unit.job);
        const isGang = job?.spec?.steps[member.unit.step]?.isGang ?? true;
        const isResumed = (stateStore.findUnit(member.unit)?.checkpoint ?? "") !== "";
        if (
            job === undefined ||
            member.acceptedAtMs === undefined ||
            isGang ||
            isResumed ||
            member.isPerpetual ||
            member.isFiller
        ) {
            return;
        }
        this.#hasNewSamples = true;
        const now = clock.getNow();
        durationModel.recordEnd({
            pool: worker.record.pool,
            queue: job.queue,
            worker: getMachineKey(worker.record),
            job: job.id,
            estimateMs: member.estimateMs,
            actualMs: now - member.acceptedAtMs,
            now,
        });
    }

    /**
     * Logs what is believed, at a limited rate and only if there are new samples.
     *
     * @param now The current monotonic time, in ms.
     */
    report(now: number): void {
        if (!this.#hasNewSamples || now - this.#reportedAtMs < REPORT_INTERVAL_MS) {
            return;
        }
        this.#reportedAtMs = now;
        this.#hasNewSamples = false;
        const { durationModel } = this.#context;
        this.#context.recordDecision("decision", "durations learned", {
            speeds: [...durationModel.summarizeSpeeds()].map(([pool, summary]) => ({
                pool,
                workers: summary.workers,
                slowestTenth: formatRatio(summary.slowestTenth),
                fastestTenth: formatRatio(summary.fastestTenth),
                unequal: durationModel.hasUnequalWorkers(pool),
            })),
            ratios: Object.fromEntries(
                [...durationModel.listQueueRatios()].map(([queue, { median, p80 }]) => [
                    queue,
                    { median: formatRatio(median), p80: formatRatio(p80) },
                ]),
            ),
            ignored: durationModel.ignoredSamples,
        });
    }
}

function formatRatio(ratio: number): number {
    return Math.round(ratio * 100) / 100;
}
