/**
 * The errors that callers, operators and workers get from an entry instance, by code.
 *
 * @example
 * ```ts
 * import { createNoLeaderError } from "./errors.ts";
 * throw createNoLeaderError(group, "not_accepted");
 * ```
 *
 * @module
 */

import { NotLeaderError, OutcomeUnknownError, type GroupId } from "../log/mod.ts";
import type { EntryId } from "../membership/mod.ts";
import { MethodError } from "../rpc/mod.ts";

/** The instance is shutting down: send to another entry instance. */
export const SHUTTING_DOWN_CODE = -32001;
/** An idempotency key was reused for another request. */
export const KEY_CONFLICT_CODE = -32002;
/** No such request. */
export const NOT_FOUND_CODE = -32004;
/** The group that must decide has no leader within reach: come back after `retryAfterMs`. */
export const NO_LEADER_CODE = -32005;
/** This instance does not lead the worker's group; `leader` may name the one that does. */
export const NOT_LEADER_CODE = -32007;

const RETRY_AFTER_MS = 500;

/** What {@link NO_LEADER_CODE} and {@link NOT_LEADER_CODE} carry for the caller's program. */
export interface NoLeaderData {
    /**
     * `not_accepted`: the call took no effect and never will. `unknown`: it may have; a resend
     * with the same key finds out and never runs the work twice.
     */
    readonly outcome: "not_accepted" | "unknown";
    /** When to come back, in ms. */
    readonly retryAfterMs: number;
    /** The leader, where known. */
    readonly leader: EntryId | undefined;
}

/**
 * Creates the error for a call whose group has no leader within reach. It is given at once:
 * the caller is told when to come back, never kept waiting until its deadline.
 *
 * @param group The group.
 * @param outcome Whether the call may have taken effect.
 * @param leader The leader, where known.
 * @returns The error.
 */
export function createNoLeaderError(
    group: GroupId,
    outcome: NoLeaderData["outcome"],
    leader?: EntryId,
): MethodError {
    const data: NoLeaderData = { outcome, retryAfterMs: RETRY_AFTER_MS, leader };
    const advice =
        outcome === "not_accepted"
            ? "not accepted; send it again later"
            : "it may have been accepted; send it again with the same key to find out";
    return new MethodError(`${group} has no leader within reach: ${advice}`, NO_LEADER_CODE, data);
}

/**
 * Creates the error for a worker's call at an instance that does not lead its group.
 *
 * @param group The group.
 * @param leader The leader, where known.
 * @returns The error.
 */
export function createNotLeaderError(group: GroupId, leader: EntryId | undefined): MethodError {
    const data: NoLeaderData = { outcome: "not_accepted", retryAfterMs: RETRY_AFTER_MS, leader };
    return new MethodError(`this instance does not lead ${group}`, NOT_LEADER_CODE, data);
}

/**
 * Creates the error for a call whose leader lost its lead under it: it tells whether the call can
 * still take effect. Other errors stay as they are.
 *
 * @param group The group.
 * @param error What the call threw.
 * @returns The error to answer with.
 */
export function toRpcError(group: GroupId, error: unknown): unknown {
    if (error instanceof NotLeaderError) {
        return createNoLeaderError(group, "not_accepted");
    }
    if (error instanceof OutcomeUnknownError) {
        return createNoLeaderError(group, "unknown");
    }
    return error;
}
