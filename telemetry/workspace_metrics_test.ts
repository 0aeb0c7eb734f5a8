import test from "ava";
import { Registry } from "prom-client";
import type { WorkspaceName, WorkspaceUsage } from "../workspace/mod.ts";
import { WorkspaceMetrics } from "./workspace_metrics.ts";

function buildUsage(workspace: string, cpu: number): WorkspaceUsage {
    return {
        workspace: workspace as WorkspaceName,
        reserved: { cpu, memoryMb: 0, gpu: 0 },
        limit: { cpu: 9_000, memoryMb: 0, gpu: 0 },
        waitingUnits: 2,
    };
}

test("each workspace has its use, limit and waiting units, and a later update replaces them", async (t) => {
    const registry = new Registry();
    const metrics = new WorkspaceMetrics(registry);
    metrics.update([buildUsage("acme", 4_000)]);
    const text = await registry.metrics();
    t.regex(text, /reserved\{workspace="acme",resource="cpu"\} 4000/);
    t.regex(text, /limit\{workspace="acme",resource="cpu"\} 9000/);
    t.notRegex(text, /limit\{workspace="acme",resource="gpu"\}/);
    t.regex(text, /waiting_units\{workspace="acme"\} 2/);
    metrics.update([]);
    t.notRegex(await registry.metrics(), /acme/);
});

test("hundreds of workspaces have a bounded number of labels, and none is left out of the sums", async (t) => {
    // Guards against metrics that grow with the number of workspaces.
    const registry = new Registry();
    const usages = Array.from({ length: 400 }, (_unused, i) => buildUsage(`t${i}`, i + 1));
    new WorkspaceMetrics(registry).update(usages);
    const text = await registry.metrics();
    t.true(text.split("\n").length < 400);
    t.regex(text, /waiting_units\{workspace="\(others\)"\} 700/);
});

test("jobs are counted by share for the workspaces with the largest weights, also after a change of weights", async (t) => {
    // Guards against labels that grow with the number of workspaces, and against lost counts.
    const registry = new Registry();
    const metrics = new WorkspaceMetrics(registry);
    const names = Array.from({ length: 60 }, (_unused, i) => `t${i}` as WorkspaceName);
    names.forEach((name) => metrics.recordJob(name, "borrowed"));
    metrics.recordJob("t59" as WorkspaceName, "refused");
    const update = (getWeight: (i: number) => number): void =>
        metrics.update(names.map((name, i) => ({ ...buildUsage(name, 0), weight: getWeight(i) })));
    update((i) => i);
    const text = await registry.metrics();
    t.regex(text, /jobs_total\{workspace="t59",share="refused"\} 1/);
    t.regex(text, /jobs_total\{workspace="\(others\)",share="borrowed"\} 10/);
    t.notRegex(text, /jobs_total\{workspace="t9",/);
    update((i) => -i);
    const changed = await registry.metrics();
    t.regex(changed, /jobs_total\{workspace="t9",share="borrowed"\} 1/);
    t.regex(changed, /jobs_total\{workspace="\(others\)",share="refused"\} 1/);
    // An instance that no longer leads keeps its counts.
    metrics.update([]);
    t.regex(await registry.metrics(), /jobs_total\{workspace="t9",share="borrowed"\} 1/);
});

test("a workspace that borrows is shown until it stops, and one without a weight is not", async (t) => {
    const registry = new Registry();
    const metrics = new WorkspaceMetrics(registry);
    const usage = buildUsage("acme", 0);
    metrics.update([{ ...usage, weight: 3, isBorrowing: true }]);
    t.regex(await registry.metrics(), /borrowing\{workspace="acme"\} 1/);
    metrics.update([{ ...usage, weight: 3, isBorrowing: false }]);
    t.regex(await registry.metrics(), /borrowing\{workspace="acme"\} 0/);
    metrics.update([usage]);
    t.notRegex(await registry.metrics(), /borrowing\{/);
});
