/**
 * JSON-RPC 2.0 server over Node's `http`, used between poplarhead's processes and by callers and
 * operators. Calls come in HTTP requests or over multiplexed connections, which are HTTP connections
 * that were upgraded. The server also serves plain GET routes such as `/metrics` and `/readyz`.
 *
 * @example
 * ```ts
 * import { startRpcServer } from "./rpc_server.ts";
 * const server = await startRpcServer({ methods: { "cell.status": () => ({ ok: true }) } });
 * ```
 *
 * @module
 */

import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import { connect, type AddressInfo } from "node:net";
import { JSONRPCServer, createJSONRPCErrorResponse, type JSONRPCRequest } from "json-rpc-2.0";
import { BodyReader, BodyRefusedError, BodyTooLargeError } from "../http/mod.ts";
import { isAddress, parseAddress } from "./address.ts";
import type { CallTracker } from "./call_tracker.ts";
import { connectionTracker } from "./connection_tracker.ts";
import { MethodError } from "./rpc_error.ts";
import { RPC_PATH } from "./_upgrade.ts";
import { UpgradedServer } from "./_upgraded_server.ts";

/** Handles one JSON-RPC method: takes the params and returns the result or a promise of it. */
export type RpcMethod = (params: unknown) => unknown;

/** Handles a plain HTTP request and writes the response itself. */
export type RouteHandler = (
    request: IncomingMessage,
    response: ServerResponse,
) => void | Promise<void>;

/** Options of {@link startRpcServer}. */
export interface RpcServerOptions {
    /** The address to bind (default 127.0.0.1). */
    readonly host?: string;
    /** The port to listen on; 0, the default, selects a free one. */
    readonly port?: number;
    readonly methods: Readonly<Record<string, RpcMethod>>;
    /** Handlers of GET requests, by path. */
    readonly routes?: Readonly<Record<string, RouteHandler>>;
    /** The largest accepted request body, in bytes (default 64 MiB: a snapshot is one message). */
    readonly maxBodyBytes?: number;
    /** Maximum number of connections (default 900); others are closed at once. */
    readonly maxConnections?: number;
    /** Tracks the calls that are being handled. */
    readonly tracker?: CallTracker;
}

/** How often a closing server closes connections that have become idle, in ms. */
const IDLE_SWEEP_INTERVAL_MS = 20;
/** How long a closing server waits for clients to close multiplexed connections, in ms. */
const CLIENT_CLOSE_TIMEOUT_MS = 200;
const DEFAULT_MAX_BODY_BYTES = 64 * 1024 * 1024;
const DEFAULT_MAX_CONNECTIONS = 900;
/** Number of the largest bodies for which there is memory while they arrive. */
const MAX_BODIES_AT_ONCE = 2;

/** A running JSON-RPC server. */
export interface RpcServer {
    /** The `host:port` that the server listens on. */
    readonly address: string;
    /** Returns the number of requests in flight. */
    readonly inFlight: () => number;
    /** Returns the body bytes received and sent since the server started. */
    readonly bytes: () => { received: number; sent: number };
    /** Stops accepting connections and waits for the requests in flight to complete. */
    readonly close: () => Promise<void>;
}

/**
 * Starts an HTTP server that serves JSON-RPC on `POST /rpc` and the given GET routes.
 *
 * @param options The host, port, methods and routes.
 * @returns The server, once it is listening.
 */
