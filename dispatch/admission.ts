/**
 * Admission checks for submitted jobs. A job that no worker can ever run is refused immediately
 * instead of waiting until its caller's deadline.
 *
 * @example
 * ```ts
 * import { checkFeasible } from "./admission.ts";
 * const problem = checkFeasible(spec, workers);
 * ```
 *
 * @module
 */

import type { QuotaLedger, WorkspaceName } from "../workspace/mod.ts";
import type { JobSpec, Resources, StepSpec, WorkerRecord } from "../job/mod.ts";
import { computeTotalNeeds } from "./worker_registry.ts";

/**
 * Checks whether the workers of a pool, idle and at full capacity, could run a job.
 *
 * @param spec The job.
 * @param workers All known workers of the pool, including silent and busy ones. If there are none,
 * every job is accepted.
 * @returns The reason why the job can never run, or `undefined` if it can.
 */
export function checkFeasible(spec: JobSpec, workers: readonly WorkerRecord[]): string | undefined {
    if (workers.length === 0) {
        return undefined;
    }
    for (const [i, step] of spec.steps.entries()) {
        const problem = checkStep(step, workers);
        if (problem !== undefined) {
            return `step ${i}: ${problem}`;
        }
    }
    return undefined;
}

/**
 * Checks whether a workspace's limit, with nothing else running, allows every step of a job.
 *
 * @param spec The job.
 * @param workspace The workspace, if any.
 * @param ledger The limits.
 * @returns The reason why the job can never run, or `undefined` if it can.
 */
export function checkWithinQuota(
    spec: JobSpec,
    workspace: WorkspaceName | undefined,
    ledger: QuotaLedger,
): string | undefined {
    const index = spec.steps.findIndex(
        (step) => !ledger.isWithinLimit(workspace, computeUnitDemand(step)),
    );
    return index < 0 ? undefined : `step ${index}: exceeds the limit of its workspace`;
}

/**
 * Computes what one unit of a step takes of its workspace's quota.
 *
 * @param step The step.
 * @returns The resources of the whole gang, or of one task.
 */
export function computeUnitDemand(step: Pick<StepSpec, "needs" | "count" | "isGang">): Resources {
    return computeTotalNeeds(step.needs, step.isGang ? step.count : 1);
}

/** Looks at no more workers than it takes: a job may have many steps. */
function checkStep(step: StepSpec, workers: readonly WorkerRecord[]): string | undefined {
    const { requiredLabel } = step;
    const neededRoom = step.isGang ? step.count : 1;
    let hasLabel = false;
    let room = 0;
    for (const { labels, fullCapacity } of workers) {
        if (requiredLabel === undefined || labels.includes(requiredLabel)) {
            hasLabel = true;
            room += countTasksOnIdleWorker(step, fullCapacity);
            if (room >= neededRoom) {
                return undefined;
            }
        }
    }
    if (!hasLabel) {
        return `no worker carries the label ${String(requiredLabel)}`;
    }
    return room === 0
        ? "no worker is large enough for one of its tasks"
        : `the workers have room for ${room} of its ${step.count} tasks at once`;
}

function countTasksOnIdleWorker(step: StepSpec, capacity: Resources): number {
    const { needs } = step;
    let taskCount = step.maxPerWorker > 0 ? step.maxPerWorker : step.count;
    if (needs.cpu > 0 && !step.isFiller) {
        taskCount = Math.min(taskCount, Math.floor(capacity.cpu / needs.cpu));
    }
    if (needs.memoryMb > 0) {
        taskCount = Math.min(taskCount, Math.floor(capacity.memoryMb / needs.memoryMb));
    }
    if (needs.gpu > 0) {
        taskCount = Math.min(taskCount, Math.floor(capacity.gpu / needs.gpu));
    }
    return taskCount;
}
