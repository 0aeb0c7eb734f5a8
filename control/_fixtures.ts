/**
 * Test fixtures: control instances and a front on loopback with simulated workers and a simulated
 * advice service, all in one process.
 *
 * @example
 * ```ts
 * import { ClusterFixture } from "./_fixtures.ts";
 * const cluster = await ClusterFixture.start({ memberCount: 3, workerCount: 4 });
 * await cluster.stop();
 * ```
 *
 * @module
 */

import { mkdtempSync, rmSync } from "node:fs";
import { createServer, type AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { Logger } from "winston";
import type { AdmissionMode } from "../admission/mod.ts";
import type { ControlMetrics } from "../telemetry/control_metrics.ts";
import { createLogger, LogSink } from "../telemetry/mod.ts";
import type { Configuration, QueueConfig } from "../configuration/mod.ts";
import { buildQueue, buildWorkerReport, POOL } from "../dispatch/_fixtures.ts";
import type { OrderAnswer, PollAnswer, PollOrder, StartOrder } from "../dispatch/mod.ts";
import { FrontDaemon } from "../front/mod.ts";
import { StateStore, type Incarnation, type WorkerId } from "../job/mod.ts";
import type { ConsensusTimings } from "../log/mod.ts";
import { TaskWorker } from "../standin/task_worker.ts";
import { AccessControl } from "../workspace/mod.ts";
import type { AdviseAnswer, WorkerCalls } from "./calls.ts";
import { ControlDaemon } from "./daemon.ts";
import { Leadership } from "./leadership.ts";
import { StateReader } from "./state_reader.ts";

/** Options of {@link ClusterFixture}. */
export interface ClusterOptions {
    readonly memberCount: number;
    readonly workerCount: number;
    readonly taskMs?: number;
    /** The consensus timings; by default those of a small group. */
    readonly timings?: ConsensusTimings;
    /** The number of members that are seeds at first; all by default. */
    readonly seedCount?: number;
    /** How many members may fail at once; 1 by default. */
    readonly toleratedFailures?: number;
    /** Delivers a start order; by default the worker answers at once. */
    readonly sendStart?: (order: StartOrder, worker: TaskWorker) => Promise<OrderAnswer>;
}

/** How often a simulated worker checks for ended tasks during a long poll, in ms. */
const WORKER_POLL_INTERVAL_MS = 10;
const CONDITION_POLL_INTERVAL_MS = 25;

/** A cluster in one process. */
export class ClusterFixture {
    readonly daemons = new Map<string, ControlDaemon>();
    readonly workers = new Map<WorkerId, TaskWorker>();
    readonly startedTasks: string[] = [];
    readonly #dir = mkdtempSync(join(tmpdir(), "poplarhead-control-"));
    readonly #addresses: readonly string[];
    /** The seeds of the settings; a test may replace them. */
    seeds: readonly string[];
    /** The log output of all processes. */
    readonly logLines: string[] = [];
    readonly #options: ClusterOptions;
    readonly #frontAddress: string;
    front: FrontDaemon;
    #heartbeatTimer: NodeJS.Timeout | undefined;
    #sequence = 0;

    private constructor(options: ClusterOptions, addresses: readonly string[]) {
        this.#options = options;
        this.#addresses = addresses.slice(0, options.memberCount);
        this.seeds = this.#addresses.slice(0, options.seedCount);
        this.#frontAddress = addresses[options.memberCount] ?? "";
        this.front = this.#createFront();
    }

    /** Starts a cluster. */
    static async start(options: ClusterOptions): Promise<ClusterFixture> {
        const addresses = await Promise.all(
            Array.from({ length: options.memberCount + 1 }, () => findFreeAddress()),
        );
        const cluster = new ClusterFixture(options, addresses);
        for (let i = 0; i < options.workerCount; i++) {
            cluster.#addWorker(`w${i + 1}` as WorkerId);
        }
        await Promise.all(cluster.#addresses.map((address) => cluster.startMember(address, true)));
        await cluster.front.start();
        cluster.#heartbeatTimer = setInterval(() => void cluster.#sendHeartbeats(), 200);
        return cluster;
    }

    /** Starts or restarts a member on its data folder. */
    async startMember(address: string, bootstrap = false): Promise<void> {
        const daemon = new ControlDaemon({
            address,
            publicAddress: address,
            zone: "z",
            listSeeds: () => this.seeds,
            bootstrap,
            dataDir: this.getDataDir(address),
            toleratedFailures: this.#options.toleratedFailures ?? 1,
            timings: this.#options.timings,
            workerCalls: this.#createWorkerCalls(),
            log: this.#createLog(address),
        });
        await daemon.start();
        this.daemons.set(address, daemon);
    }

    /** Replaces the front by a new process, which knows only the seeds. */
    async replaceFront(): Promise<void> {
        await this.front.stop();
        this.front = this.#createFront();
        await this.front.start();
    }

    /** Stops a member; `wipe` also deletes its data folder. */
    async stopMember(address: string, wipe = false): Promise<void> {
        await this.daemons.get(address)?.stop();
        this.daemons.delete(address);
        if (wipe) {
            rmSync(this.getDataDir(address), { recursive: true });
        }
    }

    /** Returns the data folder of a member. */
    getDataDir(address: string): string {
        return join(this.#dir, address.replace(":", "-"));
    }

    /** The addresses of all members, running or not. */
    get addresses(): readonly string[] {
        return this.#addresses;
    }

    /** Waits for a leader and returns its address. */
    async waitForLeader(): Promise<string> {
        let found: string | undefined;
        await waitUntil(() => {
            found = [...this.daemons].find(([, daemon]) => daemon.isServing)?.[0];
            return found !== undefined;
        });
        return found ?? "";
    }

    /** Stops all processes and deletes the data folders. */
    async stop(): Promise<void> {
        clearInterval(this.#heartbeatTimer);
        await this.front.stop();
        await Promise.all([...this.daemons.values()].map((daemon) => daemon.stop()));
        rmSync(this.#dir, { recursive: true });
    }

    #createFront(): FrontDaemon {
        return new FrontDaemon({
            address: this.#frontAddress,
            zone: "z",
            listSeeds: () => this.seeds,
            toleratedFailures: this.#options.toleratedFailures,
            adviceCalls: {
                advise: (call) =>
                    Promise.resolve(call.workers.map((worker) => ({ worker, ticket: "t" }))),
            },
            log: this.#createLog("front"),
        });
    }

    #addWorker(id: WorkerId): void {
        const worker = new TaskWorker({
            id,
            capacity: { cpu: 16_000, memoryMb: 32_000, gpu: 0 },
            getNow: () => performance.now(),
            computeTaskMs: () => this.#options.taskMs ?? 100,
            getDemand: () => ({ cpu: 1_000, memoryMb: 1_000, gpu: 0 }),
            onStart: (run) => this.startedTasks.push(run.task),
        });
        this.workers.set(id, worker);
    }

    async #sendHeartbeats(): Promise<void> {
        this.#sequence += 1;
        const daemon = [...this.daemons.values()][0];
        for (const [id, worker] of this.workers) {
            const record = buildWorkerReport({ id, address: `${id}:80` });
            // Without a leader the heartbeat fails; the next one tries again.
            await daemon
                ?.handleHeartbeat({
                    record,
                    sequence: this.#sequence,
                    clockMs: worker.clockMs,
                    leavesInMs: undefined,
                })
                .catch(() => {});
        }
    }

    #createLog(name: string): Logger {
        const sink = new LogSink({
            writeBytes: (_fd, bytes, done) => {
                this.logLines.push(bytes.toString("utf8"));
                done(null, bytes.length);
            },
        });
        return createLogger({ process: name, zone: "z", sink });
    }

    #createWorkerCalls(): WorkerCalls {
        const find = (id: WorkerId): TaskWorker => this.workers.get(id) as TaskWorker;
        return {
            start: (order): Promise<OrderAnswer> => {
                const worker = find(order.worker);
                return (
                    this.#options.sendStart?.(order, worker) ?? Promise.resolve(worker.start(order))
                );
            },
            stop: (order): Promise<OrderAnswer> => Promise.resolve(find(order.worker).stop(order)),
            pace: (): Promise<OrderAnswer> => Promise.resolve({ type: "accepted" }),
            poll: (order): Promise<PollAnswer> => waitForEnd(find(order.worker), order),
        };
    }
}

