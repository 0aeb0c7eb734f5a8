import test from "ava";
import fc from "fast-check";
import { createRandom } from "../tools/seeded_random.ts";
import { ShareMeter } from "./share_meter.ts";
import type { ShareClass, WorkspaceName } from "./types.ts";

const ACME = "acme" as WorkspaceName;
const NOW_MS = 1_800_000_000_000;
/** One second's worth, and at least this many jobs. */
const MIN_CAPACITY = 8;

function buildMeter(weight: number | undefined): ShareMeter {
    return new ShareMeter({ getWeight: () => weight });
}

function computeCapacity(weight: number): number {
    return weight === 0 ? 0 : Math.max(MIN_CAPACITY, weight);
}

function countEntitled(shares: readonly ShareClass[]): number {
    return shares.filter((share) => share === "entitled").length;
}

test("a burst of six times the weight is entitled up to the bucket, then to the weight", (t) => {
    // Guards against a hot workspace whose excess counts as its share.
    const meter = buildMeter(10);
    const shares = Array.from({ length: 300 }, (_unused, i) =>
        meter.recordJob(ACME, NOW_MS + Math.floor((i * 1_000) / 60)),
    );
    t.is(countEntitled(shares), 10 + Math.floor((299 * 10) / 60));
    t.deepEqual(new Set(shares.slice(0, 10)), new Set<ShareClass>(["entitled"]));
    t.true(meter.isBorrowing(ACME, NOW_MS + 5_000));
    t.false(meter.isBorrowing(ACME, NOW_MS + 10_000));
});

test("jobs without a workspace or without a weight are entitled, however many", (t) => {
    // Guards against a deployment without weights that is served otherwise than before.
    const meter = buildMeter(undefined);
    for (let i = 0; i < 100; i++) {
        t.is(meter.recordJob(ACME, NOW_MS), "entitled");
        t.is(buildMeter(0).recordJob(undefined, NOW_MS), "entitled");
    }
    t.false(meter.isBorrowing(ACME, NOW_MS));
    t.is(meter.computeRetryAfterMs(ACME, NOW_MS), 0);
    // An earlier release stores an infinite weight as null.
    t.is(buildMeter(null as never).recordJob(ACME, NOW_MS), "entitled");
});

test("a weight of 0 is entitled to nothing, and its callers get a finite time", (t) => {
    // Guards against a division by the weight.
    const meter = buildMeter(0);
    t.is(meter.checkShare(ACME, NOW_MS), "borrowed");
    t.is(meter.recordJob(ACME, NOW_MS + 1_000_000), "borrowed");
    t.is(meter.computeRetryAfterMs(ACME, NOW_MS + 1_000_000), 8_000);
    t.true(meter.isBorrowing(ACME, NOW_MS + 1_000_000));
});

test("a question takes no token", (t) => {
    const meter = buildMeter(1);
    for (let i = 0; i < 50; i++) {
        t.is(meter.checkShare(ACME, NOW_MS), "entitled");
    }
    const shares = Array.from({ length: 50 }, () => meter.recordJob(ACME, NOW_MS));
    t.is(countEntitled(shares), computeCapacity(1));
});

test("after a step back of the wall clock, tokens come at the weight's rate from the new time on", (t) => {
    // Guards against a refill for the step, and against none until the clock has caught up.
    const meter = buildMeter(10);
    for (let i = 0; i < 10; i++) {
        meter.recordJob(ACME, NOW_MS);
    }
    const steppedBackMs = NOW_MS - 3_600_000;
    t.is(meter.recordJob(ACME, steppedBackMs), "borrowed");
    t.is(meter.getTokens(ACME, steppedBackMs), 0);
    t.is(meter.recordJob(ACME, steppedBackMs + 100), "entitled");
    t.is(meter.recordJob(ACME, steppedBackMs + 100), "borrowed");
});

test("changed weights keep the fill, up to the new capacity", (t) => {
    // Guards against a configuration that refills the bucket of a workspace in excess.
    let weight: number | undefined = 20;
    const meter = new ShareMeter({ getWeight: () => weight });
    for (let i = 0; i < 12; i++) {
        meter.recordJob(ACME, NOW_MS);
    }
    weight = 100;
    meter.updateWeights(NOW_MS);
    t.is(meter.getTokens(ACME, NOW_MS), 8);
    weight = 4;
    meter.updateWeights(NOW_MS);
    t.is(meter.getTokens(ACME, NOW_MS), computeCapacity(4));
    weight = 0;
    meter.updateWeights(NOW_MS);
    t.is(meter.recordJob(ACME, NOW_MS), "borrowed");
    weight = 10;
    meter.updateWeights(NOW_MS);
    t.is(meter.recordJob(ACME, NOW_MS), "borrowed");
    // The time before the change counts at the old weight, the time after it at the new one.
    t.is(meter.getTokens(ACME, NOW_MS + 500), 5);
    weight = undefined;
    meter.updateWeights(NOW_MS);
    t.is(meter.getTokens(ACME, NOW_MS), undefined);
});

