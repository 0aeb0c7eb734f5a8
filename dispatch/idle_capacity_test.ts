import test from "ava";
import fc from "fast-check";
import type { AdmissionMode } from "../admission/mod.ts";
import type { QueueName } from "../configuration/mod.ts";
import type { Job, JobId, Resources, StepSpec } from "../job/mod.ts";
import { buildJobIds, buildQueue, buildSpec, SimulatedCluster } from "./_fixtures.ts";
import { countFittingTasks } from "./placement.ts";

const GANG_QUEUE = "composites" as QueueName;
const SMALL_QUEUE = "previews" as QueueName;
const CAPACITY = { cpu: 16_000, memoryMb: 65_536, gpu: 0 };
const SMALL_NEEDS = { cpu: 1_700, memoryMb: 3_600, gpu: 0 };
/** The time for which a job may have nothing running beside idle capacity, in ms. */
const MAX_IDLE_MS = 3_000;
const TIME_STEP_MS = 50;
const OBSERVED_MS = 20_000;

/** A job and how long its tasks take, whatever their estimate is. */
interface SimulatedJob {
    readonly step: Partial<StepSpec>;
    readonly taskMs: number;
}

interface Scenario {
    readonly workers: number;
    /** Jobs that run before the gangs and the small jobs are submitted. */
    readonly blockers: readonly SimulatedJob[];
    readonly gangs: readonly SimulatedJob[];
    readonly small: readonly SimulatedJob[];
    readonly admission: AdmissionMode;
    readonly hasAdvice: boolean;
}

const WIDE_GANG: SimulatedJob = {
    step: {
        count: 16,
        needs: { cpu: 7_600, memoryMb: 9_100, gpu: 0 },
        estimateMs: 4_200,
        isGang: true,
    },
    taskMs: 4_200,
};
const SMALL_JOB: SimulatedJob = {
    step: { count: 2, needs: SMALL_NEEDS, estimateMs: 1_000 },
    taskMs: 1_000,
};

function buildScenario(fields: Partial<Scenario>): Scenario {
    return {
        workers: 8,
        blockers: [],
        gangs: [WIDE_GANG],
        small: [SMALL_JOB, SMALL_JOB, SMALL_JOB],
        admission: "off",
        hasAdvice: false,
        ...fields,
    };
}

function buildLastingJob(needs: Resources = SMALL_NEEDS): SimulatedJob {
    return { step: { needs, isPerpetual: true }, taskMs: Number.POSITIVE_INFINITY };
}

function buildLongJob(estimateMs: number, fields: Partial<StepSpec> = {}): SimulatedJob {
    return { step: { needs: SMALL_NEEDS, estimateMs, ...fields }, taskMs: 100_000 };
}

/** Measures how long open jobs have nothing running while there is capacity for them. */
class IdleCapacityMeter {
    readonly #cluster: SimulatedCluster;
    readonly #idleMs = new Map<JobId, number>();
    longestIdleMs = 0;

    constructor(cluster: SimulatedCluster) {
        this.#cluster = cluster;
    }

    runFor(ms: number): void {
        for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += TIME_STEP_MS) {
            this.#cluster.runFor(TIME_STEP_MS);
            for (const job of this.#cluster.committedState.jobs.values()) {
                const idleMs = this.#isIdle(job)
                    ? (this.#idleMs.get(job.id) ?? 0) + TIME_STEP_MS
                    : 0;
                this.#idleMs.set(job.id, idleMs);
                this.longestIdleMs = Math.max(this.longestIdleMs, idleMs);
            }
        }
    }

    /** Whether a job has nothing running, there is twice the capacity for it and low use. */
    #isIdle(job: Job): boolean {
        const [step] = job.spec?.steps ?? [];
        if (job.endedAt !== undefined || step === undefined) {
            return false;
        }
        let [usedCpu, slots] = [0, 0];
        for (const worker of this.#cluster.workers.values()) {
            if (worker.runs.some(({ task }) => task.startsWith(job.id))) {
                return false;
            }
            usedCpu += worker.used.cpu;
            const { cpu, memoryMb } = worker.used;
            const free = {
                cpu: CAPACITY.cpu - cpu,
                memoryMb: CAPACITY.memoryMb - memoryMb,
                gpu: 0,
            };
            const limit = step.maxPerWorker > 0 ? step.maxPerWorker : Number.POSITIVE_INFINITY;
            slots += Math.min(limit, countFittingTasks(free, step.needs));
        }
        const capacityCpu = this.#cluster.workers.size * CAPACITY.cpu;
        return usedCpu < capacityCpu / 2 && slots >= 2 * (step.isGang ? step.count : 1);
    }
}

