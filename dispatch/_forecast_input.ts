/**
 * Collects the input of a pool's capacity forecast from the dispatcher's state. The cost is linear
 * in the number of running tasks and waiting steps.
 *
 * @example
 * ```ts
 * import { collectForecastInput } from "./_forecast_input.ts";
 * const forecast = new CapacityForecast(collectForecastInput(context, pool, now));
 * ```
 *
 * @module
 */

import {
    listFirstSteps,
    type BacklogGroup,
    type ForecastInput,
    type JobRanks,
    type RunningTask,
} from "../admission/mod.ts";
import type { PoolName, QueueConfig } from "../configuration/mod.ts";
import type { JobSpec, StepSpec } from "../job/mod.ts";
import type { ShareClass, WorkspaceName } from "../workspace/mod.ts";
import { computeUnitDemand } from "./admission.ts";
import type { DispatchContext } from "./_context.ts";
import { computeLatencyObjectiveMs, computeRankClass, rankStepByShare } from "./ranking.ts";
import type { ReadyStep } from "./ready_steps.ts";
import { computeExpectedRemainingMs } from "./_remaining_time.ts";
import { rankWaitingStep } from "./_step_rank.ts";
import { getFreeResources } from "./worker_registry.ts";

/** What the position of a submitted job in the order depends on. */
export interface JobRankQuery {
    readonly spec: JobSpec;
    readonly queue: QueueConfig;
    readonly share: ShareClass;
    /** Median of actual to estimated durations of the queue. */
    readonly medianRatio: number;
}

/** Resolution of the expected ends, in ms; that of the forecast. */
const RELEASE_STEP_MS = 100;

/**
 * Collects the input of a forecast.
 *
 * @param context The shared state of the dispatcher.
 * @param pool The pool.
 * @param now The current monotonic time, in ms.
 * @returns The input, or `undefined` if the pool has no usable worker.
 */
export function collectForecastInput(
    context: DispatchContext,
    pool: PoolName,
    now: number,
): ForecastInput | undefined {
    let [capacityCpu, freeCpu] = [0, 0];
    const releases = new Releases();
    for (const worker of context.registry.workers) {
        if (worker.record.pool !== pool || !context.registry.isUsable(worker, now)) {
            continue;
        }
        capacityCpu += worker.record.capacity.cpu;
        freeCpu += Math.max(0, getFreeResources(worker).cpu);
        for (const member of worker.members.values()) {
            const remainingMs = computeExpectedRemainingMs(context, member, now);
            releases.add(remainingMs, member.reserved.cpu);
        }
    }
    if (capacityCpu <= 0) {
        return undefined;
    }
    const backlog = collectBacklog(context, pool);
    return { builtAtMs: now, capacityCpu, freeCpu, running: releases.listTasks(), backlog };
}

/**
 * Computes the positions in the order that a job submitted now takes.
 *
 * @param query The job, its queue, its share and the queue's ratio.
 * @returns Its positions while it can be on time and once it can't.
 */
export function computeJobRanks({ spec, queue, share, medianRatio }: JobRankQuery): JobRanks {
    const [first] = spec.steps;
    if (first === undefined) {
        return { onTime: 0, late: 0 };
    }
    const step = { job: { acceptedAt: 0, spec }, step: 0, occurrence: 0, spec: first };
    const computeClass = (wallTimeMs: number): number =>
        computeRankClass(rankStepByShare(step, queue, { wallTimeMs, share, medianRatio }));
    const objectiveMs = computeLatencyObjectiveMs(spec, queue, medianRatio);
    return { onTime: computeClass(0), late: computeClass(objectiveMs) };
}

/**
 * Lists all tasks of a job, as a backlog.
 *
 * @param spec The job.
 * @param rank Its position in the order.
 * @param ratio The queue's actual durations over its estimates, in total.
 * @returns One group for each step.
 */
export function listTasks(spec: JobSpec, rank: number, ratio: number): BacklogGroup[] {
    return spec.steps
        .filter((step) => !step.isFiller)
        .map((step) => createGroup(step, step.count, rank, ratio));
}

