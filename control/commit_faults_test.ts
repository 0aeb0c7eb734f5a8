import { setTimeout as wait } from "node:timers/promises";
import test from "ava";
import { buildJobIds, buildQueue, buildSpec, buildWorkerReport } from "../dispatch/_fixtures.ts";
import type { EndReport, OrderAnswer, PollAnswer, PollOrder } from "../dispatch/mod.ts";
import {
    parseTaskName,
    StateStore,
    type Incarnation,
    type JobId,
    type UnitRef,
    type WorkerId,
} from "../job/mod.ts";
import { TaskWorker, type TaskRun } from "../standin/task_worker.ts";
import { createRandom } from "../tools/seeded_random.ts";
import { buildConfiguration, buildLeadership, waitUntil } from "./_fixtures.ts";
import type { CallerAnswer, WorkerCalls } from "./calls.ts";
import type { Leadership } from "./leadership.ts";

const WORKERS = ["w1", "w2", "w3"] as WorkerId[];
const INCARNATION = 7 as Incarnation;
const OTHER_INCARNATION = 6 as Incarnation;
const JOBS = 16;
const LEADER_CHANGES = 6;

/** The commits of one leader: in order, each after a random delay, and none after a cut. */
class CommitLine {
    #previous: Promise<void> = Promise.resolve();
    #pending: (() => void)[] = [];
    #isCut = false;

    wait(delayMs: number): Promise<void> {
        const commit = new Promise<void>((resolve) => {
            this.#pending.push(resolve);
            void Promise.all([this.#previous, wait(delayMs)]).then(() => {
                if (!this.#isCut) {
                    this.#pending.shift()?.();
                }
            });
        });
        this.#previous = commit;
        return commit;
    }

    cancel(): void {
        this.#isCut = true;
    }

    /** Commits the first of the pending proposals, as the next leader may; the others are lost. */
    async close(share: number): Promise<void> {
        this.#pending.splice(0, Math.floor(this.#pending.length * share)).forEach((run) => run());
        await wait(1);
    }
}

interface Leader {
    readonly leadership: Leadership;
    readonly commits: CommitLine;
    hasLease: boolean;
}

/** Leaders that are cut off at random, and workers whose answers are late, lost or overtaken. */
class FaultyCluster {
    readonly violations: string[] = [];
    readonly starts: string[] = [];
    readonly #random: () => number;
    readonly #state = new StateStore();
    readonly #workers: ReadonlyMap<WorkerId, TaskWorker>;
    readonly #finished = new Set<string>();
    #leader: Leader;
    #term = 0;
    #sequence = 1;

