/**
 * Runs a load experiment against a local cell and reports waiting times, placement rate, packing
 * and the resource usage of each process. Sending ends after `durationMs`, waiting after
 * `drainMs`.
 *
 * @example
 * ```ts
 * import { runExperiment } from "./run_load.ts";
 * const report = await runExperiment(experiment, { dir: "/tmp/run", onProgress: console.error });
 * ```
 *
 * @module
 */

import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import * as hdr from "hdr-histogram-js";
import { parse, stringify } from "yaml";
import type { RequestStatus } from "../cell/mod.ts";
import { buildInventory } from "../examples/build_examples.ts";
import { Caller } from "../standin/mod.ts";
import { spawnCell, type SpawnedCell } from "./cell_runner.ts";
import { Cluster, type ClusterOptions } from "./cluster_runner.ts";
import type { Experiment } from "./experiment.ts";
import { buildMix } from "./mix.ts";
import { readProcessStats } from "./process_stats.ts";

const ZONES: Record<Experiment["deployment"], string[]> = {
    umhlanga: ["hall-a", "hall-b", "hall-c"],
    caruaru: ["capela-norte", "capela-sul", "sede"],
};
const SERVICES: Record<Experiment["deployment"], string> = {
    umhlanga: "studio-intake",
    caruaru: "cerimonia",
};
const SEND_INTERVAL_MS = 20;
const SAMPLE_INTERVAL_MS = 250;

/** The distribution of waiting times in one class, in ms. */
export interface WaitSummary {
    readonly p50: number;
    readonly p99: number;
    readonly max: number;
    readonly count: number;
}

/** The resource usage of one process during the run. */
export interface ProcessUsage {
    readonly role: string;
    /** CPU time as a fraction of one core; above 1 for several busy threads. */
    readonly cpuShare: number;
    readonly maxRssMb: number;
}

/** The results of a run. */
export interface LoadReport {
    readonly experiment: Experiment;
    readonly requests: number;
    /** The number of requests by their last known state. */
    readonly states: Record<string, number>;
    readonly waitMsByClass: Record<string, WaitSummary>;
    readonly placementsPerSecond: number;
    /** The mean fraction of cores under lease, over the samples with queued requests. */
    readonly packingWhileQueued: number;
    /** The mean fraction of cores under lease, over all samples. */
    readonly packingMean: number;
    readonly processes: readonly ProcessUsage[];
    /** The leader of each group at the end of the run. */
    readonly leaders: readonly string[];
    readonly entryBytesPerSecond: readonly {
        readonly id: string;
        readonly received: number;
        readonly sent: number;
    }[];
    readonly elapsedMs: number;
}

/** Options of {@link runExperiment}. */
export interface RunOptions {
    /** The directory for the inventory, log files and stored data. */
    readonly dir: string;
    /** Called with a progress line once a second. */
    readonly onProgress?: (line: string) => void;
}

/** The state of the cell, aggregated over the leaders of its groups. */
interface CellStats {
    /** The fraction of the workers' cores that are under lease. */
    readonly packingCores: number;
    readonly queued: number;
    readonly placements: number;
    /** The bytes received and sent so far, by entry instance. */
    readonly bytes: ReadonlyMap<string, { readonly received: number; readonly sent: number }>;
}

/**
 * Runs one experiment.
 *
 * @param experiment The experiment.
 * @param options The data directory and a progress callback.
 * @returns The report.
 */
export async function runExperiment(
    experiment: Experiment,
    options: RunOptions,
): Promise<LoadReport> {
    const examplesDir = fileURLToPath(
        new URL(`../examples/${experiment.deployment}/`, import.meta.url),
    );
    const rulesFile = join(examplesDir, "rules.yaml");
    const inventoryFile = join(options.dir, "inventory.yaml");
    const deployment = {
        cell: experiment.deployment,
        zones: ZONES[experiment.deployment],
        service: SERVICES[experiment.deployment],
        workers: experiment.workers,
    };
    const inventory = buildInventory(deployment) as { racks: { instances: { id: string }[] }[] };
    writeFileSync(inventoryFile, stringify(inventory, { aliasDuplicateObjects: false }));
    const failing = inventory.racks
        .flatMap((r) => r.instances.map((i) => i.id))
        .slice(0, experiment.failingWorkers);
    const classByKind = loadClassByKind(rulesFile);
    const files = { inventoryFile, rulesFile, dir: options.dir, failing };
    const cell =
        experiment.instances === 1
            ? await spawnCell({ ...files, zones: deployment.zones })
            : await startCluster(experiment, files, deployment.zones);
    try {
        return await runWorkload(experiment, cell, classByKind, options);
    } finally {
        await cell.stop();
    }
}

