/**
 * Detects when the event loop is blocked. A blocked process answers no calls and sends no
 * heartbeats, so that others may take it for dead.
 *
 * @example
 * ```ts
 * import { EventLoopMonitor } from "./event_loop_monitor.ts";
 * const monitor = new EventLoopMonitor({
 *     onBlocked: (blockedMs) => log.warn(`event loop blocked for ${blockedMs} ms`),
 * });
 * monitor.start();
 * ```
 *
 * @module
 */

/** Options of {@link EventLoopMonitor}. */
export interface EventLoopMonitorOptions {
    /** Called with how long the event loop was blocked, in ms. */
    readonly onBlocked: (blockedMs: number) => void;
    readonly getNow?: () => number;
}

/** Interval of the timer whose delay is checked; at most half of `MIN_BLOCKED_MS`. */
const PROBE_INTERVAL_MS = 50;
/** The least delay that is reported: twice a leader's shortest heartbeat interval. */
const MIN_BLOCKED_MS = 100;

/** Monitors the event loop of this process. */
export class EventLoopMonitor {
    readonly #options: EventLoopMonitorOptions;
    readonly #getNow: () => number;
    #dueAtMs = 0;
    #timer: NodeJS.Timeout | undefined;
    #longestDelayMs = 0;

    /**
     * @param options The callback and the clock.
     */
    constructor(options: EventLoopMonitorOptions) {
        this.#options = options;
        this.#getNow = options.getNow ?? (() => performance.now());
    }

    /** Starts monitoring, without keeping the process alive. */
    start(): void {
        this.#dueAtMs = this.#getNow() + PROBE_INTERVAL_MS;
        this.#timer = setInterval(() => this.checkDelay(), PROBE_INTERVAL_MS);
        this.#timer.unref();
    }

    /** Stops monitoring. */
    stop(): void {
        clearInterval(this.#timer);
    }

    /**
     * Takes the longest delay of the event loop since the last call, including one in progress.
     *
     * @returns The delay, in ms.
     */
    takeLongestDelayMs(): number {
        const delayMs = Math.max(this.#longestDelayMs, this.#getNow() - this.#dueAtMs, 0);
        this.#longestDelayMs = 0;
        return delayMs;
    }

    /** Reports the event loop as blocked if the timer fired too late. */
    checkDelay(): void {
        const nowMs = this.#getNow();
        const blockedMs = nowMs - this.#dueAtMs;
        this.#dueAtMs = nowMs + PROBE_INTERVAL_MS;
        this.#longestDelayMs = Math.max(this.#longestDelayMs, blockedMs);
        if (blockedMs >= MIN_BLOCKED_MS) {
            this.#options.onBlocked(blockedMs);
        }
    }
}
