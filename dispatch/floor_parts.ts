/**
 * Which workers single tasks leave to gangs. The pattern: on a large floor, nearly full, a gang needs room for all
 * its tasks at once, on the workers that its queue's policy admits. The tasks of a gang end together and leave that
 * room behind, but single tasks of less urgent queues fill each gap as it opens, and the next gang finds crumbs
 * everywhere: gangs wait until traffic ends while batches, which have time, start at once. So while gangs
 * wait, single tasks of less urgent queues keep to a part of the floor for as long as their job has time,
 * and gangs go to the other part first. The parts follow what both ask for.
 *
 * @example
 * ```ts
 * import { computeLot, FloorParts } from "./floor_parts.ts";
 * const parts = new FloorParts();
 * parts.recordDemand({ isGang: true, work: 360_000 }, now);
 * parts.update(380, now);
 * parts.isForSingles(computeLot(workerId));
 * ```
 *
 * @module
 */

import { computeHash } from "../hashing/mod.ts";
import type { WorkerId } from "../job/mod.ts";

/** What a step asks for. */
export interface StepDemand {
    readonly isGang: boolean;
    /** Cores times time; only its share counts. */
    readonly work: number;
}

/** Time constant of the measured demand, in ms: some bursts. */
const DEMAND_WINDOW_MS = 20_000;
/** Nothing is divided before both kinds were asked for this long, in ms. */
const LEARN_MS = 4_000;
/** Each part has so many workers at the least; a smaller floor is not divided: a policy admits some of them only. */
const MIN_PART_WORKERS = 40;
const HASH_RANGE = 2 ** 32;
/** Single tasks keep to their part until this share of their job's objective is over. */
const PATIENT_SHARE = 0.25;

/** The parts of one leader's floor. */
export class FloorParts {
    readonly #mayDivide: boolean;
    #gangWork = 0;
    #singleWork = 0;
    #decayedAt: number | undefined;
    #learnsSince: number | undefined;
    #singlesShare: number | undefined;

    /**
     * @param mayDivide False to leave every floor whole.
     */
    constructor(mayDivide = true) {
        this.#mayDivide = mayDivide;
    }

    /** Whether the floor is divided now. */
    get isDivided(): boolean {
        return this.#singlesShare !== undefined;
    }

    /**
     * Records what a step asks for; the most urgent queue's steps are left out, as they go anywhere.
     *
     * @param demand The step.
     * @param now Our clock, in ms.
     */
    recordDemand(demand: StepDemand, now: number): void {
        this.#decay(now);
        if (demand.isGang) {
            this.#gangWork += demand.work;
        } else {
            this.#singleWork += demand.work;
        }
        if (this.#gangWork > 0 && this.#singleWork > 0) {
            this.#learnsSince ??= now;
        }
    }

    /**
     * Divides the floor anew.
     *
     * @param workers How many workers there are.
     * @param now Our clock, in ms.
     */
    update(workers: number, now: number): void {
        this.#decay(now);
        const total = this.#gangWork + this.#singleWork;
        const isKnown =
            this.#mayDivide &&
            this.#learnsSince !== undefined &&
            now - this.#learnsSince >= LEARN_MS;
        const share = total > 0 ? this.#singleWork / total : 0;
        const smaller = Math.min(share, 1 - share) * workers;
        this.#singlesShare = isKnown && smaller >= MIN_PART_WORKERS ? share : undefined;
    }

    /**
     * Tells which part a worker belongs to.
     *
     * @param lot The worker's lot; see {@link computeLot}.
     * @returns True in the part that single tasks keep to; false everywhere while the floor is not divided.
     */
    isForSingles(lot: number): boolean {
        return this.#singlesShare !== undefined && lot < this.#singlesShare;
    }

    #decay(now: number): void {
        const factor = Math.exp(-(now - (this.#decayedAt ?? now)) / DEMAND_WINDOW_MS);
        this.#gangWork *= factor;
        this.#singleWork *= factor;
        this.#decayedAt = now;
    }
}

/**
 * Casts a worker's lot, by its id, so that every leader divides the floor alike.
 *
 * @param id The worker.
 * @returns From 0 to 1.
 */
export function computeLot(id: WorkerId): number {
    return computeHash(id) / HASH_RANGE;
}

/**
 * Tells whether a job's single tasks may wait for room in their part.
 *
 * @param elapsedMs Time since the job was accepted, in ms.
 * @param objectiveMs The time in which it should be done, in ms.
 * @returns True while enough is left to run in time all the same.
 */
export function isPatient(elapsedMs: number, objectiveMs: number): boolean {
    return elapsedMs < PATIENT_SHARE * objectiveMs;
}
