/**
 * The entry instance's durable journal: every input of the cell, one JSON line each, appended
 * and fsynced under the data folder before any effect of it leaves the process (a lease offer,
 * an answer to a caller). After a crash the cell is rebuilt by replaying the inputs, so a lease
 * offered before the crash is known after it: the intent is on disk before the call, as in the
 * durable turn log (PAPER-durable-turn-log-agent-e575, "records an intent before each call").
 * Writes are grouped: one write and one fsync per turn of the event loop, for all inputs of it.
 *
 * @example
 * ```ts
 * import { Journal } from "./journal.ts";
 * const journal = Journal.open({ dir: ".data/entry-1" });
 * for (const input of journal.readAll()) cell.applyInput(input);
 * journal.append(input);
 * journal.sync();
 * ```
 *
 * @module
 */

import {
    closeSync,
    existsSync,
    fsyncSync,
    mkdirSync,
    openSync,
    readFileSync,
    writeSync,
} from "node:fs";
import { join } from "node:path";
import type { CellInput } from "../cell/mod.ts";

/** Options of {@link Journal.open}. */
export interface JournalOptions {
    /** The data folder; created when missing. */
    readonly dir: string;
}

/** Thrown when the journal holds a bad line that is not the torn last one. */
export class JournalCorruptError extends Error {
    /**
     * @param file The journal file.
     * @param line The bad line's number, from 1.
     */
    constructor(file: string, line: number) {
        super(`${file}:${line}: not a journal record; the journal is damaged before its end`);
        this.name = "JournalCorruptError";
    }
}

/** An append-only, fsynced log of cell inputs. */
export class Journal {
    readonly file: string;
    #fd: number;
    #buffer: string[] = [];
    #bytes = 0;

    private constructor(file: string, fd: number) {
        this.file = file;
        this.#fd = fd;
    }

    /**
     * Opens (or creates) the journal in a data folder.
     *
     * @param options The folder.
     * @returns The journal, positioned at its end.
     */
    static open(options: JournalOptions): Journal {
        mkdirSync(options.dir, { recursive: true });
        const file = join(options.dir, "journal.jsonl");
        return new Journal(file, openSync(file, "a"));
    }

    /**
     * Reads every record. A torn last line (the process died mid-write, before its fsync, so
     * nobody was answered for it) is dropped; a bad line before the end is damage and throws.
     *
     * @returns The inputs, in the order they were applied.
     * @throws {JournalCorruptError} On a bad line that is not the last.
     */
    readAll(): CellInput[] {
        if (!existsSync(this.file)) {
            return [];
        }
        const lines = readFileSync(this.file, "utf8").split("\n");
        const inputs: CellInput[] = [];
        lines.forEach((line, index) => {
            if (line === "") {
                return;
            }
            try {
                inputs.push(JSON.parse(line) as CellInput);
            } catch {
                const isLast = lines.slice(index + 1).every((rest) => rest === "");
                if (!isLast) {
                    throw new JournalCorruptError(this.file, index + 1);
                }
            }
        });
        return inputs;
    }

    /**
     * Buffers one input; it is durable only after the next {@link Journal.sync}.
     *
     * @param input The input.
     */
    append(input: CellInput): void {
        this.#buffer.push(JSON.stringify(input));
    }

    /** Inputs buffered and not yet synced. */
    get pending(): number {
        return this.#buffer.length;
    }

    /** Bytes written since open. */
    get bytesWritten(): number {
        return this.#bytes;
    }

    /**
     * Writes the buffered inputs and fsyncs the file.
     *
     * @returns How many inputs were made durable.
     */
    sync(): number {
        if (this.#buffer.length === 0) {
            return 0;
        }
        const text = this.#buffer.join("\n") + "\n";
        const count = this.#buffer.length;
        this.#buffer = [];
        this.#bytes += writeSync(this.#fd, text);
        fsyncSync(this.#fd);
        return count;
    }

    /** Syncs what is buffered and closes the file. */
    close(): void {
        this.sync();
        closeSync(this.#fd);
        this.#fd = -1;
    }
}
