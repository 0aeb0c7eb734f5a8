/**
 * Starts a local cell as child processes on loopback: one entry instance, and one host of
 * simulated workers per availability zone. Used by the command line and the load generator.
 *
 * @example
 * ```ts
 * import { spawnCell } from "./cell_runner.ts";
 * const cell = await spawnCell({ inventoryFile, rulesFile, dir: ".data/demo", zones });
 * await cell.stop();
 * ```
 *
 * @module
 */

import { spawn, type ChildProcess } from "node:child_process";
import { mkdirSync } from "node:fs";
import { join } from "node:path";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import type { EntryStatus } from "../entry/mod.ts";
import { createRpcClient } from "../rpc/mod.ts";

const CLI_PATH = fileURLToPath(new URL("../bin/poplarhead.ts", import.meta.url));
const START_TIMEOUT_MS = 20_000;

/** Options of {@link spawnCell}. */
export interface SpawnCellOptions {
    readonly inventoryFile: string;
    readonly rulesFile: string;
    /** The directory for log files and stored data. */
    readonly dir: string;
    /** The availability zones; one worker host is started for each. */
    readonly zones: readonly string[];
    /** Ids of instances whose workers fail every task. */
    readonly failing?: readonly string[];
}

/** A running local cell. */
export interface SpawnedCell {
    /** The entry instances, in the format of the `--entry` option. */
    readonly entry: string;
    readonly logFiles: readonly string[];
    /** Process ids by process name, entry instances first. */
    readonly pids: ReadonlyMap<string, number>;
    /** Lists the statuses of the entry instances that respond. */
    readonly listStatuses: () => Promise<EntryStatus[]>;
    /** Stops all processes and waits until they have exited. */
    readonly stop: () => Promise<void>;
}

/**
 * Starts the entry instance, then a worker host per availability zone.
 *
 * @param options The settings files, the data directory and the zones.
 * @returns The running cell.
 * @throws {Error} When a process exits early or does not report its address in time.
 */
export async function spawnCell(options: SpawnCellOptions): Promise<SpawnedCell> {
    mkdirSync(options.dir, { recursive: true });
    const children: ChildProcess[] = [];
    const logFiles: string[] = [];
    const commonArgs = ["--inventory", options.inventoryFile, "--rules", options.rulesFile];
    try {
        const entryLog = join(options.dir, "entry-1.log");
        logFiles.push(entryLog);
        const entryChild = spawnCli([
            "entry",
            ...commonArgs,
            "--data-dir",
            join(options.dir, "entry-1"),
            "--log",
            entryLog,
        ]);
        children.push(entryChild);
        const entry = await waitListening(entryChild);
        for (const [i, zone] of options.zones.entries()) {
            const log = join(options.dir, `workers-${i + 1}.log`);
            logFiles.push(log);
            const child = spawnCli([
                "workers",
                ...commonArgs,
                "--entry",
                entry,
                "--zone",
                zone,
                "--id",
                `workers-${zone}`,
                "--log",
                log,
                "--failing",
                (options.failing ?? []).join(","),
            ]);
            children.push(child);
            await waitListening(child);
        }
        return {
            entry,
            logFiles,
            pids: new Map(children.map((c, i) => [i === 0 ? "entry" : `workers-${i}`, c.pid ?? 0])),
            listStatuses: async () => [
                await createRpcClient(entry).call<EntryStatus>("cell.status", {}),
            ],
            stop: () => stopChildren(children),
        };
    } catch (error) {
        await stopChildren(children);
        throw error;
    }
}

/** Extra Node.js flags for child processes, such as `--cpu-prof`, which NODE_OPTIONS rejects. */
const NODE_ARGS = (process.env["POPLARHEAD_NODE_ARGS"] ?? "").split(" ").filter((a) => a !== "");

/**
 * Starts the poplarhead command line as a child process.
 *
 * @param args The arguments.
 * @returns The child process; {@link waitListening} reads its standard output.
 */
export function spawnCli(args: readonly string[]): ChildProcess {
    return spawn(process.execPath, [...NODE_ARGS, "--import", "tsx", CLI_PATH, ...args], {
        stdio: ["ignore", "pipe", "inherit"],
    });
}

/**
 * Waits until a child process prints its listening address.
 *
 * @param child The child process.
 * @returns The address.
 * @throws {Error} When the process exits first or does not print the address in time.
 */
export function waitListening(child: ChildProcess): Promise<string> {
    return new Promise((resolve, reject) => {
        const timer = setTimeout(
            () => reject(new Error("child process did not report its listening address in time")),
            START_TIMEOUT_MS,
        );
        child.once("exit", (code) =>
            reject(new Error(`child process exited with code ${code} before it was listening`)),
        );
        const lines = createInterface({ input: child.stdout as NodeJS.ReadableStream });
        lines.on("line", (line) => {
            try {
                const value = JSON.parse(line) as { listening?: string };
                if (value.listening !== undefined) {
                    clearTimeout(timer);
                    resolve(value.listening);
                }
            } catch {
                // Ignores output lines that aren't JSON.
            }
        });
    });
}

/**
 * Stops child processes with SIGTERM, in reverse order of their start so that workers can
 * deregister, and with SIGKILL after a grace period.
 *
 * @param children The child processes, in the order of their start.
 */
export async function stopChildren(children: readonly ChildProcess[]): Promise<void> {
    for (const child of [...children].reverse()) {
        if (child.exitCode === null && child.signalCode === null) {
            const exited = new Promise<void>((resolve) => child.once("exit", () => resolve()));
            child.kill("SIGTERM");
            const timer = setTimeout(() => child.kill("SIGKILL"), 5_000);
            await exited;
            clearTimeout(timer);
        }
    }
}
