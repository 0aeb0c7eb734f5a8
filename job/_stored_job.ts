/**
 * Jobs as the state store keeps them: units without an attempt share one object, and counts that
 * follow from the units are kept beside them, so that the cost of a change doesn't grow with the
 * number of units.
 *
 * @example
 * ```ts
 * import { createOccurrence, ensureOwnUnit } from "./_stored_job.ts";
 * const occurrence = createOccurrence(spec.steps);
 * const unit = ensureOwnUnit(occurrence, 0, 17);
 * ```
 *
 * @module
 */

import type { Crash, Job, Occurrence, StepSpec, Unit, WorkerId } from "./types.ts";

/** An occurrence that the state store may change. */
export interface StoredOccurrence extends Occurrence {
    readonly steps: Readonly<Unit>[][];
    readonly openUnits: number[];
    /** The number of steps with open units. */
    openSteps: number;
}

/** A job that the state store may change. */
export interface StoredJob extends Job {
    readonly occurrences: Map<number, StoredOccurrence>;
    /** The number of occurrences of which all units are done. */
    doneOccurrences: number;
    /** The number of members that may still run. */
    activeMembers: number;
}

/**
 * A unit in a snapshot: attempt, failures, checkpoint, `isDone`, `hasFailedMember`, members, and
 * crashes if there are any.
 */
export type EncodedUnit = readonly [
    number,
    number,
    string,
    boolean,
    boolean,
    readonly (readonly [number, WorkerId])[],
    (readonly Crash[])?,
];

/** An occurrence in a snapshot: its number and the units of each step. */
export type EncodedOccurrence = readonly [number, readonly (readonly EncodedUnit[])[]];

/** A job in a snapshot. */
export interface EncodedJob {
    readonly job: Omit<Job, "occurrences">;
    readonly occurrences: readonly EncodedOccurrence[];
}

const NO_CRASHES: readonly Crash[] = [];
/** The members of a unit of which no attempt runs. */
export const NO_MEMBERS: ReadonlyMap<number, WorkerId> = new Map();

/** All units without an attempt. */
const NEW_UNIT: Readonly<Unit> = Object.freeze({
    attempt: 0,
    failures: 0,
    checkpoint: "",
    isDone: false,
    hasFailedMember: false,
    crashes: NO_CRASHES,
    members: NO_MEMBERS,
});
const ENCODED_NEW_UNIT: EncodedUnit = [0, 0, "", false, false, []];

/**
 * Creates an occurrence without attempts.
 *
 * @param steps The steps of its job.
 * @returns The occurrence.
 * @throws {RangeError} If a step has more tasks than an array can hold.
 */
export function createOccurrence(steps: readonly StepSpec[]): StoredOccurrence {
    return buildOccurrence(
        steps.map(({ isGang, count }) => new Array<Unit>(isGang ? 1 : count).fill(NEW_UNIT)),
    );
}

/**
 * Returns a unit that may be changed.
 *
 * @param occurrence The occurrence.
 * @param step The index of the step.
 * @param index The index of the unit.
 * @returns The unit, or `undefined` if it does not exist.
 */
export function ensureOwnUnit(
    occurrence: StoredOccurrence,
    step: number,
    index: number,
): Unit | undefined {
    const units = occurrence.steps[step];
    const unit = units?.[index];
    if (units === undefined || unit !== NEW_UNIT) {
        return unit;
    }
    const own: Unit = { ...NEW_UNIT };
    units[index] = own;
    return own;
}

/**
 * Counts a unit of a job as done.
 *
 * @param job The job.
 * @param occurrence Its occurrence.
 * @param step The index of the unit's step.
 */
export function recordUnitDone(job: StoredJob, occurrence: StoredOccurrence, step: number): void {
    const open = (occurrence.openUnits[step] ?? 0) - 1;
    occurrence.openUnits[step] = open;
    if (open === 0) {
        occurrence.openSteps -= 1;
        job.doneOccurrences += occurrence.openSteps === 0 ? 1 : 0;
    }
}

/**
 * Copies a job, except for the parts that don't change.
 *
 * @param job The job.
 * @returns An independent copy.
 */
export function copyJob(job: StoredJob): StoredJob {
    const occurrences = new Map<number, StoredOccurrence>();
    for (const [number, { steps, openUnits, openSteps }] of job.occurrences) {
        occurrences.set(number, {
            steps: steps.map((units) => units.map((unit) => copyUnit(unit))),
            openUnits: [...openUnits],
            openSteps,
        });
    }
    return { ...job, occurrences };
}

/**
 * Converts a job to its form in a snapshot.
 *
 * @param job The job.
 * @returns The encoded job.
 */
export function encodeJob(job: StoredJob): EncodedJob {
    const { id, queue, pool, workspace, spec, acceptedAt, state, endedAt, occurrences } = job;
    return {
        job: { id, queue, pool, workspace, spec, acceptedAt, state, endedAt },
        occurrences: [...occurrences].map(
            ([number, { steps }]) =>
                [number, steps.map((units) => units.map((unit) => encodeUnit(unit)))] as const,
        ),
    };
}

/**
 * Restores a job from a snapshot.
 *
 * @param encoded The encoded job.
 * @returns The job.
 */
export function decodeJob({ job, occurrences }: EncodedJob): StoredJob {
    const decoded = occurrences.map(
        ([number, steps]) =>
            [
                number,
                buildOccurrence(steps.map((units) => units.map((unit) => decodeUnit(unit)))),
            ] as const,
    );
    let [doneOccurrences, activeMembers] = [0, 0];
    for (const [, { steps, openSteps }] of decoded) {
        doneOccurrences += openSteps === 0 ? 1 : 0;
        steps.forEach((units) => units.forEach(({ members }) => (activeMembers += members.size)));
    }
    return { ...job, occurrences: new Map(decoded), doneOccurrences, activeMembers };
}

function buildOccurrence(steps: Readonly<Unit>[][]): StoredOccurrence {
    const openUnits = steps.map((units) =>
        units.reduce((count, unit) => count + (unit.isDone ? 0 : 1), 0),
    );
    const openSteps = openUnits.filter((count) => count > 0).length;
    return { steps, openUnits, openSteps };
}

function copyUnit(unit: Readonly<Unit>): Readonly<Unit> {
    return unit === NEW_UNIT ? unit : { ...unit };
}

function encodeUnit(unit: Readonly<Unit>): EncodedUnit {
    if (unit === NEW_UNIT) {
        return ENCODED_NEW_UNIT;
    }
    const { attempt, failures, checkpoint, isDone, hasFailedMember, crashes } = unit;
    const members = [...unit.members];
    return crashes.length === 0
        ? [attempt, failures, checkpoint, isDone, hasFailedMember, members]
        : [attempt, failures, checkpoint, isDone, hasFailedMember, members, crashes];
}

function decodeUnit(encoded: EncodedUnit): Readonly<Unit> {
    const [attempt, failures, checkpoint, isDone, hasFailedMember, members, crashes] = encoded;
    if (attempt === 0 && crashes === undefined && members.length === 0 && !isDone) {
        return NEW_UNIT;
    }
    return {
        attempt,
        failures,
        checkpoint,
        isDone,
        hasFailedMember,
        crashes: crashes ?? NO_CRASHES,
        members: members.length === 0 ? NO_MEMBERS : new Map(members),
    };
}
