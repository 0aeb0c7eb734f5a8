import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test from "ava";
import { NotLeaderError, OutcomeUnknownError, Replica, type Transport } from "./replica.ts";
import { FileStorage, MemoryStorage } from "./storage.ts";
import type { GroupMessage, LogEntry, MemberId, Snapshot, Storage } from "./types.ts";

const SELF = "m1.0" as MemberId;
const OTHER = "m2.0" as MemberId;
const TIMINGS = { heartbeatMs: 20, electionMs: 100 };
const POLL_INTERVAL_MS = 5;
const SETTLE_TIMEOUT_MS = 1_000;

/** A storage whose snapshots are written only when they are released. */
class HeldSnapshotStorage extends MemoryStorage implements Storage {
    #release = (): void => {};
    isHeld = false;

    override compact(): Promise<void> {
        this.isHeld = true;
        return new Promise((resolve) => {
            this.#release = resolve;
        });
    }

    release(): void {
        this.#release();
    }
}

/** A storage whose writes of entries from an index on last until they are released. */
class HeldStorage extends MemoryStorage implements Storage {
    #heldFromIndex: number;
    #release = (): void => {};
    isHeld = false;
    /** The indexes of the snapshots that were written. */
    readonly snapshotIndexes: number[] = [];

    constructor(heldFromIndex: number) {
        super();
        this.#heldFromIndex = heldFromIndex;
    }

