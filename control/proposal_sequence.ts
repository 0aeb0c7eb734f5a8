/**
 * Numbers a leader's proposals and tracks which of them are committed. A leader decides on facts
 * that it has proposed but that are not committed yet, so whatever leaves the process has to be
 * compared with all earlier proposals, not only with the one that was made together with it.
 *
 * @example
 * ```ts
 * import { ProposalSequence } from "./proposal_sequence.ts";
 * const proposals = new ProposalSequence();
 * await proposals.add(propose(batch));
 * proposals.isCommitted(proposals.newest);
 * ```
 *
 * @module
 */

/** The proposals of one leadership. They are committed in the order in which they are added. */
export class ProposalSequence {
    #newest = 0;
    #committed = 0;

    /** The number of the newest proposal; 0 if there is none. */
    get newest(): number {
        return this.#newest;
    }

    /**
     * Adds a proposal.
     *
     * @param commit Resolves when the proposal is committed.
     * @returns Resolves when the proposal is committed; rejects if `commit` does.
     */
    async add(commit: Promise<void>): Promise<void> {
        this.#newest += 1;
        const number = this.#newest;
        await commit;
        this.#committed = Math.max(this.#committed, number);
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
