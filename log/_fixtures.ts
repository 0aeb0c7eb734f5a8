/**
 * Simulates a group deterministically for tests: a consensus node per member, one message queue,
 * and a disk per member that keeps only what was persisted before a crash.
 *
 * @example
 * ```ts
 * import { GroupFixture } from "./_fixtures.ts";
 * const group = new GroupFixture({ memberCount: 3, seed: 1 });
 * group.runFor(5_000);
 * ```
 *
 * @module
 */

import { createRandom } from "../tools/seeded_random.ts";
import { Consensus, DEFAULT_TIMINGS, type Ready } from "./consensus.ts";
import type {
    GroupMessage,
    HardState,
    LogEntry,
    MemberId,
    Snapshot,
    StoredState,
} from "./types.ts";

interface Disk {
    hardState: HardState;
    /** The entries after the snapshot. */
    entries: LogEntry[];
    snapshot?: Snapshot;
}

interface InFlightMessage {
    readonly from: MemberId;
    readonly to: MemberId;
    readonly message: GroupMessage;
}

/** Options of {@link GroupFixture}. */
export interface GroupFixtureOptions {
    readonly memberCount: number;
    readonly seed: number;
    /** Share of the writes that last until a later advance of the clock; 0 by default. */
    readonly slowWriteShare?: number;
    /** Number of committed entries between two snapshots; by default none are taken. */
    readonly snapshotIntervalEntries?: number;
}

/** A simulated group that the test drives step by step, with its own clock. */
export class GroupFixture {
    readonly ids: MemberId[];
    readonly nodes = new Map<MemberId, Consensus>();
    readonly disks = new Map<MemberId, Disk>();
    readonly #initialVoters: readonly MemberId[];
    readonly #cutLinks = new Set<string>();
    #queue: InFlightMessage[] = [];
    #random: () => number;
    readonly #slowWriteShare: number;
    readonly #snapshotIntervalEntries: number;
    /** Writes in progress, which a crash loses. */
    readonly #pendingWrites = new Map<MemberId, Ready>();
    /** The simulated time, in ms. */
    now = 0;
    /** Every entry that a member committed, by index; a different entry there is a violation. */
    readonly committed = new Map<number, LogEntry>();
    readonly violations: string[] = [];
    readonly #leaderByTerm = new Map<number, MemberId>();

    /**
     * @param options The number of members and the seed of the election timeouts.
     */
    constructor(options: GroupFixtureOptions) {
        this.#random = createRandom(options.seed);
        this.#slowWriteShare = options.slowWriteShare ?? 0;
        this.#snapshotIntervalEntries = options.snapshotIntervalEntries ?? Number.POSITIVE_INFINITY;
        this.ids = Array.from({ length: options.memberCount }, (_, i) => `m${i + 1}.0` as MemberId);
        this.#initialVoters = [...this.ids];
        for (const id of this.ids) {
            this.disks.set(id, { hardState: { term: 0, votedFor: undefined }, entries: [] });
            this.startMember(id);
        }
    }

    /** Starts or restarts a member from its disk. */
    startMember(id: MemberId): void {
        const disk = this.disks.get(id) as Disk;
        const stored: StoredState = {
            hardState: disk.hardState,
            snapshot: disk.snapshot,
            entries: [...disk.entries],
        };
        const node = new Consensus({
            self: id,
            stored,
            initialVoters: this.#initialVoters.includes(id) ? this.#initialVoters : [],
            random: this.#random,
            now: this.now,
        });
        node.buildSnapshot = () => createSnapshot(node);
        this.nodes.set(id, node);
    }

    /** Crashes a member; state that it did not persist is lost. */
    crashMember(id: MemberId): void {
        this.nodes.delete(id);
        this.#pendingWrites.delete(id);
        this.#queue = this.#queue.filter((m) => m.to !== id);
    }

    /** Replaces a member by another incarnation with an empty disk, which knows no voters. */
    replaceMember(id: MemberId): MemberId {
        const replacement = `${id}1` as MemberId;
        this.crashMember(id);
        this.disks.delete(id);
        this.ids.splice(this.ids.indexOf(id), 1, replacement);
        this.disks.set(replacement, { hardState: { term: 0, votedFor: undefined }, entries: [] });
        this.startMember(replacement);
        return replacement;
    }

    /** Cuts or restores the link between two members in both directions. */
    setLink(a: MemberId, b: MemberId, isUp: boolean): void {
        for (const key of [`${a}|${b}`, `${b}|${a}`]) {
            if (isUp) {
                this.#cutLinks.delete(key);
            } else {
                this.#cutLinks.add(key);
            }
        }
    }

    /** Cuts or restores all links of a member. */
    setIsolated(id: MemberId, isIsolated: boolean): void {
        for (const other of this.ids) {
            if (other !== id) {
                this.setLink(id, other, !isIsolated);
            }
        }
    }

    /** Restores every link. */
    restoreLinks(): void {
        this.#cutLinks.clear();
    }

