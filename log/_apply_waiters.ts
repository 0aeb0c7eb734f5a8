/**
 * Tracks callers that wait until the log is applied up to an index.
 *
 * @example
 * ```ts
 * import { ApplyWaiters } from "./_apply_waiters.ts";
 * const waiters = new ApplyWaiters();
 * const applied = waiters.waitFor(17);
 * waiters.resolveUpTo(17);
 * await applied;
 * ```
 *
 * @module
 */

interface Waiter {
    readonly index: number;
    readonly resolve: () => void;
}

/** Holds a promise for each caller that waits for a log index to be applied. */
export class ApplyWaiters {
    #waiters: Waiter[] = [];

    /**
     * Waits until an index is applied or leadership ends.
     *
     * @param index The log index.
     * @returns Resolves in both cases; the caller checks which one it was.
     */
    waitFor(index: number): Promise<void> {
        return new Promise((resolve) => this.#waiters.push({ index, resolve }));
    }

    /**
     * Resolves the waiters whose index is applied.
     *
     * @param appliedIndex The last applied index; infinity when leadership ended.
     */
    resolveUpTo(appliedIndex: number): void {
        const due = this.#waiters.filter(({ index }) => index <= appliedIndex);
        this.#waiters = this.#waiters.filter(({ index }) => index > appliedIndex);
        due.forEach(({ resolve }) => resolve());
    }
}
