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
    readonly maxQueuedBytes?: number;
    /** Further bytes, for lines that tell of failures. */
    readonly failureReserveBytes?: number;
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
const DEFAULT_MAX_QUEUED_BYTES = 1_000_000;
const DEFAULT_FAILURE_RESERVE_BYTES = 250_000;
/** A last resort above what a leader's own sampling lets through; 0.4 MB/s at the most. */
const DEFAULT_LINES_PER_SECOND = 2_000;
/** Lines that may come at once after a quiet time, in seconds of the long-run rate. */
const BURST_SECONDS = 4;
/** Lines are gathered for this long, in ms: one write for many lines. */
const FLUSH_DELAY_MS = 50;
/** Linux's PIPE_BUF: a write of so many bytes reaches a pipe in one piece. */
const MAX_BLOCK_BYTES = 4_096;

/** Queued lines on their way out. */
export class LogSink {
    readonly #fd: number;
    readonly #maxQueuedBytes: number;
    readonly #failureReserveBytes: number;
    readonly #linesPerSecond: number;
    readonly #writeBytes: NonNullable<LogSinkOptions["writeBytes"]>;
    readonly #getNow: () => number;
    #queue: string[] = [];
    #queuedBytes = 0;
    #droppedLines = 0;
    #isWriting = false;
    #isFlushScheduled = false;
    #tokens: number;
    #refilledAtMs: number;

    /**
     * @param options Where to write, how much may wait; see {@link LogSinkOptions}.
     */
    constructor(options: LogSinkOptions = {}) {
        this.#fd = options.fd ?? 1;
        this.#maxQueuedBytes = options.maxQueuedBytes ?? DEFAULT_MAX_QUEUED_BYTES;
        this.#failureReserveBytes = options.failureReserveBytes ?? DEFAULT_FAILURE_RESERVE_BYTES;
        this.#linesPerSecond = options.linesPerSecond ?? DEFAULT_LINES_PER_SECOND;
        this.#writeBytes = options.writeBytes ?? ((fd, bytes, done) => write(fd, bytes, done));
        this.#getNow = options.getNow ?? (() => performance.now());
        this.#tokens = this.#linesPerSecond * BURST_SECONDS;
        this.#refilledAtMs = this.#getNow();
    }

    /** Bytes that wait. */
    get queuedBytes(): number {
        return this.#queuedBytes;
    }

    /** Lines given up and not told of yet. */
    get droppedLines(): number {
        return this.#droppedLines;
    }

    /**
     * Queues a line.
     *
     * @param line The line, with its newline.
     * @param isFailure It tells of something that went wrong: given up only when the reserve is
     * full too.
     */
    write(line: string, isFailure: boolean): void {
        const limit = this.#maxQueuedBytes + (isFailure ? this.#failureReserveBytes : 0);
        const isWithinRate = isFailure || this.#takeToken();
        if (!isWithinRate || this.#queuedBytes + line.length > limit) {
            this.#droppedLines += 1;
            return;
        }
        this.#queue.push(line);
        this.#queuedBytes += line.length;
        this.#scheduleFlush();
    }

    /**
     * Writes what waits, for the end of a process.
     *
     * @returns Once it is written, or after `limitMs`.
     */
    async close(timeoutMs = 200): Promise<void> {
        const deadlineMs = this.#getNow() + timeoutMs;
        this.#flush();
        while ((this.#isWriting || this.#queue.length > 0) && this.#getNow() < deadlineMs) {
            await new Promise((resolve) => setTimeout(resolve, 5));
        }
    }

    #takeToken(): boolean {
        const nowMs = this.#getNow();
        const refill = ((nowMs - this.#refilledAtMs) / 1_000) * this.#linesPerSecond;
        this.#tokens = Math.min(this.#linesPerSecond * BURST_SECONDS, this.#tokens + refill);
        this.#refilledAtMs = nowMs;
        if (this.#tokens < 1) {
            return false;
        }
        this.#tokens -= 1;
        return true;
    }

    #scheduleFlush(): void {
        if (!this.#isFlushScheduled) {
            this.#isFlushScheduled = true;
            setTimeout(() => this.#flush(), FLUSH_DELAY_MS);
        }
    }

    #flush(): void {
        this.#isFlushScheduled = false;
        if (this.#isWriting || this.#queue.length === 0) {
            return;
        }
        if (this.#droppedLines > 0) {
            const note = {
                level: "warn",
                message: "log lines given up",
                count: this.#droppedLines,
            };
            this.#queue.push(`${JSON.stringify(note)}\n`);
            this.#droppedLines = 0;
        }
        const blocks = formatBlocks(this.#queue);
        this.#queue = [];
        this.#queuedBytes = 0;
        this.#isWriting = true;
        this.#sendBlocks(blocks);
    }

    #sendBlocks(blocks: readonly Buffer[]): void {
        const [first, ...rest] = blocks;
        if (first === undefined) {
            this.#isWriting = false;
            if (this.#queue.length > 0) {
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
        if (text !== "" && text.length + line.length > MAX_BLOCK_BYTES) {
            blocks.push(Buffer.from(text));
            text = "";
        }
        text += line;
    }
    blocks.push(Buffer.from(text));
    return blocks;
}
