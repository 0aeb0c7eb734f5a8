import test from "ava";
import { ProposalSequence } from "./proposal_sequence.ts";

interface Commit {
    readonly promise: Promise<void>;
    readonly resolve: () => void;
    readonly reject: (error: Error) => void;
}

function buildCommit(): Commit {
    let resolve = (): void => {};
    let reject = (_error: Error): void => {};
    const promise = new Promise<void>((onResolve, onReject) => {
        [resolve, reject] = [onResolve, onReject];
    });
    return { promise, resolve, reject };
}

test("without proposals there is nothing to wait for", async (t) => {
    const proposals = new ProposalSequence();
    await proposals.waitForCommit();
    t.true(proposals.isCommitted(proposals.newest));
});

test("waiting covers all proposals that were added before, and no later ones", async (t) => {
    // Guards against a wait that ends with the newest commit while an earlier one is pending.
    const proposals = new ProposalSequence();
    const [first, second, third] = [buildCommit(), buildCommit(), buildCommit()];
    void proposals.add(first.promise);
    void proposals.add(second.promise);
    const order: string[] = [];
    const waiting = proposals.waitForCommit().then(() => order.push("waited"));
    void proposals.add(third.promise);
    second.resolve();
    await new Promise((resolve) => setImmediate(resolve));
    t.deepEqual(order, []);
    t.false(proposals.isCommitted(1));
    order.push("first committed");
    first.resolve();
    await waiting;
    t.deepEqual(order, ["first committed", "waited"]);
    t.true(proposals.isCommitted(2));
    t.false(proposals.isCommitted(3));
});

test("nothing counts as committed after a proposal that failed", async (t) => {
    // Guards against effects that rest on a failed proposal and go out with a later one.
    const proposals = new ProposalSequence();
    const failed = buildCommit();
    const first = proposals.add(failed.promise);
    const second = proposals.add(Promise.resolve());
    failed.reject(new Error("leadership ended"));
    await t.throwsAsync(first, { message: "leadership ended" });
    await t.throwsAsync(second, { message: "leadership ended" });
    await t.throwsAsync(proposals.waitForCommit(), { message: "leadership ended" });
    t.false(proposals.isCommitted(2));
});
