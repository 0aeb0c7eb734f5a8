import test from "ava";
import fc from "fast-check";
import { RoundTripEstimator } from "./round_trip_estimator.ts";

test("the timeout without samples is the upper bound", (t) => {
    t.is(new RoundTripEstimator().computeTimeoutMs(0), 400);
});

test("the timeout is short after fast answers and doubles with each retry", (t) => {
    const estimator = new RoundTripEstimator();
    Array.from({ length: 50 }, () => estimator.record(4));
    t.is(estimator.computeTimeoutMs(0), 120);
    t.is(estimator.computeTimeoutMs(1), 240);
    t.is(estimator.computeTimeoutMs(2), 400);
});

test("the timeout is long when round-trip times vary widely", (t) => {
    const estimator = new RoundTripEstimator();
    Array.from({ length: 50 }, (_, i) => estimator.record(i % 2 === 0 ? 60 : 180));
    t.true(estimator.computeTimeoutMs(0) > 300);
});

test("the timeout stays within its bounds for any samples", (t) => {
    fc.assert(
        fc.property(fc.array(fc.double({ min: 0, max: 60_000, noNaN: true })), (roundTripsMs) => {
            const estimator = new RoundTripEstimator();
            roundTripsMs.forEach((roundTripMs) => estimator.record(roundTripMs));
            const timeoutMs = estimator.computeTimeoutMs(0);
            t.true(timeoutMs >= 120 && timeoutMs <= 400);
        }),
    );
});
