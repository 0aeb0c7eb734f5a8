import test from "ava";
import type { EntryId } from "./layout.ts";
import { planVoters } from "./voter_plan.ts";

function buildLive(...rows: readonly (readonly [string, string])[]): Map<EntryId, string> {
    return new Map(rows.map(([id, zone]) => [id as EntryId, zone]));
}

const VOTERS = ["a", "b", "c"] as EntryId[];

test("live voters are kept", (t) => {
    const live = buildLive(["a", "z1"], ["b", "z2"], ["c", "z3"], ["d", "z1"]);
    t.deepEqual(planVoters({ current: VOTERS, live, targetSize: 3 }), VOTERS);
});

test("a failed voter is kept until a live instance can replace it", (t) => {
    const withoutSpare = buildLive(["a", "z1"], ["b", "z2"]);
    t.deepEqual(planVoters({ current: VOTERS, live: withoutSpare, targetSize: 3 }), VOTERS);
    const withSpare = buildLive(["a", "z1"], ["b", "z2"], ["d", "z3"]);
    t.deepEqual(planVoters({ current: VOTERS, live: withSpare, targetSize: 3 }), ["a", "b", "d"]);
});

test("new voters come from the zones with the fewest voters", (t) => {
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

test("a failed voter in excess of the target size is removed", (t) => {
    const current = ["a", "b", "c", "d"] as EntryId[];
    const live = buildLive(["a", "z1"], ["c", "z3"], ["d", "z2"]);
    t.deepEqual(planVoters({ current, live, targetSize: 3 }), ["a", "c", "d"]);
});

test("a failed voter gets a single replacement when the plan is computed again", (t) => {
    // The plan is computed again while the failed voter and its replacement both vote.
    const live = buildLive(["a", "z1"], ["b", "z2"], ["d", "z3"], ["e", "z3"], ["f", "z4"]);
    const planned = planVoters({ current: VOTERS, live, targetSize: 3 });
    t.deepEqual(planned, ["a", "b", "d"]);
    const votersWithReplacement = [...VOTERS, "d"] as EntryId[];
    t.deepEqual(planVoters({ current: votersWithReplacement, live, targetSize: 3 }), [
        "a",
        "b",
        "d",
    ]);
});
