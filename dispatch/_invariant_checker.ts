/**
 * Checks the safety invariants of a simulated cluster: a task runs on one worker at a time, never
 * again after its completion is acknowledged, and within its worker's capacity.
 *
 * @example
 * ```ts
 * import { InvariantChecker } from "./_invariant_checker.ts";
 * const invariants = new InvariantChecker({ workers, getNow: () => time.now });
 * invariants.recordRun(worker, run);
 * invariants.violations; // empty while the invariants hold
 * ```
 *
 * @module
 */

import type { Resources, WorkerId } from "../job/mod.ts";
import type { TaskRun, TaskWorker } from "../standin/task_worker.ts";
import type { EndReport } from "./types.ts";

/**
 * Time after a capacity reduction before starts must respect it, in ms: three seconds and one
 * heartbeat interval.
 */
const CAPACITY_REDUCTION_GRACE_MS = 4_500;

/** Options of {@link InvariantChecker}. */
export interface InvariantCheckerOptions {
    /** Live workers. */
    readonly workers: ReadonlyMap<WorkerId, TaskWorker>;
    readonly getNow: () => number;
}

/** The start of a task run. */
export interface RunRecord {
    readonly task: string;
    readonly attempt: number;
    readonly worker: WorkerId;
    readonly startedAtMs: number;
}

/** A worker crash. */
export interface CrashRecord {
    readonly worker: WorkerId;
    /** Tasks that were running on the worker. */
    readonly tasks: readonly string[];
    readonly crashedAtMs: number;
}

/** Records the events of one simulated cluster and checks them against the invariants. */
export class InvariantChecker {
    readonly #options: InvariantCheckerOptions;
    /** Descriptions of the invariant violations seen so far. */
    readonly violations: string[] = [];
    readonly runs: RunRecord[] = [];
    readonly crashes: CrashRecord[] = [];
    readonly #completedTasks = new Set<string>();
    readonly #capacityHistory = new Map<
        WorkerId,
        { readonly sinceMs: number; readonly capacity: Resources }[]
    >();

    /**
     * @param options Live workers and the clock.
     */
    constructor(options: InvariantCheckerOptions) {
        this.#options = options;
    }

    /** Records a worker's capacity from now on. */
    recordCapacity(id: WorkerId, capacity: Resources): void {
        const history = this.#capacityHistory.get(id) ?? [];
        history.push({ sinceMs: this.#options.getNow(), capacity });
        this.#capacityHistory.set(id, history);
    }

    /** Records and checks a run that has just started. */
    recordRun(worker: WorkerId, run: TaskRun): void {
        const nowMs = this.#options.getNow();
        for (const [other, state] of this.#options.workers) {
            if (other !== worker && state.runs.some((r) => r.task === run.task)) {
                this.violations.push(
                    `${run.task} runs on both ${other} and ${worker} at ${nowMs} ms`,
                );
            }
        }
        if (this.#completedTasks.has(run.task)) {
            this.violations.push(
                `${run.task} started again at ${nowMs} ms after its completion was acknowledged`,
            );
        }
        this.runs.push({ task: run.task, attempt: run.attempt, worker, startedAtMs: nowMs });
        this.#checkStartCapacity(worker);
    }

    /** Records a worker crash; called while the worker is still listed. */
    recordCrash(worker: WorkerId): void {
        const tasks = this.#options.workers.get(worker)?.runs.map((run) => run.task) ?? [];
        this.crashes.push({ worker, tasks, crashedAtMs: this.#options.getNow() });
    }

    /** Records a task end whose acknowledgement has reached the worker. */
    recordAcknowledgedEnd(end: EndReport): void {
        if (end.how === "done") {
            this.#completedTasks.add(end.task);
        }
    }

    /** Counts a task's starts after the given number of workers crashed while running it. */
    countStartsAfterCrashes(task: string, crashes: number): number {
        const crash = this.crashes.filter(({ tasks }) => tasks.includes(task))[crashes - 1];
        return crash === undefined
            ? 0
            : this.runs.filter((run) => run.task === task && run.startedAtMs > crash.crashedAtMs)
                  .length;
    }

    /** Checks that each worker's usage fits at least one capacity that it has had. */
    checkWorkerCapacity(): void {
        for (const [id, worker] of this.#options.workers) {
            worker.advance();
            const history = this.#capacityHistory.get(id) ?? [];
            if (history.every(({ capacity }) => isOverCapacity(worker.used, capacity))) {
                this.violations.push(`${id} exceeds its capacity at ${this.#options.getNow()} ms`);
            }
        }
    }

    /** Checks that a start fits a capacity that the worker had within the grace period. */
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
            this.violations.push(`a start made ${id} exceed its capacity at ${nowMs} ms`);
        }
    }
}

function isOverCapacity(used: Resources, capacity: Resources): boolean {
    return used.cpu > capacity.cpu || used.memoryMb > capacity.memoryMb;
}
