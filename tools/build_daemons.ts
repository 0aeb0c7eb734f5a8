/**
 * Builds the daemons for deployment into `target/`: one bundle, its state charts, a starter, and for each
 * role the code that the engine compiled while the role ran for a moment.
 *
 * @example
 * ```sh
 * node --import=tsx tools/build_daemons.ts [FOLDER]
 * ```
 *
 * @module
 */

import { build, type BuildOptions } from "esbuild";
import {
    mkdirSync,
    readdirSync,
    readFileSync,
    renameSync,
    rmSync,
    statSync,
    writeFileSync,
} from "node:fs";
import { basename, join } from "node:path";
import { parseYaml } from "../settings/parse_yaml.ts";
import { runWarmUp, type DaemonRole } from "../platform/warm_up.ts";

/** Where everything goes that is built. */
const OUTPUT_DIR = process.argv[2] ?? "target";
const DEPLOY_FILE = "deploy/system.toml";
const STATE_CHARTS = ["log/role_chart.yaml", "job/job_chart.yaml"];
/** Ends the names of the files in which daemons keep their compiled code. */
const CACHE_SUFFIX = ".code_cache";

const SHARED_OPTIONS: BuildOptions = {
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    // Names stay, so that stack traces in logs can be read.
    minifyWhitespace: true,
    legalComments: "none",
    define: { "import.meta.url": "moduleUrl" },
};

/** Bundles the daemon and its starter. */
async function buildBundles(): Promise<void> {
    await build({
        ...SHARED_OPTIONS,
        entryPoints: ["platform/main.ts"],
        outfile: join(OUTPUT_DIR, "daemon_bundle.js"),
        banner: {
            js: `(function (exports, require, module, filename) {
const moduleUrl = require("node:url").pathToFileURL(filename).href;`,
        },
        footer: { js: "})" },
    });
    await build({
        ...SHARED_OPTIONS,
        entryPoints: ["bin/poplarhead_start.ts"],
        outfile: join(OUTPUT_DIR, "poplarhead_start.cjs"),
        banner: { js: `const moduleUrl = require("node:url").pathToFileURL(__filename).href;` },
    });
}

/** Writes the charts as JSON, which is YAML too and is parsed in a fraction of the time. */
function writeStateCharts(): void {
    for (const chart of STATE_CHARTS) {
        const value = parseYaml(readFileSync(chart, "utf8"));
        writeFileSync(join(OUTPUT_DIR, basename(chart)), JSON.stringify(value));
    }
}

/** The flags of the engine that a role is deployed with: compiled code is of use only under the same. */
function listNodeFlags(role: DaemonRole): string[] {
    const runCommand = new RegExp(
        `^run = "node (.*) target/poplarhead_start.cjs ${role}"`,
        "m",
    ).exec(readFileSync(DEPLOY_FILE, "utf8"));
    if (runCommand?.[1] === undefined) {
        throw new Error(`${DEPLOY_FILE} does not say how ${role} is run`);
    }
    return runCommand[1].split(" ");
}

/** Keeps the compiled code of the daemon of each role that did most. */
function selectCodeCaches(): void {
    for (const role of ["front", "control"]) {
        const caches = readdirSync(OUTPUT_DIR)
            .filter((name) => name.startsWith(`${role}.`) && name.endsWith(CACHE_SUFFIX))
            .map((name) => join(OUTPUT_DIR, name))
            .sort((a, b) => statSync(b).size - statSync(a).size);
        const [largest, ...others] = caches;
        if (largest !== undefined) {
            renameSync(largest, join(OUTPUT_DIR, `code_cache_${role}.bin`));
        }
        others.forEach((file) => rmSync(file));
    }
}

rmSync(OUTPUT_DIR, { recursive: true, force: true });
mkdirSync(OUTPUT_DIR, { recursive: true });
writeStateCharts();
await buildBundles();
await runWarmUp({
    startScript: join(OUTPUT_DIR, "poplarhead_start.cjs"),
    listFlags: listNodeFlags,
});
selectCodeCaches();
