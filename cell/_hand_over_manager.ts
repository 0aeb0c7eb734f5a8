/**
 * Hands over requests that this cell has no capacity for to another zone's group. The hand-over is
 * in this cell's log before the other group receives the request, and the request returns to the
 * queue only after that group has reported an end state, so that it never runs in two zones at
 * once.
 *
 * @example
 * ```ts
 * import { HandOverManager } from "./_hand_over_manager.ts";
 * new HandOverManager(state, lifecycle).startHandOver(id, "zone-b", nowMs);
 * ```
 *
 * @module
 */

import type { RequestId } from "../inventory/mod.ts";
import type { CellState } from "./_cell_state.ts";
import type { Lifecycle } from "./_lifecycle.ts";
import { HANDED_OVER_CALLER_PREFIX, type HandOverResult, type RequestRecord } from "./types.ts";

/** Time that a request waits for a worker of its own zone before its first hand-over, in ms. */
const INITIAL_WAIT_MS = 100;
/** Wait after the first return, in ms; doubles with each further return. */
const BACKOFF_BASE_MS = 1_000;
const BACKOFF_MAX_MS = 30_000;

/** Hands requests over and processes their results. */
export class HandOverManager {
    readonly #state: CellState;
    readonly #lifecycle: Lifecycle;

    /**
     * @param state The cell's state.
     * @param lifecycle Applies request state transitions.
     */
    constructor(state: CellState, lifecycle: Lifecycle) {
        this.#state = state;
        this.#lifecycle = lifecycle;
    }

    /**
     * Lists queued requests that may be handed over.
     *
     * @param nowMs The current time in ms.
     * @param limit The maximum number of requests to list.
     * @returns The requests, highest precedence first.
     */
    listCandidates(nowMs: number, limit: number): RequestRecord[] {
        const candidates: RequestRecord[] = [];
        for (const { requests } of this.#state.queue.listBuckets()) {
            for (const request of requests) {
                if (candidates.length >= limit) {
                    return candidates;
                }
                const waitMs = computeBackoffMs(request.handOvers);
                // A request received from another zone is not handed over again, which prevents
                // loops.
                const isHandedOver = request.spec.caller.startsWith(HANDED_OVER_CALLER_PREFIX);
                if (!isHandedOver && nowMs - request.queuedAt >= waitMs) {
                    candidates.push(request);
                }
            }
        }
        return candidates;
    }

    /**
     * Hands a queued request over.
     *
     * @param id The request's id.
     * @param to The group that receives it.
     * @param nowMs The current time in ms.
     */
    startHandOver(id: RequestId, to: string, nowMs: number): void {
        const request = this.#state.requests.get(id);
        if (request?.state !== "queued") {
            return;
        }
        request.handOvers += 1;
        request.handedTo = { to, key: `${id}#${request.handOvers}`, isCancelled: false };
        request.mayHaveStarted = true;
        this.#state.handedOverIds.add(id);
        this.#lifecycle.applyRequestEvent(request, "hand_over", nowMs, `to ${to}, which has room`);
        this.#emitHandOver(request);
    }

    /**
     * Asks the other group to cancel a request; the result from that group ends it.
     *
     * @param request The request.
     * @param nowMs The current time in ms.
     */
    cancel(request: RequestRecord, nowMs: number): void {
        if (request.handedTo === undefined || request.handedTo.isCancelled) {
            return;
        }
        request.handedTo = { ...request.handedTo, isCancelled: true };
        this.#state.recordEvent(request, nowMs, "cancel", `cancel asked of ${request.handedTo.to}`);
        this.#emitHandOver(request);
    }

    /**
     * Processes the final state that the other group reported.
     *
     * @param id The request's id.
     * @param key Its idempotency key in the other group; results of earlier hand-overs are ignored.
     * @param result The final state.
     * @param nowMs The current time in ms.
     */
    handleResult(id: RequestId, key: string, result: HandOverResult, nowMs: number): void {
        const request = this.#state.requests.get(id);
        if (request?.state !== "handed" || request.handedTo?.key !== key) {
            return;
        }
        const { to, isCancelled } = request.handedTo;
        request.handedTo = undefined;
        this.#state.handedOverIds.delete(id);
        const handledBy = `${to} (${result.requestId})`;
        // Failed idempotent work can be retried here, since all of its leases there have ended.
        const isRetry = result.state === "failed" && this.#state.isRetryable(request);
        if (!isCancelled && (!result.mayHaveRun || isRetry)) {
            request.mayHaveRunBefore ||= result.mayHaveRun;
            request.mayHaveStarted = request.mayHaveRunBefore;
            request.attempts += isRetry ? 1 : 0;
            this.#lifecycle.applyRequestEvent(
                request,
                "return",
                nowMs,
                `${result.reason ?? result.state}, by ${handledBy}`,
            );
            this.#state.addToQueue(request);
            return;
        }
        request.started ||= result.started;
        request.startedAt ??= result.startedAt;
        request.mayHaveRunBefore ||= result.mayHaveRun;
        request.mayHaveStarted = request.mayHaveRunBefore;
        request.attempts += 1;
        const events = { completed: "finish", cancelled: "stopped", refused: "stopped" } as const;
        const event = events[result.state as keyof typeof events] ?? "fail";
        const reason = `${result.reason ?? result.state}, by ${handledBy}`;
        this.#lifecycle.applyRequestEvent(request, event, nowMs, reason);
    }

    /** Emits every pending hand-over again after a change of leader. */
    emitPending(): void {
        for (const id of this.#state.handedOverIds) {
            this.#emitHandOver(this.#state.getRequest(id));
        }
    }

    #emitHandOver(request: RequestRecord): void {
        if (request.handedTo !== undefined) {
            this.#state.emitEffect({
                type: "handOver",
                request: request.id,
                handOver: request.handedTo,
            });
        }
    }
}

/**
 * Computes the wait before the next hand-over. The exponential backoff limits how often a request
 * that other zones keep returning is handed over.
 */
function computeBackoffMs(handOvers: number): number {
    return handOvers === 0
        ? INITIAL_WAIT_MS
        : Math.min(BACKOFF_MAX_MS, BACKOFF_BASE_MS * 2 ** (handOvers - 1));
}
