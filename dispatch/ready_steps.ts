/**
 * Tracks the steps that are ready to run, their units that wait for placement, and occurrences of
 * repeating jobs that are not due yet.
 *
 * @example
 * ```ts
 * import { ReadySteps } from "./ready_steps.ts";
 * const readySteps = new ReadySteps({ stateStore, clock });
 * readySteps.openJob(job);
 * const steps = [...readySteps.steps];
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

/** A worker's newest ticket for a step. */
export interface AdmissionState {
    readonly ticket: string;
    /** In ms. */
    readonly validUntilMs: number;
}

/** The admission of a worker whose ticket is no longer valid. */
export const EXPIRED_ADMISSION: AdmissionState = { ticket: "", validUntilMs: 0 };

/** The advice service's answers about a step. */
export interface StepAdvice {
    /** Workers in the answered calls; the answer for a worker never changes. */
    readonly queriedWorkers: Set<WorkerId>;
    /** Workers that may run the step, with their newest ticket and its expiry, in ms. */
    readonly admitted: Map<WorkerId, AdmissionState>;
    /** Ids of the calls that are queued or in progress. */
    readonly pendingCalls: Set<number>;
    /** No further call is made before this time, in ms. */
    retryAtMs: number;
}

/** A step whose dependencies are done. */
export interface ReadyStep {
    readonly key: StepKey;
    readonly job: Job;
    readonly occurrence: number;
    readonly step: number;
    readonly spec: StepSpec;
    readonly queue: QueueName;
    /** Units that wait for placement. */
    readonly waiting: Set<number>;
    /** When the step became ready, in ms since the Unix epoch. */
    readonly readyAtMs: number;
    readonly advice: StepAdvice;
    /**
     * Capacity version at which the waiting units were last matched without success; `undefined`
     * forces a match with all workers. Avoids matching a large backlog with every worker on every
     * event.
     */
    matchedVersion: number | undefined;
    /** When the step was last matched with all workers, in ms. */
    matchedAllAtMs: number;
    /**
     * Workers reserved for a gang that does not fit yet, with the number of tasks on each; empty
     * for other steps.
     */
    reservedWorkers: ReadonlyMap<WorkerId, number>;
    /** When the gang is expected to start on its reserved workers, in ms. */
    reservedStartAtMs: number;
    /**
     * Since when reservations for other steps have kept the step from workers, in ms; `undefined` if
     * they don't.
     */
    heldSinceMs: number | undefined;
    /** When the step last preempted other tasks, in ms. */
    preemptedAtMs: number;
    /** Workers on which one of its units failed; retries prefer other workers. */
    readonly failedWorkers: Set<WorkerId>;
    /** When one of its units last failed, in ms. */
    lastFailureAtMs: number;
    /**
     * No unit is started before this time, in ms; set after a worker refused a start as invalid.
     */
    pausedUntilMs: number;
    /** Whether workers have crashed while running its units. */
    hasCrashes: boolean;
    /** Whether the step has waited for its workspace's quota. */
    hasWaitedForQuota: boolean;
}

/**
 * Steps that are opened in one call; takes some 10 ms. Counted with the steps of each occurrence that
 * aren't ready yet.
 */
const MAX_OPENED_STEPS_PER_CALL = 1_000;
/**
 * Ready steps of one job, and of all, from which on no further occurrence is opened while the job
 * has a ready step. Each takes some 2 KB and is ranked in every placement run.
 */
const MAX_READY_STEPS_PER_JOB = 2_000;
const MAX_READY_STEPS = 10_000;

/** Options of {@link ReadySteps}. */
export interface ReadyStepsOptions {
    readonly stateStore: StateStore;
    readonly clock: DispatchClock;
    /** Does something for a job that must not fail the others; by default errors are thrown. */
    readonly runGuarded?: (job: Job, run: () => void) => void;
}

interface OccurrenceSchedule {
    readonly job: Job;
    nextOccurrence: number;
}

