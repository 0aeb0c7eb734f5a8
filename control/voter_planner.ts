/**
 * Plans which control instances should be voters. A new leader keeps the current voters for a
 * stabilization period, in which it receives hello messages from all live instances, so that a
 * restart doesn't cause needless membership changes.
 *
 * @example
 * ```ts
 * import { VoterPlanner } from "./voter_planner.ts";
 * const planner = new VoterPlanner({ self, zone, targetSize: 3, listSeeds });
 * planner.startLeading(nowMs);
 * planner.planVoters(nowMs, currentVoters, liveInstances);
 * planner.listDesiredVoters(currentVoters);
 * ```
 *
 * @module
 */

import { planVoters, type EntryId } from "../membership/mod.ts";

/** Options of {@link VoterPlanner}. */
export interface VoterPlannerOptions {
    readonly self: EntryId;
    readonly zone: string;
    /** The desired number of voters. */
    readonly targetSize: number;
    /** Lists the instances in the settings; they are the voters only until a group exists. */
    readonly listSeeds: () => readonly string[];
}

/**
 * How long a new leader waits before it changes the voters, in ms; covers several hello intervals.
 */
const STABILIZATION_MS = 3_000;

/** Plans the set of voters on one instance. */
export class VoterPlanner {
    readonly #options: VoterPlannerOptions;
    /** Set after this instance has led for the stabilization period. */
    #plannedVoters: readonly EntryId[] | undefined;
    #leadingSinceMs = 0;

    /**
     * @param options Identity, desired number of voters and seeds.
     */
    constructor(options: VoterPlannerOptions) {
        this.#options = options;
    }

    /**
     * Records that this instance has become the leader.
     *
     * @param nowMs The monotonic time, in ms.
     */
    startLeading(nowMs: number): void {
        this.#leadingSinceMs = nowMs;
    }

    /** Discards the plan when this instance is no longer the leader. */
    stopLeading(): void {
        this.#plannedVoters = undefined;
    }

    /**
     * Plans the voters, unless the leader is still in its stabilization period.
     *
     * @param nowMs The monotonic time, in ms.
     * @param currentVoters Instances that are voters now.
     * @param liveInstances Availability zones of the other live instances.
     */
    planVoters(
        nowMs: number,
        currentVoters: readonly EntryId[],
        liveInstances: ReadonlyMap<EntryId, string>,
    ): void {
        if (nowMs - this.#leadingSinceMs < STABILIZATION_MS) {
            return;
        }
        const { self, zone, targetSize } = this.#options;
        this.#plannedVoters = planVoters({
            current: currentVoters,
            live: new Map(liveInstances).set(self, zone),
            targetSize,
        });
    }

    /**
     * Lists the desired voters: the planned ones, or the current ones while there is no plan.
     *
     * @param currentVoters Instances that are voters now; empty before the first start.
     * @returns The instances.
     */
    listDesiredVoters(currentVoters: readonly EntryId[]): readonly EntryId[] {
        if (this.#plannedVoters !== undefined) {
            return this.#plannedVoters;
        }
        return currentVoters.length > 0
            ? currentVoters
            : ([...this.#options.listSeeds()].sort() as EntryId[]);
    }
}
