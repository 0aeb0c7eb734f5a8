/**
 * Types of the cell's records, of its inputs and effects, and of the messages to callers and
 * workers.
 *
 * @example
 * ```ts
 * import type { RequestSpec } from "./types.ts";
 * const spec: RequestSpec = { caller: "console-1", key: "k1", kind: "preview", ... };
 * ```
 *
 * @module
 */

import type {
    CustomerId,
    InstanceId,
    LeaseId,
    RequestId,
    Resources,
    ServiceId,
    TaskId,
} from "../inventory/mod.ts";
import type { RulesChange } from "../rules/mod.ts";
import type { RulesFile } from "../rules/rules_file.ts";

/** How a simulated worker runs a task; opaque to the scheduler. */
export interface WorkloadSpec {
    /** Actual run time in ms; 0 runs until stopped (a long-running service). */
    readonly runMs: number;
    /** Actual usage as a fraction of the declared demand (1 = as declared). */
    readonly usageFactor: number;
    /** Whether the task fails at its end instead of completing. */
    readonly fail: boolean;
}

/** Prefix of the caller in a request that another zone's group handed over. */
export const HANDED_OVER_CALLER_PREFIX = "@";
/**
 * Prefix, in such a request's event history, of its hand-over key, which contains its id in the
 * first group. The audit of the merged logs matches this text.
 */
export const HANDED_OVER_DETAIL_PREFIX = "handed over as ";

/** A request as its caller submits it. */
export interface RequestSpec {
    /** The calling application or user. */
    readonly caller: string;
    /** The caller's idempotency key: requests with the same key are the same request. */
    readonly key: string;
    readonly kind: string;
    readonly service: ServiceId;
    readonly customer: CustomerId;
    /** The resources of one task. */
    readonly demand: Resources;
    /** Number of tasks: the size of a gang or the replicas of a service; 1 otherwise. */
    readonly count: number;
    /** The caller's estimate of the run time, in ms; often inaccurate. */
    readonly declaredRunMs: number;
    /** Maximum wait for the first start, in ms; 0 waits without a limit. */
    readonly maxWaitMs: number;
    readonly work: WorkloadSpec;
}

/** An entry of a request's event history. */
export interface RequestEvent {
    /** Time in ms since the Unix epoch. */
    readonly at: number;
    readonly event: string;
    readonly detail: string;
}

/** The state of one task of a request. */
export type TaskState = "waiting" | "offered" | "running" | "ended";

/** A task of a request. */
export interface TaskRecord {
    readonly id: TaskId;
    state: TaskState;
    lease: LeaseId | undefined;
    /** The outcome of its last lease. */
    outcome: TaskOutcome | undefined;
}

/** The outcome of a task's lease. */
export type TaskOutcome = "completed" | "failed" | "stopped" | "lost" | "declined";

/** A request that another zone's group handles. */
export interface HandOver {
    /** The group that handles it. */
    readonly to: string;
    /** Its idempotency key in that group: constant across resends, new for each hand-over. */
    readonly key: string;
    /** Whether the caller cancelled it. */
    readonly isCancelled: boolean;
}

/** A request and its state in the cell. Times are in ms since the Unix epoch. */
export interface RequestRecord {
    readonly id: RequestId;
    readonly seq: number;
    readonly spec: RequestSpec;
    /**
     * Whether the kind was non-idempotent at acceptance or became so later. A later rules change
     * does not make such a request retryable.
     */
    atMostOnce: boolean;
    state: string;
    readonly acceptedAt: number;
    startedAt: number | undefined;
    endedAt: number | undefined;
    reason: string | undefined;
    /** Number of attempts, without those whose offers were declined. */
    attempts: number;
    /** The time at which all tasks of the current attempt were running, in ms. */
    attemptStartedAt: number | undefined;
    /** Whether a worker confirmed a start. */
    started: boolean;
    /** Whether a lease was offered and not declined, so that the work may have started. */
    mayHaveStarted: boolean;
    /** Whether an earlier attempt may have run, since its offers were not all declined. */
    mayHaveRunBefore: boolean;
    /** The reason why its leases are being stopped, if they are. */
    stopping: "cancel" | "preempt" | "trouble" | undefined;
    /** The first task outcome other than completed since the last grant. */
    trouble: TaskOutcome | undefined;
    troubleDetail: string;
    /** The time at which it last entered the queue, in ms. */
    queuedAt: number;
    /** The group that currently handles it, if it was handed over. */
    handedTo: HandOver | undefined;
    /** How often it was handed over. */
    handOvers: number;
    /** The last recorded reason why it could not be placed; repeats are not recorded. */
    blockedBy: string | undefined;
    readonly tasks: TaskRecord[];
    readonly events: RequestEvent[];
}

/** A lease that assigns one task to one worker. Times are in ms since the Unix epoch. */
export interface LeaseRecord {
    readonly id: LeaseId;
    readonly task: TaskId;
    readonly request: RequestId;
    readonly worker: InstanceId;
    /** The worker process that the lease was granted to; a restarted process must not accept it. */
    readonly incarnation: string;
    /** Fencing token: greater than the epoch of every earlier lease. */
    readonly epoch: number;
    state: string;
    readonly grantedAt: number;
    renewedAt: number;
    readonly declared: Resources;
    reported: Resources | undefined;
    /** The resources it reserves on the worker: the larger of declared and reported. */
    held: Resources;
    /** Whether a stop was sent. */
    stopSent: boolean;
}

