/**
 * State transitions of requests and leases: grant, start, stop and end, as the state charts define
 * them.
 *
 * @example
 * ```ts
 * import { Lifecycle } from "./_lifecycle.ts";
 * const lifecycle = new Lifecycle(state);
 * lifecycle.grantLeases(request, workers, nowMs);
 * ```
 *
 * @module
 */

import { getNextState, loadChart } from "../chart/mod.ts";
import { createId, NO_RESOURCES, type LeaseId } from "../inventory/mod.ts";
import type { WorkerState } from "../scheduler/mod.ts";
import type { CellState } from "./_cell_state.ts";
import type { LeaseRecord, RequestRecord, TaskOutcome } from "./types.ts";

/** The state chart of a request. */
export const requestChart = loadChart(new URL("../request/request_chart.yaml", import.meta.url));
/** The state chart of a lease. */
export const leaseChart = loadChart(new URL("../lease/lease_chart.yaml", import.meta.url));

/** No guards, for charts whose transitions have none. */
export const NO_GUARDS: ReadonlySet<string> = new Set();
const RETRYABLE: ReadonlySet<string> = new Set(["retryable"]);
const AT_MOST_ONCE: ReadonlySet<string> = new Set(["at_most_once"]);

/** Applies state transitions to requests and leases. */
export class Lifecycle {
    readonly #state: CellState;

    /**
     * @param state The cell's state.
     */
    constructor(state: CellState) {
        this.#state = state;
    }

    /**
     * Grants a lease for every task of a request.
     *
     * @param request The request.
     * @param workers One worker per task.
     * @param nowMs The current time in ms.
     */
    grantLeases(request: RequestRecord, workers: readonly WorkerState[], nowMs: number): void {
        request.trouble = undefined;
        request.troubleDetail = "";
        request.blockedBy = undefined;
        request.tasks.forEach((task, i) => {
            const worker = workers[i] as WorkerState;
            const epoch = this.#state.nextEpoch++;
            const lease: LeaseRecord = {
                id: createId<LeaseId>(`${this.#state.options.idPrefix}l${epoch}`),
                task: task.id,
                request: request.id,
                worker: worker.instance.id,
                incarnation: worker.incarnation,
                epoch,
                state: leaseChart.initial,
                grantedAt: nowMs,
                renewedAt: nowMs,
                declared: request.spec.demand,
                reported: undefined,
                held: NO_RESOURCES,
                stopSent: false,
            };
            this.#state.leases.set(lease.id, lease);
            this.#state.liveLeases.add(lease.id);
            worker.leases.add(lease.id);
            worker.slotsUsed.set(
                request.spec.service,
                (worker.slotsUsed.get(request.spec.service) ?? 0) + 1,
            );
            this.#state.setHeldResources(worker, lease, request.spec.demand);
            this.#state.addCustomerCores(request.spec.customer, request.spec.demand.cores);
            task.state = "offered";
            task.lease = lease.id;
            task.outcome = undefined;
            this.#state.counters.placements += 1;
            this.#emitGrant(request, lease);
        });
        request.attempts += 1;
        request.mayHaveStarted = true;
        const instanceIds = [...new Set(workers.map((w) => w.instance.id))].join(",");
        this.applyRequestEvent(request, "grant", nowMs, `leased on ${instanceIds}`);
    }

