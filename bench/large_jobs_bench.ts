/**
 * Measures what the largest jobs cost a leader: acceptance, a placement run, a snapshot, the start of
 * the next leader and memory. Run it with `node --expose-gc --import=tsx bench/large_jobs_bench.ts`.
 *
 * @module
 */

import { DEFAULT_WORK_LIMITS, Dispatcher, type Submission } from "../dispatch/mod.ts";
import { buildQueue, buildSpec, buildWorkerReport, POOL, QUEUE } from "../dispatch/_builders.ts";
import { StateStore, type JobId, type JobSpec, type StepSpec, type WorkerId } from "../job/mod.ts";

const WORKERS = 30;
/** Wide jobs of the workload that reaches all bounds. */
const WIDE_JOBS = 2;

interface Workload {
    readonly name: string;
    readonly specs: readonly JobSpec[];
}

function buildChain(length: number, tasksPerStep = 1): Partial<StepSpec>[] {
    return Array.from({ length }, (_none, i) => ({
        count: tasksPerStep,
        after: i === 0 ? [] : [i - 1],
    }));
}

function buildWorkloads(): Workload[] {
    const single = buildSpec({ count: 1 });
    const repeating: JobSpec = { ...single, repeats: 50_000 };
    const buildSmall = (count: number): JobSpec[] => Array.from({ length: count }, () => single);
    return [
        { name: "100,000 tasks in a step", specs: [buildSpec({ count: 100_000 })] },
        { name: "300 steps in a chain", specs: [buildSpec(...buildChain(300))] },
        { name: "both", specs: [buildSpec({ count: 100_000 }), buildSpec(...buildChain(300))] },
        { name: "1,000 steps in a chain", specs: [buildSpec(...buildChain(1_000))] },
        { name: "1,000 steps of 100 tasks", specs: [buildSpec(...buildChain(1_000, 100))] },
        {
            name: "1,000 steps at once",
            specs: [
                buildSpec(
                    ...buildChain(1).concat(Array.from({ length: 999 }, () => ({ count: 1 }))),
                ),
            ],
        },
        { name: "two of 100,000 tasks", specs: [1, 2].map(() => buildSpec({ count: 100_000 })) },
        { name: "50,000 overdue occurrences", specs: [repeating] },
        { name: "5,000 small jobs", specs: buildSmall(5_000) },
        { name: "10,000 small jobs", specs: buildSmall(10_000) },
        { name: "all bounds of open jobs at once", specs: buildFullLoad() },
    ];
}

/** Builds jobs that together hold as many tasks, steps and characters as all open jobs may. */
function buildFullLoad(): JobSpec[] {
    const { maxOpenTasks, maxOpenSteps, maxOpenCharacters } = DEFAULT_WORK_LIMITS;
    const smallCount = maxOpenSteps - WIDE_JOBS;
    const wideTasks = Math.floor((maxOpenTasks - smallCount) / WIDE_JOBS);
    const wide = Array.from({ length: WIDE_JOBS }, () => buildSpec({ count: wideTasks }));
    const payloadLength = Math.floor(maxOpenCharacters / maxOpenSteps) - 20;
    const small = Array.from({ length: smallCount }, (_none, i) => {
        const spec = JSON.parse(JSON.stringify(buildSpec({ count: 1 }))) as JobSpec;
        return { ...spec, payload: String(i).padEnd(payloadLength, "x") };
    });
    return [...wide, ...small];
}

function createDispatcher(stateStore: StateStore): Dispatcher {
    return new Dispatcher({
        stateStore,
        clock: { getNow: () => performance.now(), getWallTimeMs: () => Date.now() },
        firstFence: 1_000_000,
        admission: "forecast",
    });
}

function createStateStore(): StateStore {
    const stateStore = new StateStore();
    const workers = Array.from({ length: WORKERS }, (_none, i) => ({
        type: "workerSeen" as const,
        worker: buildWorkerReport({ id: `w${i}` as WorkerId, address: `10.0.0.${i}:80` }),
    }));
    const configuration = {
        version: 1,
        queues: [buildQueue()],
        pools: [{ name: POOL, hasAdmissionCheck: false, isStandby: false }],
        limits: { maxBodyBytes: 262_144, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
        document: {},
    };
    stateStore.apply({ at: 1, facts: [{ type: "configurationSet", configuration }, ...workers] });
    return stateStore;
}

function measure<T>(run: () => T): { readonly result: T; readonly tookMs: number } {
    const startedAtMs = performance.now();
    const result = run();
    return { result, tookMs: performance.now() - startedAtMs };
}

function readHeapMb(): number {
    globalThis.gc?.();
    return process.memoryUsage().heapUsed / 1_048_576;
}

function runWorkload({ name, specs }: Workload): void {
    const committed = createStateStore();
    const heapBeforeMb = readHeapMb();
    let dispatcher = createDispatcher(committed.copy());
    const submissions = specs.map((spec, i): Submission => {
        const job = i.toString(16).padStart(16, "0") as JobId;
        return { job, queue: QUEUE, pool: POOL, spec };
    });
    const accept = measure(() => submissions.filter((job) => dispatcher.submit(job) !== undefined));
    const { facts } = dispatcher.takeOutput();
    const apply = measure(() => committed.apply({ at: Date.now(), facts }));
    const tick = measure(() => dispatcher.tick());
    committed.apply({ at: Date.now(), facts: dispatcher.takeOutput().facts });
    const place = measure(() => dispatcher.tick());
    committed.apply({ at: Date.now(), facts: dispatcher.takeOutput().facts });
    const encode = measure(() => committed.encode());
    const restore = measure(() => new StateStore().restore(encode.result));
    const lead = measure(() => (dispatcher = createDispatcher(committed.copy())));
    const placeAgain = measure(() => dispatcher.tick());
    const figures = {
        accept: accept.tookMs,
        apply: apply.tookMs,
        firstTick: tick.tookMs,
        laterTick: place.tookMs,
        snapshot: encode.tookMs,
        restore: restore.tookMs,
        leaderStart: lead.tookMs,
        nextTick: placeAgain.tookMs,
    };
    const texts = Object.entries(figures).map(([key, ms]) => `${key} ${ms.toFixed(1)} ms`);
    if (accept.result.length > 0) {
        throw new Error(`${accept.result.length} jobs were refused`);
    }
    const heapMb = readHeapMb() - heapBeforeMb;
    const snapshotMb = encode.result.length / 1_048_576;
    console.log(
        `${name}: ${texts.join(", ")}, snapshot ${snapshotMb.toFixed(1)} MB, heap ${heapMb.toFixed(0)} MB`,
    );
}

const [only] = process.argv.slice(2);
for (const workload of buildWorkloads()) {
    if (only === undefined || workload.name.includes(only)) {
        runWorkload(workload);
    }
}
