/**
 * Ranks a waiting step by the policy that the deployment has switched on.
 *
 * @example
 * ```ts
 * import { rankWaitingStep } from "./_step_rank.ts";
 * const rank = rankWaitingStep(context, { step, queue, wallTimeMs });
 * ```
 *
 * @module
 */

import type { QueueConfig } from "../configuration/mod.ts";
import type { DispatchContext } from "./_context.ts";
import { rankStep, rankStepByShare } from "./ranking.ts";
import type { ReadyStep } from "./ready_steps.ts";

/** A waiting step, its queue and the time. */
export interface StepRankQuery {
    readonly step: ReadyStep;
    readonly queue: QueueConfig;
    /** The current time, in ms since the Unix epoch. */
    readonly wallTimeMs: number;
}

/**
 * Ranks a waiting step.
 *
 * @param context The shared state of the dispatcher.
 * @param query The step, its queue and the time.
 * @returns The rank; the smallest goes first.
 */
export function rankWaitingStep(
    context: DispatchContext,
    { step, queue, wallTimeMs }: StepRankQuery,
): number {
    if (context.admission === "off") {
        return rankStep(step, queue, wallTimeMs);
    }
    return rankStepByShare(step, queue, {
        wallTimeMs,
        share: context.jobShares.getShare(step.job.id),
        medianRatio: context.getQueueRatio(step.queue).median,
    });
}
