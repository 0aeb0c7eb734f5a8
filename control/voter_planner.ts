/**
 * Which control instances should vote, as one of them sees it. The pattern: all come back from an outage, one a little
 * later than the others, and the settings name other seeds by then. A new leader that planned by either in
 * its first second would exchange voters that are all there, and remove itself where it is no seed: the
 * outage would begin again.
 *
 * @example
 * ```ts
 * import { VoterRoster } from "./voter_planner.ts";
 * const roster = new VoterRoster({ self, zone, target: 3, listSeeds });
 * roster.startLeading(now);
 * roster.plan(now, current, live);
 * roster.listWanted(current);
 * ```
 *
 * @module
 */

import { planVoters, type EntryId } from "../membership/mod.ts";

/** Options of {@link VoterPlanner}. */
export interface VoterPlannerOptions {
    readonly self: EntryId;
    readonly zone: string;
    /** How many should vote. */
    readonly targetVoters: number;
    /** Instances from the settings: the voters of the first start, later no more than contacts. */
    readonly listSeeds: () => readonly string[];
}

/** A new leader hears everybody's greeting within this time, in ms. */
const STABILIZATION_MS = 3_000;

/** The voters that one instance wants. */
export class VoterPlanner {
    readonly #options: VoterPlannerOptions;
    /** Set once this instance leads and has heard from everybody. */
    #plannedVoters: readonly EntryId[] | undefined;
    #leadingSinceMs = 0;

    /**
     * @param options Identity, target, seeds.
     */
    constructor(options: VoterPlannerOptions) {
        this.#options = options;
    }

    /**
     * Notes that this instance leads from now on.
     *
     * @param nowMs Our clock, in ms.
     */
    startLeading(nowMs: number): void {
        this.#leadingSinceMs = nowMs;
    }

    /** Notes that another instance may lead: what was planned here is over. */
    stopLeading(): void {
        this.#plannedVoters = undefined;
    }

    /**
     * Plans the voters, unless the lead is too new to know who is there.
     *
     * @param nowMs Our clock, in ms.
     * @param currentVoters Instances that vote now.
     * @param liveInstances Instances heard from lately, but for this one, with their availability zones.
     */
    planVoters(
        nowMs: number,
        currentVoters: readonly EntryId[],
        liveInstances: ReadonlyMap<EntryId, string>,
    ): void {
        if (nowMs - this.#leadingSinceMs < STABILIZATION_MS) {
            return;
        }
        const { self, zone, targetVoters: target } = this.#options;
        this.#plannedVoters = planVoters({
            current: currentVoters,
            live: new Map(liveInstances).set(self, zone),
            target,
        });
    }

    /**
     * Lists the instances that should vote: what a leader planned, else those that do.
     *
     * @param currentVoters Instances that vote now; none before the first start.
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
