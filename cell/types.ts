/**
 * The cell's typed records and messages: what callers ask for, what the cell answers, what it
 * tells workers, and the inputs that its durable journal keeps.
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

/** What the stand-in worker is told to do with a task; opaque to the scheduler. */
export interface WorkloadSpec {
    /** True run time in ms; 0 runs until stopped (a long-running service). */
    readonly runMs: number;
    /** Real use as a share of the declared demand (1 = as declared). */
    readonly usageFactor: number;
    /** The task fails at the end instead of completing. */
    readonly fail: boolean;
}

/** What the caller of a request that another zone's group handed over begins with. */
export const HANDED_OVER_CALLER_PREFIX = "@";
/** In the time line of such a request: the first group's id of it follows. */
export const HANDED_OVER_DETAIL_PREFIX = "handed over as ";

/** A caller's request. */
export interface RequestSpec {
    /** The caller (a merchandiser's tool, a chapel console). */
    readonly caller: string;
    /** The caller's idempotency key: a resend with the same key is the same request. */
    readonly key: string;
    readonly kind: string;
    readonly service: ServiceId;
    readonly customer: CustomerId;
    /** One task's demand. */
    readonly demand: Resources;
    /** Tasks: gang size, or replicas of a service; 1 otherwise. */
    readonly count: number;
    /** Run time as the caller declares it, in ms (often far off). */
    readonly declaredRunMs: number;
    /** Give up when not started within this many ms; 0 waits for ever. */
    readonly maxWaitMs: number;
    readonly work: WorkloadSpec;
}

/** One line of a request's time line. */
export interface RequestEvent {
    /** Time in ms since the epoch. */
    readonly at: number;
    readonly event: string;
    readonly detail: string;
}

/** The state of one task of a request. */
export type TaskState = "waiting" | "offered" | "running" | "ended";

/** One task of a request. */
export interface TaskRecord {
    readonly id: TaskId;
    state: TaskState;
    lease: LeaseId | undefined;
    /** How its last lease ended. */
    outcome: TaskOutcome | undefined;
}

/** How a lease ended, for the task that ran under it. */
export type TaskOutcome = "completed" | "failed" | "stopped" | "lost" | "declined";

/** A request in the care of another zone's group. */
export interface HandOver {
    /** The group. */
    readonly to: string;
    /** Its idempotency key there: the same after every resend, another at the next hand-over. */
    readonly key: string;
    /** The caller withdrew it. */
    readonly isCancelled: boolean;
}

/** A request in the cell. */
export interface RequestRecord {
    readonly id: RequestId;
    readonly seq: number;
    readonly spec: RequestSpec;
    /**
     * The kind was non-idempotent when the request was accepted, or became so since. A later
     * rules change cannot turn the promise to run it at most once into a retry.
     */
    atMostOnce: boolean;
    state: string;
    readonly acceptedAt: number;
    startedAt: number | undefined;
    endedAt: number | undefined;
    reason: string | undefined;
    /** Times it was leased (declined offers do not count). */
    attempts: number;
    /** When each task of the present attempt ran. */
    attemptStartedAt: number | undefined;
    /** A worker confirmed a start. */
    started: boolean;
    /** A lease was offered and not declined: the work may have begun. */
    mayHaveStarted: boolean;
    /** An earlier attempt ended in a way that does not rule out a run (not declined). */
    mayHaveRunBefore: boolean;
    /** Why its leases are being stopped, while they are. */
    stopping: "cancel" | "preempt" | "trouble" | undefined;
    /** The first task outcome other than completed, since the last grant. */
    trouble: TaskOutcome | undefined;
    troubleDetail: string;
    /** When it last entered the queue, in ms. */
    queuedAt: number;
    /** While another zone's group has it: which one, under what key. */
    handedTo: HandOver | undefined;
    /** How often it was handed over. */
    handOvers: number;
    /** The last reason it could not be placed, told once. */
    blockedBy: string | undefined;
    readonly tasks: TaskRecord[];
    readonly events: RequestEvent[];
}

/** A lease of one task to one worker. */
export interface LeaseRecord {
    readonly id: LeaseId;
    readonly task: TaskId;
    readonly request: RequestId;
    readonly worker: InstanceId;
    /** The worker process that the lease was made for; a restarted one never takes it. */
    readonly incarnation: string;
    /** Fencing token: above every earlier lease's epoch. */
    readonly epoch: number;
    state: string;
    readonly grantedAt: number;
    renewedAt: number;
    readonly declared: Resources;
    reported: Resources | undefined;
    /** What it counts against the worker: the larger of declared and reported. */
    held: Resources;
    /** A stop was sent. */
    stopSent: boolean;
}

/** What the cell answers about a request. */
export interface RequestStatus {
    readonly requestId: RequestId;
    readonly caller: string;
    readonly key: string;
    readonly kind: string;
    readonly state: string;
    readonly final: boolean;
    readonly reason: string | undefined;
    /** True only when a worker confirmed a start. */
    readonly started: boolean;
    /** False only when the cell knows that no worker ever began it. */
    readonly mayHaveRun: boolean;
    readonly attempts: number;
    readonly acceptedAt: number;
    readonly startedAt: number | undefined;
    readonly endedAt: number | undefined;
    /** For an answer that is not final: when asking again is worth it, in ms. */
    readonly retryAfterMs: number | undefined;
    readonly events: readonly RequestEvent[];
}

/** A lease as the worker receives it. */
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

/** A lease offer on the wire. */
export interface GrantMessage extends LeaseMessage {
    /**
     * The sending time, by the worker's own clock, of the newest heartbeat that the offer's
     * sender had heard. The worker refuses an offer whose heartbeat is older than the time to
     * live: a leader that was frozen since may have been replaced, and the task leased elsewhere.
     */
    readonly beatAt: number;
}

/** What the cell asks the process around it to do. */
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
    /** Another zone's group is to take (or withdraw) a request. */
    | { readonly type: "handOver"; readonly request: RequestId; readonly handOver: HandOver }
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

/** What a worker reports of a task; `declined`: stopped before it ever started. */
export type TaskReport = "started" | "completed" | "failed" | "stopped" | "declined";

/** Everything that changes the cell; the journal keeps these, and replay gives the same cell. */
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
    /** Heartbeats of a window, short: workers that hold just what the cell thinks they hold. */
    | { readonly type: "renew"; readonly at: number; readonly workers: readonly InstanceId[] }
    /** A new leader serves: it has heard no heartbeats yet, so every lease gets its full time. */
    | { readonly type: "takeover"; readonly at: number }
    /** A queued request goes to another zone's group. */
    | {
          readonly type: "handOver";
          readonly at: number;
          readonly request: RequestId;
          readonly to: string;
      }
    /** What the other group made of it in the end. */
    | {
          readonly type: "handOverResult";
          readonly at: number;
          readonly request: RequestId;
          readonly key: string;
          readonly answer: HandOverResult;
      }
    /** Rules decided by the configuration group. */
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

/** The end of a request in another zone's group. */
export type HandOverResult = Pick<
    RequestStatus,
    "requestId" | "state" | "started" | "mayHaveRun" | "startedAt" | "reason"
>;

/** Thrown when a caller reuses an idempotency key for a different request. */
export class KeyConflictError extends Error {
    /**
     * @param caller The caller.
     * @param key The reused key.
     * @param existing The request that holds the key.
     */
    constructor(caller: string, key: string, existing: RequestId) {
        super(
            `key "${key}" of caller "${caller}" already names request ${existing} with other contents`,
        );
        this.name = "KeyConflictError";
    }
}
