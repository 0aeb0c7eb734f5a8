/**
 * Carries each RPC call in an HTTP request of its own. It serves messages that would hold up others
 * on a multiplexed connection, and servers of earlier releases.
 *
 * @example
 * ```ts
 * import { HttpTransport } from "./http_transport.ts";
 * const transport = new HttpTransport("10.1.0.16:7720");
 * await transport.send({ id: 1, body, timeoutMs: 400 });
 * ```
 *
 * @module
 */

import { Agent, request as sendHttp, type ClientRequest, type IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import type { JSONRPCResponse } from "json-rpc-2.0";
import { parseAddress } from "./address.ts";
import { connectionTracker } from "./connection_tracker.ts";
import { IdleConnections } from "./idle_connections.ts";
import { RpcError } from "./rpc_error.ts";
import { RPC_PATH } from "./_upgrade.ts";
import type { OutgoingCall, ReceivedResponse, Transport } from "./transport.ts";

/**
 * The time after which a connection that has not opened counts as failed, in ms. It is well above
 * the round trip to another region.
 */
export const CONNECT_TIMEOUT_MS = 300;
const sharedAgent = new Agent({ keepAlive: true, maxSockets: 64 });
const idleConnections = new IdleConnections(sharedAgent);

/** Sends each call in a POST request, over keep-alive connections that all transports share. */
export class HttpTransport implements Transport {
    readonly #address: string;
    readonly #host: string;
    readonly #port: number;

    /**
     * @param address The server's `host:port`.
     */
    constructor(address: string) {
        this.#address = address;
        [this.#host, this.#port] = parseAddress(address);
    }

    /** Sends a call; see {@link Transport.send}. */
    send(call: OutgoingCall): Promise<ReceivedResponse> {
        return new Promise((resolve, reject) => {
            let hasResponse = false;
            const sentAtMs = performance.now();
            const req = sendHttp(
                {
                    host: this.#host,
                    port: this.#port,
                    method: "POST",
                    path: RPC_PATH,
                    agent: sharedAgent,
                    // The handler of this timeout destroys the socket, so that calls to a
                    // suspended process don't exhaust the agent's sockets.
                    timeout: call.timeoutMs,
                    headers: { "content-type": "application/json" },
                },
                (res) => {
                    hasResponse = true;
                    connectionTracker.recordAnswered(performance.now() - sentAtMs);
                    idleConnections.recordResponse(this.#host, this.#port);
                    readResponse(res).then(resolve, (error: Error) =>
                        reject(toRpcError(error, this.#address)),
                    );
                },
            );
            req.on("socket", (socket) => startConnectTimeout(socket, this.#address));
            const handleTimeout = (): void => {
                if (!hasResponse) {
                    this.#dropCall(req, call);
                }
            };
            // Runs after the event loop has read the data that arrived by then; see
            // `startTimeout`.
            req.on("timeout", () => setImmediate(handleTimeout));
            req.on("error", (error: NodeJS.ErrnoException) =>
                reject(toRpcError(error, this.#address)),
            );
            req.end(call.body);
        });
    }

    #dropCall(req: ClientRequest, { timeoutMs }: OutgoingCall): void {
        const error = new RpcError(`timeout after ${timeoutMs} ms calling ${this.#address}`, 0);
        error.isUndelivered = req.socket?.connecting ?? true;
        if (!error.isUndelivered) {
            connectionTracker.recordAbandoned();
        }
        req.destroy(error);
        idleConnections.handleTimeout(this.#host, this.#port);
    }
}

async function readResponse(res: IncomingMessage): Promise<ReceivedResponse> {
    const chunks: Buffer[] = [];
    for await (const chunk of res) {
        chunks.push(chunk as Buffer);
    }
    const text = Buffer.concat(chunks).toString("utf8");
    try {
        return { response: JSON.parse(text) as JSONRPCResponse, bytes: Buffer.byteLength(text) };
    } catch {
        throw new RpcError(`malformed response with status ${res.statusCode}`, 0);
    }
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

/**
 * Converts a transport failure to an error of a call.
 *
 * @param error The failure.
 * @param address The server's address.
 * @returns The error; undelivered if the connection was refused.
 */
export function toRpcError(error: NodeJS.ErrnoException, address: string): RpcError {
    if (error instanceof RpcError) {
        return error;
    }
    const converted = new RpcError(`${address}: ${error.message}`, 0);
    converted.isUndelivered = error.code === "ECONNREFUSED";
    return converted;
}
