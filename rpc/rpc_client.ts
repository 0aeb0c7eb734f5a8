/**
 * JSON-RPC 2.0 client of one server.
 *
 * @example
 * ```ts
 * import { createRpcClient } from "./rpc_client.ts";
 * await createRpcClient("127.0.0.1:7001").call("cell.status", {});
 * ```
 *
 * @module
 */

import { JSONRPCClient, type JSONRPCRequest } from "json-rpc-2.0";
import { MultiplexedTransport } from "./multiplexed_transport.ts";
import { RpcError } from "./rpc_error.ts";
import type { Transport } from "./transport.ts";

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
    /** Returns the bytes of the messages sent and received by this client. */
    readonly bytes: () => { received: number; sent: number };
}

/** State of one call, shared between {@link RpcClient.call} and the transport. */
interface CallState {
    readonly timeoutMs: number;
    /** The transport failure that ended the call, if any. */
    transportError: RpcError | undefined;
}

/** Margin of the client library's timeout over the transport's, in ms. */
const CALL_TIMEOUT_SLACK_MS = 50;
/** One transport for each server, by address: all clients of a server share its connection. */
const transports = new Map<string, Transport>();
let lastCallId = 0;

/**
 * Creates a client of the server at `address`.
 *
 * @param address `host:port`.
 * @param timeoutMs The timeout of each call, in ms (default 5 s).
 * @returns The client.
 */
export function createRpcClient(address: string, timeoutMs = 5_000): RpcClient {
    const transport = getTransport(address);
    let received = 0;
    let sent = 0;
    const sendRequest = async (payload: JSONRPCRequest, state: CallState): Promise<void> => {
        const body = JSON.stringify(payload);
        sent += Buffer.byteLength(body);
        try {
            const id = Number(payload.id);
            const answer = await transport.send({ id, body, timeoutMs: state.timeoutMs });
            received += answer.bytes;
            client.receive(answer.response);
        } catch (error) {
            state.transportError = error as RpcError;
            throw error;
        }
    };
    const client = new JSONRPCClient<CallState>(sendRequest, createCallId);
    return {
        call: async <T>(method: string, params: object, callTimeoutMs = timeoutMs): Promise<T> => {
            const state: CallState = { timeoutMs: callTimeoutMs, transportError: undefined };
            try {
                // The transport's timeout is shorter and fires first, as it can tell whether the
                // call was sent.
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

function getTransport(address: string): Transport {
    let transport = transports.get(address);
    if (transport === undefined) {
        transport = new MultiplexedTransport(address);
        transports.set(address, transport);
    }
    return transport;
}

function createCallId(): number {
    lastCallId += 1;
    return lastCallId;
}
