/**
 * What a floor of stand-in workers saw, and the promises that it broke: a task runs in one place, not again once its
 * end is acknowledged, and within the room of its worker.
 *
 * @example
 * ```ts
 * import { FloorAudit } from "./_invariant_checker.ts";
 * const audit = new FloorAudit({ workers, getNow: () => time.now });
 * audit.recordRun(worker, run);
 * audit.violations; // broken promises, in words
 * ```
 *
 * @module
 */

import type { Resources, WorkerId } from "../job/mod.ts";
import type { TaskRun, TaskWorker } from "../standin/task_worker.ts";
import type { EndReport } from "./types.ts";

/** A smaller room binds once it has been told for so long, in ms: three seconds and a heartbeat. */
const CAPACITY_REDUCTION_GRACE_MS = 4_500;

/** Options of {@link InvariantChecker}. */
export interface InvariantCheckerOptions {
    /** The workers that are up. */
    readonly workers: ReadonlyMap<WorkerId, TaskWorker>;
    readonly getNow: () => number;
}

/** One run that began. */
export interface RunRecord {
    readonly task: string;
    readonly attempt: number;
    readonly worker: WorkerId;
    readonly startedAtMs: number;
}

/** One crash of a worker. */
export interface CrashRecord {
    readonly worker: WorkerId;
    /** What ran there when it ended. */
    readonly tasks: readonly string[];
    readonly crashedAtMs: number;
}

/** The checks of one floor. */
export class InvariantChecker {
    readonly #options: InvariantCheckerOptions;
    /** Broken promises, in words. */
    readonly violations: string[] = [];
    readonly runs: RunRecord[] = [];
    readonly crashes: CrashRecord[] = [];
    readonly #completedTasks = new Set<string>();
    readonly #capacityHistory = new Map<
        WorkerId,
        { readonly sinceMs: number; readonly capacity: Resources }[]
    >();

    /**
     * @param options The workers, the clock.
     */
    constructor(options: InvariantCheckerOptions) {
        this.#options = options;
    }

    /** Notes the room that a worker has from now on. */
    recordCapacity(id: WorkerId, capacity: Resources): void {
        const history = this.#capacityHistory.get(id) ?? [];
        history.push({ sinceMs: this.#options.getNow(), capacity });
        this.#capacityHistory.set(id, history);
    }

    /** Notes a run that has just begun. */
    recordRun(worker: WorkerId, run: TaskRun): void {
        const nowMs = this.#options.getNow();
        for (const [other, state] of this.#options.workers) {
            if (other !== worker && state.runs.some((r) => r.task === run.task)) {
                this.violations.push(`${run.task} runs on ${other} and ${worker} at ${nowMs}`);
            }
        }
        if (this.#completedTasks.has(run.task)) {
            this.violations.push(`${run.task} runs again at ${nowMs} after it was done`);
        }
        this.runs.push({ task: run.task, attempt: run.attempt, worker, startedAtMs: nowMs });
        this.#checkStartCapacity(worker);
    }

    /** Notes the crash of a worker that is still up. */
    recordCrash(worker: WorkerId): void {
        const tasks = this.#options.workers.get(worker)?.runs.map((run) => run.task) ?? [];
        this.crashes.push({ worker, tasks, crashedAtMs: this.#options.getNow() });
    }

    /** Notes an end that a worker may forget. */
    recordAcknowledgedEnd(end: EndReport): void {
        if (end.how === "done") {
            this.#completedTasks.add(end.task);
        }
    }

    /** How often a task was started after a number of workers had crashed under it. */
    countStartsAfterCrashes(task: string, crashes: number): number {
        const crash = this.crashes.filter(({ tasks }) => tasks.includes(task))[crashes - 1];
        return crash === undefined
            ? 0
            : this.runs.filter((run) => run.task === task && run.startedAtMs > crash.crashedAtMs)
                  .length;
    }

    /** Holds every worker against the rooms that it ever had. */
    checkWorkerCapacity(): void {
        for (const [id, worker] of this.#options.workers) {
            worker.advance();
            const history = this.#capacityHistory.get(id) ?? [];
            if (history.every(({ capacity }) => isOverCapacity(worker.used, capacity))) {
                this.violations.push(`${id} is over its capacity at ${this.#options.getNow()}`);
            }
        }
    }

    /** A start must fit the room that the worker has, or had within the time that a change takes to be known. */
    #checkStartCapacity(id: WorkerId): void {
        const nowMs = this.#options.getNow();
        const history = this.#capacityHistory.get(id) ?? [];
        const effective = history.filter(
            (_capacity, i) =>
                (history[i + 1]?.sinceMs ?? nowMs) >= nowMs - CAPACITY_REDUCTION_GRACE_MS,
        );
        const cpu = Math.max(...effective.map(({ capacity }) => capacity.cpu));
        const memoryMb = Math.max(...effective.map(({ capacity }) => capacity.memoryMb));
        const worker = this.#options.workers.get(id);
        if (worker !== undefined && isOverCapacity(worker.used, { cpu, memoryMb, gpu: 0 })) {
            this.violations.push(`a start brings ${id} over its room at ${nowMs}`);
        }
    }
}

function isOverCapacity(used: Resources, capacity: Resources): boolean {
    return used.cpu > capacity.cpu || used.memoryMb > capacity.memoryMb;
}
