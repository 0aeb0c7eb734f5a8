import { readFileSync } from "node:fs";
import { join } from "node:path";
import test from "ava";
import { buildSpec } from "../dispatch/_fixtures.ts";
import type { OrderAnswer } from "../dispatch/mod.ts";
import type { Fact, FactBatch } from "../job/mod.ts";
import type { LogEntry } from "../log/mod.ts";
import { RpcClientPool } from "../rpc/mod.ts";
import { buildConfiguration, buildLeadership, ClusterFixture, waitUntil } from "./_fixtures.ts";
import type { CallerCall } from "./calls.ts";

const HOST = "studio.example";
const PATH = "/previews/00000000000000a1";
/** Longer than a batch of proposals and its write take. */
const COMMIT_TIME_MS = 300;

/** Makes a sole member lose its lead, as a message of a leader of a later term does. */
async function sendLaterTerm(address: string): Promise<void> {
    const client = new RpcClientPool({ timeoutMs: 1_000 }).getClient(address);
    const message = {
        type: "append",
        term: 1_000,
        previousIndex: 0,
        previousTerm: 0,
        entries: [],
        commitIndex: 0,
        sentAt: 0,
    };
    await client.call("peer.group", {
        group: "control",
        from: "127.0.0.1:1#0",
        to: `${address}#0`,
        message,
    });
}

/** Lists the facts in a member's log file. */
function listFacts(dataDir: string): Fact[] {
    const lines = readFileSync(join(dataDir, "control", "log.jsonl"), "utf8")
        .trim()
        .split("\n");
    return lines.flatMap((line) => {
        const { entry } = JSON.parse(line.slice(9)) as { entry?: LogEntry };
        const batches = entry?.type === "commands" ? (entry.commands as FactBatch[]) : [];
        return batches.flatMap(({ facts }) => facts);
    });
}

test.serial(
    "a leader that regains the lead commits no decisions of its earlier term",
    async (t) => {
        // Guards against a later term's runs that are ended or replaced on the state of an earlier term.
        let answerFirstStart: ((answer: OrderAnswer) => void) | undefined;
        const cluster = await ClusterFixture.start({
            memberCount: 1,
            workerCount: 1,
            toleratedFailures: 0,
            sendStart: (order, worker) =>
                answerFirstStart === undefined
                    ? new Promise((resolve) => (answerFirstStart = resolve))
                    : Promise.resolve(worker.start(order)),
        });
        t.teardown(() => cluster.stop());
        const address = await cluster.waitForLeader();
        const daemon = cluster.daemons.get(address);
        await daemon?.handleConfigure(buildConfiguration(1));
        await waitUntil(() => cluster.front.isReady);
        const spec = buildSpec({ count: 1 });
        const call: CallerCall = { type: "submit", host: HOST, path: PATH, spec, problem: "" };
        t.deepEqual(await cluster.front.handleCaller(call, 3_000), { type: "accepted" });
        await waitUntil(() => answerFirstStart !== undefined);
        await sendLaterTerm(address);
        await waitUntil(() => daemon?.isServing === true);
        await waitUntil(async () => {
            const state: CallerCall = { type: "state", host: HOST, path: PATH };
            const answer = await cluster.front.handleCaller(state, 2_000);
            return answer.type === "state" && answer.state === "complete";
        });
        const countEnds = (): number =>
            listFacts(cluster.getDataDir(address)).filter(({ type }) => type === "memberEnded")
                .length;
        const endsOfNewTerm = countEnds();
        answerFirstStart?.({ type: "refused", reason: "unhealthy" });
        await new Promise((resolve) => setTimeout(resolve, COMMIT_TIME_MS));
        t.is(countEnds(), endsOfNewTerm);
    },
);

test("an ended leadership sends no order or poll under the lease of a later one", async (t) => {
    // Guards against orders of an earlier term that are sent after the same process leads again.
    let isLeaseValid = true;
    const renewals: (() => void)[] = [];
    const sent: string[] = [];
    const { leadership } = buildLeadership({
        waitForLease: () =>
            isLeaseValid
                ? Promise.resolve(true)
                : new Promise((resolve) => renewals.push(() => resolve(true))),
        onStart: (task) => sent.push(`start ${task}`),
        onLogLines: () => {},
        onPoll: ({ worker }) => sent.push(`poll ${worker}`),
    });
    t.teardown(() => leadership.stop());
    leadership.start();
    await waitUntil(() => sent.length > 0);
    await new Promise((resolve) => setTimeout(resolve, COMMIT_TIME_MS));
    isLeaseValid = false;
    sent.length = 0;
    const spec = buildSpec({ count: 1 });
    await leadership.handleCaller({ type: "submit", host: HOST, path: PATH, spec, problem: "" });
    // The start and the poll of its worker.
    await waitUntil(() => renewals.length === 2);
    leadership.stop();
    renewals.forEach((renew) => renew());
    await new Promise((resolve) => setTimeout(resolve, COMMIT_TIME_MS));
    t.deepEqual(sent, []);
});
