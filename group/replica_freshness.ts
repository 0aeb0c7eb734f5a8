/**
 * Measures how far a replica may be behind its leader, so that it serves no outdated reads. Messages
 * of the leader alone don't show this: they are received while the replica waits for its disk.
 *
 * @example
 * ```ts
 * import { ReplicaFreshness } from "./replica_freshness.ts";
 * const freshness = new ReplicaFreshness();
 * freshness.recordMessage(commitIndex, replica.appliedIndex, performance.now());
 * freshness.computeStalenessMs(replica.appliedIndex, performance.now());
 * ```
 *
 * @module
 */

/** A commit index that the leader has announced. */
interface Announcement {
    readonly commitIndex: number;
    /** When the replica first received it, in ms. */
    readonly receivedAtMs: number;
}

/** Tracks what one replica has heard of its leader. */
export class ReplicaFreshness {
    #lastMessageAtMs = Number.NEGATIVE_INFINITY;
    /** Announcements of entries that are not applied yet, oldest first. */
    #unapplied: Announcement[] = [];
    #highestIndex = 0;

    /** When the last message of the leader arrived on the monotonic clock, in ms. */
    get lastMessageAtMs(): number {
        return this.#lastMessageAtMs;
    }

    /** Number of announcements that are kept because their entries are not applied yet. */
    get unappliedCount(): number {
        return this.#unapplied.length;
    }

    /**
     * Records a message of the leader.
     *
     * @param commitIndex The index up to which entries are committed, according to the message.
     * @param appliedIndex The last applied index.
     * @param nowMs The current monotonic time, in ms.
     */
    recordMessage(commitIndex: number, appliedIndex: number, nowMs: number): void {
        this.#lastMessageAtMs = nowMs;
        this.#removeApplied(appliedIndex);
        if (commitIndex > this.#highestIndex) {
            this.#highestIndex = commitIndex;
            this.#unapplied.push({ commitIndex, receivedAtMs: nowMs });
        }
    }

    /**
     * Computes for how long this replica may not have known what was committed.
     *
     * @param appliedIndex The last applied index.
     * @param nowMs The current monotonic time, in ms.
     * @returns The time since the last message, or since the first announcement of an entry that is
     * not applied yet, whichever is longer, in ms.
     */
    computeStalenessMs(appliedIndex: number, nowMs: number): number {
        this.#removeApplied(appliedIndex);
        const laggingSinceMs = this.#unapplied[0]?.receivedAtMs ?? nowMs;
        return Math.max(nowMs - this.#lastMessageAtMs, nowMs - laggingSinceMs);
    }

    #removeApplied(appliedIndex: number): void {
        const firstUnapplied = this.#unapplied.findIndex((a) => a.commitIndex > appliedIndex);
        this.#unapplied = firstUnapplied < 0 ? [] : this.#unapplied.slice(firstUnapplied);
    }
}
