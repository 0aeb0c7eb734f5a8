/**
 * The state changes that the control plane replicates in its log. Replicas that apply the same
 * facts in the same order hold the same state.
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
import type { WorkspaceName } from "../workspace/types.ts";
import type {
    CrashedAttempt,
    MemberOutcome,
    JobId,
    JobSpec,
    UnitRef,
    WorkerId,
    WorkerReport,
} from "./types.ts";

/** One replicated state change of jobs, workers or the configuration. */
export type Fact =
    | {
          readonly type: "jobAccepted";
          readonly job: JobId;
          readonly queue: QueueName;
          readonly pool: PoolName;
          readonly workspace?: WorkspaceName | undefined;
          readonly spec: JobSpec;
      }
    | { readonly type: "jobCancelled"; readonly job: JobId }
    /** An id that no job had was cancelled. Earlier releases ignore this fact. */
    | {
          readonly type: "tombstoneAdded";
          readonly job: JobId;
          readonly queue: QueueName;
          readonly workspace?: WorkspaceName | undefined;
      }
    /** A unit reached its queue's limit of failures, or repeatedly crashed its workers. */
    | { readonly type: "jobFailed"; readonly job: JobId }
    /** Committed before any start order is sent, so that a new leader knows every attempt. */
    | {
          readonly type: "attemptStarted";
          readonly unit: UnitRef;
          readonly attempt: number;
          /** The task index and the worker of each member. */
          readonly members: readonly (readonly [number, WorkerId])[];
      }
    /** Committed before the worker's report of this end is acknowledged. */
    | {
          readonly type: "memberEnded";
          readonly unit: UnitRef;
          readonly attempt: number;
          readonly index: number;
          readonly how: MemberOutcome;
          readonly checkpoint: string;
      }
    | { readonly type: "workerSeen"; readonly worker: WorkerReport }
    /**
     * The workers' own clocks, in ms, at their last capacity reports; a new leader derives the age
     * of the reports from them.
     */
    | {
          readonly type: "workersHeard";
          readonly reports: readonly (readonly [WorkerId, number])[];
      }
    /** Committed with the worker's removal, before these units are started again. */
    | {
          readonly type: "workerCrashed";
          readonly worker: WorkerId;
          readonly under: readonly CrashedAttempt[];
      }
    /** A worker's lease expired during these attempts: it crashed or is unreachable. */
    | {
          readonly type: "workerLapsed";
          readonly worker: WorkerId;
          readonly under: readonly CrashedAttempt[];
      }
    /** A worker whose lease had expired answered: it was unreachable or slow, not crashed. */
    | { readonly type: "workerAnswered"; readonly worker: WorkerId }
    | { readonly type: "workerGone"; readonly worker: WorkerId }
    | { readonly type: "configurationSet"; readonly configuration: Configuration }
    /** Ended jobs and tombstones from before `before`, in ms since the Unix epoch, are removed. */
    | { readonly type: "jobsForgotten"; readonly before: number };

/** Facts that are applied together, with the leader's timestamp. */
export interface FactBatch {
    /** Timestamp in ms since the Unix epoch; never decreases, also across leaders. */
    readonly at: number;
    readonly facts: readonly Fact[];
}
