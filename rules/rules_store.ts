/**
 * Stores the rules in force and applies changes to them with optimistic concurrency control.
 * Changes are idempotent by id, and the version never decreases.
 *
 * @example
 * ```ts
 * import { RulesStore } from "./rules_store.ts";
 * const store = new RulesStore(rules);
 * const result = store.applyChange(change, () => []);
 * ```
 *
 * @module
 */

import { createRules, createRulesFile, type RulesFile } from "./rules_file.ts";
import type { Rules } from "./rules.ts";

/** A change of the rules, as sent by an operator. */
export interface RulesChange {
    readonly changeId: string;
    /** The version to replace; the change conflicts when another version is in force. */
    readonly expectedVersion: number;
    readonly rules: RulesFile;
}

/** The result of a rules change. */
export type RulesChangeResult =
    | { readonly status: "applied"; readonly version: number }
    | { readonly status: "conflict"; readonly version: number; readonly reason: string }
    | { readonly status: "rejected"; readonly version: number; readonly reason: string };

/** The state of a rules store in snapshots. */
export interface RulesStoreState {
    readonly rules: RulesFile;
    readonly changes: readonly (readonly [string, RulesChangeResult])[];
}

/** Maximum number of stored results of changes; the oldest is removed first. */
const MAX_STORED_RESULTS = 10_000;

/** Stores the rules in force and the results of recent changes. */
export class RulesStore {
    #rules: Rules;
    readonly #resultsByChangeId = new Map<string, RulesChangeResult>();

    /**
     * @param rules The initial rules.
     */
    constructor(rules: Rules) {
        this.#rules = rules;
    }

    /** The rules in force. */
    get rules(): Rules {
        return this.#rules;
    }

    /**
     * Applies a change, or returns the stored result when its id is already known.
     *
     * @param change The change.
     * @param listProblems Returns the reasons to reject the change; called only when the versions
     * match.
     * @returns The new version, or the reason why the change was not applied.
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
     * Adopts rules that another replica group has accepted. Versions that are not newer than the
     * one in force are ignored, so that a change is never reverted.
     *
     * @param file The rules with their version.
     * @returns Whether the rules were adopted.
     */
    adoptRules(file: RulesFile): boolean {
        if (file.version <= this.#rules.version) {
            return false;
        }
        this.#rules = createRules(file);
        return true;
    }

    /**
     * Encodes the state for a snapshot.
     *
     * @returns The state as plain data.
     */
    encode(): RulesStoreState {
        return { rules: createRulesFile(this.#rules), changes: [...this.#resultsByChangeId] };
    }

    /**
     * Replaces the state with that of a snapshot.
     *
     * @param state The output of {@link RulesStore.encode}.
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
