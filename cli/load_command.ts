/**
 * `poplarhead load`: runs a load experiment against real processes on loopback, prints the report
 * and writes it as JSON to `--out`.
 *
 * @example
 * ```sh
 * poplarhead load --experiment load/experiments/mixed.yaml --workers 300 --out bench/results/load-300.json
 * ```
 *
 * @module
 */

import { mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Command, Option } from "clipanion";
import { FindingsError, formatFindings } from "../settings/findings.ts";
import { loadExperimentText, type Experiment } from "../load/experiment.ts";
import { formatReport, runExperiment } from "../load/run_load.ts";

/** `poplarhead load`: runs a load experiment on a local cell. */
export class LoadCommand extends Command {
    static override paths = [["load"]];
    static override usage = Command.Usage({
        description:
            "Run a load experiment on a local cell; report waiting time, packing and resource usage.",
    });
    experiment = Option.String("--experiment", { required: true });
    workers = Option.String("--workers", { description: "override the file's worker count" });
    rate = Option.String("--rate", { description: "override the file's requests per second" });
    instances = Option.String("--instances", {
        description: "override the file's number of entry instances",
    });
    out = Option.String("--out");

    /** @returns 0 if every request reached a final state, 1 otherwise. */
    async execute(): Promise<number> {
        let experiment: Experiment;
        try {
            experiment = loadExperimentText(this.experiment, readFileSync(this.experiment, "utf8"));
        } catch (error) {
            if (error instanceof FindingsError) {
                this.context.stderr.write(`${formatFindings(error.findings)}\n`);
                return 1;
            }
            throw error;
        }
        experiment = {
            ...experiment,
            workers: this.workers === undefined ? experiment.workers : Number(this.workers),
            ratePerSecond: this.rate === undefined ? experiment.ratePerSecond : Number(this.rate),
            instances: this.instances === undefined ? experiment.instances : Number(this.instances),
        };
        experiment = {
            ...experiment,
            name: `${experiment.name}-w${experiment.workers}-r${experiment.ratePerSecond}-i${experiment.instances}`,
        };
        const dir = mkdtempSync(join(tmpdir(), "poplarhead-load-"));
        const report = await runExperiment(experiment, {
            dir,
            onProgress: (line) => this.context.stderr.write(`${line}\n`),
        });
        this.context.stdout.write(formatReport(report));
        if (this.out !== undefined) {
            writeFileSync(
                this.out,
                `${JSON.stringify({ command: `poplarhead load --experiment ${this.experiment} --workers ${experiment.workers} --rate ${experiment.ratePerSecond} --instances ${experiment.instances}`, at: new Date().toISOString(), report }, null, 2)}\n`,
            );
        }
        const unfinishedCount =
            report.requests -
            Object.entries(report.states)
                .filter(([s]) => ["completed", "refused", "failed", "cancelled"].includes(s))
                .reduce((n, [, c]) => n + c, 0);
        return unfinishedCount === 0 ? 0 : 1;
    }
}
