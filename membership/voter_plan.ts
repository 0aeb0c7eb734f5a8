/**
 * Which control instances should vote, when nothing but what they tell is known of them.
 *
 * @example
 * ```ts
 * import { planVoters } from "./voter_plan.ts";
 * const wanted = planVoters({ current, live, target: 3 });
 * ```
 *
 * @module
 */

import type { EntryId } from "./layout.ts";

/** What is known of the control instances. */
export interface VoterPlanInput {
    /** Instances that vote now. */
    readonly current: readonly EntryId[];
    /** Instances heard from lately, with their availability zones. */
    readonly live: ReadonlyMap<EntryId, string>;
    /** How many should vote. */
    readonly targetSize: number;
}

/**
 * Chooses the instances that should vote: those that vote and are alive stay; a silent one goes
 * only when a live one can take its place, because a smaller group bears less; places go to
 * the availability zones with the fewest voters, so that the loss of one zone leaves a quorum.
 *
 * @param input What is known.
 * @returns The instances that should vote.
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
 * Drops silent voters beyond the target. A replaced instance that stays a voter is a loss that
 * lasts: with four voters, one of them gone for good, the next loss leaves no quorum. It goes before others are
 * chosen: a voter whose replacement votes already would get a second and a third one until it is removed,
 * and each of them is one more that has to agree (seven voters for five, seen on a large floor).
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

/** Takes the candidate whose zone has the fewest voters. */
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
