/**
 * Notices turns of the event loop that hold everything else up. A process that decides for 0.3 s in one turn
 * answers nobody meanwhile and sends no heartbeat: from outside it looks dead, from inside nothing shows but
 * this.
 *
 * @example
 * ```ts
 * import { LoopWatch } from "./loop_watch.ts";
 * const watch = new LoopWatch({ onHeld: (heldMs) => log.warn("event loop held", { heldMs }) });
 * watch.start();
 * ```
 *
 * @module
 */

/** Options of {@link LoopWatch}. */
export interface LoopWatchOptions {
    /** Takes the length of a long turn, in ms. */
    readonly onHeld: (heldMs: number) => void;
    readonly getNow?: () => number;
}

/** How often the loop is asked to turn, in ms: half of what is told of. */
const PROBE_MS = 50;
/** Turns from this length on are told of, in ms: two heartbeats of a leader. */
const HELD_MS = 100;

/** Watches this process's event loop. */
export class LoopWatch {
    readonly #options: LoopWatchOptions;
    readonly #getNow: () => number;
    #dueAt = 0;
    #timer: NodeJS.Timeout | undefined;

    /**
     * @param options Where to tell it.
     */
    constructor(options: LoopWatchOptions) {
        this.#options = options;
        this.#getNow = options.getNow ?? (() => performance.now());
    }

    /** Starts watching; it does not keep the process alive. */
    start(): void {
        this.#dueAt = this.#getNow() + PROBE_MS;
        this.#timer = setInterval(() => this.checkTurn(), PROBE_MS);
        this.#timer.unref();
    }

    /** Stops watching. */
    stop(): void {
        clearInterval(this.#timer);
    }

    /** Compares the time with when this turn was due. */
    checkTurn(): void {
        const now = this.#getNow();
        const heldMs = now - this.#dueAt;
        this.#dueAt = now + PROBE_MS;
        if (heldMs >= HELD_MS) {
            this.#options.onHeld(heldMs);
        }
    }
}
