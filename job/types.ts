/**
 * Types of jobs and workers: what callers submit, and the replicated state.
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
import type { WorkspaceName } from "../workspace/types.ts";

/** A job's id, chosen by its caller: 16 hexadecimal digits. */
export type JobId = Brand<string, "JobId">;
/** The id of a worker, which may restart under the same id; see {@link Incarnation}. */
export type WorkerId = Brand<string, "WorkerId">;
/**
 * Identifies one incarnation of a worker among all with the same id: the time of its start, in ms
 * since the Unix epoch. A later incarnation may have a smaller value, since clocks may be set back.
 */
export type Incarnation = Brand<number, "Incarnation">;
/** A task's full name, `JOB.OCCURRENCE.STEP.INDEX`. */
export type TaskName = Brand<string, "TaskName">;

/** Amounts of resources that a task requests or a worker offers. */
export interface Resources {
    /** CPU in thousandths of a core. */
    readonly cpu: number;
    readonly memoryMb: number;
    readonly gpu: number;
}

/** One step of a job. */
export interface StepSpec {
    /** Number of tasks. */
    readonly count: number;
    /** Resource request of each task. */
    readonly needs: Resources;
    /** The caller's estimate of a task's duration, in ms. */
    readonly estimateMs: number;
    /** Indexes of earlier steps that must be done before this one starts. */
    readonly after: readonly number[];
    /** The tasks are co-scheduled as a gang: they start together and are retried together. */
    readonly isGang: boolean;
    /** The gang should run within one rack; it is much slower across racks. */
    readonly isRackLocal: boolean;
    /** A label that the worker must have. */
    readonly requiredLabel: string | undefined;
    /** The rack that holds the data; tasks on other racks are slower. */
    readonly preferredRack: string | undefined;
    /** Maximum number of tasks of the step on one worker; 0 for no limit. */
    readonly maxPerWorker: number;
    /** The tasks write checkpoints, from which a later attempt resumes. */
    readonly savesProgress: boolean;
    /** Tasks may be executed speculatively; the first copy to finish counts. */
    readonly isSpeculative: boolean;
    /** The tasks run until the job is cancelled and are restarted however they end. */
    readonly isPerpetual: boolean;
    /** The image that the tasks run; tasks of one image are assumed to behave alike. */
    readonly image: string;
    /** Target for the tail latency of a serving task, in ms; 0 for none. */
    readonly targetMs: number;
    /** The tasks are best-effort: they use leftover CPU and reserve none. */
    readonly isFiller: boolean;
    /** Maximum number of perpetual tasks that the scheduler may stop at the same time. */
    readonly maxAbsent: number;
}

/** What a caller submits. */
export interface JobSpec {
    /** Opaque data that every task receives. */
    readonly payload: string;
    readonly steps: readonly StepSpec[];
    /** Number of scheduled occurrences; 0 to run the steps once, immediately. */
    readonly repeats: number;
    /** Due time of the first occurrence, in ms since the Unix epoch. */
    readonly firstAtMs: number;
    /** Interval between two occurrences, in ms. */
    readonly periodMs: number;
}

/** The state of a job as reported to callers. */
export type JobState = "queued" | "running" | "complete" | "failed" | "cancelled";

/**
 * How one member of an attempt ended. `lost` and `void` are set by the scheduler: the worker was
 * lost while it may have run, or it never ran and cannot start any more.
 */
export type MemberOutcome =
    "done" | "failed" | "stopped" | "lapsed" | "broken" | "alone" | "lost" | "void";

/**
 * How strongly a worker's crash implicates an attempt on that worker. `late`: the attempt had run
 * past its startup period. `early`: it and others were still starting. `sole`: it was the only one
 * that was still starting.
 */
export type CrashEvidence = "late" | "early" | "sole";

/** An attempt of one unit during which a worker crashed. */
export interface Crash {
    readonly attempt: number;
    readonly evidence: CrashEvidence;
}

/**
 * The unit of placement and retry: a single task, or all tasks of a gang. An attempt starts only
 * after every member of the previous one has ended.
 */
export interface Unit {
    /** The latest attempt's number; 0 before the first. */
    attempt: number;
    /** Number of failed attempts. */
    failures: number;
    /** The latest checkpoint; empty if there is none. */
    checkpoint: string;
    isDone: boolean;
    /** Whether a member of the current attempt failed. */
    hasFailedMember: boolean;
    /** Attempts that may have crashed a worker. */
    crashes: readonly Crash[];
    /** Members of the current attempt that may still run: task index to worker. */
    members: ReadonlyMap<number, WorkerId>;
}

/** Identifies one unit. */
export interface UnitRef {
    readonly job: JobId;
    readonly occurrence: number;
    readonly step: number;
    /** The task's index; 0 for a gang. */
    readonly unit: number;
}

/** An attempt on a worker that crashed or whose lease expired, with its unit. */
export interface CrashedAttempt extends Crash {
    readonly unit: UnitRef;
}

/** Identifies one task. */
export interface TaskRef {
    readonly job: JobId;
    readonly occurrence: number;
    readonly step: number;
    readonly index: number;
}

/** One execution of all steps of a job. */
export interface Occurrence {
    /** The units of each step, by step index. Units without an attempt share one object. */
    readonly steps: (readonly Readonly<Unit>[])[];
    /** The number of units of each step that are not done, by step index. */
    readonly openUnits: readonly number[];
}

/** The replicated state of a job. */
export interface Job {
    readonly id: JobId;
    readonly queue: QueueName;
    readonly pool: PoolName;
    /** `undefined` for a job of an anonymous caller, or accepted by an earlier release. */
    readonly workspace?: WorkspaceName | undefined;
    /** Removed with the occurrences once the job has ended and no member can run any more. */
    spec: JobSpec | undefined;
    /** When the job was accepted, in ms since the Unix epoch. */
    readonly acceptedAt: number;
    state: JobState;
    /** When the job ended, in ms since the Unix epoch; `undefined` before that. */
    endedAt: number | undefined;
    readonly occurrences: ReadonlyMap<number, Occurrence>;
}

/** What a worker reports about itself. */
export interface WorkerReport {
    readonly id: WorkerId;
    /** `undefined` if the worker does not report it; such a worker gets a new id when it restarts. */
    readonly incarnation: Incarnation | undefined;
    readonly address: string;
    readonly pool: PoolName;
    readonly zone: string;
    /** The current capacity, which may shrink and grow. */
    readonly capacity: Resources;
    readonly labels: readonly string[];
    /** The instance that the worker is an incarnation of; empty if not reported. */
    readonly instance: string;
    /** Whether the worker announced its shutdown and accepts no new tasks. */
    readonly isDraining: boolean;
}

/** The replicated state of a worker. */
export interface WorkerRecord extends WorkerReport {
    /** The largest capacity reported so far, for each resource. */
    readonly fullCapacity: Resources;
}

const JOB_ID_PATTERN = /^[0-9a-f]{16}$/;

/**
 * Returns whether a text is a valid job id.
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

/**
 * Parses a task's name.
 *
 * @param name The name.
 * @returns The task, or `undefined` if the text is no task's name.
 */
export function parseTaskName(name: string): TaskRef | undefined {
    const [job = "", ...rest] = name.split(".");
    const [occurrence = -1, step = -1, index = -1, ...others] = rest.map(Number);
    const isComplete = [occurrence, step, index].every((n) => Number.isSafeInteger(n) && n >= 0);
    return isJobId(job) && isComplete && others.length === 0
        ? { job, occurrence, step, index }
        : undefined;
}
