import test, { type ExecutionContext } from "ava";
import type { RulesChangeResult } from "../rules/mod.ts";
import { waitUntil } from "../load/cluster_runner.ts";
import { createRpcClient } from "../rpc/mod.ts";
import { buildCluster, buildRulesFile, Workload } from "./_cluster_fixtures.ts";

const ZONE = "z1";
/** Leaves half of the client's 64 connections free for other calls. */
const MAX_IN_FLIGHT = 32;

function waitFor(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
}

test.serial(
    "killing the leader while it grants leases for billed batches loses and repeats none",
    async (t) => {
        // The new leader must resolve open offers of billed batches, not lease them again.
        const cluster = await buildCluster({ zones: [ZONE], entriesPerZone: 3 });
        t.teardown(() => cluster.stop());
        const workload = buildWorkload(t, cluster);
        workload.start({ intervalMs: 10, kinds: ["batch", "reel", "batch", "preview"] });
        await waitFor(1_000);
        const leader = (await cluster.findLeader(ZONE)) as string;
        await cluster.killProcess(leader);
        await cluster.waitLeaders();
        const before = workload.count;
        await waitUntil("the new leader accepts requests", () => workload.count > before + 50);
        const { answers, violations } = await workload.audit();
        t.deepEqual(violations, []);
        t.true(answers.every((a) => a.state === "completed"));
        t.not(await cluster.findLeader(ZONE), leader);
    },
);

test.serial(
    "a leader that is paused until after its successor's election causes no violation on resuming",
    async (t) => {
        // Guards against offers and commits from a leader that resumes with a stale term.
        const cluster = await buildCluster({ zones: [ZONE], entriesPerZone: 3 });
        t.teardown(() => cluster.stop());
        const workload = buildWorkload(t, cluster);
        workload.start({ intervalMs: 10 });
        await waitFor(800);
        const leader = (await cluster.findLeader(ZONE)) as string;
        cluster.sendSignal(leader, "SIGSTOP");
        await cluster.waitLeaders(leader);
        await waitFor(6_000);
        cluster.sendSignal(leader, "SIGCONT");
        await waitFor(1_500);
        const { answers, violations } = await workload.audit();
        t.deepEqual(violations, []);
        t.true(answers.length > 100);
        const status = await cluster.getStatus(leader);
        t.false(status?.groups.some((g) => g.serving));
    },
);

test.serial(
    "a leader in a long silent partition stops serving and catches up afterwards",
    async (t) => {
        // The partition leaves connections open, and the leader still reaches workers.
        const cluster = await buildCluster({ zones: [ZONE], entriesPerZone: 3 });
        t.teardown(() => cluster.stop());
        const workload = buildWorkload(t, cluster);
        workload.start({ intervalMs: 10 });
        await waitFor(800);
        const leader = (await cluster.findLeader(ZONE)) as string;
        cluster.setInstancePathModes(leader, "silent");
        await cluster.waitLeaders(leader);
        await waitFor(6_000);
        const isolated = await cluster.getStatus(leader);
        t.false(
            isolated?.groups.some((g) => g.serving),
            "an isolated leader must stop serving",
        );
        cluster.setInstancePathModes(leader, "open");
        const { answers, violations } = await workload.audit();
        t.deepEqual(violations, []);
        t.true(answers.filter((a) => a.state === "completed").length > 300);
        await waitUntil("the isolated instance has caught up", async () => {
            const statuses = await cluster.listStatuses();
            const applied = statuses.map(
                (s) => s.groups.find((g) => g.id === ZONE)?.appliedIndex ?? 0,
            );
            return statuses.length === 3 && Math.max(...applied) - Math.min(...applied) <= 2;
        });
    },
);

test.serial(
    "losing a second instance right after replacing the first one's disk loses no accepted request",
    async (t) => {
        // Guards against a quorum that counts a replaced member before it holds the accepted log.
        const cluster = await buildCluster({ zones: [ZONE], entriesPerZone: 3 });
        t.teardown(() => cluster.stop());
        const workload = buildWorkload(t, cluster);
        workload.start({ intervalMs: 20 });
        await waitFor(800);
        const leader = (await cluster.findLeader(ZONE)) as string;
        const [replaced, other] = [1, 2, 3]
            .map((i) => `e-${ZONE}-${i}`)
            .filter((id) => id !== leader);
        await cluster.killProcess(replaced as string);
        cluster.removeDataDir(replaced as string);
        await cluster.startEntry(replaced as string);
        await waitUntil("the replacement member has become a voter", async () => {
            const status = await cluster.getStatus(leader);
            return (status?.groups ?? []).every(
                (g) =>
                    g.voters.length === 3 &&
                    g.voters.some((v) => v.startsWith(`${replaced}#`) && !v.endsWith("#0")),
            );
        });
        await cluster.killProcess(other as string);
        const before = workload.count;
        await waitUntil("requests continue to be submitted", () => workload.count > before + 50);
        const { answers, violations } = await workload.audit();
        t.deepEqual(violations, []);
        t.true(answers.every((a) => a.state === "completed"));
    },
);

