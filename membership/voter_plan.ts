/**
 * Plans the voters of the control group from the instances that are alive.
 *
 * @example
 * ```ts
 * import { planVoters } from "./voter_plan.ts";
 * const voters = planVoters({ current, live, targetSize: 3 });
 * ```
 *
 * @module
 */

import type { EntryId } from "./layout.ts";

/** Input of {@link planVoters}. */
export interface VoterPlanInput {
    /** Current voters. */
    readonly current: readonly EntryId[];
    /** Availability zones of the live instances. */
    readonly live: ReadonlyMap<EntryId, string>;
    /** Number of voters to reach. */
    readonly targetSize: number;
}

/**
 * Plans the voters of the control group. Live voters stay, and a failed voter stays until a live
 * instance can replace it, to preserve fault tolerance. New voters come from the availability zones
 * with the fewest voters, so that the quorum survives the loss of a zone.
 *
 * @param input The current voters, the live instances and the target size.
 * @returns The planned voters.
 */
export function planVoters(input: VoterPlanInput): EntryId[] {
    const planned = dropSurplusVoters(input.current, input);
    const candidates = [...input.live.keys()].filter((id) => !planned.includes(id)).sort();
    while (planned.length < input.targetSize && candidates.length > 0) {
        planned.push(takeFromEmptiestZone(candidates, planned, input.live));
    }
    for (const [i, id] of planned.entries()) {
        if (!input.live.has(id) && candidates.length > 0) {
            const otherVoters = planned.filter((other) => other !== id);
            planned[i] = takeFromEmptiestZone(candidates, otherVoters, input.live);
        }
    }
    return planned;
}

/**
 * Drops failed voters in excess of the target size, as each one lowers the number of further
 * failures that the quorum survives. This precedes the selection of new voters, so that a failed
 * voter that already has a replacement does not get another one.
 */
function dropSurplusVoters(voters: readonly EntryId[], input: VoterPlanInput): EntryId[] {
    const kept = [...voters];
    for (const id of voters) {
        if (kept.length > input.targetSize && !input.live.has(id)) {
            kept.splice(kept.indexOf(id), 1);
        }
    }
    return kept;
}

/** Removes and returns the candidate whose availability zone has the fewest voters. */
function takeFromEmptiestZone(
    candidates: EntryId[],
    voters: readonly EntryId[],
    zones: ReadonlyMap<EntryId, string>,
): EntryId {
    const countZoneVoters = (id: EntryId) =>
        voters.filter((voter) => zones.get(voter) === zones.get(id)).length;
    candidates.sort((a, b) => countZoneVoters(a) - countZoneVoters(b) || (a < b ? -1 : 1));
    return candidates.shift() as EntryId;
}
