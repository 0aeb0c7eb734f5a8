/**
 * A simulated cluster in virtual time: one dispatcher, stub workers, and injected faults such as
 * slow commits, lost or delayed orders, worker crashes and leader changes. Safety invariants are
 * checked throughout each run.
 *
 * @example
 * ```ts
 * import { buildSpec, SimulatedCluster } from "./_fixtures.ts";
 * const cluster = new SimulatedCluster({ workers: 4 });
 * cluster.submit("00000000000000a1", buildSpec({ count: 2 }));
 * cluster.runFor(3_000);
 * ```
 *
 * @module
 */

import type { AdmissionMode } from "../admission/mod.ts";
import type { Configuration, QueueConfig, QueueName } from "../configuration/mod.ts";
import type { DurationModel } from "../estimation/mod.ts";
import {
    StateStore,
    type Incarnation,
    type MemberOutcome,
    type JobId,
    type JobSpec,
    type Resources,
    type WorkerId,
    type WorkerReport,
} from "../job/mod.ts";
import type { WorkspaceConfig, WorkspaceName } from "../workspace/mod.ts";
import { TaskWorker, type TaskRun } from "../standin/task_worker.ts";
import { VirtualTime } from "../standin/virtual_time.ts";
import { buildQueue, POOL, QUEUE } from "./_builders.ts";
import { Dispatcher, type DispatcherOptions, type SubmissionRefusal } from "./dispatcher.ts";
import { isIndependent } from "./effect_kind.ts";
import { InvariantChecker, type CrashRecord, type RunRecord } from "./_invariant_checker.ts";
import type {
    AdviceCall,
    DispatchOutput,
    Effect,
    FrontId,
    Heartbeat,
    PollAnswer,
    OrderAnswer,
} from "./types.ts";

export * from "./_builders.ts";

const COMMIT_DELAY_MS = 12;
const NETWORK_DELAY_MS = 1;
const POLL_INTERVAL_MS = 50;
const TICK_INTERVAL_MS = 100;
const ORDER_TIMEOUT_MS = 400;
/** Time added to a poll's own wait before the poll times out, in ms. */
const POLL_TIMEOUT_MARGIN_MS = 500;
const FENCES_PER_TERM = 1_000_000;
const HEARTBEAT_INTERVAL_MS = 1_500;
const DEFAULT_RESTART_DELAY_MS = 3_300;

/** Options of {@link SimulatedCluster}. */
export interface SimulatedClusterOptions {
    readonly workers: number;
    readonly seed?: number;
    readonly capacity?: Resources;
    readonly taskMs?: number;
    /** Returns a task's run time, in ms; overrides `taskMs`. */
    readonly computeTaskMs?: (task: string, worker: WorkerId) => number;
    /** Whether invariants are checked after each event (default); off in large benchmarks. */
    readonly hasInvariantChecks?: boolean;
    /** Returns overrides of the default worker report, by worker number from 1. */
    readonly getWorkerOverrides?: (number: number) => Partial<WorkerReport>;
    /** Returns the latency of the next commit, in ms. */
    readonly computeCommitDelayMs?: () => number;
    /**
     * Time that the leader spends on each heartbeat, answer, tick and effect, in ms; they wait for
     * each other. 0 by default.
     */
    readonly leaderCostMs?: number;
    /** Number of fronts that call the advice service. */
    readonly fronts?: number;
    /** Fraction by which the workers' clocks run slow; 0 by default. */
    readonly clockDrift?: number;
    readonly queues?: readonly QueueConfig[];
    /** Workspaces of the first configuration; none by default. */
    readonly workspaces?: readonly WorkspaceConfig[];
    /** Whether the leader decides about submissions by a forecast; `off` by default. */
    readonly admission?: AdmissionMode;
    /** Returns the latency of the next order or answer, in ms; they may overtake each other. */
    readonly computeNetworkDelayMs?: () => number;
    /** Returns the fault to inject into an order. */
    readonly getFault?: (kind: "start" | "stop" | "look", worker: WorkerId) => OrderFault;
    readonly getOutcome?: (task: string, worker: WorkerId) => MemberOutcome;
    /**
     * Returns the delay from a task's start until it crashes its worker, in ms; `undefined` if it
     * does not.
     */
    readonly getCrashAfterMs?: (task: string, worker: WorkerId) => number | undefined;
    /** Delay after a crash before the next incarnation joins at the same address, in ms. */
    readonly restartDelayMs?: number;
    /** Whether a crashed worker restarts under the same id; by default it gets a new one. */
    readonly isIdKept?: boolean;
    /** Returns the tail latency that a serving task reports, in ms. */
    readonly getTailLatencyMs?: (task: string) => number;
    /** Creates the duration model of each leader. */
    readonly createDurationModel?: () => DurationModel;
    /** Returns whether the advice service admits a worker to a step. */
    readonly isAdmitted?: (step: string, worker: WorkerId) => boolean;
    /** Options of each leader's dispatcher beyond the state and the clocks. */
    readonly dispatcherOptions?: Partial<DispatcherOptions>;
}

