/**
 * In which order, and how fast, a leader carries out what it has decided. The pattern: after an outage
 * hundreds of workers answer at once and a backlog of thousands of tasks finds room. Every order that is sent
 * brings an answer to read; sent as soon as they are decided they fill the event loop for seconds, and the
 * calls of callers, heartbeats and greetings wait behind them until their senders give up and come again,
 * which makes it later still. So a few effects leave in each turn of the event loop, urgent ones
 * first, and nothing more is decided while many still wait: what is decided late is decided on what is
 * true then, and its tickets are fresh.
 *
 * @example
 * ```ts
 * import { EffectQueue } from "./effect_queue.ts";
 * const queue = new EffectQueue({ run: (effect) => send(effect), onDrained: () => place() });
 * queue.add(effects);
 * ```
 *
 * @module
 */

import type { Effect } from "../dispatch/mod.ts";

/** Options of {@link EffectQueue}. */
export interface EffectQueueOptions {
    /** Carries an effect out; returns once it is on its way. */
    readonly run: (effect: Effect) => void;
    /** Whether an effect would change nothing any more; none by default. */
    readonly isRedundant?: (effect: Effect) => boolean;
    /** Told when few effects are left after many. */
    readonly onDrained: () => void;
    /** Has something done in the next turn of the event loop, or after a pause in ms; replaced in tests. */
    readonly schedule?: (task: () => void, pauseMs: number) => void;
    readonly getNow?: () => number;
}

/** Orders and calls of one turn of the event loop: below 10 ms, also in a process that just started. */
const EFFECTS_PER_TURN = 16;
/** Looks at once, and the pause after them, in ms: a new leader looks at hundreds of workers, and each answers. */
const POLLS_PER_BURST = 16;
const POLL_BURST_INTERVAL_MS = 25;
/** With so many orders waiting nothing more is decided: some ten ms of a busy leader's work. */
const HIGH_WATERMARK = 128;
/** From so few on more is decided again. */
const LOW_WATERMARK = 32;

/** Effects on their way. */
export class EffectQueue {
    readonly #options: EffectQueueOptions;
    readonly #getNow: () => number;
    readonly #urgent: Effect[] = [];
    readonly #normal: Effect[] = [];
    readonly #polls: Effect[] = [];
    #nextPollBurstAtMs = Number.NEGATIVE_INFINITY;
    #isTurnScheduled = false;
    #wasFull = false;
    #isStopped = false;

    /**
     * @param options How effects are carried out; see {@link EffectQueueOptions}.
     */
    constructor(options: EffectQueueOptions) {
        this.#options = options;
        this.#getNow = options.getNow ?? (() => performance.now());
    }

    /** Orders and calls that wait; looks at workers are not among them. */
    get size(): number {
        return this.#urgent.length + this.#normal.length;
    }

    /**
     * Tells whether so many wait that nothing more should be decided.
     *
     * @returns True when {@link EffectQueueOptions.onDrained} will tell that there is room again.
     */
    isFull(): boolean {
        const isFull = this.size >= HIGH_WATERMARK;
        this.#wasFull ||= isFull;
        return isFull;
    }

    /**
     * Adds effects whose facts are agreed on. Each start has its worker watched, which nearly always is watched
     * already: kept, such effects would use up the turns of the looks that are needed.
     *
     * @param effects The effects.
     */
    add(effects: readonly Effect[]): void {
        effects
            .filter((effect) => this.#options.isRedundant?.(effect) !== true)
            .forEach((effect) => this.#selectQueue(effect).push(effect));
        this.#scheduleTurn();
    }

    /** Carries nothing out any more. */
    stop(): void {
        this.#isStopped = true;
    }

    /**
     * What callers wait for most goes first: advice calls, which only a front's turn limits, and the most urgent
     * queue's tasks.
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
                this.#getNow() + (count === POLLS_PER_BURST ? POLL_BURST_INTERVAL_MS : 0);
        }
        if (this.#wasFull && this.size <= LOW_WATERMARK && !this.#isStopped) {
            this.#wasFull = false;
            this.#options.onDrained();
        }
        this.#scheduleTurn();
    }

    /** @returns How many were carried out. */
    #runBatch(queues: readonly Effect[][], maxCount: number): number {
        for (let count = 0; count < maxCount; count++) {
            const effect = queues.find(({ length }) => length > 0)?.shift();
            if (effect === undefined || this.#isStopped) {
                return count;
            }
            this.#options.run(effect);
        }
        return maxCount;
    }
}

function scheduleTurn(task: () => void, pauseMs: number): void {
    if (pauseMs > 0) {
        setTimeout(task, pauseMs);
    } else {
        setImmediate(task);
    }
}
