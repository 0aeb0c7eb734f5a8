/**
 * Measures the CPU time of the leader's scheduling decisions and the number of jobs that complete
 * within their latency objective. Simulates three queues in virtual time, with a burst above
 * capacity and a period in which orders to every eighth worker are lost.
 *
 * @example
 * ```sh
 * npx tsx bench/dispatch_bench.ts --workers 245 --seconds 20 --burst 2
 * ```
 *
 * @module
 */

import { parseArgs } from "node:util";
import { buildQueue, buildSpec, SimulatedCluster, type OrderFault } from "../dispatch/_fixtures.ts";
import type { QueueConfig, QueueName } from "../configuration/mod.ts";
import type { StepSpec, WorkerId } from "../job/mod.ts";
import { createRandom } from "../tools/seeded_random.ts";

const { values } = parseArgs({
    options: {
        workers: { type: "string", default: "245" },
        seconds: { type: "string", default: "20" },
        burst: { type: "string", default: "2" },
        seed: { type: "string", default: "1" },
    },
});
const workers = Number(values.workers);
const seconds = Number(values.seconds);
const random = createRandom(Number(values.seed));

/** Traffic of one queue; the rate applies to `REFERENCE_WORKERS` workers and scales with them. */
interface QueueTraffic {
    readonly queue: QueueConfig;
    readonly jobsPerSecond: number;
    readonly taskMs: number;
    readonly step: Partial<StepSpec>;
    readonly isGang: boolean;
}

const REFERENCE_WORKERS = 245;
const REFERENCE_FRONTS = 34;
const COMPOSITES = "composites" as QueueName;
const VARIANTS = "variants" as QueueName;
const PREVIEWS = "previews" as QueueName;
/** Arrival rates, tasks per job and task sizes of the larger deployment. */
const traffic: readonly QueueTraffic[] = [
    {
        queue: buildQueue({
            name: COMPOSITES,
            pathPrefix: "/c/",
            priority: 1,
            stretch: 2.2,
            targetLatencyMs: 1_000,
            advice: { decideMs: 400, perWorkerMs: 2, validMs: 2_500 },
        }),
        jobsPerSecond: 3.29,
        taskMs: 5_000,
        step: { count: 20, needs: { cpu: 4_500, memoryMb: 6_400, gpu: 0 }, savesProgress: true },
        isGang: true,
    },
    {
        queue: buildQueue({
            name: VARIANTS,
            pathPrefix: "/v/",
            priority: 2,
            stretch: 4,
            targetLatencyMs: 3_000,
            advice: { decideMs: 70, perWorkerMs: 0.4, validMs: 2_500 },
        }),
        jobsPerSecond: 6.89 * 1.5,
        taskMs: 2_700,
        step: { count: 25, needs: { cpu: 1_700, memoryMb: 1_400, gpu: 0 }, savesProgress: true },
        isGang: false,
    },
    {
        queue: buildQueue({
            name: PREVIEWS,
            stretch: 1.5,
            targetLatencyMs: 300,
            advice: { decideMs: 10, perWorkerMs: 0.1, validMs: 2_500 },
        }),
        jobsPerSecond: 96.2,
        taskMs: 640,
        step: { count: 3, needs: { cpu: 2_500, memoryMb: 1_400, gpu: 0 } },
        isGang: false,
    },
];

const taskDurationsMs = new Map<string, number>();
const submittedJobs = new Map<
    string,
    { submittedAtMs: number; queue: QueueConfig; taskMs: number }
>();
const completedAtMs = new Map<string, number>();
let isLosingOrders = false;

function getFault(_kind: string, worker: WorkerId): OrderFault {
    const number = Number(worker.slice(1));
    return isLosingOrders && number % 8 === 0 ? { type: "lost" } : { type: "none" };
}

const cluster = new SimulatedCluster({
    workers,
    hasInvariantChecks: false,
    fronts: Math.max(3, Math.round((REFERENCE_FRONTS * workers) / REFERENCE_WORKERS)),
    queues: traffic.map(({ queue }) => queue),
    computeTaskMs: (task) => taskDurationsMs.get(task.slice(0, 16)) ?? 1_000,
    isAdmitted: (step, worker) => (step.charCodeAt(15) * 31 + Number(worker.slice(1))) % 10 < 4,
    getFault,
});

function submitJob(queueTraffic: QueueTraffic): void {
    const id = submittedJobs.size.toString(16).padStart(16, "0");
    const taskMs = queueTraffic.taskMs * (0.5 + random());
    taskDurationsMs.set(id, taskMs);
    submittedJobs.set(id, { submittedAtMs: cluster.now, queue: queueTraffic.queue, taskMs });
    const count = Math.max(1, Math.round((queueTraffic.step.count ?? 1) * (0.3 + 1.4 * random())));
    const step = {
        ...queueTraffic.step,
        count,
        estimateMs: queueTraffic.taskMs,
        isGang: queueTraffic.isGang,
    };
    cluster.submit(id, buildSpec(step), queueTraffic.queue.name);
}

function recordCompletedJobs(): void {
    for (const id of submittedJobs.keys()) {
        if (!completedAtMs.has(id) && cluster.getJobState(id) === "complete") {
            completedAtMs.set(id, cluster.now);
        }
    }
}

const STEP_MS = 50;
const cpuBefore = process.cpuUsage();
let worstStepMs = 0;
for (let nowMs = 0; nowMs < seconds * 1_000; nowMs += STEP_MS) {
    const isBurst = nowMs >= 5_000 && nowMs < 9_000;
    isLosingOrders = nowMs >= 10_000 && nowMs < 15_000;
    for (const queueTraffic of traffic) {
        const factor = isBurst ? Number(values.burst) : 1;
        const meanArrivals =
            (queueTraffic.jobsPerSecond * factor * workers * STEP_MS) / (REFERENCE_WORKERS * 1_000);
        const count = Math.floor(meanArrivals) + (random() < meanArrivals % 1 ? 1 : 0);
        for (let i = 0; i < count; i++) {
            submitJob(queueTraffic);
        }
    }
    const stepStartedAtMs = performance.now();
    cluster.runFor(STEP_MS);
    worstStepMs = Math.max(worstStepMs, performance.now() - stepStartedAtMs);
    recordCompletedJobs();
}
const cpuUsed = process.cpuUsage(cpuBefore);
for (const { queue } of traffic) {
    const jobs = [...submittedJobs].filter(([, job]) => job.queue.name === queue.name);
    const dueJobs = jobs.filter(([, job]) => job.submittedAtMs < (seconds - 8) * 1_000);
    const jobsInTime = dueJobs.filter(([id, job]) => {
        const objectiveMs = job.taskMs * queue.stretch + queue.targetLatencyMs;
        return (
            (completedAtMs.get(id) ?? Number.POSITIVE_INFINITY) - job.submittedAtMs <= objectiveMs
        );
    });
    process.stdout.write(
        `${queue.name}: ${jobs.length} jobs, in time ${jobsInTime.length} of ${dueJobs.length}\n`,
    );
}
const cpuMs = (cpuUsed.user + cpuUsed.system) / 1_000;
process.stdout.write(
    `${cluster.runs.length} task starts, ${cpuMs.toFixed(0)} ms of CPU time, ` +
        `${(cpuMs / cluster.runs.length).toFixed(3)} ms per start, longest 50 ms step took ${worstStepMs.toFixed(0)} ms\n`,
);
