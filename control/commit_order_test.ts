import test, { type ExecutionContext } from "ava";
import { buildSpec } from "../dispatch/_fixtures.ts";
import type { FrontId, OrderAnswer, PollAnswer, PollOrder } from "../dispatch/mod.ts";
import type { Incarnation, JobId, StateStore, WorkerId } from "../job/mod.ts";
import { TaskWorker } from "../standin/task_worker.ts";
import { createControlMetrics } from "../telemetry/control_metrics.ts";
import { buildLeadership, waitUntil, type LeadershipFixtureOptions } from "./_fixtures.ts";
import type { CallerCall } from "./calls.ts";
import type { Leadership } from "./leadership.ts";

const JOB = "00000000000000e1" as JobId;
const OTHER_JOB = "00000000000000e2" as JobId;
const WORKER = "w1" as WorkerId;
const INCARNATION = 7 as Incarnation;
const OTHER_INCARNATION = 6 as Incarnation;
const TASK_MS = 60;
/** Longer than the intervals of polls, retries and ticks. */
const COMMIT_MS = 700;

/** Lets calls pass or holds them back. */
class Gate {
    #isOpen = true;
    #waiting: (() => void)[] = [];

    close(): void {
        this.#isOpen = false;
    }

    open(): void {
        this.#isOpen = true;
        this.#waiting.forEach((resolve) => resolve());
        this.#waiting = [];
    }