    /**
     * Persists and sends all that a member has ready, then checks the invariants. While a slow write
     * lasts, only messages that don't depend on it are sent.
     */
    runMember(id: MemberId): void {
        const node = this.nodes.get(id);
        if (node === undefined) {
            return;
        }
        while (node.hasReady && !this.#pendingWrites.has(id)) {
            const ready = node.takeReady();
            this.#sendAll(id, ready.messagesBeforePersist);
            this.#pendingWrites.set(id, ready);
            if (this.#slowWriteShare === 0 || this.#random() >= this.#slowWriteShare) {
                this.#syncWrite(id, node);
            }
        }
        this.#sendAll(id, node.takeMessagesBeforePersist());
        this.#checkInvariants(id, node);
    }

    #syncWrite(id: MemberId, node: Consensus): void {
        const ready = this.#pendingWrites.get(id);
        const disk = this.disks.get(id);
        if (ready === undefined || disk === undefined) {
            return;
        }
        this.#pendingWrites.delete(id);
        if (ready.snapshotToInstall !== undefined) {
            disk.snapshot = ready.snapshotToInstall;
            disk.entries = [];
        }
        for (const entry of ready.entries) {
            const position = entry.index - (disk.snapshot?.index ?? 0) - 1;
            if (position >= 0) {
                disk.entries.length = Math.min(disk.entries.length, position);
                disk.entries.push(entry);
            }
        }
        disk.hardState = ready.hardState ?? disk.hardState;
        const last = ready.entries.at(-1);
        if (last !== undefined) {
            node.confirmPersisted(last.index, last.term);
        }
        this.#sendAll(id, ready.messagesAfterPersist);
        if (node.commitIndex - (disk.snapshot?.index ?? 0) >= this.#snapshotIntervalEntries) {
            disk.snapshot = createSnapshot(node);
            disk.entries = node.compact(node.commitIndex);
        }
    }

    /** Delivers or drops the message at a position in the queue. */
    handleMessage(position: number, isLost: boolean): void {
        const [item] = this.#queue.splice(position % Math.max(1, this.#queue.length), 1);
        if (item === undefined || isLost || this.#cutLinks.has(`${item.from}|${item.to}`)) {
            return;
        }
        this.nodes.get(item.to)?.receive(item.from, item.message, this.now);
        this.runMember(item.to);
    }

    /** Advances the clock and ticks every member except the paused one. */
    advance(ms: number, paused?: MemberId): void {
        this.now += ms;
        for (const [id, node] of this.nodes) {
            if (id !== paused) {
                if (this.#slowWriteShare === 0 || this.#random() >= this.#slowWriteShare) {
                    this.#syncWrite(id, node);
                }
                node.tick(this.now);
                this.runMember(id);
            }
        }
    }

    /** Advances the clock in steps of 50 ms and delivers all messages in order. */
    runFor(ms: number, paused?: MemberId): void {
        for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 50) {
            this.advance(50, paused);
            for (
                let remaining = this.#queue.length * 20;
                remaining > 0 && this.#queue.length > 0;
                remaining--
            ) {
                if (this.#queue[0]?.to === paused) {
                    this.#queue.shift();
                } else {
                    this.handleMessage(0, false);
                }
            }
        }
    }

    /** The leader that holds a valid lease, if any. */
    get leader(): MemberId | undefined {
        return this.ids.find((id) => this.nodes.get(id)?.hasLease(this.now));
    }

    /** Proposes one command at a member and returns the entry's index. */
    propose(id: MemberId, command: unknown): number | undefined {
        const index = this.nodes.get(id)?.propose([command]);
        this.runMember(id);
        return index;
    }

    /** Counts the disks that hold the newest committed entry or a snapshot that covers it. */
    countNewestEntryCopies(): number {
        const newest = Math.max(0, ...this.committed.keys());
        const term = this.committed.get(newest)?.term;
        return [...this.disks.values()].filter(
            ({ snapshot, entries }) =>
                (snapshot?.index ?? 0) >= newest ||
                entries.some((entry) => entry.index === newest && entry.term === term),
        ).length;
    }

    #sendAll(from: MemberId, messages: readonly { to: MemberId; message: GroupMessage }[]): void {
        for (const { to, message } of messages) {
            this.#queue.push({ from, to, message: structuredClone(message) });
        }
    }

    #checkInvariants(id: MemberId, node: Consensus): void {
        if (node.role === "leader") {
            const otherLeader = this.#leaderByTerm.get(node.term);
            if (otherLeader !== undefined && otherLeader !== id) {
                this.violations.push(`term ${node.term} has two leaders: ${otherLeader}, ${id}`);
            }
            this.#leaderByTerm.set(node.term, id);
        }
        const leaseHolders = this.ids.filter((m) => this.nodes.get(m)?.hasLease(this.now));
        if (leaseHolders.length > 1) {
            this.violations.push(`several members hold a lease: ${leaseHolders.join(", ")}`);
        }
        for (const entry of node.listCommitted(node.baseIndex)) {
            const seen = this.committed.get(entry.index);
            if (seen === undefined) {
                this.committed.set(entry.index, entry);
            } else if (JSON.stringify(seen) !== JSON.stringify(entry)) {
                this.violations.push(`index ${entry.index} has two different committed entries`);
            }
        }
    }
}

function createSnapshot(node: Consensus): Snapshot {
    const index = node.commitIndex;
    return { index, ...node.getSnapshotMetadata(index), state: "" };
}

export { DEFAULT_TIMINGS };
