/**
 * Splits a stream of bytes into lines of text. Every message between multiplexed peers is one line.
 *
 * @module
 */

import { StringDecoder } from "node:string_decoder";

/** Decodes lines from chunks of UTF-8. */
export class LineDecoder {
    readonly #decoder = new StringDecoder("utf8");
    readonly #maxLineLength: number;
    #rest = "";

    /**
     * @param maxLineLength The length of the longest accepted line, in characters.
     */
    constructor(maxLineLength: number) {
        this.#maxLineLength = maxLineLength;
    }

    /**
     * Decodes the lines that a chunk completes.
     *
     * @param chunk The next part of the stream.
     * @returns The lines, without their line feeds.
     * @throws {RangeError} If a line is too long.
     */
    decode(chunk: Buffer): string[] {
        const lines = (this.#rest + this.#decoder.write(chunk)).split("\n");
        this.#rest = lines.pop() ?? "";
        if (this.#rest.length > this.#maxLineLength) {
            throw new RangeError(`a line is longer than ${this.#maxLineLength} characters`);
        }
        return lines;
    }
}
