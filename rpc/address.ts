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
