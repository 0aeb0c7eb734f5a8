/**
 * `poplarhead demo`: runs a local cell of real processes for each example deployment, sends it a
 * mix of requests, and prints a summary when all have ended.
 *
 * @example
 * ```sh
 * poplarhead demo --requests 200
 * ```
 *
 * @module
 */

import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { Command, Option } from "clipanion";
import * as hdr from "hdr-histogram-js";
import type { RequestStatus } from "../cell/mod.ts";
import { buildMix } from "../load/mix.ts";
import { spawnCell } from "../load/cell_runner.ts";
import { Caller } from "../standin/mod.ts";

const DEPLOYMENTS = [
    { name: "umhlanga", zones: ["hall-a", "hall-b", "hall-c"] },
    { name: "caruaru", zones: ["capela-norte", "capela-sul", "sede"] },
];

/** `poplarhead demo`: runs both example deployments on a local cell. */
export class DemoCommand extends Command {
    static override paths = [["demo"]];
    static override usage = Command.Usage({
        description:
            "Run both example deployments on a local cell with simulated workers and print a summary.",
    });
    requests = Option.String("--requests", "200");
    dir = Option.String("--dir");

    /** @returns 0 if every request reached a final state, 1 otherwise. */
    async execute(): Promise<number> {
        const baseDir = this.dir ?? mkdtempSync(join(tmpdir(), "poplarhead-demo-"));
        let allFinal = true;
        for (const deployment of DEPLOYMENTS) {
            const examplesDir = fileURLToPath(
                new URL(`../examples/${deployment.name}/`, import.meta.url),
            );
            const cell = await spawnCell({
                inventoryFile: join(examplesDir, "inventory.yaml"),
                rulesFile: join(examplesDir, "rules.yaml"),
                dir: join(baseDir, deployment.name),
                zones: deployment.zones,
            });
            try {
                const startedAtMs = Date.now();
                const statuses = await new Caller({
                    entry: cell.entry,
                    completionTimeoutMs: 60_000,
                }).runAll(buildMix(deployment.name, Number(this.requests), 7));
                this.context.stdout.write(
                    formatSummary(deployment.name, statuses, Date.now() - startedAtMs),
                );
                allFinal &&= statuses.every((a) => a.final);
            } finally {
                await cell.stop();
            }
            this.context.stdout.write(`  logs: ${cell.logFiles.join(" ")}\n`);
        }
        this.context.stdout.write(
            allFinal
                ? "every request reached a final state\n"
                : "some requests did not reach a final state\n",
        );
        return allFinal ? 0 : 1;
    }
}

/**
 * Formats the number of requests per state and the waiting times per kind.
 *
 * @param name The deployment's name.
 * @param statuses The last known status of each request.
 * @param elapsedMs Duration of the run in ms.
 * @returns The summary text.
 */
export function formatSummary(
    name: string,
    statuses: readonly RequestStatus[],
    elapsedMs: number,
): string {
    const states = new Map<string, number>();
    const waitHistograms = new Map<string, hdr.Histogram>();
    for (const status of statuses) {
        states.set(status.state, (states.get(status.state) ?? 0) + 1);
        if (status.startedAt !== undefined) {
            const histogram =
                waitHistograms.get(status.kind) ??
                hdr.build({
                    lowestDiscernibleValue: 1,
                    highestTrackableValue: 3_600_000,
                    numberOfSignificantValueDigits: 3,
                });
            histogram.recordValue(Math.max(1, status.startedAt - status.acceptedAt));
            waitHistograms.set(status.kind, histogram);
        }
    }
    const lines = [
        `${name}: ${statuses.length} requests in ${elapsedMs} ms; ${[...states].map(([s, n]) => `${s} ${n}`).join(", ")}`,
    ];
    for (const [kind, histogram] of waitHistograms) {
        lines.push(
            `  wait ${kind.padEnd(11)} p50 ${histogram.getValueAtPercentile(50)} ms  p99 ${histogram.getValueAtPercentile(99)} ms  max ${histogram.maxValue} ms  (n=${histogram.totalCount})`,
        );
    }
    return `${lines.join("\n")}\n`;
}
