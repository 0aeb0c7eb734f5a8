/**
 * Which control instances should vote, as one of them sees it. The pattern: all come back from an outage, one a little
 * later than the others, and the settings name other seeds by then. A new leader that planned by either in
 * its first second would exchange voters that are all there, and remove itself where it is no seed: the
 * outage would begin again.
 *
 * @example
 * ```ts
 * import { VoterRoster } from "./voter_roster.ts";
 * const roster = new VoterRoster({ self, zone, target: 3, listSeeds });
 * roster.startLeading(now);
 * roster.plan(now, current, live);
 * roster.listWanted(current);
 * ```
 *
 * @module
 */

import { planVoters, type EntryId } from "../membership/mod.ts";

/** Options of {@link VoterRoster}. */
export interface VoterRosterOptions {
    readonly self: EntryId;
    readonly zone: string;
    /** How many should vote. */
    readonly target: number;
    /** Instances from the settings: the voters of the first start, later no more than contacts. */
    readonly listSeeds: () => readonly string[];
}

/** A new leader hears everybody's greeting within this time, in ms. */
const ACQUAINTANCE_MS = 3_000;

/** The voters that one instance wants. */
export class VoterRoster {
    readonly #options: VoterRosterOptions;
    /** Set once this instance leads and has heard from everybody. */
    #planned: readonly EntryId[] | undefined;
    #leadingSince = 0;

    /**
     * @param options Identity, target, seeds.
     */
    constructor(options: VoterRosterOptions) {
        this.#options = options;
    }

    /**
     * Notes that this instance leads from now on.
     *
     * @param now Our clock, in ms.
     */
    startLeading(now: number): void {
        this.#leadingSince = now;
    }

    /** Notes that another instance may lead: what was planned here is over. */
    stopLeading(): void {
        this.#planned = undefined;
    }

    /**
     * Plans the voters, unless the lead is too new to know who is there.
     *
     * @param now Our clock, in ms.
     * @param current Instances that vote now.
     * @param live Instances heard from lately, but for this one, with their availability zones.
     */
    plan(now: number, current: readonly EntryId[], live: ReadonlyMap<EntryId, string>): void {
        if (now - this.#leadingSince < ACQUAINTANCE_MS) {
            return;
        }
        const { self, zone, target } = this.#options;
        this.#planned = planVoters({ current, live: new Map(live).set(self, zone), target });
    }

    /**
     * Lists the instances that should vote: what a leader planned, else those that do.
     *
     * @param current Instances that vote now; none before the first start.
     * @returns The instances.
     */
    listWanted(current: readonly EntryId[]): readonly EntryId[] {
        if (this.#planned !== undefined) {
            return this.#planned;
        }
        return current.length > 0 ? current : ([...this.#options.listSeeds()].sort() as EntryId[]);
    }
}
