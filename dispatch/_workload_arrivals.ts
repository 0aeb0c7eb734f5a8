/**
 * Arrivals of the workload simulation: periods of more load than usual, which jobs a workspace is
 * entitled to, and when callers send a refused job again.
 *
 * @example
 * ```ts
 * import { SurgeSchedule } from "./_workload_arrivals.ts";
 * const schedule = new SurgeSchedule({ mix: CROWDED_MIX, seconds: 60, seed: 1 });
 * schedule.findSurge(12_000)?.queueFactor;
 * ```
 *
 * @module
 */

import { computeHash } from "../hashing/mod.ts";
import { createRandom } from "../tools/seeded_random.ts";
import type { WorkspaceConfig, WorkspaceName } from "../workspace/mod.ts";
import type { SubmissionRefusal } from "./dispatcher.ts";
import type { Range, WorkloadMix } from "./_workload_mixes.ts";

/** A period in which one queue or some workspaces receive more jobs than usual. */
export interface Surge {
    readonly startsAtMs: number;
    readonly endsAtMs: number;
    /** Index of the queue in the mix. */
    readonly queue: number;
    /** Multiple of the queue's usual rate; 1 if queues have no surges. */
    readonly queueFactor: number;
    /** Indexes of the workspaces that send more. */
    readonly hotWorkspaces: readonly number[];
    /** Multiple of the usual rate of these workspaces. */
    readonly workspaceFactor: number;
}

/** Options of {@link SurgeSchedule}. */
export interface SurgeScheduleOptions {
    readonly mix: WorkloadMix;
    readonly seconds: number;
    readonly seed: number;
}

/** A refusal by the dispatcher. */
export interface Refusal {
    /** Time after which the caller may send the job again, in ms; `undefined` for never. */
    readonly retryAfterMs: number | undefined;
}

/** Maximum number of times that a caller sends a refused job again. */
const MAX_RESENDS = 4;
/** Time from the first send after which a caller gives up, in ms. */
const MAX_RESEND_TIME_MS = 3_000;
/** Minimum capacity of a workspace's bucket, in jobs. */
const MIN_BUCKET_JOBS = 2;

/** The surges of one run, determined by its seed. */
export class SurgeSchedule {
    readonly #surges: readonly Surge[];

    /**
     * @param options The mix, the length of the run and the seed.
     */
    constructor({ mix, seconds, seed }: SurgeScheduleOptions) {
        const { surges, workloads, workspaceShares } = mix;
        // The first numbers of neighbouring seeds are alike, so the seed is hashed.
        const random = createRandom(computeHash(`surges|${seed}`));
        const takeFrom = ({ min, max }: Range): number => min + random() * (max - min);
        const list: Surge[] = [];
        const { intervalMs = Infinity, durationMs = { min: 0, max: 0 } } = surges ?? {};
        for (let atMs = 0; atMs < seconds * 1_000; atMs += intervalMs) {
            const lengthMs = takeFrom(durationMs);
            const startsAtMs = atMs + random() * (intervalMs - lengthMs);
            const queue = Math.floor(random() * workloads.length);
            const factors = [random(), random(), random()] as const;
            const ranked = workspaceShares
                .map((_share, i) => ({ i, draw: random() }))
                .sort((a, b) => a.draw - b.draw);
            const hot = surges?.hotWorkspaces;
            const count = hot === undefined ? 0 : Math.round(computeAt(hot.count, factors[1]));
            list.push({
                startsAtMs,
                endsAtMs: startsAtMs + lengthMs,
                queue,
                queueFactor: computeAt(surges?.queueFactor ?? { min: 1, max: 1 }, factors[0]),
                hotWorkspaces: ranked.slice(0, count).map(({ i }) => i),
                workspaceFactor: computeAt(hot?.factor ?? { min: 1, max: 1 }, factors[2]),
            });
        }
        this.#surges = surges === undefined ? [] : list;
    }

    /**
     * Finds the surge at a time.
     *
     * @param atMs The time since the start of the run, in ms.
     * @returns The surge, or `undefined` if jobs arrive as usual.
     */
    findSurge(atMs: number): Surge | undefined {
        return this.#surges.find(
            ({ startsAtMs, endsAtMs }) => startsAtMs <= atMs && atMs < endsAtMs,
        );
    }

    /**
     * Lists the workspaces that send more than usual in any surge.
     *
     * @returns Their indexes in the mix.
     */
    listHotWorkspaces(): ReadonlySet<number> {
        return new Set(this.#surges.flatMap(({ hotWorkspaces }) => hotWorkspaces));
    }
}

/** Decides which jobs of the workspaces are within their weight; see `workspace/`. */
export class EntitlementMeter {
    readonly #buckets = new Map<WorkspaceName, { jobs: number; filledAtMs: number }>();
    readonly #weights: ReadonlyMap<WorkspaceName, number>;

    /**
     * @param workspaces The workspaces with their weights.
     */
    constructor(workspaces: readonly WorkspaceConfig[]) {
        this.#weights = new Map(workspaces.map(({ name, weight }) => [name, weight ?? 0]));
    }

    /**
     * Takes a job from its workspace's bucket.
     *
     * @param workspace The workspace; `undefined` for a job without one.
     * @param now The time of the job's first send, in ms; not before the previous call's.
     * @returns Whether the workspace is entitled to the job; true without a workspace.
     */
    takeJob(workspace: WorkspaceName | undefined, now: number): boolean {
        if (workspace === undefined) {
            return true;
        }
        const weight = this.#weights.get(workspace) ?? 0;
        const capacity = Math.max(MIN_BUCKET_JOBS, weight);
        const bucket = this.#buckets.get(workspace) ?? { jobs: capacity, filledAtMs: now };
        const refilled = bucket.jobs + (weight * (now - bucket.filledAtMs)) / 1_000;
        const jobs = Math.min(capacity, refilled);
        const isEntitled = jobs >= 1;
        this.#buckets.set(workspace, { jobs: jobs - (isEntitled ? 1 : 0), filledAtMs: now });
        return isEntitled;
    }
}

/**
 * Classifies the answer to a submission.
 *
 * @param answer Why the job was refused, with the time after which it may be sent again if it is
 * worth another try; `undefined` if it was accepted.
 * @returns The refusal with its time in whole seconds, as `Retry-After` has it; `undefined` if the
 * job was accepted.
 */
export function classifyAnswer(answer: SubmissionRefusal | undefined): Refusal | undefined {
    if (answer === undefined) {
        return undefined;
    }
    const retryAfterMs = "retryAfterMs" in answer ? answer.retryAfterMs : undefined;
    return {
        retryAfterMs:
            retryAfterMs === undefined ? undefined : 1_000 * Math.ceil(retryAfterMs / 1_000),
    };
}

/**
 * Computes when a caller sends a refused job again.
 *
 * @param refusal The refusal.
 * @param attempt The time of the first send and of the refused one, in ms, and how often the job
 * was sent again so far.
 * @returns The time, in ms, or `undefined` if the caller gives up.
 */
export function computeResendTimeMs(
    { retryAfterMs }: Refusal,
    attempt: {
        readonly firstSentAtMs: number;
        readonly sentAtMs: number;
        readonly resends: number;
    },
): number | undefined {
    if (retryAfterMs === undefined || attempt.resends >= MAX_RESENDS) {
        return undefined;
    }
    const nextAtMs = attempt.sentAtMs + retryAfterMs;
    return nextAtMs - attempt.firstSentAtMs <= MAX_RESEND_TIME_MS ? nextAtMs : undefined;
}

function computeAt({ min, max }: Range, draw: number): number {
    return min + draw * (max - min);
}
