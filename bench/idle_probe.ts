/**
 * Measures the CPU share of each process of an idle local cell over 10 s. The argument is the
 * number of workers.
 *
 * @example
 * ```sh
 * npx tsx bench/idle_probe.ts 300
 * ```
 *
 * @module
 */

import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { stringify } from "yaml";
import { buildInventory } from "../examples/build_examples.ts";
import { spawnCell } from "../load/cell_runner.ts";
import { readProcessStats } from "../load/process_stats.ts";
const workers = Number(process.argv[2] ?? 300);
const dir = mkdtempSync(join(tmpdir(), "idle-"));
const inventoryFile = join(dir, "inventory.yaml");
writeFileSync(
    inventoryFile,
    stringify(
        buildInventory({
            cell: "umhlanga",
            zones: ["hall-a", "hall-b", "hall-c"],
            service: "studio-intake",
            workers,
        }),
        { aliasDuplicateObjects: false },
    ),
);
const cell = await spawnCell({
    inventoryFile,
    rulesFile: "examples/umhlanga/rules.yaml",
    dir,
    zones: ["hall-a", "hall-b", "hall-c"],
});
await new Promise((r) => setTimeout(r, 3000));
const cpuSecondsBefore = [...cell.pids.values()].map((p) => readProcessStats(p).cpuSeconds);
await new Promise((r) => setTimeout(r, 10000));
const cpuSecondsAfter = [...cell.pids.values()].map((p) => readProcessStats(p).cpuSeconds);
console.log(
    workers,
    "idle workers, CPU use of each process over 10 s in % of a core:",
    cpuSecondsAfter
        .map((seconds, i) => (((seconds - (cpuSecondsBefore[i] ?? 0)) / 10) * 100).toFixed(1) + "%")
        .join(" "),
);
await cell.stop();
