/**
 * Waits for the log to be applied up to an index, without a command of the state machine.
 *
 * @example
 * ```ts
 * import { Barriers } from "./_apply_waiters.ts";
 * const barriers = new Barriers();
 * const passed = barriers.add(17);
 * barriers.release(17);
 * ```
 *
 * @module
 */

interface Waiter {
    readonly index: number;
    readonly resolve: () => void;
}

/** Those who wait for indexes. */
export class ApplyWaiters {
    #waiters: Waiter[] = [];

    /**
     * Waits for an index.
     *
     * @param index The index.
     * @returns Once it is applied, or the lead is over.
     */
    waitFor(index: number): Promise<void> {
        return new Promise((resolve) => this.#waiters.push({ index, resolve }));
    }

    /**
     * Lets those go on whose index is applied.
     *
     * @param appliedIndex The last applied index; infinity when the lead is over.
     */
    resolveUpTo(appliedIndex: number): void {
        const due = this.#waiters.filter(({ index }) => index <= appliedIndex);
        this.#waiters = this.#waiters.filter(({ index }) => index > appliedIndex);
        due.forEach(({ resolve }) => resolve());
    }
}
