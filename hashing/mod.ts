/**
 * A fast, non-cryptographic hash that gives every process the same value, for example to sample
 * requests consistently.
 *
 * @example
 * ```ts
 * import { computeHash } from "./mod.ts";
 * const isSampled = computeHash("5c0e7a21d94b36f8") % 4 === 0;
 * ```
 *
 * @module
 */

/**
 * Computes the 32-bit FNV-1a hash of a text. The high bits are folded into the low ones, which on
 * their own depend only on the low bits of the characters.
 *
 * @param text The text to hash.
 * @returns An integer from 0 to 2^32 - 1.
 */
export function computeHash(text: string): number {
    let hash = 0x811c9dc5;
    for (let i = 0; i < text.length; i++) {
        hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193) >>> 0;
    }
    return (hash ^ (hash >>> 15)) >>> 0;
}
