/**
 * Plays a workload mix in virtual time with several seeds and prints, for each group of jobs, the
 * shares that were on time, late, failed and refused, with 95% confidence intervals of the mean over
 * the seeds; then the worst windows, and why gangs missed their objective. With `--ablate`, each
 * seed is played again without each named part or load, and the paired differences are printed.
 *
 * @example
 * ```sh
 * npx tsx bench/overload_bench.ts --mix crowded --load 0.72
 * npx tsx bench/overload_bench.ts --mix uneven --load 0.74 --seeds 1-4 --admission off
 * npx tsx bench/overload_bench.ts --mix crowded --ablate hotWorkspaces,queueSurges
 * ```
 *
 * @module
 */

import { parseArgs } from "node:util";
import { SurgeSchedule } from "../dispatch/_workload_arrivals.ts";
import { GangAccount, type MissCause } from "../dispatch/_gang_account.ts";
import {
    CROWDED_MIX,
    LARGE_FLEET_MIX,
    SHARED_FLOOR_MIX,
    UNEVEN_MIX,
    type WorkloadMix,
} from "../dispatch/_workload_mixes.ts";
import {
    WorkloadSimulation,
    type WindowSummary,
    type WorkloadSummary,
} from "../dispatch/_workload_simulation.ts";
import {
    listWindows,
    selectWorstWorkspaces,
    summarizeJobs,
    type JobRecord,
} from "../dispatch/_workload_summaries.ts";
import type { DispatcherOptions } from "../dispatch/dispatcher.ts";
import { EqualWorkersModel } from "../dispatch/_unequal_workers_simulation.ts";
import { DurationModel } from "../estimation/mod.ts";

const MIXES: Readonly<Record<string, WorkloadMix>> = {
    crowded: CROWDED_MIX,
    uneven: UNEVEN_MIX,
    shared: SHARED_FLOOR_MIX,
    large: LARGE_FLEET_MIX,
};
/** Loads of a mix that `--ablate` can leave out. */
const LOADS: Readonly<Record<string, (mix: WorkloadMix) => Partial<WorkloadMix>>> = {
    queueSurges: ({ surges }) => ({ surges: surges && { ...surges, queueFactor: undefined } }),
    hotWorkspaces: ({ surges }) => ({ surges: surges && { ...surges, hotWorkspaces: undefined } }),
    workerSpeeds: () => ({ workerSpeeds: [1] }),
    slowTasks: () => ({ slowTasks: undefined }),
};
/** Parts of the scheduler that an option or `--ablate` switches off. */
const PARTS = ["admission", "speeds"];
/** Time after a surge in which its backlog is served, in ms. */
const AFTERMATH_MS = 3_000;
/** Windows printed over all seeds. */
const WORST_WINDOWS = 5;
/** 97.5% quantiles of the t distribution with 1 to 9 degrees of freedom. */
const T_QUANTILES = [12.71, 4.3, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26] as const;
const NORMAL_QUANTILE = 1.96;

const { values } = parseArgs({
    options: {
        /** `crowded`, `uneven`, `shared` or `large`. */
        mix: { type: "string", default: "crowded" },
        workers: { type: "string", default: "82" },
        seconds: { type: "string", default: "60" },
        load: { type: "string", default: "0.72" },
        /** First and last seed. */
        seeds: { type: "string", default: "1-10" },
        /** `forecast` or `off`. */
        admission: { type: "string", default: "forecast" },
        /** Whether placement follows the learned speeds of workers: `learned` or `off`. */
        speeds: { type: "string", default: "learned" },
        /** Parts or loads to leave out one at a time, separated by commas. */
        ablate: { type: "string", default: "" },
    },
});

interface Play {
    readonly groups: ReadonlyMap<string, WorkloadSummary>;
    readonly worstWindows: readonly WindowSummary[];
    readonly causes: ReadonlyMap<string, number>;
    /** Work that arrived, as a share of the workers' nominal CPU. */
    readonly offered: number;
}

