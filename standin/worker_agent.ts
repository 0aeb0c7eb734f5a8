/**
 * A stand-in for the platform's worker on one instance: it takes leases, runs their tasks for
 * the time the work order says, reports use with a lag, stops, and can be told to fail
 * everything it starts. It checks, as a real worker must, that a lease's epoch is above every
 * epoch it has seen for the task and that the lease fits what the instance has.
 *
 * @example
 * ```ts
 * import { WorkerAgent } from "./worker_agent.ts";
 * const agent = new WorkerAgent({ instance, capacity });
 * const reply = agent.acceptLease(lease, Date.now());
 * const reports = agent.tick(Date.now());
 * ```
 *
 * @module
 */

import {
    addResources,
    isFitting,
    NO_RESOURCES,
    removeResources,
    type InstanceId,
    type LeaseId,
    type Resources,
    type TaskId,
} from "../inventory/mod.ts";
import type { HeldLease, LeaseMessage, TaskReport } from "../cell/mod.ts";

/** Options of a worker agent. */
export interface WorkerAgentOptions {
    readonly instance: InstanceId;
    readonly capacity: Resources;
    /** Every task it starts fails shortly after. */
    readonly failEverything?: boolean;
    /** Use is reported only after a task ran this long, in ms. */
    readonly usageLagMs?: number;
}

/** A report the agent owes the entry instances. */
export interface AgentReport {
    readonly lease: LeaseId;
    readonly epoch: number;
    readonly report: TaskReport;
    readonly detail: string;
}

interface RunningTask {
    readonly message: LeaseMessage;
    readonly startedAt: number;
    /** When the entry instances last acknowledged a heartbeat that listed this lease. */
    renewedAt: number;
}

/** The agent's answer to a lease offer. */
export interface LeaseReply {
    readonly lease: LeaseId;
    readonly accepted: boolean;
    readonly reason: string;
}

/** One stand-in worker. */
export class WorkerAgent {
    readonly instance: InstanceId;
    readonly #capacity: Resources;
    readonly #failEverything: boolean;
    readonly #usageLagMs: number;
    readonly #running = new Map<LeaseId, RunningTask>();
    readonly #highestEpoch = new Map<TaskId, number>();
    readonly #replies = new Map<LeaseId, LeaseReply>();
    #held: Resources = NO_RESOURCES;
    #reports: AgentReport[] = [];
    /** Tasks started, for tests and invariant checks. */
    readonly started: { lease: LeaseId; task: TaskId; epoch: number; at: number }[] = [];

    /**
     * @param options Instance, capacity and behaviour.
     */
    constructor(options: WorkerAgentOptions) {
        this.instance = options.instance;
        this.#capacity = options.capacity;
        this.#failEverything = options.failEverything ?? false;
        this.#usageLagMs = options.usageLagMs ?? 200;
    }

    /**
     * Takes a lease offer. A resent offer (same lease) gets the first answer again.
     *
     * @param message The lease.
     * @param now The time in ms.
     * @returns Accepted, or declined with the reason; an accepted task starts at once.
     */
    acceptLease(message: LeaseMessage, now: number): LeaseReply {
        const earlier = this.#replies.get(message.lease);
        if (earlier !== undefined) {
            return earlier;
        }
        const reply = this.#checkLease(message);
        this.#replies.set(message.lease, reply);
        if (reply.accepted) {
            this.#highestEpoch.set(message.task, message.epoch);
            this.#held = addResources(this.#held, message.demand);
            this.#running.set(message.lease, { message, startedAt: now, renewedAt: now });
            this.started.push({
                lease: message.lease,
                task: message.task,
                epoch: message.epoch,
                at: now,
            });
            this.#reports.push({
                lease: message.lease,
                epoch: message.epoch,
                report: "started",
                detail: "",
            });
        }
        return reply;
    }

    #checkLease(message: LeaseMessage): LeaseReply {
        const highest = this.#highestEpoch.get(message.task) ?? 0;
        if (message.epoch <= highest) {
            return {
                lease: message.lease,
                accepted: false,
                reason: `stale epoch ${message.epoch}; seen ${highest}`,
            };
        }
        if (!isFitting(addResources(this.#held, message.demand), this.#capacity)) {
            return {
                lease: message.lease,
                accepted: false,
                reason: "the instance has no room for it",
            };
        }
        return { lease: message.lease, accepted: true, reason: "" };
    }

    /**
     * Stops a task. A stop for an older epoch than the task runs under is ignored.
     *
     * @param lease The lease.
     * @param epoch Its epoch.
     * @param mode "checkpoint" saves progress first; the stand-in treats both alike.
     */
    stopLease(lease: LeaseId, epoch: number, mode: "stop" | "checkpoint"): void {
        const task = this.#running.get(lease);
        if (task === undefined || task.message.epoch !== epoch) {
            return;
        }
        this.#closeTask(
            lease,
            "stopped",
            mode === "checkpoint" ? "checkpointed and stopped" : "stopped",
        );
    }

    /**
     * Notes that the entry instances took a heartbeat sent at `sentAt`: its leases are renewed.
     *
     * @param sentAt When the heartbeat left, in ms.
     * @param leases The leases it listed.
     */
    renewLeases(sentAt: number, leases: readonly LeaseId[]): void {
        for (const lease of leases) {
            const task = this.#running.get(lease);
            if (task !== undefined) {
                task.renewedAt = Math.max(task.renewedAt, sentAt);
            }
        }
    }

    /**
     * Advances the agent: ends tasks whose run time is over, and stops every task whose lease
     * was not renewed within its time to live. That self-fencing is what lets the cell run the
     * task elsewhere after the lease expired without two copies at once.
     *
     * @param now The time in ms.
     * @returns The reports owed since the last call.
     */
    tick(now: number): AgentReport[] {
        for (const [lease, task] of this.#running) {
            const { runMs, fail } = task.message.work;
            if (now - task.renewedAt > task.message.ttlMs) {
                this.#closeTask(lease, "stopped", "lease expired unrenewed; stopped by the worker");
            } else if (this.#failEverything && now - task.startedAt >= Math.min(runMs || 50, 50)) {
                this.#closeTask(lease, "failed", `worker ${this.instance} fails everything`);
            } else if (runMs > 0 && now - task.startedAt >= runMs) {
                this.#closeTask(
                    lease,
                    fail ? "failed" : "completed",
                    fail ? "the task failed" : "",
                );
            }
        }
        const reports = this.#reports;
        this.#reports = [];
        return reports;
    }

    /**
     * Lists the leases held, with use once the lag has passed (capped at the lease: the
     * worker throttles a task that would use more than it was given).
     *
     * @param now The time in ms.
     * @returns The held leases.
     */
    listHeld(now: number): HeldLease[] {
        return [...this.#running.values()].map((task) => {
            const factor = Math.min(1, task.message.work.usageFactor);
            const usage =
                now - task.startedAt >= this.#usageLagMs
                    ? {
                          cores: task.message.demand.cores * factor,
                          memoryMb: Math.round(task.message.demand.memoryMb * factor),
                          accelerators: task.message.demand.accelerators,
                      }
                    : undefined;
            return { lease: task.message.lease, epoch: task.message.epoch, usage };
        });
    }

    /** Resources held by running tasks. */
    get held(): Resources {
        return this.#held;
    }

    #closeTask(lease: LeaseId, report: TaskReport, detail: string): void {
        const task = this.#running.get(lease);
        if (task === undefined) {
            return;
        }
        this.#running.delete(lease);
        this.#held = removeResources(this.#held, task.message.demand);
        this.#reports.push({ lease, epoch: task.message.epoch, report, detail });
    }
}
