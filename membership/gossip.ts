/**
 * Who of the entry instances is up, and which of them leads which group: each instance counts a
 * heartbeat, and pairs of instances exchange all counters they know. An instance whose counter
 * stands still is suspected. The cost per instance does not grow with the number of instances
 * beyond the size of the table.
 *
 * @example
 * ```ts
 * import { Gossip } from "./gossip.ts";
 * const gossip = new Gossip({ self, members, random: Math.random });
 * const peers = gossip.tick(now);
 * const answer = gossip.receive(table, now);
 * ```
 *
 * @module
 */

import type { GroupId } from "../log/mod.ts";
import type { EntryId } from "./layout.ts";

/** What a leader says of a group it leads. */
export interface LeadershipClaim {
    readonly group: GroupId;
    readonly term: number;
    /** Cores free for new work; 0 while its own work waits. */
    readonly freeCores: number;
}

/** What instances tell each other about one of them. */
export interface GossipEntry {
    readonly id: EntryId;
    /** When the instance started, so that a restarted one's low counter is not taken as old. */
    readonly startedAt: number;
    readonly counter: number;
    /** Groups it leads. */
    readonly leads: readonly LeadershipClaim[];
    /** It is shutting down: send it nothing new. */
    readonly stopping: boolean;
}

/** Options of {@link Gossip}. */
export interface GossipOptions {
    readonly self: EntryId;
    readonly members: readonly EntryId[];
    /** When this process started, in ms since the epoch. */
    readonly startedAt: number;
    readonly random: () => number;
    /** How many others it exchanges with in one round. */
    readonly fanout?: number;
    /** Silence after which an instance is suspected, in ms. */
    readonly suspectTimeoutMs?: number;
}

/** An instance's state as this one sees it. */
export type MemberStatus = "up" | "suspected" | "unknown" | "stopping";

interface KnownMember {
    entry: GossipEntry;
    updatedAtMs: number;
}

/** The failure detector and leader directory of one instance. */
export class Gossip {
    readonly #options: Required<GossipOptions>;
    readonly #knownMembers = new Map<EntryId, KnownMember>();
    #counter = 0;
    #leadershipClaims: readonly LeadershipClaim[] = [];
    #isStopping = false;

    /**
     * @param options Who takes part; see {@link GossipOptions}.
     */
    constructor(options: GossipOptions) {
        this.#options = { fanout: 2, suspectTimeoutMs: 3_000, ...options };
    }

    /**
     * Sets what this instance tells of itself.
     *
     * @param leads Groups it leads.
     * @param stopping Whether it is shutting down.
     */
    setLocalState(leads: readonly LeadershipClaim[], stopping: boolean): void {
        this.#leadershipClaims = leads;
        this.#isStopping = stopping;
    }

    /**
     * Counts a heartbeat and chooses whom to exchange with.
     *
     * @param now The time in ms.
     * @returns The chosen instances.
     */
    tick(now: number): EntryId[] {
        this.#counter += 1;
        this.#updateEntry(this.#createLocalEntry(), now);
        const candidates = this.#options.members.filter((m) => m !== this.#options.self);
        const chosen: EntryId[] = [];
        while (chosen.length < this.#options.fanout && candidates.length > 0) {
            const index = Math.floor(this.#options.random() * candidates.length);
            chosen.push(...candidates.splice(index, 1));
        }
        return chosen;
    }

    /**
     * Lists all that is known, for an exchange.
     *
     * @returns The table.
     */
    listEntries(): GossipEntry[] {
        return [...this.#knownMembers.values()].map((k) => k.entry);
    }

    /**
     * Takes another instance's table.
     *
     * @param table The table.
     * @param now The time in ms.
     * @returns This instance's table, for the other.
     */
    receive(table: readonly GossipEntry[], now: number): GossipEntry[] {
        for (const entry of table) {
            if (entry.id !== this.#options.self && this.#options.members.includes(entry.id)) {
                this.#updateEntry(entry, now);
            }
        }
        return this.listEntries();
    }

    /**
     * Gives an instance's state.
     *
     * @param id The instance.
     * @param now The time in ms.
     * @returns Up, suspected after a silence, stopping by its own word, or not heard of yet.
     */
    getStatus(id: EntryId, now: number): MemberStatus {
        const known = this.#knownMembers.get(id);
        if (id === this.#options.self) {
            return this.#isStopping ? "stopping" : "up";
        }
        if (known === undefined) {
            return "unknown";
        }
        if (now - known.updatedAtMs > this.#options.suspectTimeoutMs) {
            return "suspected";
        }
        return known.entry.stopping ? "stopping" : "up";
    }

    /**
     * Finds who leads a group: of those that say so, the one with the highest term.
     *
     * @param group The group.
     * @param now The time in ms.
     * @returns The leader, or `undefined` when nobody heard of lately says it leads.
     */
    findLeader(group: GroupId, now: number): EntryId | undefined {
        return this.#findLeadershipClaim(group, now)?.id;
    }

    /**
     * Gives the free cores that a group's leader told of last.
     *
     * @param group The group.
     * @param now The time in ms.
     * @returns The cores; 0 when no leader was heard of lately.
     */
    getFreeCores(group: GroupId, now: number): number {
        return this.#findLeadershipClaim(group, now)?.claim.freeCores ?? 0;
    }

    #findLeadershipClaim(
        group: GroupId,
        now: number,
    ): { id: EntryId; claim: LeadershipClaim } | undefined {
        let best: { id: EntryId; claim: LeadershipClaim } | undefined;
        for (const [id, known] of this.#knownMembers) {
            const claim = known.entry.leads.find((c) => c.group === group);
            const isFresh = now - known.updatedAtMs <= this.#options.suspectTimeoutMs;
            if (claim !== undefined && isFresh && claim.term > (best?.claim.term ?? -1)) {
                best = { id, claim };
            }
        }
        return best;
    }

    #createLocalEntry(): GossipEntry {
        return {
            id: this.#options.self,
            startedAt: this.#options.startedAt,
            counter: this.#counter,
            leads: this.#leadershipClaims,
            stopping: this.#isStopping,
        };
    }

    #updateEntry(entry: GossipEntry, now: number): void {
        const known = this.#knownMembers.get(entry.id);
        const isNewer =
            known === undefined ||
            entry.startedAt > known.entry.startedAt ||
            (entry.startedAt === known.entry.startedAt && entry.counter > known.entry.counter);
        if (isNewer) {
            this.#knownMembers.set(entry.id, { entry, updatedAtMs: now });
        }
    }
}
