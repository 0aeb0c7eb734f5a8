import test from "ava";
import type { WorkerId } from "../job/mod.ts";
import type { Candidate } from "./placement.ts";
import { selectForRetry } from "./retry_placement.ts";

function buildCandidate(id: string, hasRecentFailure: boolean): Candidate {
    return {
        id: id as WorkerId,
        freeCapacity: { cpu: 1_000, memoryMb: 1_000, gpu: 0 },
        rack: "r1",
        zone: "z1",
        tasksOfStep: 0,
        isDataLocal: false,
        speed: 1,
        slowness: 1,
        hasRecentFailure,
    };
}

test("a retry goes to workers without a recent failure", (t) => {
    const candidates = [buildCandidate("w1", true), buildCandidate("w2", false)];
    t.deepEqual(
        selectForRetry(candidates, 100).map(({ id }) => id),
        ["w2" as WorkerId],
    );
});

test("a retry waits for a limited time if every worker had a recent failure", (t) => {
    const candidates = [buildCandidate("w1", true)];
    t.is(selectForRetry(candidates, 1_999).length, 0);
    t.is(selectForRetry(candidates, 2_000).length, 1);
});
