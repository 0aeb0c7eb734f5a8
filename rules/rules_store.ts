/**
 * The rules in force and the changes that led there: one winner among operators who race with
 * equal version numbers, one effect for a change that is resent, and never a step back.
 *
 * @example
 * ```ts
 * import { RulesBook } from "./rules_store.ts";
 * const book = new RulesBook(rules);
 * const result = book.applyChange(change, () => []);
 * ```
 *
 * @module
 */

import { createRules, createRulesFile, type RulesFile } from "./rules_file.ts";
import type { Rules } from "./rules.ts";

/** A rules change as an operator sends it. */
export interface RulesChange {
    readonly changeId: string;
    /** The version the change replaces; equal versions race, and one wins. */
    readonly expectedVersion: number;
    readonly rules: RulesFile;
}

/** The answer to a rules change. */
export type RulesChangeResult =
    | { readonly status: "applied"; readonly version: number }
    | { readonly status: "conflict"; readonly version: number; readonly reason: string }
    | { readonly status: "rejected"; readonly version: number; readonly reason: string };

/** A book's whole state, for snapshots. */
export interface RulesStoreState {
    readonly rules: RulesFile;
    readonly changes: readonly (readonly [string, RulesChangeResult])[];
}

/** Answers kept for resends; the oldest are dropped first. 4,300 changes a day: two days. */
const MAX_STORED_RESULTS = 10_000;

/** The rules in force and the answers to earlier changes. */
export class RulesStore {
    #rules: Rules;
    readonly #resultsByChangeId = new Map<string, RulesChangeResult>();

    /**
     * @param rules The rules in force at the start.
     */
    constructor(rules: Rules) {
        this.#rules = rules;
    }

    /** The rules in force. */
    get rules(): Rules {
        return this.#rules;
    }

    /**
     * Applies a change, once per change id.
     *
     * @param change The change.
     * @param listProblems Finds what would break; asked only when the version is right.
     * @returns Applied with the new version, or why not.
     */
    applyChange(change: RulesChange, listProblems: () => readonly string[]): RulesChangeResult {
        const previousResult = this.#resultsByChangeId.get(change.changeId);
        if (previousResult !== undefined) {
            return previousResult;
        }
        const result = this.#computeResult(change, listProblems);
        this.#resultsByChangeId.set(change.changeId, result);
        if (this.#resultsByChangeId.size > MAX_STORED_RESULTS) {
            const [oldest] = this.#resultsByChangeId.keys();
            this.#resultsByChangeId.delete(oldest as string);
        }
        return result;
    }

    /**
     * Takes rules that were decided elsewhere; older ones than those in force are ignored, so
     * an accepted change never reverts.
     *
     * @param file The rules with their version.
     * @returns Whether they are in force now.
     */
    adoptRules(file: RulesFile): boolean {
        if (file.version <= this.#rules.version) {
            return false;
        }
        this.#rules = createRules(file);
        return true;
    }

    /**
     * Encodes the whole book.
     *
     * @returns Its state as plain data.
     */
    encode(): RulesStoreState {
        return { rules: createRulesFile(this.#rules), changes: [...this.#resultsByChangeId] };
    }

    /**
     * Replaces the whole book.
     *
     * @param state What {@link RulesStore.encode} gave.
     */
    restore(state: RulesStoreState): void {
        this.#rules = createRules(state.rules);
        this.#resultsByChangeId.clear();
        for (const [changeId, result] of state.changes) {
            this.#resultsByChangeId.set(changeId, result);
        }
    }

    #computeResult(change: RulesChange, listProblems: () => readonly string[]): RulesChangeResult {
        const { version } = this.#rules;
        if (change.expectedVersion !== version) {
            return {
                status: "conflict",
                version,
                reason: `expected version ${change.expectedVersion}, but ${version} is in force`,
            };
        }
        const problems = listProblems();
        if (problems.length > 0) {
            return { status: "rejected", version, reason: problems.join("; ") };
        }
        this.#rules = createRules({ ...change.rules, version: version + 1 });
        return { status: "applied", version: version + 1 };
    }
}
