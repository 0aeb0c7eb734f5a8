import { createServer, request as sendHttp, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import test, { type ExecutionContext } from "ava";
import { startTimeout } from "./timeout.ts";

const TIMEOUT_MS = 60;

/** Starts a server that blocks the event loop right after it has sent its response. */
async function startServer(t: ExecutionContext): Promise<number> {
    const server: Server = createServer((_req, res) => {
        res.end("ok", () => runBusyLoop(3 * TIMEOUT_MS));
    });
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    t.teardown(() => server.close());
    return (server.address() as AddressInfo).port;
}

/** Blocks the event loop for a given time. */
function runBusyLoop(durationMs: number): void {
    const deadlineMs = performance.now() + durationMs;
    while (performance.now() < deadlineMs) {
        // Spins until the time is over.
    }
}

test("a response that arrived while the event loop was blocked does not time out", async (t) => {
    // Timers run before I/O, so a plain timer would expire with the response already in the socket.
    const port = await startServer(t);
    const outcome = await new Promise<string>((resolve) => {
        const req = sendHttp({ host: "127.0.0.1", port }, () => {
            cancel();
            resolve("answered");
        });
        const cancel = startTimeout(TIMEOUT_MS, () => resolve("given up"));
        req.end();
    });
    t.is(outcome, "answered");
});

// Guards against timeouts that fire late or although cancelled. Timers of one duration expire in
// their order, so a plain timer that is started last bounds the delay on a busy machine, too.
test("a timeout fires in time, and a cancelled timeout does not fire", async (t) => {
    const fired: string[] = [];
    const startedAtMs = performance.now();
    startTimeout(TIMEOUT_MS / 2, () => fired.push("cancelled"))();
    startTimeout(TIMEOUT_MS, () => fired.push("silent"));
    await new Promise<void>((resolve) => {
        setTimeout(() => setImmediate(resolve), TIMEOUT_MS);
    });
    t.deepEqual(fired, ["silent"]);
    t.true(performance.now() - startedAtMs > TIMEOUT_MS - 1);
});
