/**
 * Schedules calls to the advice service over the front instances that can make them.
 *
 * @example
 * ```ts
 * import { AdviceScheduler } from "./advice_scheduler.ts";
 * const scheduler = new AdviceScheduler();
 * scheduler.setFronts(["front-1" as FrontId]);
 * scheduler.addCall(call, priority, now);
 * const started = scheduler.startCalls(now);
 * ```
 *
 * @module
 */

import type { QueueName } from "../configuration/mod.ts";
import { assignFronts, type QueueDemand } from "./front_assignment.ts";
import type { AdviceCall, FrontId, StepKey } from "./types.ts";

/** Longest duration of a call that may be pipelined on a front, in ms. */
const MAX_SHORT_CALL_MS = 60;
/** Maximum number of concurrent short calls on one front; hides the network latency. */
const MAX_SHORT_CALLS_PER_FRONT = 2;
/**
 * Time constant of the load average, in ms. It spans several bursts, so that fronts are seldom
 * reassigned.
 */
const LOAD_TIME_CONSTANT_MS = 10_000;
/** Time between two assignments of fronts to queues, in ms. */
const ASSIGNMENT_INTERVAL_MS = 2_000;
/**
 * Weight of the load of the most urgent queues. It keeps their fronts busy for about a third of the
 * time, so that a call waits less than half of another call's duration.
 */
const URGENT_LOAD_WEIGHT = 2.5;
/** Backoff of a front after a failed call, in ms. */
const FAILED_FRONT_BACKOFF_MS = 1_500;

interface FrontState {
    readonly id: FrontId;
    readonly calls: Set<number>;
    pausedUntilMs: number;
}

interface QueueLoad {
    /** Exponentially decayed sum of call durations, in ms. */
    decayedCallMs: number;
    updatedAtMs: number;
    lastCallMs: number;
    priority: number;
}

interface WaitingCall {
    readonly call: AdviceCall;
    readonly addedAtMs: number;
}

interface StartedCall extends WaitingCall {
    readonly front: FrontState;
    readonly startedAtMs: number;
}

/** Queueing and service time of a call. */
export interface CallTimes {
    /** Time until a front was free, in ms. */
    readonly queuedMs: number;
    /** Time from the start of the call to its answer, in ms. */
    readonly tookMs: number;
}

/** Queues advice calls and assigns them to fronts. */
export class AdviceScheduler {
    readonly #fronts = new Map<FrontId, FrontState>();
    readonly #waiting = new Map<number, WaitingCall>();
    readonly #started = new Map<number, StartedCall>();
    readonly #loads = new Map<QueueName, QueueLoad>();
    #assignment = new Map<QueueName, FrontId[]>();
    #assignedAtMs = Number.NEGATIVE_INFINITY;

    /**
     * Sets the front instances that can make calls.
     *
     * @param ids The available instances.
     */
    setFronts(ids: readonly FrontId[]): void {
        for (const id of this.#fronts.keys()) {
            if (!ids.includes(id)) {
                this.#fronts.delete(id);
                this.#assignedAtMs = Number.NEGATIVE_INFINITY;
            }
        }
        for (const id of ids) {
            if (!this.#fronts.has(id)) {
                this.#fronts.set(id, { id, calls: new Set(), pausedUntilMs: 0 });
                this.#assignedAtMs = Number.NEGATIVE_INFINITY;
            }
        }
    }

