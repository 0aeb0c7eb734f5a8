import test, { type ExecutionContext } from "ava";
import type { PoolName } from "../configuration/mod.ts";
import { buildSpec, buildWorkerReport, buildWorkspace } from "../dispatch/_fixtures.ts";
import { StateStore, type Incarnation, type WorkerId } from "../job/mod.ts";
import { NOT_LEADER_CODE, OUTCOME_UNKNOWN_CODE } from "../membership/mod.ts";
import { MethodError } from "../rpc/mod.ts";
import { buildConfiguration, buildLeadership } from "./_fixtures.ts";
import type { CallerCall } from "./calls.ts";
import type { Leadership } from "./leadership.ts";

const INCARNATION = 7 as Incarnation;
const NEXT_INCARNATION = 8 as Incarnation;
const NOTICE = { worker: "w1" as WorkerId, incarnation: INCARNATION };
const TARGET = { host: "studio.example", path: "/previews/00000000000000e1" };
const SUBMISSION: CallerCall = { type: "submit", ...TARGET, spec: buildSpec({}), problem: "" };
const CANCELLATION: CallerCall = { type: "cancel", ...TARGET };
/** Longer than the interval of ticks. */
const COMMIT_MS = 250;

/** Starts a leader whose commits wait until they are released. */
function startLeadership(
    t: ExecutionContext,
    state?: StateStore,
): { leadership: Leadership; committedState: StateStore; release: () => void } {
    let release = (): void => {};
    const released = new Promise<void>((resolve) => (release = resolve));
    const { leadership, committedState } = buildLeadership({
        waitForLease: () => Promise.resolve(true),
        onStart: () => {},
        onLogLines: () => {},
        incarnation: INCARNATION,
        committedState: state,
        waitForCommit: () => released,
    });
    t.teardown(() => leadership.stop());
    return { leadership, committedState, release };
}

/** Makes a call twice while commits are held back, and returns both answers. */
async function callTwice<T>(
    t: ExecutionContext,
    release: () => void,
    call: () => Promise<T>,
): Promise<T[]> {
    let settledCount = 0;
    const answers = [call(), call()];
    answers.forEach((answer) => answer.finally(() => (settledCount += 1)).catch(() => {}));
    await new Promise((resolve) => setTimeout(resolve, COMMIT_MS));
    t.is(settledCount, 0);
    release();
    return Promise.all(answers);
}

test("a repeated departure is acknowledged only after the commit of the removal", async (t) => {
    // Guards against an acknowledged departure of a worker that the next leader still knows.
    const { leadership, release } = startLeadership(t);
    await t.notThrowsAsync(callTwice(t, release, () => leadership.handleLeave(NOTICE)));
});

test("a repeated submission is answered only after the commit of the job", async (t) => {
    // Guards against an accepted job that is lost with its leader, and against a false refusal.
    const { leadership, release } = startLeadership(t);
    const answers = await callTwice(t, release, () => leadership.handleCaller(SUBMISSION));
    t.deepEqual(answers, [{ type: "accepted" }, { type: "accepted" }]);
});

test("a repeated submission whose leader fails may have been accepted", async (t) => {
    // Guards against a caller who is told that a job never runs while its first submission is pending.
    let commits = 0;
    const { leadership } = buildLeadership({
        waitForLease: () => Promise.resolve(true),
        onStart: () => {},
        onLogLines: () => {},
        waitForCommit: () => {
            commits += 1;
            return commits === 1
                ? new Promise(() => {})
                : Promise.reject(new MethodError("not the leader", NOT_LEADER_CODE));
        },
    });
    t.teardown(() => leadership.stop());
    const other: CallerCall = { ...SUBMISSION, path: "/previews/00000000000000e2" };
    void leadership.handleCaller(SUBMISSION).catch(() => {});
    const refused = { instanceOf: MethodError, code: NOT_LEADER_CODE };
    const unknown = { instanceOf: MethodError, code: OUTCOME_UNKNOWN_CODE };
    await t.throwsAsync(leadership.handleCaller(other), refused);
    await t.throwsAsync(leadership.handleCaller(SUBMISSION), unknown);
});

