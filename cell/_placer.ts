/**
 * Placement of queued requests: precedence order, quotas, preemption, and refusal of requests that
 * can never run. The selection of workers is in `scheduler/`.
 *
 * @example
 * ```ts
 * import { Placer } from "./_placer.ts";
 * new Placer(state, lifecycle).placeQueued(nowMs);
 * ```
 *
 * @module
 */

import { getKindRule, type KindRule } from "../rules/mod.ts";
import {
    isFeasibleOnEmptyWorkers,
    placeTasks,
    planPreemption,
    type PlacementRequirements,
    type Victim,
    type WorkerState,
} from "../scheduler/mod.ts";
import type { CellState } from "./_cell_state.ts";
import type { Lifecycle } from "./_lifecycle.ts";
import type { RequestRecord, RequestSpec } from "./types.ts";

/** Places queued requests on workers. */
export class Placer {
    readonly #state: CellState;
    readonly #lifecycle: Lifecycle;

    /**
     * @param state The cell's state.
     * @param lifecycle Applies state transitions to requests and leases.
     */
    constructor(state: CellState, lifecycle: Lifecycle) {
        this.#state = state;
        this.#lifecycle = lifecycle;
    }

    /**
     * Places queued requests in precedence order, and ends those past their maximum wait.
     *
     * @param nowMs The current time in ms.
     */
    placeQueued(nowMs: number): void {
        this.#state.isPlacementDue = false;
        const blockedShapes = new Set<string>();
        let remainingPlacements = this.#state.options.maxPlacementsPerTick;
        for (const { precedence, requests } of this.#state.queue.listBuckets()) {
            for (const request of requests) {
                if (remainingPlacements <= 0) {
                    this.#state.isPlacementDue = true;
                    return;
                }
                if (this.#endIfOverdue(request, nowMs)) {
                    continue;
                }
                const { spec } = request;
                const shape = `${spec.service}|${spec.kind}|${JSON.stringify(spec.demand)}|${spec.count}`;
                if (blockedShapes.has(shape)) {
                    continue;
                }
                remainingPlacements -= 1;
                if (!this.#placeRequest(request, precedence, nowMs)) {
                    blockedShapes.add(shape);
                }
            }
        }
        this.#state.queue.removeNotQueued();
    }

