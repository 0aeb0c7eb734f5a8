/**
 * Updates of the rules while requests are unfinished: checks a change against the requests in the
 * cell, and keeps the guarantees under which they were accepted.
 *
 * @example
 * ```ts
 * import { RulesUpdater } from "./_rules_updater.ts";
 * const result = new RulesUpdater(state).setRules(change);
 * ```
 *
 * @module
 */

import { getKindClass, type RulesChange, type RulesChangeResult } from "../rules/mod.ts";
import { listRulesProblems, type RulesFile } from "../rules/rules_file.ts";
import type { CellState } from "./_cell_state.ts";
import { requestChart } from "./_lifecycle.ts";

/** Applies rules updates to one cell. */
export class RulesUpdater {
    readonly #state: CellState;

    /**
     * @param state The cell's state.
     */
    constructor(state: CellState) {
        this.#state = state;
    }

    /**
     * Applies a rules change. It is idempotent by change id, and conflicts when the expected
     * version is stale.
     *
     * @param change The change.
     * @returns The new version, or the reason why the change was not applied.
     */
    setRules(change: RulesChange): RulesChangeResult {
        const result = this.#state.rulesStore.applyChange(change, () =>
            this.listRulesProblems(change.rules),
        );
        this.#state.isPlacementDue = true;
        return result;
    }

    /**
     * Adopts rules from the configuration group. Removed kinds stay available to their unfinished
     * requests only; requests of a kind that became non-idempotent are not retried.
     *
     * @param file The rules.
     * @returns Whether the rules are now in force; versions older than the current one are ignored.
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
     * Lists what would break if rules took effect: problems of the rules themselves, and removed
     * kinds that unfinished requests still need.
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
