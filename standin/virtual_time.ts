/**
 * A virtual clock for discrete-event simulation: events run in the order of their times, and
 * events of the same time in the order in which they were scheduled.
 *
 * @example
 * ```ts
 * import { VirtualTime } from "./virtual_time.ts";
 * const time = new VirtualTime();
 * time.schedule(20, () => console.log(time.now));
 * time.runFor(100);
 * ```
 *
 * @module
 */

interface ScheduledEvent {
    readonly atMs: number;
    readonly run: () => void;
}

/** A clock that advances only on request, and its queue of scheduled events. */
export class VirtualTime {
    readonly #events: ScheduledEvent[] = [];
    #now = 0;

    /** The virtual time, in ms since the start. */
    get now(): number {
        return this.#now;
    }

    /**
     * Schedules a callback.
     *
     * @param delayMs The delay from now, in ms.
     * @param run The callback.
     */
    schedule(delayMs: number, run: () => void): void {
        const event = { atMs: this.#now + delayMs, run };
        // Binary search for the position after all events of the same time.
        let [low, high] = [0, this.#events.length];
        while (low < high) {
            const middle = (low + high) >>> 1;
            const isBefore = (this.#events[middle]?.atMs ?? 0) <= event.atMs;
            [low, high] = isBefore ? [middle + 1, high] : [low, middle];
        }
        this.#events.splice(low, 0, event);
    }

    /**
     * Advances the clock and runs the events that become due.
     *
     * @param durationMs How far to advance, in ms.
     * @param onEvent Called after each event.
     */
    runFor(durationMs: number, onEvent: () => void = () => {}): void {
        const endMs = this.#now + durationMs;
        for (;;) {
            const next = this.#events[0];
            if (next === undefined || next.atMs > endMs) {
                break;
            }
            this.#events.shift();
            this.#now = Math.max(this.#now, next.atMs);
            next.run();
            onEvent();
        }
        this.#now = endMs;
    }
}
