/**
 * Checks the safety invariants of a simulated cluster: a task runs on one worker at a time, never
 * again after its completion if that is acknowledged then or later, nor after its last allowed
 * failure is acknowledged, within its worker's capacity and its workspace's limit, and not on a
 * worker whose shutdown notice was acknowledged.
 *
 * @example
 * ```ts
 * import { InvariantChecker } from "./_invariant_checker.ts";
 * const getWorkspace = () => undefined;
 * const invariants = new InvariantChecker({ workers, getNow, getMaxAttempts, getWorkspace });
 * invariants.recordRun(worker, run);
 * invariants.violations; // empty while the invariants hold
 * ```
 *
 * @module
 */

import type { MemberOutcome, Resources, WorkerId } from "../job/mod.ts";
import type { WorkspaceConfig, WorkspaceName } from "../workspace/mod.ts";
import type { TaskRun, TaskWorker } from "../standin/task_worker.ts";
import type { EndReport } from "./types.ts";

/**
 * Time after a capacity reduction before starts must respect it, in ms: three seconds and one
 * heartbeat interval.
 */
const CAPACITY_REDUCTION_GRACE_MS = 4_500;
/** Time after an acknowledged shutdown notice from which a worker gets no start, in ms. */
const DRAIN_GRACE_MS = 2_000;
/** Time after a limit is lowered before starts must respect it, in ms. */
const LIMIT_REDUCTION_GRACE_MS = 2_500;

/** Options of {@link InvariantChecker}. */
export interface InvariantCheckerOptions {
    /** Live workers. */
    readonly workers: ReadonlyMap<WorkerId, TaskWorker>;
    readonly getNow: () => number;
    /** Returns how often a task may fail; infinite for a task without a limit. */
    readonly getMaxAttempts: (task: string) => number;
    /** Returns the workspace of a task; `undefined` if it has none. */
    readonly getWorkspace: (task: string) => WorkspaceName | undefined;
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

/** The end of a task run that ended as done. */
interface Completion {
    readonly worker: WorkerId;
    readonly task: string;
    readonly attempt: number;
    readonly endedAtMs: number;
}

/** Records the events of one simulated cluster and checks them against the invariants. */
export class InvariantChecker {
    readonly #options: InvariantCheckerOptions;
    /** Descriptions of the invariant violations seen so far. */
    readonly violations: string[] = [];
    readonly runs: RunRecord[] = [];
    readonly crashes: CrashRecord[] = [];
    readonly #runsByTask = new Map<string, RunRecord[]>();
    readonly #completedTasks = new Set<string>();
    /** Runs that ended as done on their worker, by task; acknowledged or not. */
    readonly #completions = new Map<string, Completion[]>();
    /** Runs that have not ended, by worker and task. */
    readonly #openRuns = new Map<WorkerId, Map<string, number>>();
    /** Acknowledged failures by task. */
    readonly #failureCounts = new Map<string, number>();
    /** When the shutdown notice of a live worker was acknowledged, in ms. */
    readonly #drainedAtMs = new Map<WorkerId, number>();
    readonly #capacityHistory = new Map<
        WorkerId,
        { readonly sinceMs: number; readonly capacity: Resources }[]
    >();

    readonly #limitHistory = new Map<
        WorkspaceName,
        { readonly sinceMs: number; readonly limit: Resources }[]
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

