/**
 * Gossip-based failure detection and leader discovery. Instances exchange tables of heartbeat
 * counters with random peers, and suspect an instance whose counter stops increasing.
 *
 * @example
 * ```ts
 * import { Gossip } from "./gossip.ts";
 * const gossip = new Gossip({ self, members, startedAtMs, random: Math.random });
 * const peers = gossip.tick(now);
 * const response = gossip.receive(table, now);
 * ```
 *
 * @module
 */

import type { GroupId } from "../log/mod.ts";
import type { EntryId } from "./layout.ts";

/** Leadership of a group, as announced by its leader. */
export interface LeadershipClaim {
    readonly group: GroupId;
    readonly term: number;
    /** Cores available to new work; 0 while the group has queued work. */
    readonly freeCores: number;
}

/** Gossiped state of an instance. */
export interface GossipEntry {
    readonly id: EntryId;
    /** Start time in ms since the Unix epoch; orders the counters of successive processes. */
    readonly startedAt: number;
    readonly counter: number;
    /** Groups that the instance leads. */
    readonly leads: readonly LeadershipClaim[];
    /** Whether the instance is shutting down and accepts no new work. */
    readonly stopping: boolean;
}

/** Options of {@link Gossip}. */
export interface GossipOptions {
    readonly self: EntryId;
    readonly members: readonly EntryId[];
    /** Start time of this process in ms since the Unix epoch. */
    readonly startedAtMs: number;
    readonly random: () => number;
    /** Number of peers contacted per round. */
    readonly fanout?: number;
    /** Time without a newer heartbeat after which an instance is suspected, in ms. */
    readonly suspectTimeoutMs?: number;
}

/** Status of an instance according to the local failure detector. */
export type MemberStatus = "up" | "suspected" | "unknown" | "stopping";

interface KnownMember {
    entry: GossipEntry;
    updatedAtMs: number;
}

/** Failure detector and leader directory of an instance. */
export class Gossip {
    readonly #options: Required<GossipOptions>;
    readonly #knownMembers = new Map<EntryId, KnownMember>();
    #counter = 0;
    #leadershipClaims: readonly LeadershipClaim[] = [];
    #isStopping = false;

    /**
     * @param options Members and timing; see {@link GossipOptions}.
     */
    constructor(options: GossipOptions) {
        this.#options = { fanout: 2, suspectTimeoutMs: 3_000, ...options };
    }

    /**
     * Sets the state that this instance announces.
     *
     * @param leads The groups that this instance leads.
     * @param stopping Whether this instance is shutting down.
     */
    setLocalState(leads: readonly LeadershipClaim[], stopping: boolean): void {
        this.#leadershipClaims = leads;
        this.#isStopping = stopping;
    }

    /**
     * Increments the heartbeat counter and selects random peers for a gossip round.
     *
     * @param now The time in ms.
     * @returns The selected peers.
     */
    tick(now: number): EntryId[] {
        this.#counter += 1;
        this.#updateEntry(this.#createLocalEntry(), now);
        const candidates = this.#options.members.filter((m) => m !== this.#options.self);
        const selected: EntryId[] = [];
        while (selected.length < this.#options.fanout && candidates.length > 0) {
            const index = Math.floor(this.#options.random() * candidates.length);
            selected.push(...candidates.splice(index, 1));
        }
        return selected;
    }

    /**
     * Lists the newest known entry of each instance.
     *
     * @returns The entries to send to a peer.
     */
    listEntries(): GossipEntry[] {
        return [...this.#knownMembers.values()].map((k) => k.entry);
    }

    /**
     * Merges a peer's table into the local one, keeping the newer entry of each instance.
     *
     * @param table The peer's entries.
     * @param now The time in ms.
     * @returns The merged entries, as the response to the peer.
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
     * Returns the status of an instance.
     *
     * @param id The instance.
     * @param now The time in ms.
     * @returns `unknown` if no entry of the instance has been received, else its status.
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
     * Finds the leader of a group: the unsuspected instance that claims it with the highest term.
     *
     * @param group The group.
     * @param now The time in ms.
     * @returns The leader, or `undefined` if no unsuspected instance claims leadership.
     */
    findLeader(group: GroupId, now: number): EntryId | undefined {
        return this.#findLeadershipClaim(group, now)?.id;
    }

    /**
     * Returns the free cores that a group's leader last announced.
     *
     * @param group The group.
     * @param now The time in ms.
     * @returns The number of cores; 0 if no leader is known.
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
            startedAt: this.#options.startedAtMs,
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
