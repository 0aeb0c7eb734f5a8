/**
 * Logs a leader's decisions within a rate limit. Task starts and completions of a step are batched
 * into one line, requests above the limit are sampled, and failures are always logged at once.
 *
 * @example
 * ```ts
 * import { DecisionLog } from "./decision_log.ts";
 * const decisions = new DecisionLog({ log, computeLinesPerSecond: () => 900 });
 * decisions.record("decision", "job accepted", { request, queue: "previews", steps: 1 });
 * ```
 *
 * @module
 */

import type { Logger } from "winston";
import { RequestSampler } from "./request_sampler.ts";
import { STEP_PROGRESS_MESSAGE, type EndedTask, type PlacedUnit } from "./timeline.ts";

/** The importance of a decision, which sets its log level and whether it may be sampled out. */
export type DecisionKind = "decision" | "milestone" | "failure";

/** Options of {@link DecisionLog}. */
export interface DecisionLogOptions {
    readonly log: Pick<Logger, "log">;
    /** Returns the number of lines that may be logged each second. */
    readonly computeLinesPerSecond: () => number;
    readonly getNow?: () => number;
}

/** The task starts and completions of a step that are not logged yet. */
interface StepBatch {
    readonly placed: (PlacedUnit & { readonly at: number })[];
    readonly ended: (EndedTask & { readonly at: number })[];
}

type Fields = Readonly<Record<string, unknown>>;

/** Bounds how much of the log is lost when the leader is killed. */
const FLUSH_DELAY_MS = 400;
const LOG_LEVELS: Readonly<Record<DecisionKind, string>> = {
    decision: "info",
    milestone: "notice",
    failure: "warn",
};
/** The last events of a request. */
const TERMINAL_EVENTS: ReadonlySet<string> = new Set([
    "job complete",
    "job failed",
    "job cancelled",
    "job refused",
]);

/** Logs decisions, batched by step and sampled by request. */
export class DecisionLog {
    readonly #options: DecisionLogOptions;
    readonly #getNow: () => number;
    readonly #sampler: RequestSampler;
    /** Batches by request, then by step. */
    readonly #batches = new Map<string, Map<string, StepBatch>>();
    #flushTimer: NodeJS.Timeout | undefined;

    /**
     * @param options The logger and its rate limit.
     */
    constructor(options: DecisionLogOptions) {
        this.#options = options;
        this.#getNow = options.getNow ?? (() => performance.now());
        this.#sampler = new RequestSampler({
            computeLinesPerSecond: options.computeLinesPerSecond,
            onChange: (share) => this.#write("milestone", "requests sampled", { share }),
            getNow: this.#getNow,
        });
    }

    /**
     * Logs a decision, adds it to its step's batch, or drops it if its request is not sampled.
     *
     * @param kind The importance of the decision.
     * @param event The log message.
     * @param fields The inputs and the outcome of the decision.
     */
    record(kind: DecisionKind, event: string, fields: Fields): void {
        const request = fields["request"];
        if (typeof request !== "string") {
            this.#write(kind, event, fields);
            return;
        }
        this.#updateSampler(kind, event, request);
        const isLogged = kind !== "decision" || this.#sampler.isSampled(request);
        if (isLogged && !this.#addToBatch(request, event, fields)) {
            this.#write(kind, event, fields);
        }
        if (TERMINAL_EVENTS.has(event)) {
            this.#writeBatches(request);
            this.#sampler.close(request);
        }
    }

    /** Writes all batches. */
    flush(): void {
        clearTimeout(this.#flushTimer);
        this.#flushTimer = undefined;
        for (const request of [...this.#batches.keys()]) {
            this.#writeBatches(request);
        }
    }

    #writeBatches(request: string): void {
        const now = this.#getNow();
        for (const [step, { placed, ended }] of this.#batches.get(request) ?? []) {
            this.#write("decision", STEP_PROGRESS_MESSAGE, {
                request,
                step,
                ...(placed.length > 0
                    ? { placed: placed.map((row) => toRelativeTime(row, now)) }
                    : {}),
                ...(ended.length > 0
                    ? { ended: ended.map((row) => toRelativeTime(row, now)) }
                    : {}),
            });
        }
        this.#batches.delete(request);
    }

    #updateSampler(kind: DecisionKind, event: string, request: string): void {
        if (event === "job accepted") {
            this.#sampler.open(request);
        } else if (kind === "failure") {
            this.#sampler.ensureSampled(request);
        }
    }

    /** Returns whether the decision was added to a batch. */
    #addToBatch(request: string, event: string, fields: Fields): boolean {
        const at = this.#getNow();
        if (event === "attempt placed") {
            const { step, unit, attempt, waitedMs, workers } = fields as unknown as PlacedUnit & {
                readonly step: string;
            };
            this.#ensureBatch(request, step).placed.push({ at, unit, attempt, waitedMs, workers });
            return true;
        }
        if (event === "task ended" && fields["how"] === "done") {
            const { task, attempt, worker, tookMs } = fields as unknown as EndedTask;
            const step = task.slice(0, task.lastIndexOf("."));
            this.#ensureBatch(request, step).ended.push({ at, task, attempt, worker, tookMs });
            return true;
        }
        return false;
    }

    #ensureBatch(request: string, step: string): StepBatch {
        const steps = this.#batches.get(request) ?? new Map<string, StepBatch>();
        this.#batches.set(request, steps);
        const batch = steps.get(step) ?? { placed: [], ended: [] };
        steps.set(step, batch);
        this.#flushTimer ??= setTimeout(() => this.flush(), FLUSH_DELAY_MS).unref();
        return batch;
    }

    #write(kind: DecisionKind, event: string, fields: Fields): void {
        this.#options.log.log(LOG_LEVELS[kind], event, fields);
        if (kind === "decision") {
            this.#sampler.recordLine();
        }
    }
}

/** Replaces a row's time by its age in ms when the line is written. */
function toRelativeTime<T extends { readonly at: number }>(
    { at, ...row }: T,
    now: number,
): Omit<T, "at"> & { agoMs: number } {
    return { ...row, agoMs: Math.round(now - at) };
}
