// Runs one case: starts a cluster, writes the record beside the script and ends with the exit code.

import { writeFileSync } from "node:fs";
import { performance } from "node:perf_hooks";
import process from "node:process";
import { setTimeout } from "node:timers";
import { URL } from "node:url";
import { Cluster } from "./cluster.mjs";

/** Within the 120 s that a script may take. */
const TIME_LIMIT_MS = 112_000;
const BROKEN = 1;
const HELD = 0;
const NOT_RUN = 2;

/** Thrown when the case could not run. */
export class CaseNotRunError extends Error {}

/**
 * Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 * `run` takes the cluster and a function that records a line, and returns whether the rule broke.
 */
export async function runCase(moduleUrl, run) {
    const startedAtMs = performance.now();
    const lines = [];
    const record = (text) => {
        lines.push(`${((performance.now() - startedAtMs) / 1_000).toFixed(3)} ${text}`);
    };
    const cluster = new Cluster({ record });
    const finish = async (result) => {
        await cluster.stop();
        record(`exit ${result}`);
        writeFileSync(new URL("record.txt", moduleUrl), `${lines.join("\n")}\n`);
        process.exit(result);
    };
    setTimeout(() => {
        record("the case took too long");
        void finish(NOT_RUN);
    }, TIME_LIMIT_MS);
    process.once("SIGTERM", () => void finish(NOT_RUN));
    process.once("SIGINT", () => void finish(NOT_RUN));
    let result = NOT_RUN;
    try {
        result = (await run(cluster, record)) ? BROKEN : HELD;
    } catch (error) {
        record(
            `the case could not run: ${error instanceof CaseNotRunError ? error.message : error.stack}`,
        );
    }
    await finish(result);
}
