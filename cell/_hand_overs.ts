/**
 * Requests that this cell's workers have no room for and another zone's group takes. The intent
 * is in this cell's log before the other group hears of it, and the request comes back only when
 * that group says, as an end state, that it never ran: so it is never in two zones' hands.
 *
 * @example
 * ```ts
 * import { HandOvers } from "./_hand_overs.ts";
 * new HandOvers(books, lifecycle).startHandOver(request, "hall-b", at);
 * ```
 *
 * @module
 */

import type { RequestId } from "../inventory/mod.ts";
import type { Books } from "./_books.ts";
import type { Lifecycle } from "./_lifecycle.ts";
import { ADOPTED_CALLER, type HandOverAnswer, type RequestRecord } from "./types.ts";

/** A request waits this long for a worker of its own zone first, in ms. */
const WAIT_FIRST_MS = 100;
/** After the first return it waits this long, in ms, and twice as long after each further one. */
const WAIT_AFTER_RETURN_MS = 1_000;
const MOST_WAIT_MS = 30_000;

/** Hands requests over and takes them back. */
export class HandOvers {
    readonly #books: Books;
    readonly #lifecycle: Lifecycle;

    /**
     * @param books The cell's books.
     * @param lifecycle Moves requests.
     */
    constructor(books: Books, lifecycle: Lifecycle) {
        this.#books = books;
        this.#lifecycle = lifecycle;
    }

    /**
     * Lists queued requests that may be handed over.
     *
     * @param at The time in ms.
     * @param most The most to list.
     * @returns The requests, highest precedence first.
     */
    listWaiting(at: number, most: number): RequestRecord[] {
        const found: RequestRecord[] = [];
        for (const { requests } of this.#books.queue.listBuckets()) {
            for (const request of requests) {
                if (found.length >= most) {
                    return found;
                }
                const waits = computeWaitMs(request.handOvers);
                // One that was handed over to us is not passed on: it could go in circles.
                const isAdopted = request.spec.caller.startsWith(ADOPTED_CALLER);
                if (!isAdopted && at - request.queuedAt >= waits) {
                    found.push(request);
                }
            }
        }
        return found;
    }

    /**
     * Hands a queued request over.
     *
     * @param id The request.
     * @param to The other group.
     * @param at The time in ms.
     */
    startHandOver(id: RequestId, to: string, at: number): void {
        const request = this.#books.requests.get(id);
        if (request?.state !== "queued") {
            return;
        }
        request.handOvers += 1;
        request.handedTo = { to, key: `${id}#${request.handOvers}`, isCancelled: false };
        request.mayHaveStarted = true;
        this.#books.handed.add(id);
        this.#lifecycle.applyRequestEvent(request, "hand_over", at, `to ${to}, which has room`);
        this.#emit(request);
    }

    /**
     * Withdraws a request that another group has; that group's answer ends it.
     *
     * @param request The request.
     * @param at The time in ms.
     */
    cancel(request: RequestRecord, at: number): void {
        if (request.handedTo === undefined || request.handedTo.isCancelled) {
            return;
        }
        request.handedTo = { ...request.handedTo, isCancelled: true };
        this.#books.recordFate(request, at, "cancel", `cancel asked of ${request.handedTo.to}`);
        this.#emit(request);
    }

    /**
     * Takes the other group's end state.
     *
     * @param id The request.
     * @param key Its key there; an answer about an earlier hand-over is ignored.
     * @param answer The end state.
     * @param at The time in ms.
     */
    handleResult(id: RequestId, key: string, answer: HandOverAnswer, at: number): void {
        const request = this.#books.requests.get(id);
        if (request?.state !== "handed" || request.handedTo?.key !== key) {
            return;
        }
        const { to, isCancelled } = request.handedTo;
        request.handedTo = undefined;
        this.#books.handed.delete(id);
        const where = `${to} (${answer.requestId})`;
        // Idempotent work that failed there may be tried again here: every lease there has ended.
        const isAgain = answer.state === "failed" && this.#books.isRetryable(request);
        if (!isCancelled && (!answer.mayHaveRun || isAgain)) {
            request.mayHaveRunBefore ||= answer.mayHaveRun;
            request.mayHaveStarted = request.mayHaveRunBefore;
            request.attempts += isAgain ? 1 : 0;
            this.#lifecycle.applyRequestEvent(
                request,
                "return",
                at,
                `${answer.reason ?? answer.state}, by ${where}`,
            );
            this.#books.addToQueue(request);
            return;
        }
        request.started ||= answer.started;
        request.startedAt ??= answer.startedAt;
        request.mayHaveRunBefore ||= answer.mayHaveRun;
        request.mayHaveStarted = request.mayHaveRunBefore;
        request.attempts += 1;
        const events = { completed: "finish", cancelled: "stopped", refused: "stopped" } as const;
        const event = events[answer.state as keyof typeof events] ?? "fail";
        const reason = `${answer.reason ?? answer.state}, by ${where}`;
        this.#lifecycle.applyRequestEvent(request, event, at, reason);
    }

    /** Tells again of every request in another group's care: a new leader takes over. */
    emitAll(): void {
        for (const id of this.#books.handed) {
            this.#emit(this.#books.getRequest(id));
        }
    }

    #emit(request: RequestRecord): void {
        if (request.handedTo !== undefined) {
            this.#books.emit({
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
function computeWaitMs(handOvers: number): number {
    return handOvers === 0
        ? WAIT_FIRST_MS
        : Math.min(MOST_WAIT_MS, WAIT_AFTER_RETURN_MS * 2 ** (handOvers - 1));
}
