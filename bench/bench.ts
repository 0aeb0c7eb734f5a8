/**
 * Measures placement throughput and the duration of a scheduling tick on a `Cell` in this process,
 * without a network, at 30 and 1,100 workers. Writes the results to
 * `bench/results/bench-cell.json`.
 *
 * @example
 * ```sh
 * npm run bench
 * ```
 *
 * @module
 */

import { writeFileSync, mkdirSync } from "node:fs";
import * as hdr from "hdr-histogram-js";
import { buildCell, buildSpec } from "../cell/_fixtures.ts";
import type { Effect } from "../cell/mod.ts";

const KINDS = ["preview", "batch", "hero", "reel", "gang", "service"];

/**
 * Runs the benchmark at one cluster size.
 *
 * @param workers Number of workers in the cell.
 * @param requests Number of requests to submit.
 * @returns The measurements by name; a name includes the unit, if any.
 */
export function runBench(workers: number, requests: number): Record<string, number> {
    const cell = buildCell({ workers, leaseTtlMs: 1e12 });
    const tickHistogram = hdr.build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: 10_000_000,
        numberOfSignificantValueDigits: 3,
    });
    const running: { lease: Extract<Effect, { type: "grant" }>["lease"]; endsAtMs: number }[] = [];
    const totalCores = cell.listWorkers().reduce((s, w) => s + w.instance.capacity.cores, 0);
    let packingSum = 0;
    let packingSamples = 0;
    const memoryBefore = process.memoryUsage().heapUsed;
    const cpuBefore = process.cpuUsage();
    const startedAtMs = performance.now();
    let nowMs = 0;
    let submitted = 0;
    while (submitted < requests || running.length > 0) {
        nowMs += 10;
        for (let i = 0; i < 40 && submitted < requests; i++, submitted++) {
            const kind = KINDS[submitted % KINDS.length] as string;
            cell.submit(
                buildSpec({
                    kind,
                    count: kind === "gang" ? 3 : kind === "service" ? 2 : 1,
                    demand: { cores: 1 + (submitted % 4), memoryMb: 1_024, accelerators: 0 },
                }),
                nowMs,
            );
        }
        const tickStartedAtMs = performance.now();
        cell.tick(nowMs);
        tickHistogram.recordValue(
            Math.max(1, Math.round((performance.now() - tickStartedAtMs) * 1_000)),
        );
        for (const effect of cell.takeEffects()) {
            if (effect.type === "grant") {
                cell.handleReport(effect.lease.lease, effect.lease.epoch, "started", "", nowMs);
                running.push({ lease: effect.lease, endsAtMs: nowMs + 200 + (submitted % 7) * 50 });
            }
        }
        for (let i = running.length - 1; i >= 0; i--) {
            const item = running[i];
            if (item !== undefined && item.endsAtMs <= nowMs) {
                cell.handleReport(item.lease.lease, item.lease.epoch, "completed", "", nowMs);
                running.splice(i, 1);
            }
        }
        cell.takeEffects();
        packingSum += cell.listWorkers().reduce((s, w) => s + w.held.cores, 0) / totalCores;
        packingSamples += 1;
    }
    const elapsedMs = performance.now() - startedAtMs;
    const cpu = process.cpuUsage(cpuBefore);
    return {
        workers,
        requests,
        placements: cell.counters.placements,
        placementsPerSecond: Math.round(cell.counters.placements / (elapsedMs / 1_000)),
        tickP50Us: tickHistogram.getValueAtPercentile(50),
        tickP99Us: tickHistogram.getValueAtPercentile(99),
        cpuUsPerPlacement: Math.round((cpu.user + cpu.system) / cell.counters.placements),
        meanPackingCores: Number((packingSum / packingSamples).toFixed(3)),
        heapGrowthBytesPerRequest: Math.round(
            (process.memoryUsage().heapUsed - memoryBefore) / requests,
        ),
    };
}

const results = [runBench(30, 20_000), runBench(1_100, 20_000)];
for (const r of results) {
    console.log(
        `${r.workers} workers: ${r.placements} placements, ${r.placementsPerSecond}/s, tick p50 ${r.tickP50Us} us p99 ${r.tickP99Us} us, ${r.cpuUsPerPlacement} us CPU/placement, packing ${r.meanPackingCores}, heap ${r.heapGrowthBytesPerRequest} B/request`,
    );
}
mkdirSync(new URL("./results/", import.meta.url), { recursive: true });
writeFileSync(
    new URL("./results/bench-cell.json", import.meta.url),
    JSON.stringify(
        { command: "npm run bench", node: process.version, at: new Date().toISOString(), results },
        null,
        2,
    ) + "\n",
);
