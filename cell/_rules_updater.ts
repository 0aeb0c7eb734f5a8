/**
 * Changes of the rules while requests are under way: what a change must not break, and what requests
 * keep of the rules that they were accepted under.
 *
 * @example
 * ```ts
 * import { RulesChanges } from "./_rules_updater.ts";
 * const result = new RulesChanges(books).setRules(change);
 * ```
 *
 * @module
 */

import { getKindClass, type RulesChange, type RulesChangeResult } from "../rules/mod.ts";
import { listRulesProblems, type RulesFile } from "../rules/rules_file.ts";
import type { CellState } from "./_cell_state.ts";
import { requestChart } from "./_lifecycle.ts";

/** The rules changes of one cell. */
export class RulesUpdater {
    readonly #state: CellState;

    /**
     * @param state The cell's records.
     */
    constructor(state: CellState) {
        this.#state = state;
    }

    /**
     * Applies a rules change: once per change id; a stale expected version is a conflict.
     *
     * @param change The change.
     * @returns Applied with the new version, or why not.
     */
    setRules(change: RulesChange): RulesChangeResult {
        const result = this.#state.rulesStore.applyChange(change, () =>
            this.listRulesProblems(change.rules),
        );
        this.#state.isPlacementDue = true;
        return result;
    }

    /**
     * Takes rules that the configuration group decided. Kinds that it drops while requests of
     * them have not ended stay known to those requests only; requests of a kind that became
     * non-idempotent are not run again.
     *
     * @param file The rules.
     * @returns Whether they are in force now; older ones than those in force are ignored.
     */
    adoptRules(file: RulesFile): boolean {
        const { rules: previousRules } = this.#state.rulesStore;
        if (!this.#state.rulesStore.adoptRules(file)) {
            return false;
        }
        for (const [kind, rule] of previousRules.kinds) {
            if (!this.#state.rulesStore.rules.kinds.has(kind)) {
                this.#state.retiredKinds.set(kind, {
                    rule,
                    kindClass: getKindClass(previousRules, rule),
                });
            }
        }
        for (const request of this.#state.requests.values()) {
            if (this.#state.rulesStore.rules.kinds.get(request.spec.kind)?.idempotent === false) {
                request.atMostOnce = true;
            }
        }
        this.#state.isPlacementDue = true;
        return true;
    }

    /**
     * Finds what would break if rules took effect: problems of the rules themselves, and kinds
     * that requests not yet ended still need (their next tick would find no rule for them).
     *
     * @param rules The rules.
     * @returns One line per problem.
     */
    listRulesProblems(rules: RulesFile): string[] {
        const problems = listRulesProblems(rules);
        const kinds = new Set(rules.kinds.map((k) => k.name));
        const inUse = new Map<string, number>();
        for (const request of this.#state.requests.values()) {
            if (!requestChart.finalStates.has(request.state) && !kinds.has(request.spec.kind)) {
                inUse.set(request.spec.kind, (inUse.get(request.spec.kind) ?? 0) + 1);
            }
        }
        for (const [kind, count] of inUse) {
            problems.push(`kind "${kind}" is in use by ${count} request(s) not yet ended`);
        }
        return problems;
    }
}
