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
export interface LeadClaim {
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
    readonly leads: readonly LeadClaim[];
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
    readonly suspectMs?: number;
}

/** An instance's state as this one sees it. */
export type MemberStatus = "up" | "suspected" | "unknown" | "stopping";

interface Known {
    entry: GossipEntry;
    changedAt: number;
}

/** The failure detector and leader directory of one instance. */
export class Gossip {
    readonly #options: Required<GossipOptions>;
    readonly #known = new Map<EntryId, Known>();
    #counter = 0;
    #leads: readonly LeadClaim[] = [];
    #stopping = false;

    /**
     * @param options Who takes part; see {@link GossipOptions}.
     */
    constructor(options: GossipOptions) {
        this.#options = { fanout: 2, suspectMs: 3_000, ...options };
    }

    /**
     * Sets what this instance tells of itself.
     *
     * @param leads Groups it leads.
     * @param stopping Whether it is shutting down.
     */
    setSelf(leads: readonly LeadClaim[], stopping: boolean): void {
        this.#leads = leads;
        this.#stopping = stopping;
    }

    /**
     * Counts a heartbeat and chooses whom to exchange with.
     *
     * @param now The time in ms.
     * @returns The chosen instances.
     */
    tick(now: number): EntryId[] {
        this.#counter += 1;
        this.#updateEntry(this.#createOwnEntry(), now);
        const others = this.#options.members.filter((m) => m !== this.#options.self);
        const chosen: EntryId[] = [];
        while (chosen.length < this.#options.fanout && others.length > 0) {
            const at = Math.floor(this.#options.random() * others.length);
            chosen.push(...others.splice(at, 1));
        }
        return chosen;
    }

    /**
     * Lists all that is known, for an exchange.
     *
     * @returns The table.
     */
    listTable(): GossipEntry[] {
        return [...this.#known.values()].map((k) => k.entry);
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
        return this.listTable();
    }

    /**
     * Gives an instance's state.
     *
     * @param id The instance.
     * @param now The time in ms.
     * @returns Up, suspected after a silence, stopping by its own word, or not heard of yet.
     */
    getStatus(id: EntryId, now: number): MemberStatus {
        const known = this.#known.get(id);
        if (id === this.#options.self) {
            return this.#stopping ? "stopping" : "up";
        }
        if (known === undefined) {
            return "unknown";
        }
        if (now - known.changedAt > this.#options.suspectMs) {
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
        return this.#findClaim(group, now)?.id;
    }

    /**
     * Gives the free cores that a group's leader told of last.
     *
     * @param group The group.
     * @param now The time in ms.
     * @returns The cores; 0 when no leader was heard of lately.
     */
    getFreeCores(group: GroupId, now: number): number {
        return this.#findClaim(group, now)?.claim.freeCores ?? 0;
    }

    #findClaim(group: GroupId, now: number): { id: EntryId; claim: LeadClaim } | undefined {
        let best: { id: EntryId; claim: LeadClaim } | undefined;
        for (const [id, known] of this.#known) {
            const claim = known.entry.leads.find((c) => c.group === group);
            const isHeard = now - known.changedAt <= this.#options.suspectMs;
            if (claim !== undefined && isHeard && claim.term > (best?.claim.term ?? -1)) {
                best = { id, claim };
            }
        }
        return best;
    }

    #createOwnEntry(): GossipEntry {
        return {
            id: this.#options.self,
            startedAt: this.#options.startedAt,
            counter: this.#counter,
            leads: this.#leads,
            stopping: this.#stopping,
        };
    }

    #updateEntry(entry: GossipEntry, now: number): void {
        const known = this.#known.get(entry.id);
        const isNewer =
            known === undefined ||
            entry.startedAt > known.entry.startedAt ||
            (entry.startedAt === known.entry.startedAt && entry.counter > known.entry.counter);
        if (isNewer) {
            this.#known.set(entry.id, { entry, changedAt: now });
        }
    }
}