/** Runs a scenario and returns the longest time for which a job was idle beside idle capacity. */
function measureIdleMs(scenario: Scenario): { longestIdleMs: number; cluster: SimulatedCluster } {
    const advice = { decideMs: 200, perWorkerMs: 5, validMs: 2_500 };
    const fields = { advice: scenario.hasAdvice ? advice : undefined, stretch: 2.2 };
    const taskMs = new Map<string, number>();
    const cluster = new SimulatedCluster({
        workers: scenario.workers,
        capacity: CAPACITY,
        admission: scenario.admission,
        computeTaskMs: (task) => taskMs.get(task.split(".")[0] ?? "") ?? 0,
        queues: [
            buildQueue({ ...fields, name: GANG_QUEUE, pathPrefix: "/g/", priority: 1 }),
            buildQueue({ ...fields, name: SMALL_QUEUE, pathPrefix: "/s/", priority: 2 }),
        ],
    });
    const ids = buildJobIds(50);
    const submit = (jobs: readonly SimulatedJob[], queue: QueueName): void => {
        for (const job of jobs) {
            const id = ids.pop() ?? "";
            taskMs.set(id, job.taskMs);
            cluster.submit(id, buildSpec(job.step), queue);
        }
    };
    const meter = new IdleCapacityMeter(cluster);
    cluster.runFor(500);
    submit(scenario.blockers, SMALL_QUEUE);
    cluster.runFor(2_000);
    submit(scenario.gangs, GANG_QUEUE);
    cluster.runFor(1_000);
    submit(scenario.small, SMALL_QUEUE);
    meter.runFor(OBSERVED_MS);
    return { longestIdleMs: meter.longestIdleMs, cluster };
}

// Guards against a gang that keeps workers idle for a start that can't come.
const BLOCKERS: readonly (readonly [string, SimulatedJob])[] = [
    ["a task without an end", buildLastingJob()],
    [
        "a task without an end that holds memory",
        buildLastingJob({ ...SMALL_NEEDS, memoryMb: 60_000 }),
    ],
    ["a long task", buildLongJob(100_000)],
    ["a long task with a low estimate", buildLongJob(1_000)],
    ["a long task with no estimate", buildLongJob(0)],
    ["a long task with checkpoints", buildLongJob(100_000, { savesProgress: true })],
    ["a gang of long tasks", buildLongJob(1_000, { isGang: true, count: 2 })],
];
const SMALL_DURATIONS_MS = [1_000, 5_000, 30_000];
for (const [title, blocker] of BLOCKERS) {
    test(`small jobs don't wait beside idle workers while a gang waits for ${title}`, (t) => {
        for (const durationMs of SMALL_DURATIONS_MS) {
            const step = { ...SMALL_JOB.step, estimateMs: durationMs };
            const small = Array.from({ length: 3 }, () => ({ step, taskMs: durationMs }));
            const scenario = buildScenario({ blockers: [blocker], small });
            const { longestIdleMs, cluster } = measureIdleMs(scenario);
            t.true(longestIdleMs < MAX_IDLE_MS, `${longestIdleMs} ms for ${durationMs} ms`);
            t.deepEqual(cluster.violations, []);
        }
    });
}

// Guards against a lasting task that waits for a gang although the pool is mostly in use.
test("a lasting task doesn't wait behind a gang on a busy pool", (t) => {
    const busy = buildLongJob(1_000, { count: 5, needs: { ...SMALL_NEEDS, cpu: 15_000 } });
    const { cluster } = measureIdleMs(
        buildScenario({ blockers: [busy], small: [buildLastingJob()] }),
    );
    const lasting = cluster.runs.filter(({ startedAtMs }) => startedAtMs > 3_400);
    t.true((lasting[0]?.startedAtMs ?? Number.POSITIVE_INFINITY) < 3_500 + MAX_IDLE_MS);
    t.deepEqual(cluster.violations, []);
});

const randomTaskMs = fc.constantFrom(500, 2_000, 8_000, 100_000);
const randomJob = fc
    .record({
        count: fc.integer({ min: 1, max: 6 }),
        cpu: fc.constantFrom(100, 1_700, 4_500, 7_600, 15_000),
        memoryMb: fc.constantFrom(500, 9_100, 30_000, 60_000),
        estimateMs: fc.constantFrom(0, 500, 2_000, 8_000, 100_000),
        taskMs: randomTaskMs,
        isGang: fc.boolean(),
        savesProgress: fc.boolean(),
        isPerpetual: fc.boolean(),
        maxPerWorker: fc.constantFrom(0, 0, 1, 2),
    })
    .map(({ cpu, memoryMb, taskMs, isPerpetual, isGang, ...fields }) => ({
        step: {
            ...fields,
            needs: { cpu, memoryMb, gpu: 0 },
            isPerpetual,
            isGang: isGang && !isPerpetual,
        },
        taskMs: isPerpetual ? Number.POSITIVE_INFINITY : taskMs,
    }));
const randomScenario: fc.Arbitrary<Scenario> = fc.record({
    workers: fc.integer({ min: 2, max: 6 }),
    blockers: fc.array(randomJob, { maxLength: 3 }),
    gangs: fc.array(
        randomJob.map(({ step, taskMs }) => ({
            step: { ...step, isGang: true, isPerpetual: false, count: 2 * (step.count ?? 1) },
            taskMs: Math.min(taskMs, 100_000),
        })),
        { maxLength: 4 },
    ),
    small: fc.array(
        randomJob.map(({ step, taskMs }) => ({ step: { ...step, isGang: false }, taskMs })),
        { minLength: 1, maxLength: 4 },
    ),
    admission: fc.constantFrom("off", "forecast"),
    hasAdvice: fc.boolean(),
});

// Guards against other ways in which a job waits beside idle workers.
test("no job has nothing running for 3 s beside twice its capacity on a mostly idle pool", (t) => {
    fc.assert(
        fc.property(randomScenario, (scenario) => {
            const { longestIdleMs, cluster } = measureIdleMs(scenario);
            t.deepEqual(cluster.violations, []);
            return longestIdleMs < MAX_IDLE_MS;
        }),
        { numRuns: 150 },
    );
});
