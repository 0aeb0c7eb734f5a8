/**
 * Timeouts that tolerate event loop delay. A delayed event loop runs expired timers before it reads
 * from sockets, so a plain timer would time out calls whose response has already arrived.
 *
 * @example
 * ```ts
 * import { startTimeout } from "./timeout.ts";
 * const cancel = startTimeout(400, () => request.destroy());
 * ```
 *
 * @module
 */

/**
 * Starts a timeout that fires only after the event loop has read the data that arrived by then. The
 * event loop polls for I/O between its timers phase and its immediates.
 *
 * @param timeoutMs The time to wait, in ms.
 * @param onTimeout Called once on expiry, unless the timeout is cancelled first.
 * @returns A function that cancels the timeout.
 */
export function startTimeout(timeoutMs: number, onTimeout: () => void): () => void {
    let immediate: NodeJS.Immediate | undefined;
    const timer = setTimeout(() => {
        immediate = setImmediate(onTimeout);
    }, timeoutMs);
    return () => {
        clearTimeout(timer);
        clearImmediate(immediate);
    };
}
