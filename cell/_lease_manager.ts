/**
 * Manages live leases: heartbeats that renew them, replies to offers, task reports, and expiry.
 *
 * @example
 * ```ts
 * import { LeaseManager } from "./_lease_manager.ts";
 * const leases = new LeaseManager(state, lifecycle);
 * leases.handleHeartbeat(instance, held, nowMs);
 * leases.expireLeases(nowMs);
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
import type { CellState } from "./_cell_state.ts";
import { leaseChart, NO_GUARDS, type Lifecycle } from "./_lifecycle.ts";
import type { HeldLease, LeaseRecord, RequestRecord, TaskReport } from "./types.ts";

/** Manages the leases of one cell. */
export class LeaseManager {
    readonly #state: CellState;
    readonly #lifecycle: Lifecycle;

    /**
     * @param state The cell's state.
     * @param lifecycle Applies the end of a lease to its request.
     */
    constructor(state: CellState, lifecycle: Lifecycle) {
        this.#state = state;
        this.#lifecycle = lifecycle;
    }

    /**
     * Processes a heartbeat: renews the listed leases and updates their reported usage. A listed
     * lease that is unknown or has ended is stopped, so that no duplicate task keeps running.
     *
     * @param instance The worker's instance.
     * @param held The leases that the worker holds, with their usage.
     * @param nowMs The current time in ms.
     */
    handleHeartbeat(instance: InstanceId, held: readonly HeldLease[], nowMs: number): void {
        const worker = this.#state.workers.get(instance);
        if (worker === undefined) {
            return;
        }
        this.#renewWorker(worker, nowMs);
        for (const heldLease of held) {
            const lease = this.#findLiveLease(heldLease.lease, heldLease.epoch);
            if (lease === undefined) {
                this.#state.emitEffect({
                    type: "stop",
                    address: worker.address ?? "",
                    instance,
                    incarnation: worker.incarnation,
                    lease: heldLease.lease,
                    epoch: heldLease.epoch,
                    mode: "stop",
                });
                continue;
            }
            this.#renewLease(lease, nowMs);
            if (heldLease.usage !== undefined) {
                lease.reported = heldLease.usage;
                this.#state.setHeldResources(
                    worker,
                    lease,
                    getMaxResources(lease.declared, heldLease.usage),
                );
            }
        }
    }

    /**
     * Returns whether a heartbeat lists exactly the live leases of its worker, with no usage above
     * the declared demand. The shorter `renew` input is then equivalent to the heartbeat.
     *
     * @param instance The worker's instance.
     * @param held The leases that the worker holds.
     * @returns True when a `renew` input suffices.
     */
    isRenewal(instance: InstanceId, held: readonly HeldLease[]): boolean {
        const worker = this.#state.workers.get(instance);
        return (
            worker !== undefined &&
            worker.leases.size === held.length &&
            held.every((heldLease) => {
                const lease = this.#findLiveLease(heldLease.lease, heldLease.epoch);
                return (
                    lease?.worker === instance &&
                    !lease.stopSent &&
                    isFitting(lease.held, lease.declared) &&
                    isFitting(heldLease.usage ?? NO_RESOURCES, lease.declared)
                );
            })
        );
    }

    /**
     * Lists the leases that a worker must stop: those that have ended here, and those that are
     * still running after a stop was sent, since that message may have been lost.
     *
     * @param held The leases that the worker holds.
     * @returns The leases to stop.
     */
    listLeasesToStop(held: readonly HeldLease[]): LeaseId[] {
        return held
            .filter(
                (heldLease) =>
                    this.#findLiveLease(heldLease.lease, heldLease.epoch)?.stopSent !== false,
            )
            .map((heldLease) => heldLease.lease);
    }

    /**
     * Renews workers and all of their live leases.
     *
     * @param instances The workers' instances.
     * @param nowMs The current time in ms.
     */
    renewWorkers(instances: readonly InstanceId[], nowMs: number): void {
        for (const instance of instances) {
            const worker = this.#state.workers.get(instance);
            if (worker === undefined) {
                continue;
            }
            this.#renewWorker(worker, nowMs);
            for (const id of worker.leases) {
                const lease = this.#state.leases.get(id);
                if (lease !== undefined) {
                    this.#renewLease(lease, nowMs);
                }
            }
        }
    }

    /**
     * Processes a worker's reply to a lease offer.
     *
     * @param id The lease.
     * @param accepted Whether the worker accepted it.
     * @param reason The worker's reason for declining.
     * @param nowMs The current time in ms.
     */
    handleGrantReply(id: LeaseId, accepted: boolean, reason: string, nowMs: number): void {
        const lease = this.#state.leases.get(id);
        if (lease === undefined || lease.state !== leaseChart.initial) {
            return;
        }
        if (accepted) {
            lease.state = getNextState(leaseChart, lease.state, "accept", NO_GUARDS);
            lease.renewedAt = nowMs;
            return;
        }
        this.#closeDeclined(lease, reason, nowMs);
    }

    /**
     * Processes a worker's report on a task.
     *
     * @param id The lease.
     * @param epoch The lease's epoch according to the worker; reports with a stale epoch are
     * ignored.
     * @param report The reported state.
     * @param detail The worker's description.
     * @param nowMs The current time in ms.
     */
    handleReport(
        id: LeaseId,
        epoch: number,
        report: TaskReport,
        detail: string,
        nowMs: number,
    ): void {
        const lease = this.#findLiveLease(id, epoch);
        const request = lease === undefined ? undefined : this.#state.getRequest(lease.request);
        const task = request?.tasks.find((t) => t.id === lease?.task);
        if (lease === undefined || request === undefined || task === undefined) {
            return;
        }
        if (report === "declined") {
            if (lease.state === leaseChart.initial) {
                this.#closeDeclined(lease, detail, nowMs);
            }
            return;
        }
        if (report === "started") {
            if (lease.state === leaseChart.initial) {
                lease.state = getNextState(leaseChart, lease.state, "accept", NO_GUARDS);
            }
            lease.renewedAt = nowMs;
            task.state = "running";
            this.#lifecycle.handleTaskStarted(request, nowMs);
            return;
        }
        this.#recordWorkerResult(this.#state.getWorker(lease.worker), request, report, nowMs);
        this.#lifecycle.closeLease(lease, "release", report, detail, nowMs);
    }

    /**
     * Returns whether a worker or a lease has timed out.
     *
     * @param nowMs The current time in ms.
     * @returns True when {@link LeaseManager.expireLeases} would change something.
     */
    hasExpired(nowMs: number): boolean {
        const timeoutMs = this.#getTimeoutMs();
        return (
            this.#state.workerList.some((w) => w.alive && nowMs - w.lastHeartbeatAt > timeoutMs) ||
            this.#hasExpiredLease(nowMs - timeoutMs)
        );
    }

    #hasExpiredLease(renewedBeforeMs: number): boolean {
        for (const id of this.#state.liveLeases) {
            if ((this.#state.leases.get(id)?.renewedAt ?? renewedBeforeMs) < renewedBeforeMs) {
                return true;
            }
        }
        return false;
    }

    /**
     * Marks workers without recent heartbeats as dead and expires leases that were not renewed.
     *
     * @param nowMs The current time in ms.
     */
    expireLeases(nowMs: number): void {
        const timeoutMs = this.#getTimeoutMs();
        for (const worker of this.#state.workerList) {
            if (worker.alive && nowMs - worker.lastHeartbeatAt > timeoutMs) {
                worker.alive = false;
            }
        }
        // Iterates over the set itself to avoid copying it on every tick. Closing a lease removes
        // it, and possibly others of the same request, from the set.
        for (const id of this.#state.liveLeases) {
            const lease = this.#state.leases.get(id);
            if (lease === undefined || nowMs - lease.renewedAt <= timeoutMs) {
                continue;
            }
            this.#state.counters.expiries += 1;
            this.#lifecycle.closeLease(
                lease,
                "expire",
                "lost",
                `no heartbeat from ${lease.worker} for ${nowMs - lease.renewedAt} ms`,
                nowMs,
            );
        }
    }

    #getTimeoutMs(): number {
        return this.#state.options.leaseTtlMs + this.#state.options.leaseGraceMs;
    }

    #renewWorker(worker: WorkerState, nowMs: number): void {
        if (!worker.alive) {
            worker.alive = true;
            this.#state.isPlacementDue = true;
        }
        worker.lastHeartbeatAt = nowMs;
    }

    #renewLease(lease: LeaseRecord, nowMs: number): void {
        lease.state = getNextState(leaseChart, lease.state, "renew", NO_GUARDS);
        lease.renewedAt = nowMs;
    }

    #findLiveLease(id: LeaseId, epoch: number): LeaseRecord | undefined {
        const lease = this.#state.leases.get(id);
        const isLive = lease?.epoch === epoch && !leaseChart.finalStates.has(lease.state);
        return isLive ? lease : undefined;
    }

    #closeDeclined(lease: LeaseRecord, reason: string, nowMs: number): void {
        this.#state.counters.declines += 1;
        this.#lifecycle.closeLease(
            lease,
            "decline",
            "declined",
            `worker ${lease.worker} declined: ${reason}`,
            nowMs,
        );
    }

    #recordWorkerResult(
        worker: WorkerState,
        request: RequestRecord,
        report: TaskReport,
        nowMs: number,
    ): void {
        if (report === "completed") {
            worker.failuresInARow = 0;
        }
        if (report !== "failed") {
            return;
        }
        worker.failuresInARow += 1;
        if (worker.failuresInARow >= this.#state.options.quarantineAfterFailures) {
            worker.quarantinedUntil = nowMs + this.#state.options.quarantineMs;
            this.#state.recordEvent(
                request,
                nowMs,
                "quarantine",
                `worker ${worker.instance.id} failed ${worker.failuresInARow} in a row`,
            );
        }
    }
}
