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
export interface AskedWorker {
    readonly id: WorkerId;
    /** Tasks of the step that it has room for now. */
    readonly places: number;
}

/** What a step asks for. */
export interface AdviceRequest {
    /** The workers, the best first. */
    readonly workers: readonly AskedWorker[];
    /** Tasks that wait. */
    readonly tasks: number;
    /** Share of the workers that is admitted, from 0 to 1. */
    readonly goodShare: number;
    readonly policy: AdvicePolicy;
}

/** The most workers named in one call (the service's limit). */
const MAX_NAMES = 100;
/** Names in one call at the least: what one call costs hardly depends on fewer. */
const MIN_NAMES = 30;
/** Places asked for, as a multiple of the tasks: others take most of them until the answer is there. */
const COVER_FACTOR = 4;
/** Calls of one step at the same time, so that one step can't take every front's turn. */
const MAX_CALLS = 4;

/**
 * Plans the calls.
 *
 * @param request The step's needs and the workers.
 * @returns The names of each call; none when there is nobody to ask about.
 */
export function planAdvice(request: AdviceRequest): WorkerId[][] {
    const perCall = computeNamesPerCall(request.policy);
    const names = selectNames(request, MAX_CALLS * perCall);
    const count = Math.ceil(names.length / perCall);
    // Dealt out in turn, so that each answer alone has some of the best.
    return Array.from({ length: count }, (_none, call) =>
        names.filter((_name, i) => i % count === call),
    );
}

/** Names beyond those that take as long as the call itself make it late; another call takes them beside it. */
function computeNamesPerCall({ decideMs, perWorkerMs }: AdvicePolicy): number {
    const balanced = perWorkerMs > 0 ? Math.floor(decideMs / perWorkerMs) : MAX_NAMES;
    return Math.max(MIN_NAMES, Math.min(MAX_NAMES, balanced));
}

function selectNames({ workers, tasks, goodShare }: AdviceRequest, most: number): WorkerId[] {
    const names: WorkerId[] = [];
    let expected = 0;
    for (const { id, places } of workers) {
        const isEnough = expected >= COVER_FACTOR * tasks && names.length >= MIN_NAMES;
        if (isEnough || names.length >= most) {
            break;
        }
        names.push(id);
        expected += places * goodShare;
    }
    return names;
}

/** Names after which a queue's own record outweighs the assumption. */
const ASSUMED_NAMES = 40;
/** Share of workers that is assumed to be admitted before anything is known. */
const ASSUMED_SHARE = 0.5;

/** The share of workers that each queue's policy admits, by its answers. */
export class GoodShares {
    readonly #counts = new Map<QueueName, { asked: number; good: number }>();

    /**
     * Records an answer.
     *
     * @param queue The queue.
     * @param asked Workers that were asked about for the first time for their step.
     * @param good Those of them that are admitted.
     */
    record(queue: QueueName, asked: number, good: number): void {
        const counts = this.#counts.get(queue) ?? {
            asked: ASSUMED_NAMES,
            good: ASSUMED_NAMES * ASSUMED_SHARE,
        };
        counts.asked += asked;
        counts.good += good;
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
        return counts === undefined ? ASSUMED_SHARE : counts.good / counts.asked;
    }
}