    override async append(entries: readonly LogEntry[] = []): Promise<void> {
        if (entries.some(({ index }) => index >= this.#heldFromIndex)) {
            await new Promise<void>((resolve) => {
                this.isHeld = true;
                this.#release = resolve;
            });
        }
    }

    override compact(snapshot?: Snapshot): Promise<void> {
        this.snapshotIndexes.push(snapshot?.index ?? 0);
        return Promise.resolve();
    }

    release(): void {
        this.#heldFromIndex = Number.POSITIVE_INFINITY;
        this.#release();
    }
}

function buildReplica(options: {
    readonly voters: readonly MemberId[];
    readonly storage?: Storage;
    readonly transport?: Transport;
    /** Receives the commands that are applied and the states that are restored. */
    readonly applied?: unknown[];
    readonly snapshotIntervalEntries?: number;
    readonly maxLogBytes?: number;
}): Replica<string, void> {
    return new Replica<string, void>({
        self: SELF,
        storage: options.storage ?? new MemoryStorage(),
        machine: {
            apply: (command) => void options.applied?.push(command),
            encode: () => "",
            restore: (state) => void options.applied?.push(state),
        },
        transport: options.transport ?? { send: () => {} },
        initialVoters: options.voters,
        timings: TIMINGS,
        snapshotIntervalEntries: options.snapshotIntervalEntries,
        maxLogBytes: options.maxLogBytes,
    });
}

/** Creates a transport that stands for a voter: it grants its vote and confirms the first entry. */
function createVoterTransport(getReplica: () => Replica<string, void>): Transport {
    const answer = (message: GroupMessage): GroupMessage | undefined => {
        if (message.type === "voteRequest") {
            const { pre, term } = message;
            return { type: "voteResponse", pre, term, granted: true };
        }
        if (message.type === "append") {
            const { term, sentAt } = message;
            return { type: "appendResponse", term, ok: true, index: 1, sentAt };
        }
        return undefined;
    };
    return {
        send: (to, message) => {
            const response = answer(message);
            if (response !== undefined) {
                setImmediate(() => void getReplica().receive(to, response));
            }
        },
    };
}

async function waitUntil(isMet: () => boolean): Promise<void> {
    while (!isMet()) {
        await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
    }
}

test("a proposal of an ended leadership is refused after the same member leads again", async (t) => {
    // Guards against decisions on the state of one term that are committed in a later one.
    const applied: unknown[] = [];
    const replica = buildReplica({ voters: [SELF], applied });
    t.teardown(() => replica.stop());
    replica.start();
    await waitUntil(() => replica.isServing);
    const { term } = replica;
    const request = { previousIndex: 0, previousTerm: 0, entries: [], commitIndex: 0, sentAt: 0 };
    void replica.receive(OTHER, { type: "append", term: term + 1, ...request });
    await waitUntil(() => replica.isServing && replica.term > term + 1);
    await t.throwsAsync(replica.propose("late", { term }), { instanceOf: NotLeaderError });
    t.deepEqual(applied, []);
    await replica.propose("current", { term: replica.term });
    t.deepEqual(applied, ["current"]);
});

test("a proposal that another leader's entry replaces is rejected while a write lasts", async (t) => {
    // Guards against callers of a deposed leader that wait for an answer for ever.
    const storage = new HeldStorage(2);
    const replica: Replica<string, void> = buildReplica({
        voters: [SELF, OTHER, "m3.0" as MemberId],
        storage,
        transport: createVoterTransport(() => replica),
    });
    t.teardown(async () => {
        storage.release();
        await replica.stop();
    });
    replica.start();
    await waitUntil(() => replica.isServing);
    const { term } = replica;
    const outcome = Promise.race([
        replica.propose("replaced").catch((error: Error) => error.name),
        new Promise((resolve) => setTimeout(() => resolve("pending"), SETTLE_TIMEOUT_MS)),
    ]);
    await waitUntil(() => storage.isHeld);
    void replica.receive(OTHER, {
        type: "append",
        term: term + 1,
        previousIndex: 1,
        previousTerm: term,
        entries: [{ index: 2, term: term + 1, type: "commands", commands: ["other"] }],
        commitIndex: 2,
        sentAt: 0,
    });
    t.is(await outcome, new OutcomeUnknownError().name);
});

test("entries after a snapshot are applied once the snapshot is restored", async (t) => {
    // Guards against reads of a replica from a state that lacks what the snapshot contains.
    const storage = new HeldSnapshotStorage();
    const applied: unknown[] = [];
    const voters = [SELF, OTHER, "m3.0" as MemberId];
    const replica = buildReplica({ voters, storage, applied });
    t.teardown(async () => {
        storage.release();
        await replica.stop();
    });
    replica.start();
    const snapshot = { index: 10, term: 2, voters, state: "snapshot" };
    void replica.receive(OTHER, { type: "snapshot", term: 2, snapshot, sentAt: 0 });
    await waitUntil(() => storage.isHeld);
    void replica.receive(OTHER, {
        type: "append",
        term: 2,
        previousIndex: 10,
        previousTerm: 2,
        entries: [{ index: 11, term: 2, type: "commands", commands: ["later"] }],
        commitIndex: 11,
        sentAt: 0,
    });
    t.deepEqual(applied, []);
    storage.release();
    await waitUntil(() => replica.appliedIndex === 11);
    t.deepEqual(applied, ["snapshot", "later"]);
});

test("no snapshot is taken while a leader's snapshot waits to be written", async (t) => {
    // Guards against a stored log that lacks the entries between its snapshot and its first entry.
    const storage = new HeldStorage(2);
    const voters = [SELF, OTHER, "m3.0" as MemberId];
    const replica = buildReplica({ voters, storage, snapshotIntervalEntries: 1 });
    t.teardown(async () => {
        storage.release();
        await replica.stop();
    });
    replica.start();
    const receiveEntry = (index: number, previousTerm: number): void =>
        void replica.receive(OTHER, {
            type: "append",
            term: 2,
            previousIndex: index - 1,
            previousTerm,
            entries: [{ index, term: 2, type: "commands", commands: [`c${index}`] }],
            commitIndex: index,
            sentAt: index,
        });
    receiveEntry(1, 0);
    await waitUntil(() => storage.snapshotIndexes.length === 1);
    receiveEntry(2, 2);
    await waitUntil(() => storage.isHeld && replica.appliedIndex === 2);
    const snapshot = { index: 10, term: 2, voters, state: "" };
    void replica.receive(OTHER, { type: "snapshot", term: 2, snapshot, sentAt: 10 });
    receiveEntry(11, 2);
    storage.release();
    await waitUntil(() => replica.appliedIndex === 11);
    t.deepEqual(storage.snapshotIndexes.slice(0, 2), [1, 10]);
});

// Guards against few but large entries that fill the memory of all members before a snapshot is due.
test("a snapshot is taken once the log has reached its maximum size", async (t) => {
    const dir = mkdtempSync(join(tmpdir(), "poplarhead-replica-"));
    const storage = FileStorage.open({ dir, initialVoters: [SELF] });
    const maxLogBytes = 2_000;
    const replica = buildReplica({ voters: [SELF], storage, maxLogBytes });
    t.teardown(async () => {
        await replica.stop();
        rmSync(dir, { recursive: true });
    });
    replica.start();
    await waitUntil(() => replica.isServing);
    for (let i = 0; i < 20; i++) {
        await replica.propose("x".repeat(500));
        t.true(storage.logBytes < 2 * maxLogBytes);
    }
    t.true(replica.appliedIndex > 20);
});
