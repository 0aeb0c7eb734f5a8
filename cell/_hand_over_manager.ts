/**
 * Requests that this cell's workers have no room for and another zone's group takes. The intent
 * is in this cell's log before the other group hears of it, and the request comes back only when
 * that group says, as an end state, that it never ran: so it is never in two zones' hands.
 *
 * @example
 * ```ts
 * import { HandOvers } from "./_hand_over_manager.ts";
 * new HandOvers(books, lifecycle).startHandOver(request, "hall-b", at);
 * ```
 *
 * @module
 */

import type { RequestId } from "../inventory/mod.ts";
import type { CellState } from "./_cell_state.ts";
import type { Lifecycle } from "./_lifecycle.ts";
import { HANDED_OVER_CALLER_PREFIX, type HandOverResult, type RequestRecord } from "./types.ts";

/** A request waits this long for a worker of its own zone first, in ms. */
const INITIAL_WAIT_MS = 100;
/** After the first return it waits this long, in ms, and twice as long after each further one. */
const BACKOFF_BASE_MS = 1_000;
const BACKOFF_MAX_MS = 30_000;

/** Hands requests over and takes them back. */
export class HandOverManager {
    readonly #state: CellState;
    readonly #lifecycle: Lifecycle;

    /**
     * @param state The cell's books.
     * @param lifecycle Moves requests.
     */
    constructor(state: CellState, lifecycle: Lifecycle) {
        this.#state = state;
        this.#lifecycle = lifecycle;
    }

    /**
     * Lists queued requests that may be handed over.
     *
     * @param nowMs The time in ms.
     * @param limit The most to list.
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
                // One that was handed over to us is not passed on: it could go in circles.
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
     * @param id The request.
     * @param to The other group.
     * @param nowMs The time in ms.
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
     * Withdraws a request that another group has; that group's answer ends it.
     *
     * @param request The request.
     * @param nowMs The time in ms.
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
     * Takes the other group's end state.
     *
     * @param id The request.
     * @param key Its key there; an answer about an earlier hand-over is ignored.
     * @param result The end state.
     * @param nowMs The time in ms.
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
        // Idempotent work that failed there may be tried again here: every lease there has ended.
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

    /** Tells again of every request in another group's care: a new leader takes over. */
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
 * Work that comes back, because the other zone's room or its share of the quota was gone, must not
 * circle: at 400 requests/s against a quota, a fixed second between tries cost megabytes a second.
 */
function computeBackoffMs(handOvers: number): number {
    return handOvers === 0
        ? INITIAL_WAIT_MS
        : Math.min(BACKOFF_MAX_MS, BACKOFF_BASE_MS * 2 ** (handOvers - 1));
}
