/**
 * Types of the dispatcher: its view of running work, the orders to workers with their answers, and
 * the effects that its process runs.
 *
 * @example
 * ```ts
 * import type { Effect } from "./types.ts";
 * const effect: Effect = { type: "watch", worker };
 * ```
 *
 * @module
 */

import type { WorkspaceName } from "../workspace/mod.ts";
import type { AdvicePolicy, QueueName } from "../configuration/mod.ts";
import type { Brand } from "../inventory/mod.ts";
import type {
    Incarnation,
    MemberOutcome,
    Fact,
    Resources,
    TaskName,
    UnitRef,
    WorkerId,
    WorkerReport,
} from "../job/mod.ts";

/** A step of one occurrence, `JOB.OCCURRENCE.STEP`. */
export type StepKey = Brand<string, "StepKey">;
/** A front instance that can call the advice service. */
export type FrontId = Brand<string, "FrontId">;

/** Clocks, injected so that tests can control time. */
export interface DispatchClock {
    /** Monotonic clock, in ms. */
    readonly getNow: () => number;
    /** Wall clock in ms since the Unix epoch; does not go back across leaders. */
    readonly getWallTimeMs: () => number;
}

/**
 * State of a member. `planned`: its fact is not committed yet and no order was sent. `ordered`: a
 * start was sent but not answered. `running`: the worker confirmed the start. `stopping`: it is
 * being stopped.
 */
export type MemberState = "planned" | "ordered" | "running" | "stopping";

/** One task of a running attempt. */
export interface MemberRun {
    readonly unit: UnitRef;
    readonly index: number;
    readonly name: TaskName;
    readonly attempt: number;
    readonly worker: WorkerId;
    /** The worker's incarnation when the start was last sent or the run was last listed. */
    incarnation: Incarnation | undefined;
    /** Resources reserved on the worker until the member's end is known. */
    readonly reserved: Resources;
    /** The workspace whose quota it uses, if any. */
    readonly workspace: WorkspaceName | undefined;
    /** What it takes of the workspace's quota; a filler task takes its CPU as well. */
    readonly demand: Resources;
    readonly priority: number;
    state: MemberState;
    /** Number of times that the start order was sent. */
    startSends: number;
    /** Fencing token of the newest start order; 0 if an earlier leader may have sent it. */
    fence: number;
    /**
     * From this time on, every poll answer lists the member if it runs or ran on the worker;
     * `undefined` while a start may still be in flight. In ms.
     */
    startResolvedAtMs: number | undefined;
    /**
     * When the worker accepted the start, in ms; as long as that is not known, when this leader
     * created the member.
     */
    startedAtMs: number;
    /**
     * When the worker accepted the only start order of this leader, in ms; `undefined` if the time
     * of the start is not known exactly.
     */
    acceptedAtMs: number | undefined;
    /** Whether the worker's known incarnation has listed the run. */
    isListed: boolean;
    /** Number of start orders that were prepared and neither answered nor given up yet. */
    pendingStarts: number;
    /** Until when a start order that got no answer may still be executed, in ms. */
    lateStartUntilMs: number;
    /** How long the member had run when its worker last listed it, in ms; 0 before that. */
    observedRunMs: number;
    /**
     * Time from its start during which the worker gets no other starts, in ms; 0 unless the unit is
     * suspected of crashing workers.
     */
    readonly isolationMs: number;
    /** Share of its work that is done, in percent, as reported by the worker. */
    progressPercent: number;
    /** When {@link MemberRun.progressPercent} was last reported, in ms. */
    progressAtMs: number;
    /** The caller's estimate of its duration, in ms. */
    readonly estimateMs: number;
    /** Whether it can be stopped and resumed elsewhere from its checkpoint. */
    readonly isMovable: boolean;
    /** Whether it runs until it is stopped; its percentage is then not a measure of progress. */
    readonly isPerpetual: boolean;
    /** Whether it uses only CPU that other tasks leave idle. */
    readonly isFiller: boolean;
    /** Target for the tail latency of a serving task, in ms; 0 for none. */
    readonly targetMs: number;
    /** Newest reported load; see {@link RunningReport.load}. */
    load: number;
    /** Newest pace that was ordered, in percent of full speed; `undefined` if unknown. */
    pacePercent: number | undefined;
    stopSentAtMs: number;
    /** Whether a stop order waits to be sent. */
    isStopQueued: boolean;
    readonly ticket: string | undefined;
    /** Whether an earlier leader recorded the attempt. */
    isAdopted: boolean;
}

/** An order to start a task. */
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

/** An order to stop a task. */
export interface StopOrder {
    readonly worker: WorkerId;
    readonly address: string;
    readonly task: TaskName;
    readonly attempt: number;
    readonly fence: number;
}

/** An order to run a task at a percentage of its full speed. */
export interface PaceOrder extends StopOrder {
    readonly percent: number;
}

/** A poll that renews the lease and requests the running and ended tasks. */
export interface PollOrder {
    readonly worker: WorkerId;
    readonly address: string;
    readonly fence: number;
    /** The worker's known incarnation, which `cursor` refers to; another one may answer. */
    readonly incarnation: Incarnation | undefined;
    /** Ends up to this number are committed; the worker may discard them. 0 for none. */
    readonly cursor: number;
    /** The lease's end on the worker's clock, in ms; `undefined` to leave the lease as it is. */
    readonly untilMs: number | undefined;
    /** How long the worker may delay its answer until a task ends, in ms. */
    readonly waitMs: number;
}

