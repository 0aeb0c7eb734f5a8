/**
 * What a leader knows of the other members: how far each one's log is, and when it last answered.
 *
 * @example
 * ```ts
 * import { Followers } from "./_followers.ts";
 * const followers = new Followers(self);
 * followers.add(other, 18);
 * followers.computeQuorumContact(voters, now);
 * ```
 *
 * @module
 */

import type { MemberId } from "./types.ts";

/** What the leader knows of one other member. */
export interface FollowerProgress {
    nextIndex: number;
    matchIndex: number;
    /** When the newest message that this member answered was sent. */
    ackedSentAtMs: number;
    /** The index sent up to and not yet answered; avoids resending the same entries. */
    inFlightIndex: number;
    lastSentAtMs: number;
    /** The commit index it was told last. */
    sentCommitIndex: number;
    /** When a snapshot left that was not answered yet; 0 when none is on its way. */
    snapshotSentAtMs: number;
}

/** The members that a leader sends its log to, voters and learners. */
export class Followers {
    readonly #self: MemberId;
    readonly #progress = new Map<MemberId, FollowerProgress>();

    /**
     * @param self The leader.
     */
    constructor(self: MemberId) {
        this.#self = self;
    }

    /** Every member and what is known of it. */
    get entries(): IterableIterator<[MemberId, FollowerProgress]> {
        return this.#progress.entries();
    }

    /**
     * Adds a member, unless it is known or the leader itself.
     *
     * @param member The member.
     * @param nextIndex The first index to send it.
     * @returns Whether it is new.
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
            lastSentAtMs: Number.NEGATIVE_INFINITY,
            sentCommitIndex: 0,
            snapshotSentAtMs: 0,
        });
        return true;
    }

    /**
     * Finds what is known of a member.
     *
     * @param member The member.
     * @returns Its progress, or `undefined` when nothing is sent to it.
     */
    find(member: MemberId): FollowerProgress | undefined {
        return this.#progress.get(member);
    }

    /**
     * Forgets a member.
     *
     * @param member The member.
     */
    remove(member: MemberId): void {
        this.#progress.delete(member);
    }

    /** Forgets all members. */
    clear(): void {
        this.#progress.clear();
    }

    /** Takes all answers so far for too old to tell anything about now. */
    invalidateAcks(): void {
        for (const progress of this.#progress.values()) {
            progress.ackedSentAtMs = Number.NEGATIVE_INFINITY;
        }
    }

    /**
     * Computes up to which index a quorum holds the log.
     *
     * @param voters The voters.
     * @param persistedIndex How far the leader itself holds it durably.
     * @returns The index.
     */
    computeQuorumIndex(voters: readonly MemberId[], persistedIndex: number): number {
        const indexes = voters.map((voter) =>
            voter === this.#self ? persistedIndex : (this.find(voter)?.matchIndex ?? 0),
        );
        return selectQuorumValue(indexes) ?? 0;
    }

    /**
     * Computes since when a quorum has answered: what was sent at that time, a quorum has seen.
     *
     * @param voters The voters; the leader counts as answering now if it is one of them.
     * @param now The time in ms.
     * @returns The time in ms; minus infinity when no quorum ever answered.
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
 * Gives the size of a majority.
 *
 * @param voterCount How many voters there are.
 * @returns The smallest majority.
 */
export function computeQuorumSize(voterCount: number): number {
    return Math.floor(voterCount / 2) + 1;
}

/** The largest value that a quorum reaches or exceeds. */
function selectQuorumValue(values: readonly number[]): number | undefined {
    const descending = [...values].sort((a, b) => b - a);
    return descending[computeQuorumSize(descending.length) - 1];
}
