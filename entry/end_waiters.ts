/**
 * Callers that wait for a request's end at this instance.
 *
 * @example
 * ```ts
 * import { EndWaiters } from "./end_waiters.ts";
 * const waiters = new EndWaiters();
 * await waiters.wait(request, 5_000, () => isFinal(request));
 * ```
 *
 * @module
 */

import type { RequestId } from "../inventory/mod.ts";

/** Waiting callers, by request. */
export class EndWaiters {
    readonly #waiting = new Map<RequestId, Set<() => void>>();

    /**
     * Waits until a request ends, the time runs out, or everybody is woken.
     *
     * @param request The request.
     * @param timeoutMs The longest wait, in ms.
     * @param isFinal Tells whether it has ended already.
     */
    async wait(request: RequestId, timeoutMs: number, isFinal: () => boolean): Promise<void> {
        if (isFinal()) {
            return;
        }
        await new Promise<void>((resolve) => {
            const waiting = this.#waiting.get(request) ?? new Set();
            const wake = (): void => {
                clearTimeout(timer);
                waiting.delete(wake);
                if (waiting.size === 0) {
                    this.#waiting.delete(request);
                }
                resolve();
            };
            const timer = setTimeout(wake, timeoutMs);
            waiting.add(wake);
            this.#waiting.set(request, waiting);
        });
    }

    /**
     * Wakes those that wait for a request.
     *
     * @param request The request.
     */
    wake(request: RequestId): void {
        for (const wake of [...(this.#waiting.get(request) ?? [])]) {
            wake();
        }
    }

    /** Wakes everybody: the instance shuts down. */
    wakeAll(): void {
        for (const request of [...this.#waiting.keys()]) {
            this.wake(request);
        }
    }
}
