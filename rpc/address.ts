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

/**
 * Returns whether a text is an address.
 *
 * @param text The text.
 * @returns True for a host without spaces, a colon and a port from 1 to 65,535.
 */
export function isAddress(text: string): boolean {
    const [host, port] = parseAddress(text);
    return /^\S+$/.test(host) && Number.isInteger(port) && port >= 1 && port <= MAX_PORT;
}
