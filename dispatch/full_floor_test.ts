import test from "ava";
import { FullFloorDay } from "./_full_floor.ts";

/** A task is not started this often again once three workers have crashed under it. */
const FORBIDDEN_STARTS = 3;

for (const seed of [1, 2, 3]) {
    // Guards against promises that hold on small floors and break under a whole day's load.
    test(`a full floor keeps its promises while tasks crash workers and rooms change (seed ${seed})`, (t) => {
        const troubles = { crashingShare: 0.02, crashesPerSecond: 0.2, roomChangesPerSecond: 1 };
        const day = new FullFloorDay({ workers: 33, seed, troubles });
        day.run(40, 0.6);
        const report = day.describeTroubles();
        t.true(report.crashes > 0 && report.crashingJobs > 0);
        t.is(report.violations, 0);
        t.is(report.failedOthers, 0);
        t.true(report.mostStartsAfterThree < FORBIDDEN_STARTS);
    });
}
