/**
 * Network addresses of processes.
 *
 * @example
 * ```ts
 * import { parseAddress } from "./address.ts";
 * const [host, port] = parseAddress("10.1.0.16:7720");
 * ```
 *
 * @module
 */

import { isIPv6 } from "node:net";

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

/** The highest port number. */
const MAX_PORT = 65_535;
/** The longest host name, in characters. */
const MAX_HOST_LENGTH = 253;
const HOST_NAME_PATTERN = /^[A-Za-z0-9._-]+$/;
const PORT_PATTERN = /^[0-9]{1,5}$/;

/**
 * Returns whether a text is an address that a call can be sent to.
 *
 * @param text The text.
 * @returns True for a host name or IP address, a colon and a decimal port from 1 to 65,535.
 */
export function isAddress(text: string): boolean {
    const separatorIndex = text.lastIndexOf(":");
    const host = text.slice(0, separatorIndex);
    const port = text.slice(separatorIndex + 1);
    return separatorIndex > 0 && isHost(host) && isPort(port);
}

function isHost(text: string): boolean {
    const isName = text.length <= MAX_HOST_LENGTH && HOST_NAME_PATTERN.test(text);
    return isName || isIPv6(text);
}

function isPort(text: string): boolean {
    const port = Number(text);
    return PORT_PATTERN.test(text) && port >= 1 && port <= MAX_PORT;
}
