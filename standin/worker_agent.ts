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
import type { GrantMessage, HeldLease, TaskReport } from "../cell/mod.ts";

/** Options of a worker agent. */
export interface WorkerAgentOptions {
    readonly instance: InstanceId;
    readonly capacity: Resources;
    /** The worker process; a restarted one gives another. */
    readonly incarnation?: string;
    /** Every task it starts fails shortly after. */
    readonly failAllTasks?: boolean;
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
    readonly message: GrantMessage;
    readonly startedAtMs: number;
    /** When the entry instances last acknowledged a heartbeat that listed this lease. */
    renewedAtMs: number;
}

/** The agent's answer to a lease offer. */
export interface LeaseReply {
    readonly lease: LeaseId;
    /** `unknown`: the offer is for an earlier process of this worker, which may have run it. */
    readonly status: "accepted" | "declined" | "unknown";
    readonly reason: string;
}

/** How long answers are kept for repeated offers, in ms: far longer than an offer is repeated. */
const REPLY_RETENTION_MS = 600_000;

/** One stand-in worker. */
export class WorkerAgent {
    readonly instance: InstanceId;
    readonly #capacity: Resources;
    readonly #failAllTasks: boolean;
    readonly #usageLagMs: number;
    readonly #running = new Map<LeaseId, RunningTask>();
    readonly #highestEpoch = new Map<TaskId, number>();
    readonly #replies = new Map<LeaseId, { readonly reply: LeaseReply; readonly at: number }>();
    readonly #incarnation: string;
    #heldResources: Resources = NO_RESOURCES;
    #reports: AgentReport[] = [];
    /** Tasks started, for tests and invariant checks. */
    readonly startedTasks: { lease: LeaseId; task: TaskId; epoch: number; at: number }[] = [];

    /**
     * @param options Instance, capacity and behaviour.
     */
    constructor(options: WorkerAgentOptions) {
        this.instance = options.instance;
        this.#capacity = options.capacity;
        this.#incarnation = options.incarnation ?? "";
        this.#failAllTasks = options.failAllTasks ?? false;
        this.#usageLagMs = options.usageLagMs ?? 200;
    }

