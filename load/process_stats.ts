/**
 * Reads the CPU time and resident memory of processes from `/proc/<pid>` on Linux.
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

/** The unit of CPU times in `/proc/<pid>/stat`. */
const CLOCK_TICKS_PER_SECOND = 100;

/** The resource usage of a process. */
export interface ProcessStats {
    /** User and system CPU time since the process started, in seconds. */
    readonly cpuSeconds: number;
    /** Resident memory, in bytes. */
    readonly rssBytes: number;
}

/**
 * Reads the CPU time and resident memory of a process.
 *
 * @param pid The process id.
 * @returns The resource usage; zeros when the process does not exist.
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