/** A network fault injected into an order. */
export type OrderFault =
    | { readonly type: "none" }
    /** The order is dropped and the sender times out. */
    | { readonly type: "lost" }
    /** The connection is refused, so the sender knows that the order was not delivered. */
    | { readonly type: "refused" }
    /** The sender times out, but the worker executes the order after `afterMs`. */
    | { readonly type: "late"; readonly afterMs: number };

const NO_FAULT: OrderFault = { type: "none" };

/** A leader's output that has not been carried out yet. */
interface PendingOutput extends DispatchOutput {
    readonly recordedAtMs: number;
    isCommitted: boolean;
}

/** A dispatcher and its workers, simulated in virtual time. */
export class SimulatedCluster {
    readonly #options: SimulatedClusterOptions;
    readonly committedState = new StateStore();
    readonly workers = new Map<WorkerId, TaskWorker>();
    /** The latest refusal of each refused submission, by job. */
    readonly refusals = new Map<string, SubmissionRefusal>();
    /** Pace orders sent so far. */
    readonly paceOrders: { task: string; percent: number; atMs: number }[] = [];
    readonly #invariants = new InvariantChecker({
        workers: this.workers,
        getNow: () => this.now,
        getMaxAttempts: (task) => this.#getMaxAttempts(task),
        getWorkspace: (task) => this.#getWorkspace(task),
    });
    readonly #addresses = new Map<WorkerId, string>();
    readonly #workersWithoutHeartbeats = new Set<WorkerId>();
    readonly #isolatedWorkers = new Set<WorkerId>();
    #hasLeader = true;
    #incarnationCount = 0;
    #configurationVersion = 1;
    #leaderBusyUntilMs = 0;
    readonly #records = new Map<WorkerId, WorkerReport>();
    readonly #shutdownTimesMs = new Map<WorkerId, number>();
    readonly #watchedWorkers = new Set<WorkerId>();
    readonly #time = new VirtualTime();
    #heartbeatSequence = 0;
    /** Value of {@link SimulatedCluster.#heartbeatSequence} when each worker started. */
    readonly #firstSequences = new Map<WorkerId, number>();
    #term = 1;
    /** Incremented when a leader stops; answers of earlier epochs are dropped. */
    #epoch = 0;
    /** The leader's outputs in the order in which they were proposed. */
    #pendingOutputs: PendingOutput[] = [];
    dispatcher: Dispatcher;

    /**
     * @param options Cluster size, faults and task behaviour; see {@link SimulatedClusterOptions}.
     */
    constructor(options: SimulatedClusterOptions) {
        this.#options = options;
        const configuration = this.#buildConfiguration(options.workspaces);
        this.#invariants.recordWorkspaces(options.workspaces ?? []);
        this.committedState.apply({ at: 0, facts: [{ type: "configurationSet", configuration }] });
        this.dispatcher = this.#createDispatcher();
        for (let i = 0; i < options.workers; i++) {
            this.addWorker(`w${i + 1}` as WorkerId, `10.0.0.${i + 1}:80`);
        }
        this.#scheduleEvent(0, () => this.#tick());
        this.#scheduleEvent(0, () => this.#sendHeartbeats());
        this.dispatcher.setFronts(this.#listFronts());
    }

    /** Adds a worker and kills the one that had the same address, if any. */
    addWorker(id: WorkerId, address: string): void {
        for (const [other, record] of this.#records) {
            if (record.address === address) {
                this.killWorker(other);
            }
        }
        const { capacity = { cpu: 16_000, memoryMb: 32_000, gpu: 0 } } = this.#options;
        const record = {
            id,
            incarnation: this.#createIncarnation(),
            address,
            pool: POOL,
            zone: "hall-a",
            capacity,
            labels: ["a", "r1"],
            instance: "",
            isDraining: false,
            ...this.#options.getWorkerOverrides?.(Number(id.slice(1))),
        };
        this.#addIncarnation(record);
    }

    #addIncarnation(record: WorkerReport): void {
        const { id, address, capacity } = record;
        this.#records.set(id, record);
        this.#addresses.set(id, address);
        this.#firstSequences.set(id, this.#heartbeatSequence);
        this.#invariants.recordCapacity(id, capacity);
        this.workers.set(id, this.#createWorker(record));
    }

    /** Creates a value for a worker that starts now, if the workers report their incarnations. */
    #createIncarnation(): Incarnation | undefined {
        // Values in no order, as from clocks that are set back and forth.
        const value = ((this.now + 1) * 7_919) % 1_000_003;
        return this.#options.isIdKept === true ? (value as Incarnation) : undefined;
    }

    /** Changes a running worker's capacity, which its next heartbeat reports. */
    setCapacity(id: WorkerId, capacity: Resources): void {
        const record = this.#records.get(id);
        if (record !== undefined) {
            this.#records.set(id, { ...record, capacity });
            this.#invariants.recordCapacity(id, capacity);
        }
    }

    /** Crashes a worker and its tasks; the next incarnation joins after the restart delay. */
    crashWorker(id: WorkerId): void {
        const record = this.#records.get(id);
        if (record === undefined || !this.workers.has(id)) {
            return;
        }
        this.#invariants.recordCrash(id);
        this.killWorker(id);
        this.#scheduleEvent(this.#options.restartDelayMs ?? DEFAULT_RESTART_DELAY_MS, () => {
            this.#incarnationCount += 1;
            const next = `${id.split("#")[0]}#${this.#incarnationCount}` as WorkerId;
            const nextId = this.#options.isIdKept === true ? id : next;
            const incarnation = this.#createIncarnation();
            this.#addIncarnation({ ...record, id: nextId, incarnation, isDraining: false });
            this.#sendHeartbeats(false);
        });
    }

    /** Descriptions of the invariant violations seen so far. */
    get violations(): readonly string[] {
        return this.#invariants.violations;
    }

    /** Task runs started so far. */
    get runs(): readonly RunRecord[] {
        return this.#invariants.runs;
    }

    /** Worker crashes so far. */
    get crashes(): readonly CrashRecord[] {
        return this.#invariants.crashes;
    }

    /** Counts a task's starts after the given number of workers crashed while running it. */
    countStartsAfterCrashes(task: string, crashes: number): number {
        return this.#invariants.countStartsAfterCrashes(task, crashes);
    }

    /** Kills a worker permanently: its runs end and it no longer answers. */
    killWorker(id: WorkerId): void {
        const worker = this.workers.get(id);
        if (worker !== undefined) {
            worker.isKilled = true;
            this.workers.delete(id);
            this.#records.delete(id);
            this.#shutdownTimesMs.delete(id);
            this.#invariants.recordExit(id);
        }
    }

    /** Marks a worker as draining; `leavesInMs` announces when it will shut down. */
    drainWorker(id: WorkerId, leavesInMs?: number): void {
        const record = this.#records.get(id);
        if (record !== undefined) {
            this.#records.set(id, { ...record, isDraining: true });
        }
        if (leavesInMs !== undefined) {
            this.#shutdownTimesMs.set(id, this.now + leavesInMs);
            this.#sendHeartbeats(false);
        }
    }

    /**
     * Submits a job.
     *
     * @returns Why it was refused, or `undefined` if it was accepted.
     */
    submit(
        id: string,
        spec: JobSpec,
        queue: QueueName = QUEUE,
        workspace?: WorkspaceName,
    ): string | undefined {
        return this.submitJob(id, spec, queue, workspace)?.problem;
    }

    /**
     * Submits a job.
     *
     * @returns The refusal, or `undefined` if it was accepted.
     */
    submitJob(
        id: string,
        spec: JobSpec,
        queue: QueueName,
        workspace: WorkspaceName | undefined,
    ): SubmissionRefusal | undefined {
        const job = id as JobId;
        const refusal = this.dispatcher.submit({ job, queue, pool: POOL, workspace, spec });
        if (refusal !== undefined) {
            this.refusals.set(id, refusal);
        }
        this.#flush();
        return refusal;
    }

    /** Applies a configuration with other workspaces. */
    setWorkspaces(workspaces: readonly WorkspaceConfig[]): void {
        this.#configurationVersion += 1;
        this.#invariants.recordWorkspaces(workspaces);
        this.dispatcher.setConfiguration(this.#buildConfiguration(workspaces));
        this.#flush();
    }

    /** Cancels a job. */
    cancel(id: string): void {
        this.dispatcher.cancel(id as JobId);
        this.#flush();
    }

    /** Stops the leader; there is none until {@link SimulatedCluster.replaceLeader}. */
    stopLeader(): void {
        this.#epoch += 1;
        this.#pendingOutputs = [];
        this.#leaderBusyUntilMs = this.now;
        this.#watchedWorkers.clear();
        this.#hasLeader = false;
    }

    /**
     * Replaces the leader. Uncommitted facts are lost; orders in flight are not.
     *
     * @param options Whether the new leader receives all workers' heartbeats immediately, and which
     * share of the pending commits completes without the knowledge of the previous leader.
     */
    replaceLeader({
        hasImmediateHeartbeats = true,
        committedShare = 0,
    }: {
        readonly hasImmediateHeartbeats?: boolean;
        readonly committedShare?: number;
    } = {}): void {
        const committedCount = Math.round(committedShare * this.#pendingOutputs.length);
        this.#pendingOutputs
            .slice(0, committedCount)
            .forEach(({ facts, recordedAtMs }) =>
                this.committedState.apply({ at: recordedAtMs, facts }),
            );
        this.stopLeader();
        this.#term += 1;
        this.#hasLeader = true;
        this.dispatcher = this.#createDispatcher();
        this.dispatcher.setFronts(this.#listFronts());
        if (hasImmediateHeartbeats) {
            this.#sendHeartbeats(false);
        }
        this.#flush();
    }

    /** Returns the heartbeat that a worker would send now. */
    buildHeartbeat(id: WorkerId): Heartbeat | undefined {
        const record = this.#records.get(id);
        const shutdownAtMs = this.#shutdownTimesMs.get(id);
        return record === undefined
            ? undefined
            : {
                  record,
                  sequence: this.#heartbeatSequence - (this.#firstSequences.get(id) ?? 0),
                  clockMs: this.workers.get(id)?.clockMs,
                  leavesInMs: shutdownAtMs === undefined ? undefined : shutdownAtMs - this.now,
              };
    }

    /** Drops a worker's heartbeats from now on; orders still reach it. */
    dropHeartbeats(id: WorkerId): void {
        this.#workersWithoutHeartbeats.add(id);
    }

    /**
     * Sets whether a worker is isolated: its heartbeats, calls to it and its answers are lost, except
     * calls that a fault makes late.
     */
    setIsolated(id: WorkerId, isIsolated: boolean): void {
        if (isIsolated) {
            this.#isolatedWorkers.add(id);
        } else {
            this.#isolatedWorkers.delete(id);
        }
    }

    /** Advances virtual time. */
    runFor(ms: number): void {
        this.#time.runFor(ms, () => {
            if (this.#options.hasInvariantChecks ?? true) {
                this.#invariants.checkWorkerCapacity();
                this.#invariants.recordDifferences(this.dispatcher.auditQuota());
            }
        });
    }

    /** Virtual time since the simulation started, in ms. */
    get now(): number {
        return this.#time.now;
    }

    /** Returns a job's committed state, or "unknown". */
    getJobState(id: string): string {
        return this.committedState.jobs.get(id as JobId)?.state ?? "unknown";
    }

    #listFronts(): FrontId[] {
        const count = this.#options.fronts ?? 3;
        return Array.from({ length: count }, (_unused, i) => `front-${i + 1}` as FrontId);
    }

    #createDispatcher(): Dispatcher {
        return new Dispatcher({
            stateStore: this.committedState.copy(),
            clock: { getNow: () => this.now, getWallTimeMs: () => this.now },
            firstFence: this.#term * FENCES_PER_TERM,
            admission: this.#options.admission,
            ...this.#options.dispatcherOptions,
            durationModel: this.#options.createDurationModel?.(),
        });
    }

    #buildConfiguration(workspaces: readonly WorkspaceConfig[] | undefined): Configuration {
        return {
            version: this.#configurationVersion,
            queues: this.#options.queues ?? [buildQueue()],
            pools: [{ name: POOL, hasAdmissionCheck: false, isStandby: false }],
            limits: { maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
            workspaces,
            document: {},
        };
    }

    #createWorker({ id, incarnation, capacity }: WorkerReport): TaskWorker {
        return new TaskWorker({
            id,
            incarnation,
            capacity,
            getNow: () => this.now,
            clockDrift: this.#options.clockDrift,
            clockStartedAtMs: this.now,
            computeTaskMs: (task) =>
                this.#options.computeTaskMs?.(task, id) ?? this.#options.taskMs ?? 300,
            getDemand: (task) => this.#findTaskResources(task),
            getLoad: this.#options.getTailLatencyMs,
            getOutcome: (task) => this.#options.getOutcome?.(task, id) ?? "done",
            onStart: (run) => this.#handleRun(id, run),
            onEnd: (run, how) => this.#invariants.recordEnd(id, run, how),
            onAcknowledge: (end) => this.#invariants.recordAcknowledgedEnd(id, end),
        });
    }

    #getWorkspace(task: string): WorkspaceName | undefined {
        return this.committedState.jobs.get(task.split(".")[0] as JobId)?.workspace;
    }

    #getMaxAttempts(task: string): number {
        const [id = "", , step = "0"] = task.split(".");
        const job = this.committedState.jobs.get(id as JobId);
        const isPerpetual = job?.spec?.steps[Number(step)]?.isPerpetual ?? false;
        const queue = job === undefined ? undefined : this.committedState.queues.get(job.queue);
        return isPerpetual ? Number.POSITIVE_INFINITY : (queue?.maxAttempts ?? 1);
    }

    #findTaskResources(task: string): Resources {
        const [job = "", , step = "0"] = task.split(".");
        const spec = this.committedState.jobs.get(job as JobId)?.spec?.steps[Number(step)];
        return spec?.needs ?? { cpu: 1_000, memoryMb: 1_000, gpu: 0 };
    }

    #handleRun(worker: WorkerId, run: TaskRun): void {
        this.#invariants.recordRun(worker, run);
        const crashAfterMs = this.#options.getCrashAfterMs?.(run.task, worker);
        if (crashAfterMs !== undefined) {
            this.#scheduleEvent(crashAfterMs, () => this.crashWorker(worker));
        }
    }

    /** Runs a step of the leader once all earlier ones are done; drops it if the leader changes. */
    #runAsLeader(run: () => void): void {
        const { leaderCostMs = 0 } = this.#options;
        if (leaderCostMs === 0) {
            run();
            return;
        }
        const epoch = this.#epoch;
        this.#leaderBusyUntilMs = Math.max(this.now, this.#leaderBusyUntilMs) + leaderCostMs;
        this.#scheduleEvent(this.#leaderBusyUntilMs - this.now, () => {
            if (epoch === this.#epoch) {
                run();
            }
        });
    }

    #scheduleEvent(delayMs: number, run: () => void): void {
        this.#time.schedule(delayMs, run);
    }

    #tick(): void {
        if (this.#hasLeader) {
            this.#runAsLeader(() => {
                this.dispatcher.tick();
                this.#flush();
            });
        }
        this.#scheduleEvent(TICK_INTERVAL_MS, () => this.#tick());
    }

    #sendHeartbeats(isRepeated = true): void {
        this.#heartbeatSequence += 1;
        for (const id of this.#records.keys()) {
            const heartbeat = this.buildHeartbeat(id);
            if (
                heartbeat === undefined ||
                !this.#hasLeader ||
                this.#isolatedWorkers.has(id) ||
                this.#workersWithoutHeartbeats.has(id)
            ) {
                continue;
            }
            this.#runAsLeader(() => this.#handleHeartbeat(heartbeat));
        }
        if (isRepeated) {
            this.#scheduleEvent(HEARTBEAT_INTERVAL_MS, () => this.#sendHeartbeats());
        }
    }

    #handleHeartbeat(heartbeat: Heartbeat): void {
        this.dispatcher.handleHeartbeat(heartbeat);
        if (heartbeat.record.isDraining) {
            this.#recordDrain(heartbeat.record);
        }
        this.#flush();
    }

    /** Records the acknowledgement of a shutdown notice, which is sent once it is committed. */
    #recordDrain({ id, incarnation }: WorkerReport): void {
        const epoch = this.#epoch;
        this.#scheduleEvent(COMMIT_DELAY_MS, () => {
            const known = this.committedState.workers.get(id);
            const isCommitted = known?.isDraining === true && known.incarnation === incarnation;
            const isRunning = this.#records.get(id)?.incarnation === incarnation;
            if (isCommitted && isRunning && epoch === this.#epoch) {
                this.#invariants.recordDrain(id);
            }
        });
    }

    /**
     * Commits the dispatcher's pending facts after the commit delay, then runs its effects. Facts
     * are committed in the order in which they were proposed, and effects that may rest on earlier
     * facts wait for them, also if those were proposed by earlier flushes.
     */
    #flush(): void {
        const { facts, effects: allEffects } = this.dispatcher.takeOutput();
        if (facts.length === 0 && allEffects.length === 0) {
            return;
        }
        const isReady = (effect: Effect): boolean => facts.length === 0 && isIndependent(effect);
        this.#runAtOnce(allEffects.filter(isReady));
        const effects = allEffects.filter((effect) => !isReady(effect));
        const output = { facts, effects, recordedAtMs: this.now, isCommitted: false };
        this.#pendingOutputs.push(output);
        const commitDelayMs = this.#options.computeCommitDelayMs?.() ?? COMMIT_DELAY_MS;
        this.#scheduleEvent(facts.length === 0 ? 0 : commitDelayMs, () => {
            output.isCommitted = true;
            this.#applyCommitted();
        });
    }

    #runAtOnce(effects: readonly Effect[]): void {
        const epoch = this.#epoch;
        this.#scheduleEvent(0, () => {
            if (epoch === this.#epoch) {
                effects.forEach((effect) => this.#runAsLeader(() => this.#runEffect(effect)));
            }
        });
    }

    #applyCommitted(): void {
        for (;;) {
            const output = this.#pendingOutputs[0];
            if (output?.isCommitted !== true) {
                return;
            }
            this.#pendingOutputs.shift();
            this.committedState.apply({ at: output.recordedAtMs, facts: output.facts });
            output.effects.forEach((effect) => this.#runAsLeader(() => this.#runEffect(effect)));
            this.dispatcher.placeWaiting();
            this.#flush();
        }
    }

    #runEffect(effect: Effect): void {
        switch (effect.type) {
            case "start": {
                const order = this.dispatcher.prepareStart(effect.member);
                if (order !== undefined) {
                    this.#send(
                        "start",
                        order.worker,
                        (worker) => worker.start(order),
                        (answer) => this.dispatcher.handleStartAnswer(effect.member, answer),
                    );
                }
                this.#flush();
                return;
            }
            case "stop": {
                const order = this.dispatcher.prepareStop(effect.member);
                if (order !== undefined) {
                    this.#send(
                        "stop",
                        order.worker,
                        (worker) => worker.stop(order),
                        (answer) => this.dispatcher.handleStopAnswer(effect.member, answer),
                    );
                }
                return;
            }
            case "pace": {
                const order = this.dispatcher.preparePace(effect.member);
                if (order !== undefined) {
                    this.paceOrders.push({
                        task: order.task,
                        percent: order.percent,
                        atMs: this.now,
                    });
                }
                return;
            }
            case "watch":
                this.#startWatch(effect.worker);
                return;
            case "look":
                this.#sendPoll(effect.worker, false, () => this.#startWatch(effect.worker));
                return;
            case "advise":
                this.#answerAdvice(effect.call);
                return;
            case "acknowledge":
                this.dispatcher.confirmEnds(effect.worker, effect.incarnation, effect.cursor);
                // Polling may have ended while the commit was pending.
                this.#startWatch(effect.worker);
                return;
        }
    }

    #startWatch(id: WorkerId): void {
        if (!this.#watchedWorkers.has(id)) {
            this.#watchedWorkers.add(id);
            this.#watch(id, this.#epoch);
        }
    }

    #watch(id: WorkerId, epoch: number): void {
        const isStale = epoch !== this.#epoch;
        const hasSentPoll =
            !isStale &&
            this.#sendPoll(id, true, () =>
                this.#scheduleEvent(POLL_INTERVAL_MS, () => this.#watch(id, epoch)),
            );
        if (!hasSentPoll && !isStale) {
            this.#watchedWorkers.delete(id);
        }
    }

    #sendPoll(id: WorkerId, mayWait: boolean, onAnswer: () => void): boolean {
        const order = this.dispatcher.preparePoll(id, mayWait);
        if (order === undefined) {
            return false;
        }
        const sentAtMs = this.now;
        this.#send<PollAnswer>(
            "look",
            id,
            (worker) => worker.poll(order),
            (answer) => {
                this.dispatcher.handlePollAnswer(order, sentAtMs, answer);
                onAnswer();
            },
            order.waitMs + POLL_TIMEOUT_MARGIN_MS,
        );
        return true;
    }

    #send<A extends OrderAnswer | PollAnswer>(
        kind: "start" | "stop" | "look",
        id: WorkerId,
        execute: (worker: TaskWorker) => A,
        handleAnswer: (answer: A) => void,
        timeoutMs = ORDER_TIMEOUT_MS,
    ): void {
        const fault = this.#options.getFault?.(kind, id) ?? NO_FAULT;
        const epoch = this.#epoch;
        const reply = (delayMs: number, answer: A): void =>
            this.#scheduleEvent(delayMs, () => {
                if (epoch === this.#epoch) {
                    this.#runAsLeader(() => {
                        handleAnswer(answer);
                        this.#flush();
                    });
                }
            });
        const worker = this.workers.get(id) ?? this.#findSuccessor(id);
        const noAnswer = { type: "unanswered", cause: "timeout" } as A;
        if (fault.type === "refused") {
            reply(NETWORK_DELAY_MS, { type: "undelivered", cause: "refused" } as A);
            return;
        }
        if (fault.type === "late") {
            reply(timeoutMs, noAnswer);
            this.#scheduleEvent(fault.afterMs, () => {
                const receiver = worker?.isKilled === false ? worker : this.workers.get(id);
                if (receiver !== undefined) {
                    execute(receiver);
                }
            });
            return;
        }
        if (fault.type === "lost" || worker === undefined || this.#isolatedWorkers.has(id)) {
            reply(timeoutMs, noAnswer);
            return;
        }
        const requestDelayMs = this.#computeNetworkDelayMs();
        this.#scheduleEvent(requestDelayMs, () => {
            if (worker.isKilled || this.#isolatedWorkers.has(id)) {
                reply(Math.max(0, timeoutMs - requestDelayMs), noAnswer);
                return;
            }
            const answer = execute(worker);
            const answerDelayMs = this.#computeNetworkDelayMs();
            const isAnswered = requestDelayMs + answerDelayMs <= timeoutMs;
            if (isAnswered && !this.#isolatedWorkers.has(id)) {
                reply(answerDelayMs, answer);
            } else {
                reply(Math.max(0, timeoutMs - requestDelayMs), noAnswer);
            }
        });
    }

    #computeNetworkDelayMs(): number {
        return this.#options.computeNetworkDelayMs?.() ?? NETWORK_DELAY_MS;
    }

    /** Finds the incarnation that now answers at the address of a dead worker. */
    #findSuccessor(id: WorkerId): TaskWorker | undefined {
        const address = this.#addresses.get(id);
        const successor = [...this.#records.values()].find((other) => other.address === address);
        return successor === undefined ? undefined : this.workers.get(successor.id);
    }

    #answerAdvice(call: AdviceCall): void {
        const decisionMs = call.policy.decideMs + call.policy.perWorkerMs * call.workers.length;
        const epoch = this.#epoch;
        this.#scheduleEvent(decisionMs, () => {
            if (epoch !== this.#epoch) {
                return;
            }
            const admitted = call.workers.filter(
                (worker) => this.#options.isAdmitted?.(call.step, worker) ?? true,
            );
            this.dispatcher.handleAdvice(
                call,
                admitted.map((worker) => ({ worker, ticket: `${call.step}@${worker}` })),
                0,
            );
            this.dispatcher.placeWaiting();
            this.#flush();
        });
    }
}