async function startCluster(
    experiment: Experiment,
    files: Pick<ClusterOptions, "inventoryFile" | "rulesFile" | "dir" | "failing">,
    zones: readonly string[],
): Promise<SpawnedCell> {
    const members = Array.from({ length: experiment.instances }, (_, i) => {
        const zone = zones[i % zones.length] as string;
        return { id: `entry-${zone}-${Math.floor(i / zones.length) + 1}`, zone };
    });
    const cluster = await Cluster.start({
        ...files,
        members,
        workerZones: zones,
        groups: experiment.oneGroup ? [{ id: "cell", zones }] : [],
    });
    return {
        entry: cluster.listEntries(),
        logFiles: [],
        pids: cluster.pids,
        listStatuses: () => cluster.listStatuses(),
        stop: () => cluster.stop(),
    };
}

/** Aggregates the statuses; each group is counted once, at its leader. */
async function measureCell(cell: SpawnedCell): Promise<CellStats> {
    const statuses = await cell.listStatuses();
    const cells = statuses.flatMap((s) =>
        s.groups.flatMap((g) => (g.serving && g.cell !== undefined ? [g.cell] : [])),
    );
    const workers = cells.reduce((sum, c) => sum + c.workers, 0);
    const held = cells.reduce((sum, c) => sum + c.packingCores * c.workers, 0);
    return {
        packingCores: workers === 0 ? 0 : held / workers,
        queued: cells.reduce((sum, c) => sum + (c.requests["queued"] ?? 0), 0),
        placements: cells.reduce((sum, c) => sum + c.counters.placements, 0),
        bytes: new Map(statuses.map((s) => [s.id, s.bytes])),
    };
}

async function runWorkload(
    experiment: Experiment,
    cell: SpawnedCell,
    classByKind: ReadonlyMap<string, string>,
    options: RunOptions,
): Promise<LoadReport> {
    const total = Math.round((experiment.ratePerSecond * experiment.durationMs) / 1_000);
    const specs = buildMix(experiment.deployment, total, experiment.seed);
    const callers = createCallers(cell.entry, experiment.drainMs);
    const startedAtMs = Date.now();
    const pids = [...cell.pids.values()];
    const cpuBefore = pids.map((pid) => readProcessStats(pid).cpuSeconds);
    const maxRssBytes = pids.map(() => 0);
    const before = await measureCell(cell);
    const packingSamples: number[] = [];
    const packingSamplesWhileQueued: number[] = [];
    const sampler = setInterval(() => {
        pids.forEach((pid, i) => {
            maxRssBytes[i] = Math.max(maxRssBytes[i] ?? 0, readProcessStats(pid).rssBytes);
        });
        void measureCell(cell).then((stats) => {
            packingSamples.push(stats.packingCores);
            if (stats.queued > 0) {
                packingSamplesWhileQueued.push(stats.packingCores);
            }
        });
    }, SAMPLE_INTERVAL_MS);
    const progress = setInterval(() => {
        options.onProgress?.(
            `${experiment.name}: ${Math.round((Date.now() - startedAtMs) / 1_000)} s, ${submissions.length}/${total} sent`,
        );
    }, 1_000);
    const submissions: Promise<RequestStatus>[] = [];
    let randomState = experiment.seed;
    await new Promise<void>((resolve) => {
        const sender = setInterval(() => {
            const dueCount = Math.min(
                total,
                Math.round(((Date.now() - startedAtMs) * experiment.ratePerSecond) / 1_000),
            );
            while (submissions.length < dueCount) {
                const spec = specs[submissions.length];
                if (spec === undefined) {
                    break;
                }
                randomState = (randomState * 1_103_515_245 + 12_345) % 2 ** 31;
                const shouldCancel = randomState / 2 ** 31 < experiment.cancelShare;
                const caller = callers[submissions.length % callers.length] as Caller;
                submissions.push(
                    caller.submit(spec).then(async (status) => {
                        if (shouldCancel) {
                            await caller.cancel(status.requestId).catch(() => undefined);
                        }
                        return status;
                    }),
                );
            }
            if (submissions.length >= total) {
                clearInterval(sender);
                resolve();
            }
        }, SEND_INTERVAL_MS);
    });
    const deadlineMs = Date.now() + experiment.drainMs;
    const statuses = await Promise.all(
        submissions.map(async (a, i) =>
            (callers[i % callers.length] as Caller).waitFinal((await a).requestId, deadlineMs),
        ),
    );
    clearInterval(sampler);
    clearInterval(progress);
    const elapsedMs = Date.now() - startedAtMs;
    const after = await measureCell(cell);
    const seconds = elapsedMs / 1_000;
    return {
        experiment,
        requests: statuses.length,
        states: countStates(statuses),
        waitMsByClass: summarizeWaits(statuses, classByKind),
        placementsPerSecond: Math.round((after.placements - before.placements) / seconds),
        packingWhileQueued: computeMean(packingSamplesWhileQueued),
        packingMean: computeMean(packingSamples),
        processes: [...cell.pids].map(([role, pid], i) => ({
            role,
            cpuShare: Number(
                ((readProcessStats(pid).cpuSeconds - (cpuBefore[i] ?? 0)) / seconds).toFixed(4),
            ),
            maxRssMb: Math.round((maxRssBytes[i] ?? 0) / 1_048_576),
        })),
        leaders: (await cell.listStatuses()).flatMap((s) =>
            s.groups.filter((g) => g.serving).map((g) => `${g.id}: ${s.id}`),
        ),
        entryBytesPerSecond: [...after.bytes].map(([id, bytes]) => ({
            id,
            received: Math.round(
                (bytes.received - (before.bytes.get(id)?.received ?? 0)) / seconds,
            ),
            sent: Math.round((bytes.sent - (before.bytes.get(id)?.sent ?? 0)) / seconds),
        })),
        elapsedMs,
    };
}

