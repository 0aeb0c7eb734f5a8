import test from "ava";
import { buildQueue, buildSpec, buildWorkerReport } from "../dispatch/_fixtures.ts";
import type { PollOrder } from "../dispatch/mod.ts";
import { StateStore, type JobId, type WorkerId } from "../job/mod.ts";
import { buildConfiguration, buildLeadership, waitUntil } from "./_fixtures.ts";
import type { CallerCall } from "./calls.ts";
import { InvalidAddressError } from "./leadership.ts";

const JOB = "00000000000000f1" as JobId;
const INVALID_ADDRESS = "10.0.0.9:80800";
const UNCALLABLE = buildWorkerReport({ id: "w9" as WorkerId, address: INVALID_ADDRESS });
const SUBMISSION: CallerCall = {
    type: "submit",
    host: "studio.example",
    path: `/previews/${JOB}`,
    apiKey: "",
    spec: buildSpec({ count: 1 }),
    problem: "",
};

/** Builds the state that a leader of an earlier release left behind. */
function buildCommittedState(): StateStore {
    const committedState = new StateStore();
    const configuration = { ...buildConfiguration(1), queues: [buildQueue()] };
    committedState.apply({
        at: 0,
        facts: [
            { type: "configurationSet", configuration },
            { type: "workerSeen", worker: buildWorkerReport() },
            { type: "workerSeen", worker: UNCALLABLE },
        ],
    });
    return committedState;
}

// Guards against a call whose rejection nobody handles, which ends the leader and its successors.
test("calls to a worker that throw or reject count as unanswered", async (t) => {
    const lines: string[] = [];
    let hasStarted = false;
    const { leadership } = buildLeadership({
        waitForLease: () => Promise.resolve(true),
        onStart: () => {},
        onPoll: () => {
            if (hasStarted) {
                throw new RangeError("port out of range");
            }
        },
        onLogLines: (text) => lines.push(text),
        workerCalls: {
            start: () => {
                hasStarted = true;
                return Promise.reject(new RangeError("port out of range"));
            },
        },
    });
    leadership.start();
    t.deepEqual(await leadership.handleCaller(SUBMISSION), { type: "accepted" });
    await waitUntil(() => lines.join("").includes("worker silent"));
    t.regex(lines.join(""), /worker call failed/);
    t.true((await leadership.handleCaller({ ...SUBMISSION, type: "state" })).type === "state");
    leadership.stop();
});

// Guards against records of an earlier release that end each of its leaders.
test("a recorded worker with an invalid address is removed without being called", async (t) => {
    const polled: string[] = [];
    const started: string[] = [];
    const { leadership, committedState } = buildLeadership({
        committedState: buildCommittedState(),
        waitForLease: () => Promise.resolve(true),
        onStart: (task) => started.push(task),
        onPoll: ({ address }: PollOrder) => polled.push(address),
        onLogLines: () => {},
    });
    leadership.start();
    await waitUntil(() => !committedState.workers.has(UNCALLABLE.id));
    t.is(committedState.workers.size, 1);
    await leadership.handleCaller(SUBMISSION);
    await waitUntil(() => started.length > 0);
    t.false(polled.includes(INVALID_ADDRESS));
    leadership.stop();
});

// Guards against an instance of an earlier release that forwards what it does not check.
test("a heartbeat with an invalid address is not recorded", async (t) => {
    const { leadership, committedState } = buildLeadership({
        waitForLease: () => Promise.resolve(true),
        onStart: () => {},
        onLogLines: () => {},
    });
    leadership.start();
    const heartbeat = { record: UNCALLABLE, sequence: 1, clockMs: 1, leavesInMs: undefined };
    await t.throwsAsync(leadership.handleHeartbeat(heartbeat), {
        instanceOf: InvalidAddressError,
    });
    t.false(committedState.workers.has(UNCALLABLE.id));
    leadership.stop();
});
