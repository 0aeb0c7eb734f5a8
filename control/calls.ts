/**
 * Types of the calls between control instances, fronts, workers and the advice service.
 *
 * @example
 * ```ts
 * import type { CallerCall } from "./calls.ts";
 * const call: CallerCall = { type: "state", host: "previews.example", path: "/p/5c0e7a21d94b36f8" };
 * ```
 *
 * @module
 */

import type {
    Admission,
    Heartbeat,
    KeepAlive,
    PollAnswer,
    PollOrder,
    OrderAnswer,
    PaceOrder,
    StartOrder,
    StopOrder,
} from "../dispatch/mod.ts";
import type { Incarnation, JobSpec, JobState, WorkerId } from "../job/mod.ts";

/** JSON-RPC methods that control instances and fronts serve. */
export const METHODS = {
    callers: "control.callers",
    heartbeat: "control.heartbeat",
    keepAlives: "control.signs",
    readState: "control.readState",
    leave: "control.leave",
    configure: "control.configure",
    readConfiguration: "control.readConfiguration",
    hello: "control.hello",
    announceLeader: "control.announceLeader",
    advise: "front.advise",
    relay: "front.relay",
    reach: "front.reach",
} as const;

/** Where a caller's request goes, and on whose behalf. */
interface CallTarget {
    readonly host: string;
    readonly path: string;
    /**
     * The caller's API key; empty if the call has none. Absent in calls that fronts of earlier
     * releases forward.
     */
    readonly apiKey?: string;
}

/** A caller's request. The leader selects the queue from the host and the path. */
export type CallerCall =
    | (CallTarget & {
          readonly type: "submit";
          /** `undefined` if the body was invalid; `problem` then holds the reason. */
          readonly spec: JobSpec | undefined;
          readonly problem: string;
      })
    | (CallTarget & { readonly type: "state" })
    | (CallTarget & { readonly type: "cancel" });

/** The leader's answer to a caller. */
export type CallerAnswer =
    | { readonly type: "accepted" }
    | { readonly type: "state"; readonly state: JobState }
    | { readonly type: "pending"; readonly count: number }
    | { readonly type: "cancelled" }
    | { readonly type: "unknownJob" }
    | { readonly type: "unknownQueue" }
    /** No workspace holds the key of the call. */
    | { readonly type: "unauthenticated" }
    /** Another workspace has submitted a job under this id, or the id was cancelled before. */
    | {
          readonly type: "conflict";
          /**
           * Whether the id was cancelled before this submission arrived; processes of earlier
           * releases ignore it.
           */
          readonly isCancelled?: boolean;
      }
    | { readonly type: "invalid"; readonly problem: string }
    /** The job was not admitted and does not run as a result of this call. */
    | {
          readonly type: "refused";
          readonly reason: string;
          readonly retryAfterMs: number;
          /**
           * Whether the caller's workspace is beyond its share (429 rather than 503); processes of
           * earlier releases ignore it.
           */
          readonly isOverShare?: boolean;
      };

/** A worker's heartbeat. */
export type HeartbeatCall = Heartbeat;

/** A batch of keep-alives that a control instance forwards to the leader. */
export interface KeepAliveBatchCall {
    readonly signs: readonly KeepAlive[];
}

/** A worker's notice that it has left. */
export interface LeaveCall {
    readonly worker: WorkerId;
    /** The incarnation that left, if the notice names it. */
    readonly incarnation?: Incarnation | undefined;
}

/** A hello message: an instance announces itself to the leader. */
export interface HelloCall {
    /** The address of its RPC server, `host:port`. */
    readonly address: string;
    readonly zone: string;
    readonly kind: "control" | "front";
    /** The address for workers and operators; empty for a front. */
    readonly publicAddress: string;
    /** Set by a front that requests the addresses of other fronts. */
    readonly wantsPeers?: boolean;
}

/** The leader's answer to a hello message. */
export interface HelloAnswer {
    readonly leader: string;
    /** RPC addresses of the control instances that are live or are voters. */
    readonly members: readonly string[];
    /** The leader's address for workers and operators. */
    readonly publicAddress: string;
    readonly limits: CallerLimits | undefined;
    /** Instances that serve reads of job states; empty if only the leader does. */
    readonly readers: readonly string[];
    /** Some fronts of each availability zone, if the front requested them. */
    readonly peers?: readonly PeerFront[];
}

/** A front that can relay calls for other fronts. */
export interface PeerFront {
    /** The address of its RPC server, `host:port`. */
    readonly address: string;
    readonly zone: string;
}

/** A caller's request that a front relays to the leader for a front that can't reach it. */
export interface RelayCall {
    readonly call: CallerCall;
    /** The remaining time until the caller's deadline, in ms. */
    readonly budgetMs: number;
}

/** A front's answer to a probe: whether it reaches the leader. */
export interface ReachabilityAnswer {
    readonly hearsLeader: boolean;
    /** The leader's RPC address from its last hello answer. */
    readonly leader?: string;
}

/**
 * A leader's announcement to an instance in its settings that has sent it no hello message. It is a
 * hint whom to ask, and no proof of the lead.
 */
export interface LeaderAnnouncement {
    /** The RPC address of the leader, `host:port`. */
    readonly leader: string;
    readonly term: number;
}

/** Limits that fronts enforce on callers' requests. */
export interface CallerLimits {
    readonly maxBodyBytes: number;
    readonly idleTimeoutMs: number;
}

/** A call to the advice service that the leader delegates to a front. */
export interface AdviseCall {
    readonly step: string;
    readonly workers: readonly WorkerId[];
    /** The timeout of the call, in ms. */
    readonly timeoutMs: number;
}

/** The result of a call to the advice service. */
export interface AdviseAnswer {
    /** `undefined` if the service did not respond. */
    readonly admissions: readonly Admission[] | undefined;
}

/** Sends orders to workers. Methods don't throw; a failure is part of the answer. */
export interface WorkerCalls {
    readonly start: (order: StartOrder, timeoutMs: number) => Promise<OrderAnswer>;
    readonly stop: (order: StopOrder, timeoutMs: number) => Promise<OrderAnswer>;
    readonly pace: (order: PaceOrder, timeoutMs: number) => Promise<OrderAnswer>;
    readonly poll: (order: PollOrder) => Promise<PollAnswer>;
}

/** Calls the advice service. */
export interface AdviceCalls {
    readonly advise: (call: AdviseCall) => Promise<readonly Admission[] | undefined>;
}
