/**
 * The queue of calls to the advice service: which call goes next, over which front instance.
 *
 * @example
 * ```ts
 * import { AdviceDesk } from "./advice_desk.ts";
 * const desk = new AdviceDesk();
 * desk.setLanes(["front-1" as LaneId]);
 * desk.addCall(call, now);
 * const started = desk.takeCalls(now);
 * ```
 *
 * @module
 */

import type { QueueName } from "../configuration/mod.ts";
import { planLanes, type LaneDemand } from "./lane_plan.ts";
import type { AdviceCall, LaneId, StepKey } from "./types.ts";

/** A call this short may follow another on a lane before that one is answered, in ms. */
const SHORT_CALL_MS = 60;
/** Calls under way on one lane when they are short: hides the way between the instances. */
const SHORT_CALLS_PER_LANE = 2;
/** Time constant of the measured load, in ms: several bursts, so that lanes seldom change hands. */
const LOAD_WINDOW_MS = 10_000;
/** Time between two plans, in ms. */
const PLAN_EVERY_MS = 2_000;
/**
 * Load of the most urgent queues counts this many times: at a third of its lanes' time a call
 * waits for less than half of another one.
 */
const URGENT_WEIGHT = 2.5;
/** A lane whose call got no answer is left alone this long, in ms. */
const FAILED_LANE_PAUSE_MS = 1_500;

interface Lane {
    readonly id: LaneId;
    readonly calls: Set<number>;
    pausedUntil: number;
}

interface QueueLoad {
    /** Decayed sum of calls' lengths, in ms. */
    sumMs: number;
    at: number;
    callMs: number;
    priority: number;
}

interface WaitingCall {
    readonly call: AdviceCall;
    readonly addedAt: number;
}

interface StartedCall extends WaitingCall {
    readonly lane: Lane;
    readonly startedAt: number;
}

/** What a call's time went to. */
export interface CallTimes {
    /** Time until a lane was free, in ms. */
    readonly queuedMs: number;
    /** Time from there to the answer, in ms. */
    readonly tookMs: number;
}

/** Calls that wait and calls under way. */
export class AdviceDesk {
    readonly #lanes = new Map<LaneId, Lane>();
    readonly #waiting = new Map<number, WaitingCall>();
    readonly #started = new Map<number, StartedCall>();
    readonly #loads = new Map<QueueName, QueueLoad>();
    #plan = new Map<QueueName, LaneId[]>();
    #plannedAt = Number.NEGATIVE_INFINITY;

    /**
     * Sets the front instances that can call.
     *
     * @param ids The instances that are there now.
     */
    setLanes(ids: readonly LaneId[]): void {
        for (const id of this.#lanes.keys()) {
            if (!ids.includes(id)) {
                this.#lanes.delete(id);
                this.#plannedAt = Number.NEGATIVE_INFINITY;
            }
        }
        for (const id of ids) {
            if (!this.#lanes.has(id)) {
                this.#lanes.set(id, { id, calls: new Set(), pausedUntil: 0 });
                this.#plannedAt = Number.NEGATIVE_INFINITY;
            }
        }
    }

    /**
     * Adds a call.
     *
     * @param call The call.
     * @param priority Its queue's priority.
     * @param now Our clock, in ms.
     */
    addCall(call: AdviceCall, priority: number, now: number): void {
        this.#waiting.set(call.id, { call, addedAt: now });
        const load = this.#loads.get(call.queue) ?? { sumMs: 0, at: now, callMs: 0, priority };
        load.callMs = computeCallMs(call);
        load.sumMs = decayLoad(load, now) + load.callMs;
        load.at = now;
        load.priority = priority;
        if (!this.#loads.has(call.queue)) {
            this.#loads.set(call.queue, load);
            this.#plannedAt = Number.NEGATIVE_INFINITY;
        }
    }

