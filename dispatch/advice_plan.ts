/**
 * Plans the advice calls of a step: which workers they cover, and how many calls run concurrently.
 * Sequential calls would let the first tickets of a wide gang expire before the last ones arrive.
 *
 * @example
 * ```ts
 * import { planAdvice } from "./advice_plan.ts";
 * const calls = planAdvice({ workers, tasks: 20, admissionRate: 0.35, policy });
 * ```
 *
 * @module
 */

import type { AdvicePolicy, QueueName } from "../configuration/mod.ts";
import type { WorkerId } from "../job/mod.ts";

/** A worker that an advice call may include. */
export interface AdviceCandidate {
    readonly id: WorkerId;
    /** Number of the step's tasks that currently fit on the worker. */
    readonly taskSlots: number;
}

/** The needs of a step and the workers to choose from. */
export interface AdviceRequest {
    /** The workers, best first. */
    readonly workers: readonly AdviceCandidate[];
    /** Number of waiting tasks. */
    readonly tasks: number;
    /** Expected share of admitted workers, from 0 to 1. */
    readonly admissionRate: number;
    readonly policy: AdvicePolicy;
}

/** Maximum number of workers in one call, set by the advice service. */
const MAX_WORKERS_PER_CALL = 100;
/** Minimum number of workers in one call; smaller calls are hardly cheaper. */
const MIN_WORKERS_PER_CALL = 30;
/**
 * Expected task slots per waiting task; allows for slots that are taken before the answer arrives.
 */
const SLOT_COVERAGE_FACTOR = 4;
/**
 * Maximum number of concurrent calls for one step, so that it can't occupy every front instance.
 */
const MAX_CONCURRENT_CALLS = 4;

/**
 * Plans the calls for a step.
 *
 * @param request The step's needs and the workers.
 * @returns The workers of each call; empty if there are no workers.
 */
export function planAdvice(request: AdviceRequest): WorkerId[][] {
    const workersPerCall = computeWorkersPerCall(request.policy);
    const selected = selectWorkers(request, MAX_CONCURRENT_CALLS * workersPerCall);
    const callCount = Math.ceil(selected.length / workersPerCall);
    // Distributes the workers round-robin, so that each answer covers some of the best.
    return Array.from({ length: callCount }, (_none, call) =>
        selected.filter((_name, i) => i % callCount === call),
    );
}

/**
 * Computes the call size at which the time per worker equals the fixed time of a call. More workers
 * go into a concurrent call.
 */
function computeWorkersPerCall({ decideMs, perWorkerMs }: AdvicePolicy): number {
    const balancedCount =
        perWorkerMs > 0 ? Math.floor(decideMs / perWorkerMs) : MAX_WORKERS_PER_CALL;
    return Math.max(MIN_WORKERS_PER_CALL, Math.min(MAX_WORKERS_PER_CALL, balancedCount));
}

function selectWorkers(
    { workers, tasks, admissionRate }: AdviceRequest,
    maxWorkers: number,
): WorkerId[] {
    const selected: WorkerId[] = [];
    let expectedSlots = 0;
    for (const { id, taskSlots } of workers) {
        const isCovered =
            expectedSlots >= SLOT_COVERAGE_FACTOR * tasks &&
            selected.length >= MIN_WORKERS_PER_CALL;
        if (isCovered || selected.length >= maxWorkers) {
            break;
        }
        selected.push(id);
        expectedSlots += taskSlots * admissionRate;
    }
    return selected;
}

/** Weight of the assumed admission rate, as a number of workers. */
const PRIOR_WORKER_COUNT = 40;
/** Admission rate that is assumed before any answer arrives. */
const PRIOR_ADMISSION_RATE = 0.5;

/** Tracks the share of workers that the advice service admits, by queue. */
export class AdmissionRates {
    readonly #counts = new Map<QueueName, { queried: number; admitted: number }>();

    /**
     * Records an answer.
     *
     * @param queue The queue.
     * @param queriedCount Number of workers that a call of their step included for the first time.
     * @param admittedCount Number of those workers that were admitted.
     */
    record(queue: QueueName, queriedCount: number, admittedCount: number): void {
        const counts = this.#counts.get(queue) ?? {
            queried: PRIOR_WORKER_COUNT,
            admitted: PRIOR_WORKER_COUNT * PRIOR_ADMISSION_RATE,
        };
        counts.queried += queriedCount;
        counts.admitted += admittedCount;
        this.#counts.set(queue, counts);
    }

    /**
     * Returns the admission rate of a queue.
     *
     * @param queue The queue.
     * @returns The rate, from 0 to 1.
     */
    get(queue: QueueName): number {
        const counts = this.#counts.get(queue);
        return counts === undefined ? PRIOR_ADMISSION_RATE : counts.admitted / counts.queried;
    }
}
