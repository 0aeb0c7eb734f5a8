import test from "ava";
import fc from "fast-check";
import {
    computeRequiredSpeed,
    computeSpeedPreference,
    selectSpeedClass,
} from "./speed_preference.ts";

/** Speeds as the model learns them from workers that run at 0.7 and 1.7: the usual one is 1. */
const SLOW = 1;
const FAST = 2;
/** A queue with exact estimates: its tasks take 1 / 0.7 as long on the usual worker. */
const RATIO = 1 / 0.7;

/** An urgent job of 0.85 s with an objective of 0.25 s + 1.5 times its work. */
function computeUrgentSpeed(elapsedMs: number): number {
    return computeRequiredSpeed({
        chainMs: 850,
        durationRatio: RATIO,
        objectiveMs: 250 + 1.5 * 850,
        elapsedMs,
    });
}

/** Long work with slack: 4.2 s with an objective of 3 s + 4 times its work. */
function computeSlackSpeed(elapsedMs: number): number {
    return computeRequiredSpeed({
        chainMs: 4_200,
        durationRatio: RATIO,
        objectiveMs: 3_000 + 4 * 4_200,
        elapsedMs,
    });
}

function isPreferred(speed: number, other: number, requiredSpeed: number): boolean {
    return (
        computeSpeedPreference(speed, requiredSpeed) < computeSpeedPreference(other, requiredSpeed)
    );
}

test("an urgent job of 0.85 s with an objective of 1.5 times its work + 0.25 s prefers fast workers", (t) => {
    for (const elapsedMs of [0, 100, 300, 600]) {
        t.true(isPreferred(FAST, SLOW, computeUrgentSpeed(elapsedMs)));
    }
});

test("a job without time left prefers the fastest workers", (t) => {
    t.is(computeUrgentSpeed(1_525 - 150), Number.POSITIVE_INFINITY);
    t.true(isPreferred(FAST, SLOW, computeUrgentSpeed(5_000)));
    t.true(isPreferred(1.5, SLOW, computeUrgentSpeed(5_000)));
});

test("long work with slack prefers slow workers until its time runs short", (t) => {
    t.true(isPreferred(SLOW, FAST, computeSlackSpeed(0)));
    t.true(isPreferred(0.7, SLOW, computeSlackSpeed(0)));
    t.true(isPreferred(SLOW, FAST, computeSlackSpeed(8_000)));
    t.true(isPreferred(FAST, SLOW, computeSlackSpeed(15_000)));
});

test("workers whose speeds differ by less than their error are equal", (t) => {
    t.false(isPreferred(0.95, 1.05, 0.5));
    t.false(isPreferred(1.05, 0.95, 0.5));
});

test("every worker has a place in the order, whatever speed is required", (t) => {
    // Guards against capacity that is kept idle: a preference orders workers, it excludes none.
    fc.assert(
        fc.property(
            fc.double({ min: 0.5, max: 2, noNaN: true }),
            fc.oneof(fc.double({ min: 0, max: 100, noNaN: true }), fc.constant(Infinity)),
            (speed, requiredSpeed) => Number.isFinite(computeSpeedPreference(speed, requiredSpeed)),
        ),
    );
    t.pass();
});

/** 246 workers, each with room for three tasks of a gang, of which every third is fast. */
function buildFleet(count = 246): { speed: number; taskCount: number }[] {
    return Array.from({ length: count }, (_unused, i) => ({
        speed: i % 3 === 2 ? FAST : SLOW,
        taskCount: 3,
    }));
}

test("a gang of 20 with slack runs on slow workers alone, one without on fast workers alone", (t) => {
    const withSlack = selectSpeedClass(buildFleet(), 20, 0.9) ?? [];
    t.true(withSlack.length > 0 && withSlack.every(({ speed }) => speed === SLOW));
    const withoutSlack = selectSpeedClass(buildFleet(), 20, 1.4) ?? [];
    t.true(withoutSlack.length > 0 && withoutSlack.every(({ speed }) => speed === FAST));
});

test("a gang without time runs on the fastest class that has room, or on a mixture", (t) => {
    const fewFast = buildFleet(9);
    const chosen = selectSpeedClass(fewFast, 18, Number.POSITIVE_INFINITY) ?? [];
    t.true(chosen.length === 6 && chosen.every(({ speed }) => speed === SLOW));
    t.is(selectSpeedClass(fewFast, 20, 1.4), undefined);
});

test("a selected class has the gang's capacity and no member much faster than another", (t) => {
    const slots = fc.record({
        speed: fc.double({ min: 0.5, max: 2, noNaN: true }),
        taskCount: fc.integer({ min: 1, max: 6 }),
    });
    fc.assert(
        fc.property(
            fc.array(slots, { maxLength: 40 }),
            fc.integer({ min: 1, max: 30 }),
            fc.double({ min: 0, max: 4, noNaN: true }),
            (fleet, count, requiredSpeed) => {
                const selected = selectSpeedClass(fleet, count, requiredSpeed);
                if (selected === undefined) {
                    return true;
                }
                const speeds = selected.map(({ speed }) => speed);
                const capacity = selected.reduce((sum, { taskCount }) => sum + taskCount, 0);
                return capacity >= count && Math.max(...speeds) <= 1.3 * Math.min(...speeds);
            },
        ),
    );
    t.pass();
});
