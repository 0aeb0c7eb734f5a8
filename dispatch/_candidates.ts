/**
 * The workers that a step may go to now, by what the advice service said about them.
 *
 * @example
 * ```ts
 * import { listCandidates } from "./_candidates.ts";
 * const { admitted } = listCandidates(context, { step, queue, workers, isHeld, now });
 * ```
 *
 * @module
 */

import type { QueueConfig } from "../configuration/mod.ts";
import type { Resources, WorkerId } from "../job/mod.ts";
import type { DispatchContext } from "./_context.ts";
import type { Candidate } from "./placement.ts";
import { createStepKey, type ReadyStep } from "./ready_steps.ts";
import { getFreeResources, type WorkerState } from "./worker_registry.ts";

/** What is looked for. */
export interface CandidateQuery {
    readonly step: ReadyStep;
    readonly queue: QueueConfig;
    /** The workers to look at. */
    readonly workers: Iterable<WorkerState>;
    /** Whether a worker is kept for others. */
    readonly isReserved: (id: WorkerId) => boolean;
    /** Our clock, in ms. */
    readonly now: number;
}

/** The workers of a step's pool that get new work. */
export interface StepCandidates {
    readonly admitted: Candidate[];
    /** Workers that the advice service was never asked about. */
    readonly unasked: Candidate[];
    /** Good workers whose ticket is over. */
    readonly expired: Candidate[];
}

/**
 * Lists the workers that a step may go to.
 *
 * @param context What the parts of the dispatcher share.
 * @param query The step, the workers to look at.
 * @returns The workers, by admission.
 */
export function listCandidates(context: DispatchContext, query: CandidateQuery): StepCandidates {
    const { step, queue, now } = query;
    const { requiredLabel } = step.spec;
    const result: StepCandidates = { admitted: [], unasked: [], expired: [] };
    for (const worker of query.workers) {
        const { record } = worker;
        const isEligible =
            record.pool === queue.pool &&
            (requiredLabel === undefined || record.labels.includes(requiredLabel)) &&
            context.book.isUsable(worker, now) &&
            !query.isReserved(record.id);
        if (!isEligible) {
            continue;
        }
        const list = findCandidateList(result, query, record.id);
        list?.push(createCandidate(step, worker, context.book.hasRecentFailure(worker, now), now));
    }
    return result;
}

/** A worker that was asked about and is not good is no candidate at all. */
function findCandidateList(
    result: StepCandidates,
    { step, queue, now }: CandidateQuery,
    id: WorkerId,
): Candidate[] | undefined {
    if (queue.advice === undefined) {
        return result.admitted;
    }
    const admission = step.advice.admitted.get(id);
    if (admission !== undefined) {
        return admission.validUntil > now ? result.admitted : result.expired;
    }
    return step.advice.askedWorkers.has(id) ? undefined : result.unasked;
}

function createCandidate(
    step: ReadyStep,
    worker: WorkerState,
    hasRecentFailure: boolean,
    now: number,
): Candidate {
    const { preferredRack } = step.spec;
    return {
        id: worker.record.id,
        free: { ...getFreeResources(worker) },
        rack: worker.record.labels[1] ?? "",
        zone: worker.record.zone,
        tasksOfStep: step.spec.maxPerWorker > 0 ? countTasksOfStep(step, worker) : 0,
        isDataLocal: preferredRack !== undefined && worker.record.labels.includes(preferredRack),
        slowness:
            worker.speed.computeSpeedRank(now) + (step.failedWorkers.has(worker.record.id) ? 1 : 0),
        hasRecentFailure,
    };
}

function countTasksOfStep(step: ReadyStep, worker: WorkerState): number {
    let count = 0;
    for (const member of worker.members.values()) {
        count += createStepKey(member.unit) === step.key ? 1 : 0;
    }
    return count;
}

/**
 * Takes the room of what was just placed from the candidates, for the next unit of the step.
 *
 * @param candidates The candidates.
 * @param chosen Where tasks go, one entry a task.
 * @param needs What each takes.
 */
export function takeCapacity(
    candidates: readonly Candidate[],
    chosen: readonly WorkerId[],
    needs: Resources,
): void {
    for (const id of chosen) {
        const candidate = candidates.find((other) => other.id === id);
        if (candidate !== undefined) {
            candidate.tasksOfStep += 1;
            candidate.free.cpu -= needs.cpu;
            candidate.free.memoryMb -= needs.memoryMb;
            candidate.free.gpu -= needs.gpu;
        }
    }
}
