/**
 * The cell's leases while they live: heartbeats that renew them, offers that workers answer, reports
 * that end them, and silence that expires them.
 *
 * @example
 * ```ts
 * import { LeaseKeeper } from "./_lease_keeper.ts";
 * const keeper = new LeaseKeeper(books, lifecycle);
 * keeper.handleHeartbeat(instance, held, at);
 * keeper.expireLeases(at);
 * ```
 *
 * @module
 */

import { getNextState } from "../chart/mod.ts";
import {
    getMaxResources,
    isFitting,
    NO_RESOURCES,
    type InstanceId,
    type LeaseId,
} from "../inventory/mod.ts";
import type { WorkerState } from "../scheduler/mod.ts";
import type { Books } from "./_books.ts";
import { leaseChart, NO_GUARDS, type Lifecycle } from "./_lifecycle.ts";
import type { HeldLease, LeaseRecord, RequestRecord, TaskReport } from "./types.ts";

/** The leases of one cell. */
export class LeaseKeeper {
    readonly #books: Books;
    readonly #lifecycle: Lifecycle;

    /**
     * @param books The cell's records.
     * @param lifecycle What the end of a lease means for its request.
     */
    constructor(books: Books, lifecycle: Lifecycle) {
        this.#books = books;
        this.#lifecycle = lifecycle;
    }