test("a hundred workspaces at their share at once are all entitled", (t) => {
    // Guards against a limit on the sum, which would refuse some of them.
    const weights = new Map<WorkspaceName, number>();
    for (let i = 0; i < 100; i++) {
        weights.set(`workspace-${i}` as WorkspaceName, 0.2 + (i % 10) / 2);
    }
    const meter = new ShareMeter({ getWeight: (workspace) => weights.get(workspace) });
    for (let second = 0; second < 60; second += 0.1) {
        for (const [workspace, weight] of weights) {
            const count = Math.floor((second + 0.1) * weight) - Math.floor(second * weight);
            for (let i = 0; i < count; i++) {
                const atMs = NOW_MS + Math.round(second * 1_000);
                t.is(meter.recordJob(workspace, atMs), "entitled");
            }
        }
    }
    for (const workspace of weights.keys()) {
        t.false(meter.isBorrowing(workspace, NOW_MS + 60_000));
    }
});

const weights = fc.oneof(
    fc.constant(0),
    fc.double({ min: 0.01, max: 200, noNaN: true, noDefaultInfinity: true }),
);

// Guards against a capacity that rounding raises above the weight.
test("a new bucket holds no more than the weight's capacity", (t) => {
    const weight = 73.272_877_971_012_65;
    const meter = new ShareMeter({ getWeight: () => weight });
    t.is(meter.getTokens(ACME, NOW_MS), weight);
});

test("tokens are never negative nor above the capacity, whatever the clock and the weights do", (t) => {
    const steps = fc.record({
        afterMs: fc.integer({ min: -20_000, max: 20_000 }),
        jobs: fc.nat(20),
        weight: fc.option(weights, { nil: undefined }),
    });
    fc.assert(
        fc.property(weights, fc.array(steps, { maxLength: 40 }), (first, all) => {
            let weight = first;
            let nowMs = NOW_MS;
            const meter = new ShareMeter({ getWeight: () => weight });
            return all.every((step) => {
                nowMs += step.afterMs;
                weight = step.weight ?? weight;
                for (let i = 0; i < step.jobs; i++) {
                    meter.recordJob(ACME, nowMs);
                }
                const tokens = meter.getTokens(ACME, nowMs) ?? Number.NaN;
                return tokens >= 0 && tokens <= computeCapacity(weight);
            });
        }),
    );
    t.pass();
});

test("over any span, at most the weight times the span plus the capacity is entitled", (t) => {
    // Guards against a workspace that is entitled to more by the way it spreads its jobs.
    const gapsMs = fc.array(fc.nat(3_000), { minLength: 1, maxLength: 60 });
    fc.assert(
        fc.property(weights, gapsMs, (weight, gaps) => {
            const meter = buildMeter(weight);
            let nowMs = NOW_MS;
            const entitledAtMs: number[] = [];
            for (const gapMs of gaps) {
                nowMs += gapMs;
                if (meter.recordJob(ACME, nowMs) === "entitled") {
                    entitledAtMs.push(nowMs);
                }
            }
            return entitledAtMs.every((fromMs, i) =>
                entitledAtMs.slice(i).every((toMs, k) => {
                    const bound = (weight * (toMs - fromMs)) / 1_000 + computeCapacity(weight);
                    return k + 1 <= bound + 1e-6;
                }),
            );
        }),
    );
    t.pass();
});

test("no workspace is starved for ever: after the time it is told, its next job is entitled", (t) => {
    // Guards against a time so short that the caller is refused again.
    const bursts = fc.array(fc.record({ afterMs: fc.nat(5_000), jobs: fc.nat(30) }));
    // From 0.125 jobs per second on, a token comes within the longest time that callers are told.
    const positive = fc.double({ min: 0.125, max: 200, noNaN: true, noDefaultInfinity: true });
    fc.assert(
        fc.property(positive, bursts, (weight, all) => {
            const meter = buildMeter(weight);
            let nowMs = NOW_MS;
            for (const { afterMs, jobs } of all) {
                nowMs += afterMs;
                for (let i = 0; i < jobs; i++) {
                    meter.recordJob(ACME, nowMs);
                }
            }
            const retryAfterMs = meter.computeRetryAfterMs(ACME, nowMs);
            const isTold = (meter.checkShare(ACME, nowMs) === "entitled") === (retryAfterMs === 0);
            return isTold && meter.recordJob(ACME, nowMs + retryAfterMs) === "entitled";
        }),
    );
    t.pass();
});

test("callers that come at random at three quarters of a small weight are nearly all entitled", (t) => {
    // Guards against a bucket so small that chance alone makes jobs of a usual load borrowed.
    const meter = buildMeter(0.5);
    const random = createRandom(5);
    const shares: ShareClass[] = [];
    for (let atMs = NOW_MS; shares.length < 5_000;) {
        atMs += (-Math.log(1 - random()) * 1_000) / (0.75 * 0.5);
        shares.push(meter.recordJob(ACME, atMs));
    }
    const borrowed = 1 - countEntitled(shares) / shares.length;
    t.true(borrowed < 0.02, `${borrowed.toFixed(3)} borrowed`);
});