test.serial(
    "an instance restarted after hundreds of entries catches up from a snapshot",
    async (t) => {
        // The other instances have compacted the entries that the restarted one lacks.
        const cluster = await buildCluster({
            zones: [ZONE],
            entriesPerZone: 3,
            snapshotIntervalEntries: 100,
        });
        t.teardown(() => cluster.stop());
        const leader = (await cluster.findLeader(ZONE)) as string;
        const config = (await cluster.findLeader("config")) as string;
        const late = [1, 2, 3]
            .map((i) => `e-${ZONE}-${i}`)
            .find((id) => id !== leader && id !== config) as string;
        await cluster.killProcess(late);
        const workload = buildWorkload(t, cluster);
        const { caller } = workload;
        workload.start({ intervalMs: 5, kinds: ["preview"], runMs: 5, maxInFlight: MAX_IN_FLIGHT });
        for (let version = 1; version <= 150; version++) {
            const result = await caller.setRules({
                changeId: `c${version}`,
                expectedVersion: version,
                rules: buildRulesFile(),
            });
            t.is(result.status, "applied");
        }
        await waitUntil("more than 700 requests were submitted", () => workload.count > 700);
        workload.stop();
        await cluster.startEntry(late);
        await waitUntil("the restarted instance has caught up", async () => {
            const statuses = await cluster.listStatuses();
            const own = statuses.find((s) => s.id === late);
            const applied = statuses.map(
                (s) => s.groups.find((g) => g.id === ZONE)?.appliedIndex ?? 0,
            );
            return (
                own?.rulesVersion === 151 &&
                own.groups.every((g) => g.rulesVersion === 151) &&
                Math.max(...applied) - Math.min(...applied) <= 2
            );
        });
        t.true(
            cluster.hasSnapshot(late, ZONE),
            "the instance must install a snapshot instead of replaying every entry",
        );
        const { violations } = await workload.audit();
        t.deepEqual(violations, []);
    },
);

test.serial(
    "cancellations, infeasible requests and a failing worker leave every request final",
    async (t) => {
        // Every request must become final, and idempotent ones must be retried on other workers.
        const cluster = await buildCluster({
            zones: [ZONE],
            entriesPerZone: 3,
            failing: [`${ZONE}-r1-w1`],
        });
        t.teardown(() => cluster.stop());
        const workload = buildWorkload(t, cluster);
        workload.start({ intervalMs: 10, cancelEvery: 3 });
        const huge = { cores: 99, memoryMb: 1, accelerators: 0 };
        const impossible = await Promise.all(
            Array.from({ length: 20 }, () => workload.submit({ demand: huge })),
        );
        t.true(impossible.every((a) => a?.state === "refused" && !a.mayHaveRun));
        await waitFor(3_000);
        const { answers, violations } = await workload.audit();
        t.deepEqual(violations, []);
        t.true(answers.some((a) => a.state === "cancelled"));
        t.true(answers.filter((a) => a.kind === "preview" && a.state === "failed").length <= 3);
    },
);

test.serial("a rolling restart under load interrupts no request", async (t) => {
    // Guards against calls that a graceful shutdown drops during a rolling restart under load.
    const cluster = await buildCluster({ zones: [ZONE], entriesPerZone: 3, diskless: 1 });
    t.teardown(() => cluster.stop());
    const workload = buildWorkload(t, cluster);
    workload.start({ intervalMs: 15 });
    for (const id of [`e-${ZONE}-1`, `e-${ZONE}-2`, `e-${ZONE}-3`, `d-${ZONE}-1`]) {
        await waitFor(500);
        await cluster.stopProcess(id);
        await cluster.waitLeaders();
        await cluster.startEntry(id);
        await waitUntil("the restarted instance is ready", async () => {
            const status = await cluster.getStatus(id);
            return (status?.groups ?? []).length > 0 && status?.ready === true;
        });
    }
    const { answers, violations } = await workload.audit();
    t.deepEqual(violations, []);
    t.true(answers.every((a) => a.state === "completed"));
    const status = await cluster.getStatus(`d-${ZONE}-1`);
    t.true(
        status?.groups.every((g) => g.role === "learner"),
        "a diskless instance must stay a learner",
    );
});

