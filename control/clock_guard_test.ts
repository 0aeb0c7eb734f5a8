import test from "ava";
import { ClockGuard } from "./clock_guard.ts";

function buildGuard(): {
    guard: ClockGuard;
    clocks: { mono: number; wall: number };
    jumps: number[];
} {
    const clocks = { mono: 1_000, wall: 5_000_000 };
    const jumps: number[] = [];
    const guard = new ClockGuard(() => jumps.push(clocks.wall), {
        getMonotonic: () => clocks.mono,
        getWall: () => clocks.wall,
    });
    return { guard, clocks, jumps };
}

test("clocks that go on together are trusted", (t) => {
    const { guard, clocks, jumps } = buildGuard();
    clocks.mono += 10_000;
    clocks.wall += 10_020;
    guard.check();
    t.is(jumps.length, 0);
});

test("a suspension is noticed once, at the first look after it", (t) => {
    // The caller would read an old configuration: the leader slept 4 s, its steady clock stood
    // still, and by that clock its lease is fresh while another leader has been elected.
    const { guard, clocks, jumps } = buildGuard();
    clocks.wall += 4_000;
    guard.check();
    guard.check();
    t.is(jumps.length, 1);
});

test("a step of the time of day costs a confirmation, either way", (t) => {
    const { guard, clocks, jumps } = buildGuard();
    clocks.wall -= 2_000;
    guard.check();
    clocks.wall += 2_000;
    guard.check();
    t.is(jumps.length, 2);
});
