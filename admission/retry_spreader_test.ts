import test from "ava";
import fc from "fast-check";
import type { JobId } from "../job/mod.ts";
import { RetrySpreader } from "./retry_spreader.ts";

const START_MS = 1_000_000;

function buildJobId(number: number): JobId {
    // Ids of callers are random, so neighbouring numbers are scattered.
    return (Math.imul(number + 1, 0x9e3779b1) >>> 0).toString(16).padStart(16, "0") as JobId;
}

/** Admits jobs at a rate during the eight seconds before {@link START_MS}. */
function buildBusySpreader(admittedPerSecond: number): RetrySpreader {
    const spreader = new RetrySpreader();
    for (let i = 0; i < 8 * admittedPerSecond; i++) {
        const at = START_MS - 8_000 + (i * 1_000) / admittedPerSecond;
        spreader.recordAdmission(buildJobId(1_000_000 + i), at);
    }
    return spreader;
}

test("a caller that is turned away alone returns after the delay, in whole seconds", (t) => {
    const spreader = buildBusySpreader(50);
    const retryAfterMs = spreader.recordRefusal(buildJobId(1), 2_300, START_MS);
    t.true(retryAfterMs === 3_000 || retryAfterMs === 4_000);
});

test("callers of a burst return spread out, not more in a second than twice the pool's rate", (t) => {
    // Guards against a second burst that consists of the refused callers of the first.
    const spreader = buildBusySpreader(50);
    const returnsBySecond = new Map<number, number>();
    for (let i = 0; i < 260; i++) {
        const at = START_MS + (i * 4_000) / 260;
        const returnMs = at + spreader.recordRefusal(buildJobId(i), 1_000, at);
        const second = Math.floor(returnMs / 1_000);
        returnsBySecond.set(second, (returnsBySecond.get(second) ?? 0) + 1);
    }
    t.true(returnsBySecond.size >= 6);
    t.true(Math.max(...returnsBySecond.values()) <= 100, [...returnsBySecond.values()].join());
});

test("a long delay does not make all callers return together", (t) => {
    // Guards against a cap that gives the same time to everyone.
    const spreader = buildBusySpreader(50);
    const times = new Set<number>();
    for (let i = 0; i < 400; i++) {
        times.add(spreader.recordRefusal(buildJobId(i), 60_000, START_MS + i));
    }
    t.true(times.size >= 6);
});

test("each time is whole seconds from 1 to 8, and no longer for a caller that is refused again", (t) => {
    // Guards against callers that are put off for longer each time they ask.
    const refusal = fc.record({
        number: fc.integer({ min: 0, max: 40 }),
        delayMs: fc.integer({ min: -1_000, max: 100_000 }),
        sinceMs: fc.integer({ min: 0, max: 400 }),
    });
    fc.assert(
        fc.property(fc.array(refusal, { maxLength: 200 }), (refusals) => {
            const spreader = new RetrySpreader();
            const lastTimes = new Map<number, { readonly at: number; readonly ms: number }>();
            let now = START_MS;
            for (const { number, delayMs, sinceMs } of refusals) {
                now += sinceMs;
                const ms = spreader.recordRefusal(buildJobId(number), delayMs, now);
                const last = lastTimes.get(number);
                const isRecent = last !== undefined && now - last.at <= 16_000;
                if (ms % 1_000 !== 0 || ms < 1_000 || ms > 8_000 || (isRecent && ms > last.ms)) {
                    return false;
                }
                lastTimes.set(number, { at: now, ms });
            }
            return true;
        }),
        { numRuns: 200 },
    );
    t.pass();
});
