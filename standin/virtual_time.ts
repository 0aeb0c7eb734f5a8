/**
 * Time that passes only when it is told to: events run in the order of their times, those of the same time in the
 * order in which they were scheduled.
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

interface Event {
    readonly at: number;
    readonly run: () => void;
}

/** A clock and its events. */
export class VirtualTime {
    readonly #events: Event[] = [];
    #now = 0;

    /** The time, in ms since the start. */
    get now(): number {
        return this.#now;
    }

    /**
     * Has something done later.
     *
     * @param delayMs How much later, in ms.
     * @param run What is done.
     */
    schedule(delayMs: number, run: () => void): void {
        const event = { at: this.#now + delayMs, run };
        // Behind every event of the same time: the order of scheduling is kept.
        let [low, high] = [0, this.#events.length];
        while (low < high) {
            const middle = (low + high) >>> 1;
            const isBefore = (this.#events[middle]?.at ?? 0) <= event.at;
            [low, high] = isBefore ? [middle + 1, high] : [low, middle];
        }
        this.#events.splice(low, 0, event);
    }

    /**
     * Lets time pass.
     *
     * @param ms How much, in ms.
     * @param onEvent Called after each event.
     */
    runFor(ms: number, onEvent: () => void = () => {}): void {
        const end = this.#now + ms;
        for (;;) {
            const next = this.#events[0];
            if (next === undefined || next.at > end) {
                break;
            }
            this.#events.shift();
            this.#now = Math.max(this.#now, next.at);
            next.run();
            onEvent();
        }
        this.#now = end;
    }
}
