/**
 * Measures the CPU time and the payload bytes of a worker heartbeat on a `Cell` in this process,
 * without a network, at 1,100 workers with 8 leases each, for `docs/CAPACITY.md`. Writes the
 * results to `bench/results/heartbeat-slope.json`.
 *
 * @example
 * ```sh
 * npx tsx bench/heartbeat_slope.ts
 * ```
 *
 * @module
 */

import { writeFileSync } from "node:fs";
import { buildCell, buildSpec } from "../cell/_fixtures.ts";
import type { HeldLease } from "../cell/mod.ts";

const WORKERS = 1_100;
const cell = buildCell({ workers: WORKERS, leaseTtlMs: 1e12 });
for (let i = 0; i < WORKERS * 8; i++) {
    cell.submit(
        buildSpec({ kind: "hero", demand: { cores: 1, memoryMb: 1_024, accelerators: 0 } }),
        0,
    );
}
cell.tick(1);
cell.takeEffects();
const leasesByWorker = new Map<string, HeldLease[]>();
for (const lease of cell.listLiveLeases()) {
    leasesByWorker.set(lease.worker, [
        ...(leasesByWorker.get(lease.worker) ?? []),
        {
            lease: lease.id,
            epoch: lease.epoch,
            usage: { cores: 0.9, memoryMb: 900, accelerators: 0 },
        },
    ]);
}
const rounds = 50;
const cpuBefore = process.cpuUsage();
let bytes = 0;
for (let r = 0; r < rounds; r++) {
    for (const worker of cell.listWorkers()) {
        const leases = leasesByWorker.get(worker.instance.id) ?? [];
        bytes += JSON.stringify({ instance: worker.instance.id, leases }).length;
        cell.handleHeartbeat(worker.instance.id, leases, 2 + r);
    }
    cell.takeEffects();
}
const cpu = process.cpuUsage(cpuBefore);
const heartbeatCount = rounds * WORKERS;
const result = {
    command: "npx tsx bench/heartbeat_slope.ts",
    workers: WORKERS,
    liveLeases: cell.listLiveLeases().length,
    cpuUsPerHeartbeat: Number(((cpu.user + cpu.system) / heartbeatCount).toFixed(2)),
    bytesPerHeartbeat: Math.round(bytes / heartbeatCount),
    heapUsedMb: Math.round(process.memoryUsage().heapUsed / 1_048_576),
};
console.log(result);
writeFileSync(
    new URL("./results/heartbeat-slope.json", import.meta.url),
    JSON.stringify(result, null, 2) + "\n",
);
