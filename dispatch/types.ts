/**
 * What the dispatcher knows of work under way, and what it asks its process to do.
 *
 * @example
 * ```ts
 * import type { Effect } from "./types.ts";
 * const effect: Effect = { type: "watch", worker };
 * ```
 *
 * @module
 */

import type { AdvicePolicy, QueueName } from "../configuration/mod.ts";
import type { Brand } from "../inventory/mod.ts";
import type {
    MemberOutcome,
    Fact,
    Resources,
    TaskName,
    UnitRef,
    WorkerId,
    WorkerReport,
} from "../job/mod.ts";

/** One occurrence's step, `JOB.OCCURRENCE.STEP`. */
export type StepKey = Brand<string, "StepKey">;
/** A front instance that can call the advice service. */
export type LaneId = Brand<string, "LaneId">;

/** Clocks, given by the process so that tests set them. */
export interface DispatchClock {
    /** A clock that never goes back, in ms. */
    readonly getNow: () => number;
    /** Ms since 1970; never goes back between leaders. */
    readonly getWallTime: () => number;
}

/**
 * Where a member stands. `planned`: its fact is not committed yet, no order was sent. `ordered`:
 * an order was sent and not answered. `running`: the worker confirmed it. `stopping`: it was told
 * to stop.
 */
export type MemberState = "planned" | "ordered" | "running" | "stopping";

/** One task of an attempt under way. */
export interface MemberRun {
    readonly unit: UnitRef;
    readonly index: number;
    readonly name: TaskName;
    readonly attempt: number;
    readonly worker: WorkerId;
    /** What it holds of the worker until its end is known. */
    readonly reserved: Resources;
    readonly priority: number;
    state: MemberState;
    /** Times that the start was sent. */
    startSends: number;
    /** The fence of the newest start order; 0 for one that an earlier leader may have sent. */
    fence: number;
    /**
     * From this time on every answer to a look at the worker lists the member if it runs there
     * or ran there; `undefined` while an order may still be on its way.
     */
    startResolvedAt: number | undefined;
    startedAt: number;
    /** How long it had run when its worker last listed it, in ms; 0 before. */
    observedRunMs: number;
    /** For how long it keeps other starts off its worker, in ms; 0 unless it is under suspicion of crashing it. */
    readonly isolationMs: number;
    /** Share of its work done, in percent, as the worker reports it. */
    progressPercent: number;
    /** When {@link MemberRun.progressPercent} was last reported. */
    progressAt: number;
    /** The caller's estimate of its duration, in ms. */
    readonly estimateMs: number;
    /** It can be stopped and resumes elsewhere from its checkpoint. */
    readonly isMovable: boolean;
    /** It runs until it is stopped: its percent is no progress. */
    readonly isPerpetual: boolean;
    /** It takes only processors that the others leave. */
    readonly isFiller: boolean;
    /** The response time that its own users are promised, in ms; 0 for none. */
    readonly targetMs: number;
    /** What it reported last: its tail in ms if it serves, else processors in use. */
    load: number;
    /** The share at which it was told to work; `undefined` when it was never told. */
    pacePercent: number | undefined;
    stopSentAt: number;
    readonly ticket: string | undefined;
}

/** A start order, ready to send. */
export interface StartOrder {
    readonly worker: WorkerId;
    readonly address: string;
    readonly task: TaskName;
    readonly attempt: number;
    readonly payload: string;
    /** The lease's end on the worker's clock, in ms. */
    readonly untilMs: number;
    readonly fence: number;
    readonly checkpoint: string;
    readonly ticket: string | undefined;
}

/** A stop order, ready to send. */
export interface StopOrder {
    readonly worker: WorkerId;
    readonly address: string;
    readonly task: TaskName;
    readonly attempt: number;
    readonly fence: number;
}

/** An order to work at a share of the full speed, ready to send. */
export interface PaceOrder extends StopOrder {
    readonly percent: number;
}

/** A lease renewal that also asks what runs and what ended. */
export interface PollOrder {
    readonly worker: WorkerId;
    readonly address: string;
    readonly fence: number;
    /** Ends up to this number are recorded durably; the worker may forget them. */
    readonly cursor: number;
    /** The lease's end on the worker's clock; `undefined` while that clock is unknown. */
    readonly untilMs: number | undefined;
    /** How long the worker may hold the answer back until something ends, in ms. */
    readonly waitMs: number;
}

