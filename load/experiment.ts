/**
 * Loads and validates experiment files for `poplarhead load`, which define the size of the cell,
 * the request mix, the rate and the injected faults.
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
        /** Simulated workers of 16 cores and 32 GB, 8 per rack, spread over the zones. */
        workers: z.number().int().positive().max(2_000),
        /** Requests sent per second. */
        ratePerSecond: z.number().positive().max(5_000),
        /** How long requests are sent, in ms. */
        durationMs: z.number().int().positive().max(120_000),
        /** The longest wait for all requests to become final after the last one is sent, in ms. */
        drainMs: z.number().int().positive().max(120_000).default(30_000),
        /** The fraction of requests that are cancelled after they are accepted. */
        cancelShare: z.number().min(0).max(1).default(0),
        /** The number of workers that fail every task. */
        failingWorkers: z.number().int().nonnegative().default(0),
        /** Entry instances, spread over the availability zones. */
        instances: z.number().int().min(1).max(12).default(1),
        /** Uses one group for the whole cell instead of one per availability zone. */
        oneGroup: z.boolean().default(false),
        /** The random seed of the request mix and the cancellations. */
        seed: z.number().int().default(1),
    })
    .strict();

/** A validated experiment. */
export type Experiment = z.infer<typeof experimentSchema>;

/**
 * Parses and validates an experiment file.
 *
 * @param file The path of the file, for error messages.
 * @param text The YAML text.
 * @returns The experiment.
 * @throws {FindingsError} When the file is invalid; lists all findings.
 */
export function loadExperimentText(file: string, text: string): Experiment {
    return checkSource(parseYamlSource(file, text), experimentSchema);
}
