/**
 * How a full floor treats its widest jobs: a day in virtual time of three queues on stand-in workers, with
 * advice that admits a part of the workers only, tasks of uneven length, wrong estimates, and gangs of up
 * to 120 tasks. Prints for each queue, and for the largest tenth of its jobs and the fifth below it, how
 * many were in time, late and lost, and where their time went.
 *
 * @example
 * ```sh
 * npx tsx bench/wide_jobs_bench.ts --workers 380 --seconds 30 --load 0.9 --seeds 1,2,3
 * ```
 *
 * @module
 */

import { parseArgs } from "node:util";
import { buildQueue, buildSpec, FloorFixture } from "../dispatch/_fixtures.ts";
import type { QueueConfig, QueueName } from "../configuration/mod.ts";
import type { WorkerId } from "../job/mod.ts";
import { createRandom } from "../tools/seeded_random.ts";

const { values } = parseArgs({
    options: {
        workers: { type: "string", default: "380" },
        seconds: { type: "string", default: "30" },
        load: { type: "string", default: "0.9" },
        seeds: { type: "string", default: "1" },
    },
});

/** A quantity that is spread about its mean; log-normal, as sizes of jobs are. */
interface Spread {
    readonly mean: number;
    /** Standard deviation of the logarithm. */
    readonly sigma: number;
    readonly most: number;
}

/** One queue's jobs. */
interface Kind {
    readonly queue: QueueConfig;
    /** Jobs a second on a floor of {@link FLOOR_WORKERS} that is just full. */
    readonly perSecond: number;
    readonly width: Spread;
    readonly cpu: Spread;
    readonly memoryMb: Spread;
    readonly taskMs: Spread;
    readonly steps: number;
    readonly gangShare: number;
    readonly savesShare: number;
    /** Share of the workers that may run a step. */
    readonly goodShare: number;
}

interface Handed {
    readonly id: string;
    readonly at: number;
    /** Core-seconds. */
    readonly work: number;
    readonly objectiveMs: number;
    readonly widest: number;
}

const FLOOR_WORKERS = 380;
const FRONTS = 97;
const STEP_MS = 50;
/** Jobs of the last seconds are not counted: they had no time to end. */
const UNCOUNTED_MS = 12_000;
/** Estimates are off by up to this factor either way. */
const ESTIMATE_SIGMA = 0.6;
const SLOW_FACTOR = 1.3;

const KINDS: readonly Kind[] = [
    {
        queue: buildQueue({
            name: "composites" as QueueName,
            pathPrefix: "/c/",
            priority: 1,
            stretch: 2.2,
            targetLatencyMs: 1_000,
            advice: { decideMs: 507, perWorkerMs: 7.28, validMs: 2_500 },
        }),
        perSecond: 6.9,
        width: { mean: 20, sigma: 0.7, most: 120 },
        cpu: { mean: 4_500, sigma: 0.4, most: 7_600 },
        memoryMb: { mean: 13_000, sigma: 0.45, most: 26_000 },
        taskMs: { mean: 4_000, sigma: 0.45, most: 10_000 },
        steps: 1.2,
        gangShare: 1,
        savesShare: 0.5,
        goodShare: 0.35,
    },
    {
        queue: buildQueue({
            name: "variants" as QueueName,
            pathPrefix: "/v/",
            priority: 2,
            stretch: 4,
            targetLatencyMs: 3_000,
            advice: { decideMs: 182, perWorkerMs: 2.6, validMs: 2_500 },
        }),
        perSecond: 9.2,
        width: { mean: 19, sigma: 0.55, most: 96 },
        cpu: { mean: 2_800, sigma: 0.42, most: 8_300 },
        memoryMb: { mean: 7_900, sigma: 0.55, most: 24_000 },
        taskMs: { mean: 2_700, sigma: 0.45, most: 6_800 },
        steps: 1.5,
        gangShare: 0,
        savesShare: 0.8,
        goodShare: 0.45,
    },
    {
        queue: buildQueue({
            name: "previews" as QueueName,
            stretch: 1.5,
            targetLatencyMs: 250,
            advice: { decideMs: 20.8, perWorkerMs: 0.3, validMs: 2_500 },
        }),
        perSecond: 81.6,
        width: { mean: 3.1, sigma: 0.7, most: 19 },
        cpu: { mean: 3_900, sigma: 0.42, most: 12_000 },
        memoryMb: { mean: 11_000, sigma: 0.55, most: 34_000 },
        taskMs: { mean: 800, sigma: 0.45, most: 2_000 },
        steps: 1,
        gangShare: 0.3,
        savesShare: 0,
        goodShare: 0.7,
    },
];