    /**
     * Takes a heartbeat: renews the listed leases and takes their reported use. A lease the
     * worker holds but the cell has ended (or never made) is stopped, so no stray copy runs.
     *
     * @param instance The worker's instance.
     * @param held The leases the worker holds, with their use.
     * @param at The time in ms.
     */
    handleHeartbeat(instance: InstanceId, held: readonly HeldLease[], at: number): void {
        const worker = this.#books.workers.get(instance);
        if (worker === undefined) {
            return;
        }
        this.#renewWorker(worker, at);
        for (const item of held) {
            const lease = this.#findLiveLease(item.lease, item.epoch);
            if (lease === undefined) {
                this.#books.emit({
                    type: "stop",
                    address: worker.address ?? "",
                    instance,
                    incarnation: worker.incarnation,
                    lease: item.lease,
                    epoch: item.epoch,
                    mode: "stop",
                });
                continue;
            }
            this.#renewLease(lease, at);
            if (item.usage !== undefined) {
                lease.reported = item.usage;
                this.#books.setHeld(worker, lease, getMaxResources(lease.declared, item.usage));
            }
        }
    }

    /**
     * Tells whether a heartbeat lists just the leases that this cell has live on the worker, none
     * using more than declared: then the short `renew` input says the same as the heartbeat.
     *
     * @param instance The worker's instance.
     * @param held The leases the worker holds.
     * @returns True when `renew` is enough.
     */
    isRenewal(instance: InstanceId, held: readonly HeldLease[]): boolean {
        const worker = this.#books.workers.get(instance);
        return (
            worker !== undefined &&
            worker.leases.size === held.length &&
            held.every((item) => {
                const lease = this.#findLiveLease(item.lease, item.epoch);
                return (
                    lease?.worker === instance &&
                    !lease.stopSent &&
                    isFitting(lease.held, lease.declared) &&
                    isFitting(item.usage ?? NO_RESOURCES, lease.declared)
                );
            })
        );
    }

    /**
     * Lists which of a worker's leases it must stop: those that ended here, and those that were
     * told to stop and still run (the stop may have been lost).
     *
     * @param held The leases the worker holds.
     * @returns The leases to stop.
     */
    listToStop(held: readonly HeldLease[]): LeaseId[] {
        return held
            .filter((item) => this.#findLiveLease(item.lease, item.epoch)?.stopSent !== false)
            .map((item) => item.lease);
    }

    /**
     * Renews workers and every live lease on them.
     *
     * @param instances The workers' instances.
     * @param at The time in ms.
     */
    renewWorkers(instances: readonly InstanceId[], at: number): void {
        for (const instance of instances) {
            const worker = this.#books.workers.get(instance);
            if (worker === undefined) {
                continue;
            }
            this.#renewWorker(worker, at);
            for (const id of worker.leases) {
                const lease = this.#books.leases.get(id);
                if (lease !== undefined) {
                    this.#renewLease(lease, at);
                }
            }
        }
    }

    /**
     * Takes a worker's reply to a lease offer.
     *
     * @param id The lease.
     * @param accepted Whether the worker took it.
     * @param reason The worker's reason when it did not.
     * @param at The time in ms.
     */
    handleGrantReply(id: LeaseId, accepted: boolean, reason: string, at: number): void {
        const lease = this.#books.leases.get(id);
        if (lease === undefined || lease.state !== leaseChart.initial) {
            return;
        }
        if (accepted) {
            lease.state = getNextState(leaseChart, lease.state, "accept", NO_GUARDS);
            lease.renewedAt = at;
            return;
        }
        this.#closeDeclined(lease, reason, at);
    }

    /**
     * Takes a worker's report of a task.
     *
     * @param id The lease.
     * @param epoch The lease's epoch as the worker holds it; a stale one is ignored.
     * @param report What happened.
     * @param detail The worker's words.
     * @param at The time in ms.
     */
    handleReport(id: LeaseId, epoch: number, report: TaskReport, detail: string, at: number): void {
        const lease = this.#findLiveLease(id, epoch);
        const request = lease === undefined ? undefined : this.#books.getRequest(lease.request);
        const task = request?.tasks.find((t) => t.id === lease?.task);
        if (lease === undefined || request === undefined || task === undefined) {
            return;
        }
        if (report === "declined") {
            if (lease.state === leaseChart.initial) {
                this.#closeDeclined(lease, detail, at);
            }
            return;
        }
        if (report === "started") {
            if (lease.state === leaseChart.initial) {
                lease.state = getNextState(leaseChart, lease.state, "accept", NO_GUARDS);
            }
            lease.renewedAt = at;
            task.state = "running";
            this.#lifecycle.handleTaskStarted(request, at);
            return;
        }
        this.#recordWorkerResult(this.#books.getWorker(lease.worker), request, report, at);
        this.#lifecycle.closeLease(lease, "release", report, detail, at);
    }

    /**
     * Tells whether a worker or a lease has been silent for too long.
     *
     * @param at The time in ms.
     * @returns True when {@link LeaseKeeper.expireLeases} would end something.
     */
    hasExpired(at: number): boolean {
        const deadline = this.#getSilenceLimit();
        return (
            this.#books.workerList.some((w) => w.alive && at - w.lastHeartbeatAt > deadline) ||
            this.#hasExpiredLease(at - deadline)
        );
    }

    #hasExpiredLease(renewedBefore: number): boolean {
        for (const id of this.#books.liveLeases) {
            if ((this.#books.leases.get(id)?.renewedAt ?? renewedBefore) < renewedBefore) {
                return true;
            }
        }
        return false;
    }

    /**
     * Ends workers and leases that have been silent for too long.
     *
     * @param at The time in ms.
     */
    expireLeases(at: number): void {
        const deadline = this.#getSilenceLimit();
        for (const worker of this.#books.workerList) {
            if (worker.alive && at - worker.lastHeartbeatAt > deadline) {
                worker.alive = false;
            }
        }
        // Over the ids themselves: building a list of thousands of leases on every tick took 7%
        // of the cell's time. Closing one takes it, and maybe others of its request, out.
        for (const id of this.#books.liveLeases) {
            const lease = this.#books.leases.get(id);
            if (lease === undefined || at - lease.renewedAt <= deadline) {
                continue;
            }
            this.#books.counters.expiries += 1;
            this.#lifecycle.closeLease(
                lease,
                "expire",
                "lost",
                `no heartbeat from ${lease.worker} for ${at - lease.renewedAt} ms`,
                at,
            );
        }
    }

    #getSilenceLimit(): number {
        return this.#books.options.leaseTtlMs + this.#books.options.leaseGraceMs;
    }

    #renewWorker(worker: WorkerState, at: number): void {
        if (!worker.alive) {
            worker.alive = true;
            this.#books.isDirty = true;
        }
        worker.lastHeartbeatAt = at;
    }

    #renewLease(lease: LeaseRecord, at: number): void {
        lease.state = getNextState(leaseChart, lease.state, "renew", NO_GUARDS);
        lease.renewedAt = at;
    }

    #findLiveLease(id: LeaseId, epoch: number): LeaseRecord | undefined {
        const lease = this.#books.leases.get(id);
        const isLive = lease?.epoch === epoch && !leaseChart.finalStates.has(lease.state);
        return isLive ? lease : undefined;
    }

    #closeDeclined(lease: LeaseRecord, reason: string, at: number): void {
        this.#books.counters.declines += 1;
        this.#lifecycle.closeLease(
            lease,
            "decline",
            "declined",
            `worker ${lease.worker} declined: ${reason}`,
            at,
        );
    }

    #recordWorkerResult(
        worker: WorkerState,
        request: RequestRecord,
        report: TaskReport,
        at: number,
    ): void {
        if (report === "completed") {
            worker.failuresInARow = 0;
        }
        if (report !== "failed") {
            return;
        }
        worker.failuresInARow += 1;
        if (worker.failuresInARow >= this.#books.options.quarantineAfter) {
            worker.quarantinedUntil = at + this.#books.options.quarantineMs;
            this.#books.recordFate(
                request,
                at,
                "quarantine",
                `worker ${worker.instance.id} failed ${worker.failuresInARow} in a row`,
            );
        }
    }
}
