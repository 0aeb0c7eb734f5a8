/**
 * Builds the daemons for deployment into `target/`: the bundle, its state charts, a start script,
 * and a V8 code cache for each role, recorded during a short run.
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

/** Directory for the build's output. */
const OUTPUT_DIR = process.argv[2] ?? "target";
const DEPLOY_FILE = "deploy/system.toml";
const STATE_CHARTS = ["log/role_chart.yaml", "job/job_chart.yaml"];
/** Suffix of the code cache files that the daemons write. */
const CACHE_SUFFIX = ".code_cache";

const SHARED_OPTIONS: BuildOptions = {
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    // Identifiers are not minified, so that stack traces stay readable.
    minifyWhitespace: true,
    legalComments: "none",
    define: { "import.meta.url": "moduleUrl" },
};

/** Bundles the daemon and its start script. */
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

/** Writes the state charts as JSON, which is valid YAML and parses faster. */
function writeStateCharts(): void {
    for (const chart of STATE_CHARTS) {
        const value = parseYaml(readFileSync(chart, "utf8"));
        writeFileSync(join(OUTPUT_DIR, basename(chart)), JSON.stringify(value));
    }
}

/** Returns a role's Node.js flags in the deploy file; a code cache is valid only under them. */
function listNodeFlags(role: DaemonRole): string[] {
    const runCommand = new RegExp(
        `^run = "node (.*) target/poplarhead_start.cjs ${role}"`,
        "m",
    ).exec(readFileSync(DEPLOY_FILE, "utf8"));
    if (runCommand?.[1] === undefined) {
        throw new Error(`${DEPLOY_FILE} has no run command for role ${role}`);
    }
    return runCommand[1].split(" ");
}

/** Keeps the largest code cache of each role and removes the others. */
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
