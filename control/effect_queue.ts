/**
 * Executes a leader's committed effects in small batches per turn of the event loop, urgent ones
 * first, so that a backlog doesn't delay incoming calls. Placement pauses while the queue is full.
 *
 * @example
 * ```ts
 * import { EffectQueue } from "./effect_queue.ts";
 * const queue = new EffectQueue({ run: (effect) => send(effect), onDrained: () => placeTasks() });
 * queue.add(effects);
 * ```
 *
 * @module
 */

import type { Effect } from "../dispatch/mod.ts";

/** Options of {@link EffectQueue}. */
export interface EffectQueueOptions {
    /** Starts an effect without waiting for its result. */
    readonly run: (effect: Effect) => void;
    /** Whether an effect can be skipped because it would have no result; by default none is. */
    readonly isRedundant?: (effect: Effect) => boolean;
    /** Called when the queue has drained to the low watermark after it was full. */
    readonly onDrained: () => void;
    /**
     * Schedules a task for the next turn of the event loop, or after a pause in ms; replaced in
     * tests.
     */
    readonly schedule?: (task: () => void, pauseMs: number) => void;
    /** Returns the time of a monotonic clock, in ms. */
    readonly getNow?: () => number;
}

/**
 * The maximum number of orders and advice calls per turn of the event loop: less than 10 ms of
 * work, even in a process that has just started.
 */
const EFFECTS_PER_TURN = 16;
/**
 * The maximum number of polls per burst, and the time between bursts in ms. Spreads the polls of a
 * new leader, which polls all workers.
 */
const POLLS_PER_BURST = 16;
const POLL_BURST_INTERVAL_MS = 25;
/**
 * The queue counts as full from this many waiting orders and advice calls on: some tens of ms of a
 * busy leader's work.
 */
const HIGH_WATERMARK = 128;
/** A full queue counts as drained again at this size. */
const LOW_WATERMARK = 32;

/** A queue of effects with priorities and flow control. */
export class EffectQueue {
    readonly #options: EffectQueueOptions;
    readonly #getNow: () => number;
    readonly #urgent: Effect[] = [];
    readonly #normal: Effect[] = [];
    readonly #polls: Effect[] = [];
    /** The keys of the effects in {@link EffectQueue.#polls}. */
    readonly #pollKeys = new Set<string>();
    #nextPollBurstAtMs = Number.NEGATIVE_INFINITY;
    #isTurnScheduled = false;
    #wasFull = false;
    #isStopped = false;

    /**
     * @param options How effects are executed; see {@link EffectQueueOptions}.
     */
    constructor(options: EffectQueueOptions) {
        this.#options = options;
        this.#getNow = options.getNow ?? (() => performance.now());
    }

    /** The number of waiting orders and advice calls, without polls. */
    get size(): number {
        return this.#urgent.length + this.#normal.length;
    }

    /**
     * Returns whether the queue is full, so that placement should pause.
     *
     * @returns True if full; {@link EffectQueueOptions.onDrained} is called after it has drained.
     */
    isFull(): boolean {
        const isFull = this.size >= HIGH_WATERMARK;
        this.#wasFull ||= isFull;
        return isFull;
    }

    /**
     * Adds effects whose facts are committed. Redundant ones are skipped so that they don't delay
     * polls: also a poll while the same one waits, since it is prepared when its turn comes.
     *
     * @param effects The effects.
     */
    add(effects: readonly Effect[]): void {
        for (const effect of effects) {
            const pollKey = createPollKey(effect);
            const isWaiting = pollKey !== undefined && this.#pollKeys.has(pollKey);
            if (isWaiting || this.#options.isRedundant?.(effect) === true) {
                continue;
            }
            if (pollKey !== undefined) {
                this.#pollKeys.add(pollKey);
            }
            this.#selectQueue(effect).push(effect);
        }
        this.#scheduleTurn();
    }

    /** Stops executing effects. */
    stop(): void {
        this.#isStopped = true;
    }

    /**
     * Selects the urgent queue for advice calls, acknowledgements and orders of the highest
     * priority.
     */
    #selectQueue(effect: Effect): Effect[] {
        switch (effect.type) {
            case "advise":
            case "acknowledge":
                return this.#urgent;
            case "start":
            case "stop":
            case "pace":
                return effect.member.priority === 0 ? this.#urgent : this.#normal;
            case "watch":
            case "look":
                return this.#polls;
        }
    }

    #scheduleTurn(): void {
        const isIdle = this.size === 0 && this.#polls.length === 0;
        if (this.#isTurnScheduled || this.#isStopped || isIdle) {
            return;
        }
        this.#isTurnScheduled = true;
        const pauseMs = this.size > 0 ? 0 : this.#nextPollBurstAtMs - this.#getNow();
        const schedule = this.#options.schedule ?? scheduleTurn;
        schedule(() => this.#runTurn(), Math.max(0, pauseMs));
    }

    #runTurn(): void {
        this.#isTurnScheduled = false;
        this.#runBatch([this.#urgent, this.#normal], EFFECTS_PER_TURN);
        if (this.#getNow() >= this.#nextPollBurstAtMs) {
            const count = this.#runBatch([this.#polls], POLLS_PER_BURST);
            this.#nextPollBurstAtMs =
                this.#getNow() + (count >= POLLS_PER_BURST ? POLL_BURST_INTERVAL_MS : 0);
        }
        if (this.#wasFull && this.size <= LOW_WATERMARK && !this.#isStopped) {
            this.#wasFull = false;
            this.#options.onDrained();
        }
        this.#scheduleTurn();
    }

    /**
     * Executes effects. The starts of a gang are executed together, also beyond the limit: members
     * that start seconds apart would wait for each other in vain.
     *
     * @returns The number of effects that were executed.
     */
    #runBatch(queues: readonly Effect[][], maxCount: number): number {
        let count = 0;
        while (count < maxCount) {
            const queue = queues.find(({ length }) => length > 0);
            const effect = queue?.shift();
            if (queue === undefined || effect === undefined || this.#isStopped) {
                break;
            }
            this.#pollKeys.delete(createPollKey(effect) ?? "");
            this.#options.run(effect);
            count += 1;
            while (isSameAttempt(effect, queue[0])) {
                this.#options.run(queue.shift() as Effect);
                count += 1;
            }
        }
        return count;
    }
}

/** Creates the key of a poll; `undefined` for other effects. */
function createPollKey(effect: Effect): string | undefined {
    return effect.type === "watch" || effect.type === "look"
        ? `${effect.type} ${effect.worker}`
        : undefined;
}

function isSameAttempt(effect: Effect, next: Effect | undefined): boolean {
    return (
        effect.type === "start" &&
        next?.type === "start" &&
        effect.member.unit === next.member.unit &&
        effect.member.attempt === next.member.attempt
    );
}

function scheduleTurn(task: () => void, pauseMs: number): void {
    if (pauseMs > 0) {
        setTimeout(task, pauseMs);
    } else {
        setImmediate(task);
    }
}