    /**
     * Marks a request as started once all of its tasks run or have ended.
     *
     * @param request The request.
     * @param nowMs The current time in ms.
     */
    handleTaskStarted(request: RequestRecord, nowMs: number): void {
        if (!request.tasks.every((t) => t.state === "running" || t.state === "ended")) {
            return;
        }
        if (request.state === "leased") {
            request.started = true;
            request.startedAt ??= nowMs;
            request.attemptStartedAt = nowMs;
            this.applyRequestEvent(request, "start", nowMs, "started");
            const rule = this.#state.getKindPolicy(request).rule;
            this.#state.emitEffect({
                type: "started",
                request: request.id,
                className: rule.className,
                waitMs: nowMs - request.acceptedAt,
            });
        } else if (request.state === "cancelling") {
            request.started = true;
        }
    }

    /**
     * Ends a lease and releases its resources. Once every lease of the request's current attempt
     * has ended (released, declined, or expired after the grace period), the attempt is closed too;
     * only then can the request be queued again, so that no task runs twice at the same time.
     *
     * @param lease The lease.
     * @param event The lease chart's event.
     * @param outcome The outcome of the lease's task.
     * @param detail A description for the event history.
     * @param nowMs The current time in ms.
     */
    closeLease(
        lease: LeaseRecord,
        event: string,
        outcome: TaskOutcome,
        detail: string,
        nowMs: number,
    ): void {
        lease.state = getNextState(leaseChart, lease.state, event, NO_GUARDS);
        const worker = this.#state.getWorker(lease.worker);
        this.#state.setHeldResources(worker, lease, NO_RESOURCES);
        worker.leases.delete(lease.id);
        this.#state.liveLeases.delete(lease.id);
        this.#state.isPlacementDue = true;
        const request = this.#state.getRequest(lease.request);
        worker.slotsUsed.set(
            request.spec.service,
            (worker.slotsUsed.get(request.spec.service) ?? 1) - 1,
        );
        this.#state.addCustomerCores(request.spec.customer, -request.spec.demand.cores);
        const task = request.tasks.find((t) => t.id === lease.task);
        if (task !== undefined) {
            task.state = "ended";
            task.outcome = outcome;
        }
        if (outcome !== "completed" && request.trouble === undefined) {
            request.trouble = outcome;
            request.troubleDetail = detail;
        }
        if (outcome === "completed" || outcome === "stopped") {
            this.#state.recordEvent(
                request,
                nowMs,
                `task ${outcome}`,
                `${lease.task} on ${lease.worker}`,
            );
        } else {
            this.#state.recordEvent(request, nowMs, `task ${outcome}`, detail);
        }
        if (
            request.trouble !== undefined &&
            request.stopping === undefined &&
            request.tasks.some((t) => t.state !== "ended")
        ) {
            request.stopping = "trouble";
            this.stopLeases(request, "stop");
        }
        if (request.tasks.every((t) => t.state === "ended")) {
            this.#closeAttempt(request, nowMs);
        }
    }

    /**
     * Emits a stop for each live lease of a request, unless one was emitted already.
     *
     * @param request The request.
     * @param mode "checkpoint" saves progress before stopping.
     */
    stopLeases(request: RequestRecord, mode: "stop" | "checkpoint"): void {
        for (const task of request.tasks) {
            const lease = task.lease === undefined ? undefined : this.#state.leases.get(task.lease);
            if (lease === undefined || leaseChart.finalStates.has(lease.state) || lease.stopSent) {
                continue;
            }
            lease.stopSent = true;
            this.#emitStop(lease, mode);
        }
    }

    /**
     * Emits every unacknowledged offer and stop again, since the previous leader may not have sent
     * them. A worker gives the same reply to a repeated offer, so resending is idempotent.
     */
    emitUnacknowledged(): void {
        for (const id of this.#state.liveLeases) {
            const lease = this.#state.leases.get(id);
            if (lease === undefined) {
                continue;
            }
            if (lease.stopSent) {
                this.#emitStop(lease, "stop");
            } else if (lease.state === leaseChart.initial) {
                this.#emitGrant(this.#state.getRequest(lease.request), lease);
            }
        }
    }

    #emitGrant(request: RequestRecord, lease: LeaseRecord): void {
        this.#state.emitEffect({
            type: "grant",
            address: this.#state.getWorker(lease.worker).address ?? "",
            lease: {
                lease: lease.id,
                task: lease.task,
                request: request.id,
                instance: lease.worker,
                incarnation: lease.incarnation,
                epoch: lease.epoch,
                demand: request.spec.demand,
                ttlMs: this.#state.options.leaseTtlMs,
                work: request.spec.work,
            },
        });
    }

    #emitStop(lease: LeaseRecord, mode: "stop" | "checkpoint"): void {
        this.#state.emitEffect({
            type: "stop",
            address: this.#state.getWorker(lease.worker).address ?? "",
            instance: lease.worker,
            incarnation: lease.incarnation,
            lease: lease.id,
            epoch: lease.epoch,
            mode,
        });
    }

    /**
     * Applies an event of the request chart to a request.
     *
     * @param request The request.
     * @param event The chart's event.
     * @param nowMs The current time in ms.
     * @param reason A description for the event history and the request's status.
     */
    applyRequestEvent(request: RequestRecord, event: string, nowMs: number, reason: string): void {
        const guards = this.#state.isRetryable(request) ? RETRYABLE : AT_MOST_ONCE;
        const previousState = request.state;
        request.state = getNextState(requestChart, request.state, event, guards);
        if (event === "decline" && request.trouble === "declined" && request.state === "queued") {
            request.attempts = Math.max(0, request.attempts - 1);
        }
        this.#state.recordEvent(
            request,
            nowMs,
            event,
            `${previousState} -> ${request.state}: ${reason}`,
        );
        if (requestChart.finalStates.has(request.state)) {
            request.endedAt = nowMs;
            request.reason = reason;
            this.#state.recordEnd(request);
            if (request.state === "refused") {
                this.#state.counters.refusals += 1;
            }
            this.#state.emitEffect({ type: "final", request: request.id, state: request.state });
        }
    }

    #closeAttempt(request: RequestRecord, nowMs: number): void {
        const allCompleted = request.tasks.every((t) => t.outcome === "completed");
        const allDeclined = request.tasks.every((t) => t.outcome === "declined");
        if (!allDeclined) {
            request.mayHaveRunBefore = true;
        }
        request.mayHaveStarted = request.mayHaveRunBefore;
        // A long run resets the attempt counter: a service that ran for long and then lost its
        // worker is retried.
        const ranForMs = nowMs - (request.attemptStartedAt ?? nowMs);
        if (ranForMs >= this.#state.options.attemptResetMs) {
            request.attempts = 0;
        }
        request.attemptStartedAt = undefined;
        const stopping = request.stopping;
        request.stopping = undefined;
        let event: string;
        let reason: string;
        if (allCompleted) {
            event = "finish";
            reason = "completed";
        } else if (request.state === "cancelling") {
            event =
                request.trouble === "failed"
                    ? "fail"
                    : request.trouble === "lost"
                      ? "lose"
                      : request.trouble === "declined"
                        ? "decline"
                        : "stopped";
            reason =
                event === "stopped" || event === "decline"
                    ? request.started
                        ? "cancelled after it started"
                        : "cancelled; stopped before it started"
                    : `while cancelling: ${request.troubleDetail}`;
        } else if (
            stopping === "preempt" &&
            (request.trouble === "stopped" || request.trouble === undefined)
        ) {
            event = "preempt";
            reason = "preempted; queued again";
        } else {
            event =
                request.trouble === "declined"
                    ? "decline"
                    : request.trouble === "lost"
                      ? "lose"
                      : "fail";
            reason = request.troubleDetail;
        }
        for (const task of request.tasks) {
            task.state = "waiting";
            task.lease = undefined;
        }
        this.applyRequestEvent(request, event, nowMs, reason);
        if (request.state === "queued") {
            this.#state.addToQueue(request);
        }
    }
}