/** A worker's answer to a start, stop or pace order. */
export type OrderAnswer =
    | { readonly type: "accepted" }
    /** The worker refused the order. */
    | { readonly type: "refused"; readonly reason: RefusalReason }
    /** A worker with another id answered: the addressed worker is gone. */
    | { readonly type: "gone" }
    /** No connection could be opened, so the order was not sent. */
    | { readonly type: "undelivered"; readonly cause: string }
    /** The order timed out: it may have been executed, or may still be. */
    | { readonly type: "unanswered"; readonly cause: string };

/** Why a worker refused an order. */
export type RefusalReason =
    "fence" | "superseded" | "lease_over" | "no_room" | "ticket" | "unhealthy" | "invalid";

/** A task that a worker reports as running. */
export interface RunningReport {
    readonly task: string;
    readonly attempt: number;
    readonly checkpoint: string;
    readonly percent: number;
    /** CPU use in thousandths of a core, or tail latency in ms for a serving task. */
    readonly load: number;
}

/** A task end that a worker reports. */
export interface EndReport {
    /** Sequence number, which increases by one with each end on the worker. */
    readonly number: number;
    readonly task: string;
    readonly attempt: number;
    readonly how: MemberOutcome;
    readonly checkpoint: string;
}

/** A worker's task lists, as its answer to a poll. */
export interface StateAnswer {
    readonly type: "state";
    /** The incarnation that answered; `undefined` if the worker does not report it. */
    readonly incarnation: Incarnation | undefined;
    readonly clockMs: number;
    readonly running: readonly RunningReport[];
    readonly ended: readonly EndReport[];
}

/** A worker's answer to a poll. */
export type PollAnswer =
    | StateAnswer
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
    /** Calls with a lower rank start first. */
    readonly rank: number;
}

/** A worker that is admitted to run a step. */
export interface Admission {
    readonly worker: WorkerId;
    readonly ticket: string;
}

/** An action that the process runs once the accompanying facts are committed. */
export type Effect =
    | { readonly type: "start"; readonly member: MemberRun }
    | { readonly type: "stop"; readonly member: MemberRun }
    | { readonly type: "pace"; readonly member: MemberRun }
    /** Polls the worker repeatedly while it has work. */
    | { readonly type: "watch"; readonly worker: WorkerId }
    /** Polls the worker at once, even if another poll is in progress. */
    | { readonly type: "look"; readonly worker: WorkerId }
    | { readonly type: "advise"; readonly front: FrontId; readonly call: AdviceCall }
    /** Confirms that the ends up to this number are committed, so the worker may discard them. */
    | {
          readonly type: "acknowledge";
          readonly worker: WorkerId;
          readonly incarnation: Incarnation | undefined;
          readonly cursor: number;
      };

/** A worker's heartbeat. */
export interface Heartbeat {
    /** What the worker reports about itself. */
    readonly record: WorkerReport;
    /**
     * Sequence number, which increases with each heartbeat of the worker; used to drop late ones.
     */
    readonly sequence: number;
    /** The worker's clock when the heartbeat was sent, in ms; `undefined` if not included. */
    readonly clockMs: number | undefined;
    /** Minimum time until a draining worker leaves, in ms; `undefined` if not announced. */
    readonly leavesInMs: number | undefined;
}

/** A heartbeat without changes since the worker's last full report. */
export interface KeepAlive {
    readonly worker: WorkerId;
    /** Absent in keep-alives that instances of earlier releases forward. */
    readonly incarnation?: Incarnation | undefined;
    readonly sequence: number;
    readonly clockMs: number | undefined;
    /** The capacity that the worker reported. */
    readonly capacity: Resources;
}

/** Facts to replicate, and effects to run after they are committed. */
export interface DispatchOutput {
    readonly facts: readonly Fact[];
    readonly effects: readonly Effect[];
}

/** Kind of a decision. A milestone affects all later decisions, such as a new configuration. */
export type DecisionKind = "decision" | "milestone" | "failure";

/** Records a decision with the values it was based on; `failure` if something went wrong. */
export type RecordDecision = (
    kind: DecisionKind,
    event: string,
    fields: Readonly<Record<string, unknown>>,
) => void;

/** Time limits of the dispatcher. */
export interface DispatchLimits {
    /** How long a worker runs tasks without a lease renewal, in ms. */
    readonly leaseMs: number;
    /** The longest lease that a worker accepts, in ms. */
    readonly maxLeaseMs: number;
    /**
     * How long after a call was given up it may still be executed, in ms. The worker may have
     * restarted by then, and the next incarnation executes it as well.
     */
    readonly maxCallDelayMs: number;
    /** How long ended jobs are retained, in ms. */
    readonly retentionMs: number;
    /** How long a worker may delay its answer to a poll until a task ends, in ms. */
    readonly pollWaitMs: number;
    /**
     * A worker whose newest heartbeat is older gets no new work, in ms, since its capacity may have
     * shrunk.
     */
    readonly maxReportAgeMs: number;
}
