import test from "ava";
import { ArrivalMeter } from "./arrival_meter.ts";

test("a steady rate is measured as the CPU that it keeps busy, and forgotten when it ends", (t) => {
    // Guards against jobs that are refused for a burst that is over.
    const meter = new ArrivalMeter();
    for (let now = 0; now < 20_000; now += 100) {
        meter.record([{ rank: 0, cpuPerTask: 2_000, taskMs: 500, taskCount: 4 }], now);
    }
    const [rate] = meter.listRates(20_000);
    // 40 tasks a second of half a second on two cores.
    t.true(Math.abs((rate?.cpu ?? 0) - 40_000) < 2_000);
    t.is(Math.round(rate?.taskMs ?? 0), 500);
    t.true((meter.listRates(26_000)[0]?.cpu ?? 0) < 2_500);
    t.deepEqual(meter.listRates(60_000), []);
});