    /**
     * Withdraws a step's calls that still wait.
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
     * Starts as many calls as the lanes take now, by rank within each queue.
     *
     * @param now Our clock, in ms.
     * @returns The calls to make, with their lanes.
     */
    takeCalls(now: number): { readonly lane: LaneId; readonly call: AdviceCall }[] {
        if (this.#waiting.size === 0 || this.#lanes.size === 0) {
            return [];
        }
        this.#updatePlan(now);
        const waiting = [...this.#waiting.values()].sort((a, b) => a.call.rank - b.call.rank);
        const started: { lane: LaneId; call: AdviceCall }[] = [];
        for (const { call, addedAt } of waiting) {
            const lane = this.#findLane(call, now);
            if (lane !== undefined) {
                this.#waiting.delete(call.id);
                lane.calls.add(call.id);
                this.#started.set(call.id, { call, addedAt, lane, startedAt: now });
                started.push({ lane: lane.id, call });
            }
        }
        return started;
    }

    /**
     * Ends a call; its lane is free for the next.
     *
     * @param id The call.
     * @param hasAnswer Whether the service answered; otherwise the lane is left alone for a while.
     * @param now Our clock, in ms.
     * @returns Where its time went; `undefined` when it was not under way.
     */
    endCall(id: number, hasAnswer: boolean, now: number): CallTimes | undefined {
        const started = this.#started.get(id);
        if (started === undefined) {
            return undefined;
        }
        this.#started.delete(id);
        started.lane.calls.delete(id);
        if (!hasAnswer) {
            started.lane.pausedUntil = now + FAILED_LANE_PAUSE_MS;
        }
        return {
            queuedMs: Math.round(started.startedAt - started.addedAt),
            tookMs: Math.round(now - started.startedAt),
        };
    }

    #findLane(call: AdviceCall, now: number): Lane | undefined {
        const own = this.#plan.get(call.queue) ?? [];
        const callMs = computeCallMs(call);
        const limit = callMs <= SHORT_CALL_MS ? SHORT_CALLS_PER_LANE : 1;
        const lane = this.#findIdlest(own, limit, now);
        if (lane !== undefined) {
            return lane;
        }
        // A short call may use an idle lane of a slower queue, never the other way round: the
        // slow call would hold up the short ones that the lane is kept for.
        for (const [queue, lanes] of this.#plan) {
            const ownerMs = this.#loads.get(queue)?.callMs ?? 0;
            const borrowed = ownerMs >= callMs ? this.#findIdlest(lanes, 1, now) : undefined;
            if (borrowed !== undefined) {
                return borrowed;
            }
        }
        return undefined;
    }

    #findIdlest(ids: readonly LaneId[], limit: number, now: number): Lane | undefined {
        let best: Lane | undefined;
        for (const id of ids) {
            const lane = this.#lanes.get(id);
            const isFree = lane !== undefined && lane.pausedUntil <= now && lane.calls.size < limit;
            if (isFree && lane.calls.size < (best?.calls.size ?? limit)) {
                best = lane;
            }
        }
        return best;
    }

    #updatePlan(now: number): void {
        if (now - this.#plannedAt < PLAN_EVERY_MS) {
            return;
        }
        this.#plannedAt = now;
        const urgent = Math.min(...[...this.#loads.values()].map((load) => load.priority));
        const demands: LaneDemand[] = [...this.#loads]
            .sort(([a], [b]) => (a < b ? -1 : 1))
            .map(([queue, load]) => ({
                queue,
                // Before anything was measured the length of a call stands in for its load.
                load:
                    (decayLoad(load, now) / LOAD_WINDOW_MS + load.callMs / LOAD_WINDOW_MS) *
                    (load.priority === urgent ? URGENT_WEIGHT : 1),
            }));
        this.#plan = planLanes([...this.#lanes.keys()].sort(), demands);
    }
}

/**
 * Gives how long the service takes for a call.
 *
 * @param call The call.
 * @returns Ms.
 */
export function computeCallMs(call: Pick<AdviceCall, "policy" | "workers">): number {
    return call.policy.decideMs + call.policy.perWorkerMs * call.workers.length;
}

function decayLoad(load: QueueLoad, now: number): number {
    return load.sumMs * Math.exp(-(now - load.at) / LOAD_WINDOW_MS);
}
