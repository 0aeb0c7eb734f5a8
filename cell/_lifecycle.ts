/**
 * The life of requests and leases: granting, starting, stopping and ending, along the edges of
 * the state charts.
 *
 * @example
 * ```ts
 * import { Lifecycle } from "./_lifecycle.ts";
 * const lifecycle = new Lifecycle(books);
 * lifecycle.grantAll(request, workers, at);
 * ```
 *
 * @module
 */

import { getNextState, loadChart } from "../chart/mod.ts";
import { createId, NO_RESOURCES, type LeaseId } from "../inventory/mod.ts";
import type { WorkerState } from "../scheduler/mod.ts";
import type { CellState } from "./_cell_state.ts";
import type { LeaseRecord, RequestRecord, TaskOutcome } from "./types.ts";

/** The life of a request. */
export const requestChart = loadChart(new URL("../request/request_chart.yaml", import.meta.url));
/** The life of a lease. */
export const leaseChart = loadChart(new URL("../lease/lease_chart.yaml", import.meta.url));

/** For charts without guards. */
export const NO_GUARDS: ReadonlySet<string> = new Set();
const RETRYABLE: ReadonlySet<string> = new Set(["retryable"]);
const AT_MOST_ONCE: ReadonlySet<string> = new Set(["at_most_once"]);

/** Moves requests and leases through their lives. */
export class Lifecycle {
    readonly #state: CellState;

    /**
     * @param state The cell's books.
     */
    constructor(state: CellState) {
        this.#state = state;
    }

    /**
     * Leases every task of a request.
     *
     * @param request The request.
     * @param workers A worker per task.
     * @param nowMs The time in ms.
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
     * Moves a request on once each of its tasks runs.
     *
     * @param request The request.
     * @param nowMs The time in ms.
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
     * Ends a lease, frees what it held, and moves its request once none of its leases is live.
     * A request goes back to the queue only after every lease of its last attempt has ended
     * (released, declined, or expired past the grace): so no task runs in two places at once.
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
     * Asks the workers to stop what is live of a request.
     *
     * @param request The request.
     * @param mode "checkpoint" saves progress first.
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
     * Sends again what the leader before this one may not have sent: every offer not yet
     * answered and every stop not yet confirmed. A worker answers a repeated offer as it
     * answered the first, so an offer whose fate is unknown is asked about, never guessed.
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
     * Moves a request along its chart.
     *
     * @param request The request.
     * @param event The chart's event.
     * @param nowMs The time in ms.
     * @param reason In words, for the time line and the answer.
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
        // A service that ran well for long and lost its worker is not out of attempts.
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
