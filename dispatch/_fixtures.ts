/**
 * A floor of stand-in workers under one dispatcher, in virtual time: commits that take a while,
 * orders that are lost or carried out late, workers that die, leaders that are replaced. Every
 * run is checked against the promises while it goes on.
 *
 * @example
 * ```ts
 * import { FloorFixture } from "./_fixtures.ts";
 * const floor = new FloorFixture({ workers: 4, seed: 1 });
 * floor.submit("00000000000000a1", buildSpec({ count: 2 }));
 * floor.runFor(3_000);
 * ```
 *
 * @module
 */

import type { QueueConfig, QueueName } from "../configuration/mod.ts";
import {
    StateStore,
    type MemberOutcome,
    type Fact,
    type JobId,
    type JobSpec,
    type Resources,
    type WorkerId,
    type WorkerReport,
} from "../job/mod.ts";
import { TaskWorker, type TaskRun } from "../standin/task_worker.ts";
import { VirtualTime } from "../standin/virtual_time.ts";
import { buildQueue, POOL, QUEUE } from "./_builders.ts";
import { Dispatcher } from "./dispatcher.ts";
import { FloorAudit, type SeenCrash, type SeenRun } from "./_floor_audit.ts";
import type { AdviceCall, Effect, LaneId, PollAnswer, OrderAnswer } from "./types.ts";

export * from "./_builders.ts";

const COMMIT_MS = 12;
const WAY_MS = 1;
const LOOK_EVERY_MS = 50;
const TICK_MS = 100;
const ORDER_TIMEOUT_MS = 400;
/** A look that gets no answer is given up so long after its own wait, in ms. */
const LOOK_EXTRA_MS = 500;
const FENCES_PER_TERM = 1_000_000;
const HEARTBEAT_MS = 1_500;
const DEFAULT_RESTART_MS = 3_300;

/** Options of {@link FloorFixture}. */
export interface FloorOptions {
    readonly workers: number;
    readonly seed?: number;
    readonly capacity?: Resources;
    readonly taskMs?: number;
    /** How long each task runs, in ms; goes before `taskMs`. */
    readonly computeTaskMs?: (task: string, worker: WorkerId) => number;
    /** Promises are checked at each event; a benchmark of a large floor leaves that out. */
    readonly isChecked?: boolean;
    /** What differs from the usual worker, by its number from 1. */
    readonly getRecord?: (number: number) => Partial<WorkerReport>;
    /** How long the next commit takes, in ms. */
    readonly computeCommitMs?: () => number;
    /** Fronts that call the advice service. */
    readonly fronts?: number;
    readonly clockDrift?: number;
    readonly queues?: readonly QueueConfig[];
    /** Decides whether an order is lost on its way, carried out late, or both ways fine. */
    readonly getFault?: (kind: "start" | "stop" | "look", worker: WorkerId) => OrderFault;
    readonly getEnd?: (task: string, worker: WorkerId) => MemberOutcome;
    /** How long after its start a task ends its worker, in ms; `undefined` for one that does not. */
    readonly getCrashAfterMs?: (task: string, worker: WorkerId) => number | undefined;
    /** After a crash the next incarnation joins at the same address after this, in ms. */
    readonly restartMs?: number;
    /** What a task reports: its tail in ms if it serves. */
    readonly getLoad?: (task: string) => number;
    /** Which workers the advice service admits to a step. */
    readonly isAdmitted?: (step: string, worker: WorkerId) => boolean;
}

/** What happens to an order on its way. */
export type OrderFault =
    | { readonly type: "none" }
    /** Nothing arrives and nothing comes back. */
    | { readonly type: "lost" }
    /** No connection: the sender knows that nothing was sent. */
    | { readonly type: "refused" }
    /** No answer; carried out after `afterMs`. */
    | { readonly type: "late"; readonly afterMs: number };

const NO_FAULT: OrderFault = { type: "none" };

/** The floor. */
export class FloorFixture {
    readonly #options: FloorOptions;
    readonly durable = new StateStore();
    readonly workers = new Map<WorkerId, TaskWorker>();
    /** Every pace order: task, percent. */
    readonly paces: { task: string; percent: number; at: number }[] = [];
    readonly #audit = new FloorAudit({ workers: this.workers, getNow: () => this.now });
    readonly #addresses = new Map<WorkerId, string>();
    readonly #muted = new Set<WorkerId>();
    #isLed = true;
    #incarnations = 0;
    readonly #records = new Map<WorkerId, WorkerReport>();
    readonly #leavesAt = new Map<WorkerId, number>();
    readonly #looking = new Set<WorkerId>();
    readonly #time = new VirtualTime();
    #heartbeat = 0;
    #term = 1;
    #epoch = 0;
    dispatcher: Dispatcher;

