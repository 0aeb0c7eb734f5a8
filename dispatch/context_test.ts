import test from "ava";
import { StateStore } from "../job/mod.ts";
import { DispatchContext } from "./_context.ts";

// Guards against a fact that is committed although its call has failed.
test("a fact that can't be applied is not replicated", (t) => {
    const context = new DispatchContext({
        stateStore: new StateStore(),
        clock: { getNow: () => 0, getWallTimeMs: () => 0 },
        firstFence: 1,
    });
    t.throws(() => context.recordFact({ type: "workersHeard", reports: undefined as never }));
    context.recordFact({ type: "jobsForgotten", before: 1 });
    t.deepEqual(context.takeOutput().facts, [{ type: "jobsForgotten", before: 1 }]);
});