/** Returns the dispatcher's options; `ablated` switches one part off. */
function buildDispatcherOptions(ablated: string): Partial<DispatcherOptions> {
    const isOn = (part: "admission" | "speeds"): boolean =>
        ablated !== part && values[part] !== "off";
    return {
        admission: isOn("admission") ? "forecast" : "off",
        durationModel: isOn("speeds") ? new DurationModel() : new EqualWorkersModel(),
    };
}

/** Summarizes each queue's jobs by when they were first sent: in a surge, right after one, else. */
function listPhaseSummaries(
    mix: WorkloadMix,
    seed: number,
    jobs: readonly JobRecord[],
): WorkloadSummary[] {
    const schedule = new SurgeSchedule({ mix, seconds: Number(values.seconds), seed });
    const findPhase = (atMs: number): string => {
        if (schedule.findSurge(atMs) !== undefined) {
            return "in surges";
        }
        return schedule.findSurge(atMs - AFTERMATH_MS) === undefined ? "else" : "3 s after surges";
    };
    return mix.workloads.flatMap(({ queue: { name } }) =>
        ["in surges", "3 s after surges", "else"].map((phase) =>
            summarizeJobs(
                `${name}, ${phase}`,
                jobs.filter((job) => job.queue === name && findPhase(job.submittedAtMs) === phase),
            ),
        ),
    );
}

function runSeed(seed: number, ablated: string): Play {
    const baseMix = MIXES[values.mix];
    if (baseMix === undefined) {
        throw new Error(`unknown mix ${values.mix}`);
    }
    const mix = { ...baseMix, ...LOADS[ablated]?.(baseMix) };
    const account = new GangAccount({ getNow: (): number => simulation.now });
    const simulation: WorkloadSimulation = new WorkloadSimulation({
        mix,
        workers: Number(values.workers),
        seed,
        dispatcherOptions: {
            ...buildDispatcherOptions(ablated),
            recordDecision: account.recordDecision,
        },
    });
    simulation.run(Number(values.seconds), Number(values.load));
    const jobs = simulation.countedJobs;
    const countedSeconds = Math.max(...jobs.map(({ submittedAtMs }) => submittedAtMs)) / 1_000;
    const capacity = (Number(values.workers) * mix.workerCapacity.cpu * countedSeconds) / 1_000;
    const worst = selectWorstWorkspaces(jobs).flatMap((workspace) => workspace.jobs);
    const summaries = [
        summarizeJobs("all", jobs),
        ...simulation.listSummaries(),
        ...(mix.workspaceShares.length === 0 ? [] : simulation.listEntitledSummaries()),
        ...(worst.length === 0 ? [] : [summarizeJobs("worst tenth of workspaces", worst)]),
    ];
    if (mix.surges !== undefined) {
        summaries.push(...listPhaseSummaries(mix, seed, jobs));
    }
    const hotWorkspaces = new SurgeSchedule({
        mix: baseMix,
        seconds: Number(values.seconds),
        seed,
    }).listHotWorkspaces();
    if (hotWorkspaces.size > 0) {
        // The same workspaces also in an ablation, so that the paired differences show what the hot
        // ones cost the others.
        const names = new Set([...hotWorkspaces].map((index) => `workspace-${index}`));
        const others = jobs.filter(({ workspace = "" }) => !names.has(workspace));
        summaries.push(summarizeJobs("workspaces that are never hot", others));
    }
    const causes = new Map<string, number>();
    const gangQueues = new Set(
        mix.workloads.filter(({ gangFraction }) => gangFraction === 1).map((w) => w.queue.name),
    );
    for (const job of jobs.filter(({ queue }) => (gangQueues as Set<string>).has(queue))) {
        const isOnTime = (job.completedAtMs ?? Infinity) - job.submittedAtMs <= job.objectiveMs;
        const cause: MissCause | "on time" = isOnTime ? "on time" : account.classify(job);
        causes.set(cause, (causes.get(cause) ?? 0) + 1);
    }
    causes.set("tasks preempted", account.preemptions);
    return {
        groups: new Map(summaries.map((summary) => [summary.name, summary])),
        worstWindows: listWindows(jobs).slice(0, WORST_WINDOWS),
        causes,
        offered: jobs.reduce((sum, { coreSeconds }) => sum + coreSeconds, 0) / capacity,
    };
}

