/**
 * The operators' configuration: queues that callers submit to, the worker pools that serve them,
 * limits on calls, and the workspaces. A new version replaces the whole configuration; the highest
 * version is active.
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
import type { WorkspaceConfig } from "../workspace/types.ts";

/** Name of a queue of jobs. */
export type QueueName = Brand<string, "QueueName">;
/** Name of a pool of workers that run the same kinds of task. */
export type PoolName = Brand<string, "PoolName">;

/**
 * The cost and validity of placement advice, for a queue whose steps may run only on the workers
 * that an external service admits. The service handles one call at a time per calling instance.
 */
export interface AdvicePolicy {
    /** Fixed duration of one call to the service, in ms. */
    readonly decideMs: number;
    /** Additional duration per worker named in the call, in ms. */
    readonly perWorkerMs: number;
    /** Lifetime of an admission ticket, in ms. */
    readonly validMs: number;
}

/** A queue of jobs with its route, worker pool and scheduling policy. */
export interface QueueConfig {
    readonly name: QueueName;
    /** The host that callers address. */
    readonly host: string;
    /** The path prefix of the queue's calls; the longest matching prefix wins. */
    readonly pathPrefix: string;
    readonly pool: PoolName;
    /** Scheduling priority; 0 is the highest and may preempt the others. */
    readonly priority: number;
    /** The number of failed attempts at which a task or a gang fails its job. */
    readonly maxAttempts: number;
    /** Multiple of a job's estimated critical path in its latency objective. */
    readonly stretch: number;
    /** Added to that multiple to give the latency objective, in ms. */
    readonly targetLatencyMs: number;
    /** Timeout of a call, in ms. */
    readonly timeoutMs: number;
    readonly advice: AdvicePolicy | undefined;
    /** Whether calls need no key; absent in configurations of earlier releases. */
    readonly isPublic?: boolean;
}

/** A pool of workers. */
export interface PoolConfig {
    readonly name: PoolName;
    /**
     * Whether workers reject tasks that exceed their capacity; otherwise only the scheduler checks.
     */
    readonly hasAdmissionCheck: boolean;
    /** Whether the instances are on standby: powered off, at no cost. */
    readonly isStandby: boolean;
}

/** Limits on calls from callers. */
export interface CallLimits {
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** A version of the complete configuration. */
export interface Configuration {
    readonly version: number;
    readonly queues: readonly QueueConfig[];
    readonly pools: readonly PoolConfig[];
    readonly limits: CallLimits;
    /**
     * The workspaces. Without this list, calls need no key; earlier releases leave it out although
     * {@link Configuration.document} may have it.
     */
    readonly workspaces?: readonly WorkspaceConfig[] | undefined;
    /** The original document from the operator, returned unchanged when read. */
    readonly document: unknown;
}
