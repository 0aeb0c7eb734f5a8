/**
 * Tracks the calls on this instance that wait for a request to become final.
 *
 * @example
 * ```ts
 * import { CompletionWaiters } from "./completion_waiters.ts";
 * const waiters = new CompletionWaiters();
 * await waiters.wait(request, 5_000, () => isFinal(request));
 * ```
 *
 * @module
 */

import type { RequestId } from "../inventory/mod.ts";

/** Pending waits, by request. */
export class CompletionWaiters {
    readonly #waitersByRequest = new Map<RequestId, Set<() => void>>();

    /**
     * Waits until the request is final, the timeout elapses, or all waits are woken.
     *
     * @param request The request.
     * @param timeoutMs The maximum wait, in ms.
     * @param isFinal Returns whether the request is already final.
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
     * Wakes the waits for one request.
     *
     * @param request The request.
     */
    wake(request: RequestId): void {
        for (const wake of [...(this.#waitersByRequest.get(request) ?? [])]) {
            wake();
        }
    }

    /** Wakes all waits, for shutdown. */
    wakeAll(): void {
        for (const request of [...this.#waitersByRequest.keys()]) {
            this.wake(request);
        }
    }
}
