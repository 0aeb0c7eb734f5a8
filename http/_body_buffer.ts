/**
 * Collects the chunks of a body in one buffer.
 *
 * @module
 */

/** Capacity of the first allocation, in bytes. */
const MIN_CAPACITY = 512;

/**
 * A buffer that grows as bytes arrive, whatever size the sender announced. Chunks are copied: each is
 * a view of the buffer that it was read into, and would keep all of it in memory.
 */
export class BodyBuffer {
    readonly #maxBytes: number;
    #bytes = Buffer.alloc(0);
    #length = 0;

    /**
     * @param maxBytes Maximum number of bytes.
     */
    constructor(maxBytes: number) {
        this.#maxBytes = maxBytes;
    }

    /** Number of bytes allocated. */
    get capacity(): number {
        return this.#bytes.length;
    }

    /**
     * Computes the capacity that the buffer needs for a chunk.
     *
     * @param chunkBytes Size of the chunk, in bytes.
     * @returns The capacity, in bytes, or `undefined` if the body would be too large.
     */
    computeCapacity(chunkBytes: number): number | undefined {
        const length = this.#length + chunkBytes;
        if (length > this.#maxBytes) {
            return undefined;
        }
        if (length <= this.capacity) {
            return this.capacity;
        }
        const doubled = Math.max(length, 2 * this.capacity, MIN_CAPACITY);
        return Math.min(doubled, this.#maxBytes);
    }

    /**
     * Appends a chunk.
     *
     * @param chunk The chunk.
     * @param capacity The buffer's capacity from now on, in bytes.
     */
    append(chunk: Buffer, capacity: number): void {
        if (capacity > this.capacity) {
            // Small buffers from Node.js's pool would share, and keep, its blocks.
            const bytes = Buffer.allocUnsafeSlow(capacity);
            this.#bytes.copy(bytes, 0, 0, this.#length);
            this.#bytes = bytes;
        }
        chunk.copy(this.#bytes, this.#length);
        this.#length += chunk.length;
    }

    /**
     * Returns the text and frees the buffer.
     *
     * @returns The bytes, decoded as UTF-8.
     */
    takeText(): string {
        const text = this.#bytes.toString("utf8", 0, this.#length);
        this.drop();
        return text;
    }

    /** Frees the buffer. */
    drop(): void {
        this.#bytes = Buffer.alloc(0);
        this.#length = 0;
    }
}
