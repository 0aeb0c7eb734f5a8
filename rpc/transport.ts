/**
 * What carries RPC calls to one server.
 *
 * @example
 * ```ts
 * import type { Transport } from "./transport.ts";
 * const { response } = await transport.send({ id: 1, body, timeoutMs: 400 });
 * ```
 *
 * @module
 */

import type { JSONRPCResponse } from "json-rpc-2.0";

/** A call to send. */
export interface OutgoingCall {
    /** The id of the call, unique among the calls of this process. */
    readonly id: number;
    /** The JSON-RPC request. */
    readonly body: string;
    /** How long to wait for the response, in ms. */
    readonly timeoutMs: number;
}

/** A response that was received. */
export interface ReceivedResponse {
    readonly response: JSONRPCResponse;
    /** The size of its message, in bytes. */
    readonly bytes: number;
}

/** Carries calls to one server. */
export interface Transport {
    /**
     * Sends a call and waits for its response.
     *
     * @param call The call.
     * @returns The response.
     * @throws {RpcError} If there is no response in time; its `isUndelivered` says whether the call
     *     was never sent.
     */
    readonly send: (call: OutgoingCall) => Promise<ReceivedResponse>;
}
