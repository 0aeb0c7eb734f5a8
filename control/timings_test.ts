import test from "ava";
import { DEFAULT_DISPATCH_LIMITS } from "../dispatch/mod.ts";
import { MAX_FORWARDING_MS, selectFailoverTimeoutMs, selectTimings } from "./timings.ts";

test("large groups share one longer election timeout", (t) => {
    const small = selectTimings(1);
    const large = selectTimings(2);
    t.true(small.electionMs < large.electionMs);
    t.deepEqual(selectTimings(3), large);
    // Several heartbeats may be late without causing an election.
    t.true([small, large].every(({ heartbeatMs, electionMs }) => electionMs >= 4 * heartbeatMs));
});

test("the failover timeout exceeds the election timeout", (t) => {
    // Guards against callers that retry in a loop while a new leader is busy.
    [1, 2, 3].forEach((toleratedFailures) =>
        t.true(
            selectFailoverTimeoutMs(toleratedFailures) >
                selectTimings(toleratedFailures).electionMs,
        ),
    );
});

// Guards against a finished job that runs again: its submission was held back by a front until the job
// was removed.
test("fronts forward no submission for as long as jobs and tombstones are kept", (t) => {
    t.true(2 * MAX_FORWARDING_MS <= DEFAULT_DISPATCH_LIMITS.retentionMs);
});
