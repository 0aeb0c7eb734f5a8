/**
 * Error codes and errors that an entry instance returns to callers, operators and workers.
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

/** The instance is shutting down; resend to another entry instance. */
export const SHUTTING_DOWN_CODE = -32001;
/** An idempotency key was reused for a different request. */
export const KEY_CONFLICT_CODE = -32002;
/** The request, lease or instance does not exist. */
export const NOT_FOUND_CODE = -32004;
/** The group has no reachable leader; retry after `retryAfterMs`. */
export const NO_LEADER_CODE = -32005;
/** This instance does not lead the worker's group; `leader` names the one that does, if known. */
export const NOT_LEADER_CODE = -32007;

const RETRY_AFTER_MS = 500;

/** Data of errors with {@link NO_LEADER_CODE} or {@link NOT_LEADER_CODE}. */
export interface NoLeaderData {
    /**
     * `not_accepted`: the call took no effect and never will. `unknown`: it may have taken effect;
     * a resend with the same idempotency key returns the outcome and never runs the work twice.
     */
    readonly outcome: "not_accepted" | "unknown";
    /** Delay before the next attempt, in ms. */
    readonly retryAfterMs: number;
    /** The leader, if known. */
    readonly leader: EntryId | undefined;
}

/**
 * Creates the error for a call whose group has no reachable leader. It carries a retry delay, so
 * the caller need not wait for its deadline.
 *
 * @param group The group.
 * @param outcome Whether the call may have taken effect.
 * @param leader The leader, if known.
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
 * Creates the error for a worker's call to an instance that does not lead the worker's group.
 *
 * @param group The group.
 * @param leader The leader, if known.
 * @returns The error.
 */
export function createNotLeaderError(group: GroupId, leader: EntryId | undefined): MethodError {
    const data: NoLeaderData = { outcome: "not_accepted", retryAfterMs: RETRY_AFTER_MS, leader };
    return new MethodError(`this instance does not lead ${group}`, NOT_LEADER_CODE, data);
}

/**
 * Converts an error caused by the loss of leadership to one that indicates whether the call may
 * have taken effect. Returns other errors unchanged.
 *
 * @param group The group.
 * @param error The error that the call threw.
 * @returns The error to send to the caller.
 */
export function toMethodError(group: GroupId, error: unknown): unknown {
    if (error instanceof NotLeaderError) {
        return createNoLeaderError(group, "not_accepted");
    }
    if (error instanceof OutcomeUnknownError) {
        return createNoLeaderError(group, "unknown");
    }
    return error;
}
