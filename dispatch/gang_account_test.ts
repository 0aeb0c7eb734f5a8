import test from "ava";
import { GangAccount } from "./_gang_account.ts";
import type { JobRecord } from "./_workload_summaries.ts";

const STEP = "a.0.0";

function buildJob(overrides: Partial<JobRecord> = {}): JobRecord {
    return {
        id: "a",
        queue: "weekly-plan",
        submittedAtMs: 0,
        coreSeconds: 1,
        objectiveMs: 2_000,
        maxWidth: 16,
        workspace: undefined,
        isEntitled: true,
        completedAtMs: 7_000,
        isRefused: false,
        hasFailed: false,
        ...overrides,
    };
}

/** Plays decisions about one step, each at a time in ms. */
function buildAccount(
    decisions: readonly (readonly [number, string, Readonly<Record<string, unknown>>?])[],
): GangAccount {
    let now = 0;
    const account = new GangAccount({ getNow: () => now });
    for (const [atMs, event, fields] of decisions) {
        now = atMs;
        account.recordDecision("decision", event, { request: "a", step: STEP, ...fields });
    }
    return account;
}

// Guards against a wait that is counted for another cause than the longest one.
test("the account names what a gang waited for longest", (t) => {
    const reserved = buildAccount([
        [0, "job accepted"],
        [1_000, "advice received"],
        [1_500, "workers reserved", { workers: 4 }],
        [3_300, "advice received"],
        [5_400, "workers reserved", { workers: 0 }],
        [5_500, "attempt placed"],
    ]);
    t.is(reserved.classify(buildJob()), "reserved");
    const tickets = buildAccount([
        [0, "job accepted"],
        [1_000, "advice received"],
        [6_500, "advice received"],
        [6_600, "attempt placed"],
    ]);
    t.is(tickets.classify(buildJob()), "tickets");
    const advice = buildAccount([
        [0, "job accepted"],
        [4_000, "advice received"],
        [4_100, "attempt placed"],
    ]);
    t.is(advice.classify(buildJob({ completedAtMs: 5_000 })), "advice");
});

// Guards against a wait that hides a failure, a broken attempt or tasks that are too long.
test("the account names failures and long runs before waits", (t) => {
    const decisions = [
        [0, "job accepted"],
        [10, "advice received"],
        [500, "attempt placed"],
    ] as const;
    const account = buildAccount(decisions);
    t.is(account.classify(buildJob()), "run");
    t.is(account.classify(buildJob({ hasFailed: true })), "attempts");
    t.is(account.classify(buildJob({ isRefused: true })), "refused");
    const broken = buildAccount([...decisions, [900, "task ended", { how: "failed" }]]);
    t.is(broken.classify(buildJob()), "broken");
});
