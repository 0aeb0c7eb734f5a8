/**
 * The outcome of a caller's call at a front.
 *
 * @example
 * ```ts
 * import type { CallOutcome } from "./call_outcome.ts";
 * const outcome: CallOutcome = { type: "unreached", retryAfterMs: 1_000 };
 * ```
 *
 * @module
 */

import type { CallerAnswer } from "../control/calls.ts";

/** The outcome of a call. */
export type CallOutcome =
    | CallerAnswer
    /** No leader answered in time; the call may or may not have been executed. */
    | { readonly type: "unknown"; readonly retryAfterMs: number }
    /** No leader answered in time; the call was not executed. */
    | { readonly type: "unreached"; readonly retryAfterMs: number };
