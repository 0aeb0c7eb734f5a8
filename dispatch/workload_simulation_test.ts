import test from "ava";
import { WorkloadSimulation } from "./_workload_simulation.ts";

/** Starts of a task after three workers crashed while running it must stay below this. */
const START_LIMIT = 3;

for (const seed of [1, 2, 3]) {
    // Guards against invariants that hold on small clusters but break under sustained load.
    test(`invariants hold under sustained load with worker crashes and capacity changes (seed ${seed})`, (t) => {
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
        t.is(report.failedOtherJobs, 0);
        t.true(report.maxStartsAfterThreeCrashes < START_LIMIT);
    });
}
