/**
 * A bounded, non-blocking way to standard output. Node writes to a pipe synchronously: a reader
 * that stalls would stop the event loop, and with it heartbeats and leases. Lines are queued
 * here, written in batches by a pool thread, and given up when the queue is full; what was given
 * up is counted and told in a line of its own.
 *
 * @example
 * ```ts
 * import { LogSink } from "./log_sink.ts";
 * const sink = new LogSink({ fd: 1 });
 * sink.write("{}\n", true);
 * ```
 *
 * @module
 */

import { write } from "node:fs";

/** Options of {@link LogSink}. */
export interface LogSinkOptions {
    /** The file descriptor; standard output by default. */
    readonly fd?: number;
    /** The most bytes that wait, for lines that may be given up. */
    readonly maxWaitingBytes?: number;
    /** Further bytes, for lines that tell of failures. */
    readonly reservedBytes?: number;
    /** Lines a second in the long run; failures do not count. */
    readonly linesPerSecond?: number;
    /** Writes bytes; replaced in tests. */
    readonly writeBytes?: (
        fd: number,
        bytes: Buffer,
        done: (error: Error | null, written: number) => void,
    ) => void;
    readonly getNow?: () => number;
}

/** Some seconds of a busy leader's lines, while the reader stalls. */
const DEFAULT_MAX_WAITING_BYTES = 1_000_000;
const DEFAULT_RESERVED_BYTES = 250_000;
/** A last resort above what a leader's own sampling lets through; 0.4 MB/s at the most. */
const DEFAULT_LINES_PER_SECOND = 2_000;
/** Lines that may come at once after a quiet time, in seconds of the long-run rate. */
const BURST_SECONDS = 4;
/** Lines are gathered for this long, in ms: one write for many lines. */
const GATHER_MS = 50;
/** Linux's PIPE_BUF: a write of so many bytes reaches a pipe in one piece. */
const BLOCK_BYTES = 4_096;

/** Queued lines on their way out. */
export class LogSink {
    readonly #fd: number;
    readonly #maxWaitingBytes: number;
    readonly #reservedBytes: number;
    readonly #linesPerSecond: number;
    readonly #writeBytes: NonNullable<LogSinkOptions["writeBytes"]>;
    readonly #getNow: () => number;
    #waiting: string[] = [];
    #waitingBytes = 0;
    #dropped = 0;
    #isWriting = false;
    #isScheduled = false;
    #tokens: number;
    #refilledAt: number;

    /**
     * @param options Where to write, how much may wait; see {@link LogSinkOptions}.
     */
    constructor(options: LogSinkOptions = {}) {
        this.#fd = options.fd ?? 1;
        this.#maxWaitingBytes = options.maxWaitingBytes ?? DEFAULT_MAX_WAITING_BYTES;
        this.#reservedBytes = options.reservedBytes ?? DEFAULT_RESERVED_BYTES;
        this.#linesPerSecond = options.linesPerSecond ?? DEFAULT_LINES_PER_SECOND;
        this.#writeBytes = options.writeBytes ?? ((fd, bytes, done) => write(fd, bytes, done));
        this.#getNow = options.getNow ?? (() => performance.now());
        this.#tokens = this.#linesPerSecond * BURST_SECONDS;
        this.#refilledAt = this.#getNow();
    }

    /** Bytes that wait. */
    get waitingBytes(): number {
        return this.#waitingBytes;
    }

    /** Lines given up and not told of yet. */
    get dropped(): number {
        return this.#dropped;
    }

    /**
     * Queues a line.
     *
     * @param line The line, with its newline.
     * @param isFailure It tells of something that went wrong: given up only when the reserve is
     * full too.
     */
    write(line: string, isFailure: boolean): void {
        const limit = this.#maxWaitingBytes + (isFailure ? this.#reservedBytes : 0);
        const isWithinRate = isFailure || this.#takeToken();
        if (!isWithinRate || this.#waitingBytes + line.length > limit) {
            this.#dropped += 1;
            return;
        }
        this.#waiting.push(line);
        this.#waitingBytes += line.length;
        this.#scheduleFlush();
    }

    /**
     * Writes what waits, for the end of a process.
     *
     * @returns Once it is written, or after `limitMs`.
     */
    async close(limitMs = 200): Promise<void> {
        const deadline = this.#getNow() + limitMs;
        this.#flush();
        while ((this.#isWriting || this.#waiting.length > 0) && this.#getNow() < deadline) {
            await new Promise((resolve) => setTimeout(resolve, 5));
        }
    }

    #takeToken(): boolean {
        const now = this.#getNow();
        const gained = ((now - this.#refilledAt) / 1_000) * this.#linesPerSecond;
        this.#tokens = Math.min(this.#linesPerSecond * BURST_SECONDS, this.#tokens + gained);
        this.#refilledAt = now;
        if (this.#tokens < 1) {
            return false;
        }
        this.#tokens -= 1;
        return true;
    }

    #scheduleFlush(): void {
        if (!this.#isScheduled) {
            this.#isScheduled = true;
            setTimeout(() => this.#flush(), GATHER_MS);
        }
    }

    #flush(): void {
        this.#isScheduled = false;
        if (this.#isWriting || this.#waiting.length === 0) {
            return;
        }
        if (this.#dropped > 0) {
            const note = { level: "warn", message: "log lines given up", count: this.#dropped };
            this.#waiting.push(`${JSON.stringify(note)}\n`);
            this.#dropped = 0;
        }
        const blocks = formatBlocks(this.#waiting);
        this.#waiting = [];
        this.#waitingBytes = 0;
        this.#isWriting = true;
        this.#sendBlocks(blocks);
    }

    #sendBlocks(blocks: readonly Buffer[]): void {
        const [first, ...rest] = blocks;
        if (first === undefined) {
            this.#isWriting = false;
            if (this.#waiting.length > 0) {
                this.#scheduleFlush();
            }
            return;
        }
        this.#send(first, () => this.#sendBlocks(rest));
    }

    /** A pipe may take a part only; the rest follows. An error ends this block: there is no reader. */
    #send(bytes: Buffer, onSent: () => void): void {
        this.#writeBytes(this.#fd, bytes, (error, written) => {
            if (error === null && written < bytes.length) {
                this.#send(bytes.subarray(written), onSent);
                return;
            }
            onSent();
        });
    }
}

/**
 * Joins lines into blocks that a pipe takes whole: a longer write may be cut apart among those of other
 * processes, and a collector that reads a block at a time loses the rest of it.
 */
function formatBlocks(lines: readonly string[]): Buffer[] {
    const blocks: Buffer[] = [];
    let text = "";
    for (const line of lines) {
        if (text !== "" && text.length + line.length > BLOCK_BYTES) {
            blocks.push(Buffer.from(text));
            text = "";
        }
        text += line;
    }
    blocks.push(Buffer.from(text));
    return blocks;
}
