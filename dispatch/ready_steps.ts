/**
 * The steps whose turn has come, and which of their units wait for a worker.
 *
 * @example
 * ```ts
 * import { StepBoard } from "./ready_steps.ts";
 * const board = new StepBoard({ ledger, clock });
 * board.openJob(job);
 * const steps = board.listWaiting();
 * ```
 *
 * @module
 */

import type { QueueName } from "../configuration/mod.ts";
import {
    countOccurrences,
    isStepDone,
    type Job,
    type JobId,
    type StateStore,
    type StepSpec,
    type UnitRef,
    type WorkerId,
} from "../job/mod.ts";
import type { DispatchClock, StepKey } from "./types.ts";

/** What the advice service said about a step. */
export interface StepAdvice {
    /** Workers named in some call; the answer about a worker never changes. */
    readonly askedWorkers: Set<WorkerId>;
    /** Workers that may run the step, with their newest ticket. */
    readonly admitted: Map<WorkerId, { readonly ticket: string; readonly validUntil: number }>;
    /** The calls under way or waiting. */
    readonly pendingCalls: Set<number>;
    /** No further call before this time. */
    retryAt: number;
}

/** A step whose turn has come. */
export interface ReadyStep {
    readonly key: StepKey;
    readonly job: Job;
    readonly occurrence: number;
    readonly step: number;
    readonly spec: StepSpec;
    readonly queue: QueueName;
    /** Units that wait for a worker. */
    readonly waiting: Set<number>;
    /** When the step became ready, in ms since 1970. */
    readonly readyAt: number;
    readonly advice: StepAdvice;
    /**
     * The room version at which its waiting units found no place; `undefined` when it is to be tried.
     * A backlog of hundreds of steps would otherwise be matched with every worker on every event.
     */
    matchedVersion: number | undefined;
    /** When it was last matched with every worker, in ms. */
    matchedAllAt: number;
    /** Workers that it holds while its gang finds no room; empty for others. */
    reservedWorkers: ReadonlyMap<WorkerId, number>;
    /** When it last had others make way, in ms. */
    preemptedAt: number;
    /** Workers on which one of its units failed: another one is tried first. */
    readonly failedWorkers: Set<WorkerId>;
    /** When one of its units failed last, in ms. */
    lastFailureAt: number;
    /** No start of it before this time, in ms: workers refused one as unreadable. */
    pausedUntil: number;
    /** Workers crashed under some of its units. */
    hasCrashes: boolean;
}

/** Options of {@link ReadySteps}. */
export interface ReadyStepsOptions {
    readonly ledger: StateStore;
    readonly clock: DispatchClock;
}

interface OccurrenceSchedule {
    readonly job: Job;
    nextOccurrence: number;
}

/** Ready steps by key, and occurrences that are not due yet. */
export class ReadySteps {
    readonly #ledger: StateStore;
    readonly #clock: DispatchClock;
    readonly #steps = new Map<StepKey, ReadyStep>();
    readonly #byJob = new Map<JobId, Set<StepKey>>();
    readonly #schedules = new Map<JobId, OccurrenceSchedule>();

    /**
     * @param options The state, the clocks.
     */
    constructor(options: ReadyStepsOptions) {
        this.#ledger = options.ledger;
        this.#clock = options.clock;
    }

    /** Every ready step. */
    get steps(): IterableIterator<ReadyStep> {
        return this.#steps.values();
    }

    /**
     * Opens what of a job is ready now, and schedules the rest.
     *
     * @param job A job that has not ended.
     */
    openJob(job: Job): void {
        if (job.spec === undefined) {
            return;
        }
        if (job.spec.repeats === 0) {
            this.#openOccurrence(job, 0);
            return;
        }
        for (const number of job.occurrences.keys()) {
            this.#openOccurrence(job, number);
        }
        this.#schedules.set(job.id, { job, nextOccurrence: 0 });
        this.openDueOccurrences();
    }

    /**
     * Opens the occurrences that have become due.
     *
     * @returns Whether there were any.
     */
    openDueOccurrences(): boolean {
        const wallTime = this.#clock.getWallTime();
        let hasOpened = false;
        for (const [id, schedule] of this.#schedules) {
            const { job } = schedule;
            const spec = job.spec;
            while (spec !== undefined && schedule.nextOccurrence < countOccurrences(job)) {
                if (spec.firstAtMs + schedule.nextOccurrence * spec.periodMs > wallTime) {
                    break;
                }
                this.#openOccurrence(job, schedule.nextOccurrence);
                schedule.nextOccurrence += 1;
                hasOpened = true;
            }
            if (spec === undefined || schedule.nextOccurrence >= countOccurrences(job)) {
                this.#schedules.delete(id);
            }
        }
        return hasOpened;
    }

