import test, { type ExecutionContext } from "ava";
import type { Configuration, QueueConfig, QueueName } from "../configuration/mod.ts";
import { buildQueue, buildSpec, buildWorkspace } from "../dispatch/_fixtures.ts";
import { StateStore } from "../job/mod.ts";
import type { WorkspaceName } from "../workspace/mod.ts";
import { buildConfiguration, buildLeadership, ClusterFixture, waitUntil } from "./_fixtures.ts";
import type { CallerAnswer, CallerCall } from "./calls.ts";
import type { Leadership } from "./leadership.ts";

const HOST = "studio.example";
const PATH = "/previews/00000000000000a1";
const ACME = buildWorkspace({ name: "acme" as WorkspaceName });
const OTHER = buildWorkspace({ name: "other" as WorkspaceName });
const ACME_KEY = "key-of-acme";
const OTHER_KEY = "key-of-other";
const CANCELLED: CallerAnswer = { type: "conflict", isCancelled: true };
/** Longer than a placement and an order take. */
const START_MS = 200;

interface Fixture {
    readonly leadership: Leadership;
    readonly committedState: StateStore;
    readonly startedTasks: string[];
}

interface FixtureOptions {
    /** The state of an earlier leadership. */
    readonly committedState?: StateStore;
    readonly configuration?: Configuration;
    readonly waitForCommit?: () => Promise<void>;
}

/** Starts a leader with a worker. */
async function startLeadership(t: ExecutionContext, options: FixtureOptions): Promise<Fixture> {
    const startedTasks: string[] = [];
    const { leadership, committedState } = buildLeadership({
        waitForLease: () => Promise.resolve(true),
        onStart: (task) => startedTasks.push(task),
        onLogLines: () => {},
        committedState: options.committedState,
        waitForCommit: options.waitForCommit,
    });
    t.teardown(() => leadership.stop());
    leadership.start();
    if (options.configuration !== undefined) {
        await leadership.handleConfigure(options.configuration);
    }
    return { leadership, committedState, startedTasks };
}

/** Builds a configuration with two workspaces and a queue beside that of {@link PATH}. */
function buildSharedConfiguration(queue: Partial<QueueConfig> = {}): Configuration {
    const reels = buildQueue({ name: "reels" as QueueName, pathPrefix: "/reels/" });
    return {
        ...buildConfiguration(2),
        queues: [buildQueue(queue), reels],
        workspaces: [ACME, OTHER],
    };
}

function submit(leadership: Leadership, apiKey = "", path = PATH): Promise<CallerAnswer> {
    const spec = buildSpec({ count: 1 });
    return leadership.handleCaller({ type: "submit", host: HOST, path, apiKey, spec, problem: "" });
}

function callJob(
    leadership: Leadership,
    type: "state" | "cancel",
    apiKey = "",
    path = PATH,
): Promise<CallerAnswer> {
    return leadership.handleCaller({ type, host: HOST, path, apiKey });
}

function wait(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
}

// Guards against a job that runs although its cancellation was acknowledged: the submission was
// delayed on its way.
test("a submission that arrives after its cancellation is refused and does not run", async (t) => {
    const { leadership, committedState, startedTasks } = await startLeadership(t, {});
    t.deepEqual(await callJob(leadership, "cancel"), { type: "unknownJob" });
    t.deepEqual(await submit(leadership), CANCELLED);
    t.deepEqual(await submit(leadership), CANCELLED);
    t.deepEqual(await callJob(leadership, "state"), { type: "unknownJob" });
    t.deepEqual(await callJob(leadership, "cancel"), { type: "unknownJob" });
    t.deepEqual(await callJob(leadership, "state", "", "/previews/"), {
        type: "pending",
        count: 0,
    });
    await wait(START_MS);
    t.deepEqual(startedTasks, []);
    t.is(committedState.jobs.size, 0);
});

for (const [name, restore] of [
    ["the next leader", (state: StateStore): StateStore => state],
    [
        "a leader that restarted from a snapshot",
        (state: StateStore): StateStore => {
            const restored = new StateStore();
            restored.restore(state.encode());
            return restored;
        },
    ],
] as const) {
    // Guards against a cancellation that only the leader knew which acknowledged it.
    test(`a delayed submission of a cancelled job is refused by ${name}`, async (t) => {
        const first = await startLeadership(t, {});
        await callJob(first.leadership, "cancel");
        first.leadership.stop();
        const next = await startLeadership(t, { committedState: restore(first.committedState) });
        t.deepEqual(await submit(next.leadership), CANCELLED);
        t.is((await submit(next.leadership, "", "/previews/00000000000000a2")).type, "accepted");
    });
}

// Guards against a cancellation that is acknowledged and lost with its leader, and against a
// submission that is refused for a cancellation which never takes effect.
test("a cancellation that isn't committed is neither acknowledged nor a reason to refuse", async (t) => {
    let isFailing = false;
    const { leadership } = await startLeadership(t, {
        waitForCommit: () =>
            isFailing ? Promise.reject(new Error("not the leader")) : Promise.resolve(),
    });
    isFailing = true;
    const cancelled = callJob(leadership, "cancel");
    const submitted = submit(leadership);
    await t.throwsAsync(cancelled, { message: "not the leader" });
    await t.throwsAsync(submitted);
});

