/**
 * A simulated worker that executes start, stop and poll orders. It enforces attempt numbers,
 * fencing tokens and its lease, but not its capacity, and reports each ended task until the end
 * is acknowledged. The clock is injected, so it also runs in virtual time.
 *
 * @example
 * ```ts
 * import { TaskWorker } from "./task_worker.ts";
 * const worker = new TaskWorker({ id, capacity, getNow, getDemand, computeTaskMs: () => 500 });
 * worker.start(order);
 * worker.advance();
 * ```
 *
 * @module
 */

import type {
    EndReport,
    PollAnswer,
    PollOrder,
    OrderAnswer,
    StartOrder,
    StopOrder,
} from "../dispatch/mod.ts";
import type { Incarnation, MemberOutcome, Resources, WorkerId } from "../job/mod.ts";

/** One attempt of a task on a worker; times are those of {@link TaskWorkerOptions.getNow}. */
export interface TaskRun {
    readonly task: string;
    readonly attempt: number;
    readonly startedAtMs: number;
    /** When the task finishes by itself; infinite for a task that hangs. */
    readonly finishesAtMs: number;
    readonly demand: Resources;
    /** When the ordered stop takes effect, or `undefined` without one. */
    stopsAtMs: number | undefined;
}

/** Options of {@link TaskWorker}. */
export interface TaskWorkerOptions {
    readonly id: WorkerId;
    /** Reported with the task lists; none by default. */
    readonly incarnation?: Incarnation | undefined;
    readonly capacity: Resources;
    /** Returns the current time, in ms. */
    readonly getNow: () => number;
    /** Computes how long a task runs, in ms. */
    readonly computeTaskMs: (task: string) => number;
    /** Returns the resources that a task occupies. */
    readonly getDemand: (task: string) => Resources;
    /** Returns the outcome of a task that finishes by itself; `done` by default. */
    readonly getOutcome?: (task: string) => MemberOutcome;
    /** Returns the load that a task reports, as in a {@link PollAnswer}; 0 by default. */
    readonly getLoad?: (task: string) => number;
    /** The fraction by which the worker's clock runs slow (0.02 for 2%). */
    readonly clockDrift?: number;
    /** The time at which the worker's clock showed 0, in ms; 0 by default. */
    readonly clockStartedAtMs?: number;
    /** The delay between a stop order and the end of the task, in ms. */
    readonly stopDelayMs?: number;
    /** The longest lease that the worker accepts, in ms. */
    readonly maxLeaseMs?: number;
    /** Called when a task starts. */
    readonly onStart?: (run: TaskRun) => void;
    /** Called when a task ends. */
    readonly onEnd?: (run: TaskRun, outcome: MemberOutcome) => void;
    /**
     * Called for each reported end that was acknowledged while the lease under which it was reported
     * had not expired. The scheduler may have given up the task after that.
     */
    readonly onAcknowledge?: (end: EndReport) => void;
}

const DEFAULT_STOP_DELAY_MS = 200;
const DEFAULT_MAX_LEASE_MS = 10_000;

/** Simulates one incarnation of a worker. */
export class TaskWorker {
    readonly #options: TaskWorkerOptions;
    readonly #runs = new Map<string, TaskRun>();
    /** The highest attempt that was stopped or ended, by task. */
    readonly #highestEndedAttempt = new Map<string, number>();
    #unacknowledgedEnds: EndReport[] = [];
    /** Number of the newest end before the last expiry of a lease. */
    #lastEndBeforeExpiry = 0;
    #endCount = 0;
    #highestFence = 0;
    #leaseUntilMs = Number.NEGATIVE_INFINITY;
    /** Whether the simulation has killed the worker and delivers no more orders to it. */
    isKilled = false;

    /**
     * @param options The worker's id, its capacity and the behaviour of its tasks.
     */
    constructor(options: TaskWorkerOptions) {
        this.#options = options;
    }

