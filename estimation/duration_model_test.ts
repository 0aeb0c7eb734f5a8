import test from "ava";
import fc from "fast-check";
import type { PoolName, QueueName } from "../configuration/mod.ts";
import type { JobId, WorkerId } from "../job/mod.ts";
import { createRandom } from "../tools/seeded_random.ts";
import { DurationModel, getMachineKey, type MachineKey } from "./duration_model.ts";

/** Tasks whose estimates are off by 0.2 and 0.9 (standard deviation of the logarithm). */
const QUEUES = [
    { name: "ad-check" as QueueName, workMs: 850, sigma: 0.2 },
    { name: "gallery-render" as QueueName, workMs: 1_900, sigma: 0.9 },
] as const;
const OUTLIER_SHARE = 0.03;
const OUTLIER_FACTOR = 7;

interface LoadOptions {
    readonly seed: number;
    /** Speed of each worker; 1 runs a task in the duration that its work takes. */
    readonly getSpeed: (worker: number, atMs: number) => number;
    readonly workers?: number;
    /** Ends per second for each worker. */
    readonly rate?: number;
    /** Share of the ends that are of the queue with accurate estimates. */
    readonly accurateShare?: number;
    /** Factor by which each queue's estimates are too low. */
    readonly bias?: readonly [number, number];
    readonly isSilent?: (worker: number, atMs: number) => boolean;
}

/** Reports the ends of tasks to a model, which may be asked at any time. */
class Load {
    readonly model = new DurationModel();
    readonly #options: LoadOptions;
    readonly #random: () => number;
    #now = 0;

    constructor(options: LoadOptions) {
        this.#options = options;
        this.#random = createRandom(options.seed * 7_919);
    }