test("a job that arrives while its queue is being removed is refused", async (t) => {
    // Guards against an accepted job in a queue that nothing serves.
    const { leadership, committedState, release } = startLeadership(t);
    const { queues, ...rest } = buildConfiguration(2);
    const changed = queues.map((queue) => ({ ...queue, pathPrefix: "/reels/" }));
    const configured = leadership.handleConfigure({ ...rest, queues: changed });
    const answer = leadership.handleCaller(SUBMISSION);
    release();
    t.deepEqual(await configured, { type: "acknowledged" });
    t.deepEqual(await answer, { type: "unknownQueue" });
    t.is(committedState.jobs.size, 0);
});

/** Starts a leader of which each commit waits until it is released, in order. */
function startSteppedLeadership(t: ExecutionContext): {
    leadership: Leadership;
    committedState: StateStore;
    releaseNext: () => Promise<void>;
    rejectAll: () => void;
} {
    const pending: { resolve: () => void; reject: (error: Error) => void }[] = [];
    const { leadership, committedState } = buildLeadership({
        waitForLease: () => Promise.resolve(true),
        onStart: () => {},
        onLogLines: () => {},
        waitForCommit: () => new Promise((resolve, reject) => pending.push({ resolve, reject })),
    });
    t.teardown(() => leadership.stop());
    return {
        leadership,
        committedState,
        releaseNext: async () => {
            pending.shift()?.resolve();
            await new Promise((resolve) => setTimeout(resolve, 5));
        },
        rejectAll: () => pending.forEach(({ reject }) => reject(new Error("leadership ended"))),
    };
}

// Guards against a cancelled job that runs: calls that wait for one configuration each may be handled
// in another order than they came in.
test("a cancellation stays behind its submission while configurations are committed", async (t) => {
    const { leadership, committedState, releaseNext } = startSteppedLeadership(t);
    await releaseNext();
    const configured = leadership.handleConfigure(buildConfiguration(2));
    const submitted = leadership.handleCaller(SUBMISSION);
    const configuredAgain = leadership.handleConfigure(buildConfiguration(3));
    const cancelled = leadership.handleCaller(CANCELLATION);
    for (let i = 0; i < 10; i++) {
        await releaseNext();
    }
    t.deepEqual(await Promise.all([configured, configuredAgain]), [
        { type: "acknowledged" },
        { type: "acknowledged" },
    ]);
    t.deepEqual(await submitted, { type: "accepted" });
    t.deepEqual(await cancelled, { type: "cancelled" });
    t.is([...committedState.jobs.values()][0]?.state, "cancelled");
});

// Guards against calls that wait as long as configurations keep coming.
test("a submission doesn't wait for configurations that come after it", async (t) => {
    const { leadership, releaseNext } = startSteppedLeadership(t);
    await releaseNext();
    const configured = [leadership.handleConfigure(buildConfiguration(2))];
    const submitted = leadership.handleCaller(SUBMISSION);
    let answer: unknown;
    void submitted.then((result) => (answer = result));
    for (let version = 3; version < 8; version++) {
        configured.push(leadership.handleConfigure(buildConfiguration(version)));
        await releaseNext();
    }
    t.deepEqual(answer, { type: "accepted" });
    for (let i = 0; i < 10; i++) {
        await releaseNext();
    }
    await Promise.all(configured);
});

