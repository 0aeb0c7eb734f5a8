import test from "ava";
import { EventLoopMonitor } from "./event_loop_monitor.ts";

test("reports how long the event loop was blocked, and nothing for a timer on time", (t) => {
    const blockedMs: number[] = [];
    const clock = { now: 0 };
    const monitor = new EventLoopMonitor({
        onBlocked: (ms) => blockedMs.push(ms),
        getNow: () => clock.now,
    });
    monitor.start();
    t.teardown(() => monitor.stop());
    clock.now = 55;
    monitor.checkDelay();
    clock.now = 455;
    monitor.checkDelay();
    t.deepEqual(blockedMs, [350]);
});