/** Ready steps by key, and the schedules of repeating jobs. */
export class ReadySteps {
    readonly #stateStore: StateStore;
    readonly #clock: DispatchClock;
    readonly #runGuarded: (job: Job, run: () => void) => void;
    readonly #steps = new Map<StepKey, ReadyStep>();
    readonly #keysByJob = new Map<JobId, Set<StepKey>>();
    readonly #schedules = new Map<JobId, OccurrenceSchedule>();

    /**
     * @param options The replicated state and the clocks.
     */
    constructor(options: ReadyStepsOptions) {
        this.#stateStore = options.stateStore;
        this.#clock = options.clock;
        this.#runGuarded = options.runGuarded ?? ((_job, run) => run());
    }

    /** The number of ready steps. */
    get size(): number {
        return this.#steps.size;
    }

    /** All ready steps. */
    get steps(): IterableIterator<ReadyStep> {
        return this.#steps.values();
    }

    /**
     * Opens the ready steps of a job and schedules its later occurrences.
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
        const schedule = { job, nextOccurrence: 0 };
        this.#schedules.set(job.id, schedule);
        this.#openDue(schedule, MAX_OPENED_STEPS_PER_CALL);
    }

    /**
     * Opens occurrences that have become due, a limited number at a time. The others are opened by
     * later calls, once fewer steps are ready.
     *
     * @returns Whether any were opened.
     */
    openDueOccurrences(): boolean {
        let left = MAX_OPENED_STEPS_PER_CALL;
        const wallTimeMs = this.#clock.getWallTimeMs();
        for (const schedule of [...this.#schedules.values()]) {
            if (!isDue(schedule, wallTimeMs)) {
                continue;
            }
            if (left <= 0) {
                break;
            }
            const { id } = schedule.job;
            this.#runGuarded(schedule.job, () => {
                left -= this.#openDue(schedule, left);
            });
            if (this.#schedules.delete(id)) {
                // The next call begins with another job.
                this.#schedules.set(id, schedule);
            }
        }
        return left < MAX_OPENED_STEPS_PER_CALL;
    }

    /** Opens due occurrences of a job and returns the number of steps that this took. */
    #openDue(schedule: OccurrenceSchedule, maxSteps: number): number {
        const { job } = schedule;
        const { spec } = job;
        let opened = 0;
        const wallTimeMs = this.#clock.getWallTimeMs();
        while (
            spec !== undefined &&
            opened < maxSteps &&
            isDue(schedule, wallTimeMs) &&
            this.#hasRoomFor(job)
        ) {
            if (!job.occurrences.has(schedule.nextOccurrence)) {
                this.#openOccurrence(job, schedule.nextOccurrence);
                opened += spec.steps.length;
            }
            schedule.nextOccurrence += 1;
        }
        if (spec === undefined || schedule.nextOccurrence >= countOccurrences(job)) {
            this.#schedules.delete(job.id);
        }
        return opened;
    }

    /** Returns whether another occurrence may be opened; a job can always have one. */
    #hasRoomFor(job: Job): boolean {
        const ready = this.#keysByJob.get(job.id)?.size ?? 0;
        return (
            ready === 0 || (ready < MAX_READY_STEPS_PER_JOB && this.#steps.size < MAX_READY_STEPS)
        );
    }

    /**
     * Finds a ready step.
     *
     * @param key The step's key.
     * @returns The step, or `undefined` if it is not ready or has ended.
     */
    findStep(key: StepKey): ReadyStep | undefined {
        return this.#steps.get(key);
    }

    /**
     * Puts a unit back into the waiting state after an attempt.
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
     * Records that a worker crashed while running a unit.
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
     * Expires the tickets for a worker that restarted, so that the advice service is asked again.
     *
     * @param worker The worker.
     */
    expireTickets(worker: WorkerId): void {
        for (const { advice } of this.#steps.values()) {
            if (advice.admitted.has(worker)) {
                advice.admitted.set(worker, EXPIRED_ADMISSION);
            }
        }
    }

    /**
     * Closes a step once all its units are done, and opens the steps that depend on it.
     *
     * @param ref A unit that is done.
     * @returns The keys of the closed steps.
     */
    handleUnitDone(ref: UnitRef): StepKey[] {
        const job = this.#stateStore.jobs.get(ref.job);
        const occurrence = job?.occurrences.get(ref.occurrence);
        if (job === undefined || occurrence === undefined || !isStepDone(occurrence, ref.step)) {
            return [];
        }
        const key = createStepKey(ref);
        this.#steps.delete(key);
        this.#keysByJob.get(job.id)?.delete(key);
        this.#openOccurrence(job, ref.occurrence);
        return [key];
    }

    /**
     * Closes the steps of a job that has ended.
     *
     * @param id The job.
     * @returns The keys of the closed steps.
     */
    closeJob(id: JobId): StepKey[] {
        const keys = [...(this.#keysByJob.get(id) ?? [])];
        keys.forEach((key) => this.#steps.delete(key));
        this.#keysByJob.delete(id);
        this.#schedules.delete(id);
        return keys;
    }

    /** Marks every step to be matched with all workers again, after the queues have changed. */
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
        const occurrence = this.#stateStore.ensureOccurrence(job.id, number);
        if (occurrence === undefined) {
            return;
        }
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
            key: step.key,
            job: step.job,
            occurrence: step.occurrence,
            step: step.step,
            spec: step.spec,
            queue: step.job.queue,
            waiting,
            readyAtMs: this.#clock.getWallTimeMs(),
            advice: {
                queriedWorkers: new Set(),
                admitted: new Map(),
                pendingCalls: new Set(),
                retryAtMs: 0,
            },
            matchedVersion: undefined,
            matchedAllAtMs: Number.NEGATIVE_INFINITY,
            reservedWorkers: new Map(),
            reservedStartAtMs: Number.POSITIVE_INFINITY,
            heldSinceMs: undefined,
            preemptedAtMs: Number.NEGATIVE_INFINITY,
            failedWorkers: new Set(),
            lastFailureAtMs: Number.NEGATIVE_INFINITY,
            pausedUntilMs: Number.NEGATIVE_INFINITY,
            hasWaitedForQuota: false,
            hasCrashes: units.some((unit) => unit.crashes.length > 0),
        });
        const keys = this.#keysByJob.get(step.job.id) ?? new Set();
        keys.add(step.key);
        this.#keysByJob.set(step.job.id, keys);
    }
}

