import test, { type ExecutionContext } from "ava";
import { buildSpec } from "../dispatch/_fixtures.ts";
import { buildConfiguration, ClusterFixture, waitUntil } from "./_fixtures.ts";
import type { CallerCall } from "./calls.ts";

/** Time from the lead, or from a seed's return, until callers must be served, in ms. */
const MAX_DISCOVERY_MS = 1_000;
const MEMBERS = 8;

function buildSubmit(id: string): CallerCall {
    const spec = buildSpec({ count: 1 });
    return { type: "submit", host: "studio.example", path: `/previews/${id}`, spec, problem: "" };
}

/** Starts eight members of which the first five vote. */
async function startCluster(t: ExecutionContext): Promise<ClusterFixture> {
    const cluster = await ClusterFixture.start({
        memberCount: MEMBERS,
        workerCount: 1,
        seedCount: 5,
        toleratedFailures: 2,
    });
    t.teardown(() => cluster.stop());
    const leader = await cluster.waitForLeader();
    await cluster.daemons.get(leader)?.handleConfigure(buildConfiguration(1));
    await waitUntil(() => cluster.front.isReady);
    return cluster;
}

/** Stops members, and waits until others vote in their place. */
async function replaceVoters(cluster: ClusterFixture, stopped: readonly string[]): Promise<void> {
    cluster.logLines.length = 0;
    for (const address of stopped) {
        await cluster.stopMember(address);
    }
    await waitUntil(() =>
        stopped.every((address) =>
            cluster.logLines.some(
                (lines) => lines.includes("voter removed") && lines.includes(address),
            ),
        ),
    );
}

async function stopAll(cluster: ClusterFixture, wiped: readonly string[]): Promise<void> {
    await Promise.all(
        [...cluster.daemons.keys()].map((address) =>
            cluster.stopMember(address, wiped.includes(address)),
        ),
    );
}

async function startAll(cluster: ClusterFixture, addresses: readonly string[]): Promise<void> {
    await Promise.all(addresses.map((address) => cluster.startMember(address)));
    await cluster.replaceFront();
}

/** Checks that a job is accepted within the time allowed. */
async function checkServed(t: ExecutionContext, cluster: ClusterFixture): Promise<void> {
    const startedAtMs = performance.now();
    const answer = await cluster.front.handleCaller(buildSubmit("00000000000000a1"), 5_000);
    t.is(answer.type, "accepted");
    const tookMs = performance.now() - startedAtMs;
    t.true(tookMs <= MAX_DISCOVERY_MS, `took ${Math.round(tookMs)} ms`);
}

test.serial(
    "callers are served when the seeds are emptied voters and a former voter",
    async (t) => {
        // Guards against a leader that no process finds because the only known addresses hold no log.
        const cluster = await startCluster(t);
        const [formerVoter, emptied, otherEmptied] = cluster.addresses as [string, string, string];
        await replaceVoters(cluster, [formerVoter]);
        await stopAll(cluster, [emptied, otherEmptied]);
        cluster.seeds = [formerVoter, emptied, otherEmptied];
        await startAll(cluster, cluster.addresses);
        await cluster.waitForLeader();
        await checkServed(t, cluster);
    },
);

test.serial(
    "callers are served when the settings list only instances that never voted",
    async (t) => {
        // Guards against seeds that were changed while the power was off and that no voter contacts.
        const cluster = await startCluster(t);
        const newSeeds = cluster.addresses.slice(5);
        await stopAll(cluster, newSeeds);
        cluster.seeds = newSeeds;
        await startAll(cluster, cluster.addresses);
        await cluster.waitForLeader();
        await checkServed(t, cluster);
    },
);

test.serial(
    "the group forms without its seeds, and one that returns leads callers to it",
    async (t) => {
        // Guards against a group that cannot form, or stays unknown, while every seed is cut off.
        const cluster = await startCluster(t);
        const [returning, lost] = cluster.addresses as [string, string];
        const others = cluster.addresses.filter((address) => ![returning, lost].includes(address));
        await stopAll(cluster, [returning]);
        cluster.seeds = [returning, lost];
        await startAll(cluster, others);
        await cluster.waitForLeader();
        await cluster.startMember(returning);
        await checkServed(t, cluster);
    },
);

test.serial("a seed that is gone for good does not hide the leader", async (t) => {
    // Guards against a former voter whose log names only instances that vote no more.
    const cluster = await startCluster(t);
    const [formerVoter, gone] = cluster.addresses as [string, string];
    await replaceVoters(cluster, [formerVoter, gone]);
    await stopAll(cluster, []);
    cluster.seeds = [formerVoter, gone];
    await startAll(
        cluster,
        cluster.addresses.filter((address) => address !== gone),
    );
    await cluster.waitForLeader();
    await checkServed(t, cluster);
});
