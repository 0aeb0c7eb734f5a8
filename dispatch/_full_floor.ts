/**
 * A day on a full floor, in virtual time: three queues with the widths, sizes and lengths of a large deployment's
 * sheet, advice that admits a part of the workers only, tasks of uneven length, wrong estimates, and gangs
 * of up to 120 tasks.
 *
 * @example
 * ```ts
 * import { FullFloorDay } from "./_full_floor.ts";
 * const day = new FullFloorDay({ workers: 380, seed: 1 });
 * day.run(30, 0.9);
 * day.listOutcomes();
 * ```
 *
 * @module
 */

import type { QueueConfig, QueueName } from "../configuration/mod.ts";
import { computeHash } from "../hashing/mod.ts";
import type { Resources, WorkerId } from "../job/mod.ts";
import { createRandom } from "../tools/seeded_random.ts";
import { buildQueue, buildSpec, FloorFixture } from "./_fixtures.ts";

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
/** A job that took this many times its objective was not served. */
const LATE_FACTOR = 3;
const NO_TROUBLES: FloorTroubles = {
    crashingShare: 0,
    crashesPerSecond: 0,
    roomChangesPerSecond: 0,
};
const CRASH_AFTER_MS = 10;
const CAPACITY: Resources = { cpu: 16_000, memoryMb: 65_536, gpu: 0 };
/** Troubles draw from a source of their own: the jobs stay those of the seed. */
const TROUBLE_SEEDS = 1_000_000;

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

/** What goes wrong on a day; nothing by default. */
export interface FloorTroubles {
    /** Share of the jobs whose first task crashes each worker that starts it. */
    readonly crashingShare: number;
    /** Workers that crash by themselves, a second. */
    readonly crashesPerSecond: number;
    /** Workers whose room shrinks or grows, a second. */
    readonly roomChangesPerSecond: number;
}

/** Options of {@link FullFloorDay}. */
export interface FullFloorOptions {
    readonly workers: number;
    readonly seed: number;
    readonly troubles?: Partial<FloorTroubles>;
}

/** What a day's troubles led to. */
export interface TroubleReport {
    /** Crashes of workers, by themselves or by a task. */
    readonly crashes: number;
    readonly crashingJobs: number;
    /** Crashing jobs that were given up. */
    readonly givenUp: number;
    /** The most starts of a task after three workers had crashed under it. */
    readonly mostStartsAfterThree: number;
    /** Other jobs that were failed. */
    readonly failedOthers: number;
    readonly violations: number;
}

/** What became of some jobs. */
export interface Outcome {
    /** The queue, or a part of its jobs by size. */
    readonly name: string;
    readonly jobs: number;
    /** Mean of the jobs' widest steps, in tasks. */
    readonly width: number;
    readonly inTime: number;
    /** In time, or within three times the objective. */
    readonly served: number;
    readonly medianMs: number;
}

/** One day of one seed. */
export class FullFloorDay {
    readonly #random: () => number;
    readonly #durations = new Map<string, number>();
    readonly #handed = new Map<Kind, Handed[]>();
    readonly #doneAt = new Map<string, number>();
    readonly #open = new Set<string>();
    readonly #floor: FloorFixture;
    readonly #workers: number;
    readonly #troubles: FloorTroubles;
    readonly #drawTrouble: () => number;
    readonly #crashing = new Set<string>();
    #nextId = 1;
    #seconds = 0;

    /**
     * @param options Size and seed; see {@link FullFloorOptions}.
     */
    constructor(options: FullFloorOptions) {
        const { workers, seed } = options;
        this.#workers = workers;
        this.#random = createRandom(seed);
        this.#troubles = { ...NO_TROUBLES, ...options.troubles };
        this.#drawTrouble = createRandom(seed + TROUBLE_SEEDS);
        this.#floor = new FloorFixture({
            workers,
            isChecked: false,
            fronts: Math.max(3, Math.round((FRONTS * workers) / FLOOR_WORKERS)),
            queues: KINDS.map(({ queue }) => queue),
            capacity: CAPACITY,
            getCrashAfterMs: (task) => (this.#isCrashing(task) ? CRASH_AFTER_MS : undefined),
            getRecord: (number) => ({ zone: `zone-${number % 5}` }),
            computeTaskMs: (task, worker) => this.#computeTaskMs(task, worker),
            isAdmitted: (step, worker) => isAdmitted(step, worker),
        });
        KINDS.forEach((kind) => this.#handed.set(kind, []));
    }

