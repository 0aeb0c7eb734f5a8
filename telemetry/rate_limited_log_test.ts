import test from "ava";
import { RateLimitedLog, type RateLimitedFields } from "./rate_limited_log.ts";

test("reports the count and the last event's fields once a second at most", (t) => {
    const lines: RateLimitedFields[] = [];
    const clock = { now: 0 };
    const log = new RateLimitedLog(
        (fields) => lines.push(fields),
        () => clock.now,
    );
    log.add({ worker: "w1" });
    log.add({ worker: "w2" });
    clock.now = 1_000;
    log.add({ worker: "w3" });
    t.deepEqual(lines, [
        { worker: "w1", count: 1 },
        { worker: "w3", count: 2 },
    ]);
});
