/**
 * Summaries of the jobs of a workload simulation: how many were on time, late, failed or refused.
 *
 * @example
 * ```ts
 * import { summarizeJobs } from "./_workload_summaries.ts";
 * const { onTime, refused } = summarizeJobs("previews", jobs);
 * ```
 *
 * @module
 */

import type { WorkspaceName } from "../workspace/mod.ts";

/** A job of a run, with what became of it. */
export interface JobRecord {
    readonly id: string;
    readonly queue: string;
    /** Time of the first send, in ms. */
    readonly submittedAtMs: number;
    readonly coreSeconds: number;
    readonly objectiveMs: number;
    readonly maxWidth: number;
    readonly workspace: WorkspaceName | undefined;
    /** Whether the job is within its workspace's weight. */
    readonly isEntitled: boolean;
    /** When it was complete, in ms; `undefined` if it failed, was refused or is still open. */
    completedAtMs: number | undefined;
    /** Whether its caller gave up after refusals. */
    isRefused: boolean;
    hasFailed: boolean;
}

/** Latency results of a group of jobs. */
export interface WorkloadSummary {
    /** Queue name, or a size class of its jobs. */
    readonly name: string;
    readonly jobs: number;
    /** Mean number of tasks in the widest step of each job. */
    readonly meanWidth: number;
    readonly withinObjective: number;
    /** Accepted jobs that completed after their objective or were still open at the end. */
    readonly late: number;
    readonly failed: number;
    /** Jobs that every send was refused for. */
    readonly refused: number;
    /** Jobs that took at most {@link MAX_SERVED_FACTOR} times their objective. */
    readonly served: number;
    /** Sum of the jobs' values to their callers. */
    readonly value: number;
    readonly medianLatencyMs: number;
}

/** A summary of the jobs that were first sent in one window. */
export interface WindowSummary extends WorkloadSummary {
    readonly startsAtMs: number;
}

/** A job counts as served if it takes at most this many times its objective. */
const MAX_SERVED_FACTOR = 3;
/** Value of a job that is served after its objective, compared with one that is on time. */
const LATE_VALUE = 0.2;
const WINDOW_MS = 2_000;

/**
 * Summarizes a group of jobs.
 *
 * @param name The name of the group.
 * @param jobs The jobs.
 * @returns The summary.
 */
export function summarizeJobs(name: string, jobs: readonly JobRecord[]): WorkloadSummary {
    const latenciesMs = jobs.map(
        ({ completedAtMs, submittedAtMs }) => (completedAtMs ?? Infinity) - submittedAtMs,
    );
    const countWithin = (factor: number): number =>
        jobs.filter(({ objectiveMs }, i) => (latenciesMs[i] ?? 0) <= factor * objectiveMs).length;
    const meanWidth =
        jobs.reduce((sum, { maxWidth }) => sum + maxWidth, 0) / Math.max(1, jobs.length);
    const withinObjective = countWithin(1);
    const served = countWithin(MAX_SERVED_FACTOR);
    const failed = jobs.filter(({ hasFailed }) => hasFailed).length;
    const refused = jobs.filter(({ isRefused }) => isRefused).length;
    return {
        name,
        jobs: jobs.length,
        meanWidth,
        withinObjective,
        late: jobs.length - withinObjective - failed - refused,
        failed,
        refused,
        served,
        value: withinObjective + LATE_VALUE * (served - withinObjective),
        medianLatencyMs:
            [...latenciesMs].sort((a, b) => a - b)[Math.floor(latenciesMs.length / 2)] ?? 0,
    };
}

/**
 * Selects the jobs of the tenth of the workspaces whose jobs are on time least often.
 *
 * @param jobs The jobs of all workspaces.
 * @returns The jobs by workspace, worst first; empty without workspaces.
 */
export function selectWorstWorkspaces(
    jobs: readonly JobRecord[],
): { readonly name: WorkspaceName; readonly jobs: readonly JobRecord[] }[] {
    const jobsByWorkspace = new Map<WorkspaceName, JobRecord[]>();
    for (const job of jobs) {
        if (job.workspace !== undefined) {
            const others = jobsByWorkspace.get(job.workspace) ?? [];
            others.push(job);
            jobsByWorkspace.set(job.workspace, others);
        }
    }
    const computeShare = (group: readonly JobRecord[]): number =>
        summarizeJobs("", group).withinObjective / group.length;
    return [...jobsByWorkspace]
        .map(([name, group]) => ({ name, jobs: group, share: computeShare(group) }))
        .sort((a, b) => a.share - b.share)
        .slice(0, Math.ceil(jobsByWorkspace.size / 10));
}

/**
 * Lists the windows of 2 s by the mean value of the jobs that were first sent in them.
 *
 * @param jobs The jobs.
 * @returns One summary per window with jobs, the worst first.
 */
export function listWindows(jobs: readonly JobRecord[]): WindowSummary[] {
    const windows = new Map<number, JobRecord[]>();
    for (const job of jobs) {
        const startsAtMs = WINDOW_MS * Math.floor(job.submittedAtMs / WINDOW_MS);
        windows.set(startsAtMs, [...(windows.get(startsAtMs) ?? []), job]);
    }
    return [...windows]
        .map(([startsAtMs, group]) => ({
            ...summarizeJobs(`${startsAtMs / 1_000} s`, group),
            startsAtMs,
        }))
        .sort((a, b) => a.value / a.jobs - b.value / b.jobs);
}
