/**
 * Which workers a step asks about, in how many calls. The pattern: on a floor of hundreds of workers, nearly
 * full, a wide step needs tickets for many workers at the same moment. A call names a hundred at the most, takes
 * longer the more it names, and its tickets run out within seconds: asked one call after another, the
 * first tickets are over before the last ones are there, and the widest gangs never start. A small step needs
 * few names, and each further one makes it later. So a step names as many workers as its tasks need, by the
 * share of workers that its queue's policy usually admits, and asks about them in calls at the same time.
 *
 * @example
 * ```ts
 * import { planAdvice } from "./advice_plan.ts";
 * const calls = planAdvice({ places, tasks: 20, goodShare: 0.35, policy });
 * ```
 *
 * @module
 */

import type { AdvicePolicy, QueueName } from "../configuration/mod.ts";
import type { WorkerId } from "../job/mod.ts";

/** A worker that may be asked about. */
export interface AdviceCandidate {
    readonly id: WorkerId;
    /** Tasks of the step that it has room for now. */
    readonly taskSlots: number;
}

/** What a step asks for. */
export interface AdviceRequest {
    /** The workers, the best first. */
    readonly workers: readonly AdviceCandidate[];
    /** Tasks that wait. */
    readonly tasks: number;
    /** Share of the workers that is admitted, from 0 to 1. */
    readonly admissionRate: number;
    readonly policy: AdvicePolicy;
}

/** The most workers named in one call (the service's limit). */
const MAX_WORKERS_PER_CALL = 100;
/** Names in one call at the least: what one call costs hardly depends on fewer. */
const MIN_WORKERS_PER_CALL = 30;
/** Places asked for, as a multiple of the tasks: others take most of them until the answer is there. */
const SLOT_COVERAGE_FACTOR = 4;
/** Calls of one step at the same time, so that one step can't take every front's turn. */
const MAX_CONCURRENT_CALLS = 4;

/**
 * Plans the calls.
 *
 * @param request The step's needs and the workers.
 * @returns The names of each call; none when there is nobody to ask about.
 */
export function planAdvice(request: AdviceRequest): WorkerId[][] {
    const workersPerCall = computeWorkersPerCall(request.policy);
    const selected = selectWorkers(request, MAX_CONCURRENT_CALLS * workersPerCall);
    const callCount = Math.ceil(selected.length / workersPerCall);
    // Dealt out in turn, so that each answer alone has some of the best.
    return Array.from({ length: callCount }, (_none, call) =>
        selected.filter((_name, i) => i % callCount === call),
    );
}

/** Names beyond those that take as long as the call itself make it late; another call takes them beside it. */
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

/** Names after which a queue's own record outweighs the assumption. */
const PRIOR_WORKER_COUNT = 40;
/** Share of workers that is assumed to be admitted before anything is known. */
const PRIOR_ADMISSION_RATE = 0.5;

/** The share of workers that each queue's policy admits, by its answers. */
export class AdmissionRates {
    readonly #counts = new Map<QueueName, { asked: number; good: number }>();

    /**
     * Records an answer.
     *
     * @param queue The queue.
     * @param asked Workers that were asked about for the first time for their step.
     * @param admitted Those of them that are admitted.
     */
    record(queue: QueueName, asked: number, admitted: number): void {
        const counts = this.#counts.get(queue) ?? {
            asked: PRIOR_WORKER_COUNT,
            good: PRIOR_WORKER_COUNT * PRIOR_ADMISSION_RATE,
        };
        counts.asked += asked;
        counts.good += admitted;
        this.#counts.set(queue, counts);
    }

    /**
     * Gives a queue's share.
     *
     * @param queue The queue.
     * @returns From 0 to 1.
     */
    get(queue: QueueName): number {
        const counts = this.#counts.get(queue);
        return counts === undefined ? PRIOR_ADMISSION_RATE : counts.good / counts.asked;
    }
}