/** Creates one caller per entry instance; each calls a different one first, to spread the load. */
function createCallers(entry: string, completionTimeoutMs: number): Caller[] {
    const entries = entry.split(",");
    return entries.map((_, i) => {
        const rotatedEntries = [...entries.slice(i), ...entries.slice(0, i)].join(",");
        return new Caller({ entry: rotatedEntries, completionTimeoutMs });
    });
}

function loadClassByKind(rulesFile: string): Map<string, string> {
    const rules = parse(readFileSync(rulesFile, "utf8")) as {
        kinds: { name: string; class: string }[];
    };
    return new Map(rules.kinds.map((k) => [k.name, k.class]));
}

function countStates(statuses: readonly RequestStatus[]): Record<string, number> {
    const states: Record<string, number> = {};
    for (const status of statuses) {
        states[status.state] = (states[status.state] ?? 0) + 1;
    }
    return states;
}

function summarizeWaits(
    statuses: readonly RequestStatus[],
    classByKind: ReadonlyMap<string, string>,
): Record<string, WaitSummary> {
    const histograms = new Map<string, hdr.Histogram>();
    for (const status of statuses) {
        if (status.startedAt === undefined) {
            continue;
        }
        const name = classByKind.get(status.kind) ?? status.kind;
        const histogram =
            histograms.get(name) ??
            hdr.build({
                lowestDiscernibleValue: 1,
                highestTrackableValue: 3_600_000,
                numberOfSignificantValueDigits: 3,
            });
        histogram.recordValue(Math.max(1, status.startedAt - status.acceptedAt));
        histograms.set(name, histogram);
    }
    return Object.fromEntries(
        [...histograms].map(([name, h]) => [
            name,
            {
                p50: h.getValueAtPercentile(50),
                p99: h.getValueAtPercentile(99),
                max: h.maxValue,
                count: h.totalCount,
            },
        ]),
    );
}

function computeMean(values: readonly number[]): number {
    return values.length === 0
        ? 0
        : Number((values.reduce((a, b) => a + b, 0) / values.length).toFixed(3));
}

/**
 * Formats a report as human-readable text.
 *
 * @param report The report.
 * @returns The text, several lines.
 */
export function formatReport(report: LoadReport): string {
    const e = report.experiment;
    const lines = [
        `${e.name}: ${e.workers} workers, ${e.ratePerSecond}/s for ${e.durationMs} ms; ${report.requests} requests in ${report.elapsedMs} ms: ${Object.entries(
            report.states,
        )
            .map(([s, n]) => `${s} ${n}`)
            .join(", ")}`,
        `  placements ${report.placementsPerSecond}/s; packing ${report.packingMean} mean, ${report.packingWhileQueued} while work was queued`,
        ...Object.entries(report.waitMsByClass).map(
            ([c, w]) =>
                `  wait ${c.padEnd(12)} p50 ${w.p50} ms  p99 ${w.p99} ms  max ${w.max} ms  (n=${w.count})`,
        ),
        ...report.processes.map(
            (p) =>
                `  ${p.role.padEnd(16)} cpu ${(p.cpuShare * 100).toFixed(1)}% of a core, rss max ${p.maxRssMb} MB`,
        ),
        ...report.entryBytesPerSecond.map(
            (b) => `  ${b.id} bytes/s received ${b.received}, sent ${b.sent}`,
        ),
        `  leaders ${report.leaders.join(", ")}`,
    ];
    return `${lines.join("\n")}\n`;
}
