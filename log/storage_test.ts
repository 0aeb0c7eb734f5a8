import { spawnSync } from "node:child_process";
import {
    appendFileSync,
    mkdtempSync,
    readdirSync,
    readFileSync,
    rmSync,
    writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test from "ava";
import { FileStorage, StorageCorruptError, writeFileDurably } from "./storage.ts";
import type { LogEntry, MemberId } from "./types.ts";

function createTempDir(): string {
    return mkdtempSync(join(tmpdir(), "poplarhead-log-"));
}

function buildEntry(index: number, term = 1, text = `c${index}`): LogEntry {
    return { index, term, type: "commands", commands: [text] };
}

test("appended entries are loaded, and a replaced entry removes all later ones", async (t) => {
    const dir = createTempDir();
    const storage = FileStorage.open({ dir });
    storage.load();
    const hardState = { term: 2, votedFor: "m1.0" as MemberId };
    await storage.append([buildEntry(1), buildEntry(2), buildEntry(3)], hardState);
    await storage.append([buildEntry(2, 2, "other")], undefined);
    storage.close();
    const reloaded = FileStorage.open({ dir }).load();
    t.deepEqual(reloaded.hardState, hardState);
    t.deepEqual(reloaded.entries, [buildEntry(1), buildEntry(2, 2, "other")]);
});

test("a torn last line is truncated, and entries appended after it are loaded", async (t) => {
    // Otherwise the next append would continue the torn line and make it corrupt.
    const dir = createTempDir();
    const storage = FileStorage.open({ dir });
    storage.load();
    await storage.append([buildEntry(1)], undefined);
    storage.close();
    appendFileSync(join(dir, "log.jsonl"), '12345678 {"entry":{"ind');
    const second = FileStorage.open({ dir });
    t.is(second.load().entries.length, 1);
    await second.append([buildEntry(2)], undefined);
    second.close();
    t.deepEqual(FileStorage.open({ dir }).load().entries, [buildEntry(1), buildEntry(2)]);
});

test("corruption before the end of the log is an error", async (t) => {
    // Skipping a corrupt line would lose an acknowledged entry.
    const dir = createTempDir();
    const storage = FileStorage.open({ dir });
    storage.load();
    await storage.append([buildEntry(1), buildEntry(2), buildEntry(3)], undefined);
    storage.close();
    const file = join(dir, "log.jsonl");
    writeFileSync(file, readFileSync(file, "utf8").replace("c2", "cX"));
    const error = t.throws(() => FileStorage.open({ dir }).load(), {
        instanceOf: StorageCorruptError,
    });
    t.regex(error?.message ?? "", /log\.jsonl:2/);
});

test("a partial write is an error and leaves the log unchanged", (t) => {
    // A file size limit in a child process simulates a full disk.
    const dir = createTempDir();
    const module = new URL("./storage.ts", import.meta.url).href;
    const script = `
        import { FileStorage } from ${JSON.stringify(module)};
        process.on("SIGXFSZ", () => {});
        const storage = FileStorage.open({ dir: ${JSON.stringify(dir)} });
        storage.load();
        const build = (index, text) => ({ index, term: 1, type: "commands", commands: [text] });
        await storage.append([build(1, "small")], undefined);
        await storage.append([build(2, "x".repeat(2_000_000))], undefined).then(
            () => console.log("confirmed"),
            (error) => console.log(error.code),
        );
        await storage.append([build(2, "after")], undefined);
    `;
    const node = `exec '${process.execPath}' --import=tsx --input-type=module -e "$SCRIPT"`;
    const child = spawnSync("bash", ["-c", `ulimit -f 1000; ${node}`], {
        env: { ...process.env, SCRIPT: script },
        encoding: "utf8",
    });
    t.is(child.stdout.trim(), "EFBIG", child.stderr);
    t.deepEqual(FileStorage.open({ dir }).load().entries, [
        buildEntry(1, 1, "small"),
        buildEntry(2, 1, "after"),
    ]);
});

test("a snapshot replaces its entries, even after a crash between the renames", async (t) => {
    const dir = createTempDir();
    const storage = FileStorage.open({ dir });
    storage.load();
    const hardState = { term: 1, votedFor: undefined };
    await storage.append(
        [1, 2, 3, 4].map((i) => buildEntry(i)),
        hardState,
    );
    const fullLog = readFileSync(join(dir, "log.jsonl"));
    const snapshot = { index: 3, term: 1, voters: ["m1.0" as MemberId], state: "s" };
    await storage.compact(snapshot, [buildEntry(4)], hardState);
    await storage.append([buildEntry(5)], undefined);
    storage.close();
    const stored = FileStorage.open({ dir }).load();
    t.deepEqual(stored.snapshot, snapshot);
    t.deepEqual(stored.entries, [buildEntry(4), buildEntry(5)]);
    writeFileSync(join(dir, "log.jsonl"), fullLog);
    t.deepEqual(FileStorage.open({ dir }).load().entries, [buildEntry(4)]);
});

/** Loads a log as a crash between the two renames of a snapshot at index 3 of term 2 leaves it. */
async function loadAfterCompactionCrash(
    dir: string,
    batches: readonly (readonly LogEntry[])[],
): Promise<FileStorage> {
    const storage = FileStorage.open({ dir });
    storage.load();
    const hardState = { term: 2, votedFor: undefined };
    for (const entries of batches) {
        await storage.append(entries, hardState);
    }
    const fullLog = readFileSync(join(dir, "log.jsonl"));
    const snapshot = { index: 3, term: 2, voters: ["m1.0" as MemberId], state: "s" };
    await storage.compact(snapshot, [], hardState);
    storage.close();
    writeFileSync(join(dir, "log.jsonl"), fullLog);
    return FileStorage.open({ dir });
}

test("a crash between the renames of a snapshot does not bring back replaced entries", async (t) => {
    // Guards against votes for a log that lacks committed entries, cast on a tail of an older term.
    const first = [1, 2, 3, 4].map((i) => buildEntry(i));
    const replacing = [buildEntry(2, 2), buildEntry(3, 2)];
    const storage = await loadAfterCompactionCrash(createTempDir(), [first, replacing]);
    t.deepEqual(storage.load().entries, []);
});

test("a crash between the renames of a leader's snapshot does not keep a conflicting tail", async (t) => {
    // Guards against entries of an older term that follow a snapshot of a newer one.
    const conflicting = [1, 2, 3, 4].map((i) => buildEntry(i));
    const storage = await loadAfterCompactionCrash(createTempDir(), [conflicting]);
    t.deepEqual(storage.load().entries, []);
});

test("entries appended after a crash between the renames of a snapshot are loaded", async (t) => {
    // Guards against acknowledged entries that are dropped with the tail that they replaced.
    const dir = createTempDir();
    const conflicting = [1, 2, 3, 4].map((i) => buildEntry(i));
    const storage = await loadAfterCompactionCrash(dir, [conflicting]);
    storage.load();
    await storage.append([buildEntry(4, 2), buildEntry(5, 2)], undefined);
    await storage.append([buildEntry(5, 3)], { term: 3, votedFor: undefined });
    storage.close();
    const stored = FileStorage.open({ dir }).load();
    t.deepEqual(stored.entries, [buildEntry(4, 2), buildEntry(5, 3)]);
    t.is(stored.hardState.term, 3);
});

test("the initial voters are kept when the settings change later", (t) => {
    // A member that used the changed settings would count a different quorum than the others.
    const dir = mkdtempSync(join(tmpdir(), "poplarhead-first-voters-"));
    t.teardown(() => rmSync(dir, { recursive: true }));
    const first = ["a#0", "b#0", "c#0"] as MemberId[];
    const later = ["b#0", "c#0", "d#0"] as MemberId[];
    FileStorage.open({ dir, initialVoters: first }).close();
    t.deepEqual(FileStorage.open({ dir, initialVoters: later }).load().initialVoters, first);
    t.deepEqual(FileStorage.open({ dir }).load().initialVoters, first);
});

/** Records the names that a directory holds at each sync, which are those that a power loss keeps. */
class DurableNames {
    readonly #names = new Map<string, readonly string[]>();

    readonly syncDirectory = (dir: string): void => {
        this.#names.set(dir, readdirSync(dir));
    };

    list(dir: string): readonly string[] {
        return [...(this.#names.get(dir) ?? [])].sort();
    }
}

test("a new member's directories and files are durable before its first entry is", async (t) => {
    // Guards against a member that votes again after a power loss without the log that it confirmed.
    const names = new DurableNames();
    const parent = createTempDir();
    const dir = join(parent, "data", "control");
    const initialVoters = ["m1.0"] as MemberId[];
    const storage = FileStorage.open({ dir, initialVoters, syncDirectory: names.syncDirectory });
    storage.load();
    await storage.append([buildEntry(1)], undefined);
    storage.close();
    t.deepEqual(names.list(parent), ["data"]);
    t.deepEqual(names.list(join(parent, "data")), ["control"]);
    t.deepEqual(names.list(dir), ["first_voters.json", "log.jsonl"]);
});

test("a durable file in a new directory is durable with that directory", (t) => {
    // Guards against an identity that a power loss removes although the member took part under it.
    const names = new DurableNames();
    const parent = createTempDir();
    writeFileDurably(join(parent, "data"), "identity.json", "{}", names.syncDirectory);
    t.deepEqual(names.list(parent), ["data"]);
    t.deepEqual(names.list(join(parent, "data")), ["identity.json"]);
});

test("what a killed process wrote is durable before it is loaded", async (t) => {
    // Guards against confirming entries that a power loss removes, as a kill preceded their sync.
    const dir = createTempDir();
    const storage = FileStorage.open({ dir });
    storage.load();
    await storage.append([buildEntry(1)], undefined);
    storage.close();
    const file = join(dir, "log.jsonl");
    const names = new DurableNames();
    let durableLog = "";
    const syncFile = (path: string): void => {
        durableLog = path === file ? readFileSync(path, "utf8") : durableLog;
    };
    const options = { dir, syncFile, syncDirectory: names.syncDirectory };
    t.is(FileStorage.open(options).load().entries.length, 1);
    t.is(durableLog, readFileSync(file, "utf8"));
    t.deepEqual(names.list(dir), ["log.jsonl"]);
});
