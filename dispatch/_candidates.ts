/**
 * Lists the workers that a step may be placed on, grouped by their admission.
 *
 * @example
 * ```ts
 * import { listCandidates } from "./_candidates.ts";
 * const { admitted } = listCandidates(context, { step, queue, workers, isUnavailable, now });
 * ```
 *
 * @module
 */

import type { QueueConfig } from "../configuration/mod.ts";
import { getMachineKey } from "../estimation/mod.ts";
import type { Resources, WorkerId } from "../job/mod.ts";
import type { DispatchContext } from "./_context.ts";
import type { Candidate } from "./placement.ts";
import { createStepKey, type ReadyStep } from "./ready_steps.ts";
import { getFreeResources, type WorkerState } from "./worker_registry.ts";

/** The step and the workers to consider. */
export interface CandidateQuery {
    readonly step: ReadyStep;
    readonly queue: QueueConfig;
    readonly workers: Iterable<WorkerState>;
    /** Checks whether a worker is reserved for other steps or runs a task in isolation. */
    readonly isUnavailable: (id: WorkerId) => boolean;
    /** The current monotonic time, in ms. */
    readonly now: number;
}

/** The usable workers of a step's pool, by admission. */
export interface StepCandidates {
    readonly admitted: Candidate[];
    /** Workers that no answered advice call has included. */
    readonly unqueried: Candidate[];
    /** Admitted workers whose ticket has expired. */
    readonly expired: Candidate[];
}

/**
 * Lists the workers that a step may be placed on.
 *
 * @param context The shared state of the dispatcher.
 * @param query The step and the workers to consider.
 * @returns The workers, by admission.
 */
export function listCandidates(context: DispatchContext, query: CandidateQuery): StepCandidates {
    const { step, queue, now } = query;
    const { requiredLabel } = step.spec;
    const { durationModel } = context;
    const hasUnequalWorkers = durationModel.hasUnequalWorkers(queue.pool);
    const result: StepCandidates = { admitted: [], unqueried: [], expired: [] };
    for (const worker of query.workers) {
        const { record } = worker;
        const isEligible =
            record.pool === queue.pool &&
            (requiredLabel === undefined || record.labels.includes(requiredLabel)) &&
            context.registry.isUsable(worker, now) &&
            !query.isUnavailable(record.id);
        if (!isEligible) {
            continue;
        }
        const list = findCandidateList(result, query, record.id);
        list?.push(
            createCandidate(step, worker, {
                hasRecentFailure: context.registry.hasRecentFailure(worker, now),
                speed: hasUnequalWorkers
                    ? durationModel.getWorkerSpeed(getMachineKey(record)).speed
                    : 1,
                now,
            }),
        );
    }
    return result;
}

/**
 * Returns the list that a worker belongs to; `undefined` if the advice service did not admit it.
 */
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
        return admission.validUntilMs > now ? result.admitted : result.expired;
    }
    return step.advice.queriedWorkers.has(id) ? undefined : result.unqueried;
}

function createCandidate(
    step: ReadyStep,
    worker: WorkerState,
    {
        hasRecentFailure,
        speed,
        now,
    }: { readonly hasRecentFailure: boolean; readonly speed: number; readonly now: number },
): Candidate {
    const { preferredRack } = step.spec;
    return {
        id: worker.record.id,
        freeCapacity: { ...getFreeResources(worker) },
        rack: worker.record.labels[1] ?? "",
        zone: worker.record.zone,
        tasksOfStep: step.spec.maxPerWorker > 0 ? countTasksOfStep(step, worker) : 0,
        isDataLocal: preferredRack !== undefined && worker.record.labels.includes(preferredRack),
        speed,
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
 * Subtracts the capacity of placed tasks from the candidates, before the next unit is placed.
 *
 * @param candidates The candidates.
 * @param chosen The workers of the placed tasks, one entry per task.
 * @param needs The resources that each task takes.
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
            candidate.freeCapacity.cpu -= needs.cpu;
            candidate.freeCapacity.memoryMb -= needs.memoryMb;
            candidate.freeCapacity.gpu -= needs.gpu;
        }
    }
}
