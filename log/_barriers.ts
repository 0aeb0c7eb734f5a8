/**
 * Waits for the log to be applied up to an index, without a command of the state machine.
 *
 * @example
 * ```ts
 * import { Barriers } from "./_barriers.ts";
 * const barriers = new Barriers();
 * const passed = barriers.add(17);
 * barriers.release(17);
 * ```
 *
 * @module
 */

interface Barrier {
    readonly index: number;
    readonly resolve: () => void;
}

/** Those who wait for indexes. */
export class Barriers {
    #waiting: Barrier[] = [];

    /**
     * Waits for an index.
     *
     * @param index The index.
     * @returns Once it is applied, or the lead is over.
     */
    add(index: number): Promise<void> {
        return new Promise((resolve) => this.#waiting.push({ index, resolve }));
    }

    /**
     * Lets those go on whose index is applied.
     *
     * @param appliedIndex The last applied index; infinity when the lead is over.
     */
    release(appliedIndex: number): void {
        const passed = this.#waiting.filter(({ index }) => index <= appliedIndex);
        this.#waiting = this.#waiting.filter(({ index }) => index > appliedIndex);
        passed.forEach(({ resolve }) => resolve());
    }
}