/** Formats the mean of a figure over the seeds and the half width of its confidence interval. */
function formatMean(figures: readonly number[]): string {
    const mean = figures.reduce((sum, x) => sum + x, 0) / figures.length;
    const squares = figures.reduce((sum, x) => sum + (x - mean) ** 2, 0);
    const deviation = Math.sqrt(squares / Math.max(1, figures.length - 1));
    const quantile = T_QUANTILES[figures.length - 2] ?? NORMAL_QUANTILE;
    const halfWidth = (quantile * deviation) / Math.sqrt(figures.length);
    return `${mean.toFixed(3).padStart(6)} ±${halfWidth.toFixed(3)}`;
}

const FIGURES = {
    "on time": ({ withinObjective, jobs }: WorkloadSummary) => withinObjective / jobs,
    late: ({ late, jobs }: WorkloadSummary) => late / jobs,
    failed: ({ failed, jobs }: WorkloadSummary) => failed / jobs,
    refused: ({ refused, jobs }: WorkloadSummary) => refused / jobs,
    value: ({ value, jobs }: WorkloadSummary) => value / jobs,
} as const;

/** Formats the figures of each group; with other plays, the differences from them by seed. */
function formatGroups(plays: readonly Play[], others?: readonly Play[]): string[] {
    return [...(plays[0]?.groups.keys() ?? [])].map((name) => {
        const figures = Object.entries(FIGURES).map(([label, compute]) => {
            const figure = (play: Play | undefined): number => {
                const group = play?.groups.get(name);
                return group === undefined || group.jobs === 0 ? 0 : compute(group);
            };
            const perSeed = plays.map(
                (play, i) => figure(play) - (others === undefined ? 0 : figure(others[i])),
            );
            return `${label} ${formatMean(perSeed)}`;
        });
        const jobs = plays.reduce((sum, { groups }) => sum + (groups.get(name)?.jobs ?? 0), 0);
        return `${name.padEnd(34)}${String(jobs).padStart(6)} jobs  ${figures.join("  ")}`;
    });
}

function writeLine(line: string): void {
    process.stdout.write(`${line}\n`);
}

function runVariant(ablated: string): Play[] {
    const [first = 1, last = first] = values.seeds.split("-").map(Number);
    return Array.from({ length: last - first + 1 }, (_unused, i) => runSeed(first + i, ablated));
}

const ablations = values.ablate.split(",").filter((name) => name !== "");
for (const ablated of ablations) {
    if (LOADS[ablated] === undefined && !PARTS.includes(ablated)) {
        throw new Error(`unknown part or load ${ablated}`);
    }
}
const plays = runVariant("");
writeLine(
    `${values.mix}, ${values.workers} workers, load ${values.load}, ${plays.length} seeds, ` +
        `offered ${formatMean(plays.map(({ offered }) => offered))} of the nominal CPU`,
);
formatGroups(plays).forEach(writeLine);
plays
    .flatMap(({ worstWindows }, seed) => worstWindows.map((window) => ({ window, seed })))
    .sort((a, b) => a.window.value / a.window.jobs - b.window.value / b.window.jobs)
    .slice(0, WORST_WINDOWS)
    .forEach(({ window: { name, jobs, value }, seed }) =>
        writeLine(
            `worst window: run ${seed + 1} from ${name}, value ${value.toFixed(1)} of ${jobs}`,
        ),
    );
const causeNames = new Set(plays.flatMap(({ causes }) => [...causes.keys()]));
for (const cause of causeNames) {
    const counts = plays.map(({ causes }) => causes.get(cause) ?? 0);
    writeLine(`wide gangs, ${cause}: ${formatMean(counts)} per run`);
}
for (const ablated of ablations) {
    writeLine(`difference without ${ablated}`);
    formatGroups(runVariant(ablated), plays).forEach(writeLine);
}
