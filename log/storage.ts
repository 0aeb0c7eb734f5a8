/**
 * Where a member keeps its part of a group. `FileStorage` appends checksummed lines to a log
 * file and fsyncs before it answers; snapshots replace the file by rename. `MemoryStorage` is
 * for members without a disk, which never vote.
 *
 * @example
 * ```ts
 * import { FileStorage } from "./storage.ts";
 * const storage = FileStorage.open({ dir: ".data/entry-1/hall-a" });
 * const stored = storage.load();
 * await storage.append(entries, { term: 2, votedFor: undefined });
 * ```
 *
 * @module
 */

import {
    closeSync,
    existsSync,
    fdatasync,
    fstatSync,
    fsyncSync,
    ftruncateSync,
    mkdirSync,
    openSync,
    readFileSync,
    renameSync,
    writeFileSync,
} from "node:fs";
import { open, rename } from "node:fs/promises";
import { join } from "node:path";
import { promisify } from "node:util";
import { crc32 } from "node:zlib";
import type { HardState, LogEntry, MemberId, Snapshot, Storage, StoredState } from "./types.ts";

const syncData = promisify(fdatasync);
const LOG_FILE = "log.jsonl";
const SNAPSHOT_FILE = "snapshot.json";
const INITIAL_VOTERS_FILE = "first_voters.json";

/** Options of {@link FileStorage.open}. */
export interface FileStorageOptions {
    readonly dir: string;
    /** The voters when the group begins; what an earlier start kept goes before it. */
    readonly initialVoters?: readonly MemberId[];
}

/** One line of the log file. */
type LogRecord = { readonly entry: LogEntry } | { readonly hard: HardState };

/** Thrown when a file holds damage that a crash alone cannot explain. */
export class StorageCorruptError extends Error {
    /**
     * @param file The damaged file.
     * @param line The bad line's number, from 1; 0 for the whole file.
     */
    constructor(file: string, line: number) {
        super(`${file}:${line}: damaged before its end; replace this member's disk`);
        this.name = "StorageCorruptError";
    }
}

/** A member's durable files. */
export class FileStorage implements Storage {
    readonly #dir: string;
    readonly #initialVoters: readonly MemberId[] | undefined;
    #log: { readonly fd: number; readonly size: number } | undefined;

    private constructor(dir: string, firstVoters: readonly MemberId[] | undefined) {
        this.#dir = dir;
        this.#initialVoters = firstVoters;
    }

    /**
     * Opens (or creates) the folder. The first voters are kept: until a snapshot or an entry of the log names
     * voters, a restarted member would otherwise take those that its settings name by then. Members with
     * different lists count different quorums, and two of them could lead in one term.
     *
     * @param options The folder, the voters when the group begins.
     * @returns The storage; call {@link FileStorage.load} first.
     */
    static open(options: FileStorageOptions): FileStorage {
        const { dir, initialVoters } = options;
        mkdirSync(dir, { recursive: true });
        const file = join(dir, INITIAL_VOTERS_FILE);
        if (existsSync(file)) {
            return new FileStorage(dir, JSON.parse(readFileSync(file, "utf8")) as MemberId[]);
        }
        if (initialVoters !== undefined) {
            writeFileDurably(dir, INITIAL_VOTERS_FILE, JSON.stringify(initialVoters));
        }
        return new FileStorage(dir, initialVoters);
    }

