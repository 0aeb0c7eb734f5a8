/**
 * The operators' configuration: queues that callers submit to, the pools of workers that serve
 * them, and limits on calls. It is replaced whole; the highest version is in force.
 *
 * @example
 * ```ts
 * import type { QueueConfig } from "./types.ts";
 * const isUrgent = (queue: QueueConfig) => queue.priority === 0;
 * ```
 *
 * @module
 */

import type { Brand } from "../inventory/mod.ts";

/** A queue of jobs. */
export type QueueName = Brand<string, "QueueName">;
/** A pool of workers that run the same kinds of task. */
export type PoolName = Brand<string, "PoolName">;

/**
 * A queue whose policy admits only some workers to a step. Another service names them, one call
 * at a time for each calling instance, which makes its calls a scarce resource.
 */
export interface AdvicePolicy {
    /** Time of one call, in ms, before any worker is considered. */
    readonly decideMs: number;
    /** Further time for each worker named in the call, in ms. */
    readonly perWorkerMs: number;
    /** How long an admission ticket may be used, in ms. */
    readonly validMs: number;
}

/** One queue. */
export interface QueueConfig {
    readonly name: QueueName;
    /** The host that callers name. */
    readonly host: string;
    /** Paths of this queue begin with it; the longest prefix wins. */
    readonly pathPrefix: string;
    readonly pool: PoolName;
    /** 0 comes first and may preempt the others. */
    readonly priority: number;
    /** A task, or a gang, that failed this often fails its job. */
    readonly maxAttempts: number;
    /** How many times its own work a job may take before it counts as late. */
    readonly stretch: number;
    /** Time on top of the stretched work before a job counts as late, in ms. */
    readonly targetLatencyMs: number;
    /** How long a call may take, in ms. */
    readonly timeoutMs: number;
    readonly advice: AdvicePolicy | undefined;
}

/** One pool of workers. */
export interface PoolConfig {
    readonly name: PoolName;
    /** Whether its workers refuse what does not fit; otherwise the scheduler's account is all. */
    readonly hasAdmissionCheck: boolean;
    /** Its instances are switched off and cost nothing. */
    readonly isStandby: boolean;
}

/** Limits on callers' calls. */
export interface CallLimits {
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** A whole configuration. */
export interface Configuration {
    readonly version: number;
    readonly queues: readonly QueueConfig[];
    readonly pools: readonly PoolConfig[];
    readonly limits: CallLimits;
    /** What the operator sent, to be read back as it was. */
    readonly document: unknown;
}