/** One day of one seed. */
class Day {
    readonly #random: () => number;
    readonly #durations = new Map<string, number>();
    readonly #handed = new Map<Kind, Handed[]>();
    readonly #doneAt = new Map<string, number>();
    readonly #open = new Set<string>();
    readonly #floor: FloorFixture;
    #nextId = 1;

    constructor(workers: number, seed: number) {
        this.#random = createRandom(seed);
        this.#floor = new FloorFixture({
            workers,
            isChecked: false,
            fronts: Math.max(3, Math.round((FRONTS * workers) / FLOOR_WORKERS)),
            queues: KINDS.map(({ queue }) => queue),
            capacity: { cpu: 16_000, memoryMb: 65_536, gpu: 0 },
            getRecord: (number) => ({ zone: `zone-${number % 5}` }),
            computeTaskMs: (task, worker) => this.#computeTaskMs(task, worker),
            isAdmitted: (step, worker) => isAdmitted(step, worker),
        });
        KINDS.forEach((kind) => this.#handed.set(kind, []));
    }

    /** Hands in jobs for a while; the queues' rates times `load`. */
    run(seconds: number, load: number, workers: number): void {
        for (let at = 0; at < seconds * 1_000; at += STEP_MS) {
            for (const kind of KINDS) {
                const mean = (kind.perSecond * load * workers * STEP_MS) / (FLOOR_WORKERS * 1_000);
                const count = Math.floor(mean) + (this.#random() < mean % 1 ? 1 : 0);
                for (let i = 0; i < count; i++) {
                    this.#submitJob(kind);
                }
            }
            this.#floor.runFor(STEP_MS);
            this.#recordDone();
        }
    }

    /** Rows of text: one a queue and size. */
    formatRows(seconds: number): string[] {
        return [...this.#handed].flatMap(([kind, all]) => {
            const owed = all
                .filter(({ at }) => at < seconds * 1_000 - UNCOUNTED_MS)
                .sort((a, b) => b.work - a.work);
            const tenth = Math.ceil(owed.length / 10);
            return [
                this.#formatRow(`${kind.queue.name}`, owed),
                this.#formatRow("  largest tenth", owed.slice(0, tenth)),
                this.#formatRow("  fifth below it", owed.slice(tenth, 3 * tenth)),
            ];
        });
    }

    #submitJob(kind: Kind): void {
        const id = `${getCode(kind)}${(this.#nextId++).toString(16).padStart(15, "0")}`;
        const taskMs = this.#takeSize(kind.taskMs);
        const stepCount = 1 + (this.#random() < kind.steps % 1 ? 1 : 0);
        const isGang = this.#random() < kind.gangShare;
        const savesProgress = this.#random() < kind.savesShare;
        const estimateMs = taskMs * Math.exp(ESTIMATE_SIGMA * this.#takeNormal());
        const steps = Array.from({ length: stepCount }, (_none, i) => ({
            count: Math.max(1, Math.round(this.#takeSize(kind.width))),
            needs: {
                cpu: Math.round(this.#takeSize(kind.cpu)),
                memoryMb: Math.round(this.#takeSize(kind.memoryMb)),
                gpu: 0,
            },
            estimateMs,
            isGang,
            savesProgress,
            after: i === 0 ? [] : [i - 1],
        }));
        this.#durations.set(id, taskMs);
        const work = steps.reduce((sum, { count, needs }) => sum + count * needs.cpu * taskMs, 0);
        const adviceMs =
            (kind.queue.advice?.decideMs ?? 0) + 30 * (kind.queue.advice?.perWorkerMs ?? 0);
        const chainMs = stepCount * (taskMs + adviceMs);
        this.#handed.get(kind)?.push({
            id,
            at: this.#floor.now,
            work: work / 1e6,
            objectiveMs: kind.queue.stretch * chainMs + kind.queue.targetLatencyMs,
            widest: Math.max(...steps.map(({ count }) => count)),
        });
        this.#open.add(id);
        this.#floor.submit(id, buildSpec(...steps), kind.queue.name);
    }

    #computeTaskMs(task: string, worker: WorkerId): number {
        const number = Number(worker.slice(1));
        return (
            (this.#durations.get(task.slice(0, 16)) ?? 1_000) * (number % 3 === 0 ? SLOW_FACTOR : 1)
        );
    }

    #recordDone(): void {
        for (const id of this.#open) {
            if (this.#floor.getState(id) === "complete") {
                this.#doneAt.set(id, this.#floor.now);
                this.#open.delete(id);
            }
        }
    }

    #formatRow(name: string, jobs: readonly Handed[]): string {
        const took = jobs.map(({ id, at }) => (this.#doneAt.get(id) ?? Infinity) - at);
        const inTime = jobs.filter(({ objectiveMs }, i) => (took[i] ?? 0) <= objectiveMs).length;
        const served = jobs.filter(
            ({ objectiveMs }, i) => (took[i] ?? 0) <= 3 * objectiveMs,
        ).length;
        const share = (count: number): string => (count / Math.max(1, jobs.length)).toFixed(3);
        const median = [...took].sort((a, b) => a - b)[Math.floor(took.length / 2)] ?? 0;
        const width = jobs.reduce((sum, { widest }) => sum + widest, 0) / Math.max(1, jobs.length);
        return (
            `${name.padEnd(18)}${String(jobs.length).padStart(5)} jobs of ${width.toFixed(1).padStart(5)} tasks` +
            `  in time ${share(inTime)}  served ${share(served)}  p50 ${(median / 1_000).toFixed(2)} s`
        );
    }

    /** Log-normal with the given mean. */
    #takeSize({ mean, sigma, most }: Spread): number {
        const drawn = mean * Math.exp(sigma * this.#takeNormal() - (sigma * sigma) / 2);
        return Math.min(most, drawn);
    }

    #takeNormal(): number {
        const [a, b] = [Math.max(1e-9, this.#random()), this.#random()];
        return Math.sqrt(-2 * Math.log(a)) * Math.cos(2 * Math.PI * b);
    }
}

/** The first digit of a job's id tells its queue, for the advice that its steps get. */
function getCode(kind: Kind): number {
    return KINDS.indexOf(kind);
}

function isAdmitted(step: string, worker: WorkerId): boolean {
    const kind = KINDS[Number(step[0])];
    let hash = 0x811c9dc5;
    for (const character of `${step}|${worker}`) {
        hash = Math.imul(hash ^ character.charCodeAt(0), 0x01000193) >>> 0;
    }
    hash = (hash ^ (hash >>> 13)) >>> 0;
    return (hash % 1_000) / 1_000 < (kind?.goodShare ?? 1);
}

const [workers, seconds, load] = [
    Number(values.workers),
    Number(values.seconds),
    Number(values.load),
];
for (const seed of values.seeds.split(",").map(Number)) {
    const day = new Day(workers, seed);
    const startedAt = process.cpuUsage();
    day.run(seconds, load, workers);
    const used = process.cpuUsage(startedAt);
    process.stdout.write(
        `seed ${seed}, ${((used.user + used.system) / 1e6).toFixed(1)} s of processor\n`,
    );
    day.formatRows(seconds).forEach((row) => process.stdout.write(`${row}\n`));
}