// Guards against a job that is run for a key which the configuration before it has removed.
test("a key that is being removed grants no submission", async (t) => {
    const { leadership, committedState, releaseNext } = startSteppedLeadership(t);
    await releaseNext();
    const workspace = buildWorkspace();
    const withKey = { ...buildConfiguration(2), workspaces: [workspace] };
    const configured = leadership.handleConfigure(withKey);
    await releaseNext();
    await configured;
    const removed = leadership.handleConfigure({
        ...buildConfiguration(3),
        workspaces: [{ ...workspace, apiKeys: [] }],
    });
    const answer = leadership.handleCaller({ ...SUBMISSION, apiKey: workspace.apiKeys[0] });
    for (let i = 0; i < 5; i++) {
        await releaseNext();
    }
    await removed;
    t.deepEqual(await answer, { type: "unauthenticated" });
    t.is(committedState.jobs.size, 0);
});

// Guards against a job that is recorded with the pool that its queue has left.
test("a job that arrives while its queue moves is recorded with the new pool", async (t) => {
    const { leadership, committedState, releaseNext } = startSteppedLeadership(t);
    await releaseNext();
    const pool = "annex" as PoolName;
    const { queues, pools, ...rest } = buildConfiguration(2);
    const configured = leadership.handleConfigure({
        ...rest,
        queues: queues.map((queue) => ({ ...queue, pool })),
        pools: [...pools, { name: pool, hasAdmissionCheck: false, isStandby: false }],
    });
    const answer = leadership.handleCaller(SUBMISSION);
    for (let i = 0; i < 5; i++) {
        await releaseNext();
    }
    await configured;
    t.deepEqual(await answer, { type: "accepted" });
    t.is([...committedState.jobs.values()][0]?.pool, pool);
});

// Guards against a refusal by a configuration that is never in force.
test("a refusal by a configuration that isn't committed is not told", async (t) => {
    const { leadership, releaseNext, rejectAll } = startSteppedLeadership(t);
    await releaseNext();
    const { queues, ...rest } = buildConfiguration(2);
    const changed = queues.map((queue) => ({ ...queue, pathPrefix: "/reels/" }));
    const configured = leadership.handleConfigure({ ...rest, queues: changed });
    const answer = leadership.handleCaller(SUBMISSION);
    rejectAll();
    await t.throwsAsync(configured);
    await t.throwsAsync(answer, { message: /leadership ended/ });
});

test("a call to an ended leadership does not wait for a configuration of a later one", async (t) => {
    // Guards against a process that hangs in a call that was queued when its leadership ended.
    const { leadership, committedState, release } = startLeadership(t);
    release();
    leadership.stop();
    const configuration = buildConfiguration(2);
    committedState.apply({ at: 0, facts: [{ type: "configurationSet", configuration }] });
    await t.notThrowsAsync(leadership.handleCaller(SUBMISSION));
});

test("a repeated cancellation is answered only after the commit of the first", async (t) => {
    // Guards against an acknowledged cancellation that is lost with its leader.
    const { leadership, release } = startLeadership(t);
    void leadership.handleCaller(SUBMISSION).catch(() => {});
    const answers = await callTwice(t, release, () => leadership.handleCaller(CANCELLATION));
    t.deepEqual(answers, [{ type: "cancelled" }, { type: "cancelled" }]);
});

test("a repeated shutdown notice is acknowledged only after the commit of the first", async (t) => {
    // Guards against an acknowledged drain of a worker that the next leader does not know, if another
    // incarnation of the worker was removed before.
    const committedState = new StateStore();
    const earlier = buildWorkerReport({ incarnation: INCARNATION });
    committedState.apply({
        at: 0,
        facts: [
            { type: "workerSeen", worker: earlier },
            { type: "workerGone", worker: earlier.id },
        ],
    });
    const { leadership, release } = startLeadership(t, committedState);
    const record = buildWorkerReport({ incarnation: NEXT_INCARNATION, isDraining: true });
    let sequence = 0;
    const answers = callTwice(t, release, () => {
        sequence += 1;
        return leadership.handleHeartbeat({
            record,
            sequence,
            clockMs: undefined,
            leavesInMs: undefined,
        });
    });
    await t.notThrowsAsync(answers);
});
