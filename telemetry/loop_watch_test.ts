import test from "ava";
import { LoopWatch } from "./loop_watch.ts";

test("a turn that came on time is silent, a held one is told of with its length", (t) => {
    const held: number[] = [];
    const clock = { now: 0 };
    const watch = new LoopWatch({ onHeld: (ms) => held.push(ms), getNow: () => clock.now });
    watch.start();
    t.teardown(() => watch.stop());
    clock.now = 55;
    watch.checkTurn();
    clock.now = 455;
    watch.checkTurn();
    t.deepEqual(held, [350]);
});
