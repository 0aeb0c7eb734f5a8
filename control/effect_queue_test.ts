import test from "ava";
import type { Effect, MemberRun } from "../dispatch/mod.ts";
import type { WorkerId } from "../job/mod.ts";
import { EffectQueue } from "./effect_queue.ts";

interface Fixture {
    readonly queue: EffectQueue;
    readonly ran: Effect[];
    /** Lets one turn of the event loop pass; returns how many effects it carried out. */
    readonly runTurn: () => number;
    readonly countDrained: () => number;
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
    return { type: "start", member: { priority } as MemberRun };
}

function buildPoll(number: number): Effect {
    return { type: "look", worker: `w${number}` as WorkerId };
}

function buildEffects(count: number, build: (i: number) => Effect): Effect[] {
    return Array.from({ length: count }, (_none, i) => build(i));
}

test("a backlog of orders leaves in small turns, so that callers are read between them", (t) => {
    // All power was lost; a thousand tasks find room at once. Sent in one turn their orders and answers hold the
    // event loop for a second, callers' calls wait behind, time out and come again.
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

test("the most urgent queue's tasks and calls for advice go before a backlog of others", (t) => {
    const { queue, ran, runTurn } = buildQueue();
    queue.add([...buildEffects(100, () => buildStart(2)), ...buildEffects(100, buildPoll)]);
    const urgent = buildStart(0);
    queue.add([urgent]);
    runTurn();
    t.is(ran[0], urgent);
});

test("looks at hundreds of workers go on beside a backlog of orders, some at a time", (t) => {
    // A new leader knows no worker until it has answered a look. Looks behind the orders would leave it with a
    // few workers for as long as the backlog lasts; all at once their answers would fill the event loop.
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

test("a thousand starts on watched workers don't hold up the look at a silent one", (t) => {
    // Each start has its worker watched. A worker that left an order unanswered gets no work until it has
    // answered a look; behind the watches of a busy floor that look would wait for seconds.
    const { queue, ran, runTurn } = buildQueue((effect) => effect.type === "watch");
    for (let i = 0; i < 1_000; i++) {
        queue.add([buildStart(1), { type: "watch", worker: `w${i % 380}` as WorkerId }]);
    }
    const poll = buildPoll(7);
    queue.add([poll]);
    runTurn();
    t.true(ran.includes(poll));
});

test("while many orders wait nothing more is decided, and then it is told once", (t) => {
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

test("nothing is carried out after the lead has ended", (t) => {
    const { queue, ran, runTurn } = buildQueue();
    queue.add(buildEffects(40, () => buildStart(1)));
    runTurn();
    queue.stop();
    runTurn();
    t.is(ran.length, 16);
});
