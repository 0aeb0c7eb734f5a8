import test from "ava";
import { ClockJumpDetector } from "./clock_jump_detector.ts";

function buildDetector(): {
    detector: ClockJumpDetector;
    clocks: { monotonicMs: number; wallMs: number };
    jumps: number[];
} {
    const clocks = { monotonicMs: 1_000, wallMs: 5_000_000 };
    const jumps: number[] = [];
    const detector = new ClockJumpDetector(() => jumps.push(clocks.wallMs), {
        getMonotonicMs: () => clocks.monotonicMs,
        getWallTimeMs: () => clocks.wallMs,
    });
    return { detector, clocks, jumps };
}

test("clocks that advance together are not reported as a jump", (t) => {
    const { detector, clocks, jumps } = buildDetector();
    clocks.monotonicMs += 10_000;
    clocks.wallMs += 10_020;
    detector.check();
    t.is(jumps.length, 0);
});

test("a suspension is reported once, by the first check after it", (t) => {
    // The monotonic clock stops during a suspension, so the lease looks valid on a replaced leader.
    const { detector, clocks, jumps } = buildDetector();
    clocks.wallMs += 4_000;
    detector.check();
    detector.check();
    t.is(jumps.length, 1);
});

test("a step of the wall clock in either direction is reported", (t) => {
    const { detector, clocks, jumps } = buildDetector();
    clocks.wallMs -= 2_000;
    detector.check();
    clocks.wallMs += 2_000;
    detector.check();
    t.is(jumps.length, 2);
});
