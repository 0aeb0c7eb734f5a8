/**
 * Measures the cost of an admission decision on a leader with many busy workers and a backlog, for
 * the first submission in 100 ms, which builds the forecast (with thousands of workers, every
 * eighth or so does), and for further ones.
 *
 * @example
 * ```sh
 * npx tsx bench/admission_bench.ts --workers 300,3000 --backlog 300,3000
 * ```
 *
 * @module
 */

import { parseArgs } from "node:util";
import { build } from "hdr-histogram-js";
import type { AdmissionMode } from "../admission/mod.ts";
import type { QueueName } from "../configuration/mod.ts";
import { buildQueue, buildSpec, buildWorkerReport, POOL, QUEUE } from "../dispatch/_builders.ts";
import { Dispatcher } from "../dispatch/dispatcher.ts";
import { StateStore, type JobId, type JobSpec, type WorkerId } from "../job/mod.ts";
import { createRandom } from "../tools/seeded_random.ts";

const { values } = parseArgs({
    options: {
        workers: { type: "string", default: "300,3000" },
        /** Jobs that wait behind those that fill the workers. */
        backlog: { type: "string", default: "300,3000" },
        seed: { type: "string", default: "1" },
    },
});

/** A forecast is built at most once in this time, in ms; see `dispatch/_submission_admission.ts`. */
const FORECAST_INTERVAL_MS = 100;
const HEARTBEAT_INTERVAL_MS = 1_500;
const MEASURED_INTERVALS = 300;
const DECISIONS_PER_INTERVAL = 10;
const WORKER_CPU = 16_000;

/** One queue's share of the submitted work. */
const TRAFFIC = [
    {
        queue: buildQueue({ name: QUEUE, stretch: 1.5, targetLatencyMs: 300 }),
        share: 0.5,
        count: 3,
        cpu: 2_500,
        taskMs: 850,
        isGang: false,
    },
    {
        queue: buildQueue({
            name: "gangs" as QueueName,
            pathPrefix: "/g/",
            priority: 1,
            stretch: 2.2,
            targetLatencyMs: 1_000,
        }),
        share: 0.25,
        count: 20,
        cpu: 4_500,
        taskMs: 4_200,
        isGang: true,
    },
    {
        queue: buildQueue({
            name: "patient" as QueueName,
            pathPrefix: "/p/",
            priority: 2,
            stretch: 4,
            targetLatencyMs: 3_000,
        }),
        share: 0.25,
        count: 25,
        cpu: 1_700,
        taskMs: 1_900,
        isGang: false,
    },
] as const;
type Traffic = (typeof TRAFFIC)[number];

function buildJob({ count, cpu, taskMs, isGang }: Traffic, random: () => number): JobSpec {
    const estimateMs = taskMs * (0.5 + random());
    return buildSpec({ count, isGang, estimateMs, needs: { cpu, memoryMb: 500, gpu: 0 } });
}

/** A leader whose workers never end their tasks, on a clock that the benchmark advances. */
class BusyLeader {
    readonly dispatcher: Dispatcher;
    readonly #workers: readonly WorkerId[];
    readonly #random = createRandom(Number(values.seed));
    #now = 0;
    #sequence = 0;
    #heartbeatAtMs = Number.NEGATIVE_INFINITY;
    #jobCount = 0;

