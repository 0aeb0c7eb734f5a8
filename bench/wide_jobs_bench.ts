/**
 * How a full floor treats its widest jobs: prints for each queue, and for the largest tenth of its jobs and the
 * fifth below it, how many were in time and served on a day in virtual time, and how long they took; with troubles
 * also what they led to.
 *
 * @example
 * ```sh
 * npx tsx bench/wide_jobs_bench.ts --workers 380 --seconds 30 --load 0.9 --seeds 1,2,3
 * npx tsx bench/wide_jobs_bench.ts --workers 33 --load 0.7 --crashing 0.01 --crashes 0.2 --rooms 1
 * ```
 *
 * @module
 */

import { parseArgs } from "node:util";
import { WorkloadSimulation, type WorkloadSummary } from "../dispatch/_workload_simulation.ts";

const { values } = parseArgs({
    options: {
        workers: { type: "string", default: "380" },
        seconds: { type: "string", default: "30" },
        load: { type: "string", default: "0.9" },
        seeds: { type: "string", default: "1" },
        /** Share of the jobs that crash their workers. */
        crashing: { type: "string", default: "0" },
        /** Workers that crash by themselves, a second. */
        crashes: { type: "string", default: "0" },
        /** Workers whose room changes, a second. */
        rooms: { type: "string", default: "0" },
    },
});

function formatRow({
    name,
    jobs,
    meanWidth: width,
    withinObjective: inTime,
    served,
    medianLatencyMs: medianMs,
}: WorkloadSummary): string {
    const formatShare = (count: number): string => (count / Math.max(1, jobs)).toFixed(3);
    return (
        `${name.padEnd(28)}${String(jobs).padStart(5)} jobs of ${width.toFixed(1).padStart(5)} tasks` +
        `  in time ${formatShare(inTime)}  served ${formatShare(served)}  p50 ${(medianMs / 1_000).toFixed(2)} s`
    );
}

for (const seed of values.seeds.split(",").map(Number)) {
    const troubles = {
        crashingJobFraction: Number(values.crashing),
        crashesPerSecond: Number(values.crashes),
        capacityChangesPerSecond: Number(values.rooms),
    };
    const day = new WorkloadSimulation({
        workers: Number(values.workers),
        seed,
        faultRates: troubles,
    });
    const startedAt = process.cpuUsage();
    day.run(Number(values.seconds), Number(values.load));
    const used = process.cpuUsage(startedAt);
    const cpuSeconds = ((used.user + used.system) / 1e6).toFixed(1);
    process.stdout.write(`seed ${seed}, ${cpuSeconds} s of processor\n`);
    day.listSummaries().forEach((outcome) => process.stdout.write(`${formatRow(outcome)}\n`));
    process.stdout.write(`${JSON.stringify(day.summarizeFaults())}\n`);
}
