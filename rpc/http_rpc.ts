/**
 * JSON-RPC 2.0 server and client over Node's `http`, used between poplarhead's processes and by
 * callers and operators. The server also serves plain GET routes such as `/metrics` and `/readyz`.
 *
 * @example
 * ```ts
 * import { startRpcServer, createRpcClient } from "./http_rpc.ts";
 * const server = await startRpcServer({ methods: { "cell.status": () => ({ ok: true }) } });
 * const client = createRpcClient(server.address);
 * await client.call("cell.status", {});
 * ```
 *
 * @module
 */

import {
    Agent,
    createServer,
    request as sendHttp,
    type IncomingMessage,
    type ServerResponse,
} from "node:http";
import { connect, type AddressInfo, type Socket } from "node:net";
import {
    JSONRPCClient,
    JSONRPCServer,
    createJSONRPCErrorResponse,
    type JSONRPCRequest,
} from "json-rpc-2.0";
import type { CallTracker } from "./call_tracker.ts";
import { connectionTracker } from "./connection_tracker.ts";
import { IdleConnections } from "./idle_connections.ts";

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
    /** Tracks the calls that are being handled. */
    readonly tracker?: CallTracker;
}

/** How often a closing server closes connections that have become idle, in ms. */
const IDLE_SWEEP_INTERVAL_MS = 20;
const DEFAULT_MAX_BODY_BYTES = 64 * 1024 * 1024;

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

/** Thrown by a client call on an error response, a timeout or a transport failure. */
export class RpcError extends Error {
    /** The JSON-RPC error code, or 0 for a transport failure. */
    readonly code: number;
    /** Whether the call was never sent, because no connection was opened. */
    isUndelivered = false;
    /** Machine-readable details from the server, such as a retry delay. */
    readonly data: unknown;

    /**
     * @param message A description of the failure.
     * @param code The JSON-RPC error code, or 0 for a transport failure.
     * @param data Machine-readable details from the server.
     */
    constructor(message: string, code: number, data?: unknown) {
        super(message);
        this.name = "RpcError";
        this.code = code;
        this.data = data;
    }
}

/** Thrown by a method to send the caller a JSON-RPC error with a given code. */
export class MethodError extends Error {
    readonly code: number;
    /** Machine-readable details for the caller, such as a retry delay. */
    readonly data: unknown;

    /**
     * @param message A description of the error for the caller.
     * @param code A JSON-RPC application error code (-32000 and below).
     * @param data Machine-readable details for the caller.
     */
    constructor(message: string, code = -32000, data?: unknown) {
        super(message);
        this.name = "MethodError";
        this.code = code;
        this.data = data;
    }
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
        if (req.method !== "POST" || req.url !== "/rpc") {
            res.writeHead(404).end();
            return;
        }
        const chunks: Buffer[] = [];
        let bodyBytes = 0;
        req.on("data", (chunk: Buffer) => {
            bodyBytes += chunk.length;
            if (bodyBytes <= maxBodyBytes) {
                chunks.push(chunk);
            }
        });
        req.on("end", () => {
            received += bodyBytes;
            if (bodyBytes > maxBodyBytes) {
                res.writeHead(413).end();
                return;
            }
            void handleRpcBody(rpc, Buffer.concat(chunks).toString("utf8")).then((body) => {
                sent += Buffer.byteLength(body);
                if (res.destroyed) {
                    connectionTracker.recordUnsent();
                }
                res.writeHead(200, { "content-type": "application/json" }).end(body);
            });
        });
    });
    server.on("connection", () => connectionTracker.recordAccepted());
    server.keepAliveTimeout = 5_000;
    await new Promise<void>((resolve) =>
        server.listen(options.port ?? 0, options.host ?? "127.0.0.1", resolve),
    );
    const info = server.address() as AddressInfo;
    return {
        address: `${info.address}:${info.port}`,
        inFlight: () => inFlight,
        bytes: () => ({ received, sent }),
        close: () =>
            new Promise<void>((resolve) => {
                // Connections that are still busy become idle later and would otherwise delay the
                // shutdown by the keep-alive timeout.
                const sweepTimer = setInterval(
                    () => server.closeIdleConnections(),
                    IDLE_SWEEP_INTERVAL_MS,
                );
                server.close(() => {
                    clearInterval(sweepTimer);
                    resolve();
                });
                server.closeIdleConnections();
            }),
    };
}

async function handleRpcBody(rpc: JSONRPCServer, body: string): Promise<string> {
    let parsed: JSONRPCRequest;
    try {
        parsed = JSON.parse(body) as JSONRPCRequest;
    } catch {
        return JSON.stringify(createJSONRPCErrorResponse(null, -32700, "parse error"));
    }
    const response = await rpc.receive(parsed);
    return response === null ? "" : JSON.stringify(response);
}

/** State of one call, shared between {@link RpcClient.call} and the HTTP transport. */
interface CallState {
    readonly timeoutMs: number;
    /** The transport failure that ended the call, if any. */
    transportError: RpcError | undefined;
}

/** A client of one JSON-RPC server. */
export interface RpcClient {
    /**
     * Calls a method.
     *
     * @param method The method name.
     * @param params The params object.
     * @param callTimeoutMs The timeout of this call, in ms (default: the client's).
     * @returns The result of the method.
     * @throws {RpcError} On an error response, a timeout or a transport failure.
     */
    readonly call: <T>(method: string, params: object, callTimeoutMs?: number) => Promise<T>;
    /** Returns the body bytes sent and received by this client. */
    readonly bytes: () => { received: number; sent: number };
}

