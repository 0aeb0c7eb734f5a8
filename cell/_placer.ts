/**
 * Placing queued work: precedence order, quotas, preemption, and the refusal of what can never
 * run. The choice of workers itself is in `scheduler/`.
 *
 * @example
 * ```ts
 * import { Placer } from "./_placer.ts";
 * new Placer(books, lifecycle).placeQueued(at);
 * ```
 *
 * @module
 */

import { getKindRule, type KindRule } from "../rules/mod.ts";
import {
    isEverFeasible,
    placeTask,
    planPreemption,
    type PlacementAsk,
    type Victim,
    type WorkerState,
} from "../scheduler/mod.ts";
import type { Books } from "./_books.ts";
import type { Lifecycle } from "./_lifecycle.ts";
import type { RequestRecord, RequestSpec } from "./types.ts";

/** Places queued requests. */
export class Placer {
    readonly #books: Books;
    readonly #lifecycle: Lifecycle;

    /**
     * @param books The cell's books.
     * @param lifecycle Moves requests and leases.
     */
    constructor(books: Books, lifecycle: Lifecycle) {
        this.#books = books;
        this.#lifecycle = lifecycle;
    }

    /**
     * Places queued requests in precedence order, and ends those past their wait.
     *
     * @param at The time in ms.
     */
    placeQueued(at: number): void {
        this.#books.isDirty = false;
        const blocked = new Set<string>();
        let budget = this.#books.options.maxPlacementsPerTick;
        for (const { precedence, requests } of this.#books.queue.listBuckets()) {
            for (const request of requests) {
                if (budget <= 0) {
                    this.#books.isDirty = true;
                    return;
                }
                if (this.#checkDeadline(request, at)) {
                    continue;
                }
                const { spec } = request;
                const shape = `${spec.service}|${spec.kind}|${JSON.stringify(spec.demand)}|${spec.count}`;
                if (blocked.has(shape)) {
                    continue;
                }
                budget -= 1;
                if (!this.#placeRequest(request, precedence, at)) {
                    blocked.add(shape);
                }
            }
        }
        this.#books.queue.removeEnded();
    }

    #checkDeadline(request: RequestRecord, at: number): boolean {
        // The wait is for the first start: a request that started and was preempted or lost its
        // worker keeps its place in the queue.
        const { maxWaitMs } = request.spec;
        if (
            maxWaitMs <= 0 ||
            request.startedAt !== undefined ||
            at - request.acceptedAt <= maxWaitMs
        ) {
            return false;
        }
        const reason = `not started within ${request.spec.maxWaitMs} ms`;
        if (request.mayHaveStarted) {
            this.#lifecycle.applyRequestEvent(
                request,
                "give_up",
                at,
                `${reason}; an earlier attempt may have run`,
            );
        } else {
            this.#lifecycle.applyRequestEvent(request, "refuse", at, reason);
        }
        return true;
    }

    #placeRequest(request: RequestRecord, precedence: number, at: number): boolean {
        const { rule } = this.#books.getPolicy(request);
        const ask = this.#createAsk(request, rule);
        const quota = this.#books.getQuotaCores(request.spec.customer);
        if (quota !== undefined) {
            const used = this.#books.customerCores.get(request.spec.customer) ?? 0;
            if (used + request.spec.demand.cores * request.spec.count > quota + 1e-9) {
                // No figures that change: each new text is a line of the time line, and a request
                // that waited for its quota for seconds had hundreds of them.
                this.#recordBlocked(
                    request,
                    at,
                    `quota of ${request.spec.customer}: ${quota} cores here, not enough left`,
                );
                return true;
            }
        }
        const chosen = placeTask(this.#books.workerList, ask, at);
        if (chosen !== undefined) {
            this.#lifecycle.grantAll(request, chosen, at);
            return true;
        }
        if (request.spec.count === 1) {
            this.#startPreemption(request, ask, precedence, at);
        }
        this.#recordBlocked(request, at, "no worker has room now");
        return false;
    }

    #startPreemption(
        request: RequestRecord,
        ask: PlacementAsk,
        precedence: number,
        at: number,
    ): void {
        const plan = planPreemption(
            this.#books.workerList,
            ask,
            precedence,
            (w) => this.#listVictims(w),
            at,
        );
        if (plan === undefined) {
            return;
        }
        for (const leaseId of plan.victims) {
            const lease = this.#books.leases.get(leaseId);
            if (lease === undefined) {
                continue;
            }
            const victim = this.#books.getRequest(lease.request);
            victim.stopping = "preempt";
            this.#books.recordFate(
                victim,
                at,
                "preempt",
                `stopped for ${request.id} (${request.spec.kind})`,
            );
            this.#lifecycle.stopLeases(victim, "checkpoint");
            this.#books.counters.preemptions += 1;
        }
        this.#books.recordFate(
            request,
            at,
            "preempting",
            `${plan.victims.length} task(s) on ${plan.worker.instance.id}`,
        );
    }

    #listVictims(worker: WorkerState): Victim[] {
        const victims: Victim[] = [];
        for (const leaseId of worker.leases) {
            const lease = this.#books.leases.get(leaseId);
            if (lease === undefined || lease.stopSent) {
                continue;
            }
            const request = this.#books.getRequest(lease.request);
            const { kindClass } = this.#books.getPolicy(request);
            if (
                !kindClass.preemptible ||
                !this.#books.isRetryable(request) ||
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

    #recordBlocked(request: RequestRecord, at: number, why: string): void {
        if (request.blockedBy !== why) {
            request.blockedBy = why;
            this.#books.recordFate(request, at, "waiting", why);
        }
    }

    /**
     * Finds why a request can never run.
     *
     * @param spec The request.
     * @returns The reason, or `undefined` when it may run.
     */
    findRefusal(spec: RequestSpec): string | undefined {
        const rule = getKindRule(this.#books.rules, spec.kind);
        if (rule === undefined) {
            return `no rule names kind "${spec.kind}"`;
        }
        if (!this.#books.inventory.services.some((s) => s.id === spec.service)) {
            return `no service "${spec.service}" in the inventory`;
        }
        const quota = this.#books.getQuotaCores(spec.customer);
        if (quota !== undefined && spec.demand.cores * spec.count > quota + 1e-9) {
            return `asks ${spec.demand.cores * spec.count} cores; the quota of ${spec.customer} is ${quota}${this.#books.options.quotaShare < 1 ? " here (this zone's share)" : ""}`;
        }
        const ask = this.#createAsk(undefined, rule, spec);
        const lists = [this.#books.workerList, ...this.#books.options.elsewhere];
        if (!lists.some((workers) => isEverFeasible(workers, ask))) {
            return `no instance of ${spec.service} could ever hold ${spec.count} x ${JSON.stringify(spec.demand)}`;
        }
        return undefined;
    }

    #createAsk(
        request: RequestRecord | undefined,
        rule: KindRule,
        spec = request?.spec,
    ): PlacementAsk {
        const s = spec as RequestSpec;
        return { demand: s.demand, service: s.service, placement: rule.placement, count: s.count };
    }
}
