import { fork } from "node:child_process";
import test, { type ExecutionContext } from "ava";
import { connectionTracker, createRpcClient, startRpcServer } from "./mod.ts";

const CALLERS = 40;
const CALL_TIMEOUT_MS = 500;
const STALL_MS = 1_500;
/** The time after a stall in which calls may still fail, in ms. */
const RECOVERY_MS = 1_000;
const OBSERVED_MS = 2_000;

interface SlowServer {
    readonly address: string;
    readonly stall: (durationMs: number) => void;
}

async function startSlowServer(t: ExecutionContext): Promise<SlowServer> {
    const child = fork(new URL("./_slow_server_fixture.ts", import.meta.url), {
        execArgv: ["--import=tsx"],
    });
    t.teardown(() => child.kill());
    const address = await new Promise<string>((resolve) =>
        child.once("message", (message) => resolve(message as string)),
    );
    return { address, stall: (durationMs) => child.send(durationMs) };
}

test.serial("a call that is given up costs its server no connection", async (t) => {
    // Guards against time-outs that make a slow server accept a new connection for each call.
    const server = await startRpcServer({ methods: { held: () => new Promise(() => {}) } });
    t.teardown(() => server.close());
    const client = createRpcClient(server.address);
    connectionTracker.takeSummary();
    for (let call = 0; call < 10; call += 1) {
        await t.throwsAsync(client.call("held", {}, 50));
    }
    t.is(connectionTracker.takeSummary().accepted, 1);
});

test.serial("a server that has stalled keeps its connection", async (t) => {
    // Guards against clients that replace their connection whenever a server answers late.
    const server = await startSlowServer(t);
    const client = createRpcClient(server.address);
    await client.call("x", {});
    connectionTracker.takeSummary();
    server.stall(STALL_MS);
    const calls = Array.from({ length: 10 }, () => client.call("x", {}, 2 * STALL_MS));
    await Promise.all(calls);
    await client.call("x", {});
    // The one that was to replace the silent connection and wasn't needed.
    t.true(connectionTracker.takeSummary().opened <= 1);
});

test.serial("callers are served again soon after their server has stalled", async (t) => {
    // Guards against a backlog of connections that outlasts the stall and keeps itself going.
    const server = await startSlowServer(t);
    const client = createRpcClient(server.address);
    const counts = { answered: 0, failed: 0 };
    let isObserving = false;
    let isStopped = false;
    const runCaller = async (): Promise<void> => {
        while (!isStopped) {
            const isCounted = isObserving;
            const outcome = await client.call("x", {}, CALL_TIMEOUT_MS).then(
                () => "answered" as const,
                () => "failed" as const,
            );
            counts[outcome] += isCounted ? 1 : 0;
        }
    };
    const callers = Promise.all(Array.from({ length: CALLERS }, runCaller));
    const wait = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));
    await wait(1_000);
    server.stall(STALL_MS);
    await wait(STALL_MS + RECOVERY_MS);
    isObserving = true;
    await wait(OBSERVED_MS);
    isStopped = true;
    await callers;
    t.log(counts);
    t.true(counts.answered > 9 * counts.failed, `${counts.answered} of ${counts.failed}`);
});