    /**
     * @param options Size, faults, behaviour of tasks; see {@link FloorOptions}.
     */
    constructor(options: FloorOptions) {
        this.#options = options;
        this.durable.apply({ at: 0, facts: [this.#buildConfiguration()] });
        this.dispatcher = this.#createDispatcher();
        for (let i = 0; i < options.workers; i++) {
            this.addWorker(`w${i + 1}` as WorkerId, `10.0.0.${i + 1}:80`);
        }
        this.#addEvent(0, () => this.#tick());
        this.#addEvent(0, () => this.#sendHeartbeats());
        this.dispatcher.setLanes(this.#listLanes());
    }

    /** Adds a worker at an address; an earlier one there is dead. */
    addWorker(id: WorkerId, address: string): void {
        for (const [other, record] of this.#records) {
            if (record.address === address) {
                this.killWorker(other);
            }
        }
        const { capacity = { cpu: 16_000, memoryMb: 32_000, gpu: 0 } } = this.#options;
        const record = {
            id,
            address,
            pool: POOL,
            zone: "hall-a",
            capacity,
            labels: ["a", "r1"],
            instance: "",
            isDraining: false,
            ...this.#options.getRecord?.(Number(id.slice(1))),
        };
        this.#addIncarnation(record);
    }

    #addIncarnation(record: WorkerReport): void {
        const { id, address, capacity } = record;
        this.#records.set(id, record);
        this.#addresses.set(id, address);
        this.#audit.recordRoom(id, capacity);
        this.workers.set(id, this.#createWorker(id, capacity));
    }

    /** Changes the room that a running worker has; its next heartbeat tells it. */
    setCapacity(id: WorkerId, capacity: Resources): void {
        const record = this.#records.get(id);
        if (record !== undefined) {
            this.#records.set(id, { ...record, capacity });
            this.#audit.recordRoom(id, capacity);
        }
    }

    /** Crashes a worker with all that runs there; its next incarnation joins after a while. */
    crashWorker(id: WorkerId): void {
        const record = this.#records.get(id);
        if (record === undefined || !this.workers.has(id)) {
            return;
        }
        this.#audit.recordCrash(id);
        this.killWorker(id);
        this.#addEvent(this.#options.restartMs ?? DEFAULT_RESTART_MS, () => {
            this.#incarnations += 1;
            const next = `${id.split("#")[0]}#${this.#incarnations}` as WorkerId;
            this.#addIncarnation({ ...record, id: next, isDraining: false });
            this.#sendHeartbeats(false);
        });
    }

    /** Broken promises, in words. */
    get violations(): readonly string[] {
        return this.#audit.violations;
    }

    /** Every run that began. */
    get runs(): readonly SeenRun[] {
        return this.#audit.runs;
    }

    /** Every crash of a worker. */
    get crashes(): readonly SeenCrash[] {
        return this.#audit.crashes;
    }

    /** How often a task was started after a number of workers had crashed under it. */
    countStartsAfterCrashes(task: string, crashes: number): number {
        return this.#audit.countStartsAfterCrashes(task, crashes);
    }

    /** Ends a worker: its runs end with it, and it answers no more. */
    killWorker(id: WorkerId): void {
        const worker = this.workers.get(id);
        if (worker !== undefined) {
            worker.isDead = true;
            this.workers.delete(id);
            this.#records.delete(id);
        }
    }

    /** Has a worker announce that it leaves, after a time if it tells. */
    drainWorker(id: WorkerId, leavesInMs?: number): void {
        const record = this.#records.get(id);
        if (record !== undefined) {
            this.#records.set(id, { ...record, isDraining: true });
        }
        if (leavesInMs !== undefined) {
            this.#leavesAt.set(id, this.now + leavesInMs);
            this.#sendHeartbeats(false);
        }
    }

    /** Hands a job in. */
    submit(id: string, spec: JobSpec, queue: QueueName = QUEUE): void {
        this.dispatcher.submit({ job: id as JobId, queue, pool: POOL, spec });
        this.#flush();
    }

    /** Cancels a job. */
    cancel(id: string): void {
        this.dispatcher.cancel(id as JobId);
        this.#flush();
    }

    /** Ends the leader; nobody leads until {@link FloorFixture.replaceLeader}. */
    stopLeader(): void {
        this.#epoch += 1;
        this.#looking.clear();
        this.#isLed = false;
    }

    /**
     * Replaces the leader: what it had not had agreed on is gone; orders on their way are not.
     *
     * @param options Whether all workers' heartbeats reach the next one at once.
     */
    replaceLeader({ isHeardAtOnce = true }: { readonly isHeardAtOnce?: boolean } = {}): void {
        this.stopLeader();
        this.#term += 1;
        this.#isLed = true;
        this.dispatcher = this.#createDispatcher();
        this.dispatcher.setLanes(this.#listLanes());
        if (isHeardAtOnce) {
            this.#sendHeartbeats(false);
        }
        this.#flush();
    }

    /** Has a worker's heartbeats get lost; orders still reach it. */
    dropHeartbeats(id: WorkerId): void {
        this.#muted.add(id);
    }

    /** Lets time pass. */
    runFor(ms: number): void {
        this.#time.runFor(ms, () => {
            if (this.#options.isChecked ?? true) {
                this.#audit.checkWorkers();
            }
        });
    }

    /** The time, in ms since the floor began. */
    get now(): number {
        return this.#time.now;
    }

    /** The state of a job as a caller sees it. */
    getState(id: string): string {
        return this.durable.jobs.get(id as JobId)?.state ?? "unknown";
    }

    #listLanes(): LaneId[] {
        const count = this.#options.fronts ?? 3;
        return Array.from({ length: count }, (_unused, i) => `front-${i + 1}` as LaneId);
    }

