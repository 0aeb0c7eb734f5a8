import test from "ava";
import { selectTimings } from "./timings.ts";

test("large deployments wait longer for their leader, and every member alike", (t) => {
    const small = selectTimings(1);
    const large = selectTimings(2);
    t.true(small.electionMs < large.electionMs);
    t.deepEqual(selectTimings(3), large);
    // A leader's heartbeats leave room for some that are late.
    t.true([small, large].every(({ heartbeatMs, electionMs }) => electionMs >= 4 * heartbeatMs));
});