    constructor(workerCount: number, backlog: number, admission: AdmissionMode) {
        const stateStore = new StateStore();
        const configuration = {
            version: 1,
            queues: TRAFFIC.map(({ queue }) => queue),
            pools: [{ name: POOL, hasAdmissionCheck: false, isStandby: false }],
            limits: { maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
            document: {},
        };
        stateStore.apply({ at: 0, facts: [{ type: "configurationSet", configuration }] });
        this.dispatcher = new Dispatcher({
            stateStore,
            clock: { getNow: () => this.#now, getWallTimeMs: () => this.#now },
            firstFence: 1_000_000,
            admission,
        });
        // Without workers, all jobs are admitted.
        this.#submitJobs(workerCount, backlog);
        this.#workers = Array.from(
            { length: workerCount },
            (_unused, i) => `w${i + 1}` as WorkerId,
        );
        this.advance(1);
        this.dispatcher.placeWaiting();
        this.#confirmStarts();
    }

    #submitJobs(workerCount: number, backlog: number): void {
        let freeCpu = workerCount * WORKER_CPU;
        for (let waiting = 0; waiting < backlog;) {
            const traffic = TRAFFIC[this.#jobCount % TRAFFIC.length] as Traffic;
            this.dispatcher.submit(this.buildSubmission(traffic));
            freeCpu -= traffic.count * traffic.cpu;
            waiting += freeCpu < 0 ? 1 : 0;
        }
    }

    buildSubmission(traffic: Traffic): Parameters<Dispatcher["submit"]>[0] {
        this.#jobCount += 1;
        const job = this.#jobCount.toString(16).padStart(16, "0") as JobId;
        const spec = buildJob(traffic, this.#random);
        return { job, queue: traffic.queue.name, pool: POOL, spec };
    }

    /** Advances the clock; the workers send heartbeats and answer polls meanwhile. */
    advance(ms: number): void {
        this.#now += ms;
        if (this.#now - this.#heartbeatAtMs >= HEARTBEAT_INTERVAL_MS) {
            this.#heartbeatAtMs = this.#now;
            this.#sequence += 1;
            this.#workers.forEach((id, i) => this.#sendHeartbeat(id, i));
        }
        this.dispatcher.takeOutput();
    }

    #sendHeartbeat(id: WorkerId, i: number): void {
        const address = `10.0.${Math.floor(i / 250)}.${i % 250}:80`;
        const capacity = { cpu: WORKER_CPU, memoryMb: 65_536, gpu: 0 };
        const record = buildWorkerReport({ id, address, capacity });
        const clockMs = this.#now;
        const sequence = this.#sequence;
        this.dispatcher.handleHeartbeat({ record, sequence, clockMs, leavesInMs: undefined });
        if (sequence > 1) {
            return;
        }
        const order = this.dispatcher.preparePoll(id, false);
        if (order !== undefined) {
            this.dispatcher.handlePollAnswer(order, this.#now, {
                type: "state",
                incarnation: undefined,
                clockMs,
                running: [],
                ended: [],
            });
        }
    }

    #confirmStarts(): void {
        for (const effect of this.dispatcher.takeOutput().effects) {
            if (effect.type === "start" && this.dispatcher.prepareStart(effect.member)) {
                this.dispatcher.handleStartAnswer(effect.member, { type: "accepted" });
            }
        }
    }
}

function formatMicroseconds(nanoseconds: number): string {
    return `${(nanoseconds / 1_000).toFixed(0)} µs`;
}

function measureDecisions(workers: number, backlog: number, admission: AdmissionMode): void {
    const leader = new BusyLeader(workers, backlog, admission);
    const histograms = { first: build(), further: build() };
    let refusedCount = 0;
    for (let i = 0; i < MEASURED_INTERVALS; i++) {
        leader.advance(FORECAST_INTERVAL_MS);
        for (let k = 0; k < DECISIONS_PER_INTERVAL; k++) {
            const submission = leader.buildSubmission(TRAFFIC[k % TRAFFIC.length] as Traffic);
            const startedAt = process.hrtime.bigint();
            const refusal = leader.dispatcher.submit(submission);
            const tookNs = Number(process.hrtime.bigint() - startedAt);
            (k === 0 ? histograms.first : histograms.further).recordValue(Math.max(1, tookNs));
            refusedCount += refusal === undefined ? 0 : 1;
        }
    }
    const describe = (histogram: typeof histograms.first): string =>
        [50, 99]
            .map((p) => `p${p} ${formatMicroseconds(histogram.getValueAtPercentile(p))}`)
            .join(", ");
    process.stdout.write(
        `${workers} workers, ${backlog} waiting jobs, admission ${admission}, ` +
            `${refusedCount} of ${MEASURED_INTERVALS * DECISIONS_PER_INTERVAL} refused: ` +
            `first in 100 ms ${describe(histograms.first)}; further ${describe(histograms.further)}\n`,
    );
}

const backlogs = values.backlog.split(",").map(Number);
for (const [i, workers] of values.workers.split(",").map(Number).entries()) {
    for (const admission of ["off", "forecast"] as const) {
        measureDecisions(workers, backlogs[i] ?? 0, admission);
    }
}
