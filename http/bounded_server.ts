/**
 * An HTTP server that bounds the requests its clients may send ahead.
 *
 * @example
 * ```ts
 * import { createBoundedServer } from "./bounded_server.ts";
 * const server = createBoundedServer({ maxOpenRequests: 16 }, (req, res) => res.end());
 * server.listen(8080);
 * ```
 *
 * @module
 */

import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { PacedParsing } from "./_paced_parsing.ts";

/** Options of {@link createBoundedServer}. */
export interface BoundedServerOptions {
    /**
     * Number of requests of one connection from which no more are read until some are answered and
     * their answers sent (default 16).
     */
    readonly maxOpenRequests?: number;
    /**
     * Maximum number of requests over all connections that were sent before the previous one was
     * answered (default 2,048). A connection that exceeds it is closed.
     */
    readonly maxPipelinedRequests?: number;
}

/** Handles a request and writes the response. */
export type RequestListener = (request: IncomingMessage, response: ServerResponse) => void;

const DEFAULT_MAX_OPEN_REQUESTS = 16;
const DEFAULT_MAX_PIPELINED_REQUESTS = 2_048;
/**
 * Number of requests that are begun in one turn of the event loop. What a closed connection has begun
 * is freed only after its turn.
 */
const MAX_REQUESTS_PER_TURN = 512;

/** One connection and its requests whose answers aren't sent yet. */
class Connection {
    readonly socket: Socket;
    readonly parsing: PacedParsing;
    openRequests = 0;

    constructor(socket: Socket, isSaturated: (connection: Connection) => boolean) {
        this.socket = socket;
        this.parsing = new PacedParsing(socket, () => isSaturated(this));
    }

    /** Number of requests that were sent before the previous one was answered. */
    get pipelinedRequests(): number {
        return Math.max(0, this.openRequests - 1);
    }
}

/** The connections of one server. */
class ConnectionTable {
    readonly #maxOpenRequests: number;
    readonly #maxPipelinedRequests: number;
    readonly #connections = new Map<Socket, Connection>();
    #pipelinedRequests = 0;
    #requestsInTurn = 0;

    constructor(options: BoundedServerOptions) {
        this.#maxOpenRequests = options.maxOpenRequests ?? DEFAULT_MAX_OPEN_REQUESTS;
        this.#maxPipelinedRequests = options.maxPipelinedRequests ?? DEFAULT_MAX_PIPELINED_REQUESTS;
    }

    add(socket: Socket): void {
        const connection = new Connection(
            socket,
            ({ openRequests }) =>
                openRequests >= this.#maxOpenRequests ||
                this.#requestsInTurn >= MAX_REQUESTS_PER_TURN,
        );
        this.#connections.set(socket, connection);
        socket.once("close", () => {
            this.#pipelinedRequests -= connection.pipelinedRequests;
            this.#connections.delete(socket);
        });
    }

    /** Returns false if the request must not be handled because its connection is closed. */
    accept(request: IncomingMessage, response: ServerResponse): boolean {
        const connection = this.#connections.get(request.socket);
        if (connection === undefined || request.socket.destroyed) {
            return false;
        }
        this.#countInTurn();
        this.#updateOpenRequests(connection, 1);
        if (
            connection.pipelinedRequests > 0 &&
            this.#pipelinedRequests > this.#maxPipelinedRequests
        ) {
            request.socket.destroy();
            return false;
        }
        response.once("close", () => {
            if (this.#connections.has(connection.socket)) {
                this.#updateOpenRequests(connection, -1);
                connection.parsing.wake();
            }
        });
        return true;
    }

    #countInTurn(): void {
        if (this.#requestsInTurn === 0) {
            setImmediate(() => {
                const wasFull = this.#requestsInTurn >= MAX_REQUESTS_PER_TURN;
                this.#requestsInTurn = 0;
                if (wasFull) {
                    this.#connections.forEach(({ parsing }) => parsing.wake());
                }
            });
        }
        this.#requestsInTurn += 1;
    }

    #updateOpenRequests(connection: Connection, difference: number): void {
        const before = connection.pipelinedRequests;
        connection.openRequests += difference;
        this.#pipelinedRequests += connection.pipelinedRequests - before;
    }
}

/**
 * Creates an HTTP server that reads a connection's requests no faster than they are answered, and
 * the answers read.
 *
 * @param options The bounds; see {@link BoundedServerOptions}.
 * @param handle Handles a request.
 * @returns The server, which doesn't listen yet.
 */
export function createBoundedServer(
    options: BoundedServerOptions,
    handle: RequestListener,
): Server {
    const connections = new ConnectionTable(options);
    const handleAccepted: RequestListener = (request, response) => {
        if (!connections.accept(request, response)) {
            return;
        }
        if (request.httpVersion === "1.1" && request.headers.host === undefined) {
            response.writeHead(400, { connection: "close" }).end();
        } else {
            handle(request, response);
        }
    };
    // Node.js answers requests without a host, or with an expectation that it doesn't know, before
    // its listener sees them; they would not be counted.
    const server = createServer({ requireHostHeader: false }, handleAccepted);
    server.on("checkExpectation", (request: IncomingMessage, response: ServerResponse) => {
        if (connections.accept(request, response)) {
            response.writeHead(417).end();
        }
    });
    server.on("connection", (socket: Socket) => connections.add(socket));
    return server;
}