    /**
     * Takes a lease offer. A resent offer (same lease) gets the first answer again.
     *
     * @param message The lease.
     * @param now The time in ms.
     * @returns Accepted, or declined with the reason; an accepted task starts at once.
     */
    acceptLease(message: GrantMessage, now: number): LeaseReply {
        const previous = this.#replies.get(message.lease);
        if (previous !== undefined) {
            return previous.reply;
        }
        const refusal = this.#findRefusal(message, now);
        if (refusal !== undefined) {
            if (refusal.status === "declined") {
                this.#replies.set(message.lease, { reply: refusal, at: now });
            }
            return refusal;
        }
        const reply: LeaseReply = { lease: message.lease, status: "accepted", reason: "" };
        this.#replies.set(message.lease, { reply, at: now });
        this.#highestEpoch.set(message.task, message.epoch);
        this.#heldResources = addResources(this.#heldResources, message.demand);
        // The lease counts from the heartbeat that the offer goes by, not from its arrival: the
        // sender may have been frozen in between.
        this.#running.set(message.lease, {
            message,
            startedAtMs: now,
            renewedAtMs: message.beatAt,
        });
        this.startedTasks.push({
            lease: message.lease,
            task: message.task,
            epoch: message.epoch,
            at: now,
        });
        this.#addReport(message.lease, message.epoch, "started", "");
        return reply;
    }

    #findRefusal(message: GrantMessage, now: number): LeaseReply | undefined {
        const { lease } = message;
        if (message.incarnation !== this.#incarnation) {
            return { lease, status: "unknown", reason: "meant for an earlier process" };
        }
        const highest = this.#highestEpoch.get(message.task) ?? 0;
        if (message.epoch <= highest) {
            const reason = `stale epoch ${message.epoch}; seen ${highest}`;
            return { lease, status: "declined", reason };
        }
        // A leader that was frozen or cut off since that heartbeat may have been replaced, and
        // its successor may have leased the task to another worker by now.
        if (now - message.beatAt > message.ttlMs) {
            const reason = `stale offer: by a heartbeat of ${now - message.beatAt} ms ago`;
            return { lease, status: "declined", reason };
        }
        if (!isFitting(addResources(this.#heldResources, message.demand), this.#capacity)) {
            return { lease, status: "declined", reason: "the instance has no room for it" };
        }
        return undefined;
    }

    /**
     * Stops a task. A stop that overtakes its offer refuses the offer, and says that the task
     * never started, so that a cancelled request need not wait for the lease to run out.
     *
     * @param stop The lease, its epoch, and the process it was made for.
     * @param now The time in ms.
     */
    stopLease(
        stop: {
            readonly lease: LeaseId;
            readonly epoch: number;
            readonly incarnation: string;
            readonly mode: "stop" | "checkpoint";
        },
        now: number,
    ): void {
        if (stop.incarnation !== this.#incarnation) {
            return;
        }
        const { lease, epoch } = stop;
        if (this.#running.get(lease)?.message.epoch === epoch) {
            const detail = stop.mode === "checkpoint" ? "checkpointed and stopped" : "stopped";
            this.#endTask(lease, "stopped", detail);
        } else if (!this.#replies.has(lease)) {
            const reason = "stopped before it started";
            this.#replies.set(lease, { reply: { lease, status: "declined", reason }, at: now });
            this.#addReport(lease, epoch, "declined", reason);
        }
    }

    /**
     * Stops tasks whose leases the entry instances no longer know.
     *
     * @param leases The leases.
     */
    stopEndedLeases(leases: readonly LeaseId[]): void {
        for (const lease of leases) {
            this.#endTask(lease, "stopped", "the lease had ended");
        }
    }

    /**
     * Notes that the entry instances took a heartbeat sent at `sentAt`: its leases are renewed.
     *
     * @param sentAtMs When the heartbeat left, in ms.
     * @param leases The leases it listed.
     */
    renewLeases(sentAtMs: number, leases: readonly LeaseId[]): void {
        for (const lease of leases) {
            const task = this.#running.get(lease);
            // A lease that ran out is not brought back by a late answer: the worker may have been
            // frozen, and the task may run elsewhere by now.
            if (task !== undefined && sentAtMs - task.renewedAtMs <= task.message.ttlMs) {
                task.renewedAtMs = Math.max(task.renewedAtMs, sentAtMs);
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
            if (now - task.renewedAtMs > task.message.ttlMs) {
                this.#endTask(lease, "stopped", "lease expired unrenewed; stopped by the worker");
            } else if (this.#failAllTasks && now - task.startedAtMs >= Math.min(runMs || 50, 50)) {
                this.#endTask(lease, "failed", `worker ${this.instance} fails everything`);
            } else if (runMs > 0 && now - task.startedAtMs >= runMs) {
                this.#endTask(lease, fail ? "failed" : "completed", fail ? "the task failed" : "");
            }
        }
        this.#removeExpiredReplies(now);
        const reports = this.#reports;
        this.#reports = [];
        return reports;
    }

    #removeExpiredReplies(now: number): void {
        for (const [lease, { at }] of this.#replies) {
            if (now - at < REPLY_RETENTION_MS) {
                break;
            }
            this.#replies.delete(lease);
        }
    }

    #addReport(lease: LeaseId, epoch: number, report: TaskReport, detail: string): void {
        this.#reports.push({ lease, epoch, report, detail });
    }

    /**
     * Lists the leases held, with use once the lag has passed (capped at the lease: the
     * worker throttles a task that would use more than it was given).
     *
     * @param now The time in ms.
     * @returns The held leases.
     */
    listHeldLeases(now: number): HeldLease[] {
        return [...this.#running.values()].map((task) => {
            const factor = Math.min(1, task.message.work.usageFactor);
            const usage =
                now - task.startedAtMs >= this.#usageLagMs
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
    get heldResources(): Resources {
        return this.#heldResources;
    }

    #endTask(lease: LeaseId, report: TaskReport, detail: string): void {
        const task = this.#running.get(lease);
        if (task === undefined) {
            return;
        }
        this.#running.delete(lease);
        this.#heldResources = removeResources(this.#heldResources, task.message.demand);
        this.#addReport(lease, task.message.epoch, report, detail);
    }
}
