/**
 * Errors of RPC calls.
 *
 * @example
 * ```ts
 * import { RpcError } from "./rpc_error.ts";
 * throw new RpcError("timeout after 400 ms", 0);
 * ```
 *
 * @module
 */

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