    /** Ends a request past its maximum wait; returns whether it did. */
    #endIfOverdue(request: RequestRecord, nowMs: number): boolean {
        // The limit applies to the first start only: a request that was preempted or lost its
        // worker stays in the queue.
        const { maxWaitMs } = request.spec;
        if (
            maxWaitMs <= 0 ||
            request.startedAt !== undefined ||
            nowMs - request.acceptedAt <= maxWaitMs
        ) {
            return false;
        }
        const reason = `not started within ${request.spec.maxWaitMs} ms`;
        if (request.mayHaveStarted) {
            this.#lifecycle.applyRequestEvent(
                request,
                "give_up",
                nowMs,
                `${reason}; an earlier attempt may have run`,
            );
        } else {
            this.#lifecycle.applyRequestEvent(request, "refuse", nowMs, reason);
        }
        return true;
    }

    /**
     * Places a request if its quota and the workers allow it. Returns false only when no workers
     * fit it, in which case other requests of the same shape are skipped in this tick.
     */
    #placeRequest(request: RequestRecord, precedence: number, nowMs: number): boolean {
        const { rule } = this.#state.getKindPolicy(request);
        const requirements = this.#createRequirements(request, rule);
        const quotaCores = this.#state.getQuotaCores(request.spec.customer);
        if (quotaCores !== undefined) {
            const usedCores = this.#state.customerCores.get(request.spec.customer) ?? 0;
            if (usedCores + request.spec.demand.cores * request.spec.count > quotaCores + 1e-9) {
                // The text has no usage figures: each distinct text adds an event to the request's
                // history.
                this.#recordBlocked(
                    request,
                    nowMs,
                    `quota of ${request.spec.customer}: ${quotaCores} cores here, not enough left`,
                );
                return true;
            }
        }
        const workers = placeTasks(this.#state.workerList, requirements, nowMs);
        if (workers !== undefined) {
            this.#lifecycle.grantLeases(request, workers, nowMs);
            return true;
        }
        if (request.spec.count === 1) {
            this.#startPreemption(request, requirements, precedence, nowMs);
        }
        this.#recordBlocked(request, nowMs, "no worker has room now");
        return false;
    }

    #startPreemption(
        request: RequestRecord,
        requirements: PlacementRequirements,
        precedence: number,
        nowMs: number,
    ): void {
        const plan = planPreemption(
            this.#state.workerList,
            requirements,
            precedence,
            (w) => this.#listVictims(w),
            nowMs,
        );
        if (plan === undefined) {
            return;
        }
        for (const leaseId of plan.victims) {
            const lease = this.#state.leases.get(leaseId);
            if (lease === undefined) {
                continue;
            }
            const victim = this.#state.getRequest(lease.request);
            victim.stopping = "preempt";
            this.#state.recordEvent(
                victim,
                nowMs,
                "preempt",
                `stopped for ${request.id} (${request.spec.kind})`,
            );
            this.#lifecycle.stopLeases(victim, "checkpoint");
            this.#state.counters.preemptions += 1;
        }
        this.#state.recordEvent(
            request,
            nowMs,
            "preempting",
            `${plan.victims.length} task(s) on ${plan.worker.instance.id}`,
        );
    }

    #listVictims(worker: WorkerState): Victim[] {
        const victims: Victim[] = [];
        for (const leaseId of worker.leases) {
            const lease = this.#state.leases.get(leaseId);
            if (lease === undefined || lease.stopSent) {
                continue;
            }
            const request = this.#state.getRequest(lease.request);
            const { kindClass } = this.#state.getKindPolicy(request);
            if (
                !kindClass.preemptible ||
                !this.#state.isRetryable(request) ||
                request.spec.count !== 1 ||
                request.stopping !== undefined
            ) {
                continue;
            }
            victims.push({
                lease: leaseId,
                service: request.spec.service,
                held: lease.held,
                precedence: kindClass.precedence,
            });
        }
        return victims;
    }

    #recordBlocked(request: RequestRecord, nowMs: number, reason: string): void {
        if (request.blockedBy !== reason) {
            request.blockedBy = reason;
            this.#state.recordEvent(request, nowMs, "waiting", reason);
        }
    }

    /**
     * Finds the reason why a request can never run.
     *
     * @param spec The request.
     * @returns The reason, or `undefined` when it can run.
     */
    findRefusalReason(spec: RequestSpec): string | undefined {
        const rule = getKindRule(this.#state.rules, spec.kind);
        if (rule === undefined) {
            return `no rule names kind "${spec.kind}"`;
        }
        if (!this.#state.inventory.services.some((s) => s.id === spec.service)) {
            return `no service "${spec.service}" in the inventory`;
        }
        const quotaCores = this.#state.getQuotaCores(spec.customer);
        if (quotaCores !== undefined && spec.demand.cores * spec.count > quotaCores + 1e-9) {
            return `asks ${spec.demand.cores * spec.count} cores; the quota of ${spec.customer} is ${quotaCores}${this.#state.options.quotaShare < 1 ? " here (this zone's share)" : ""}`;
        }
        const requirements = this.#createRequirements(undefined, rule, spec);
        const workerGroups = [this.#state.workerList, ...this.#state.options.otherZoneWorkers];
        if (!workerGroups.some((workers) => isFeasibleOnEmptyWorkers(workers, requirements))) {
            return `no instance of ${spec.service} could ever hold ${spec.count} x ${JSON.stringify(spec.demand)}`;
        }
        return undefined;
    }

    #createRequirements(
        request: RequestRecord | undefined,
        rule: KindRule,
        spec = request?.spec,
    ): PlacementRequirements {
        const resolvedSpec = spec as RequestSpec;
        return {
            demand: resolvedSpec.demand,
            service: resolvedSpec.service,
            placement: rule.placement,
            count: resolvedSpec.count,
        };
    }
}
