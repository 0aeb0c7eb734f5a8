import test from "ava";
import type { WorkerId } from "../job/mod.ts";
import type { KeepAlive } from "../dispatch/mod.ts";
import { KeepAliveBatcher } from "./keep_alive_batcher.ts";

function buildKeepAlive(worker: string, sequence: number): KeepAlive {
    return {
        worker: worker as WorkerId,
        sequence,
        clockMs: 1,
        capacity: { cpu: 1, memoryMb: 1, gpu: 0 },
    };
}

test("keep-alives are sent as one batch with the latest of each worker", async (t) => {
    const sent: KeepAlive[][] = [];
    const batcher = new KeepAliveBatcher({
        send: (keepAlives) => {
            sent.push([...keepAlives]);
            return Promise.resolve();
        },
    });
    batcher.recordLeaderContact();
    await batcher.add(buildKeepAlive("w1", 1));
    await batcher.add(buildKeepAlive("w2", 1));
    await batcher.add(buildKeepAlive("w1", 2));
    t.deepEqual(sent, []);
    await new Promise((resolve) => setTimeout(resolve, 400));
    t.deepEqual(sent, [[buildKeepAlive("w1", 2), buildKeepAlive("w2", 1)]]);
    t.true(batcher.isLeaderReachable);
});

test("the leader counts as unreachable until contact and after a failed send", async (t) => {
    // Guards against acknowledging heartbeats that the leader doesn't receive.
    const batcher = new KeepAliveBatcher({ send: () => Promise.reject(new Error("cut off")) });
    t.false(batcher.isLeaderReachable);
    batcher.recordLeaderContact();
    t.true(batcher.isLeaderReachable);
    await batcher.add(buildKeepAlive("w1", 1));
    await new Promise((resolve) => setTimeout(resolve, 400));
    t.false(batcher.isLeaderReachable);
});

test("without contact to the leader a keep-alive is acknowledged only with its batch", async (t) => {
    // Guards against heartbeats that are forwarded one by one to a leader that is behind.
    const sent: number[] = [];
    let isLeaderUp = false;
    const batcher = new KeepAliveBatcher({
        send: (keepAlives) => {
            sent.push(keepAlives.length);
            return isLeaderUp ? Promise.resolve() : Promise.reject(new Error("no leader"));
        },
    });
    const workers = Array.from({ length: 50 }, (_, i) => `w${i}`);
    const outcomes = await Promise.allSettled(
        workers.map((worker) => batcher.add(buildKeepAlive(worker, 1))),
    );
    t.true(outcomes.every(({ status }) => status === "rejected"));
    isLeaderUp = true;
    await Promise.all(workers.map((worker) => batcher.add(buildKeepAlive(worker, 2))));
    t.deepEqual(sent, [50, 50]);
});
