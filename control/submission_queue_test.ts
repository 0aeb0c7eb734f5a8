import test from "ava";
import { MAX_WAITING_SUBMISSIONS, SubmissionQueue } from "./submission_queue.ts";

function waitForTurn(): Promise<void> {
    return new Promise((resolve) => setImmediate(resolve));
}

test("calls begin in order of arrival, after the event that brought them", async (t) => {
    const queue = new SubmissionQueue();
    const begun: number[] = [];
    const answers = [1, 2, 3].map((number) =>
        queue.add(`/p/${number}`, () => {
            begun.push(number);
            return Promise.resolve(number);
        }),
    );
    t.deepEqual(begun, []);
    t.deepEqual(await Promise.all(answers), [1, 2, 3]);
    t.deepEqual(begun, [1, 2, 3]);
});

test("a bounded number of submissions waits, and others find capacity once they have begun", async (t) => {
    // Guards against a leader that works off submissions of callers that have given up.
    const queue = new SubmissionQueue();
    const answers: Promise<void>[] = [];
    while (queue.hasCapacity()) {
        answers.push(queue.add(`/p/${answers.length}`, () => Promise.resolve()));
    }
    t.is(answers.length, MAX_WAITING_SUBMISSIONS);
    t.is(MAX_WAITING_SUBMISSIONS, 125);
    await Promise.all(answers);
    t.true(queue.hasCapacity());
});

test("slow handlers leave turns of the event loop to other calls", async (t) => {
    // Guards against lease renewals and heartbeats that wait for a whole burst of submissions.
    let nowMs = 0;
    const queue = new SubmissionQueue({ getNow: () => nowMs });
    let begunCount = 0;
    const answers = Array.from({ length: 20 }, (_unused, i) =>
        queue.add(`/p/${i}`, () => {
            nowMs += 2;
            begunCount += 1;
            return Promise.resolve();
        }),
    );
    await waitForTurn();
    t.is(begunCount, 5);
    await Promise.all(answers);
    t.is(begunCount, 20);
});

test("a job counts as waiting until each of its calls has begun", async (t) => {
    // Guards against a repeated submission that is refused as not run while the first one waits.
    const queue = new SubmissionQueue();
    const answers = [1, 2].map(() => queue.add("/p/a", () => Promise.resolve()));
    t.true(queue.hasWaiting("/p/a"));
    t.false(queue.hasWaiting("/p/b"));
    await Promise.all(answers);
    t.false(queue.hasWaiting("/p/a"));
});

test("a handler that fails does not hold up the calls behind it", async (t) => {
    const queue = new SubmissionQueue();
    const failed = queue.add("/p/a", () => Promise.reject(new Error("no longer the leader")));
    const next = queue.add("/p/b", () => Promise.resolve("accepted"));
    await t.throwsAsync(failed, { message: "no longer the leader" });
    t.is(await next, "accepted");
});
