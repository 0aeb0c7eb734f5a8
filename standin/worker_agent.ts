/**
 * A simulated worker on one instance: it accepts leases, runs each task for the requested time,
 * reports resource usage, and stops tasks whose lease expires. It refuses leases that have a
 * stale epoch or exceed the instance's capacity.
 *
 * @example
 * ```ts
 * import { WorkerAgent } from "./worker_agent.ts";
 * const agent = new WorkerAgent({ instance, capacity });
 * const reply = agent.acceptLease(offer, Date.now());
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

/** Options of {@link WorkerAgent}. */
export interface WorkerAgentOptions {
    readonly instance: InstanceId;
    readonly capacity: Resources;
    /** Identifies the worker process; changes with each restart. */
    readonly incarnation?: string;
    /** Makes every task fail shortly after its start. */
    readonly failAllTasks?: boolean;
    /** How long a task runs before its usage is reported, in ms. */
    readonly usageLagMs?: number;
}

/** A change of a task's state, to be reported to the entry instances. */
export interface AgentReport {
    readonly lease: LeaseId;
    readonly epoch: number;
    readonly report: TaskReport;
    readonly detail: string;
}

interface RunningTask {
    readonly offer: GrantMessage;
    readonly startedAtMs: number;
    /** When the last acknowledged heartbeat that listed this lease was sent, in ms. */
    renewedAtMs: number;
}

/** The reply to a lease offer. */
export interface GrantReply {
    readonly lease: LeaseId;
    /** `unknown`: the offer is for another incarnation, which may have run the task. */
    readonly status: "accepted" | "declined" | "unknown";
    readonly reason: string;
}

/** How long replies are kept to answer resent offers, in ms. */
const REPLY_RETENTION_MS = 600_000;

/** Simulates the worker of one instance. */
export class WorkerAgent {
    readonly instance: InstanceId;
    readonly #capacity: Resources;
    readonly #failAllTasks: boolean;
    readonly #usageLagMs: number;
    readonly #running = new Map<LeaseId, RunningTask>();
    readonly #highestEpoch = new Map<TaskId, number>();
    readonly #replies = new Map<LeaseId, { readonly reply: GrantReply; readonly at: number }>();
    readonly #incarnation: string;
    #heldResources: Resources = NO_RESOURCES;
    #reports: AgentReport[] = [];
    /** All tasks started so far, for tests and invariant checks. */
    readonly startedTasks: { lease: LeaseId; task: TaskId; epoch: number; startedAtMs: number }[] =
        [];

    /**
     * @param options The instance, its capacity and the simulated behaviour.
     */
    constructor(options: WorkerAgentOptions) {
        this.instance = options.instance;
        this.#capacity = options.capacity;
        this.#incarnation = options.incarnation ?? "";
        this.#failAllTasks = options.failAllTasks ?? false;
        this.#usageLagMs = options.usageLagMs ?? 200;
    }

