/**
 * Reads the bodies of a server's requests within a bound on their memory over all connections.
 *
 * @example
 * ```ts
 * import { BodyReader } from "./body_reader.ts";
 * const reader = new BodyReader({ maxBufferedBytes: 32 * 1024 * 1024 });
 * const answer = await reader.handleBody(request, 262_144, (text) => submit(JSON.parse(text)));
 * ```
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import { BodyBuffer } from "./_body_buffer.ts";

/** Options of {@link BodyReader}. */
export interface BodyReaderOptions {
    /** Maximum memory of all bodies that arrive, in bytes (default 32 MiB). */
    readonly maxBufferedBytes?: number;
}

/** Thrown when a request body exceeds the size limit. */
export class BodyTooLargeError extends Error {
    constructor() {
        super("the body is over the limit");
        this.name = "BodyTooLargeError";
    }
}

/** Thrown when a request body is given up to keep memory free; the request was not handled. */
export class BodyRefusedError extends Error {
    constructor() {
        super("too many bodies at the same time");
        this.name = "BodyRefusedError";
    }
}

/** Thrown when the connection is closed before the body is handled. */
export class BodyAbortedError extends Error {
    constructor() {
        super("the connection was closed before the body was handled");
        this.name = "BodyAbortedError";
    }
}

interface UnfinishedBody {
    readonly buffer: BodyBuffer;
    readonly reject: (error: Error) => void;
}

const DEFAULT_MAX_BUFFERED_BYTES = 32 * 1024 * 1024;

/** Reads bodies, and hands them to their handlers. */
export class BodyReader {
    readonly #maxBufferedBytes: number;
    /** Bodies that still arrive, the oldest first. */
    readonly #unfinished = new Set<UnfinishedBody>();
    #bufferedBytes = 0;

    /**
     * @param options The bounds; see {@link BodyReaderOptions}.
     */
    constructor(options: BodyReaderOptions = {}) {
        this.#maxBufferedBytes = options.maxBufferedBytes ?? DEFAULT_MAX_BUFFERED_BYTES;
    }

    /** Memory of the bodies that arrive, in bytes. */
    get bufferedBytes(): number {
        return this.#bufferedBytes;
    }

    /**
     * Reads a request's body as UTF-8 text and handles it. Without memory for another, the body that
     * has been arriving for longest is refused.
     *
     * @param request The request.
     * @param maxBytes Maximum size of the body, in bytes.
     * @param handle Handles the text.
     * @returns The handler's result.
     * @throws {BodyTooLargeError} If the body is larger; the rest of it is discarded as it arrives.
     * @throws {BodyRefusedError} If there is no memory for it; it has not been handled.
     * @throws {BodyAbortedError} If the connection is closed first; it has not been handled.
     */
    async handleBody<Result>(
        request: IncomingMessage,
        maxBytes: number,
        handle: (text: string) => Result | Promise<Result>,
    ): Promise<Result> {
        const buffer = await this.#receive(request, maxBytes);
        this.#bufferedBytes -= buffer.capacity;
        if (request.socket.destroyed) {
            throw new BodyAbortedError();
        }
        return handle(buffer.takeText());
    }

    /** Returns the whole body, whose memory stays reserved. */
    #receive(request: IncomingMessage, maxBytes: number): Promise<BodyBuffer> {
        const buffer = new BodyBuffer(maxBytes);
        return new Promise((resolve, reject) => {
            const finish = (): void => {
                this.#unfinished.delete(body);
                request.off("data", receive).off("end", end).off("error", fail).off("close", abort);
            };
            const fail = (error: Error): void => {
                finish();
                this.#bufferedBytes -= buffer.capacity;
                buffer.drop();
                // The rest is discarded: unread, it would hold up the connection.
                request.on("error", () => {}).resume();
                reject(error);
            };
            const abort = (): void => fail(new BodyAbortedError());
            const receive = (chunk: Buffer): void => {
                const capacity = buffer.computeCapacity(chunk.length);
                if (capacity === undefined) {
                    fail(new BodyTooLargeError());
                } else if (!this.#extend(body, capacity - buffer.capacity)) {
                    fail(new BodyRefusedError());
                } else {
                    buffer.append(chunk, capacity);
                }
            };
            const end = (): void => {
                finish();
                resolve(buffer);
            };
            const body: UnfinishedBody = { buffer, reject: fail };
            this.#unfinished.add(body);
            request.on("data", receive).on("end", end).on("error", fail).on("close", abort);
        });
    }

    /** Returns false if there is no memory for the body that bodies which began earlier could free. */
    #extend(body: UnfinishedBody, sizeBytes: number): boolean {
        while (sizeBytes > 0 && this.#bufferedBytes + sizeBytes > this.#maxBufferedBytes) {
            const [oldest] = this.#unfinished;
            if (oldest === undefined || oldest === body) {
                return false;
            }
            oldest.reject(new BodyRefusedError());
        }
        this.#bufferedBytes += sizeBytes;
        return true;
    }
}