/** How a worker answered a start or a stop. */
export type OrderAnswer =
    | { readonly type: "accepted"; readonly clockMs: number | undefined }
    /** The worker did nothing and says why. */
    | {
          readonly type: "refused";
          readonly reason: RefusalReason;
          readonly clockMs: number | undefined;
      }
    /** Another incarnation answered: this one is gone. */
    | { readonly type: "gone" }
    /** No connection could be opened: it was not sent. */
    | { readonly type: "undelivered"; readonly cause: string }
    /** No answer: it may have been carried out, or may be later. */
    | { readonly type: "unanswered"; readonly cause: string };

/** Why a worker refused an order. */
export type RefusalReason =
    "fence" | "superseded" | "lease_over" | "no_room" | "ticket" | "unhealthy" | "invalid";

/** One task that a worker reports as running. */
export interface RunningReport {
    readonly task: string;
    readonly attempt: number;
    readonly checkpoint: string;
    readonly percent: number;
    /** Processor use in thousandths of a core, or a serving task's tail in ms. */
    readonly load: number;
}

/** One end that a worker reports. */
export interface EndReport {
    /** Rises by one with each end of the worker. */
    readonly number: number;
    readonly task: string;
    readonly attempt: number;
    readonly how: MemberOutcome;
    readonly checkpoint: string;
}

/** How a worker answered a look. */
export type PollAnswer =
    | {
          readonly type: "state";
          readonly clockMs: number;
          readonly running: readonly RunningReport[];
          readonly ended: readonly EndReport[];
      }
    | { readonly type: "refused"; readonly reason: RefusalReason }
    | { readonly type: "gone" }
    | { readonly type: "undelivered"; readonly cause: string }
    | { readonly type: "unanswered"; readonly cause: string };

/** A call to the advice service. */
export interface AdviceCall {
    readonly id: number;
    readonly step: StepKey;
    readonly queue: QueueName;
    readonly policy: AdvicePolicy;
    readonly workers: readonly WorkerId[];
    /** Smaller goes first within its queue. */
    readonly rank: number;
}

/** A worker admitted to a step. */
export interface Admission {
    readonly worker: WorkerId;
    readonly ticket: string;
}

/** What the process does once the facts that came with it are committed. */
export type Effect =
    | { readonly type: "start"; readonly member: MemberRun }
    | { readonly type: "stop"; readonly member: MemberRun }
    | { readonly type: "pace"; readonly member: MemberRun }
    /** Keep looking at the worker while it has work. */
    | { readonly type: "watch"; readonly worker: WorkerId }
    /** Look at the worker at once, beside a look under way. */
    | { readonly type: "look"; readonly worker: WorkerId }
    | { readonly type: "advise"; readonly lane: LaneId; readonly call: AdviceCall }
    /** The ends up to this number are durable here; the worker may forget them. */
    | { readonly type: "acknowledge"; readonly worker: WorkerId; readonly cursor: number };

/** A worker's word about itself. */
export interface Heartbeat {
    readonly record: WorkerReport;
    /** Rises with each heartbeat of the worker: late ones are told by it. */
    readonly sequence: number;
    /** The worker's clock when it was sent; `undefined` when it does not tell. */
    readonly clockMs: number | undefined;
    /** While it drains, the time that is left at least, in ms, where it tells. */
    readonly leavesInMs: number | undefined;
}

/** What one input led to. */
export interface Outcome {
    readonly facts: readonly Fact[];
    readonly effects: readonly Effect[];
}

/** A milestone changes what all later decisions rest on, such as the configuration. */
export type DecisionKind = "decision" | "milestone" | "failure";

/** Takes one decision with what decided it; `failure` when something went wrong. */
export type RecordDecision = (
    kind: DecisionKind,
    event: string,
    fields: Readonly<Record<string, unknown>>,
) => void;

/** Times and limits of the dispatcher. */
export interface DispatchLimits {
    /** How long a worker keeps running without a renewal, in ms. */
    readonly leaseMs: number;
    /** How long ended jobs are remembered, in ms. */
    readonly retentionMs: number;
    /** How long one look at a worker may wait for an end, in ms. */
    readonly pollWaitMs: number;
    /** A worker whose last heartbeat is older gets no new work, in ms: its room may have shrunk since. */
    readonly maxReportAgeMs: number;
}