    #createDispatcher(): Dispatcher {
        return new Dispatcher({
            ledger: this.durable.copy(),
            clock: { getNow: () => this.now, getWallTime: () => this.now },
            firstFence: this.#term * FENCES_PER_TERM,
        });
    }

    #buildConfiguration(): Fact {
        return {
            type: "configurationSet",
            configuration: {
                version: 1,
                queues: this.#options.queues ?? [buildQueue()],
                pools: [{ name: POOL, hasAdmissionCheck: false, isStandby: false }],
                limits: { maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
                document: {},
            },
        };
    }

    #createWorker(id: WorkerId, capacity: Resources): TaskWorker {
        return new TaskWorker({
            id,
            capacity,
            getNow: () => this.now,
            clockDrift: this.#options.clockDrift,
            computeTaskMs: (task) =>
                this.#options.computeTaskMs?.(task, id) ?? this.#options.taskMs ?? 300,
            getRoom: (task) => this.#findRoom(task),
            getLoad: this.#options.getLoad,
            getEnd: (task) => this.#options.getEnd?.(task, id) ?? "done",
            onRun: (run) => this.#handleRun(id, run),
            onAcknowledge: (end) => this.#audit.recordAcknowledged(end),
        });
    }

    #findRoom(task: string): Resources {
        const [job = "", , step = "0"] = task.split(".");
        const spec = this.durable.jobs.get(job as JobId)?.spec?.steps[Number(step)];
        return spec?.needs ?? { cpu: 1_000, memoryMb: 1_000, gpu: 0 };
    }

    #handleRun(worker: WorkerId, run: TaskRun): void {
        this.#audit.recordRun(worker, run);
        const crashAfterMs = this.#options.getCrashAfterMs?.(run.task, worker);
        if (crashAfterMs !== undefined) {
            this.#addEvent(crashAfterMs, () => this.crashWorker(worker));
        }
    }

    #addEvent(delay: number, run: () => void): void {
        this.#time.schedule(delay, run);
    }

    #tick(): void {
        if (this.#isLed) {
            this.dispatcher.tick();
            this.#flush();
        }
        this.#addEvent(TICK_MS, () => this.#tick());
    }

    #sendHeartbeats(isRepeated = true): void {
        this.#heartbeat += 1;
        for (const [id, record] of this.#records) {
            if (!this.#isLed || this.#muted.has(id)) {
                continue;
            }
            const leavesAt = this.#leavesAt.get(id);
            this.dispatcher.handleHeartbeat({
                record,
                sequence: this.#heartbeat,
                clockMs: this.workers.get(id)?.clockMs,
                leavesInMs: leavesAt === undefined ? undefined : leavesAt - this.now,
            });
        }
        this.#flush();
        if (isRepeated) {
            this.#addEvent(HEARTBEAT_MS, () => this.#sendHeartbeats());
        }
    }

    /** Agrees on what was decided, after the time of a commit, and carries it out. */
    #flush(): void {
        const { facts, effects } = this.dispatcher.takeOutcome();
        if (facts.length === 0 && effects.length === 0) {
            return;
        }
        const epoch = this.#epoch;
        const at = this.now;
        const commitMs = this.#options.computeCommitMs?.() ?? COMMIT_MS;
        this.#addEvent(facts.length === 0 ? 0 : commitMs, () => {
            if (epoch !== this.#epoch) {
                return;
            }
            this.durable.apply({ at, facts });
            effects.forEach((effect) => this.#runEffect(effect));
            this.dispatcher.placeWaiting();
            this.#flush();
        });
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
                    this.paces.push({ task: order.task, percent: order.percent, at: this.now });
                }
                return;
            }
            case "watch":
                this.#startWatch(effect.worker);
                return;
            case "look":
                this.#sendLook(effect.worker, false, () => this.#startWatch(effect.worker));
                return;
            case "advise":
                this.#answerAdvice(effect.call);
                return;
            case "acknowledge":
                this.dispatcher.confirmEnds(effect.worker, effect.cursor);
                return;
        }
    }

    #startWatch(id: WorkerId): void {
        if (!this.#looking.has(id)) {
            this.#looking.add(id);
            this.#watch(id, this.#epoch);
        }
    }

    #watch(id: WorkerId, epoch: number): void {
        const isOver = epoch !== this.#epoch;
        const hasLook =
            !isOver &&
            this.#sendLook(id, true, () =>
                this.#addEvent(LOOK_EVERY_MS, () => this.#watch(id, epoch)),
            );
        if (!hasLook && !isOver) {
            this.#looking.delete(id);
        }
    }

    #sendLook(id: WorkerId, mayWait: boolean, then: () => void): boolean {
        const order = this.dispatcher.preparePoll(id, mayWait);
        if (order === undefined) {
            return false;
        }
        const sentAt = this.now;
        this.#send<PollAnswer>(
            "look",
            id,
            (worker) => worker.look(order),
            (answer) => {
                this.dispatcher.handlePollAnswer(order, sentAt, answer);
                then();
            },
            order.waitMs + LOOK_EXTRA_MS,
        );
        return true;
    }

    #send<A extends OrderAnswer | PollAnswer>(
        kind: "start" | "stop" | "look",
        id: WorkerId,
        carryOut: (worker: TaskWorker) => A,
        handle: (answer: A) => void,
        timeoutMs = ORDER_TIMEOUT_MS,
    ): void {
        const fault = this.#options.getFault?.(kind, id) ?? NO_FAULT;
        const epoch = this.#epoch;
        const reply = (delay: number, answer: A): void =>
            this.#addEvent(delay, () => {
                if (epoch === this.#epoch) {
                    handle(answer);
                    this.#flush();
                }
            });
        const worker = this.workers.get(id) ?? this.#findSuccessor(id);
        const silence = { type: "unanswered", cause: "timeout" } as A;
        if (fault.type === "refused") {
            reply(WAY_MS, { type: "undelivered", cause: "refused" } as A);
            return;
        }
        if (fault.type === "lost" || worker === undefined) {
            reply(timeoutMs, silence);
            return;
        }
        if (fault.type === "late") {
            reply(timeoutMs, silence);
            this.#addEvent(fault.afterMs, () => {
                if (!worker.isDead) {
                    carryOut(worker);
                }
            });
            return;
        }
        this.#addEvent(WAY_MS, () => {
            if (worker.isDead) {
                reply(timeoutMs, silence);
            } else {
                reply(WAY_MS, carryOut(worker));
            }
        });
    }

    /** The incarnation that answers at the address of one that is gone. */
    #findSuccessor(id: WorkerId): TaskWorker | undefined {
        const address = this.#addresses.get(id);
        const successor = [...this.#records.values()].find((other) => other.address === address);
        return successor === undefined ? undefined : this.workers.get(successor.id);
    }

    #answerAdvice(call: AdviceCall): void {
        const tookMs = call.policy.decideMs + call.policy.perWorkerMs * call.workers.length;
        const epoch = this.#epoch;
        this.#addEvent(tookMs, () => {
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