    constructor(seed: number) {
        this.#random = createRandom(seed * 7_919);
        const configuration = { ...buildConfiguration(1), queues: [buildQueue()] };
        const workers = WORKERS.map((id) => this.#buildReport(id));
        this.#state.apply({
            at: 0,
            facts: [
                { type: "configurationSet", configuration },
                ...workers.map((worker) => ({ type: "workerSeen", worker }) as const),
            ],
        });
        this.#workers = new Map(WORKERS.map((id) => [id, this.#createWorker(id)]));
        this.#leader = this.#startLeader();
    }

    /** Submits and cancels jobs while leaders change, and waits until all jobs have ended. */
    async run(): Promise<void> {
        const jobs = buildJobIds(JOBS) as JobId[];
        let isDone = false;
        const background = [this.#sendHeartbeats(() => isDone), this.#sendPolls(() => isDone)];
        const calls = jobs.map((job) => this.#runCaller(job));
        for (let i = 0; i < LEADER_CHANGES; i++) {
            await wait(200 + this.#random() * 500);
            await this.#replaceLeader();
        }
        await Promise.all(calls);
        await waitUntil(() => jobs.every((job) => this.#state.jobs.get(job)?.endedAt));
        isDone = true;
        await Promise.all(background);
        this.#leader.leadership.stop();
    }

    #buildReport(id: WorkerId): ReturnType<typeof buildWorkerReport> {
        return buildWorkerReport({ id, incarnation: INCARNATION, address: `${id}:80` });
    }

    #createWorker(id: WorkerId): TaskWorker {
        return new TaskWorker({
            id,
            incarnation: INCARNATION,
            capacity: { cpu: 16_000, memoryMb: 32_000, gpu: 0 },
            getNow: () => performance.now(),
            computeTaskMs: () => 20 + this.#random() * 250,
            getDemand: () => ({ cpu: 1_000, memoryMb: 1_000, gpu: 0 }),
            stopDelayMs: 30,
            onStart: (run) => this.#checkStart(id, run),
            onEnd: ({ task }, outcome) => outcome === "done" && this.#finished.add(task),
            onAcknowledge: (end) => this.#checkAcknowledgement(end),
        });
    }

    #checkStart(worker: WorkerId, { task, attempt }: TaskRun): void {
        this.starts.push(task);
        if (this.#finished.has(task)) {
            this.violations.push(`${task}#${attempt} started after an earlier attempt was done`);
        }
        for (const [other, { runs }] of this.#workers) {
            if (other !== worker && runs.some((run) => run.task === task)) {
                this.violations.push(`${task}#${attempt} started while another attempt runs`);
            }
        }
        if ((this.#state.findUnit(parseUnit(task))?.attempt ?? 0) < attempt) {
            this.violations.push(`${task}#${attempt} started before its commit`);
        }
    }

    #checkAcknowledgement({ task, attempt }: EndReport): void {
        const unit = this.#state.findUnit(parseUnit(task));
        if (unit?.attempt === attempt && unit.members.size > 0) {
            this.violations.push(
                `the end of ${task}#${attempt} was acknowledged before its commit`,
            );
        }
    }

    #checkStop(task: string): void {
        if (this.#state.jobs.get(parseUnit(task).job)?.endedAt === undefined) {
            this.violations.push(`${task} was stopped before the commit of its cancellation`);
        }
    }

    #startLeader(): Leader {
        this.#term += 1;
        const commits = new CommitLine();
        const { leadership } = buildLeadership({
            committedState: this.#state,
            term: this.#term,
            incarnation: INCARNATION,
            waitForLease: () => Promise.resolve(leader.hasLease),
            waitForCommit: () => commits.wait(this.#computeCommitMs()),
            workerCalls: this.#createWorkerCalls(),
            onStart: () => {},
            onLogLines: () => {},
        });
        const leader = { leadership, commits, hasLease: true };
        leadership.start();
        return leader;
    }

    /** Cuts the leader off, which notices that after a while, and starts the next one. */
    async #replaceLeader(): Promise<void> {
        const { commits, leadership } = this.#leader;
        commits.cancel();
        await wait(this.#random() * 250);
        this.#leader.hasLease = false;
        leadership.stop();
        await commits.close(this.#random() < 0.5 ? 0 : this.#random());
        this.#leader = this.#startLeader();
    }

    #computeCommitMs(): number {
        return this.#random() < 0.3 ? 20 + this.#random() * 150 : 3 + this.#random() * 10;
    }

    #createWorkerCalls(): WorkerCalls {
        const find = (id: WorkerId): TaskWorker => this.#workers.get(id) as TaskWorker;
        return {
            start: (order, timeoutMs) =>
                this.#send(() => find(order.worker).start(order), timeoutMs),
            stop: (order, timeoutMs) => {
                this.#checkStop(order.task);
                return this.#send(() => find(order.worker).stop(order), timeoutMs);
            },
            pace: () => Promise.resolve({ type: "accepted" }),
            poll: (order) => this.#poll(find(order.worker), order),
        };
    }

    /** Delivers an order late, or loses its answer, now and then. */
    async #send(execute: () => OrderAnswer, timeoutMs: number): Promise<OrderAnswer> {
        await wait(this.#random() * 10);
        if (this.#random() < 0.03) {
            void wait(this.#random() * 600).then(execute);
            await wait(timeoutMs);
            return { type: "unanswered", cause: "timeout" };
        }
        const answer = execute();
        await wait(this.#random() * 10);
        return answer;
    }

    async #poll(worker: TaskWorker, order: PollOrder): Promise<PollAnswer> {
        await wait(this.#random() * 20);
        const deadlineMs = performance.now() + order.waitMs;
        let answer = worker.poll(order);
        while (
            answer.type === "state" &&
            answer.ended.length === 0 &&
            performance.now() < deadlineMs
        ) {
            await wait(10);
            answer = worker.poll({ ...order, cursor: 0 });
        }
        await wait(this.#random() * 60);
        return answer;
    }

    /** Repeats a submission, and for some jobs a cancellation, until it is answered. */
    async #runCaller(job: JobId): Promise<void> {
        const target = { host: "studio.example", path: `/previews/${job}` };
        const spec = buildSpec({ count: 2, estimateMs: 100 }, { count: 1, after: [0] });
        await wait(this.#random() * 2_500);
        await this.#sendUntil("accepted", () =>
            this.#leader.leadership.handleCaller({ type: "submit", ...target, spec, problem: "" }),
        );
        if (this.#random() < 0.25) {
            await wait(this.#random() * 300);
            await this.#sendUntil("cancelled", () =>
                this.#leader.leadership.handleCaller({ type: "cancel", ...target }),
            );
        }
    }

    async #sendUntil(type: CallerAnswer["type"], call: () => Promise<CallerAnswer>): Promise<void> {
        for (;;) {
            const answer = await Promise.race([call().catch(() => undefined), wait(400)]);
            if (answer?.type === type) {
                return;
            }
            await wait(20);
        }
    }

    async #sendHeartbeats(isDone: () => boolean): Promise<void> {
        while (!isDone()) {
            this.#sequence += 1;
            WORKERS.forEach((id) => this.#sendHeartbeat(id));
            await wait(150);
        }
    }

    #sendHeartbeat(id: WorkerId): void {
        const record = this.#buildReport(id);
        const beat = { record, sequence: this.#sequence, leavesInMs: undefined };
        const clockMs = this.#workers.get(id)?.clockMs;
        this.#leader.leadership.handleHeartbeat({ ...beat, clockMs }).catch(() => {});
    }

    /** Polls workers beside their long polls: a notice that does not fit a record leads to one. */
    async #sendPolls(isDone: () => boolean): Promise<void> {
        while (!isDone()) {
            const worker = WORKERS[Math.floor(this.#random() * WORKERS.length)] as WorkerId;
            this.#leader.leadership
                .handleLeave({ worker, incarnation: OTHER_INCARNATION })
                .catch(() => {});
            await wait(this.#random() * 60);
        }
    }
}

function parseUnit(name: string): UnitRef {
    const task = parseTaskName(name);
    if (task === undefined) {
        throw new Error(`not a task's name: ${name}`);
    }
    return { ...task, unit: task.index };
}

for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
    test(`nothing rests on lost commits under random faults (seed ${seed})`, async (t) => {
        // Guards against orders and acknowledgements that reach a worker before the facts that they
        // rest on are committed, so that the next leader repeats finished work.
        const cluster = new FaultyCluster(seed);
        await cluster.run();
        t.deepEqual(cluster.violations, []);
        t.true(cluster.starts.length >= JOBS);
    });
}
