/**
 * Callers that wait for a request's end at this instance.
 *
 * @example
 * ```ts
 * import { EndWaiters } from "./completion_waiters.ts";
 * const waiters = new EndWaiters();
 * await waiters.wait(request, 5_000, () => isFinal(request));
 * ```
 *
 * @module
 */

import type { RequestId } from "../inventory/mod.ts";

/** Waiting callers, by request. */
export class CompletionWaiters {
    readonly #waitersByRequest = new Map<RequestId, Set<() => void>>();

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
            const waiters = this.#waitersByRequest.get(request) ?? new Set();
            const wake = (): void => {
                clearTimeout(timer);
                waiters.delete(wake);
                if (waiters.size === 0) {
                    this.#waitersByRequest.delete(request);
                }
                resolve();
            };
            const timer = setTimeout(wake, timeoutMs);
            waiters.add(wake);
            this.#waitersByRequest.set(request, waiters);
        });
    }

    /**
     * Wakes those that wait for a request.
     *
     * @param request The request.
     */
    wake(request: RequestId): void {
        for (const wake of [...(this.#waitersByRequest.get(request) ?? [])]) {
            wake();
        }
    }

    /** Wakes everybody: the instance shuts down. */
    wakeAll(): void {
        for (const request of [...this.#waitersByRequest.keys()]) {
            this.wake(request);
        }
    }
}
