/**
 * Serves the multiplexed connections of an RPC server.
 *
 * @module
 */

import type { IncomingMessage, Server } from "node:http";
import type { Socket } from "node:net";
import { createJSONRPCErrorResponse, type JSONRPCRequest } from "json-rpc-2.0";
import { connectionTracker } from "./connection_tracker.ts";
import { LineDecoder } from "./_line_decoder.ts";
import {
    CANCEL_METHOD,
    CLOSE_METHOD,
    PING_LINE,
    RPC_PATH,
    UPGRADE_PROTOCOL,
    type CancelParams,
} from "./_upgrade.ts";

/** Handles one JSON-RPC request and returns the text of its response; empty if it has none. */
export type RequestHandler = (request: JSONRPCRequest) => Promise<string>;

/** Options of {@link UpgradedServer}. */
export interface UpgradedServerOptions {
    readonly handle: RequestHandler;
    /** The length of the longest accepted message, in characters. */
    readonly maxMessageLength: number;
}

const SWITCHING_PROTOCOLS = `HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: ${UPGRADE_PROTOCOL}\r\n\r\n`;
const PARSE_ERROR = createJSONRPCErrorResponse(null, -32700, "parse error");
const BAD_REQUEST = "HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n";
/** A connection without any traffic is closed after this time, in ms; clients close theirs sooner. */
const IDLE_TIMEOUT_MS = 60_000;

/** One multiplexed connection. */
class ServedConnection {
    readonly #socket: Socket;
    readonly #handle: RequestHandler;
    readonly #decoder: LineDecoder;
    /** The calls in progress whose callers wait. */
    readonly #calls = new Set<number>();
    #isClosing = false;

    constructor(socket: Socket, { handle, maxMessageLength }: UpgradedServerOptions) {
        this.#socket = socket;
        this.#handle = handle;
        this.#decoder = new LineDecoder(maxMessageLength);
    }

    /** Number of calls in progress whose callers wait. */
    get inFlight(): number {
        return this.#calls.size;
    }

    /** Starts to serve calls. */
    start(head: Buffer): void {
        const socket = this.#socket;
        socket.setNoDelay(true);
        socket.setTimeout(IDLE_TIMEOUT_MS, () => socket.destroy());
        // The client sees the end of the connection, and the calls in progress end by themselves.
        socket.on("error", () => socket.destroy());
        socket.write(SWITCHING_PROTOCOLS);
        if (head.length > 0) {
            socket.unshift(head);
        }
        socket.on("data", (chunk: Buffer) => this.#receive(chunk));
    }

    /** Asks the client to make no further calls and to close the connection after the last one. */
    close(): void {
        if (!this.#isClosing) {
            this.#isClosing = true;
            this.#send(`${JSON.stringify({ jsonrpc: "2.0", method: CLOSE_METHOD })}\n`);
        }
    }

    /** Closes the connection now. */
    drop(): void {
        this.#socket.destroy();
    }

    #receive(chunk: Buffer): void {
        try {
            this.#handleLines(this.#decoder.decode(chunk));
        } catch {
            // The stream is unusable after a malformed message.
            this.#socket.end(`${JSON.stringify(PARSE_ERROR)}\n`);
        }
    }

    /** Begins the calls among the lines, except those that a later line already cancels. */
    #handleLines(lines: readonly string[]): void {
        const requests = new Map<number, JSONRPCRequest>();
        for (const line of lines) {
            if (line === "") {
                this.#send(PING_LINE);
                continue;
            }
            const request = JSON.parse(line) as JSONRPCRequest;
            if (request.method === CANCEL_METHOD) {
                const { id } = request.params as CancelParams;
                requests.delete(id);
                this.#calls.delete(id);
            } else {
                requests.set(Number(request.id), request);
            }
        }
        requests.forEach((request, id) => void this.#run(id, request));
    }

    async #run(id: number, request: JSONRPCRequest): Promise<void> {
        this.#calls.add(id);
        const response = await this.#handle(request);
        if (this.#calls.delete(id) && !this.#socket.destroyed) {
            this.#send(`${response}\n`);
        } else {
            connectionTracker.recordUnsent();
        }
    }

    #send(text: string): void {
        if (!this.#socket.destroyed) {
            this.#socket.write(text);
        }
    }
}

/** The multiplexed connections of one HTTP server. */
export class UpgradedServer {
    readonly #options: UpgradedServerOptions;
    readonly #connections = new Set<ServedConnection>();

    /**
     * @param options The handler and the limits of messages.
     */
    constructor(options: UpgradedServerOptions) {
        this.#options = options;
    }

    /** Number of calls in progress whose callers wait. */
    get inFlight(): number {
        return [...this.#connections].reduce((sum, { inFlight }) => sum + inFlight, 0);
    }

    /**
     * Serves the upgrades of an HTTP server.
     *
     * @param server The server.
     */
    listenOn(server: Server): void {
        server.on("upgrade", (request: IncomingMessage, socket: Socket, head: Buffer) =>
            this.#handleUpgrade(request, socket, head),
        );
    }

    /** Asks all clients for no further calls. */
    close(): void {
        this.#connections.forEach((connection) => connection.close());
    }

    /** Closes the connections without calls in progress now. */
    dropIdle(): void {
        [...this.#connections]
            .filter(({ inFlight }) => inFlight === 0)
            .forEach((connection) => connection.drop());
    }

    #handleUpgrade(request: IncomingMessage, socket: Socket, head: Buffer): void {
        if (request.url !== RPC_PATH || request.headers.upgrade !== UPGRADE_PROTOCOL) {
            socket.end(BAD_REQUEST);
            return;
        }
        const connection = new ServedConnection(socket, this.#options);
        this.#connections.add(connection);
        socket.once("close", () => this.#connections.delete(connection));
        connection.start(head);
    }
}
