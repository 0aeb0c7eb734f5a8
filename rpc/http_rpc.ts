/**
 * JSON-RPC 2.0 over Node's `http`, both sides, between poplarhead's own processes and towards
 * callers and operators. The server also serves plain routes (`/metrics`, `/readyz`).
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

/** A method: takes the params object, returns the result (or a promise of it). */
export type RpcMethod = (params: unknown) => unknown;

/** A plain route: writes its own response. */
export type RouteHandler = (
    request: IncomingMessage,
    response: ServerResponse,
) => void | Promise<void>;

/** Options of {@link startRpcServer}. */
export interface RpcServerOptions {
    /** Defaults to 127.0.0.1. */
    readonly host?: string;
    /** 0 (the default) takes a free port. */
    readonly port?: number;
    readonly methods: Readonly<Record<string, RpcMethod>>;
    /** GET routes by path. */
    readonly routes?: Readonly<Record<string, RouteHandler>>;
    /** The largest request body taken, in bytes (default 64 MiB: a snapshot is one message). */
    readonly maxBodyBytes?: number;
}

const IDLE_SWEEP_INTERVAL_MS = 20;
const DEFAULT_MAX_BODY_BYTES = 64 * 1024 * 1024;

/** A running server. */
export interface RpcServer {
    /** `host:port` it listens on. */
    readonly address: string;
    /** Requests being served now. */
    readonly inFlight: () => number;
    /** Bytes received and sent since start. */
    readonly bytes: () => { received: number; sent: number };
    /** Stops taking connections and waits for the requests in flight to end. */
    readonly close: () => Promise<void>;
}

/** Thrown by a client call when the server answered with an error or could not be reached. */
export class RpcError extends Error {
    /** The JSON-RPC error code, or 0 for a transport failure. */
    readonly code: number;
    /** No connection could be opened, so the call was not sent. */
    isUndelivered = false;
    /** What the server added for the program to read, such as when to come back. */
    readonly data: unknown;

    /**
     * @param message What failed.
     * @param code The JSON-RPC error code, 0 for transport.
     * @param data What the server added.
     */
    constructor(message: string, code: number, data?: unknown) {
        super(message);
        this.name = "RpcError";
        this.code = code;
        this.data = data;
    }
}

/** An error that a method throws to give the caller a JSON-RPC error with a code. */
export class MethodError extends Error {
    readonly code: number;
    /** What the caller's program may read, such as when to come back. */
    readonly data: unknown;

    /**
     * @param message What is wrong, for the caller.
     * @param code A JSON-RPC application error code (-32000 and below).
     * @param data What the caller's program may read.
     */
    constructor(message: string, code = -32000, data?: unknown) {
        super(message);
        this.name = "MethodError";
        this.code = code;
        this.data = data;
    }
}

/**
 * Starts a JSON-RPC server on `POST /rpc`, with plain GET routes beside it.
 *
 * @param options Host, port, methods and routes.
 * @returns The running server, once it listens.
 */
export async function startRpcServer(options: RpcServerOptions): Promise<RpcServer> {
    const rpc = new JSONRPCServer({ errorListener: () => {} });
    for (const [name, method] of Object.entries(options.methods)) {
        rpc.addMethod(name, (params: unknown) => method(params));
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
                res.writeHead(200, { "content-type": "application/json" }).end(body);
            });
        });
    });
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
                // A connection that answers its last request after this goes idle then, and would
                // hold the shutdown up for the keep-alive time.
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

/** One call on its way. */
interface CallState {
    readonly timeoutMs: number;
    /** What went wrong on the way. */
    transportError: RpcError | undefined;
}

/** A client of one server. */
export interface RpcClient {
    /**
     * Calls a method.
     *
     * @param method The method's name.
     * @param params Its params object.
     * @param callTimeoutMs How long this call may take, in ms, if other than the client's.
     * @returns The result.
     * @throws {RpcError} On an error answer, a timeout or a transport failure.
     */
    readonly call: <T>(method: string, params: object, callTimeoutMs?: number) => Promise<T>;
    /** Bytes sent and received by this client. */
    readonly bytes: () => { received: number; sent: number };
}

/**
 * An instance that has not opened a connection by then is off or cut off, in ms: the way takes some
 * ms, in another region some tens.
 */
const CONNECT_TIMEOUT_MS = 300;
/** How much later than the socket the caller's own timer gives a call up, in ms. */
const CALL_TIMEOUT_SLACK_MS = 50;
const sharedAgent = new Agent({ keepAlive: true, maxSockets: 64 });

/**
 * Creates a client of the server at `address`.
 *
 * @param address `host:port`.
 * @param timeoutMs How long one call may take, in ms (default 5 s).
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
                const req = sendHttp(
                    {
                        host,
                        port,
                        method: "POST",
                        path: "/rpc",
                        agent: sharedAgent,
                        // Destroys the socket too: one left open to a frozen process for every
                        // timed-out call would use up the agent's sockets.
                        timeout: state.timeoutMs,
                        headers: { "content-type": "application/json" },
                    },
                    (res) => {
                        hasResponse = true;
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
                    req.destroy(error);
                    closeIdleSockets(sharedAgent, host, port);
                };
                // As in `startTimeout`: what has arrived is read before the call is given up.
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
                // The socket's own timeout comes first: it knows whether the call was delivered.
                return (await client
                    .timeout(callTimeoutMs + CALL_TIMEOUT_SLACK_MS)
                    .request(method, params, state)) as T;
            } catch (error) {
                // The library passes on only the text of what went wrong on the way.
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

/** Gives a connection up that is not open in time, so that a call can go elsewhere, unsent. */
function startConnectTimeout(socket: Socket, address: string): void {
    if (!socket.connecting) {
        return;
    }
    const timer = setTimeout(() => {
        const error = new RpcError(`${address}: no connection within ${CONNECT_TIMEOUT_MS} ms`, 0);
        error.isUndelivered = true;
        socket.destroy(error);
    }, CONNECT_TIMEOUT_MS);
    socket.once("connect", () => clearTimeout(timer));
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
 * Closes the idle connections of an agent to one server. Connections can go silent without a
 * reset; after one did, the others are not trusted with a call that would have to time out too.
 *
 * @param agent The agent.
 * @param host The server's host.
 * @param port The server's port.
 */
export function closeIdleSockets(agent: Agent, host: string, port: number): void {
    const idle = agent.freeSockets[agent.getName({ host, port })] ?? [];
    [...idle].forEach((socket) => socket.destroy());
}

/**
 * Tells whether a new connection to a server can be opened. A cut way fails; a server that is busy does not.
 *
 * @param address `host:port`.
 * @param timeoutMs How long to wait, in ms.
 * @returns True when one was opened; it is closed again.
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
 * Splits an address.
 *
 * @param address `host:port`.
 * @returns The host and the port.
 */
export function parseAddress(address: string): [string, number] {
    const separatorIndex = address.lastIndexOf(":");
    return [address.slice(0, separatorIndex), Number(address.slice(separatorIndex + 1))];
}
