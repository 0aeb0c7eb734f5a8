/**
 * Brings up a local cell as real processes on loopback: one entry instance and one stand-in
 * worker host per availability zone, each a child process with its own log file. A tool of the
 * command line and the load tool; the cell's own processes start no other process.
 *
 * @example
 * ```ts
 * import { spawnCell } from "./cell_runner.ts";
 * const cell = await spawnCell({ inventoryFile, rulesFile, dir: ".data/demo" });
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
    /** Logs and the journal go here. */
    readonly dir: string;
    /** Zones to run worker hosts for, one process each. */
    readonly zones: readonly string[];
    /** Instances that fail everything. */
    readonly failing?: readonly string[];
}

/** A running local cell. */
export interface SpawnedCell {
    /** The entry instances, as callers reach them. */
    readonly entry: string;
    readonly logFiles: readonly string[];
    /** The processes' ids by name; entry instances first. */
    readonly pids: ReadonlyMap<string, number>;
    /** The statuses of the entry instances that answer. */
    readonly listStatuses: () => Promise<EntryStatus[]>;
    /** SIGTERM to every process, then waits for all to exit. */
    readonly stop: () => Promise<void>;
}

/**
 * Starts the entry instance, then a worker host per zone.
 *
 * @param options Files, folder, zones.
 * @returns The running cell.
 * @throws {Error} When a process does not say where it listens in time.
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

/** Extra node flags for every child, such as `--cpu-prof` (which NODE_OPTIONS does not take). */
const NODE_ARGS = (process.env["POPLARHEAD_NODE_ARGS"] ?? "").split(" ").filter((a) => a !== "");

/**
 * Starts the command line as a child process.
 *
 * @param args Its arguments.
 * @returns The child; its standard output is for {@link waitListening}.
 */
export function spawnCli(args: readonly string[]): ChildProcess {
    return spawn(process.execPath, [...NODE_ARGS, "--import", "tsx", CLI_PATH, ...args], {
        stdio: ["ignore", "pipe", "inherit"],
    });
}

/**
 * Waits until a child says where it listens.
 *
 * @param child The child.
 * @returns The address.
 * @throws {Error} When it exits first, or does not say in time.
 */
export function waitListening(child: ChildProcess): Promise<string> {
    return new Promise((resolve, reject) => {
        const timer = setTimeout(
            () => reject(new Error("a process did not start in time")),
            START_TIMEOUT_MS,
        );
        child.once("exit", (code) =>
            reject(new Error(`a process exited with ${code} before listening`)),
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
                // not our line
            }
        });
    });
}

/**
 * Ends children with SIGTERM, last started first (workers before entry instances, so that the
 * entry instances hear them leave), and with SIGKILL what is left after a while.
 *
 * @param children The children.
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
