/**
 * Experiment files for `poplarhead load`: the size of the cell, the request mix and rate, how
 * long, and the faults (cancellation waves, failing workers, declared run times far off).
 *
 * @example
 * ```ts
 * import { loadExperimentText } from "./experiment.ts";
 * const experiment = loadExperimentText("exp.yaml", text);
 * ```
 *
 * @module
 */

import { z } from "zod";
import { checkSource } from "../settings/check_source.ts";
import { parseYamlSource } from "../settings/yaml_source.ts";

/** The schema of an experiment file. */
export const experimentSchema = z
    .object({
        name: z.string().min(1),
        deployment: z.enum(["umhlanga", "caruaru"]),
        /** Stand-in workers, 16 cores and 32 GB each, 8 to a rack, over the deployment's zones. */
        workers: z.number().int().positive().max(2_000),
        /** Requests per second sent while the run lasts. */
        ratePerSecond: z.number().positive().max(5_000),
        /** How long requests are sent, in ms. */
        durationMs: z.number().int().positive().max(120_000),
        /** How long to wait for every request to end after sending stops, in ms. */
        drainMs: z.number().int().positive().max(120_000).default(30_000),
        /** Share of requests cancelled shortly after they are accepted. */
        cancelShare: z.number().min(0).max(1).default(0),
        /** Workers that fail everything they start. */
        failingWorkers: z.number().int().nonnegative().default(0),
        /** Entry instances, spread over the zones; 1 is the whole cell in one process. */
        instances: z.number().int().min(1).max(12).default(1),
        /** One group for the whole cell instead of one per zone. */
        oneGroup: z.boolean().default(false),
        /** Seed of the mix. */
        seed: z.number().int().default(1),
    })
    .strict();

/** An experiment. */
export type Experiment = z.infer<typeof experimentSchema>;

/**
 * Parses and checks an experiment file; every bad line is reported.
 *
 * @param file The file's path, used in findings.
 * @param text The YAML text.
 * @returns The experiment.
 * @throws {FindingsError} With every finding.
 */
export function loadExperimentText(file: string, text: string): Experiment {
    return checkSource(parseYamlSource(file, text), experimentSchema);
}
