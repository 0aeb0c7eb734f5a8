/**
 * Calls between the control plane's processes and what they call outside: typed, with the words
 * of the product.
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
    LookAnswer,
    LookOrder,
    OrderAnswer,
    PaceOrder,
    StartOrder,
    StopOrder,
} from "../dispatch/mod.ts";
import type { JobSpec, JobState, Resources, WorkerId } from "../job/mod.ts";

/** Methods that control instances and fronts serve to each other. */
export const METHODS = {
    callers: "control.callers",
    heartbeat: "control.heartbeat",
    keepAlives: "control.signs",
    readState: "control.readState",
    leave: "control.leave",
    configure: "control.configure",
    readConfiguration: "control.readConfiguration",
    hello: "control.hello",
    advise: "front.advise",
    relay: "front.relay",
    reach: "front.reach",
} as const;

/** A caller's call, addressed by host and path; the leader finds the queue. */
export type CallerCall =
    | {
          readonly type: "submit";
          readonly host: string;
          readonly path: string;
          /** `undefined` when the body could not be read; then `problem` says why. */
          readonly spec: JobSpec | undefined;
          readonly problem: string;
      }
    | { readonly type: "state"; readonly host: string; readonly path: string }
    | { readonly type: "cancel"; readonly host: string; readonly path: string };

/** The leader's answer to a caller. */
export type CallerAnswer =
    | { readonly type: "accepted" }
    | { readonly type: "state"; readonly state: JobState }
    | { readonly type: "pending"; readonly count: number }
    | { readonly type: "cancelled" }
    | { readonly type: "unknownJob" }
    | { readonly type: "unknownQueue" }
    | { readonly type: "invalid"; readonly problem: string }
    /** Not accepted; it never runs because of this call. */
    | { readonly type: "refused"; readonly reason: string; readonly retryAfterMs: number };

/** A worker's heartbeat. */
export type HeartbeatCall = Heartbeat;

/** Heartbeats that say nothing new, gathered by a member for the leader. */
export interface KeepAliveBatchCall {
    readonly signs: readonly KeepAlive[];
}

/** One heartbeat that says nothing but that the worker lives. */
export interface KeepAlive {
    readonly worker: WorkerId;
    readonly sequence: number;
    readonly clockMs: number | undefined;
    /** The room that it told. */
    readonly capacity: Resources;
}

/** What an instance tells the leader about itself. */
export interface HelloCall {
    /** Where its RPC server listens. */
    readonly address: string;
    readonly zone: string;
    readonly kind: "control" | "front";
    /** Where workers and operators reach it; empty for a front. */
    readonly publicAddress: string;
    /** A front asks for other fronts' addresses. */
    readonly wantsPeers?: boolean;
}

/** What the leader tells in return. */
export interface HelloAnswer {
    readonly leader: string;
    /** RPC addresses of the control instances that are up or vote. */
    readonly members: readonly string[];
    /** Where workers and operators reach the leader. */
    readonly publicAddress: string;
    readonly limits: CallerLimits | undefined;
    /** Members that answer for the states of jobs; empty while the leader does it alone. */
    readonly readers: readonly string[];
    /** Some fronts of each zone, where they were asked for. */
    readonly peers?: readonly PeerFront[];
}

/** A front, as other fronts know it. */
export interface PeerFront {
    /** Where its RPC server listens. */
    readonly address: string;
    readonly zone: string;
}

/** A caller's call that a front carries to the leader for one that hears none. */
export interface RelayCall {
    readonly call: CallerCall;
    /** How long the caller still waits, in ms. */
    readonly budgetMs: number;
}

/** Whether a front hears the leader. */
export interface ReachabilityAnswer {
    readonly hearsLeader: boolean;
    /** The leader's RPC address, as it gave it. */
    readonly leader?: string;
}

/** The limits in force for callers. */
export interface CallerLimits {
    readonly maxBodyBytes: number;
    readonly idleTimeoutMs: number;
}

/** An advice call that the leader asks a front to make. */
export interface AdviseCall {
    readonly step: string;
    readonly workers: readonly WorkerId[];
    /** How long the call may take, in ms. */
    readonly timeoutMs: number;
}

/** The outcome of an advice call. */
export interface AdviseAnswer {
    /** `undefined` when the service gave no answer. */
    readonly admissions: readonly Admission[] | undefined;
}

/** Orders to workers. No method throws: what went wrong is part of the answer. */
export interface WorkerCalls {
    readonly start: (order: StartOrder, timeoutMs: number) => Promise<OrderAnswer>;
    readonly stop: (order: StopOrder, timeoutMs: number) => Promise<OrderAnswer>;
    readonly pace: (order: PaceOrder, timeoutMs: number) => Promise<OrderAnswer>;
    readonly poll: (order: LookOrder) => Promise<LookAnswer>;
}

/** Calls to the advice service. */
export interface AdviceCalls {
    readonly advise: (call: AdviseCall) => Promise<readonly Admission[] | undefined>;
}
