/**
 * Closes the idle connections to a server that has stopped answering. After a timeout they may be
 * half-open, and calls that reuse them would also time out. A server that is only slow keeps them:
 * it would otherwise have to accept a new connection for each further call.
 *
 * @example
 * ```ts
 * import { IdleConnections } from "./idle_connections.ts";
 * const idleConnections = new IdleConnections(agent);
 * idleConnections.recordResponse("10.1.0.16", 7720);
 * idleConnections.handleTimeout("10.1.0.16", 7720);
 * ```
 *
 * @module
 */

import type { Agent } from "node:http";

/** A server counts as alive for this long after a response, in ms. */
const ALIVE_MS = 1_000;

/** Manages the idle connections of an HTTP agent. */
export class IdleConnections {
    readonly #agent: Agent;
    readonly #getNow: () => number;
    /** The time of the last response of each server, by the agent's name of it, in ms. */
    readonly #lastResponseAtMs = new Map<string, number>();

    /**
     * @param agent The agent that owns the connections.
     * @param getNow Returns the time of a monotonic clock, in ms.
     */
    constructor(agent: Agent, getNow: () => number = () => performance.now()) {
        this.#agent = agent;
        this.#getNow = getNow;
    }

    /**
     * Records that a server has responded to a call.
     *
     * @param host The host of the server.
     * @param port The port of the server.
     */
    recordResponse(host: string, port: number): void {
        this.#lastResponseAtMs.set(this.#agent.getName({ host, port }), this.#getNow());
    }

    /**
     * Closes the idle connections to a server that left a call without a response, unless it has
     * responded to another one lately.
     *
     * @param host The host of the server.
     * @param port The port of the server.
     */
    handleTimeout(host: string, port: number): void {
        const name = this.#agent.getName({ host, port });
        const lastResponseAtMs = this.#lastResponseAtMs.get(name) ?? Number.NEGATIVE_INFINITY;
        if (this.#getNow() - lastResponseAtMs >= ALIVE_MS) {
            [...(this.#agent.freeSockets[name] ?? [])].forEach((socket) => socket.destroy());
        }
    }
}
