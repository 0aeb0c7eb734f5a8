/**
 * Bounds the size of what is handled at the same time.
 *
 * @module
 */

interface Waiter {
    readonly sizeBytes: number;
    readonly start: () => void;
}

/** Lets the smallest waiter go first as soon as there is room for it. */
export class TurnQueue {
    readonly #maxBytes: number;
    readonly #waiters = new Set<Waiter>();
    #usedBytes = 0;

    /**
     * @param maxBytes Maximum total size, in bytes; something larger takes its turn alone.
     */
    constructor(maxBytes: number) {
        this.#maxBytes = maxBytes;
    }

    /**
     * Resolves when there is room.
     *
     * @param sizeBytes The size to be used until {@link release}, in bytes.
     */
    async waitForTurn(sizeBytes: number): Promise<void> {
        if (this.#hasRoom(sizeBytes)) {
            this.#usedBytes += sizeBytes;
            return;
        }
        await new Promise<void>((start) => this.#waiters.add({ sizeBytes, start }));
    }

    /**
     * Ends a turn.
     *
     * @param sizeBytes The size given to {@link waitForTurn}, in bytes.
     */
    release(sizeBytes: number): void {
        this.#usedBytes -= sizeBytes;
        while (this.#waiters.size > 0) {
            const next = [...this.#waiters].reduce((smallest, waiter) =>
                waiter.sizeBytes < smallest.sizeBytes ? waiter : smallest,
            );
            if (!this.#hasRoom(next.sizeBytes)) {
                return;
            }
            this.#waiters.delete(next);
            this.#usedBytes += next.sizeBytes;
            next.start();
        }
    }

    #hasRoom(sizeBytes: number): boolean {
        return this.#usedBytes === 0 || this.#usedBytes + sizeBytes <= this.#maxBytes;
    }
}