/** Options of {@link buildLeadership}. */
export interface LeadershipFixtureOptions {
    readonly waitForLease: () => Promise<boolean>;
    /** Called with the name of each task whose start order reaches its worker. */
    readonly onStart: (task: string) => void;
    /** Called for each poll that reaches the worker. */
    readonly onPoll?: (order: PollOrder) => void;
    /** Called with log lines. */
    readonly onLogLines: (lines: string) => void;
    /** Whether jobs are refused by a forecast; `off` by default. */
    readonly admission?: AdmissionMode;
    readonly isSubmissionBounded?: boolean;
    readonly metrics?: ControlMetrics;
    /** The state of an earlier leadership; by default one with a configuration and a worker. */
    readonly committedState?: StateStore;
    /** The term; 1 by default. */
    readonly term?: number;
    /** Fields that differ from a queue without advice; ignored with a state. */
    readonly queue?: Partial<QueueConfig>;
    /** The worker's incarnation; none by default. */
    readonly incarnation?: Incarnation;
    /** Called before each commit, which waits for the result; by default commits are immediate. */
    readonly waitForCommit?: () => Promise<void>;
    /** Replaces calls to the worker. */
    readonly workerCalls?: Partial<WorkerCalls>;
    /** Calls the advice service, which by default does not answer. */
    readonly advise?: () => Promise<AdviseAnswer>;
}