    /**
     * Adds a call to the queue.
     *
     * @param call The call.
     * @param priority The priority of the call's queue.
     * @param now The current monotonic time, in ms.
     */
    addCall(call: AdviceCall, priority: number, now: number): void {
        this.#waiting.set(call.id, { call, addedAtMs: now });
        const load = this.#loads.get(call.queue) ?? {
            decayedCallMs: 0,
            updatedAtMs: now,
            lastCallMs: 0,
            priority,
        };
        load.lastCallMs = computeCallMs(call);
        load.decayedCallMs = decayLoad(load, now) + load.lastCallMs;
        load.updatedAtMs = now;
        load.priority = priority;
        if (!this.#loads.has(call.queue)) {
            this.#loads.set(call.queue, load);
            this.#assignedAtMs = Number.NEGATIVE_INFINITY;
        }
    }

    /**
     * Removes the waiting calls of a step.
     *
     * @param step The step.
     */
    removeCalls(step: StepKey): void {
        for (const [id, { call }] of this.#waiting) {
            if (call.step === step) {
                this.#waiting.delete(id);
            }
        }
    }

    /**
     * Starts the waiting calls for which a front is free, in order of rank.
     *
     * @param now The current monotonic time, in ms.
     * @returns The started calls with their fronts.
     */
    startCalls(now: number): { readonly front: FrontId; readonly call: AdviceCall }[] {
        if (this.#waiting.size === 0 || this.#fronts.size === 0) {
            return [];
        }
        this.#updateAssignment(now);
        const waiting = [...this.#waiting.values()].sort((a, b) => a.call.rank - b.call.rank);
        const started: { front: FrontId; call: AdviceCall }[] = [];
        for (const { call, addedAtMs } of waiting) {
            const front = this.#findFront(call, now);
            if (front !== undefined) {
                this.#waiting.delete(call.id);
                front.calls.add(call.id);
                this.#started.set(call.id, {
                    call,
                    addedAtMs,
                    front,
                    startedAtMs: now,
                });
                started.push({ front: front.id, call });
            }
        }
        return started;
    }

    /**
     * Ends a call and frees its front.
     *
     * @param id The call.
     * @param hasAnswer Whether the service answered; if not, the front backs off.
     * @param now The current monotonic time, in ms.
     * @returns The times of the call; `undefined` if it was not running.
     */
    endCall(id: number, hasAnswer: boolean, now: number): CallTimes | undefined {
        const started = this.#started.get(id);
        if (started === undefined) {
            return undefined;
        }
        this.#started.delete(id);
        started.front.calls.delete(id);
        if (!hasAnswer) {
            started.front.pausedUntilMs = now + FAILED_FRONT_BACKOFF_MS;
        }
        return {
            queuedMs: Math.round(started.startedAtMs - started.addedAtMs),
            tookMs: Math.round(now - started.startedAtMs),
        };
    }

    #findFront(call: AdviceCall, now: number): FrontState | undefined {
        const assignedFronts = this.#assignment.get(call.queue) ?? [];
        const callMs = computeCallMs(call);
        const maxCalls = callMs <= MAX_SHORT_CALL_MS ? MAX_SHORT_CALLS_PER_FRONT : 1;
        const front = this.#findLeastLoadedFront(assignedFronts, maxCalls, now);
        if (front !== undefined) {
            return front;
        }
        // A call may borrow an idle front of a queue with longer calls. The reverse would block
        // short calls behind a long one.
        for (const [queue, fronts] of this.#assignment) {
            const ownerCallMs = this.#loads.get(queue)?.lastCallMs ?? 0;
            const borrowed =
                ownerCallMs >= callMs ? this.#findLeastLoadedFront(fronts, 1, now) : undefined;
            if (borrowed !== undefined) {
                return borrowed;
            }
        }
        return undefined;
    }

    #findLeastLoadedFront(
        ids: readonly FrontId[],
        maxCalls: number,
        now: number,
    ): FrontState | undefined {
        let leastLoaded: FrontState | undefined;
        for (const id of ids) {
            const front = this.#fronts.get(id);
            const isFree =
                front !== undefined && front.pausedUntilMs <= now && front.calls.size < maxCalls;
            if (isFree && front.calls.size < (leastLoaded?.calls.size ?? maxCalls)) {
                leastLoaded = front;
            }
        }
        return leastLoaded;
    }

    #updateAssignment(now: number): void {
        if (now - this.#assignedAtMs < ASSIGNMENT_INTERVAL_MS) {
            return;
        }
        this.#assignedAtMs = now;
        const mostUrgentPriority = Math.min(
            ...[...this.#loads.values()].map((load) => load.priority),
        );
        const demands: QueueDemand[] = [...this.#loads]
            .sort(([a], [b]) => (a < b ? -1 : 1))
            .map(([queue, load]) => ({
                queue,
                // The duration of one call is added so that the load of an idle queue does not
                // decay to zero.
                load:
                    (decayLoad(load, now) / LOAD_TIME_CONSTANT_MS +
                        load.lastCallMs / LOAD_TIME_CONSTANT_MS) *
                    (load.priority === mostUrgentPriority ? URGENT_LOAD_WEIGHT : 1),
            }));
        this.#assignment = assignFronts([...this.#fronts.keys()].sort(), demands);
    }
}

/**
 * Computes the expected duration of a call from its queue's advice policy.
 *
 * @param call The call.
 * @returns The duration, in ms.
 */
export function computeCallMs(call: Pick<AdviceCall, "policy" | "workers">): number {
    return call.policy.decideMs + call.policy.perWorkerMs * call.workers.length;
}

function decayLoad(load: QueueLoad, now: number): number {
    return load.decayedCallMs * Math.exp(-(now - load.updatedAtMs) / LOAD_TIME_CONSTANT_MS);
}
