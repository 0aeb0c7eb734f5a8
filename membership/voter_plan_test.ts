import test from "ava";
import type { EntryId } from "./layout.ts";
import { planVoters } from "./voter_plan.ts";

function buildLive(...rows: readonly (readonly [string, string])[]): Map<EntryId, string> {
    return new Map(rows.map(([id, zone]) => [id as EntryId, zone]));
}

const VOTERS = ["a", "b", "c"] as EntryId[];

test("voters that are alive stay", (t) => {
    const live = buildLive(["a", "z1"], ["b", "z2"], ["c", "z3"], ["d", "z1"]);
    t.deepEqual(planVoters({ current: VOTERS, live, targetSize: 3 }), VOTERS);
});

test("a silent voter stays until another instance can take its place", (t) => {
    const withoutSpare = buildLive(["a", "z1"], ["b", "z2"]);
    t.deepEqual(planVoters({ current: VOTERS, live: withoutSpare, targetSize: 3 }), VOTERS);
    const withSpare = buildLive(["a", "z1"], ["b", "z2"], ["d", "z3"]);
    t.deepEqual(planVoters({ current: VOTERS, live: withSpare, targetSize: 3 }), ["a", "b", "d"]);
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
    t.deepEqual(planVoters({ current: VOTERS, live, targetSize: 5 }).slice(3), ["e", "d"]);
});

test("a voter that was replaced and is gone goes, so that the next loss can be borne", (t) => {
    const current = ["a", "b", "c", "d"] as EntryId[];
    const live = buildLive(["a", "z1"], ["c", "z3"], ["d", "z2"]);
    t.deepEqual(planVoters({ current, live, targetSize: 3 }), ["a", "c", "d"]);
});

test("a lost voter is replaced by one instance, not by one more each time it is looked at", (t) => {
    // The plan is computed again while the failed voter and its replacement both vote.
    const live = buildLive(["a", "z1"], ["b", "z2"], ["d", "z3"], ["e", "z3"], ["f", "z4"]);
    const planned = planVoters({ current: VOTERS, live, targetSize: 3 });
    t.deepEqual(planned, ["a", "b", "d"]);
    const whileBothVote = [...VOTERS, "d"] as EntryId[];
    t.deepEqual(planVoters({ current: whileBothVote, live, targetSize: 3 }), ["a", "b", "d"]);
});
