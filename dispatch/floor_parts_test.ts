import test from "ava";
import type { WorkerId } from "../job/mod.ts";
import { FullFloorDay } from "./_full_floor.ts";
import { computeLot, FloorParts, isPatient } from "./floor_parts.ts";

const WORKERS = 300;
const SEEDS = [1, 2];
const DAY_SECONDS = 26;
const OVERLOAD = 1.1;

function listLots(count: number): number[] {
    return Array.from({ length: count }, (_none, i) =>
        computeLot(`i-${i.toString(16)}` as WorkerId),
    );
}

function buildParts(gangWork: number, singleWork: number): FloorParts {
    const parts = new FloorParts();
    for (let now = 0; now <= 6_000; now += 100) {
        parts.recordDemand({ isGang: true, work: gangWork }, now);
        parts.recordDemand({ isGang: false, work: singleWork }, now);
    }
    return parts;
}

test("the parts follow what gangs and single tasks ask for", (t) => {
    const parts = buildParts(600, 400);
    parts.update(WORKERS, 6_000);
    t.true(parts.isDivided);
    const share = listLots(1_000).filter((lot) => parts.isForSingles(lot)).length / 1_000;
    t.true(Math.abs(share - 0.4) < 0.05, `${share}`);
});

test("a floor is not divided while it is small, or asked for by one kind only", (t) => {
    const parts = buildParts(600, 400);
    parts.update(60, 6_000);
    t.false(parts.isDivided);
    parts.update(WORKERS, 6_000);
    t.true(parts.isDivided);
    const rare = buildParts(990, 10);
    rare.update(WORKERS, 6_000);
    t.false(rare.isDivided);
    t.false(listLots(10).some((lot) => rare.isForSingles(lot)));
});

test("nothing is divided before the demand is known", (t) => {
    const parts = new FloorParts();
    parts.recordDemand({ isGang: true, work: 1 }, 0);
    parts.recordDemand({ isGang: false, work: 1 }, 0);
    parts.update(WORKERS, 1_000);
    t.false(parts.isDivided);
});

test("tasks are patient only while their job has time", (t) => {
    t.true(isPatient(2_000, 16_000));
    t.false(isPatient(5_000, 16_000));
});

interface Total {
    inTime: number;
    all: number;
}

/** Jobs in time, by queue, over some days of a floor that is asked for a tenth more than it has. */
function runDays(mayDivide: boolean): Map<string, Total> {
    const totals = new Map<string, Total>();
    for (const seed of SEEDS) {
        const day = new FullFloorDay({ workers: WORKERS, seed, mayDivide });
        day.run(DAY_SECONDS, OVERLOAD);
        for (const { name, inTime, jobs } of day.listOutcomes()) {
            const total = totals.get(name) ?? { inTime: 0, all: 0 };
            totals.set(name, { inTime: total.inTime + inTime, all: total.all + jobs });
        }
    }
    return totals;
}

test("gangs find room on a large floor that batches would fill, and batches are in time all the same", (t) => {
    // Hero shots are gangs of twenty tasks and more; batches of single tasks, less urgent and with time to spare,
    // start in each gap that opens. On a whole floor the gangs' callers wait until traffic ends, beside batches
    // that are done long before anybody asks for them.
    const whole = runDays(false).get("composites") as Total;
    const days = runDays(true);
    const divided = days.get("composites") as Total;
    const batches = days.get("variants") as Total;
    t.true(divided.inTime > whole.inTime, `${divided.inTime}, ${whole.inTime} of ${whole.all}`);
    t.true(batches.inTime >= 0.95 * batches.all, `${batches.inTime} of ${batches.all} batches`);
});