/** Returns whether the next occurrence of a job exists and is due. */
function isDue({ job, nextOccurrence }: OccurrenceSchedule, wallTimeMs: number): boolean {
    const { spec } = job;
    return (
        spec !== undefined &&
        nextOccurrence < countOccurrences(job) &&
        spec.firstAtMs + nextOccurrence * spec.periodMs <= wallTimeMs
    );
}

/**
 * Creates a step's key.
 *
 * @param ref The job, occurrence and step.
 * @returns `JOB.OCCURRENCE.STEP`.
 */
export function createStepKey(ref: Pick<UnitRef, "job" | "occurrence" | "step">): StepKey {
    return `${ref.job}.${ref.occurrence}.${ref.step}` as StepKey;
}

/**
 * Creates a unit's key.
 *
 * @param ref The unit.
 * @returns `JOB.OCCURRENCE.STEP/UNIT`.
 */
export function createUnitKey(ref: UnitRef): string {
    return `${ref.job}.${ref.occurrence}.${ref.step}/${ref.unit}`;
}

/**
 * Creates the reference to a unit of a step.
 *
 * @param step The step.
 * @param unit The unit's number.
 * @returns The reference.
 */
export function createUnitRef(step: ReadyStep, unit: number): UnitRef {
    return { job: step.job.id, occurrence: step.occurrence, step: step.step, unit };
}
