/**
 * Decides in one placement round which steps have quota. A step that waits for its workspace's
 * quota goes before later steps of that workspace: otherwise small tasks would use up each bit of
 * quota that comes free, and a wide gang would never start. Other workspaces are not affected.
 *
 * @example
 * ```ts
 * import { QuotaRound } from "./quota_round.ts";
 * const round = new QuotaRound(ledger);
 * const startable = ranked.filter(({ workspace, demand }) => round.hasTurn(workspace, demand));
 * ```
 *
 * @module
 */

import type { QuotaLedger } from "./quota.ts";
import type { WorkspaceName, WorkspaceResources } from "./types.ts";

/** One round over the waiting steps, in order of rank. */
export class QuotaRound {
    readonly #ledger: QuotaLedger;
    readonly #waitingWorkspaces = new Set<WorkspaceName>();

    /**
     * @param ledger What the workspaces have reserved.
     */
    constructor(ledger: QuotaLedger) {
        this.#ledger = ledger;
    }

    /**
     * Returns whether the next step in order may place a unit. While a workspace uses less than
     * half of its limit, its steps don't wait for an earlier one, so that a gang of nearly the
     * whole limit can't hold up everything else.
     *
     * @param workspace The workspace of the step.
     * @param demand What one unit takes.
     * @returns False if the unit has to wait for quota.
     */
    hasTurn(workspace: WorkspaceName | undefined, demand: WorkspaceResources): boolean {
        if (workspace === undefined) {
            return true;
        }
        if (!this.#ledger.hasQuotaFor(workspace, demand)) {
            if (this.#ledger.isWithinLimit(workspace, demand)) {
                this.#waitingWorkspaces.add(workspace);
            }
            return false;
        }
        return !this.#waitingWorkspaces.has(workspace) || this.#ledger.isBelowHalf(workspace);
    }
}