    /**
     * Reads the snapshot and the log. A torn end (the process died mid-write, before its fsync,
     * so nobody was answered for it) is dropped; damage before the end throws.
     *
     * @returns What is stored.
     * @throws {StorageCorruptError} On damage that is not a torn end.
     */
    load(): StoredState {
        const snapshot = this.#loadSnapshot();
        const entries: LogEntry[] = [];
        let hardState: HardState = { term: 0, votedFor: undefined };
        const base = snapshot?.index ?? 0;
        for (const record of this.#loadRecords()) {
            if ("hard" in record) {
                hardState = record.hard;
                continue;
            }
            const { entry } = record;
            if (entry.index <= base) {
                continue;
            }
            // An entry written again at an index replaces it and what followed (log repair).
            entries.length = Math.min(entries.length, entry.index - base - 1);
            entries.push(entry);
        }
        return { initialVoters: this.#initialVoters, hardState, snapshot, entries };
    }

    /** See {@link Storage.append}. */
    async append(entries: readonly LogEntry[], hardState: HardState | undefined): Promise<void> {
        const records: LogRecord[] = entries.map((entry) => ({ entry }));
        if (hardState !== undefined) {
            records.push({ hard: hardState });
        }
        if (records.length === 0) {
            return;
        }
        const text = formatRecords(records);
        const { fd, size } = this.#openLog();
        const bytes = Buffer.from(text);
        try {
            // The write only fills the page cache; the sync is what takes long, and runs beside
            // the event loop so that heartbeats go on meanwhile.
            // writeFileSync writes all or throws; one writeSync may stop short on a full disk, and the
            // sync of half a line would be taken for a durable entry.
            writeFileSync(fd, bytes);
            await syncData(fd);
        } catch (error) {
            // A full disk may have taken part of the text. Cut it off, so that the retry does not
            // join a torn line in the middle of the file, which would read as damage.
            ftruncateSync(fd, size);
            throw error;
        }
        this.#log = { fd, size: size + bytes.length };
    }

    /** See {@link Storage.compact}. */
    async compact(
        snapshot: Snapshot,
        remainingEntries: readonly LogEntry[],
        hardState: HardState,
    ): Promise<void> {
        // The snapshot first: a crash between the two renames leaves a snapshot and a log whose
        // older entries are skipped on load. The other order would lose the entries between.
        await this.#replaceFile(SNAPSHOT_FILE, `${formatLine(JSON.stringify(snapshot))}\n`);
        const text = formatRecords([
            { hard: hardState },
            ...remainingEntries.map((entry) => ({ entry })),
        ]);
        this.close();
        await this.#replaceFile(LOG_FILE, text);
    }

    /** Closes the log file. */
    close(): void {
        if (this.#log !== undefined) {
            closeSync(this.#log.fd);
        }
        this.#log = undefined;
    }

    #openLog(): { readonly fd: number; readonly size: number } {
        if (this.#log === undefined) {
            const fd = openSync(join(this.#dir, LOG_FILE), "a");
            this.#log = { fd, size: fstatSync(fd).size };
        }
        return this.#log;
    }

    #loadSnapshot(): Snapshot | undefined {
        const file = join(this.#dir, SNAPSHOT_FILE);
        if (!existsSync(file)) {
            return undefined;
        }
        const text = parseLine(readFileSync(file, "utf8").trimEnd());
        if (text === undefined) {
            throw new StorageCorruptError(file, 0);
        }
        return JSON.parse(text) as Snapshot;
    }

    #loadRecords(): LogRecord[] {
        const file = join(this.#dir, LOG_FILE);
        if (!existsSync(file)) {
            return [];
        }
        const text = readFileSync(file, "utf8");
        const lines = text.split("\n");
        const records: LogRecord[] = [];
        let validBytes = 0;
        for (const [i, line] of lines.entries()) {
            const payload = line === "" ? undefined : parseLine(line);
            if (payload === undefined) {
                if (lines.slice(i + 1).some((rest) => parseLine(rest) !== undefined)) {
                    throw new StorageCorruptError(file, i + 1);
                }
                break;
            }
            records.push(JSON.parse(payload) as LogRecord);
            validBytes += Buffer.byteLength(line) + 1;
        }
        if (validBytes < Buffer.byteLength(text)) {
            // Cut the torn end off, or the next append would join it and damage a good line.
            replaceFile(file, Buffer.from(text).subarray(0, validBytes).toString("utf8"));
            syncDirectory(this.#dir);
        }
        return records;
    }

    async #replaceFile(name: string, text: string): Promise<void> {
        const temporary = join(this.#dir, `${name}.new`);
        const handle = await open(temporary, "w");
        await handle.writeFile(text);
        await handle.sync();
        await handle.close();
        await rename(temporary, join(this.#dir, name));
        // A rename is lasting only once its directory is synced.
        syncDirectory(this.#dir);
    }
}

/** Storage of a member without a disk: a replica for reading, gone with the process. */
export class MemoryStorage implements Storage {
    /** Nothing is stored. */
    load(): StoredState {
        return { hardState: { term: 0, votedFor: undefined }, snapshot: undefined, entries: [] };
    }

    /** Does nothing. */
    async append(): Promise<void> {}

    /** Does nothing. */
    async compact(): Promise<void> {}

    /** Does nothing. */
    close(): void {}
}

/**
 * Writes a small file whole and durably, replacing what was there.
 *
 * @param dir The folder; created when missing.
 * @param name The file's name.
 * @param text The contents.
 */
export function writeFileDurably(dir: string, name: string, text: string): void {
    mkdirSync(dir, { recursive: true });
    replaceFile(join(dir, name), text);
    syncDirectory(dir);
}

function replaceFile(file: string, text: string): void {
    const temporary = `${file}.new`;
    const fd = openSync(temporary, "w");
    writeFileSync(fd, text);
    fsyncSync(fd);
    closeSync(fd);
    renameSync(temporary, file);
}

function syncDirectory(dir: string): void {
    const fd = openSync(dir, "r");
    fsyncSync(fd);
    closeSync(fd);
}

function formatRecords(records: readonly LogRecord[]): string {
    return records.map((r) => `${formatLine(JSON.stringify(r))}\n`).join("");
}

/** A line is the CRC-32 of its payload in hex, a space, the payload. */
function formatLine(payload: string): string {
    return `${crc32(payload).toString(16).padStart(8, "0")} ${payload}`;
}

function parseLine(line: string): string | undefined {
    const payload = line.slice(9);
    const isValid = line[8] === " " && line.slice(0, 8) === formatLine(payload).slice(0, 8);
    return isValid ? payload : undefined;
}