/**
 * Lists the tasks with which a job starts, as a backlog.
 *
 * @param spec The job.
 * @param rank Its position in the order.
 * @param ratio The queue's actual durations over its estimates, in total.
 * @returns One group for each step.
 */
export function listFirstTasks(spec: JobSpec, rank: number, ratio: number): BacklogGroup[] {
    return listFirstSteps(spec).map((step) => createGroup(step, step.count, rank, ratio));
}

function collectBacklog(context: DispatchContext, pool: PoolName): BacklogGroup[] {
    const wallTimeMs = context.clock.getWallTimeMs();
    const quota = new QuotaAllowance(context);
    const groups: BacklogGroup[] = [];
    for (const step of context.readySteps.steps) {
        const queue = step.waiting.size > 0 ? context.getQueueOf(step.job) : undefined;
        if (queue === undefined || queue.pool !== pool || step.spec.isFiller) {
            continue;
        }
        const units = quota.takeUnits(step);
        if (units > 0) {
            const tasks = step.spec.isGang ? units * step.spec.count : units;
            const rank = computeRankClass(rankWaitingStep(context, { step, queue, wallTimeMs }));
            groups.push(
                createGroup(step.spec, tasks, rank, context.getQueueRatio(step.queue).total),
            );
        }
    }
    return groups;
}

function createGroup(
    { needs, estimateMs, isPerpetual }: StepSpec,
    taskCount: number,
    rank: number,
    ratio: number,
): BacklogGroup {
    const taskMs = isPerpetual ? Number.POSITIVE_INFINITY : estimateMs * ratio;
    return { rank, cpuPerTask: needs.cpu, taskMs, taskCount };
}

/**
 * Counts what a collection goes through.
 *
 * @param context The shared state of the dispatcher.
 * @returns The number of running tasks, waiting or running steps and workers, of all pools.
 */
export function countForecastItems(context: DispatchContext): number {
    let count = context.readySteps.size;
    for (const { members } of context.registry.workers) {
        count += 1 + members.size;
    }
    return count;
}

/** Adds up the CPU of running tasks by their expected end: the tasks alone are too many to list. */
class Releases {
    readonly #cpuByEnd = new Map<number, number>();

    add(endsInMs: number, cpu: number): void {
        const end = Math.ceil(endsInMs / RELEASE_STEP_MS) * RELEASE_STEP_MS;
        this.#cpuByEnd.set(end, (this.#cpuByEnd.get(end) ?? 0) + cpu);
    }

    listTasks(): RunningTask[] {
        return [...this.#cpuByEnd].map(([endsInMs, cpu]) => ({ endsInMs, cpu }));
    }
}

/** The CPU that each workspace may still reserve: work beyond it waits for quota, not for workers. */
class QuotaAllowance {
    readonly #context: DispatchContext;
    readonly #leftCpu = new Map<WorkspaceName, number>();

    constructor(context: DispatchContext) {
        this.#context = context;
    }

    /** Takes as many waiting units of a step as the quota of its workspace allows now. */
    takeUnits({ job: { workspace }, spec, waiting }: ReadyStep): number {
        const left = workspace === undefined ? Infinity : this.#getLeftCpu(workspace);
        const { cpu } = computeUnitDemand(spec);
        if (workspace === undefined || cpu <= 0 || left === Infinity) {
            return waiting.size;
        }
        const units = Math.min(waiting.size, Math.floor(left / cpu));
        this.#leftCpu.set(workspace, left - units * cpu);
        return units;
    }

    #getLeftCpu(workspace: WorkspaceName): number {
        const known = this.#leftCpu.get(workspace);
        if (known !== undefined) {
            return known;
        }
        const limit = this.#context.stateStore.workspaces.get(workspace)?.limit.cpu ?? 0;
        const used = this.#context.quotaLedger.usage.get(workspace)?.cpu ?? 0;
        const left = limit > 0 ? Math.max(0, limit - used) : Infinity;
        this.#leftCpu.set(workspace, left);
        return left;
    }
}
