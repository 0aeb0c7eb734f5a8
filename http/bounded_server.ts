/**
 * An HTTP server that bounds its connections, the time a request takes to arrive, the requests that
 * its clients may send ahead, and the answers that wait to be sent.
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

import { createServer, ServerResponse, type IncomingMessage, type Server } from "node:http";
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
    /**
     * Maximum number of connections (default 2,900). For another one, that one is closed which has
     * waited longest for a whole request, or for its answer to be read.
     */
    readonly maxConnections?: number | undefined;
    /**
     * Maximum size of the answers that wait to be sent, over all connections, in bytes (default
     * 32 MiB). Beyond it, the connection is closed whose answers have waited longest.
     */
    readonly maxUnsentBytes?: number | undefined;
    /** Time from a request's first byte to its last, in ms (default 60,000); then 408. */
    readonly requestTimeoutMs?: number;
    /** Time in which the header of a connection's next request must arrive, in ms (default 30,000). */
    readonly headersTimeoutMs?: number;
    /** Time without traffic after which a connection is closed unless it is served, in ms (default 60,000). */
    readonly stallTimeoutMs?: number;
}

/** Handles a request and writes the response. */
export type RequestListener = (request: IncomingMessage, response: ServerResponse) => void;

const DEFAULT_MAX_OPEN_REQUESTS = 16;
const DEFAULT_MAX_PIPELINED_REQUESTS = 2_048;
const DEFAULT_MAX_CONNECTIONS = 2_900;
const DEFAULT_MAX_UNSENT_BYTES = 32 * 1024 * 1024;
const DEFAULT_REQUEST_TIMEOUT_MS = 60_000;
const DEFAULT_HEADERS_TIMEOUT_MS = 30_000;
const DEFAULT_STALL_TIMEOUT_MS = 60_000;
/** Largest interval at which the time of requests is checked, in ms. */
const MAX_CHECK_INTERVAL_MS = 5_000;
/**
 * Number of requests that are begun in one turn of the event loop. What a closed connection has begun
 * is freed only after its turn.
 */
const MAX_REQUESTS_PER_TURN = 512;

/** A response that tells how much of it waits to be sent when it ends. */
class TrackedResponse<
    Request extends IncomingMessage = IncomingMessage,
> extends ServerResponse<Request> {
    unsentBytes = 0;
    handleEnd: () => void = () => {};

    override end(chunk?: unknown, encoding?: unknown, callback?: unknown): this {
        super.end(chunk, encoding as BufferEncoding, callback as () => void);
        this.unsentBytes = this.writableLength;
        this.handleEnd();
        return this;
    }
}

/** One connection and its requests whose answers aren't sent yet. */
class Connection {
    readonly socket: Socket;
    readonly parsing: PacedParsing;
    readonly openResponses = new Set<TrackedResponse>();
    unsentBytes = 0;

    constructor(socket: Socket, isSaturated: (connection: Connection) => boolean) {
        this.socket = socket;
        this.parsing = new PacedParsing(socket, () => isSaturated(this));
    }

    /** Number of requests that were sent before the previous one was answered. */
    get pipelinedRequests(): number {
        return Math.max(0, this.openResponses.size - 1);
    }

    /** Whether a whole request has arrived and isn't answered yet. */
    get isServed(): boolean {
        return [...this.openResponses].some((res) => res.req.complete && !res.writableEnded);
    }
}

/** The connections of one server. */
class ConnectionTable {
    readonly #maxOpenRequests: number;
    readonly #maxPipelinedRequests: number;
    readonly #maxConnections: number;
    /** The one that has been without an open request for longest comes first. */
    readonly #connections = new Map<Socket, Connection>();
    readonly #maxUnsentBytes: number;
    /** Connections with answers that wait to be sent; the one that waits longest comes first. */
    readonly #unsent = new Set<Connection>();
    #unsentBytes = 0;
    #pipelinedRequests = 0;
    #requestsInTurn = 0;

    constructor(options: BoundedServerOptions) {
        this.#maxConnections = options.maxConnections ?? DEFAULT_MAX_CONNECTIONS;
        this.#maxUnsentBytes = options.maxUnsentBytes ?? DEFAULT_MAX_UNSENT_BYTES;
        this.#maxOpenRequests = options.maxOpenRequests ?? DEFAULT_MAX_OPEN_REQUESTS;
        this.#maxPipelinedRequests = options.maxPipelinedRequests ?? DEFAULT_MAX_PIPELINED_REQUESTS;
    }

