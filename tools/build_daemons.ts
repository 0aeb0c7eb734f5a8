/**
 * Builds the daemons for deployment into `target/`: one bundle, its state charts, a starter, and for each
 * role the code that the engine compiled while the role ran for a moment.
 *
 * @example
 * ```sh
 * node --import=tsx tools/build_daemons.ts
 * ```
 *
 * @module
 */

import { build, type BuildOptions } from "esbuild";
import { spawn } from "node:child_process";
import { mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { basename, join } from "node:path";
import { parseYaml } from "../settings/parse_yaml.ts";

const TARGET = "target";
const DEPLOY_FILE = "deploy/system.toml";
const CHARTS = ["log/role_chart.yaml", "job/job_chart.yaml"];
/** A role serves for this long before its compiled code is kept, in ms: it has listened and greeted by then. */
const WARM_UP_MS = 1_500;
/** A role that has not ended by then is ended; its start then compiles as usual, in ms. */
const WARM_UP_LIMIT_MS = 15_000;
/** Ports of the warm-up on loopback, outside those that the tests take. */
const WARM_UP_PORT = 27_700;

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
        outfile: join(TARGET, "daemon_bundle.js"),
        banner: {
            js: `(function (exports, require, module, filename) {
const moduleUrl = require("node:url").pathToFileURL(filename).href;`,
        },
        footer: { js: "})" },
    });
    await build({
        ...SHARED_OPTIONS,
        entryPoints: ["bin/poplarhead_start.ts"],
        outfile: join(TARGET, "poplarhead_start.cjs"),
        banner: { js: `const moduleUrl = require("node:url").pathToFileURL(__filename).href;` },
    });
}

/** Writes the charts as JSON, which is YAML too and is parsed in a fraction of the time. */
function writeCharts(): void {
    for (const chart of CHARTS) {
        const value = parseYaml(readFileSync(chart, "utf8"));
        writeFileSync(join(TARGET, basename(chart)), JSON.stringify(value));
    }
}

/** The flags of the engine that a role is deployed with: compiled code is of use only under the same. */
function listEngineFlags(role: string): string[] {
    const line = new RegExp(`^run = "node (.*) target/poplarhead_start.cjs ${role}"`, "m").exec(
        readFileSync(DEPLOY_FILE, "utf8"),
    );
    if (line?.[1] === undefined) {
        throw new Error(`${DEPLOY_FILE} does not say how ${role} is run`);
    }
    return line[1].split(" ");
}

/** Runs a role on loopback for a moment and has it keep its compiled code. */
async function writeCodeCache(role: "front" | "control"): Promise<void> {
    const dir = mkdtempSync(join(tmpdir(), "poplarhead-build-"));
    const settingsFile = join(dir, "boot.yaml");
    writeFileSync(settingsFile, JSON.stringify(createWarmUpSettings(role, dir)));
    const child = spawn(
        process.execPath,
        [
            ...listEngineFlags(role),
            join(TARGET, "poplarhead_start.cjs"),
            role,
            "--write-code-cache",
        ],
        { stdio: "ignore", env: { ...process.env, POPLARHEAD_SETTINGS: settingsFile } },
    );
    const stop = setTimeout(() => child.kill("SIGTERM"), WARM_UP_MS);
    const limit = setTimeout(() => child.kill("SIGKILL"), WARM_UP_LIMIT_MS);
    await new Promise((resolve) => child.once("exit", resolve));
    clearTimeout(stop);
    clearTimeout(limit);
    rmSync(dir, { recursive: true });
}

/** Settings of the first start of a system of one control instance, or of a front beside none. */
function createWarmUpSettings(role: "front" | "control", dataDir: string): object {
    const host = "127.0.0.1";
    const port = WARM_UP_PORT + (role === "front" ? 0 : 20);
    return {
        Node: `build-${role}`,
        Ip: host,
        Zone: "build",
        Listen:
            role === "front"
                ? { Front: `${host}:${port}`, Readiness: `${host}:${port + 1}` }
                : { Control: `${host}:${port}` },
        PortRange: [port + 2, port + 9],
        Seeds: [`${host}:${WARM_UP_PORT + 20}`],
        Bootstrap: true,
        DataDir: role === "control" ? dataDir : null,
        Tolerate: { Machines: 0 },
        Bounds: { HoldMaxMs: 10_000, GraceS: 1, status_s: 1 },
    };
}

rmSync(TARGET, { recursive: true, force: true });
mkdirSync(TARGET, { recursive: true });
writeCharts();
await buildBundles();
await writeCodeCache("front");
await writeCodeCache("control");
