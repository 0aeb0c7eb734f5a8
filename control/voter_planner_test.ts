import test from "ava";
import type { EntryId } from "../membership/mod.ts";
import { VoterPlanner } from "./voter_planner.ts";

const [A, B, C, D] = ["a:1", "b:1", "c:1", "d:1"] as [EntryId, EntryId, EntryId, EntryId];

function buildPlanner(seeds: readonly string[]): VoterPlanner {
    return new VoterPlanner({ self: A, zone: "z1", targetSize: 3, listSeeds: () => seeds });
}

test("the seeds are the voters only until a group exists", (t) => {
    const planner = buildPlanner([C, B, A]);
    t.deepEqual(planner.listDesiredVoters([]), [A, B, C]);
    t.deepEqual(planner.listDesiredVoters([B, C, D]), [B, C, D]);
});

test("a new leader replaces no voter during its stabilization period", (t) => {
    // Guards against replacing a voter that restarts slightly later than the others.
    const planner = buildPlanner([A, B, C]);
    const live = new Map([
        [B, "z2"],
        [D, "z4"],
    ]);
    planner.startLeading(10_000);
    planner.planVoters(12_000, [A, B, C], live);
    t.deepEqual(planner.listDesiredVoters([A, B, C]), [A, B, C]);
    planner.planVoters(13_000, [A, B, C], live);
    t.deepEqual(planner.listDesiredVoters([A, B, C]), [A, B, D]);
    planner.stopLeading();
    t.deepEqual(planner.listDesiredVoters([A, B, C]), [A, B, C]);
});
