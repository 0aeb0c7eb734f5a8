import { mkdtempSync, appendFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test from "ava";
import { buildInventoryFixture, buildRulesFixture, buildSpec } from "../cell/_fixtures.ts";
import { createRpcClient, RpcError } from "../rpc/mod.ts";
import { Caller, WorkerHost } from "../standin/mod.ts";
import { createLogger } from "../telemetry/mod.ts";
import { EntryInstance } from "./entry.ts";
import { SHUTTING_DOWN_CODE } from "./errors.ts";

function buildQuietLogger(): ReturnType<typeof createLogger> {
    return createLogger({ process: "test", zone: "test", silent: true });
}

test("requests complete over loopback, and a restarted entry instance recovers their state", async (t) => {
    const dataDir = mkdtempSync(join(tmpdir(), "poplarhead-test-"));
    const inventory = buildInventoryFixture({ workers: 3 });
    const rules = buildRulesFixture();
    const entry = new EntryInstance({ inventory, rules, dataDir, logger: buildQuietLogger() });
    const address = await entry.start();
    const host = new WorkerHost({
        entry: address,
        instances: inventory.instances,
        heartbeatMs: 50,
        logger: buildQuietLogger(),
    });
    await host.start();
    const specs = [
        buildSpec({ kind: "preview", work: { runMs: 20, usageFactor: 1, fail: false } }),
        buildSpec({ kind: "reel", work: { runMs: 30, usageFactor: 1, fail: false } }),
    ];
    const answers = await new Caller({ entry: address, completionTimeoutMs: 10_000 }).runAll(specs);
    t.deepEqual(
        answers.map((a) => a.state),
        ["completed", "completed"],
    );
    await host.stop();
    await entry.stop();
    const restarted = new EntryInstance({ inventory, rules, dataDir, logger: buildQuietLogger() });
    const restartedAddress = await restarted.start();
    const status = await createRpcClient(restartedAddress).call<{ state: string }>("request.fate", {
        requestId: answers[1]?.requestId,
    });
    t.is(status.state, "completed");
    const describe = (e: EntryInstance): unknown =>
        e.cell
            .listRequestIds()
            .map((id) => [
                id,
                e.cell.describeRequest(id)?.state,
                e.cell.describeRequest(id)?.attempts,
            ]);
    t.deepEqual(describe(restarted), describe(entry), "replay must restore every request's state");
    t.deepEqual(
        restarted.cell.listLeases().map((l) => [l.id, l.epoch, l.state]),
        entry.cell.listLeases().map((l) => [l.id, l.epoch, l.state]),
    );
    await restarted.stop();
});

test("an entry instance that shuts down rejects new submits at once", async (t) => {
    // Guards against submits that hang while the instance shuts down.
    const inventory = buildInventoryFixture({ workers: 1 });
    const entry = new EntryInstance({
        inventory,
        rules: buildRulesFixture(),
        logger: buildQuietLogger(),
    });
    const address = await entry.start();
    const client = createRpcClient(address);
    const stopping = entry.stop();
    const error = await t.throwsAsync(client.call("request.submit", { spec: buildSpec() }));
    await stopping;
    t.true(error instanceof RpcError && (error.code === SHUTTING_DOWN_CODE || error.code === 0));
});

test("a log with a torn last line replays all earlier entries", async (t) => {
    // A torn line was never fsynced, so no caller received a result that depends on it.
    const dataDir = mkdtempSync(join(tmpdir(), "poplarhead-torn-"));
    const inventory = buildInventoryFixture({ workers: 1 });
    const entry = new EntryInstance({
        inventory,
        rules: buildRulesFixture(),
        dataDir,
        logger: buildQuietLogger(),
    });
    const address = await entry.start();
    const answer = await createRpcClient(address).call<{ requestId: string }>("request.submit", {
        spec: buildSpec(),
    });
    await entry.stop();
    appendFileSync(join(dataDir, "cell", "log.jsonl"), '12345678 {"entry":{"index":99,"te');
    const restarted = new EntryInstance({
        inventory,
        rules: buildRulesFixture(),
        dataDir,
        logger: buildQuietLogger(),
    });
    const restartedAddress = await restarted.start();
    const status = await createRpcClient(restartedAddress).call<{ requestId: string }>(
        "request.fate",
        {
            requestId: answer.requestId,
        },
    );
    t.is(status.requestId, answer.requestId);
    await restarted.stop();
});
