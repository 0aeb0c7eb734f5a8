/**
 * Accounts for the time that gangs wait in a simulated run, from the decisions that the dispatcher
 * records, and names the main cause of each missed objective.
 *
 * @example
 * ```ts
 * import { GangAccount } from "./_gang_account.ts";
 * const account = new GangAccount({ getNow: () => simulation.now });
 * const dispatcherOptions = { recordDecision: account.recordDecision };
 * account.classify(job); // "capacity"
 * ```
 *
 * @module
 */

import type { RecordDecision } from "./types.ts";
import type { JobRecord } from "./_workload_summaries.ts";

/** What a gang waits for. */
type WaitCause =
    /** The first answer of the advice service. */
    | "advice"
    /** Another answer, after its tickets expired. */
    | "tickets"
    /** Its workspace's quota. */
    | "quota"
    /** Reserved workers that other tasks still occupy. */
    | "reserved"
    /** Capacity, without reserved workers. */
    | "capacity";

/** Why a gang's job missed its objective. */
export type MissCause =
    | WaitCause
    | "refused"
    /** Its attempts were used up. */
    | "attempts"
    /** An attempt ended before all members were done. */
    | "broken"
    /** Its tasks alone took longer than its objective. */
    | "run";

/** Options of {@link GangAccount}. */
export interface GangAccountOptions {
    /** Returns the current time, in ms. */
    readonly getNow: () => number;
}

interface StepTimes {
    /** What it waits for now; `undefined` while it runs or has ended. */
    cause: WaitCause | undefined;
    sinceMs: number;
    ticketsValidUntilMs: number;
    readonly waitedMs: Record<WaitCause, number>;
}

/** Validity of a ticket in the mixes, less the dispatcher's margin, in ms. */
const TICKET_VALIDITY_MS = 2_350;

/** The waiting times of the jobs of one run. */
export class GangAccount {
    readonly #options: GangAccountOptions;
    readonly #steps = new Map<string, Map<string, StepTimes>>();
    readonly #brokenJobs = new Set<string>();
    /** Number of tasks that gangs preempted. */
    preemptions = 0;

    /**
     * @param options The clock.
     */
    constructor(options: GangAccountOptions) {
        this.#options = options;
    }

    /** Records a decision of the dispatcher. */
    readonly recordDecision: RecordDecision = (_kind, event, fields) => {
        const job = String(fields["request"]);
        const step = String(fields["step"]);
        if (event === "job accepted") {
            this.#ensureStep(job, `${job}.0.0`);
        } else if (event === "advice received") {
            // A later step of a job becomes ready without a decision, before this call was queued.
            const callMs = Number(fields["queuedMs"] ?? 0) + Number(fields["tookMs"] ?? 0);
            this.#recordAdvice(this.#ensureStep(job, step, callMs));
        } else if (event === "step waits for quota") {
            this.#setCause(this.#ensureStep(job, step), "quota");
        } else if (event === "workers reserved") {
            const times = this.#ensureStep(job, step);
            if (times.cause !== undefined) {
                this.#setCause(times, fields["workers"] === 0 ? "capacity" : "reserved");
            }
        } else if (event === "attempt placed") {
            this.#setCause(this.#ensureStep(job, step), undefined);
        } else if (event === "task preempted") {
            this.preemptions += 1;
        } else if (event === "task ended" && fields["how"] !== "done") {
            this.#brokenJobs.add(job);
        }
    };

    /**
     * Names the main cause of a missed objective: a failure, an attempt in vain, tasks that are too
     * long for the objective, or what the job waited for longest.
     *
     * @param job The job.
     * @returns The cause.
     */
    classify(job: JobRecord): MissCause {
        if (job.isRefused || job.hasFailed) {
            return job.isRefused ? "refused" : "attempts";
        }
        if (this.#brokenJobs.has(job.id)) {
            return "broken";
        }
        const total = { advice: 0, tickets: 0, quota: 0, reserved: 0, capacity: 0 };
        for (const times of this.#steps.get(job.id)?.values() ?? []) {
            this.#setCause(times, times.cause);
            for (const [cause, waitedMs] of Object.entries(times.waitedMs)) {
                total[cause as WaitCause] += waitedMs;
            }
        }
        const totalMs = Object.values(total).reduce((sum, waitedMs) => sum + waitedMs, 0);
        const ranked = (Object.keys(total) as WaitCause[]).sort((a, b) => total[b] - total[a]);
        const runMs = (job.completedAtMs ?? Infinity) - job.submittedAtMs - totalMs;
        const isRunTooLong = Number.isFinite(runMs) && runMs > job.objectiveMs;
        return isRunTooLong || ranked[0] === undefined ? "run" : ranked[0];
    }

    #ensureStep(job: string, step: string, waitedMs = 0): StepTimes {
        const steps = this.#steps.get(job) ?? new Map<string, StepTimes>();
        this.#steps.set(job, steps);
        const times = steps.get(step) ?? {
            cause: "advice" as const,
            sinceMs: this.#options.getNow() - waitedMs,
            ticketsValidUntilMs: Infinity,
            waitedMs: { advice: 0, tickets: 0, quota: 0, reserved: 0, capacity: 0 },
        };
        steps.set(step, times);
        return times;
    }

    #recordAdvice(times: StepTimes): void {
        const now = this.#options.getNow();
        if (times.cause !== undefined) {
            const expiredMs = Math.max(0, now - Math.max(times.ticketsValidUntilMs, times.sinceMs));
            const cause = times.cause === "advice" ? "capacity" : times.cause;
            this.#setCause(times, cause);
            // The time without valid tickets was counted for the previous cause until now.
            times.waitedMs[cause] -= expiredMs;
            times.waitedMs.tickets += expiredMs;
        }
        times.ticketsValidUntilMs = now + TICKET_VALIDITY_MS;
    }

    #setCause(times: StepTimes, cause: WaitCause | undefined): void {
        const now = this.#options.getNow();
        if (times.cause !== undefined) {
            times.waitedMs[times.cause] += now - times.sinceMs;
        }
        times.cause = cause;
        times.sinceMs = now;
    }
}