export async function startRpcServer(options: RpcServerOptions): Promise<RpcServer> {
    const rpc = new JSONRPCServer({ errorListener: () => {} });
    for (const [name, method] of Object.entries(options.methods)) {
        rpc.addMethod(name, (params: unknown) =>
            options.tracker === undefined
                ? method(params)
                : options.tracker.run(name, () => method(params)),
        );
    }
    rpc.applyMiddleware(async (next, request, serverParams) => {
        try {
            return await next(request, serverParams);
        } catch (error) {
            const { message } = error as Error;
            return error instanceof MethodError
                ? createJSONRPCErrorResponse(request.id ?? null, error.code, message, error.data)
                : createJSONRPCErrorResponse(request.id ?? null, -32603, message);
        }
    });
    const maxBodyBytes = options.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES;
    // Calls may wait for others, so that none waits for its turn.
    const bodyReader = new BodyReader({
        maxBufferedBytes: MAX_BODIES_AT_ONCE * maxBodyBytes,
        maxHandledBytes: Infinity,
    });
    let inFlight = 0;
    let received = 0;
    let sent = 0;
    const server = createServer((req, res) => {
        inFlight += 1;
        res.on("close", () => {
            inFlight -= 1;
        });
        const route = req.method === "GET" ? options.routes?.[req.url ?? ""] : undefined;
        if (route !== undefined) {
            void route(req, res);
            return;
        }
        if (req.method !== "POST" || req.url !== RPC_PATH) {
            res.writeHead(404).end();
            return;
        }
        const answer = async (text: string): Promise<void> => {
            received += Buffer.byteLength(text);
            const body = await handleBody(rpc, text);
            sent += Buffer.byteLength(body);
            if (res.destroyed) {
                connectionTracker.recordUnsent();
            }
            res.writeHead(200, { "content-type": "application/json" }).end(body);
        };
        bodyReader.handleBody(req, maxBodyBytes, answer).catch((error: Error) => {
            if (error instanceof BodyTooLargeError) {
                res.writeHead(413).end();
            } else if (error instanceof BodyRefusedError) {
                res.writeHead(503, { connection: "close" }).end();
            } else {
                res.destroy();
            }
        });
    });
    const upgradedServer = new UpgradedServer({
        handle: (request) => handleRequest(rpc, request),
        maxMessageLength: maxBodyBytes,
    });
    upgradedServer.listenOn(server);
    server.maxConnections = options.maxConnections ?? DEFAULT_MAX_CONNECTIONS;
    server.on("connection", () => connectionTracker.recordAccepted());
    server.keepAliveTimeout = 5_000;
    await new Promise<void>((resolve) =>
        server.listen(options.port ?? 0, options.host ?? "127.0.0.1", resolve),
    );
    const info = server.address() as AddressInfo;
    return {
        address: `${info.address}:${info.port}`,
        inFlight: () => inFlight + upgradedServer.inFlight,
        bytes: () => ({ received, sent }),
        close: () =>
            new Promise<void>((resolve) => {
                // Connections that are still busy become idle later and would otherwise delay the
                // shutdown by the keep-alive timeout.
                const closedAtMs = performance.now();
                const sweepTimer = setInterval(() => {
                    server.closeIdleConnections();
                    if (performance.now() - closedAtMs >= CLIENT_CLOSE_TIMEOUT_MS) {
                        upgradedServer.dropIdle();
                    }
                }, IDLE_SWEEP_INTERVAL_MS);
                server.close(() => {
                    clearInterval(sweepTimer);
                    resolve();
                });
                server.closeIdleConnections();
                upgradedServer.close();
            }),
    };
}

async function handleBody(rpc: JSONRPCServer, body: string): Promise<string> {
    let parsed: JSONRPCRequest;
    try {
        parsed = JSON.parse(body) as JSONRPCRequest;
    } catch {
        return JSON.stringify(createJSONRPCErrorResponse(null, -32700, "parse error"));
    }
    return handleRequest(rpc, parsed);
}

async function handleRequest(rpc: JSONRPCServer, request: JSONRPCRequest): Promise<string> {
    const response = await rpc.receive(request);
    return response === null ? "" : JSON.stringify(response);
}

/**
 * Checks whether a server accepts a new TCP connection. A network partition makes the check fail, as
 * does an invalid address; a busy server does not.
 *
 * @param address `host:port`.
 * @param timeoutMs The longest time to wait, in ms.
 * @returns True when a connection was opened; it is closed again.
 */
export function isReachable(address: string, timeoutMs: number): Promise<boolean> {
    if (!isAddress(address)) {
        return Promise.resolve(false);
    }
    const [host, port] = parseAddress(address);
    return new Promise((resolve) => {
        const socket = connect({ host, port, timeout: timeoutMs });
        const finish = (isOpen: boolean): void => {
            socket.destroy();
            resolve(isOpen);
        };
        socket.once("connect", () => finish(true));
        socket.once("timeout", () => finish(false));
        socket.once("error", () => finish(false));
    });
}
