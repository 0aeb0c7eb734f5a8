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
import { TurnQueue } from "./_turn_queue.ts";

/** Options of {@link BodyReader}. */
export interface BodyReaderOptions {
    /** Maximum memory of all bodies that arrive or wait, in bytes (default 32 MiB). */
    readonly maxBufferedBytes?: number;
    /**
     * Maximum size of the bodies that are handled at the same time, in bytes (default 1 MiB); for
     * small and for large ones each. A larger one is handled alone. A decoded body takes many times
     * its size.
     */
    readonly maxHandledBytes?: number;
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
const DEFAULT_MAX_HANDLED_BYTES = 1024 * 1024;
/** Largest of the small bodies, which large ones don't hold up, in bytes. */
const SMALL_BODY_BYTES = 16 * 1024;

/** Reads bodies, and hands them to their handlers as memory permits. */
export class BodyReader {
    readonly #maxBufferedBytes: number;
    readonly #smallBodies: TurnQueue;
    readonly #largeBodies: TurnQueue;
    /** Bodies that still arrive, the oldest first. */
    readonly #unfinished = new Set<UnfinishedBody>();
    #bufferedBytes = 0;

    /**
     * @param options The bounds; see {@link BodyReaderOptions}.
     */
    constructor(options: BodyReaderOptions = {}) {
        this.#maxBufferedBytes = options.maxBufferedBytes ?? DEFAULT_MAX_BUFFERED_BYTES;
        const maxHandledBytes = options.maxHandledBytes ?? DEFAULT_MAX_HANDLED_BYTES;
        this.#smallBodies = new TurnQueue(maxHandledBytes);
        this.#largeBodies = new TurnQueue(maxHandledBytes);
    }

    /** Memory of the bodies that arrive or wait, in bytes. */
    get bufferedBytes(): number {
        return this.#bufferedBytes;
    }

    /**
     * Reads a request's body as UTF-8 text and handles it. Of the bodies that wait, the smallest is
     * handled first. Without memory for another, the body that has been arriving for longest is
     * refused.
     *
     * @param request The request.
     * @param maxBytes Maximum size of the body, in bytes.
     * @param handle Handles the text; the body counts as handled until its promise is settled.
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
        const sizeBytes = buffer.capacity;
        const turns = sizeBytes <= SMALL_BODY_BYTES ? this.#smallBodies : this.#largeBodies;
        await turns.waitForTurn(sizeBytes);
        try {
            this.#bufferedBytes -= sizeBytes;
            if (request.socket.destroyed) {
                throw new BodyAbortedError();
            }
            return await handle(buffer.takeText());
        } finally {
            turns.release(sizeBytes);
        }
    }

    /** Returns the whole body, whose memory stays reserved. */
    #receive(request: IncomingMessage, maxBytes: number): Promise<BodyBuffer> {
        const buffer = new BodyBuffer(maxBytes);
        return new Promise((resolve, reject) => {
            const finish = (): void => {
                this.#unfinished.delete(body);
                request
                    .off("data", receive)
                    .off("end", end)
                    .off("error", abort)
                    .off("close", abort);
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
            request.on("data", receive).on("end", end).on("error", abort).on("close", abort);
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
