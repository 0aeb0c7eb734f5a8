/**
 * Persists the log and snapshots of a group member. `FileStorage` appends checksummed lines to a
 * log file and syncs them; `MemoryStorage` stores nothing and is for members that never vote.
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
import { dirname, join, resolve } from "node:path";
import { promisify } from "node:util";
import { crc32 } from "node:zlib";
import type { HardState, LogEntry, MemberId, Snapshot, Storage, StoredState } from "./types.ts";

const syncData = promisify(fdatasync);
const LOG_FILE = "log.jsonl";
const SNAPSHOT_FILE = "snapshot.json";
const INITIAL_VOTERS_FILE = "first_voters.json";
/** Modes of new directories and files: the log may contain secrets, such as API keys. */
const OWNER_ONLY_DIRECTORY = 0o700;
const OWNER_ONLY_FILE = 0o600;

/** Options of {@link FileStorage.open}. */
export interface FileStorageOptions {
    readonly dir: string;
    /** The voters of the group's first start; ignored if an earlier start stored them. */
    readonly initialVoters?: readonly MemberId[];
    /** Makes the names in a directory durable; replaced in tests. */
    readonly syncDirectory?: (dir: string) => void;
    /** Makes the contents of a file durable; replaced in tests. */
    readonly syncFile?: (file: string) => void;
}

/** The payload of one line of the log file. */
type LogRecord = { readonly entry: LogEntry } | { readonly hard: HardState };

/** Thrown when a file is corrupt in a way that a crash during a write cannot cause. */
export class StorageCorruptError extends Error {
    /**
     * @param file The corrupt file.
     * @param line The number of the corrupt line, from 1; 0 for the whole file.
     */
    constructor(file: string, line: number) {
        super(`${file}:${line}: checksum mismatch; replace this member's disk`);
        this.name = "StorageCorruptError";
    }
}

/** Stores a member's log and snapshot in files. */
export class FileStorage implements Storage {
    readonly #dir: string;
    readonly #initialVoters: readonly MemberId[] | undefined;
    readonly #syncDirectory: (dir: string) => void;
    readonly #syncFile: (file: string) => void;
    #log: { readonly fd: number; readonly size: number } | undefined;

    private constructor(options: FileStorageOptions) {
        this.#dir = options.dir;
        this.#initialVoters = options.initialVoters;
        this.#syncDirectory = options.syncDirectory ?? syncDirectory;
        this.#syncFile = options.syncFile ?? syncFile;
    }

    /**
     * Opens or creates the directory and stores the initial voters on the first start. Reading them
     * from the settings at each start could let members count different quorums and elect two
     * leaders in one term.
     *
     * @param options The directory and the initial voters.
     * @returns The storage; call {@link FileStorage.load} before any other method.
     */
    static open(options: FileStorageOptions): FileStorage {
        const { dir, initialVoters } = options;
        const sync = options.syncDirectory ?? syncDirectory;
        createDirectory(dir, sync);
        createLogFile(dir, sync);
        const file = join(dir, INITIAL_VOTERS_FILE);
        if (existsSync(file)) {
            const storedVoters = JSON.parse(readFileSync(file, "utf8")) as MemberId[];
            return new FileStorage({ ...options, initialVoters: storedVoters });
        }
        if (initialVoters !== undefined) {
            const text = JSON.stringify(initialVoters);
            writeFileDurably(dir, INITIAL_VOTERS_FILE, text, sync);
        }
        return new FileStorage(options);
    }

