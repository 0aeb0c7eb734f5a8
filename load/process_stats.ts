/**
 * CPU time and resident memory of our own child processes, read from `/proc/<pid>`.
 *
 * @example
 * ```ts
 * import { readProcessStats } from "./process_stats.ts";
 * const { cpuSeconds, rssBytes } = readProcessStats(pid);
 * ```
 *
 * @module
 */

import { readFileSync } from "node:fs";

/** Clock ticks per second of `/proc/<pid>/stat` on Linux. */
const CLOCK_TICKS_PER_SECOND = 100;

/** One reading of a process. */
export interface ProcessStats {
    /** User plus system CPU time since the process started, in seconds. */
    readonly cpuSeconds: number;
    /** Resident memory, in bytes. */
    readonly rssBytes: number;
}

/**
 * Reads a process's CPU time and resident memory.
 *
 * @param pid The process.
 * @returns The reading; zeros when the process is gone.
 */
export function readProcessStats(pid: number): ProcessStats {
    try {
        const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
        const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
        const cpuTicks = Number(fields[11]) + Number(fields[12]);
        const status = readFileSync(`/proc/${pid}/status`, "utf8");
        const rssKb = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
        return { cpuSeconds: cpuTicks / CLOCK_TICKS_PER_SECOND, rssBytes: rssKb * 1_024 };
    } catch {
        return { cpuSeconds: 0, rssBytes: 0 };
    }
}
