import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test from "ava";
import { buildInventoryFixture, buildRulesFixture, buildSpec } from "../cell/_fixtures.ts";
import type { Instance } from "../inventory/mod.ts";
import { createRpcClient } from "../rpc/mod.ts";
import type { RulesFile } from "../rules/rules_file.ts";
import { Caller, WorkerHost } from "../standin/mod.ts";
import { createLogger } from "../telemetry/mod.ts";
import { EntryInstance } from "./entry.ts";

function buildQuietLogger(): ReturnType<typeof createLogger> {
    return createLogger({ process: "test", zone: "test", silent: true });
}

function buildRulesFile(): RulesFile {
    return {
        version: 0,
        classes: [{ name: "interactive", precedence: 100, preemptible: false }],
        kinds: [{ name: "preview", class: "interactive", placement: "latency", idempotent: true }],
        quotas: [],
    };
}

test("an upstream that announced its shutdown gets no new lease", async (t) => {
    // Guards against placements on a worker that is already shutting down.
    const inventory = buildInventoryFixture({ workers: 2 });
    const entry = new EntryInstance({
        inventory,
        rules: buildRulesFixture(),
        logger: buildQuietLogger(),
    });
    const address = await entry.start();
    const [w1, w2] = inventory.instances as [Instance, Instance];
    const leaving = new WorkerHost({
        entry: address,
        instances: [w1],
        heartbeatMs: 50,
        logger: buildQuietLogger(),
    });
    const staying = new WorkerHost({
        entry: address,
        instances: [w2],
        heartbeatMs: 50,
        logger: buildQuietLogger(),
    });
    await leaving.start();
    await staying.start();
    await leaving.stop();
    const specs = Array.from({ length: 10 }, () =>
        buildSpec({
            kind: "preview",
            demand: { cores: 1, memoryMb: 1, accelerators: 0 },
            work: { runMs: 10, usageFactor: 1, fail: false },
        }),
    );
    const answers = await new Caller({ entry: address, completionTimeoutMs: 10_000 }).runAll(specs);
    t.true(answers.every((a) => a.state === "completed"));
    t.deepEqual([...new Set(entry.cell.listLeases().map((l) => l.worker))], [w2.id]);
    t.is(leaving.agents.get(w1.id)?.startedTasks.length, 0);
    await staying.stop();
    await entry.stop();
});

test("of concurrent rules changes one is applied, a resend is idempotent, and a restart keeps it", async (t) => {
    // Guards against lost updates, duplicate application and rollback after a restart.
    const dataDir = mkdtempSync(join(tmpdir(), "poplarhead-rules-"));
    const inventory = buildInventoryFixture({ workers: 1 });
    const entry = new EntryInstance({
        inventory,
        rules: buildRulesFixture(),
        dataDir,
        logger: buildQuietLogger(),
    });
    const client = createRpcClient(await entry.start());
    const send = (changeId: string): Promise<{ status: string; version: number }> =>
        client.call("rules.set", {
            change: { changeId, expectedVersion: 1, rules: buildRulesFile() },
        });
    const [first, second] = await Promise.all([send("alice-1"), send("bob-1")]);
    t.deepEqual([first.status, second.status].sort(), ["applied", "conflict"]);
    const winner = first.status === "applied" ? "alice-1" : "bob-1";
    t.deepEqual(await send(winner), { status: "applied", version: 2 });
    t.is(entry.cell.rules.version, 2);
    await entry.stop();
    const restarted = new EntryInstance({
        inventory,
        rules: buildRulesFixture(),
        dataDir,
        logger: buildQuietLogger(),
    });
    await restarted.start();
    t.is(restarted.cell.rules.version, 2);
    t.false(
        restarted.cell.rules.kinds.has("batch"),
        "the accepted change's rules must be in force",
    );
    await restarted.stop();
});