    /**
     * Loads the snapshot and the log. A torn last line is discarded: the process died before its
     * sync, so the write was never acknowledged. The rest is synced, as a process that died before
     * its sync leaves complete lines too, and this member acknowledges what it has loaded.
     *
     * @returns The stored state.
     * @throws {StorageCorruptError} If a file is corrupt other than at the end of the log.
     */
    load(): StoredState {
        this.#syncDirectory(this.#dir);
        this.#syncFile(join(this.#dir, LOG_FILE));
        const snapshot = this.#loadSnapshot();
        const entries: LogEntry[] = [];
        let hardState: HardState = { term: 0, votedFor: undefined };
        for (const record of this.#loadRecords()) {
            if ("hard" in record) {
                hardState = record.hard;
                continue;
            }
            const { entry } = record;
            // A later record at the same index replaces the entry and all that follow it.
            while ((entries.at(-1)?.index ?? 0) >= entry.index) {
                entries.pop();
            }
            entries.push(entry);
        }
        if (snapshot !== undefined && isConflicting(entries, snapshot)) {
            // Entries that are appended to the old log would conflict as well when loaded again.
            entries.length = 0;
            replaceFile(join(this.#dir, LOG_FILE), formatRecords([{ hard: hardState }]));
            this.#syncDirectory(this.#dir);
        }
        return {
            initialVoters: this.#initialVoters,
            hardState,
            snapshot,
            entries: entries.filter(({ index }) => index > (snapshot?.index ?? 0)),
        };
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
            // The write only fills the page cache; the slow sync runs off the event loop, so that
            // heartbeats continue. A single writeSync may write only part of the data on a full
            // disk; writeFileSync writes everything or throws.
            writeFileSync(fd, bytes);
            await syncData(fd);
        } catch (error) {
            // Remove a partial write, or the retry would leave a corrupt line inside the file.
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
        // The snapshot goes first: after a crash between the two renames, load skips the entries
        // that it covers. The other order would lose these entries.
        await this.#replaceFile(SNAPSHOT_FILE, `${formatLine(JSON.stringify(snapshot))}\n`);
        const text = formatRecords([
            { hard: hardState },
            ...remainingEntries.map((entry) => ({ entry })),
        ]);
        this.close();
        await this.#replaceFile(LOG_FILE, text);
    }

    /** See {@link Storage.logBytes}. */
    get logBytes(): number {
        return this.#openLog().size;
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
            const fd = openSync(join(this.#dir, LOG_FILE), "a", OWNER_ONLY_FILE);
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
            // Truncate the torn line, or the next append would continue it and become corrupt.
            replaceFile(file, Buffer.from(text).subarray(0, validBytes).toString("utf8"));
            this.#syncDirectory(this.#dir);
        }
        return records;
    }

    async #replaceFile(name: string, text: string): Promise<void> {
        const temporary = join(this.#dir, `${name}.new`);
        const handle = await open(temporary, "w", OWNER_ONLY_FILE);
        await handle.writeFile(text);
        await handle.sync();
        await handle.close();
        await rename(temporary, join(this.#dir, name));
        // A rename is durable only after its directory is synced.
        this.#syncDirectory(this.#dir);
    }
}

/** Stores nothing, for members without a disk, which never vote. */
export class MemoryStorage implements Storage {
    /** Always 0. */
    readonly logBytes: number = 0;

    /** Returns the empty state. */
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
 * Writes a file atomically and durably, replacing an existing one.
 *
 * @param dir The directory; created if it does not exist.
 * @param name The file name.
 * @param text The contents.
 * @param sync Makes the names in a directory durable; replaced in tests.
 */
export function writeFileDurably(
    dir: string,
    name: string,
    text: string,
    sync: (dir: string) => void = syncDirectory,
): void {
    createDirectory(dir, sync);
    replaceFile(join(dir, name), text);
    sync(dir);
}

/** Creates a directory and its missing parents, and makes their names durable. */
function createDirectory(dir: string, sync: (dir: string) => void): void {
    if (existsSync(dir)) {
        return;
    }
    const parent = dirname(resolve(dir));
    createDirectory(parent, sync);
    mkdirSync(dir, { recursive: true, mode: OWNER_ONLY_DIRECTORY });
    sync(parent);
}

/** Creates an empty log file. The later sync of its contents would not make its name durable. */
function createLogFile(dir: string, sync: (dir: string) => void): void {
    const file = join(dir, LOG_FILE);
    if (!existsSync(file)) {
        closeSync(openSync(file, "a", OWNER_ONLY_FILE));
        sync(dir);
    }
}

function replaceFile(file: string, text: string): void {
    const temporary = `${file}.new`;
    const fd = openSync(temporary, "w", OWNER_ONLY_FILE);
    writeFileSync(fd, text);
    fsyncSync(fd);
    closeSync(fd);
    renameSync(temporary, file);
}

function syncFile(file: string): void {
    // Some systems sync only files that are open for writing.
    const fd = openSync(file, "r+");
    fsyncSync(fd);
    closeSync(fd);
}

function syncDirectory(dir: string): void {
    const fd = openSync(dir, "r");
    fsyncSync(fd);
    closeSync(fd);
}

/**
 * Returns whether a log conflicts with a snapshot, as a crash between the renames of a compaction can
 * leave it.
 */
function isConflicting(entries: readonly LogEntry[], snapshot: Snapshot): boolean {
    const covered = entries.find(({ index }) => index === snapshot.index);
    return covered !== undefined && covered.term !== snapshot.term;
}

function formatRecords(records: readonly LogRecord[]): string {
    return records.map((r) => `${formatLine(JSON.stringify(r))}\n`).join("");
}

/** Formats a line: the payload's CRC-32 in hex, a space and the payload. */
function formatLine(payload: string): string {
    return `${crc32(payload).toString(16).padStart(8, "0")} ${payload}`;
}

function parseLine(line: string): string | undefined {
    const payload = line.slice(9);
    const isValid = line[8] === " " && line.slice(0, 8) === formatLine(payload).slice(0, 8);
    return isValid ? payload : undefined;
}
