import test from "ava";
import fc from "fast-check";
import { RoundTrips } from "./round_trips.ts";

test("before the first answer an order has the longest time", (t) => {
    t.is(new RoundTrips().computeTimeoutMs(0), 400);
});

test("an order that got no answer among fast ones is sent again soon, then later", (t) => {
    const trips = new RoundTrips();
    Array.from({ length: 50 }, () => trips.record(4));
    t.is(trips.computeTimeoutMs(0), 120);
    t.is(trips.computeTimeoutMs(1), 240);
    t.is(trips.computeTimeoutMs(2), 400);
});

test("on a leader at its limit orders are not sent twice for being slow", (t) => {
    const trips = new RoundTrips();
    Array.from({ length: 50 }, (_, i) => trips.record(i % 2 === 0 ? 60 : 180));
    t.true(trips.computeTimeoutMs(0) > 300);
});

test("the timeout stays within its bounds whatever is seen", (t) => {
    fc.assert(
        fc.property(fc.array(fc.double({ min: 0, max: 60_000, noNaN: true })), (all) => {
            const trips = new RoundTrips();
            all.forEach((tookMs) => trips.record(tookMs));
            const timeoutMs = trips.computeTimeoutMs(0);
            t.true(timeoutMs >= 120 && timeoutMs <= 400);
        }),
    );
});
