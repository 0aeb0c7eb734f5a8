/**
 * The lines of a leader's decisions. A step of twenty tasks would take forty lines, one for each start and
 * each end, and a leader of hundreds of workers some thousand a second: more than the log takes, so that
 * most requests could not be explained. Starts and usual ends of one step are gathered into one line
 * instead, and what does not fit is left out by whole requests; failures go out at once, all of them.
 *
 * @example
 * ```ts
 * import { DecisionLog } from "./decision_log.ts";
 * const decisions = new DecisionLog({ log, computeLinesPerSecond: () => 900 });
 * decisions.record("decision", "attempt placed", { request, step, unit, attempt, workers, waitedMs });
 * ```
 *
 * @module
 */

import type { Logger } from "winston";
import { RequestSampler } from "./request_sampler.ts";
import { STEP_PROGRESS, type EndedTask, type PlacedUnit } from "./timeline.ts";

/** How much a line matters, as the dispatcher says. */
export type DecisionKind = "decision" | "milestone" | "failure";

/** Options of {@link DecisionLog}. */
export interface DecisionLogOptions {
    readonly log: Pick<Logger, "log">;
    /** Lines a second that the log takes. */
    readonly computeLinesPerSecond: () => number;
    readonly getNow?: () => number;
}

/** What a step did since its last line. */
interface StepBatch {
    readonly placed: (PlacedUnit & { readonly at: number })[];
    readonly ended: (EndedTask & { readonly at: number })[];
}

type Fields = Readonly<Record<string, unknown>>;

/** A leader that is killed takes so much of a story with it, in ms. */
const FLUSH_DELAY_MS = 400;
const LOG_LEVELS: Readonly<Record<DecisionKind, string>> = {
    decision: "info",
    milestone: "notice",
    failure: "warn",
};
/** After these nothing more is told of a request. */
const TERMINAL_EVENTS: ReadonlySet<string> = new Set([
    "job complete",
    "job failed",
    "job cancelled",
    "job refused",
]);

/** Writes decisions. */
export class DecisionLog {
    readonly #options: DecisionLogOptions;
    readonly #getNow: () => number;
    readonly #sampler: RequestSampler;
    /** By request, then by step. */
    readonly #batches = new Map<string, Map<string, StepBatch>>();
    #flushTimer: NodeJS.Timeout | undefined;

    /**
     * @param options The log and its limit.
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
     * Takes a decision.
     *
     * @param kind How much it matters.
     * @param event What happened.
     * @param fields The inputs that decided it and the outcome.
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

    /** Writes what is gathered. */
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
            this.#write("decision", STEP_PROGRESS, {
                request,
                step,
                ...(placed.length > 0
                    ? { placed: placed.map((row) => toRowWithAge(row, now)) }
                    : {}),
                ...(ended.length > 0 ? { ended: ended.map((row) => toRowWithAge(row, now)) } : {}),
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

    /** @returns Whether the decision goes into a step's line. */
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

/** A row says how long before its line it happened. */
function toRowWithAge<T extends { readonly at: number }>(
    { at, ...row }: T,
    now: number,
): Omit<T, "at"> & { agoMs: number } {
    return { ...row, agoMs: Math.round(now - at) };
}