    /** Runs for some virtual time; returns whether the workers were ever taken for unequal. */
    run(ms: number): boolean {
        const { workers = 246, rate = 1, accurateShare = 2 / 3, bias = [1, 1] } = this.#options;
        const untilMs = this.#now + ms;
        let wasUnequal = false;
        for (;;) {
            this.#now -= (Math.log(Math.max(1e-9, this.#random())) * 1_000) / (workers * rate);
            if (this.#now > untilMs) {
                this.#now = untilMs;
                return wasUnequal;
            }
            const index = this.#random() < accurateShare ? 0 : 1;
            const worker = Math.floor(this.#random() * workers);
            const { name, workMs, sigma } = QUEUES[index];
            const factor = this.#random() < OUTLIER_SHARE ? OUTLIER_FACTOR : 1;
            const actualMs = (workMs * factor) / this.#options.getSpeed(worker, this.#now);
            const errorSample = Math.exp(sigma * this.#takeNormalSample());
            if (this.#options.isSilent?.(worker, this.#now) !== true) {
                this.model.recordEnd({
                    queue: name,
                    worker: `w${worker}` as MachineKey,
                    estimateMs: (workMs * errorSample) / bias[index],
                    actualMs,
                    now: this.#now,
                });
            }
            wasUnequal ||= this.model.hasUnequalWorkers();
        }
    }

    getSpeed(worker: number): number {
        return this.model.getWorkerSpeed(`w${worker}` as MachineKey).speed;
    }

    #takeNormalSample(): number {
        const [a, b] = [Math.max(1e-9, this.#random()), this.#random()];
        return Math.sqrt(-2 * Math.log(a)) * Math.cos(2 * Math.PI * b);
    }
}

function computeMean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Two thirds of the workers run at 0.7, one third at 1.7. */
function getUnequalSpeed(worker: number): number {
    return worker % 3 === 2 ? 1.7 : 0.7;
}

const WORKERS = Array.from({ length: 246 }, (_unused, i) => i);
const SLOW_WORKERS = WORKERS.filter((worker) => worker % 3 !== 2);
const FAST_WORKERS = WORKERS.filter((worker) => worker % 3 === 2);

for (const seed of [1, 2, 3]) {
    test(`recovers speeds of 0.7, 0.7 and 1.7 from noisy durations (seed ${seed})`, (t) => {
        // Speeds are relative to the median worker's, 0.7; 1.7 is beyond the range and reads as 2.
        const load = new Load({ seed, getSpeed: getUnequalSpeed });
        load.run(30_000);
        const slow = SLOW_WORKERS.map((worker) => load.getSpeed(worker));
        const fast = FAST_WORKERS.map((worker) => load.getSpeed(worker));
        t.true(Math.abs(computeMean(slow) - 1) < 0.08, `${computeMean(slow)}`);
        t.true(computeMean(fast) > 1.85, `${computeMean(fast)}`);
        t.true(slow.filter((speed) => speed < 1.4).length >= 0.98 * slow.length);
        t.true(fast.filter((speed) => speed > 1.4).length >= 0.98 * fast.length);
        t.true(load.model.hasUnequalWorkers());
        const { median, p80 } = load.model.getQueueRatio(QUEUES[0].name);
        t.true(Math.abs(median - 1 / 0.7) < 0.15, `${median}`);
        t.true(p80 / median > 1.1 && p80 / median < 1.4, `${p80}`);
    });

    test(`a new leader knows within 3 s that workers are unequal (seed ${seed})`, (t) => {
        const load = new Load({ seed, getSpeed: getUnequalSpeed });
        load.run(3_000);
        t.true(load.model.hasUnequalWorkers());
        const slow = computeMean(SLOW_WORKERS.map((worker) => load.getSpeed(worker)));
        const fast = computeMean(FAST_WORKERS.map((worker) => load.getSpeed(worker)));
        t.true(fast / slow > 1.4, `${fast} and ${slow}`);
    });
}

for (const accurateShare of [2 / 3, 0]) {
    test(`workers that are all alike are never taken for unequal (${accurateShare})`, (t) => {
        for (let seed = 1; seed <= 20; seed++) {
            for (const workers of [3, 12, 60]) {
                const load = new Load({ seed, workers, accurateShare, getSpeed: () => 1 });
                t.false(load.run(30_000), `seed ${seed}, ${workers} workers`);
            }
        }
    });
}

test("a queue whose estimates are all too low does not make its workers look slow", (t) => {
    const load = new Load({ seed: 4, getSpeed: () => 1, bias: [1, 3], workers: 60 });
    t.false(load.run(30_000));
    const { median } = load.model.getQueueRatio(QUEUES[1].name);
    t.true(Math.abs(median - 3) < 0.6, `${median}`);
    t.true(Math.abs(load.model.getQueueRatio(QUEUES[0].name).median - 1) < 0.1);
    const speeds = Array.from({ length: 60 }, (_unused, i) => load.getSpeed(i));
    t.true(Math.min(...speeds) > 0.8 && Math.max(...speeds) < 1.25);
});

test("workers with unlike shares of a biased queue look alike, and fast ones don't bias a queue", (t) => {
    const random = createRandom(5);
    const model = new DurationModel();
    const [accurate, biased] = ["a" as QueueName, "b" as QueueName];
    for (let i = 0; i < 60_000; i++) {
        const worker = i % 40;
        // The first workers run mostly the queue whose estimates are too low, and the fast ones too.
        const isBiased = random() < (worker < 20 ? 0.8 : 0.2);
        const speed = worker < 10 ? 1.6 : 1;
        const actualMs = ((isBiased ? 2_500 : 1_000) / speed) * Math.exp(0.4 * (random() - 0.5));
        const queue = isBiased ? biased : accurate;
        const key = `w${worker}` as MachineKey;
        model.recordEnd({ queue, worker: key, estimateMs: 1_000, actualMs, now: i });
    }
    const getSpeed = (worker: number): number =>
        model.getWorkerSpeed(`w${worker}` as MachineKey).speed;
    t.true(Math.abs(getSpeed(0) - 1.6) < 0.15, `${getSpeed(0)}`);
    t.true(Math.abs(getSpeed(15) - 1) < 0.1, `${getSpeed(15)}`);
    t.true(Math.abs(getSpeed(30) - 1) < 0.1, `${getSpeed(30)}`);
    t.true(Math.abs(model.getQueueRatio(accurate).median - 1) < 0.1);
    t.true(Math.abs(model.getQueueRatio(biased).median - 2.5) < 0.25);
});

test("a worker whose reports stop is trusted less and evicted after 120 s", (t) => {
    const load = new Load({
        seed: 6,
        workers: 30,
        getSpeed: getUnequalSpeed,
        isSilent: (worker, atMs) => worker === 2 && atMs > 30_000,
    });
    const getEstimate = (): { speed: number; confidence: number } =>
        load.model.getWorkerSpeed("w2" as MachineKey);
    load.run(30_000);
    const before = getEstimate();
    t.true(before.speed > 1.6 && before.confidence > 0.8);
    load.run(100_000);
    t.true(getEstimate().confidence < before.confidence - 0.1);
    load.run(25_000);
    t.deepEqual(getEstimate(), { speed: 1, confidence: 0 });
    t.is(load.model.size, 29 + QUEUES.length);
});

test("a slow-down that starts and ends is followed", (t) => {
    const load = new Load({
        seed: 7,
        workers: 30,
        rate: 2,
        getSpeed: (worker, atMs) => (worker === 0 && atMs > 40_000 && atMs < 140_000 ? 0.5 : 1),
    });
    load.run(40_000);
    t.true(load.getSpeed(0) > 0.85, `${load.getSpeed(0)}`);
    load.run(100_000);
    t.true(load.getSpeed(0) < 0.65, `${load.getSpeed(0)}`);
    load.run(100_000);
    t.true(load.getSpeed(0) > 0.85, `${load.getSpeed(0)}`);
});

test("one task that takes seven times as long moves a speed no more than a typical one", (t) => {
    const record = (actualMs: number): number => {
        const load = new Load({ seed: 8, workers: 30, getSpeed: getUnequalSpeed });
        load.run(20_000);
        const before = load.getSpeed(0);
        const worker = "w0" as MachineKey;
        const { name: queue } = QUEUES[0];
        const now = 20_300;
        load.model.recordEnd({ queue, worker, estimateMs: 850, actualMs, now });
        return Math.abs(load.getSpeed(0) - before);
    };
    // 0.25 above the usual logarithm is somewhat more than the standard deviation of the queue.
    const [usualMs, typicalMs] = [850 / 0.7, (850 / 0.7) * Math.exp(0.25)];
    t.true(record(OUTLIER_FACTOR * usualMs) <= record(typicalMs) * 1.3 + 0.02);
});

test("a worker that restarts on the same machine keeps its speed", (t) => {
    const [before, after] = ["w1" as WorkerId, "w1#2" as WorkerId];
    t.is(
        getMachineKey({ id: before, instance: "m7" }),
        getMachineKey({ id: after, instance: "m7" }),
    );
    t.not(getMachineKey({ id: before, instance: "" }), getMachineKey({ id: after, instance: "" }));
});

test("speeds are relative to the workers of the same pool", (t) => {
    const model = new DurationModel();
    for (let i = 0; i < 4_000; i++) {
        const isSlowPool = i % 2 === 0;
        model.recordEnd({
            pool: (isSlowPool ? "slow" : "fast") as PoolName,
            queue: (isSlowPool ? "q-slow" : "q-fast") as QueueName,
            worker: `w${i % 20}` as MachineKey,
            estimateMs: 1_000,
            actualMs: isSlowPool ? 2_000 : 500,
            now: i * 5,
        });
    }
    t.false(model.hasUnequalWorkers());
    t.true(Math.abs(model.getWorkerSpeed("w0" as MachineKey).speed - 1) < 0.05);
    t.true(Math.abs(model.getQueueRatio("q-slow" as QueueName).median - 2) < 0.1);
    t.true(Math.abs(model.getQueueRatio("q-fast" as QueueName).median - 0.5) < 0.05);
});

test("several tasks of one job on a worker say no more about its speed than one", (t) => {
    const getConfidence = (job: (i: number) => string): number => {
        const load = new Load({ seed: 9, workers: 10, getSpeed: () => 1 });
        load.run(10_000);
        const worker = "new" as MachineKey;
        for (let i = 0; i < 9; i++) {
            const sample = { queue: QUEUES[1].name, job: job(i) as JobId, now: 10_000 + i };
            load.model.recordEnd({ ...sample, worker, estimateMs: 1_900, actualMs: 1_900 });
        }
        load.run(1_000);
        return load.model.getWorkerSpeed(worker).confidence;
    };
    t.true(getConfidence(() => "one") < 0.5);
    t.true(getConfidence((i) => `job-${i}`) > 0.6);
});

test("estimates stay in range and bounded in number under any reports", (t) => {
    const duration = fc.oneof(
        fc.double(),
        fc.integer({ min: -10, max: 4_000_000 }),
        fc.constantFrom(0, 1, 3_600_000, 3_600_001, Number.NaN, Number.POSITIVE_INFINITY),
    );
    const report = fc.record({
        queue: fc.constantFrom("a" as QueueName, "b" as QueueName),
        worker: fc.constantFrom(...["w1", "w2", "w3", "w4"].map((id) => id as MachineKey)),
        estimateMs: duration,
        actualMs: duration,
        // The clock may stand still or step back.
        now: fc.oneof(fc.integer({ min: 0, max: 500_000 }), fc.constant(Number.NaN)),
    });
    const isBetween = (value: number, min: number, max: number): boolean =>
        value >= min && value <= max;
    fc.assert(
        fc.property(fc.array(report, { maxLength: 200 }), (reports) => {
            const model = new DurationModel();
            reports.forEach((sample) => model.recordEnd(sample));
            const isValid = (durationMs: number): boolean =>
                durationMs > 0 && durationMs <= 3_600_000;
            const invalid = reports.filter(
                ({ estimateMs, actualMs, now }) =>
                    !isValid(estimateMs) || !isValid(actualMs) || Number.isNaN(now),
            );
            const ratios = [...model.listQueueRatios().values()];
            const speeds = ["w1", "w2", "w3", "w4"].map((id) =>
                model.getWorkerSpeed(id as MachineKey),
            );
            return (
                model.ignoredSamples === invalid.length &&
                model.size <= 6 &&
                ratios.every(
                    ({ median, total, p80, samples }) =>
                        isBetween(total, 0.25, 4) &&
                        isBetween(median, 0.25, 4) &&
                        isBetween(p80, 0.25, 4) &&
                        isBetween(samples, 0, reports.length + 1e-6),
                ) &&
                speeds.every(
                    ({ speed, confidence }) =>
                        isBetween(speed, 0.5, 2) && isBetween(confidence, 0, 1),
                )
            );
        }),
    );
    t.pass();
});

test("ratios and speeds are 1 while unknown", (t) => {
    const model = new DurationModel();
    t.deepEqual(model.getQueueRatio("none" as QueueName), {
        median: 1,
        total: 1,
        p80: 1,
        samples: 0,
    });
    t.deepEqual(model.getWorkerSpeed("none" as MachineKey), { speed: 1, confidence: 0 });
    t.false(model.hasUnequalWorkers());
});

test("the total ratio follows the sums, not the single ratios", (t) => {
    // Guards against a forecast that adds up estimates which are off by chance as if they were right:
    // with errors of 0.9, their sum is half as much again as the work.
    const model = new DurationModel();
    const random = createRandom(1);
    for (let i = 0; i < 4_000; i++) {
        const [a, b] = [Math.max(1e-9, random()), random()];
        const normal = Math.sqrt(-2 * Math.log(a)) * Math.cos(2 * Math.PI * b);
        model.recordEnd({
            queue: "diet-check" as QueueName,
            worker: `w${i % 20}` as MachineKey,
            estimateMs: 1_000 * Math.exp(0.9 * normal),
            actualMs: 1_000,
            now: 10 * i,
        });
    }
    const { total } = model.getQueueRatio("diet-check" as QueueName);
    t.true(total > 0.55 && total < 0.8, `${total}`);
});
