/**
 * Tracks a leader's view of the other members: how far each one's log matches and when it last
 * acknowledged a message.
 *
 * @example
 * ```ts
 * import { Followers } from "./_followers.ts";
 * const followers = new Followers(self);
 * followers.add(other, 18);
 * followers.computeQuorumAckTimeMs(voters, now);
 * ```
 *
 * @module
 */

import type { MemberId } from "./types.ts";

/** The replication progress of one member as seen by the leader. */
export interface FollowerProgress {
    nextIndex: number;
    matchIndex: number;
    /** Send time of the newest message that this member acknowledged, in ms. */
    ackedSentAtMs: number;
    /** The last index that was sent but not acknowledged; 0 if none. */
    inFlightIndex: number;
    /** Send time of the message that carries it, in ms. */
    inFlightSentAtMs: number;
    lastSentAtMs: number;
    /** The commit index in the last append sent to this member. */
    sentCommitIndex: number;
    /** Send time of the unacknowledged snapshot, in ms; 0 if none is in flight. */
    snapshotSentAtMs: number;
}

/** The voters and learners that a leader replicates its log to. */
export class Followers {
    readonly #self: MemberId;
    readonly #progress = new Map<MemberId, FollowerProgress>();

    /**
     * @param self The leader.
     */
    constructor(self: MemberId) {
        this.#self = self;
    }

    /** Every tracked member and its progress. */
    get entries(): IterableIterator<[MemberId, FollowerProgress]> {
        return this.#progress.entries();
    }

    /**
     * Adds a member unless it is already tracked or is the leader itself.
     *
     * @param member The member.
     * @param nextIndex The first index to send to it.
     * @returns Whether the member was added.
     */
    add(member: MemberId, nextIndex: number): boolean {
        if (member === this.#self || this.#progress.has(member)) {
            return false;
        }
        this.#progress.set(member, {
            nextIndex,
            matchIndex: 0,
            ackedSentAtMs: Number.NEGATIVE_INFINITY,
            inFlightIndex: 0,
            inFlightSentAtMs: Number.NEGATIVE_INFINITY,
            lastSentAtMs: Number.NEGATIVE_INFINITY,
            sentCommitIndex: 0,
            snapshotSentAtMs: 0,
        });
        return true;
    }

    /**
     * Finds the progress of a member.
     *
     * @param member The member.
     * @returns Its progress, or `undefined` if it is not tracked.
     */
    find(member: MemberId): FollowerProgress | undefined {
        return this.#progress.get(member);
    }

    /**
     * Stops tracking a member.
     *
     * @param member The member.
     */
    remove(member: MemberId): void {
        this.#progress.delete(member);
    }

    /** Stops tracking all members. */
    clear(): void {
        this.#progress.clear();
    }

    /** Discards all acknowledgement times, so that only later ones count towards the lease. */
    invalidateAcks(): void {
        for (const progress of this.#progress.values()) {
            progress.ackedSentAtMs = Number.NEGATIVE_INFINITY;
        }
    }

    /**
     * Computes the highest index that a quorum has persisted.
     *
     * @param voters The voters.
     * @param persistedIndex The last index that the leader itself persisted.
     * @returns The index.
     */
    computeQuorumIndex(voters: readonly MemberId[], persistedIndex: number): number {
        const indexes = voters.map((voter) =>
            voter === this.#self ? persistedIndex : (this.find(voter)?.matchIndex ?? 0),
        );
        return selectQuorumValue(indexes) ?? 0;
    }

    /**
     * Computes the latest send time whose messages a quorum has acknowledged.
     *
     * @param voters The voters; the leader counts as acknowledging now if it is one of them.
     * @param now The time in ms.
     * @returns The time in ms; negative infinity if no quorum has acknowledged anything.
     */
    computeQuorumAckTimeMs(voters: readonly MemberId[], now: number): number {
        const ackTimesMs = voters.map((voter) =>
            voter === this.#self
                ? now
                : (this.find(voter)?.ackedSentAtMs ?? Number.NEGATIVE_INFINITY),
        );
        return selectQuorumValue(ackTimesMs) ?? Number.NEGATIVE_INFINITY;
    }
}

/**
 * Computes the size of the smallest majority.
 *
 * @param voterCount The number of voters.
 * @returns The number of voters in a quorum.
 */
export function computeQuorumSize(voterCount: number): number {
    return Math.floor(voterCount / 2) + 1;
}

/** Selects the largest value that a quorum reaches or exceeds. */
function selectQuorumValue(values: readonly number[]): number | undefined {
    const descending = [...values].sort((a, b) => b - a);
    return descending[computeQuorumSize(descending.length) - 1];
}
