/**
 * What the leader's decisions cost on a large floor: a simulated day of three queues on stand-in
 * workers in virtual time, with a burst beyond the floor's room and a spell in which part of the
 * workers answer nothing. Prints processor time of the decisions and who was in time.
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

/** Traffic of one queue on a floor of 245 workers; other floors get their share. */
interface Traffic {
    readonly queue: QueueConfig;
    readonly perSecond: number;
    readonly taskMs: number;
    readonly step: Partial<StepSpec>;
    readonly isGang: boolean;
}

const FLOOR_WORKERS = 245;
const FRONTS = 34;
const COMPOSITES = "composites" as QueueName;
const VARIANTS = "variants" as QueueName;
const PREVIEWS = "previews" as QueueName;
/** Rates, widths and sizes of the larger deployment's sheet. */
const traffic: readonly Traffic[] = [
    {
        queue: buildQueue({
            name: COMPOSITES,
            pathPrefix: "/c/",
            priority: 1,
            stretch: 2.2,
            targetLatencyMs: 1_000,
            advice: { decideMs: 400, perWorkerMs: 2, validMs: 2_500 },
        }),
        perSecond: 3.29,
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
        perSecond: 6.89 * 1.5,
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
        perSecond: 96.2,
        taskMs: 640,
        step: { count: 3, needs: { cpu: 2_500, memoryMb: 1_400, gpu: 0 } },
        isGang: false,
    },
];

const durations = new Map<string, number>();
const submitted = new Map<string, { at: number; queue: QueueConfig; taskMs: number }>();
const doneAt = new Map<string, number>();
let isSilent = false;

function getFault(_kind: string, worker: WorkerId): OrderFault {
    const number = Number(worker.slice(1));
    return isSilent && number % 8 === 0 ? { type: "lost" } : { type: "none" };
}

const floor = new SimulatedCluster({
    workers,
    hasInvariantChecks: false,
    fronts: Math.max(3, Math.round((FRONTS * workers) / FLOOR_WORKERS)),
    queues: traffic.map(({ queue }) => queue),
    computeTaskMs: (task) => durations.get(task.slice(0, 16)) ?? 1_000,
    isAdmitted: (step, worker) => (step.charCodeAt(15) * 31 + Number(worker.slice(1))) % 10 < 4,
    getFault,
});

function submitJob(kind: Traffic): void {
    const id = submitted.size.toString(16).padStart(16, "0");
    const taskMs = kind.taskMs * (0.5 + random());
    durations.set(id, taskMs);
    submitted.set(id, { at: floor.now, queue: kind.queue, taskMs });
    const count = Math.max(1, Math.round((kind.step.count ?? 1) * (0.3 + 1.4 * random())));
    const step = { ...kind.step, count, estimateMs: kind.taskMs, isGang: kind.isGang };
    floor.submit(id, buildSpec(step), kind.queue.name);
}

function recordDone(): void {
    for (const id of submitted.keys()) {
        if (!doneAt.has(id) && floor.getJobState(id) === "complete") {
            doneAt.set(id, floor.now);
        }
    }
}

const STEP_MS = 50;
const startedAt = process.cpuUsage();
let worst = 0;
for (let at = 0; at < seconds * 1_000; at += STEP_MS) {
    const isBurst = at >= 5_000 && at < 9_000;
    isSilent = at >= 10_000 && at < 15_000;
    for (const kind of traffic) {
        const factor = isBurst ? Number(values.burst) : 1;
        const mean = (kind.perSecond * factor * workers * STEP_MS) / (FLOOR_WORKERS * 1_000);
        const count = Math.floor(mean) + (random() < mean % 1 ? 1 : 0);
        for (let i = 0; i < count; i++) {
            submitJob(kind);
        }
    }
    const before = performance.now();
    floor.runFor(STEP_MS);
    worst = Math.max(worst, performance.now() - before);
    recordDone();
}
const used = process.cpuUsage(startedAt);
for (const { queue } of traffic) {
    const jobs = [...submitted].filter(([, job]) => job.queue.name === queue.name);
    const owed = jobs.filter(([, job]) => job.at < (seconds - 8) * 1_000);
    const inTime = owed.filter(([id, job]) => {
        const objective = job.taskMs * queue.stretch + queue.targetLatencyMs;
        return (doneAt.get(id) ?? Number.POSITIVE_INFINITY) - job.at <= objective;
    });
    process.stdout.write(
        `${queue.name}: ${jobs.length} jobs, in time ${inTime.length} of ${owed.length}\n`,
    );
}
const cpuMs = (used.user + used.system) / 1_000;
process.stdout.write(
    `${floor.runs.length} starts, ${cpuMs.toFixed(0)} ms of processor, ` +
        `${(cpuMs / floor.runs.length).toFixed(3)} ms a start, worst 50 ms took ${worst.toFixed(0)} ms\n`,
);
