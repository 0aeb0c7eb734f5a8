/**
 * What the parts of the dispatcher share: the state, the clocks, the books, and where facts and
 * effects are gathered.
 *
 * @example
 * ```ts
 * import { DispatchContext } from "./_context.ts";
 * const context = new DispatchContext({ ledger, clock, firstFence: 1_000_000 });
 * context.emit({ type: "look", worker });
 * ```
 *
 * @module
 */

import type { QueueConfig, QueueName } from "../configuration/mod.ts";
import type { Fact, StateStore } from "../job/mod.ts";
import { AdviceScheduler } from "./advice_scheduler.ts";
import { AdmissionRates } from "./advice_plan.ts";
import { ReadySteps } from "./ready_steps.ts";
import type { DispatchClock, DispatchLimits, Effect, Outcome, RecordDecision } from "./types.ts";
import { WorkerRegistry, type WorkerState } from "./worker_registry.ts";

/** Options of {@link DispatchContext}. */
export interface DispatchContextOptions {
    /** The state to decide on; facts are applied to it at once. */
    readonly ledger: StateStore;
    readonly clock: DispatchClock;
    /** Above every fence of earlier leaders. */
    readonly firstFence: number;
    readonly limits?: Partial<DispatchLimits>;
    /** Takes a line about each decision. */
    readonly record?: RecordDecision;
}

/** Default times and limits. */
export const DEFAULT_DISPATCH_LIMITS: DispatchLimits = {
    // Work goes on through the cuts and outages that last longest but end (6.5 s, and up to 1.5 s since
    // the last renewal). A dead worker's tasks wait that long only if nothing new answers at its
    // address before.
    leaseMs: 8_500,
    // Twice the time for which a state must stay readable.
    retentionMs: 240_000,
    // A look that is lost is noticed after this and a little more; a third of a lease.
    pollWaitMs: 1_500,
    // A smaller room binds three seconds and a heartbeat after it came; a second is left for the way of the
    // heartbeat, the commit and the order.
    maxReportAgeMs: 3_500,
};

/** Shared state of one leader's decisions. */
export class DispatchContext {
    readonly ledger: StateStore;
    readonly clock: DispatchClock;
    readonly limits: DispatchLimits;
    readonly book: WorkerRegistry;
    readonly board: ReadySteps;
    readonly adviceScheduler = new AdviceScheduler();
    readonly admissionRates = new AdmissionRates();
    readonly recordDecision: RecordDecision;
    /** Something changed that may let a waiting unit be placed. */
    isDirty = true;
    #facts: Fact[] = [];
    #effects: Effect[] = [];

    /**
     * @param options State, clocks, first fence; see {@link DispatchContextOptions}.
     */
    constructor(options: DispatchContextOptions) {
        this.ledger = options.ledger;
        this.clock = options.clock;
        this.limits = { ...DEFAULT_DISPATCH_LIMITS, ...options.limits };
        this.recordDecision = options.record ?? (() => {});
        this.book = new WorkerRegistry({
            firstFence: options.firstFence,
            leaseMs: this.limits.leaseMs,
            maxReportAgeMs: this.limits.maxReportAgeMs,
        });
        this.board = new ReadySteps({ ledger: this.ledger, clock: this.clock });
    }

    /**
     * Decides on a fact: it is applied here at once and agreed on later.
     *
     * @param fact The fact.
     */
    recordFact(fact: Fact): void {
        this.#facts.push(fact);
        this.ledger.apply({ at: this.clock.getWallTime(), facts: [fact] });
    }

    /**
     * Notes that a worker got room or became usable.
     *
     * @param worker The worker; `undefined` when it is gone already.
     */
    recordFreedCapacity(worker: WorkerState | undefined): void {
        if (worker !== undefined) {
            this.book.recordCapacityGain(worker);
        }
        this.isDirty = true;
    }

    /**
     * Asks for effects once the facts so far are agreed on.
     *
     * @param effects The effects.
     */
    emit(...effects: readonly Effect[]): void {
        this.#effects.push(...effects);
    }

    /** Takes what was decided since the last call. */
    takeOutcome(): Outcome {
        const outcome = { facts: this.#facts, effects: this.#effects };
        this.#facts = [];
        this.#effects = [];
        return outcome;
    }

    /**
     * Finds a queue, also one that was removed while jobs of it go on.
     *
     * @param name The queue.
     * @returns Its newest settings, or `undefined` when it was never known.
     */
    findQueue(name: QueueName): QueueConfig | undefined {
        return this.ledger.queues.get(name);
    }
}
