/**
 * The entries of one member's log behind its newest snapshot, with the voters that they set. It
 * knows nothing of terms' leaders or of messages: `consensus.ts` decides what enters it.
 *
 * @example
 * ```ts
 * import { EntryLog } from "./entry_log.ts";
 * const log = new EntryLog({ index: 0, term: 0, voters: ["a", "b", "c"], entries: [] });
 * log.append({ index: 1, term: 1, type: "noop" });
 * log.getTermAt(1); // 1
 * ```
 *
 * @module
 */

import type { LogEntry, MemberId } from "./types.ts";

/** Where the entries begin: what a snapshot, or the first start, says of the point before them. */
export interface LogBase {
    /** The index of the last entry that is not kept. */
    readonly index: number;
    readonly term: number;
    readonly voters: readonly MemberId[];
}

/** The voters in force at a point of the log, and the index that set them. */
export interface VoterConfiguration {
    readonly voters: readonly MemberId[];
    readonly index: number;
}

/** Entries in order, without gaps. */
export class EntryLog {
    #base: LogBase;
    #entries: LogEntry[];

    /**
     * @param options Where the entries begin, and the entries that storage held.
     */
    constructor(options: LogBase & { readonly entries: readonly LogEntry[] }) {
        const { index, term, voters, entries } = options;
        this.#base = { index, term, voters };
        this.#entries = [...entries];
    }

    /** The index of the newest entry, or of the base. */
    get lastIndex(): number {
        return this.#entries.at(-1)?.index ?? this.#base.index;
    }

    /** The index before the first entry that is kept. */
    get baseIndex(): number {
        return this.#base.index;
    }

    /**
     * Adds an entry behind the newest one.
     *
     * @param entry The entry; its index is the last index and one.
     */
    append(entry: LogEntry): void {
        this.#entries.push(entry);
    }

    /**
     * Lists entries after one index up to another.
     *
     * @param after The index before the first one listed.
     * @param upTo The last one listed.
     * @returns The entries that are kept, in order.
     */
    listBetween(after: number, upTo: number): LogEntry[] {
        return this.#entries.slice(
            Math.max(0, after - this.#base.index),
            Math.max(0, upTo - this.#base.index),
        );
    }

    /**
     * Gives the term of an entry.
     *
     * @param index The entry, or the base.
     * @returns Its term, or `undefined` when it is not kept or not there yet.
     */
    getTermAt(index: number): number | undefined {
        if (index === this.#base.index) {
            return this.#base.term;
        }
        return this.#entries[index - this.#base.index - 1]?.term;
    }

    /**
     * Finds the voters as of an index: those that the newest entry up to there set.
     *
     * @param index The index.
     * @returns The voters, and the index that set them.
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
     * Drops an entry and all behind it: another leader's log has others there.
     *
     * @param index The first entry that goes.
     */
    removeFrom(index: number): void {
        this.#entries = this.#entries.filter((entry) => entry.index < index);
    }

    /**
     * Drops the entries up to an index, which a snapshot covers.
     *
     * @param index The new base; an older one changes nothing.
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
     * Replaces everything by what a snapshot says.
     *
     * @param base Where the log goes on.
     */
    replace(base: LogBase): void {
        this.#base = base;
        this.#entries = [];
    }
}