    /** The time of the worker's own clock, in ms. */
    get clockMs(): number {
        const elapsedMs = this.#options.getNow() - (this.#options.clockStartedAtMs ?? 0);
        return Math.floor(elapsedMs * (1 - (this.#options.clockDrift ?? 0)));
    }

    /** The running attempts. */
    get runs(): readonly TaskRun[] {
        return [...this.#runs.values()];
    }

    /** The resources occupied by the running attempts. */
    get used(): Resources {
        const sum = { cpu: 0, memoryMb: 0, gpu: 0 };
        for (const { demand } of this.#runs.values()) {
            sum.cpu += demand.cpu;
            sum.memoryMb += demand.memoryMb;
            sum.gpu += demand.gpu;
        }
        return sum;
    }

    /** Ends the attempts that are stopped, finished or without a valid lease by now. */
    advance(): void {
        const now = this.#options.getNow();
        for (const run of [...this.#runs.values()]) {
            if (run.stopsAtMs !== undefined && run.stopsAtMs <= now) {
                this.#endRun(run, "stopped");
            } else if (run.finishesAtMs <= now) {
                this.#endRun(run, this.#options.getOutcome?.(run.task) ?? "done");
            } else if (this.clockMs > this.#leaseUntilMs) {
                this.#endRun(run, "lapsed");
            }
        }
        if (this.clockMs > this.#leaseUntilMs) {
            this.#lastEndBeforeExpiry = this.#endCount;
        }
    }

    /**
     * Starts a task, unless the order has an old fencing token, has expired or is superseded.
     *
     * @param order The order.
     * @returns The answer, with the reason of a refusal.
     */
    start(order: StartOrder): OrderAnswer {
        this.advance();
        const refusal = this.#checkOrder(order.worker, order.fence);
        if (refusal !== undefined) {
            return refusal;
        }
        if (order.untilMs <= this.clockMs) {
            return { type: "refused", reason: "lease_over" };
        }
        this.#extendLease(order.untilMs);
        const running = this.#runs.get(order.task);
        if (running?.attempt === order.attempt) {
            return { type: "accepted" };
        }
        const isSuperseded =
            order.attempt <= (this.#highestEndedAttempt.get(order.task) ?? 0) ||
            order.attempt < (running?.attempt ?? 0);
        if (isSuperseded) {
            return { type: "refused", reason: "superseded" };
        }
        const now = this.#options.getNow();
        const run: TaskRun = {
            task: order.task,
            attempt: order.attempt,
            startedAtMs: now,
            finishesAtMs: now + this.#options.computeTaskMs(order.task),
            demand: this.#options.getDemand(order.task),
            stopsAtMs: undefined,
        };
        this.#runs.set(order.task, run);
        this.#options.onStart?.(run);
        return { type: "accepted" };
    }

    /**
     * Stops an attempt, or prevents its start when the stop arrives before the start.
     *
     * @param order The order.
     * @returns The answer, with the reason of a refusal.
     */
    stop(order: StopOrder): OrderAnswer {
        this.advance();
        const refusal = this.#checkOrder(order.worker, order.fence);
        if (refusal !== undefined) {
            return refusal;
        }
        const run = this.#runs.get(order.task);
        if (run?.attempt === order.attempt) {
            run.stopsAtMs ??=
                this.#options.getNow() + (this.#options.stopDelayMs ?? DEFAULT_STOP_DELAY_MS);
        } else {
            const highestEnded = this.#highestEndedAttempt.get(order.task) ?? 0;
            this.#highestEndedAttempt.set(order.task, Math.max(highestEnded, order.attempt));
        }
        return { type: "accepted" };
    }

    /**
     * Answers a poll at once with the running attempts and the unacknowledged ends, and extends
     * the lease.
     *
     * @param order The order; its cursor acknowledges the ends up to that number.
     * @returns The state of the worker, or a refusal.
     */
    poll(order: PollOrder): PollAnswer {
        this.advance();
        const refusal = this.#checkOrder(order.worker, order.fence);
        if (refusal?.type === "refused" || refusal?.type === "gone") {
            return refusal;
        }
        if (order.untilMs !== undefined) {
            this.#extendLease(order.untilMs);
        }
        this.#unacknowledgedEnds
            .filter(({ number }) => number <= order.cursor && number > this.#lastEndBeforeExpiry)
            .forEach((end) => this.#options.onAcknowledge?.(end));
        this.#unacknowledgedEnds = this.#unacknowledgedEnds.filter(
            (end) => end.number > order.cursor,
        );
        return {
            type: "state",
            incarnation: this.#options.incarnation,
            clockMs: this.clockMs,
            running: this.runs.map((run) => ({
                task: run.task,
                attempt: run.attempt,
                checkpoint: "",
                percent: this.#computePercent(run),
                load: this.#options.getLoad?.(run.task) ?? 0,
            })),
            ended: this.#unacknowledgedEnds,
        };
    }

    #checkOrder(worker: WorkerId, fence: number): OrderAnswer | undefined {
        if (worker !== this.#options.id) {
            return { type: "gone" };
        }
        if (fence < this.#highestFence) {
            return { type: "refused", reason: "fence" };
        }
        this.#highestFence = fence;
        return undefined;
    }

    #extendLease(untilMs: number): void {
        const latestMs = this.clockMs + (this.#options.maxLeaseMs ?? DEFAULT_MAX_LEASE_MS);
        this.#leaseUntilMs = Math.max(this.#leaseUntilMs, Math.min(untilMs, latestMs));
    }

    #computePercent(run: TaskRun): number {
        const totalMs = run.finishesAtMs - run.startedAtMs;
        return Math.min(
            99,
            Math.floor((100 * (this.#options.getNow() - run.startedAtMs)) / totalMs),
        );
    }

    #endRun(run: TaskRun, outcome: MemberOutcome): void {
        this.#runs.delete(run.task);
        this.#highestEndedAttempt.set(run.task, run.attempt);
        this.#endCount += 1;
        this.#unacknowledgedEnds.push({
            number: this.#endCount,
            task: run.task,
            attempt: run.attempt,
            how: outcome,
            checkpoint: "",
        });
        this.#options.onEnd?.(run, outcome);
    }
}
