import test from "ava";
import type { Effect, MemberRun } from "../dispatch/mod.ts";
import type { WorkerId } from "../job/mod.ts";
import { EffectQueue } from "./effect_queue.ts";

interface Fixture {
    readonly queue: EffectQueue;
    readonly ran: Effect[];
    /** Runs one turn of the event loop and returns the number of executed effects. */
    readonly runTurn: () => number;
    readonly countDrained: () => number;
    /** The simulated time, in ms. */
    readonly clock: { now: number };
}

function buildQueue(isRedundant?: (effect: Effect) => boolean): Fixture {
    const ran: Effect[] = [];
    const tasks: (() => void)[] = [];
    const clock = { now: 0 };
    let drainedCount = 0;
    const queue = new EffectQueue({
        run: (effect) => ran.push(effect),
        isRedundant,
        onDrained: () => {
            drainedCount += 1;
        },
        schedule: (task, pauseMs) => {
            tasks.push(() => {
                clock.now += pauseMs;
                task();
            });
        },
        getNow: () => clock.now,
    });
    const runTurn = (): number => {
        const before = ran.length;
        tasks.shift()?.();
        return ran.length - before;
    };
    return { queue, ran, runTurn, countDrained: () => drainedCount, clock };
}

function buildStart(priority: number): Effect {
    return { type: "start", member: { priority, attempt: 1, unit: {} } as MemberRun };
}

function buildGangStarts(count: number): Effect[] {
    const unit = {} as MemberRun["unit"];
    const member = { priority: 1, attempt: 1, unit } as MemberRun;
    return buildEffects(count, () => ({ type: "start", member }));
}

function buildPoll(number: number): Effect {
    return { type: "look", worker: `w${number}` as WorkerId };
}

function buildEffects(count: number, build: (i: number) => Effect): Effect[] {
    return Array.from({ length: count }, (_none, i) => build(i));
}

test("a backlog of orders is sent in small batches per event loop turn", (t) => {
    // Guards against a backlog of orders blocking the event loop, so that calls time out.
    const { queue, runTurn } = buildQueue();
    queue.add(buildEffects(1_000, () => buildStart(1)));
    const turns: number[] = [];
    while (queue.size > 0) {
        turns.push(runTurn());
    }
    t.true(turns.every((count) => count <= 16));
    t.is(
        turns.reduce((sum, count) => sum + count, 0),
        1_000,
    );
});

test("orders of the highest priority are sent before a backlog of other orders", (t) => {
    const { queue, ran, runTurn } = buildQueue();
    queue.add([...buildEffects(100, () => buildStart(2)), ...buildEffects(100, buildPoll)]);
    const urgent = buildStart(0);
    queue.add([urgent]);
    runTurn();
    t.is(ran[0], urgent);
});

test("polls are sent in bursts alongside a backlog of orders", (t) => {
    // Guards against polls waiting behind orders, and against all answers arriving at once.
    const { queue, ran, runTurn, clock } = buildQueue();
    queue.add([...buildEffects(2_000, () => buildStart(1)), ...buildEffects(380, buildPoll)]);
    const countPolls = (): number => ran.filter(({ type }) => type === "look").length;
    runTurn();
    t.is(countPolls(), 16);
    runTurn();
    t.is(countPolls(), 16);
    clock.now += 25;
    runTurn();
    t.is(countPolls(), 32);
});

test("redundant watch effects don't delay a poll", (t) => {
    const { queue, ran, runTurn } = buildQueue((effect) => effect.type === "watch");
    for (let i = 0; i < 1_000; i++) {
        queue.add([buildStart(1), { type: "watch", worker: `w${i % 380}` as WorkerId }]);
    }
    const poll = buildPoll(7);
    queue.add([poll]);
    runTurn();
    t.true(ran.includes(poll));
});

// Guards against polls that repeat others that wait, behind which leases lapse unrenewed.
test("a poll waits once, however often it is added", (t) => {
    const { queue, ran, runTurn, clock } = buildQueue();
    for (let i = 0; i < 400; i++) {
        queue.add(buildEffects(i, buildPoll));
    }
    const watch: Effect = { type: "watch", worker: "w7" as WorkerId };
    queue.add([watch]);
    while (!ran.includes(watch)) {
        runTurn();
    }
    t.true(clock.now < 1_000);
    t.is(ran.length, 400);
    queue.add([buildPoll(7)]);
    runTurn();
    t.is(ran.length, 401);
});

test("a full queue reports once that it has drained", (t) => {
    const { queue, runTurn, countDrained } = buildQueue();
    queue.add(buildEffects(20, () => buildStart(1)));
    t.false(queue.isFull());
    queue.add(buildEffects(200, () => buildStart(1)));
    t.true(queue.isFull());
    while (queue.size > 0) {
        runTurn();
    }
    t.is(countDrained(), 1);
    t.false(queue.isFull());
});

test("a stopped queue executes no effects", (t) => {
    const { queue, ran, runTurn } = buildQueue();
    queue.add(buildEffects(40, () => buildStart(1)));
    runTurn();
    queue.stop();
    runTurn();
    t.is(ran.length, 16);
});

test("the starts of a gang are sent in one turn, whatever urgent orders follow", (t) => {
    // Guards against members that wait in vain for others whose starts stand behind urgent orders.
    const { queue, ran, runTurn } = buildQueue();
    queue.add([...buildEffects(10, () => buildStart(1)), ...buildGangStarts(40)]);
    t.is(runTurn(), 50);
    queue.add([...buildGangStarts(40), ...buildEffects(200, () => buildStart(0))]);
    runTurn();
    t.is(ran.length, 66);
    t.is(ran.filter((effect) => effect.type === "start" && effect.member.priority > 0).length, 50);
});
