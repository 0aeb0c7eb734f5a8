/**
 * Writes log lines to a file descriptor through a bounded queue, so that a stalled reader never
 * blocks the event loop. Lines that exceed the queue or the rate limit are dropped and counted.
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
    /** Size of the queue in bytes; lines above it are dropped. */
    readonly maxQueuedBytes?: number;
    /** Further bytes of the queue that only lines about failures may use. */
    readonly failureReserveBytes?: number;
    /** Sustained rate limit; lines about failures are exempt. */
    readonly linesPerSecond?: number;
    /** Replaces `fs.write` in tests. */
    readonly writeBytes?: (
        fd: number,
        bytes: Buffer,
        done: (error: Error | null, written: number) => void,
    ) => void;
    readonly getNow?: () => number;
}

/** Holds a few seconds of a busy leader's lines. */
const DEFAULT_MAX_QUEUED_BYTES = 1_000_000;
const DEFAULT_FAILURE_RESERVE_BYTES = 250_000;
/** Above the rate that request sampling usually allows. */
const DEFAULT_LINES_PER_SECOND = 2_000;
/** Capacity of the token bucket, in seconds of the sustained rate. */
const BURST_SECONDS = 4;
/** How long lines are collected before they are written together. */
const FLUSH_DELAY_MS = 50;
/** PIPE_BUF on Linux: writes to a pipe of up to this size are atomic. */
const MAX_BLOCK_BYTES = 4_096;

/** Queues log lines and writes them asynchronously. */
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
     * @param options The file descriptor and the limits.
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

    /** Bytes in the queue. */
    get queuedBytes(): number {
        return this.#queuedBytes;
    }

    /** Dropped lines that are not reported yet. */
    get droppedLines(): number {
        return this.#droppedLines;
    }

    /**
     * Queues a line, or drops it if a limit is exceeded.
     *
     * @param line The line, with its newline.
     * @param isFailure Whether the line may use the reserve and is exempt from the rate limit.
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
     * Writes the queued lines before the process exits.
     *
     * @param timeoutMs How long to wait for the writes to finish.
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
        this.#writeBlocks(blocks);
    }

    #writeBlocks(blocks: readonly Buffer[]): void {
        const [first, ...rest] = blocks;
        if (first === undefined) {
            this.#isWriting = false;
            if (this.#queue.length > 0) {
                this.#scheduleFlush();
            }
            return;
        }
        this.#writeBlock(first, () => this.#writeBlocks(rest));
    }

    /** Writes a block, continuing after partial writes; drops the rest of it after an error. */
    #writeBlock(bytes: Buffer, onWritten: () => void): void {
        this.#writeBytes(this.#fd, bytes, (error, written) => {
            if (error === null && written < bytes.length) {
                this.#writeBlock(bytes.subarray(written), onWritten);
                return;
            }
            onWritten();
        });
    }
}

/**
 * Joins lines into blocks that a pipe takes in one atomic write. Longer writes may be interleaved
 * with those of other processes, and log collectors then lose lines.
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
