import test from "ava";
import type { WorkerId } from "../job/mod.ts";
import type { LifeSign } from "./calls.ts";
import { SignBox } from "./sign_box.ts";

function buildSign(worker: string, sequence: number): LifeSign {
    return {
        worker: worker as WorkerId,
        sequence,
        clockMs: 1,
        capacity: { cpu: 1, memoryMb: 1, gpu: 0 },
    };
}

test("heartbeats go to the leader together, the newest of each worker", async (t) => {
    const sent: LifeSign[][] = [];
    const box = new SignBox({
        send: (signs) => {
            sent.push([...signs]);
            return Promise.resolve();
        },
    });
    box.add(buildSign("w1", 1));
    box.add(buildSign("w2", 1));
    box.add(buildSign("w1", 2));
    await new Promise((resolve) => setTimeout(resolve, 400));
    t.deepEqual(sent, [[buildSign("w1", 2), buildSign("w2", 1)]]);
    t.true(box.isTrusted);
});

test("a member that does not reach the leader takes no heartbeats", async (t) => {
    // A worker's heartbeats go to a member that was cut off. Acknowledged there, they would keep
    // the worker with that member while the leader takes it for dead.
    const box = new SignBox({ send: () => Promise.reject(new Error("cut off")) });
    t.false(box.isTrusted);
    box.confirmLeader();
    t.true(box.isTrusted);
    box.add(buildSign("w1", 1));
    await new Promise((resolve) => setTimeout(resolve, 400));
    t.false(box.isTrusted);
});
