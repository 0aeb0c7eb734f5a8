import test from "ava";
import type { EntryId } from "../membership/mod.ts";
import { VoterRoster } from "./voter_roster.ts";

const [A, B, C, D] = ["a:1", "b:1", "c:1", "d:1"] as [EntryId, EntryId, EntryId, EntryId];

function buildRoster(seeds: readonly string[]): VoterRoster {
    return new VoterRoster({ self: A, zone: "z1", target: 3, listSeeds: () => seeds });
}

test("the seeds vote at the first start, and are no plan afterwards", (t) => {
    const roster = buildRoster([C, B, A]);
    t.deepEqual(roster.listWanted([]), [A, B, C]);
    t.deepEqual(roster.listWanted([B, C, D]), [B, C, D]);
});

test("a new leader exchanges nobody before it has heard from everybody", (t) => {
    // One voter comes back a second later than the others. Taken for dead at once it would be replaced by the
    // instance that does not vote, and the lead's first seconds would go into two changes of the voters.
    const roster = buildRoster([A, B, C]);
    const live = new Map([
        [B, "z2"],
        [D, "z4"],
    ]);
    roster.startLeading(10_000);
    roster.plan(12_000, [A, B, C], live);
    t.deepEqual(roster.listWanted([A, B, C]), [A, B, C]);
    roster.plan(13_000, [A, B, C], live);
    t.deepEqual(roster.listWanted([A, B, C]), [A, B, D]);
    roster.stopLeading();
    t.deepEqual(roster.listWanted([A, B, C]), [A, B, C]);
});