// Guards against a caller that blocks the ids of another workspace by cancelling them first.
test("the cancellation of an id by one workspace does not affect another one's job", async (t) => {
    const { leadership, startedTasks } = await startLeadership(t, {
        configuration: buildSharedConfiguration(),
    });
    t.deepEqual(await callJob(leadership, "cancel", OTHER_KEY), { type: "unknownJob" });
    t.deepEqual(await submit(leadership, ACME_KEY), { type: "accepted" });
    await waitUntil(() => startedTasks.length === 1);
});

// Guards against a caller whose cancellation of an id lifts that of another workspace.
test("cancellations of one id by several workspaces are kept", async (t) => {
    const { leadership } = await startLeadership(t, { configuration: buildSharedConfiguration() });
    await callJob(leadership, "cancel", ACME_KEY);
    await callJob(leadership, "cancel", OTHER_KEY);
    t.deepEqual(await submit(leadership, ACME_KEY), CANCELLED);
    t.deepEqual(await submit(leadership, OTHER_KEY), CANCELLED);
});

// Guards against a cancellation that is acknowledged without a record because another workspace's job
// holds the id.
test("a cancellation of another workspace's job applies to the caller's own submission", async (t) => {
    const { leadership, committedState } = await startLeadership(t, {
        configuration: buildSharedConfiguration(),
    });
    await submit(leadership, ACME_KEY);
    t.deepEqual(await callJob(leadership, "cancel", OTHER_KEY), { type: "unknownJob" });
    t.deepEqual(await submit(leadership, OTHER_KEY), { type: "conflict" });
    t.is([...committedState.jobs.values()][0]?.endedAt, undefined);
    t.is(committedState.tombstones.count(OTHER.name), 1);
});

// Guards against a job that is lost because its id was cancelled in another queue.
test("the cancellation of an id in one queue does not affect a job in another", async (t) => {
    const { leadership, startedTasks } = await startLeadership(t, {
        configuration: buildSharedConfiguration(),
    });
    await callJob(leadership, "cancel", ACME_KEY, "/reels/00000000000000a1");
    t.deepEqual(await submit(leadership, ACME_KEY), { type: "accepted" });
    await waitUntil(() => startedTasks.length === 1);
});

// Guards against a cancelled job that runs on a public queue because only one of both calls had a key.
test("on a public queue, a cancellation without a key applies to a submission with one", async (t) => {
    const { leadership } = await startLeadership(t, {
        configuration: buildSharedConfiguration({ isPublic: true }),
    });
    await callJob(leadership, "cancel");
    t.deepEqual(await submit(leadership, ACME_KEY), CANCELLED);
});

// Guards against a cancelled job that runs because the leader failed between its cancellation and the
// arrival of its submission.
test.serial("a cancellation outlasts its leader's failure", async (t) => {
    const cluster = await ClusterFixture.start({ memberCount: 3, workerCount: 1 });
    t.teardown(() => cluster.stop());
    const leader = await cluster.waitForLeader();
    await cluster.daemons.get(leader)?.handleConfigure(buildConfiguration(1));
    await waitUntil(() => cluster.front.isReady);
    const target = { host: HOST, path: PATH, apiKey: "" };
    const cancellation: CallerCall = { type: "cancel", ...target };
    const spec = buildSpec({ count: 1 });
    const submission: CallerCall = { type: "submit", ...target, spec, problem: "" };
    t.deepEqual(await cluster.front.handleCaller(cancellation, 3_000), { type: "unknownJob" });
    await cluster.stopMember(leader);
    t.deepEqual(await cluster.front.handleCaller(submission, 5_000), CANCELLED);
    t.deepEqual(cluster.startedTasks, []);
});

/** Submits and cancels a job in one order, and returns whether it is left to run. */
async function isLeftToRun(
    t: ExecutionContext,
    { isPublic, owner, canceller }: { isPublic: boolean; owner: string; canceller: string },
    order: readonly ("submit" | "cancel")[],
): Promise<boolean> {
    const { leadership, committedState } = await startLeadership(t, {
        configuration: buildSharedConfiguration({ isPublic }),
    });
    for (const type of order) {
        await (type === "submit"
            ? submit(leadership, owner)
            : callJob(leadership, "cancel", canceller));
    }
    return [...committedState.jobs.values()].some(({ endedAt }) => endedAt === undefined);
}

// Guards against a rule for cancellations that come first which differs from the one for those that
// come second.
test("a cancellation applies to the same callers' jobs whether it comes first or second", async (t) => {
    const keys = [ACME_KEY, OTHER_KEY, ""];
    for (const isPublic of [false, true]) {
        for (const [owner, canceller] of keys.flatMap((a) => keys.map((b) => [a, b] as const))) {
            const callers = { isPublic, owner, canceller };
            t.is(
                await isLeftToRun(t, callers, ["cancel", "submit"]),
                await isLeftToRun(t, callers, ["submit", "cancel"]),
                JSON.stringify(callers),
            );
        }
    }
});