    /**
     * Hands in jobs for a while.
     *
     * @param seconds How long.
     * @param load The share of the rates that just fill the floor.
     */
    run(seconds: number, load: number): void {
        this.#seconds = seconds;
        for (let at = 0; at < seconds * 1_000; at += STEP_MS) {
            for (const kind of KINDS) {
                const mean =
                    (kind.perSecond * load * this.#workers * STEP_MS) / (FLOOR_WORKERS * 1_000);
                const count = Math.floor(mean) + (this.#random() < mean % 1 ? 1 : 0);
                for (let i = 0; i < count; i++) {
                    this.#submitJob(kind);
                }
            }
            this.#addTroubles();
            this.#floor.runFor(STEP_MS);
            this.#recordDone();
        }
    }

    /**
     * Tells what became of each queue's jobs, and of its largest tenth and the fifth below it.
     *
     * @returns Three outcomes a queue; jobs of the last seconds are left out, as they had no time to end.
     */
    listOutcomes(): Outcome[] {
        return [...this.#handed].flatMap(([{ queue }, all]) => {
            const owed = all
                .filter(({ at }) => at < this.#seconds * 1_000 - UNCOUNTED_MS)
                .sort((a, b) => b.work - a.work);
            const tenth = Math.ceil(owed.length / 10);
            return [
                this.#summarize(queue.name, owed),
                this.#summarize(`${queue.name}, largest tenth`, owed.slice(0, tenth)),
                this.#summarize(`${queue.name}, fifth below`, owed.slice(tenth, 3 * tenth)),
            ];
        });
    }

    /**
     * Tells what the day's troubles led to.
     *
     * @returns Counts over the whole day.
     */
    describeTroubles(): TroubleReport {
        const failed = [...this.#handed.values()]
            .flat()
            .filter(({ id }) => this.#floor.getState(id) === "failed");
        const givenUp = failed.filter(({ id }) => this.#crashing.has(id)).length;
        const starts = [...this.#crashing].map((id) =>
            this.#floor.countStartsAfterCrashes(`${id}.0.0.0`, 3),
        );
        return {
            crashes: this.#floor.crashes.length,
            crashingJobs: this.#crashing.size,
            givenUp,
            mostStartsAfterThree: Math.max(0, ...starts),
            failedOthers: failed.length - givenUp,
            violations: this.#floor.violations.length,
        };
    }

    #isCrashing(task: string): boolean {
        return this.#crashing.has(task.slice(0, 16)) && task.endsWith(".0.0.0");
    }

    #addTroubles(): void {
        const { crashesPerSecond, roomChangesPerSecond } = this.#troubles;
        const ids = [...this.#floor.workers.keys()];
        const drawWorker = (): WorkerId =>
            ids[Math.floor(this.#drawTrouble() * ids.length)] as WorkerId;
        if (this.#drawTrouble() < (crashesPerSecond * STEP_MS) / 1_000) {
            this.#floor.crashWorker(drawWorker());
        }
        if (this.#drawTrouble() < (roomChangesPerSecond * STEP_MS) / 1_000) {
            const share = this.#drawTrouble();
            const cpu = Math.floor(CAPACITY.cpu * share);
            const memoryMb = Math.floor(CAPACITY.memoryMb * share);
            this.#floor.setCapacity(drawWorker(), { cpu, memoryMb, gpu: 0 });
        }
    }

    #submitJob(kind: Kind): void {
        const id = `${getCode(kind)}${(this.#nextId++).toString(16).padStart(15, "0")}`;
        if (this.#drawTrouble() < this.#troubles.crashingShare) {
            this.#crashing.add(id);
        }
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
        const number = Number.parseInt(worker.slice(1), 10);
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

    #summarize(name: string, jobs: readonly Handed[]): Outcome {
        const took = jobs.map(({ id, at }) => (this.#doneAt.get(id) ?? Infinity) - at);
        const countWithin = (factor: number): number =>
            jobs.filter(({ objectiveMs }, i) => (took[i] ?? 0) <= factor * objectiveMs).length;
        const width = jobs.reduce((sum, { widest }) => sum + widest, 0) / Math.max(1, jobs.length);
        return {
            name,
            jobs: jobs.length,
            width,
            inTime: countWithin(1),
            served: countWithin(LATE_FACTOR),
            medianMs: [...took].sort((a, b) => a - b)[Math.floor(took.length / 2)] ?? 0,
        };
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
    const hash = computeHash(`${step}|${worker}`);
    return (hash % 1_000) / 1_000 < (kind?.goodShare ?? 1);
}
