import test from "ava";
import fc from "fast-check";
import { computeBodyLimits, computeServerLimits } from "./limits.ts";

const MB = 1024 * 1024;

test("the limits of the deployments' machines", (t) => {
    const machine = { memoryBytes: 350 * MB, maxDescriptors: 4_100 };
    t.is(computeServerLimits(machine, "callers").maxConnections, 2_925);
    t.is(computeServerLimits(machine, "workers").maxConnections, 1_950);
    t.is(computeServerLimits(machine, "workers").maxUnsentBytes, 35 * MB);
    const { maxBufferedBytes, maxHandledBytes } = computeBodyLimits(machine);
    t.is(maxBufferedBytes, 35 * MB);
    t.is(maxHandledBytes, Math.floor(1.05 * MB));
    // Eight configurations of the largest size may arrive at the same time.
    t.true(maxBufferedBytes >= 8 * 4 * MB);
});

test("limits stay within those of the machine", (t) => {
    fc.assert(
        fc.property(fc.integer({ min: 1, max: 1_000_000 }), (maxDescriptors) => {
            const machine = { memoryBytes: MB, maxDescriptors };
            const { maxConnections: count } = computeServerLimits(machine, "callers");
            t.true(count >= 1 && count <= Math.max(1, maxDescriptors - 200));
        }),
    );
});
