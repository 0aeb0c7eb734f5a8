/**
 * Hands the bytes of a connection to Node.js's HTTP parser as its requests are answered.
 *
 * @module
 */

import type { Socket } from "node:net";

/**
 * Most bytes that are parsed before the number of open requests is checked. The parser takes all
 * requests out of the bytes it is given, and a whole read of 64 KiB can hold over 3,000.
 */
const SLICE_BYTES = 4_096;

/** The parsing of one connection. */
export class PacedParsing {
    readonly #socket: Socket;
    readonly #isSaturated: () => boolean;
    readonly #parse: (chunk: Buffer) => void;
    #isHeld = false;

    /**
     * Takes the place of the HTTP server's listener for the bytes of a connection.
     *
     * @param socket A connection that the HTTP server has begun to serve.
     * @param isSaturated Returns whether no more requests should be parsed for now.
     */
    constructor(socket: Socket, isSaturated: () => boolean) {
        this.#socket = socket;
        this.#isSaturated = isSaturated;
        const [parse] = socket.listeners("data") as ((chunk: Buffer) => void)[];
        if (parse === undefined) {
            throw new Error("the HTTP server does not listen to this connection");
        }
        this.#parse = parse;
        socket.on("data", (chunk: Buffer) => this.#receive(chunk));
        socket.off("data", parse);
    }

    /** Goes on with what was held, if that is possible by now. */
    wake(): void {
        if (this.#isHeld && !this.#isSaturated()) {
            this.#isHeld = false;
            this.#socket.resume();
        }
    }

    #receive(chunk: Buffer): void {
        for (let offset = 0; offset < chunk.length; offset += SLICE_BYTES) {
            // The server pauses a connection whose answers aren't read, and resumes it itself.
            if (this.#socket.isPaused() || this.#isSaturated()) {
                this.#schedule(chunk.subarray(offset));
                return;
            }
            this.#parse(chunk.subarray(offset, offset + SLICE_BYTES));
            if (this.#socket.destroyed) {
                return;
            }
        }
    }

    #schedule(rest: Buffer): void {
        if (!this.#socket.isPaused()) {
            this.#isHeld = true;
            this.#socket.pause();
        }
        this.#socket.unshift(rest);
    }
}
