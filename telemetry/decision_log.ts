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
import { STEP_PROGRESS, type EndedRow, type PlacedRow } from "./timeline.ts";

/** How much a line matters, as the dispatcher says. */
export type LineKind = "decision" | "milestone" | "failure";

/** Options of {@link DecisionLog}. */
export interface DecisionLogOptions {
    readonly log: Pick<Logger, "log">;
    /** Lines a second that the log takes. */
    readonly computeLinesPerSecond: () => number;
    readonly getNow?: () => number;
}

/** What a step did since its last line. */
interface StepRows {
    readonly placed: (PlacedRow & { readonly at: number })[];
    readonly ended: (EndedRow & { readonly at: number })[];
}

type Fields = Readonly<Record<string, unknown>>;

/** A leader that is killed takes so much of a story with it, in ms. */
const GATHER_MS = 400;
const LEVELS: Readonly<Record<LineKind, string>> = {
    decision: "info",
    milestone: "notice",
    failure: "warn",
};
/** After these nothing more is told of a request. */
const LAST_EVENTS: ReadonlySet<string> = new Set([
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
    readonly #gathered = new Map<string, Map<string, StepRows>>();
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
    record(kind: LineKind, event: string, fields: Fields): void {
        const request = fields["request"];
        if (typeof request !== "string") {
            this.#write(kind, event, fields);
            return;
        }
        this.#updateSample(kind, event, request);
        const isTold = kind !== "decision" || this.#sampler.isTold(request);
        if (isTold && !this.#addRow(request, event, fields)) {
            this.#write(kind, event, fields);
        }
        if (LAST_EVENTS.has(event)) {
            this.#writeGathered(request);
            this.#sampler.close(request);
        }
    }

    /** Writes what is gathered. */
    flush(): void {
        clearTimeout(this.#flushTimer);
        this.#flushTimer = undefined;
        for (const request of [...this.#gathered.keys()]) {
            this.#writeGathered(request);
        }
    }

    #writeGathered(request: string): void {
        const now = this.#getNow();
        for (const [step, { placed, ended }] of this.#gathered.get(request) ?? []) {
            this.#write("decision", STEP_PROGRESS, {
                request,
                step,
                ...(placed.length > 0 ? { placed: placed.map((row) => toAged(row, now)) } : {}),
                ...(ended.length > 0 ? { ended: ended.map((row) => toAged(row, now)) } : {}),
            });
        }
        this.#gathered.delete(request);
    }

    #updateSample(kind: LineKind, event: string, request: string): void {
        if (event === "job accepted") {
            this.#sampler.open(request);
        } else if (kind === "failure") {
            this.#sampler.adopt(request);
        }
    }

    /** @returns Whether the decision goes into a step's line. */
    #addRow(request: string, event: string, fields: Fields): boolean {
        const at = this.#getNow();
        if (event === "attempt placed") {
            const { step, unit, attempt, waitedMs, workers } = fields as unknown as PlacedRow & {
                readonly step: string;
            };
            this.#ensureRows(request, step).placed.push({ at, unit, attempt, waitedMs, workers });
            return true;
        }
        if (event === "task ended" && fields["how"] === "done") {
            const { task, attempt, worker, tookMs } = fields as unknown as EndedRow;
            const step = task.slice(0, task.lastIndexOf("."));
            this.#ensureRows(request, step).ended.push({ at, task, attempt, worker, tookMs });
            return true;
        }
        return false;
    }

    #ensureRows(request: string, step: string): StepRows {
        const steps = this.#gathered.get(request) ?? new Map<string, StepRows>();
        this.#gathered.set(request, steps);
        const rows = steps.get(step) ?? { placed: [], ended: [] };
        steps.set(step, rows);
        this.#flushTimer ??= setTimeout(() => this.flush(), GATHER_MS).unref();
        return rows;
    }

    #write(kind: LineKind, event: string, fields: Fields): void {
        this.#options.log.log(LEVELS[kind], event, fields);
        if (kind === "decision") {
            this.#sampler.recordLine();
        }
    }
}

/** A row says how long before its line it happened. */
function toAged<T extends { readonly at: number }>(
    { at, ...row }: T,
    now: number,
): Omit<T, "at"> & { agoMs: number } {
    return { ...row, agoMs: Math.round(now - at) };
}
