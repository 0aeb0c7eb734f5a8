import test from "ava";
import { EventLoopMonitor } from "./event_loop_monitor.ts";

test("a turn that came on time is silent, a held one is told of with its length", (t) => {
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
