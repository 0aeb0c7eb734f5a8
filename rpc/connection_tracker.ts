/**
 * Counts the connections and the calls of a process's RPC clients and servers, so that a log line
 * can show whether calls wait for a connection, for the server or for neither.
 *
 * @example
 * ```ts
 * import { ConnectionTracker } from "./connection_tracker.ts";
 * const tracker = new ConnectionTracker();
 * tracker.recordOpened(12);
 * tracker.takeSummary(); // { opened: 1, connectMs: 12, ... }
 * ```
 *
 * @module
 */

/** Connections and calls since the last summary. */
export interface ConnectionSummary {
    /** Connections that this process opened. */
    readonly opened: number;
    /** Connections that this process tried to open in vain. */
    readonly openFailed: number;
    /** The longest time until a connection was open, in ms. */
    readonly connectMs: number;
    /** Calls of this process that were answered. */
    readonly answered: number;
    /** The longest time from sending a call to its answer, in ms. */
    readonly answerMs: number;
    /** Calls that this process gave up after they were sent. */
    readonly abandoned: number;
    /** Connections that this process accepted. */
    readonly accepted: number;
    /** Answers that this process could not send, because their caller had given up. */
    readonly unsent: number;
}

type MutableSummary = { -readonly [Field in keyof ConnectionSummary]: number };

/** Counts connections and calls. */
export class ConnectionTracker {
    #summary = createSummary();

    /**
     * Records an opened connection.
     *
     * @param durationMs The time until it was open, in ms.
     */
    recordOpened(durationMs: number): void {
        this.#summary.opened += 1;
        this.#summary.connectMs = Math.max(this.#summary.connectMs, Math.round(durationMs));
    }

    /** Records a connection that could not be opened. */
    recordOpenFailed(): void {
        this.#summary.openFailed += 1;
    }

    /**
     * Records an answered call.
     *
     * @param durationMs The time from sending the call to its answer, in ms.
     */
    recordAnswered(durationMs: number): void {
        this.#summary.answered += 1;
        this.#summary.answerMs = Math.max(this.#summary.answerMs, Math.round(durationMs));
    }

    /** Records a call that was given up after it was sent. */
    recordAbandoned(): void {
        this.#summary.abandoned += 1;
    }

    /** Records an accepted connection. */
    recordAccepted(): void {
        this.#summary.accepted += 1;
    }

    /** Records an answer whose caller had given up. */
    recordUnsent(): void {
        this.#summary.unsent += 1;
    }

    /**
     * Summarizes the connections and calls since the last summary.
     *
     * @returns The counts, and the longest times in ms.
     */
    takeSummary(): ConnectionSummary {
        const summary = this.#summary;
        this.#summary = createSummary();
        return summary;
    }
}

/** The tracker of this process: its clients and servers share it, as they share connections. */
export const connectionTracker = new ConnectionTracker();

function createSummary(): MutableSummary {
    return {
        opened: 0,
        openFailed: 0,
        connectMs: 0,
        answered: 0,
        answerMs: 0,
        abandoned: 0,
        accepted: 0,
        unsent: 0,
    };
}
