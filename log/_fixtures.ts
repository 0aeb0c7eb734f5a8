/**
 * A deterministic group for tests: every member's agreement protocol, the messages between them
 * in one queue, and a disk per member that keeps only what was persisted before a crash.
 *
 * @example
 * ```ts
 * import { GroupFixture } from "./_fixtures.ts";
 * const group = new GroupFixture({ members: 3, seed: 1 });
 * group.runFor(5_000);
 * ```
 *
 * @module
 */

import { createRandom } from "../tools/seeded_random.ts";
import { Consensus, DEFAULT_TIMINGS } from "./consensus.ts";
import type { GroupMessage, HardState, LogEntry, MemberId, StoredState } from "./types.ts";

interface Disk {
    hard: HardState;
    entries: LogEntry[];
}

interface InFlight {
    readonly from: MemberId;
    readonly to: MemberId;
    readonly message: GroupMessage;
}

/** Options of {@link GroupFixture}. */
export interface GroupFixtureOptions {
    readonly members: number;
    readonly seed: number;
}

/** A small group driven by plain calls. */
export class GroupFixture {
    readonly ids: MemberId[];
    readonly nodes = new Map<MemberId, Consensus>();
    readonly disks = new Map<MemberId, Disk>();
    readonly #initialVoters: readonly MemberId[];
    readonly #cut = new Set<string>();
    #queue: InFlight[] = [];
    #random: () => number;
    now = 0;
    /** Every committed entry seen anywhere, by index; a second, different one is a violation. */
    readonly committed = new Map<number, LogEntry>();
    readonly violations: string[] = [];
    readonly #leaders = new Map<number, MemberId>();

    /**
     * @param options How many members, and the seed of the election timeouts.
     */
    constructor(options: GroupFixtureOptions) {
        this.#random = createRandom(options.seed);
        this.ids = Array.from({ length: options.members }, (_, i) => `m${i + 1}.0` as MemberId);
        this.#initialVoters = [...this.ids];
        for (const id of this.ids) {
            this.disks.set(id, { hard: { term: 0, votedFor: undefined }, entries: [] });
            this.startMember(id);
        }
    }

    /** Starts (or restarts) a member from its disk. */
    startMember(id: MemberId): void {
        const disk = this.disks.get(id) as Disk;
        const stored: StoredState = {
            hard: disk.hard,
            snapshot: undefined,
            entries: [...disk.entries],
        };
        this.nodes.set(
            id,
            new Consensus({
                self: id,
                stored,
                initialVoters: this.#initialVoters.includes(id) ? this.#initialVoters : [],
                random: this.#random,
                now: this.now,
            }),
        );
    }

    /** Kills a member; what it did not persist is lost. */
    stopMember(id: MemberId): void {
        this.nodes.delete(id);
        this.#queue = this.#queue.filter((m) => m.to !== id);
    }

    /** Cuts or heals the link between two members, both ways. */
    setLink(a: MemberId, b: MemberId, isUp: boolean): void {
        for (const key of [`${a}|${b}`, `${b}|${a}`]) {
            if (isUp) {
                this.#cut.delete(key);
            } else {
                this.#cut.add(key);
            }
        }
    }

    /** Cuts a member off from everybody, or heals it. */
    setIsolated(id: MemberId, isIsolated: boolean): void {
        for (const other of this.ids) {
            if (other !== id) {
                this.setLink(id, other, !isIsolated);
            }
        }
    }

    /** Heals every link. */
    removeCuts(): void {
        this.#cut.clear();
    }

    /** Persists, sends and checks what a member has ready. */
    runMember(id: MemberId): void {
        const node = this.nodes.get(id);
        const disk = this.disks.get(id);
        if (node === undefined || disk === undefined) {
            return;
        }
        while (node.hasReady) {
            const ready = node.takeReady();
            this.#sendAll(id, ready.sendNow);
            for (const entry of ready.entries) {
                disk.entries.length = Math.min(disk.entries.length, entry.index - 1);
                disk.entries.push(entry);
            }
            disk.hard = ready.hard ?? disk.hard;
            const last = ready.entries.at(-1);
            if (last !== undefined) {
                node.confirmPersisted(last.index, last.term);
            }
            this.#sendAll(id, ready.sendAfter);
        }
        this.#checkMember(id, node);
    }

    /** Delivers one message, chosen by position in the queue, or loses it. */
    handleMessage(position: number, isLost: boolean): void {
        const [item] = this.#queue.splice(position % Math.max(1, this.#queue.length), 1);
        if (item === undefined || isLost || this.#cut.has(`${item.from}|${item.to}`)) {
            return;
        }
        this.nodes.get(item.to)?.receive(item.from, item.message, this.now);
        this.runMember(item.to);
    }

    /** Moves the clock and ticks every member that is not frozen. */
    advance(ms: number, frozen?: MemberId): void {
        this.now += ms;
        for (const [id, node] of this.nodes) {
            if (id !== frozen) {
                node.tick(this.now);
                this.runMember(id);
            }
        }
    }

    /** Runs for a time with every message delivered in order. */
    runFor(ms: number, frozen?: MemberId): void {
        for (let spent = 0; spent < ms; spent += 50) {
            this.advance(50, frozen);
            for (let left = this.#queue.length * 20; left > 0 && this.#queue.length > 0; left--) {
                if (this.#queue[0]?.to === frozen) {
                    this.#queue.shift();
                } else {
                    this.handleMessage(0, false);
                }
            }
        }
    }

    /** The member that leads and holds the lease, if any. */
    get leader(): MemberId | undefined {
        return this.ids.find((id) => this.nodes.get(id)?.hasLease(this.now));
    }

    /** Proposes one command at a member; returns the entry's index. */
    propose(id: MemberId, command: unknown): number | undefined {
        const index = this.nodes.get(id)?.propose([command]);
        this.runMember(id);
        return index;
    }

    #sendAll(from: MemberId, outgoing: readonly { to: MemberId; message: GroupMessage }[]): void {
        for (const { to, message } of outgoing) {
            this.#queue.push({ from, to, message: structuredClone(message) });
        }
    }

    #checkMember(id: MemberId, node: Consensus): void {
        if (node.role === "leader") {
            const other = this.#leaders.get(node.term);
            if (other !== undefined && other !== id) {
                this.violations.push(`term ${node.term} has two leaders: ${other}, ${id}`);
            }
            this.#leaders.set(node.term, id);
        }
        const leased = this.ids.filter((m) => this.nodes.get(m)?.hasLease(this.now));
        if (leased.length > 1) {
            this.violations.push(`two leaders hold a lease: ${leased.join(", ")}`);
        }
        for (const entry of node.listCommitted(0)) {
            const seen = this.committed.get(entry.index);
            if (seen === undefined) {
                this.committed.set(entry.index, entry);
            } else if (JSON.stringify(seen) !== JSON.stringify(entry)) {
                this.violations.push(`index ${entry.index} committed twice with other contents`);
            }
        }
    }
}

/** Election timeouts come from here, so that a run repeats. */
export { DEFAULT_TIMINGS };
