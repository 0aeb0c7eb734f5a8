import test from "ava";
import { WorkloadSimulation } from "./_workload_simulation.ts";

/** A task is not started this often again once three workers have crashed under it. */
const START_LIMIT = 3;

for (const seed of [1, 2, 3]) {
    // Guards against promises that hold on small floors and break under a whole day's load.
    test(`a full floor keeps its promises while tasks crash workers and rooms change (seed ${seed})`, (t) => {
        const faultRates = {
            crashingJobFraction: 0.02,
            crashesPerSecond: 0.2,
            capacityChangesPerSecond: 1,
        };
        const simulation = new WorkloadSimulation({ workers: 33, seed, faultRates });
        simulation.run(40, 0.6);
        const report = simulation.summarizeFaults();
        t.true(report.crashes > 0 && report.crashingJobs > 0);
        t.is(report.violations, 0);
        t.is(report.failedOthers, 0);
        t.true(report.mostStartsAfterThree < START_LIMIT);
    });
}
