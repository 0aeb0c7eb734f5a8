/**
 * HTTP servers whose memory and descriptors are bounded, whatever their clients send.
 *
 * @example
 * ```ts
 * import { BodyReader } from "../http/mod.ts";
 * const reader = new BodyReader();
 * ```
 *
 * @module
 */

export * from "./body_reader.ts";
export * from "./bounded_server.ts";
export * from "./limits.ts";
