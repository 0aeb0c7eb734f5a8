/**
 * What clients and servers of multiplexed connections agree on. A client opens an HTTP connection,
 * upgrades it, and then both sides send JSON-RPC messages, one a line. An empty line asks the other
 * side for an empty line, which shows that it is alive.
 *
 * @module
 */

/** The path that is upgraded; calls are also posted to it. */
export const RPC_PATH = "/rpc";
/** The name of the protocol in the `Upgrade` header. */
export const UPGRADE_PROTOCOL = "json-rpc-lines";
/** The notification by which a client cancels a call; its params hold the call's id. */
export const CANCEL_METHOD = "$/cancel";
/** The notification by which a server asks the client to make no further calls. */
export const CLOSE_METHOD = "$/close";
/** The empty line, which a server echoes. */
export const PING_LINE = "\n";
/** The length of the longest accepted message, in characters. */
export const MAX_MESSAGE_LENGTH = 64 * 1024 * 1024;

/** The params of a cancellation. */
export interface CancelParams {
    readonly id: number;
}
