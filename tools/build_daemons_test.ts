import { spawn, spawnSync } from "node:child_process";
import { existsSync, mkdtempSync, readdirSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import test from "ava";

/** Node.js flags from the deploy file that affect the front's code cache. */
const FRONT_NODE_FLAGS = ["--max-old-space-size=160"];
const HOST = "127.0.0.21";
const PORT = 27_900;
/** Prints whether V8 rejects the code cache. */
const CHECK_SCRIPT = `
const { readFileSync } = require("node:fs");
const { Script } = require("node:vm");
const [bundle, cache] = process.argv.slice(1);
const script = new Script(readFileSync(bundle, "utf8"), { filename: bundle, cachedData: readFileSync(cache) });
console.log(script.cachedDataRejected);
`;

test.serial("builds daemons that start, with a code cache that V8 accepts", async (t) => {
    // A rejected code cache only slows down the start, which no other test detects.
    const dir = mkdtempSync(join(tmpdir(), "poplarhead-target-"));
    t.teardown(() => rmSync(dir, { recursive: true }));
    const built = spawnSync(process.execPath, ["--import=tsx", "tools/build_daemons.ts", dir], {
        encoding: "utf8",
    });
    t.is(built.status, 0, built.stderr);
    t.deepEqual(readdirSync(dir).sort(), [
        "code_cache_control.bin",
        "code_cache_front.bin",
        "daemon_bundle.js",
        "job_chart.yaml",
        "poplarhead_start.cjs",
        "role_chart.yaml",
    ]);
    const check = spawnSync(
        process.execPath,
        [
            ...FRONT_NODE_FLAGS,
            "-e",
            CHECK_SCRIPT,
            join(dir, "daemon_bundle.js"),
            join(dir, "code_cache_front.bin"),
        ],
        { encoding: "utf8" },
    );
    t.is(check.stdout.trim(), "false", check.stderr);
    t.true(await checkFrontStarts(dir));
});

test.serial("concurrent builds each write their code caches", async (t) => {
    // Daemons of two builds on the same ports would leave the second build without a code cache.
    const dirs = [1, 2].map(() => mkdtempSync(join(tmpdir(), "poplarhead-target-")));
    t.teardown(() => dirs.forEach((dir) => rmSync(dir, { recursive: true })));
    const statuses = await Promise.all(dirs.map((dir) => runBuild(dir)));
    t.deepEqual(statuses, [0, 0]);
    for (const dir of dirs) {
        t.true(existsSync(join(dir, "code_cache_control.bin")));
        t.true(existsSync(join(dir, "code_cache_front.bin")));
    }
});

/** Runs the build and returns its exit status. */
function runBuild(dir: string): Promise<number | null> {
    const child = spawn(process.execPath, ["--import=tsx", "tools/build_daemons.ts", dir], {
        stdio: "ignore",
    });
    return new Promise((resolve) => child.once("exit", (code) => resolve(code)));
}

/** Returns whether the built front starts, and exits with code 0 on SIGTERM. */
async function checkFrontStarts(dir: string): Promise<boolean> {
    const settings = join(dir, "boot.yaml");
    writeFileSync(
        settings,
        JSON.stringify({
            Node: "edge-1",
            Ip: HOST,
            Zone: "z",
            Listen: { Front: `${HOST}:${PORT}`, Readiness: `${HOST}:${PORT + 1}` },
            PortRange: [PORT + 2, PORT + 9],
            Seeds: [`${HOST}:${PORT}`],
            Bounds: { HoldMaxMs: 10_000, GraceS: 1, status_s: 10 },
        }),
    );
    const starter = resolve(dir, "poplarhead_start.cjs");
    const child = spawn(process.execPath, [...FRONT_NODE_FLAGS, starter, "front"], {
        stdio: ["ignore", "pipe", "inherit"],
        env: { ...process.env, POPLARHEAD_SETTINGS: settings },
    });
    const line = await new Promise<string>((done) =>
        child.stdout.once("data", (bytes: Buffer) => done(bytes.toString("utf8"))),
    );
    const ended = new Promise<number | null>((done) => child.once("exit", (code) => done(code)));
    child.kill("SIGTERM");
    return line.includes('"started"') && (await ended) === 0 && existsSync(starter);
}
