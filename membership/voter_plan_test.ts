import test from "ava";
import type { EntryId } from "./layout.ts";
import { planVoters } from "./voter_plan.ts";

function buildLive(...rows: readonly (readonly [string, string])[]): Map<EntryId, string> {
    return new Map(rows.map(([id, zone]) => [id as EntryId, zone]));
}

const ABC = ["a", "b", "c"] as EntryId[];

test("voters that are alive stay", (t) => {
    const live = buildLive(["a", "z1"], ["b", "z2"], ["c", "z3"], ["d", "z1"]);
    t.deepEqual(planVoters({ current: ABC, live, target: 3 }), ABC);
});

test("a silent voter stays until another instance can take its place", (t) => {
    const without = buildLive(["a", "z1"], ["b", "z2"]);
    t.deepEqual(planVoters({ current: ABC, live: without, target: 3 }), ABC);
    const withSpare = buildLive(["a", "z1"], ["b", "z2"], ["d", "z3"]);
    t.deepEqual(planVoters({ current: ABC, live: withSpare, target: 3 }), ["a", "b", "d"]);
});

test("a group that grows takes instances of the emptiest zones first", (t) => {
    const live = buildLive(
        ["a", "z1"],
        ["b", "z2"],
        ["c", "z3"],
        ["d", "z1"],
        ["e", "z4"],
        ["f", "z2"],
    );
    t.deepEqual(planVoters({ current: ABC, live, target: 5 }).slice(3), ["e", "d"]);
});

test("a voter that was replaced and is gone goes, so that the next loss can be borne", (t) => {
    // The operator's newest configuration could not be read any more: a new instance came and
    // was added, the old one left for good but stayed a voter, and one more disk was lost.
    const current = ["a", "b", "c", "d"] as EntryId[];
    const live = buildLive(["a", "z1"], ["c", "z3"], ["d", "z2"]);
    t.deepEqual(planVoters({ current, live, target: 3 }), ["a", "c", "d"]);
});

test("a lost voter is replaced by one instance, not by one more each time it is looked at", (t) => {
    // The operator sees seven instances having to agree where five should: the replacement votes already, the lost
    // voter is not removed yet, and a plan made meanwhile found it silent again and took the next instance.
    const live = buildLive(["a", "z1"], ["b", "z2"], ["d", "z3"], ["e", "z3"], ["f", "z4"]);
    const planned = planVoters({ current: ABC, live, target: 3 });
    t.deepEqual(planned, ["a", "b", "d"]);
    const whileBothVote = [...ABC, "d"] as EntryId[];
    t.deepEqual(planVoters({ current: whileBothVote, live, target: 3 }), ["a", "b", "d"]);
});
