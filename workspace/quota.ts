/**
 * Counts what each workspace has reserved on the workers, and compares it with its limit.
 *
 * A reservation counts from the decision to start a task until the end of its run is certain, so
 * that starts without an answer and runs on silent workers count as well. After a change of leader,
 * the count is rebuilt from the replicated attempts.
 *
 * @example
 * ```ts
 * import { QuotaLedger } from "./quota.ts";
 * const ledger = new QuotaLedger((workspace) => stateStore.workspaces.get(workspace)?.limit);
 * if (ledger.hasQuotaFor(workspace, demand)) {
 *     ledger.addReservation(workspace, demand);
 * }
 * ```
 *
 * @module
 */

import type { WorkspaceName, WorkspaceResources } from "./types.ts";

type Resource = keyof WorkspaceResources;

const RESOURCES: readonly Resource[] = ["cpu", "memoryMb", "gpu"];
const NOTHING: WorkspaceResources = { cpu: 0, memoryMb: 0, gpu: 0 };

/** What the workspaces have reserved. Tasks without a workspace are not counted. */
export class QuotaLedger {
    readonly #getLimit: (workspace: WorkspaceName) => WorkspaceResources | undefined;
    readonly #usage = new Map<WorkspaceName, WorkspaceResources>();

    /**
     * @param getLimit Returns a workspace's limit; `undefined` or 0 for none.
     */
    constructor(getLimit: (workspace: WorkspaceName) => WorkspaceResources | undefined) {
        this.#getLimit = getLimit;
    }

    /** The workspaces with reservations, and what they have reserved. */
    get usage(): ReadonlyMap<WorkspaceName, WorkspaceResources> {
        return this.#usage;
    }

    /**
     * Adds a reservation.
     *
     * @param workspace The workspace of the task.
     * @param demand What the task takes.
     */
    addReservation(workspace: WorkspaceName | undefined, demand: WorkspaceResources): void {
        this.#updateUsage(workspace, demand, 1);
    }

    /**
     * Removes a reservation.
     *
     * @param workspace The workspace of the task.
     * @param demand What the task took.
     */
    removeReservation(workspace: WorkspaceName | undefined, demand: WorkspaceResources): void {
        this.#updateUsage(workspace, demand, -1);
    }

    /**
     * Returns whether a workspace may reserve more without exceeding its limit.
     *
     * @param workspace The workspace.
     * @param demand What its tasks would take.
     * @returns False if it would exceed its limit of a resource that the tasks take.
     */
    hasQuotaFor(workspace: WorkspaceName | undefined, demand: WorkspaceResources): boolean {
        return this.#isWithin(workspace, this.#findUsage(workspace), demand);
    }

    /**
     * Returns whether a workspace uses less than half of its limit.
     *
     * @param workspace The workspace.
     * @returns False if it uses half of its limit of any resource, or more.
     */
    isBelowHalf(workspace: WorkspaceName | undefined): boolean {
        const limit = this.#findLimit(workspace);
        const usage = this.#findUsage(workspace);
        return RESOURCES.every((key) => limit[key] === 0 || usage[key] < limit[key] / 2);
    }

    /**
     * Returns whether a demand fits into a workspace's limit if nothing else is reserved.
     *
     * @param workspace The workspace.
     * @param demand What its tasks would take.
     * @returns False if the demand alone exceeds the limit.
     */
    isWithinLimit(workspace: WorkspaceName | undefined, demand: WorkspaceResources): boolean {
        return this.#isWithin(workspace, NOTHING, demand);
    }

    /**
     * Returns whether a workspace has reserved more than its limit, which may have been lowered.
     *
     * @param workspace The workspace.
     * @param demand The demand of one of its tasks, already reserved.
     * @returns True if it is over its limit of a resource that the task takes.
     */
    isOverLimit(workspace: WorkspaceName | undefined, demand: WorkspaceResources): boolean {
        const limit = this.#findLimit(workspace);
        const usage = this.#findUsage(workspace);
        return RESOURCES.some(
            (key) => demand[key] > 0 && limit[key] > 0 && usage[key] > limit[key],
        );
    }

    #isWithin(
        workspace: WorkspaceName | undefined,
        usage: WorkspaceResources,
        demand: WorkspaceResources,
    ): boolean {
        const limit = this.#findLimit(workspace);
        return RESOURCES.every(
            (key) =>
                limit[key] === 0 || demand[key] === 0 || usage[key] + demand[key] <= limit[key],
        );
    }

    #findLimit(workspace: WorkspaceName | undefined): WorkspaceResources {
        return (workspace === undefined ? undefined : this.#getLimit(workspace)) ?? NOTHING;
    }

    #findUsage(workspace: WorkspaceName | undefined): WorkspaceResources {
        return (workspace === undefined ? undefined : this.#usage.get(workspace)) ?? NOTHING;
    }

    #updateUsage(
        workspace: WorkspaceName | undefined,
        { cpu, memoryMb, gpu }: WorkspaceResources,
        sign: 1 | -1,
    ): void {
        if (workspace === undefined) {
            return;
        }
        const before = this.#findUsage(workspace);
        const after = {
            cpu: before.cpu + sign * cpu,
            memoryMb: before.memoryMb + sign * memoryMb,
            gpu: before.gpu + sign * gpu,
        };
        if (RESOURCES.every((key) => after[key] === 0)) {
            this.#usage.delete(workspace);
        } else {
            this.#usage.set(workspace, after);
        }
    }
}
