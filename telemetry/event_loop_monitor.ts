/**
 * Notices turns of the event loop that hold everything else up. A process that decides for 0.3 s in one turn
 * answers nobody meanwhile and sends no heartbeat: from outside it looks dead, from inside nothing shows but
 * this.
 *
 * @example
 * ```ts
 * import { LoopWatch } from "./event_loop_monitor.ts";
 * const watch = new LoopWatch({ onHeld: (heldMs) => log.warn("event loop held", { heldMs }) });
 * watch.start();
 * ```
 *
 * @module
 */

/** Options of {@link EventLoopMonitor}. */
export interface EventLoopMonitorOptions {
    /** Takes the length of a long turn, in ms. */
    readonly onBlocked: (heldMs: number) => void;
    readonly getNow?: () => number;
}

/** How often the loop is asked to turn, in ms: half of what is told of. */
const PROBE_INTERVAL_MS = 50;
/** Turns from this length on are told of, in ms: two heartbeats of a leader. */
const MIN_BLOCKED_MS = 100;

/** Watches this process's event loop. */
export class EventLoopMonitor {
    readonly #options: EventLoopMonitorOptions;
    readonly #getNow: () => number;
    #dueAtMs = 0;
    #timer: NodeJS.Timeout | undefined;

    /**
     * @param options Where to tell it.
     */
    constructor(options: EventLoopMonitorOptions) {
        this.#options = options;
        this.#getNow = options.getNow ?? (() => performance.now());
    }

    /** Starts watching; it does not keep the process alive. */
    start(): void {
        this.#dueAtMs = this.#getNow() + PROBE_INTERVAL_MS;
        this.#timer = setInterval(() => this.checkDelay(), PROBE_INTERVAL_MS);
        this.#timer.unref();
    }

    /** Stops watching. */
    stop(): void {
        clearInterval(this.#timer);
    }

    /** Compares the time with when this turn was due. */
    checkDelay(): void {
        const nowMs = this.#getNow();
        const blockedMs = nowMs - this.#dueAtMs;
        this.#dueAtMs = nowMs + PROBE_INTERVAL_MS;
        if (blockedMs >= MIN_BLOCKED_MS) {
            this.#options.onBlocked(blockedMs);
        }
    }
}
