/**
 * Orders a leader's proposals and tracks which of them are committed. A leader decides on facts
 * that it has proposed but that are not committed yet, so what leaves the process has to wait for
 * all earlier proposals, not only for the one that was made together with it.
 *
 * @example
 * ```ts
 * import { ProposalSequence } from "./proposal_sequence.ts";
 * const proposals = new ProposalSequence();
 * void proposals.add(propose(batch));
 * await proposals.waitForCommit();
 * ```
 *
 * @module
 */

/** The proposals of one leadership. */
export class ProposalSequence {
    #newest = 0;
    #committed = 0;
    #newestCommit: Promise<void> = Promise.resolve();

    /** The number of the newest proposal; 0 if there is none. */
    get newest(): number {
        return this.#newest;
    }

    /**
     * Adds a proposal.
     *
     * @param commit Resolves when the proposal is committed.
     * @returns Resolves when this proposal and all earlier ones are committed; rejects if one of
     * them fails.
     */
    add(commit: Promise<void>): Promise<void> {
        this.#newest += 1;
        const number = this.#newest;
        this.#newestCommit = Promise.all([this.#newestCommit, commit]).then(() => {
            this.#committed = number;
        });
        return this.#newestCommit;
    }

    /**
     * Waits until all proposals that were added so far are committed.
     *
     * @returns Resolves at once if there is none; rejects if one of them failed, also if later ones
     * are committed, since these may rest on it.
     */
    waitForCommit(): Promise<void> {
        return this.#newestCommit;
    }

    /**
     * Returns whether a proposal and all earlier ones are committed.
     *
     * @param number The number of the proposal.
     * @returns True also for 0.
     */
    isCommitted(number: number): boolean {
        return this.#committed >= number;
    }
}