test.serial(
    "a partitioned zone places its own requests and adopts new rules after the partition",
    async (t) => {
        // Rules changes need the majority side; z1 adopts them after the partition heals.
        const zones = ["z1", "z2", "z3"];
        const cluster = await buildCluster({
            zones,
            entriesPerZone: 3,
            workers: 9,
            callers: zones.map((zone) => ({ caller: `console-${zone}`, zone })),
        });
        t.teardown(() => cluster.stop());
        const loads = zones.map((zone) =>
            buildWorkload(t, cluster, { name: `console-${zone}`, zone }),
        );
        loads.forEach((load) => load.start({ intervalMs: 40 }));
        await waitFor(1_000);
        cluster.setZonePathModes("z1", "silent");
        await waitUntil("the majority side leads the configuration group", async () => {
            const leader = await cluster.findLeader("config");
            return leader !== undefined && !leader.startsWith("e-z1");
        });
        const during = await Promise.all(
            loads.map((load) => load.submit({ kind: "batch", work: buildShortWork() })),
        );
        const ends = await Promise.all(
            during.map((a, i) =>
                loads[i]?.caller.waitFinal(a?.requestId ?? "", Date.now() + 20_000),
            ),
        );
        t.deepEqual(
            ends.map((a) => a?.state),
            ["completed", "completed", "completed"],
            "every zone must serve its own callers during the partition",
        );
        const change = { changeId: "during-cut", expectedVersion: 1, rules: buildRulesFile() };
        const result = await loads[1]?.caller.setRules(change);
        t.is(result?.status, "applied");
        await waitUntil("the rules are in force in z2 and z3", () =>
            hasRules(cluster, ["z2", "z3"]),
        );
        t.true(
            await hasRules(cluster, ["z1"], 1),
            "z1 must keep the previous rules during the partition",
        );
        cluster.setZonePathModes("z1", "open");
        await waitUntil("the rules are in force in z1", () => hasRules(cluster, ["z1"]));
        t.deepEqual(
            await loads[0]?.caller.setRules(change),
            result,
            "a resend must return the same result",
        );
        for (const load of loads) {
            const { answers, violations } = await load.audit();
            t.deepEqual(violations, []);
            t.true(answers.every((a) => a.state === "completed"));
        }
    },
);

test.serial(
    "a full zone hands requests over to other zones, and a partition meanwhile repeats none",
    async (t) => {
        // All callers belong to z1, which has too few workers; z2 and z3 are idle.
        const zones = ["z1", "z2", "z3"];
        const cluster = await buildCluster({
            zones,
            entriesPerZone: 2,
            workers: 6,
            callers: [{ caller: "console-1", zone: "z1" }],
        });
        t.teardown(() => cluster.stop());
        const workload = buildWorkload(t, cluster, { zone: "z1" });
        workload.start({ intervalMs: 25, kinds: ["batch", "reel", "hero"], runMs: 900 });
        await waitUntil("work runs in the other zones", () => {
            const events = cluster.loadTimeline().filter((e) => e.message === "task started");
            return ["workers-z2", "workers-z3"].every((p) => events.some((e) => e.process === p));
        });
        cluster.setZonePathModes("z1", "silent");
        await waitFor(3_000);
        cluster.setZonePathModes("z1", "open");
        await waitFor(1_000);
        const { answers, violations } = await workload.audit();
        t.deepEqual(violations, []);
        t.true(answers.length > 100);
        t.true(answers.every((a) => a.state === "completed"));
    },
);

test.serial(
    "of concurrent rules changes to one version through several instances, exactly one is applied",
    async (t) => {
        // Guards against applying a change twice, and against losing it with the leader.
        const cluster = await buildCluster({ zones: [ZONE], entriesPerZone: 3 });
        t.teardown(() => cluster.stop());
        const entries = cluster.listEntries().split(",");
        const send = (at: number, changeId: string): Promise<RulesChangeResult> =>
            createRpcClient(entries[at]?.split("=")[1] ?? "").call("rules.set", {
                change: { changeId, expectedVersion: 1, rules: buildRulesFile() },
            });
        const results = await Promise.all([send(0, "a"), send(1, "b"), send(2, "a"), send(0, "b")]);
        t.deepEqual(results[0], results[2]);
        t.deepEqual(results[1], results[3]);
        t.deepEqual([results[0]?.status, results[1]?.status].sort(), ["applied", "conflict"]);
        await waitUntil("the new rules are in force on every instance", () =>
            hasRules(cluster, [ZONE]),
        );
        await cluster.killProcess((await cluster.findLeader("config")) as string);
        await cluster.waitLeaders();
        t.true(
            await hasRules(cluster, [ZONE]),
            "an accepted change must survive the loss of the leader",
        );
        const workload = buildWorkload(t, cluster);
        t.deepEqual(
            await workload.caller.setRules({
                changeId: "a",
                expectedVersion: 1,
                rules: buildRulesFile(),
            }),
            results[0],
        );
    },
);

/** Stops the workload with the test, so that a failed test does not load the tests after it. */
function buildWorkload(
    t: ExecutionContext,
    ...args: ConstructorParameters<typeof Workload>
): Workload {
    const workload = new Workload(...args);
    t.teardown(() => workload.stop());
    return workload;
}

function buildShortWork(): { runMs: number; usageFactor: number; fail: boolean } {
    return { runMs: 50, usageFactor: 1, fail: false };
}

async function hasRules(
    cluster: Awaited<ReturnType<typeof buildCluster>>,
    zones: readonly string[],
    version = 2,
): Promise<boolean> {
    const statuses = await cluster.listStatuses();
    return statuses
        .filter((s) => zones.some((zone) => s.id.startsWith(`e-${zone}-`)))
        .every(
            (s) => s.rulesVersion === version && s.groups.every((g) => g.rulesVersion === version),
        );
}
