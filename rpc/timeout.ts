/**
 * Timeouts that are fair on a busy event loop. The pattern: a loop that is late runs its timers before
 * it reads what has arrived, so answers that came in time count as missing. Each of them is then asked
 * for again, which makes the loop later still.
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
 * Starts a timeout that takes effect only after everything that has arrived by then was read: the
 * event loop reads between its timers and its immediates.
 *
 * @param timeoutMs How long to wait, in ms.
 * @param onTimeout Called once, unless it was cancelled before.
 * @returns Cancels the timeout.
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