    /**
     * Finds a ready step.
     *
     * @param key The step.
     * @returns The step, or `undefined` when it is not ready or has ended.
     */
    findStep(key: StepKey): ReadyStep | undefined {
        return this.#steps.get(key);
    }

    /**
     * Lets a unit wait again after an attempt.
     *
     * @param ref The unit.
     */
    addWaiting(ref: UnitRef): void {
        const step = this.#steps.get(createStepKey(ref));
        if (step !== undefined) {
            step.waiting.add(ref.unit);
            step.matchedVersion = undefined;
        }
    }

    /**
     * Notes that a worker crashed under a unit.
     *
     * @param ref The unit.
     */
    recordCrash(ref: UnitRef): void {
        const step = this.#steps.get(createStepKey(ref));
        if (step !== undefined) {
            step.hasCrashes = true;
            step.matchedVersion = undefined;
        }
    }

    /**
     * Closes a step when all its units are done, and opens those that waited for it.
     *
     * @param ref A unit that is done.
     * @returns The keys of steps that ended.
     */
    handleUnitDone(ref: UnitRef): StepKey[] {
        const job = this.#ledger.jobs.get(ref.job);
        const occurrence = job?.occurrences.get(ref.occurrence);
        if (job === undefined || occurrence === undefined || !isStepDone(occurrence, ref.step)) {
            return [];
        }
        const key = createStepKey(ref);
        this.#steps.delete(key);
        this.#byJob.get(job.id)?.delete(key);
        this.#openOccurrence(job, ref.occurrence);
        return [key];
    }

    /**
     * Closes a job that has ended.
     *
     * @param id The job.
     * @returns The keys of its steps that were ready.
     */
    closeJob(id: JobId): StepKey[] {
        const keys = [...(this.#byJob.get(id) ?? [])];
        keys.forEach((key) => this.#steps.delete(key));
        this.#byJob.delete(id);
        this.#schedules.delete(id);
        return keys;
    }

    /** Has every step matched with all workers again: the queues changed. */
    resetMatches(): void {
        for (const step of this.#steps.values()) {
            step.matchedVersion = undefined;
        }
    }

    #openOccurrence(job: Job, number: number): void {
        const { spec } = job;
        if (spec === undefined) {
            return;
        }
        const occurrence = this.#ledger.ensureOccurrence(job, number);
        spec.steps.forEach((stepSpec, step) => {
            const key = createStepKey({ job: job.id, occurrence: number, step });
            const isReady = stepSpec.after.every((before) => isStepDone(occurrence, before));
            if (isReady && !this.#steps.has(key) && !isStepDone(occurrence, step)) {
                this.#openStep({ key, job, occurrence: number, step, spec: stepSpec });
            }
        });
    }

    #openStep(step: Pick<ReadyStep, "key" | "job" | "occurrence" | "step" | "spec">): void {
        const units = step.job.occurrences.get(step.occurrence)?.steps[step.step] ?? [];
        const waiting = new Set<number>();
        units.forEach((unit, i) => {
            if (!unit.isDone && unit.members.size === 0) {
                waiting.add(i);
            }
        });
        this.#steps.set(step.key, {
            ...step,
            queue: step.job.queue,
            waiting,
            readyAt: this.#clock.getWallTime(),
            advice: {
                askedWorkers: new Set(),
                admitted: new Map(),
                pendingCalls: new Set(),
                retryAt: 0,
            },
            matchedVersion: undefined,
            matchedAllAt: Number.NEGATIVE_INFINITY,
            reservedWorkers: new Map(),
            preemptedAt: Number.NEGATIVE_INFINITY,
            failedWorkers: new Set(),
            lastFailureAt: Number.NEGATIVE_INFINITY,
            pausedUntil: Number.NEGATIVE_INFINITY,
            hasCrashes: units.some((unit) => unit.crashes.length > 0),
        });
        const keys = this.#byJob.get(step.job.id) ?? new Set();
        keys.add(step.key);
        this.#byJob.set(step.job.id, keys);
    }
}

/**
 * Gives a step's key.
 *
 * @param ref The job, the occurrence, the step.
 * @returns `JOB.OCCURRENCE.STEP`.
 */
export function createStepKey(ref: Pick<UnitRef, "job" | "occurrence" | "step">): StepKey {
    return `${ref.job}.${ref.occurrence}.${ref.step}` as StepKey;
}

/**
 * Names a unit, as a key.
 *
 * @param ref The unit.
 * @returns The key.
 */
export function createUnitKey(ref: UnitRef): string {
    return `${ref.job}.${ref.occurrence}.${ref.step}/${ref.unit}`;
}

/**
 * Names a unit of a step.
 *
 * @param step The step.
 * @param unit The unit's number.
 * @returns The unit.
 */
export function createUnitRef(step: ReadyStep, unit: number): UnitRef {
    return { job: step.job.id, occurrence: step.occurrence, step: step.step, unit };
}