/**
 * Builds a leadership without a group, with a worker that answers every order at once.
 *
 * @param options Lease and callbacks; see {@link LeadershipFixtureOptions}.
 * @returns The leadership, its committed state, and the sink of its log.
 */
export function buildLeadership(options: LeadershipFixtureOptions): {
    readonly leadership: Leadership;
    readonly committedState: StateStore;
    readonly sink: LogSink;
} {
    const worker = buildWorkerReport({ incarnation: options.incarnation });
    const committedState = options.committedState ?? new StateStore();
    if (options.committedState === undefined) {
        const configuration = { ...buildConfiguration(1), queues: [buildQueue(options.queue)] };
        committedState.apply({
            at: 0,
            facts: [
                { type: "configurationSet", configuration },
                { type: "workerSeen", worker },
            ],
        });
    }
    const sink = new LogSink({
        writeBytes: (_fd, bytes, done) => {
            options.onLogLines(bytes.toString("utf8"));
            done(null, bytes.length);
        },
    });
    const leadership = new Leadership({
        committedState,
        stateReader: new StateReader(committedState),
        accessControl: new AccessControl(),
        propose: async (batch) => {
            await options.waitForCommit?.();
            committedState.apply(batch);
        },
        waitForLease: options.waitForLease,
        term: options.term ?? 1,
        clock: { getNow: () => performance.now(), getWallTimeMs: () => Date.now() },
        workerCalls: { ...createImmediateWorkerCalls(options), ...options.workerCalls },
        advise: options.advise ?? (() => Promise.resolve({ admissions: undefined })),
        admission: options.admission,
        isSubmissionBounded: options.isSubmissionBounded,
        metrics: options.metrics,
        log: createLogger({ process: "c1", zone: "z", sink }),
    });
    void leadership.handleHeartbeat({
        record: worker,
        sequence: 1,
        clockMs: undefined,
        leavesInMs: undefined,
    });
    return { leadership, committedState, sink };
}

function createImmediateWorkerCalls({
    onStart,
    onPoll,
}: Pick<LeadershipFixtureOptions, "onStart" | "onPoll">): WorkerCalls {
    const accepted: OrderAnswer = { type: "accepted" };
    return {
        start: ({ task }) => {
            onStart(task);
            return Promise.resolve(accepted);
        },
        stop: () => Promise.resolve(accepted),
        pace: () => Promise.resolve(accepted),
        poll: (order) => {
            onPoll?.(order);
            const clockMs = Math.round(performance.now());
            return Promise.resolve({
                type: "state",
                incarnation: undefined,
                clockMs,
                running: [],
                ended: [],
            });
        },
    };
}

/**
 * Builds a configuration with one urgent queue that uses advice.
 *
 * @param version The version.
 * @returns The configuration.
 */
export function buildConfiguration(version: number): Configuration {
    return {
        version,
        queues: [buildQueue({ advice: { decideMs: 1, perWorkerMs: 0, validMs: 2_000 } })],
        pools: [{ name: POOL, hasAdmissionCheck: false, isStandby: false }],
        limits: { maxBodyBytes: 262_144, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
        document: { version },
    };
}

/**
 * Waits until a condition holds.
 *
 * @param isMet Returns whether it holds.
 * @throws {Error} If it does not hold within 15 s.
 */
export async function waitUntil(isMet: () => boolean | Promise<boolean>): Promise<void> {
    const deadlineMs = performance.now() + 15_000;
    while (!(await isMet())) {
        if (performance.now() > deadlineMs) {
            throw new Error("condition not met within 15 s");
        }
        await new Promise((resolve) => setTimeout(resolve, CONDITION_POLL_INTERVAL_MS));
    }
}

async function waitForEnd(worker: TaskWorker, order: PollOrder): Promise<PollAnswer> {
    const deadlineMs = performance.now() + order.waitMs;
    for (;;) {
        const answer = worker.poll(order);
        const hasEnds = answer.type === "state" && answer.ended.length > 0;
        if (hasEnds || performance.now() >= deadlineMs) {
            return answer;
        }
        await new Promise((resolve) => setTimeout(resolve, WORKER_POLL_INTERVAL_MS));
    }
}

function findFreeAddress(): Promise<string> {
    return new Promise((resolve) => {
        const server = createServer();
        server.listen(0, "127.0.0.1", () => {
            const { port } = server.address() as AddressInfo;
            server.close(() => resolve(`127.0.0.1:${port}`));
        });
    });
}
