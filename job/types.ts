/**
 * Jobs of steps: what a caller submits, and the durable state of each task.
 *
 * @example
 * ```ts
 * import { formatTaskName } from "./types.ts";
 * formatTaskName({ job, occurrence: 0, step: 1, index: 17 }); // "5c0e7a21d94b36f8.0.1.17"
 * ```
 *
 * @module
 */

import type { PoolName, QueueName } from "../configuration/mod.ts";
import type { Brand } from "../inventory/mod.ts";
import type { Crash } from "./crash_history.ts";

/** A job, named by its caller: 16 hexadecimal digits. */
export type JobId = Brand<string, "JobId">;
/** One incarnation of a worker. */
export type WorkerId = Brand<string, "WorkerId">;
/** A task's full name: job, occurrence, step and index. */
export type TaskName = Brand<string, "TaskName">;

/** Processors, memory and accelerators, needed or offered. */
export interface Resources {
    /** Thousandths of a core. */
    readonly cpu: number;
    readonly memoryMb: number;
    readonly gpu: number;
}

/** One step of a job. */
export interface StepSpec {
    /** How many tasks. */
    readonly count: number;
    /** What each task needs. */
    readonly needs: Resources;
    /** The caller's rough estimate of a task's duration, in ms. */
    readonly estimateMs: number;
    /** Earlier steps whose tasks must all be done first. */
    readonly after: readonly number[];
    /** The tasks work only together; one end stands for all. */
    readonly isGang: boolean;
    /** The gang is much slower across racks. */
    readonly isRackLocal: boolean;
    /** A label that the worker must carry. */
    readonly requiredLabel: string | undefined;
    /** The rack that holds the data; elsewhere the task is slower. */
    readonly preferredRack: string | undefined;
    /** At most this many tasks of the step on one worker; 0 for no limit. */
    readonly maxPerWorker: number;
    /** Its tasks write checkpoints that another attempt resumes from. */
    readonly savesProgress: boolean;
    /** Copies may run side by side; the first to finish counts. */
    readonly isSpeculative: boolean;
    /** Its tasks run until the job is cancelled and are started again however they end. */
    readonly isPerpetual: boolean;
    /** What the tasks run; tasks of the same image behave alike. */
    readonly image: string;
    /** The response time that a serving task's tail must stay below, in ms; 0 for none. */
    readonly targetMs: number;
    /** Its processors are not counted: the tasks take what the others leave. */
    readonly isFiller: boolean;
    /** How many perpetual tasks the scheduler may take away at the same time. */
    readonly maxAbsent: number;
}

/** What a caller submits. */
export interface JobSpec {
    /** Passed on to every task as it is. */
    readonly payload: string;
    readonly steps: readonly StepSpec[];
    /** How many times the steps run at set times; 0 for once, at once. */
    readonly repeats: number;
    /** When the first occurrence is due, in ms since 1970. */
    readonly firstAtMs: number;
    /** Time between two occurrences, in ms. */
    readonly periodMs: number;
}

/** A job's state as callers see it. */
export type JobState = "queued" | "running" | "complete" | "failed" | "cancelled";

/**
 * How one member of an attempt ended. `lost` and `void` are the scheduler's own findings: the
 * worker went away with it; it never ran and never will.
 */
export type MemberOutcome =
    "done" | "failed" | "stopped" | "lapsed" | "broken" | "alone" | "lost" | "void";

/**
 * What is placed and retried as one: a single task, or all tasks of a gang. Its attempts follow
 * one another; none starts before every member of the last one has ended.
 */
export interface Unit {
    /** The newest attempt's number; 0 before the first. */
    attempt: number;
    /** Attempts that ended with a failure. */
    failures: number;
    /** The newest checkpoint; empty when there is none. */
    checkpoint: string;
    isDone: boolean;
    /** A member of the attempt under way failed. */
    hasFailedMember: boolean;
    /** Attempts under which a worker crashed, as far as they may have caused it. */
    crashes: readonly Crash[];
    /** Members of the attempt under way that may still run: task index to worker. */
    readonly members: Map<number, WorkerId>;
}

/** Names one unit. */
export interface UnitRef {
    readonly job: JobId;
    readonly occurrence: number;
    readonly step: number;
    /** The task's index; 0 for a gang. */
    readonly unit: number;
}

/** Names one task. */
export interface TaskRef {
    readonly job: JobId;
    readonly occurrence: number;
    readonly step: number;
    readonly index: number;
}

/** One run of a job's steps. */
export interface Occurrence {
    /** Units per step. */
    readonly steps: Unit[][];
}

/** A job's durable state. */
export interface Job {
    readonly id: JobId;
    readonly queue: QueueName;
    readonly pool: PoolName;
    /** Dropped with the occurrences once the job has ended and nothing of it runs. */
    spec: JobSpec | undefined;
    readonly acceptedAt: number;
    state: JobState;
    endedAt: number | undefined;
    readonly occurrences: Map<number, Occurrence>;
}

/** What a worker tells of itself. */
export interface WorkerReport {
    readonly id: WorkerId;
    readonly address: string;
    readonly pool: PoolName;
    readonly zone: string;
    /** What it has now; it may shrink and grow again. */
    readonly capacity: Resources;
    readonly labels: readonly string[];
    /** The instance that it is one incarnation of; empty when the worker does not say. */
    readonly instance: string;
    /** It announced its end: it takes no new work. */
    readonly isDraining: boolean;
}

/** A worker's durable record. */
export interface WorkerRecord extends WorkerReport {
    /** The largest room that it had so far: what it can be expected to have again. */
    readonly fullCapacity: Resources;
}

const JOB_ID_PATTERN = /^[0-9a-f]{16}$/;

/**
 * Tells whether a text names a job.
 *
 * @param text The text.
 * @returns True for 16 hexadecimal digits.
 */
export function isJobId(text: string): text is JobId {
    return JOB_ID_PATTERN.test(text);
}

/**
 * Formats a task's name.
 *
 * @param ref The task.
 * @returns `JOB.OCCURRENCE.STEP.INDEX`.
 */
export function formatTaskName(ref: TaskRef): TaskName {
    return `${ref.job}.${ref.occurrence}.${ref.step}.${ref.index}` as TaskName;
}