    add(socket: Socket): void {
        if (this.#connections.size >= this.#maxConnections && !this.#dropOldest()) {
            socket.destroy();
            return;
        }
        const connection = new Connection(
            socket,
            ({ openResponses }) =>
                openResponses.size >= this.#maxOpenRequests ||
                this.#requestsInTurn >= MAX_REQUESTS_PER_TURN,
        );
        this.#connections.set(socket, connection);
        socket.once("close", () => {
            this.#remove(connection);
        });
    }

    /** Closes a connection without traffic unless a request of it is being served. */
    handleStall(socket: Socket): void {
        if (this.#connections.get(socket)?.isServed !== true) {
            socket.destroy();
        }
    }

    /** Returns false if the request must not be handled because its connection is closed. */
    accept(request: IncomingMessage, response: TrackedResponse): boolean {
        const connection = this.#connections.get(request.socket);
        if (connection === undefined || request.socket.destroyed) {
            return false;
        }
        this.#countInTurn();
        this.#pipelinedRequests -= connection.pipelinedRequests;
        connection.openResponses.add(response);
        this.#pipelinedRequests += connection.pipelinedRequests;
        if (
            connection.pipelinedRequests > 0 &&
            this.#pipelinedRequests > this.#maxPipelinedRequests
        ) {
            request.socket.destroy();
            return false;
        }
        response.handleEnd = () => this.#handleEnd(connection, response);
        response.once("close", () => this.#handleSent(connection, response));
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

    #handleEnd(connection: Connection, { unsentBytes }: TrackedResponse): void {
        if (unsentBytes === 0 || !this.#connections.has(connection.socket)) {
            return;
        }
        connection.unsentBytes += unsentBytes;
        this.#unsentBytes += unsentBytes;
        this.#unsent.add(connection);
        for (const oldest of this.#unsent) {
            if (this.#unsentBytes <= this.#maxUnsentBytes) {
                return;
            }
            this.#remove(oldest);
            oldest.socket.destroy();
        }
    }

    #handleSent(connection: Connection, response: TrackedResponse): void {
        if (!this.#connections.has(connection.socket)) {
            return;
        }
        this.#pipelinedRequests -= connection.pipelinedRequests;
        connection.openResponses.delete(response);
        this.#pipelinedRequests += connection.pipelinedRequests;
        connection.unsentBytes -= response.unsentBytes;
        this.#unsentBytes -= response.unsentBytes;
        if (connection.unsentBytes === 0) {
            this.#unsent.delete(connection);
        }
        if (connection.openResponses.size === 0) {
            this.#connections.delete(connection.socket);
            this.#connections.set(connection.socket, connection);
        }
        connection.parsing.wake();
    }

    #remove(connection: Connection): void {
        if (this.#connections.delete(connection.socket)) {
            this.#pipelinedRequests -= connection.pipelinedRequests;
            this.#unsentBytes -= connection.unsentBytes;
            this.#unsent.delete(connection);
        }
    }

    /** Closes the oldest connection that isn't served; returns false if there is none. */
    #dropOldest(): boolean {
        for (const connection of this.#connections.values()) {
            if (!connection.isServed) {
                this.#remove(connection);
                connection.socket.destroy();
                return true;
            }
        }
        return false;
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
    const handleAccepted = (request: IncomingMessage, response: TrackedResponse): void => {
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
    const requestTimeout = options.requestTimeoutMs ?? DEFAULT_REQUEST_TIMEOUT_MS;
    const headersTimeout = options.headersTimeoutMs ?? DEFAULT_HEADERS_TIMEOUT_MS;
    const server = createServer(
        {
            ServerResponse: TrackedResponse,
            requireHostHeader: false,
            requestTimeout,
            headersTimeout: Math.min(headersTimeout, requestTimeout),
            connectionsCheckingInterval: Math.min(MAX_CHECK_INTERVAL_MS, headersTimeout / 2),
        },
        handleAccepted,
    );
    server.setTimeout(options.stallTimeoutMs ?? DEFAULT_STALL_TIMEOUT_MS, (socket: Socket) =>
        connections.handleStall(socket),
    );
    server.on("checkExpectation", (request: IncomingMessage, response: TrackedResponse) => {
        if (connections.accept(request, response)) {
            response.writeHead(417).end();
        }
    });
    server.on("connection", (socket: Socket) => connections.add(socket));
    return server;
}