/**
 * The time after which a connection that has not opened counts as failed, in ms. It is well above
 * the round trip to another region.
 */
const CONNECT_TIMEOUT_MS = 300;
/** Margin of the client library's timeout over the socket's timeout, in ms. */
const CALL_TIMEOUT_SLACK_MS = 50;
const sharedAgent = new Agent({ keepAlive: true, maxSockets: 64 });
const idleConnections = new IdleConnections(sharedAgent);

/**
 * Creates a client of the server at `address`. All clients share one keep-alive agent.
 *
 * @param address `host:port`.
 * @param timeoutMs The timeout of each call, in ms (default 5 s).
 * @returns The client.
 */
export function createRpcClient(address: string, timeoutMs = 5_000): RpcClient {
    const [host, port] = parseAddress(address);
    let received = 0;
    let sent = 0;
    const client = new JSONRPCClient<CallState>(
        (payload, state) =>
            new Promise<void>((resolve, reject) => {
                const body = JSON.stringify(payload);
                sent += Buffer.byteLength(body);
                let hasResponse = false;
                const sentAtMs = performance.now();
                const req = sendHttp(
                    {
                        host,
                        port,
                        method: "POST",
                        path: "/rpc",
                        agent: sharedAgent,
                        // The handler of this timeout destroys the socket, so that calls to a
                        // suspended process don't exhaust the agent's sockets.
                        timeout: state.timeoutMs,
                        headers: { "content-type": "application/json" },
                    },
                    (res) => {
                        hasResponse = true;
                        connectionTracker.recordAnswered(performance.now() - sentAtMs);
                        idleConnections.recordResponse(host, port);
                        const chunks: Buffer[] = [];
                        res.on("data", (c: Buffer) => chunks.push(c));
                        res.on("end", () => {
                            const text = Buffer.concat(chunks).toString("utf8");
                            received += Buffer.byteLength(text);
                            if (text !== "") {
                                client.receive(JSON.parse(text));
                            }
                            resolve();
                        });
                    },
                );
                req.on("socket", (socket) => startConnectTimeout(socket, address));
                const handleTimeout = (): void => {
                    if (hasResponse) {
                        return;
                    }
                    const error = new RpcError(
                        `timeout after ${state.timeoutMs} ms calling ${address}`,
                        0,
                    );
                    error.isUndelivered = req.socket?.connecting ?? true;
                    if (!error.isUndelivered) {
                        connectionTracker.recordAbandoned();
                    }
                    req.destroy(error);
                    idleConnections.handleTimeout(host, port);
                };
                // Runs after the event loop has read the data that arrived by then; see
                // `startTimeout`.
                req.on("timeout", () => setImmediate(handleTimeout));
                req.on("error", (error: NodeJS.ErrnoException) => {
                    state.transportError = toRpcError(error, address);
                    reject(state.transportError);
                });
                req.end(body);
            }),
    );
    return {
        call: async <T>(method: string, params: object, callTimeoutMs = timeoutMs): Promise<T> => {
            const state: CallState = { timeoutMs: callTimeoutMs, transportError: undefined };
            try {
                // The socket's timeout is shorter and fires first, as it can tell whether the call
                // was sent.
                return (await client
                    .timeout(callTimeoutMs + CALL_TIMEOUT_SLACK_MS)
                    .request(method, params, state)) as T;
            } catch (error) {
                // The library keeps only the message of a transport error.
                if (state.transportError !== undefined) {
                    throw state.transportError;
                }
                const { code, data } = error as { code?: number; data?: unknown };
                throw new RpcError((error as Error).message, code ?? 0, data);
            }
        },
        bytes: () => ({ received, sent }),
    };
}

/**
 * Destroys a socket that doesn't connect in time, so that the unsent call can be retried elsewhere.
 */
function startConnectTimeout(socket: Socket, address: string): void {
    if (!socket.connecting) {
        return;
    }
    const startedAtMs = performance.now();
    const timer = setTimeout(() => {
        connectionTracker.recordOpenFailed();
        const error = new RpcError(`${address}: no connection within ${CONNECT_TIMEOUT_MS} ms`, 0);
        error.isUndelivered = true;
        socket.destroy(error);
    }, CONNECT_TIMEOUT_MS);
    socket.once("connect", () => {
        clearTimeout(timer);
        connectionTracker.recordOpened(performance.now() - startedAtMs);
    });
    socket.once("close", () => clearTimeout(timer));
}

function toRpcError(error: NodeJS.ErrnoException, address: string): RpcError {
    if (error instanceof RpcError) {
        return error;
    }
    const converted = new RpcError(`${address}: ${error.message}`, 0);
    converted.isUndelivered = error.code === "ECONNREFUSED";
    return converted;
}

/**
 * Checks whether a server accepts a new TCP connection. A network partition makes the check fail;
 * a busy server does not.
 *
 * @param address `host:port`.
 * @param timeoutMs The longest time to wait, in ms.
 * @returns True when a connection was opened; it is closed again.
 */
export function isReachable(address: string, timeoutMs: number): Promise<boolean> {
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

/**
 * Splits an address into its host and its port.
 *
 * @param address `host:port`.
 * @returns The host and the port.
 */
export function parseAddress(address: string): [string, number] {
    const separatorIndex = address.lastIndexOf(":");
    return [address.slice(0, separatorIndex), Number(address.slice(separatorIndex + 1))];
}
