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
    readonly target: number;
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
    const wanted = dropSurplus(input.current, input);
    const candidates = [...input.live.keys()].filter((id) => !wanted.includes(id)).sort();
    while (wanted.length < input.target && candidates.length > 0) {
        wanted.push(takeRarest(candidates, wanted, input.live));
    }
    for (const [i, id] of wanted.entries()) {
        if (!input.live.has(id) && candidates.length > 0) {
            const rest = wanted.filter((other) => other !== id);
            wanted[i] = takeRarest(candidates, rest, input.live);
        }
    }
    return wanted;
}

/**
 * Drops silent voters beyond the target. A replaced instance that stays a voter is a loss that
 * lasts: with four voters, one of them gone for good, the next loss leaves no quorum. It goes before others are
 * chosen: a voter whose replacement votes already would get a second and a third one until it is removed,
 * and each of them is one more that has to agree (seven voters for five, seen on a large floor).
 */
function dropSurplus(wanted: readonly EntryId[], input: VoterPlanInput): EntryId[] {
    const kept = [...wanted];
    for (const id of wanted) {
        if (kept.length > input.target && !input.live.has(id)) {
            kept.splice(kept.indexOf(id), 1);
        }
    }
    return kept;
}

/** Takes the candidate whose zone has the fewest voters. */
function takeRarest(
    candidates: EntryId[],
    voters: readonly EntryId[],
    zones: ReadonlyMap<EntryId, string>,
): EntryId {
    const countZone = (id: EntryId) =>
        voters.filter((voter) => zones.get(voter) === zones.get(id)).length;
    candidates.sort((a, b) => countZone(a) - countZone(b) || (a < b ? -1 : 1));
    return candidates.shift() as EntryId;
}
