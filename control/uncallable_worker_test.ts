import test from "ava";
import { buildSpec } from "../dispatch/_fixtures.ts";
import type { JobId } from "../job/mod.ts";
import { buildLeadership, waitUntil } from "./_fixtures.ts";
import type { CallerCall } from "./calls.ts";

const JOB = "00000000000000f1" as JobId;
const SUBMISSION: CallerCall = {
    type: "submit",
    host: "studio.example",
    path: `/previews/${JOB}`,
    apiKey: "",
    spec: buildSpec({ count: 1 }),
    problem: "",
};

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
