import test from "ava";
import { selectFailoverTimeoutMs, selectTimings } from "./timings.ts";

test("large deployments wait longer for their leader, and every member alike", (t) => {
    const small = selectTimings(1);
    const large = selectTimings(2);
    t.true(small.electionMs < large.electionMs);
    t.deepEqual(selectTimings(3), large);
    // A leader's heartbeats leave room for some that are late.
    t.true([small, large].every(({ heartbeatMs, electionMs }) => electionMs >= 4 * heartbeatMs));
});

test("an instance is not given up before another one can lead", (t) => {
    // Callers of a leader that is busy taking over are answered late; given up at once, each of their calls
    // reaches it again and again, and none is answered within its deadline.
    [1, 2, 3].forEach((tolerated) =>
        t.true(selectFailoverTimeoutMs(tolerated) > selectTimings(tolerated).electionMs),
    );
});
