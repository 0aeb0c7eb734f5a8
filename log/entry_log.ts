/**
 * Holds the log entries that follow a member's newest snapshot, and the voter configurations that
 * they set.
 *
 * @example
 * ```ts
 * import { EntryLog } from "./entry_log.ts";
 * const log = new EntryLog({ index: 0, term: 0, voters, entries: [] });
 * log.append({ index: 1, term: 1, type: "noop" });
 * log.getTermAt(1); // 1
 * ```
 *
 * @module
 */

import type { LogEntry, MemberId } from "./types.ts";

/** The point just before the first kept entry, from a snapshot or the first start. */
export interface LogBase {
    /** The index of the last compacted entry; 0 in a new log. */
    readonly index: number;
    readonly term: number;
    readonly voters: readonly MemberId[];
}

/** The voters in effect at a point of the log, and the index of the entry that set them. */
export interface VoterConfiguration {
    readonly voters: readonly MemberId[];
    readonly index: number;
}

/** A contiguous sequence of log entries. */
export class EntryLog {
    #base: LogBase;
    #entries: LogEntry[];

    /**
     * @param options The base of the log and the stored entries after it.
     */
    constructor(options: LogBase & { readonly entries: readonly LogEntry[] }) {
        const { index, term, voters, entries } = options;
        this.#base = { index, term, voters };
        this.#entries = [...entries];
    }

    /** The index of the newest entry, or of the base if there are none. */
    get lastIndex(): number {
        return this.#entries.at(-1)?.index ?? this.#base.index;
    }

    /** The index just before the first kept entry. */
    get baseIndex(): number {
        return this.#base.index;
    }

    /**
     * Appends an entry.
     *
     * @param entry The entry; its index must be the last index plus one.
     */
    append(entry: LogEntry): void {
        this.#entries.push(entry);
    }

    /**
     * Lists the kept entries in a range of indexes.
     *
     * @param after The start of the range, exclusive.
     * @param upTo The end of the range, inclusive.
     * @returns The entries in order.
     */
    listBetween(after: number, upTo: number): LogEntry[] {
        return this.#entries.slice(
            Math.max(0, after - this.#base.index),
            Math.max(0, upTo - this.#base.index),
        );
    }

    /**
     * Returns the term of an entry.
     *
     * @param index The index of the entry or of the base.
     * @returns The term, or `undefined` if the entry was compacted or does not exist.
     */
    getTermAt(index: number): number | undefined {
        if (index === this.#base.index) {
            return this.#base.term;
        }
        return this.#entries[index - this.#base.index - 1]?.term;
    }

    /**
     * Finds the voters in effect at an index.
     *
     * @param index The index.
     * @returns The voters and the index of the entry that set them.
     */
    findVotersAt(index: number): VoterConfiguration {
        for (let i = this.#entries.length - 1; i >= 0; i--) {
            const entry = this.#entries[i];
            if (entry?.type === "voters" && entry.index <= index) {
                return { voters: entry.voters, index: entry.index };
            }
        }
        return { voters: this.#base.voters, index: this.#base.index };
    }

    /**
     * Removes an entry and all later ones, which conflict with the leader's log.
     *
     * @param index The first index to remove.
     */
    removeFrom(index: number): void {
        this.#entries = this.#entries.filter((entry) => entry.index < index);
    }

    /**
     * Removes the entries up to an index that a snapshot covers.
     *
     * @param index The new base; no effect if it is before the current one.
     */
    compact(index: number): void {
        const base = Math.max(this.#base.index, index);
        this.#base = {
            index: base,
            term: this.getTermAt(base) ?? this.#base.term,
            voters: this.findVotersAt(base).voters,
        };
        this.#entries = this.#entries.filter((entry) => entry.index > base);
    }

    /**
     * Discards all entries and continues from a snapshot.
     *
     * @param base The new base.
     */
    replace(base: LogBase): void {
        this.#base = base;
        this.#entries = [];
    }
}