/** The status of a request as its caller sees it. Times are in ms since the Unix epoch. */
export interface RequestStatus {
    readonly requestId: RequestId;
    readonly caller: string;
    readonly key: string;
    readonly kind: string;
    readonly state: string;
    readonly final: boolean;
    readonly reason: string | undefined;
    /** Whether a worker confirmed a start. */
    readonly started: boolean;
    /** False only when it is certain that no worker started the request. */
    readonly mayHaveRun: boolean;
    readonly attempts: number;
    readonly acceptedAt: number;
    readonly startedAt: number | undefined;
    readonly endedAt: number | undefined;
    /** Suggested delay before the next poll, in ms; set while the status is not final. */
    readonly retryAfterMs: number | undefined;
    readonly events: readonly RequestEvent[];
}

/** A lease as it is sent to a worker. */
export interface LeaseMessage {
    readonly lease: LeaseId;
    readonly task: TaskId;
    readonly request: RequestId;
    readonly instance: InstanceId;
    readonly incarnation: string;
    readonly epoch: number;
    readonly demand: Resources;
    readonly ttlMs: number;
    readonly work: WorkloadSpec;
}

/** A lease offer as it is sent to a worker. */
export interface GrantMessage extends LeaseMessage {
    /**
     * The sending time, by the worker's clock, of the newest heartbeat that the sender of the offer
     * had received. The worker declines an offer whose heartbeat is older than the time to live:
     * the sender may have been paused and replaced as leader, and the task leased to another
     * worker.
     */
    readonly beatAt: number;
}

/** An action that the surrounding process performs for the cell. */
export type Effect =
    | { readonly type: "grant"; readonly address: string; readonly lease: LeaseMessage }
    | {
          readonly type: "stop";
          readonly address: string;
          readonly instance: InstanceId;
          readonly incarnation: string;
          readonly lease: LeaseId;
          readonly epoch: number;
          readonly mode: "stop" | "checkpoint";
      }
    /** Another zone's group receives or cancels a request. */
    | { readonly type: "handOver"; readonly request: RequestId; readonly handOver: HandOver }
    /** An event was appended to a request's history. */
    | { readonly type: "fate"; readonly request: RequestId; readonly event: RequestEvent }
    | {
          readonly type: "started";
          readonly request: RequestId;
          readonly className: string;
          readonly waitMs: number;
      }
    | { readonly type: "final"; readonly request: RequestId; readonly state: string };

/** A lease as a worker lists it in a heartbeat. */
export interface HeldLease {
    readonly lease: LeaseId;
    readonly epoch: number;
    readonly usage: Resources | undefined;
}

/** A worker's report on a task; `declined` means that it was stopped before it started. */
export type TaskReport = "started" | "completed" | "failed" | "stopped" | "declined";

/**
 * An input that changes the cell; inputs are logged, and replaying them gives the same state. `at`
 * is the leader's time in ms since the Unix epoch.
 */
export type CellInput =
    | { readonly type: "submit"; readonly at: number; readonly spec: RequestSpec }
    | { readonly type: "cancel"; readonly at: number; readonly request: RequestId }
    | { readonly type: "tick"; readonly at: number }
    | {
          readonly type: "announce";
          readonly at: number;
          readonly instance: InstanceId;
          readonly address: string;
          readonly incarnation: string;
      }
    | { readonly type: "leave"; readonly at: number; readonly instance: InstanceId }
    | { readonly type: "drain"; readonly at: number; readonly instance: InstanceId }
    | { readonly type: "undrain"; readonly at: number; readonly instance: InstanceId }
    /** A batch of heartbeats from workers that hold exactly the leases that the cell expects. */
    | { readonly type: "renew"; readonly at: number; readonly workers: readonly InstanceId[] }
    /** A new leader took over; timeouts restart, since it has received no heartbeats yet. */
    | { readonly type: "takeover"; readonly at: number }
    /** A queued request is handed over to another zone's group. */
    | {
          readonly type: "handOver";
          readonly at: number;
          readonly request: RequestId;
          readonly to: string;
      }
    /** The other group reported the request's final state. */
    | {
          readonly type: "handOverResult";
          readonly at: number;
          readonly request: RequestId;
          readonly key: string;
          readonly answer: HandOverResult;
      }
    /** New rules from the configuration group. */
    | { readonly type: "adoptRules"; readonly at: number; readonly rules: RulesFile }
    | {
          readonly type: "heartbeat";
          readonly at: number;
          readonly instance: InstanceId;
          readonly leases: readonly HeldLease[];
      }
    | {
          readonly type: "grantReply";
          readonly at: number;
          readonly lease: LeaseId;
          readonly accepted: boolean;
          readonly reason: string;
      }
    | {
          readonly type: "report";
          readonly at: number;
          readonly lease: LeaseId;
          readonly epoch: number;
          readonly report: TaskReport;
          readonly detail: string;
      }
    | { readonly type: "setRules"; readonly at: number; readonly change: RulesChange };

/** The final state of a request in another zone's group. */
export type HandOverResult = Pick<
    RequestStatus,
    "requestId" | "state" | "started" | "mayHaveRun" | "startedAt" | "reason"
>;

/** Thrown when a caller reuses an idempotency key for a different request. */
export class KeyConflictError extends Error {
    /**
     * @param caller The caller.
     * @param key The reused key.
     * @param existing The id of the request that has the key.
     */
    constructor(caller: string, key: string, existing: RequestId) {
        super(
            `key "${key}" of caller "${caller}" already names request ${existing} with other contents`,
        );
        this.name = "KeyConflictError";
    }
}