    /** Records the workspaces' limits from now on. */
    recordWorkspaces(workspaces: readonly WorkspaceConfig[]): void {
        for (const { name, limit } of workspaces) {
            const history = this.#limitHistory.get(name) ?? [];
            history.push({ sinceMs: this.#options.getNow(), limit });
            this.#limitHistory.set(name, history);
        }
    }

    /** Records a difference between a count and its recount. */
    recordDifferences(differences: readonly string[]): void {
        this.violations.push(...differences);
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
        this.#recordOpenRun(worker, run);
        if (this.#completedTasks.has(run.task)) {
            this.violations.push(
                `${run.task} started again at ${nowMs} ms after its completion was acknowledged`,
            );
        }
        const failures = this.#failureCounts.get(run.task) ?? 0;
        if (failures >= this.#options.getMaxAttempts(run.task)) {
            this.violations.push(
                `${run.task} started again at ${nowMs} ms after ${failures} failures`,
            );
        }
        if (nowMs - (this.#drainedAtMs.get(worker) ?? nowMs) > DRAIN_GRACE_MS) {
            this.violations.push(`${run.task} started on the draining ${worker} at ${nowMs} ms`);
        }
        const record = { task: run.task, attempt: run.attempt, worker, startedAtMs: nowMs };
        this.runs.push(record);
        this.#runsByTask.set(run.task, [...(this.#runsByTask.get(run.task) ?? []), record]);
        this.#checkStartCapacity(worker);
        this.#checkQuota(run.task);
    }

    #recordOpenRun(worker: WorkerId, { task, attempt }: TaskRun): void {
        const openRuns = this.#openRuns.get(worker) ?? new Map<string, number>();
        const other = openRuns.get(task);
        if (other !== undefined) {
            this.violations.push(
                `attempts ${other} and ${attempt} of ${task} run on ${worker} at ${this.#options.getNow()} ms`,
            );
        }
        openRuns.set(task, attempt);
        this.#openRuns.set(worker, openRuns);
    }

    /** Records that a run has ended on its worker, which may not have reported it yet. */
    recordEnd(
        worker: WorkerId,
        { task, attempt, finishesAtMs }: TaskRun,
        how: MemberOutcome,
    ): void {
        this.#openRuns.get(worker)?.delete(task);
        if (how === "done") {
            const completions = this.#completions.get(task) ?? [];
            completions.push({ worker, task, attempt, endedAtMs: finishesAtMs });
            this.#completions.set(task, completions);
        }
    }

    /** Checks that no other run of a task started between its completion and the acknowledgement. */
    #checkRestart(worker: WorkerId, { task, attempt }: EndReport): void {
        const completion = this.#completions
            .get(task)
            ?.find((other) => other.worker === worker && other.attempt === attempt);
        const restart =
            completion &&
            this.#runsByTask
                .get(task)
                ?.find(
                    (run) =>
                        run.startedAtMs >= completion.endedAtMs &&
                        (run.worker !== worker || run.attempt !== attempt),
                );
        if (restart !== undefined) {
            this.violations.push(
                `${task} started again at ${restart.startedAtMs} ms, and its completion was acknowledged at ${this.#options.getNow()} ms`,
            );
        }
    }

    /** Checks that what the task's workspace runs fits a limit that it had within the grace period. */
    #checkQuota(task: string): void {
        const nowMs = this.#options.getNow();
        const workspace = this.#options.getWorkspace(task);
        const history =
            (workspace === undefined ? undefined : this.#limitHistory.get(workspace)) ?? [];
        const effective = history.filter(
            (_limit, i) => (history[i + 1]?.sinceMs ?? nowMs) >= nowMs - LIMIT_REDUCTION_GRACE_MS,
        );
        const runs = [...this.#options.workers.values()].flatMap((worker) => worker.runs);
        const ownRuns = runs.filter((run) => this.#options.getWorkspace(run.task) === workspace);
        const cpu = ownRuns.reduce((sum, run) => sum + run.demand.cpu, 0);
        const memoryMb = ownRuns.reduce((sum, run) => sum + run.demand.memoryMb, 0);
        const isWithin = effective.some(
            ({ limit }) =>
                (limit.cpu === 0 || cpu <= limit.cpu) &&
                (limit.memoryMb === 0 || memoryMb <= limit.memoryMb),
        );
        if (effective.length > 0 && !isWithin) {
            this.violations.push(`${task} made ${workspace} exceed its limit at ${nowMs} ms`);
        }
    }

    /** Records a worker crash; called while the worker is still listed. */
    recordCrash(worker: WorkerId): void {
        const tasks = this.#options.workers.get(worker)?.runs.map((run) => run.task) ?? [];
        this.crashes.push({ worker, tasks, crashedAtMs: this.#options.getNow() });
    }

    /**
     * Records a task end whose acknowledgement has reached the worker under the lease under which it
     * was reported.
     */
    recordAcknowledgedEnd(worker: WorkerId, end: EndReport): void {
        if (end.how === "done") {
            this.#checkRestart(worker, end);
            this.#completedTasks.add(end.task);
        } else if (end.how === "failed") {
            this.#failureCounts.set(end.task, (this.#failureCounts.get(end.task) ?? 0) + 1);
        }
    }

    /** Records that a worker's shutdown notice was acknowledged. */
    recordDrain(worker: WorkerId): void {
        if (!this.#drainedAtMs.has(worker)) {
            this.#drainedAtMs.set(worker, this.#options.getNow());
        }
    }

    /** Records that a worker is gone; its successor may have the same id. */
    recordExit(worker: WorkerId): void {
        this.#openRuns.delete(worker);
        this.#drainedAtMs.delete(worker);
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