    /**
     * Accepts or refuses a lease offer. An accepted task starts at once; a resent offer gets the
     * first reply again.
     *
     * @param offer The lease offer.
     * @param now The current time, in ms.
     * @returns The reply, with the reason of a refusal.
     */
    acceptLease(offer: GrantMessage, now: number): GrantReply {
        const previous = this.#replies.get(offer.lease);
        if (previous !== undefined) {
            return previous.reply;
        }
        const refusal = this.#findRefusal(offer, now);
        if (refusal !== undefined) {
            if (refusal.status === "declined") {
                this.#replies.set(offer.lease, { reply: refusal, at: now });
            }
            return refusal;
        }
        const reply: GrantReply = { lease: offer.lease, status: "accepted", reason: "" };
        this.#replies.set(offer.lease, { reply, at: now });
        this.#highestEpoch.set(offer.task, offer.epoch);
        this.#heldResources = addResources(this.#heldResources, offer.demand);
        // The lease runs from the heartbeat that the offer is based on, not from the arrival of
        // the offer, which may have been delayed.
        this.#running.set(offer.lease, {
            offer,
            startedAtMs: now,
            renewedAtMs: offer.beatAt,
        });
        this.startedTasks.push({
            lease: offer.lease,
            task: offer.task,
            epoch: offer.epoch,
            startedAtMs: now,
        });
        this.#addReport(offer.lease, offer.epoch, "started", "");
        return reply;
    }

    #findRefusal(offer: GrantMessage, now: number): GrantReply | undefined {
        const { lease } = offer;
        if (offer.incarnation !== this.#incarnation) {
            return {
                lease,
                status: "unknown",
                reason: "meant for an earlier process",
            };
        }
        const highest = this.#highestEpoch.get(offer.task) ?? 0;
        if (offer.epoch <= highest) {
            const reason = `stale epoch ${offer.epoch}; seen ${highest}`;
            return { lease, status: "declined", reason };
        }
        // The sender may have been replaced since that heartbeat, and the new leader may have
        // leased the task to another worker.
        if (now - offer.beatAt > offer.ttlMs) {
            const reason = `stale offer: by a heartbeat of ${now - offer.beatAt} ms ago`;
            return { lease, status: "declined", reason };
        }
        if (!isFitting(addResources(this.#heldResources, offer.demand), this.#capacity)) {
            return { lease, status: "declined", reason: "the instance has no room for it" };
        }
        return undefined;
    }

    /**
     * Stops a task. If the stop arrives before the offer, the offer will be declined, and the
     * task is reported as not started.
     *
     * @param stop The lease, its epoch, the incarnation it was granted to, and how to stop.
     * @param now The current time, in ms.
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
        if (this.#running.get(lease)?.offer.epoch === epoch) {
            const detail = stop.mode === "checkpoint" ? "checkpointed and stopped" : "stopped";
            this.#endTask(lease, "stopped", detail);
        } else if (!this.#replies.has(lease)) {
            const reason = "stopped before it started";
            this.#replies.set(lease, { reply: { lease, status: "declined", reason }, at: now });
            this.#addReport(lease, epoch, "declined", reason);
        }
    }

    /**
     * Stops the tasks of leases that the entry instances report as ended.
     *
     * @param leases The ended leases.
     */
    stopEndedLeases(leases: readonly LeaseId[]): void {
        for (const lease of leases) {
            this.#endTask(lease, "stopped", "the lease had ended");
        }
    }

    /**
     * Renews leases after the entry instances acknowledged a heartbeat.
     *
     * @param sentAtMs When the heartbeat was sent, in ms.
     * @param leases The leases to renew.
     */
    renewLeases(sentAtMs: number, leases: readonly LeaseId[]): void {
        for (const lease of leases) {
            const task = this.#running.get(lease);
            // An expired lease isn't renewed: the task may already run on another worker.
            if (task !== undefined && sentAtMs - task.renewedAtMs <= task.offer.ttlMs) {
                task.renewedAtMs = Math.max(task.renewedAtMs, sentAtMs);
            }
        }
    }

    /**
     * Ends tasks whose run time is over and stops those whose lease has expired, so that the
     * cell can run them on another worker without running them twice at once.
     *
     * @param now The current time, in ms.
     * @returns The reports added since the last call.
     */
    tick(now: number): AgentReport[] {
        for (const [lease, task] of this.#running) {
            const { runMs, fail } = task.offer.work;
            if (now - task.renewedAtMs > task.offer.ttlMs) {
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
     * Lists the held leases. Usage is included once the reporting lag has passed and is capped
     * at the leased resources.
     *
     * @param now The current time, in ms.
     * @returns The held leases.
     */
    listHeldLeases(now: number): HeldLease[] {
        return [...this.#running.values()].map((task) => {
            const factor = Math.min(1, task.offer.work.usageFactor);
            const usage =
                now - task.startedAtMs >= this.#usageLagMs
                    ? {
                          cores: task.offer.demand.cores * factor,
                          memoryMb: Math.round(task.offer.demand.memoryMb * factor),
                          accelerators: task.offer.demand.accelerators,
                      }
                    : undefined;
            return { lease: task.offer.lease, epoch: task.offer.epoch, usage };
        });
    }

    /** The resources held by running tasks. */
    get heldResources(): Resources {
        return this.#heldResources;
    }

    #endTask(lease: LeaseId, report: TaskReport, detail: string): void {
        const task = this.#running.get(lease);
        if (task === undefined) {
            return;
        }
        this.#running.delete(lease);
        this.#heldResources = removeResources(this.#heldResources, task.offer.demand);
        this.#addReport(lease, task.offer.epoch, report, detail);
    }
}