    wait(): Promise<void> {
        return this.#isOpen
            ? Promise.resolve()
            : new Promise((resolve) => this.#waiting.push(resolve));
    }
}

interface Fixture {
    readonly worker: TaskWorker;
    readonly starts: string[];
    readonly stops: string[];
    /** The cursors of all polls. */
    readonly cursors: number[];
    /** The number of ends in each answer to a poll. */
    readonly endCounts: number[];
    readonly commits: Gate;
    /** Holds back the answers to long polls. */
    readonly longPolls: Gate;
    readonly leadership: Leadership;
    readonly committedState: StateStore;
    /** Replaces the leader; commits that are held back are lost. */
    readonly replaceLeader: () => Promise<Leadership>;
    /** Counts the effects that were released before the facts they rest on were committed. */
    readonly countUncommittedEffects: () => Promise<number>;
}

interface StartOptions extends Partial<LeadershipFixtureOptions> {
    readonly taskMs?: number;
    /** Called when a start reaches the worker; returns false to lose the answer. */
    readonly isStartAnswered?: () => boolean;
}

/** Starts a leader with one worker, whose polls and commits the test can hold back. */
function startLeadership(t: ExecutionContext, options: StartOptions = {}): Fixture {
    const [commits, longPolls] = [new Gate(), new Gate()];
    const [starts, stops]: [string[], string[]] = [[], []];
    const [cursors, endCounts]: [number[], number[]] = [[], []];
    const metrics = createControlMetrics();
    const worker = new TaskWorker({
        id: WORKER,
        incarnation: INCARNATION,
        capacity: { cpu: 16_000, memoryMb: 32_000, gpu: 0 },
        getNow: () => performance.now(),
        computeTaskMs: () => options.taskMs ?? TASK_MS,
        getDemand: () => ({ cpu: 1_000, memoryMb: 1_000, gpu: 0 }),
        onStart: ({ task, attempt }) => starts.push(`${task}#${attempt}`),
    });
    const build = (overrides: Partial<LeadershipFixtureOptions>) =>
        buildLeadership({
            waitForLease: () => Promise.resolve(true),
            onStart: () => {},
            onLogLines: () => {},
            incarnation: INCARNATION,
            metrics,
            workerCalls: {
                start: (order) => {
                    const answer = worker.start(order);
                    const isAnswered = options.isStartAnswered?.() ?? true;
                    const lost: OrderAnswer = { type: "unanswered", cause: "timeout" };
                    return Promise.resolve(isAnswered ? answer : lost);
                },
                stop: (order) => {
                    stops.push(order.task);
                    return Promise.resolve(worker.stop(order));
                },
                poll: (order) => pollWorker(order),
            },
            ...options,
            ...overrides,
        });
    const pollWorker = async (order: PollOrder): Promise<PollAnswer> => {
        cursors.push(order.cursor);
        if (order.waitMs > 0) {
            await longPolls.wait();
        }
        const answer = worker.poll(order);
        endCounts.push(answer.type === "state" ? answer.ended.length : 0);
        return answer;
    };
    const { leadership, committedState } = build({ waitForCommit: () => commits.wait() });
    t.teardown(() => leadership.stop());
    leadership.start();
    const replaceLeader = (): Promise<Leadership> => {
        leadership.stop();
        const next = build({ committedState, term: 2 });
        t.teardown(() => next.leadership.stop());
        next.leadership.start();
        return Promise.resolve(next.leadership);
    };
    const countUncommittedEffects = async (): Promise<number> => {
        const { values } = await metrics.uncommittedEffects.get();
        return values.reduce((sum, { value }) => sum + value, 0);
    };
    return {
        ...{ worker, starts, stops, cursors, endCounts, commits, longPolls },
        ...{ leadership, committedState, replaceLeader, countUncommittedEffects },
    };
}

function buildCall(type: "submit" | "cancel", job: JobId = JOB): CallerCall {
    const target = { host: "studio.example", path: `/previews/${job}` };
    return type === "cancel"
        ? { type, ...target }
        : { type, ...target, spec: buildSpec({}), problem: "" };
}

/** Ignores the failure of a call whose commit is lost. */
function runInBackground(call: Promise<unknown>): void {
    call.catch(() => {});
}

/** Polls the worker at once: its record doesn't fit the notice of departure. */
function pollImmediately({ leadership }: Fixture): void {
    runInBackground(leadership.handleLeave({ worker: WORKER, incarnation: OTHER_INCARNATION }));
}

/**
 * Runs a task to its end with two polls in flight, both of which then list the end while its commit
 * is held back.
 */
async function endTaskWithTwoPolls(fixture: Fixture): Promise<void> {
    const { leadership, worker, cursors, commits, longPolls } = fixture;
    longPolls.close();
    await leadership.handleCaller(buildCall("submit"));
    await waitUntil(() => fixture.starts.length === 1);
    await waitUntil(() => {
        worker.advance();
        return worker.runs.length === 0;
    });
    commits.close();
    const pollCount = cursors.length;
    pollImmediately(fixture);
    await waitUntil(() => cursors.length > pollCount);
    await new Promise((resolve) => setTimeout(resolve, TASK_MS));
    longPolls.open();
    await new Promise((resolve) => setTimeout(resolve, COMMIT_MS));
}

test("an end is acknowledged to its worker only after its commit", async (t) => {
    // Guards against an acknowledgement by a second poll that lists an end whose commit is pending.
    const fixture = startLeadership(t);
    await endTaskWithTwoPolls(fixture);
    t.true(fixture.endCounts.filter((count) => count === 1).length >= 2);
    t.true(fixture.cursors.every((cursor) => cursor === 0));
    fixture.commits.open();
    await waitUntil(() => fixture.cursors.includes(1));
    t.is(await fixture.countUncommittedEffects(), 0);
});

test("a task whose end was lost with the leader's pending commit is not started again", async (t) => {
    // Guards against a worker that has discarded an end which the next leader does not know.
    const fixture = startLeadership(t);
    await endTaskWithTwoPolls(fixture);
    await fixture.replaceLeader();
    await waitUntil(
        () =>
            fixture.starts.length > 1 || fixture.committedState.jobs.get(JOB)?.state === "complete",
    );
    t.deepEqual(fixture.starts, [`${JOB}.0.0.0#1`]);
});

test("a task is stopped only after the commit of its job's cancellation", async (t) => {
    // Guards against a repeated stop that overtakes the commit, so that a leader which then fails has
    // stopped a task of a job that nobody cancelled.
    const fixture = startLeadership(t, { taskMs: 60_000 });
    await fixture.leadership.handleCaller(buildCall("submit"));
    await waitUntil(() => fixture.starts.length === 1);
    fixture.commits.close();
    runInBackground(fixture.leadership.handleCaller(buildCall("cancel")));
    await new Promise((resolve) => setTimeout(resolve, COMMIT_MS));
    t.deepEqual(fixture.stops, []);
    fixture.commits.open();
    await waitUntil(() => fixture.stops.length > 0);
    await new Promise((resolve) => setTimeout(resolve, TASK_MS));
    t.is(fixture.stops.length, 1);
    t.is(await fixture.countUncommittedEffects(), 0);
});

test("advice doesn't wait for the commit of its job's acceptance, but the start does", async (t) => {
    // Guards against a start on behalf of a job that is lost with its leader, and against callers that
    // wait for one commit after the other before their job's turn comes.
    let adviceCalls = 0;
    const fixture = startLeadership(t, {
        queue: { advice: { decideMs: 1, perWorkerMs: 0, validMs: 2_000 } },
        advise: () => {
            adviceCalls += 1;
            return Promise.resolve({ admissions: [{ worker: WORKER, ticket: "t" }] });
        },
    });
    await waitUntil(() => fixture.cursors.length > 0);
    fixture.leadership.setFronts(["front-1" as FrontId]);
    fixture.commits.close();
    runInBackground(fixture.leadership.handleCaller(buildCall("submit")));
    await waitUntil(() => adviceCalls === 1);
    await new Promise((resolve) => setTimeout(resolve, COMMIT_MS));
    t.deepEqual(fixture.starts, []);
    fixture.commits.open();
    await waitUntil(() => fixture.starts.length === 1);
    t.is(await fixture.countUncommittedEffects(), 0);
});

test("a start without an answer is repeated while the commit of other facts is pending", async (t) => {
    // Guards against runs on record that reach no worker because a later commit is slow or never comes.
    let sends = 0;
    const fixture: Fixture = startLeadership(t, {
        taskMs: 60_000,
        isStartAnswered: () => {
            sends += 1;
            fixture.commits.close();
            runInBackground(fixture.leadership.handleCaller(buildCall("submit", OTHER_JOB)));
            return sends > 1;
        },
    });
    await fixture.leadership.handleCaller(buildCall("submit"));
    await waitUntil(() => sends === 2);
    await new Promise((resolve) => setTimeout(resolve, COMMIT_MS));
    t.is(sends, 2);
    t.is(await fixture.countUncommittedEffects(), 0);
});
