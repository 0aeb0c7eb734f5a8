/**
 * The facts that the control plane's log holds about jobs, workers and the configuration. Each
 * says what was decided or learned; replicas that apply the same facts hold the same state.
 *
 * @example
 * ```ts
 * import type { Fact } from "./facts.ts";
 * const fact: Fact = { type: "jobCancelled", job };
 * ```
 *
 * @module
 */

import type { Configuration, PoolName, QueueName } from "../configuration/mod.ts";
import type { CrashedAttempt } from "./crash_history.ts";
import type { MemberOutcome, JobId, JobSpec, UnitRef, WorkerId, WorkerReport } from "./types.ts";

/** One fact. */
export type Fact =
    | {
          readonly type: "jobAccepted";
          readonly job: JobId;
          readonly queue: QueueName;
          readonly pool: PoolName;
          readonly spec: JobSpec;
      }
    | { readonly type: "jobCancelled"; readonly job: JobId }
    /** A unit failed as often as its queue allows, or crashes its workers. */
    | { readonly type: "jobFailed"; readonly job: JobId }
    /** Recorded before any order goes out: a later leader knows each attempt that may run. */
    | {
          readonly type: "attemptStarted";
          readonly unit: UnitRef;
          readonly attempt: number;
          /** Task index and worker of each member. */
          readonly members: readonly (readonly [number, WorkerId])[];
      }
    /** Recorded before the worker is told that it may forget the end. */
    | {
          readonly type: "memberEnded";
          readonly unit: UnitRef;
          readonly attempt: number;
          readonly index: number;
          readonly how: MemberOutcome;
          readonly checkpoint: string;
      }
    | { readonly type: "workerSeen"; readonly worker: WorkerReport }
    /** What workers' clocks showed when they last told their room: a later leader knows by it how old that is. */
    | {
          readonly type: "workersHeard";
          readonly reports: readonly (readonly [WorkerId, number])[];
      }
    /** Recorded with the worker's end, before any other attempt of these units starts. */
    | {
          readonly type: "workerCrashed";
          readonly worker: WorkerId;
          readonly under: readonly CrashedAttempt[];
      }
    /** A worker's lease ran out under these attempts: it may have crashed, or be cut off. */
    | {
          readonly type: "workerLapsed";
          readonly worker: WorkerId;
          readonly under: readonly CrashedAttempt[];
      }
    /** It was cut off, or slow. */
    | { readonly type: "workerAnswered"; readonly worker: WorkerId }
    | { readonly type: "workerGone"; readonly worker: WorkerId }
    | { readonly type: "configurationSet"; readonly configuration: Configuration }
    /** Jobs that ended before `before` may be forgotten. */
    | { readonly type: "jobsForgotten"; readonly before: number };

/** Facts that are applied together, with the time that the leader gave them. */
export interface FactBatch {
    /** Ms since 1970 by the leaders' common clock, which never goes back. */
    readonly at: number;
    readonly facts: readonly Fact[];
}
