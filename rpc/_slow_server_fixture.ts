/**
 * An RPC server whose event loop takes long turns, run as a process of its own by
 * `stalled_server_test.ts`. On a message it blocks for that many ms.
 *
 * @module
 */

import { startRpcServer } from "./mod.ts";

/** Work in each turn of the event loop, in ms. */
const TURN_MS = 10;
/** Time until a call is answered, without occupying the event loop, in ms. */
const ANSWER_MS = 100;

function runFor(durationMs: number): void {
    const endMs = performance.now() + durationMs;
    while (performance.now() < endMs) {
        // Occupies the event loop.
    }
}

const server = await startRpcServer({
    methods: { x: () => new Promise((resolve) => setTimeout(() => resolve("y"), ANSWER_MS)) },
});
const keepTurning = (): void => {
    runFor(TURN_MS);
    setImmediate(keepTurning);
};
keepTurning();
process.on("message", (stallMs: number) => runFor(stallMs));
process.on("disconnect", () => process.exit());
process.send?.(server.address);
