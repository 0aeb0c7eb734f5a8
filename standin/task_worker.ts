/**
 * A stand-in for a worker that is ordered about: start, stop and look orders, attempt numbers,
 * fences, leases on its own clock, ends that are listed until they are acknowledged. It runs in
 * virtual time, so a day of many workers takes seconds. It guards nothing: what it is told to
 * start it starts, as the platform's workers do.
 *
 * @example
 * ```ts
 * import { TaskWorker } from "./task_worker.ts";
 * const worker = new TaskWorker({ id, capacity, getNow, taskMs: () => 500 });
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
import type { MemberOutcome, Resources, WorkerId } from "../job/mod.ts";

/** One run on a worker. */
export interface TaskRun {
    readonly task: string;
    readonly attempt: number;
    readonly startedAtMs: number;
    /** When the work is done, by our clock; infinite for one that hangs. */
    readonly finishesAtMs: number;
    readonly demand: Resources;
    /** When a stop takes effect, if one was ordered. */
    stopsAtMs: number | undefined;
}

/** Options of {@link TaskWorker}. */
export interface TaskWorkerOptions {
    readonly id: WorkerId;
    readonly capacity: Resources;
    readonly getNow: () => number;
    /** How long a task runs, in ms. */
    readonly computeTaskMs: (task: string) => number;
    /** What a task needs. */
    readonly getDemand: (task: string) => Resources;
    /** How a task ends by itself. */
    readonly getOutcome?: (task: string) => MemberOutcome;
    /** What a task reports as its load. */
    readonly getLoad?: (task: string) => number;
    /** This worker's clock runs so much slower than ours (0.02 for 2%). */
    readonly clockDrift?: number;
    /** How long a stop takes, in ms. */
    readonly stopDelayMs?: number;
    /** The longest lease it grants, in ms. */
    readonly maxLeaseMs?: number;
    /** Told of each run that begins and ends here. */
    readonly onStart?: (run: TaskRun) => void;
    readonly onEnd?: (run: TaskRun, how: MemberOutcome) => void;
    /** Told of each end that it may forget. */
    readonly onAcknowledge?: (end: EndReport) => void;
}

const DEFAULT_STOP_MS = 200;
const DEFAULT_MAX_LEASE_MS = 10_000;

/** One incarnation of a worker. */
export class TaskWorker {
    readonly #options: TaskWorkerOptions;
    readonly #runs = new Map<string, TaskRun>();
    /** The highest attempt stopped or ended here, per task. */
    readonly #highestEndedAttempt = new Map<string, number>();
    #unacknowledgedEnds: EndReport[] = [];
    #endCount = 0;
    #highestFence = 0;
    #leaseUntilMs = Number.NEGATIVE_INFINITY;
    isDead = false;

    /**
     * @param options Identity, capacity, how tasks behave; see {@link TaskWorkerOptions}.
     */
    constructor(options: TaskWorkerOptions) {
        this.#options = options;
    }

    /** Its own clock, in ms. */
    get clockMs(): number {
        return Math.floor(this.#options.getNow() * (1 - (this.#options.clockDrift ?? 0)));
    }

    /** What runs. */
    get runs(): readonly TaskRun[] {
        return [...this.#runs.values()];
    }

    /** What the runs take. */
    get used(): Resources {
        const sum = { cpu: 0, memoryMb: 0, gpu: 0 };
        for (const { demand } of this.#runs.values()) {
            sum.cpu += demand.cpu;
            sum.memoryMb += demand.memoryMb;
            sum.gpu += demand.gpu;
        }
        return sum;
    }

    /** Ends what is over by now. */
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
    }

    /** Takes a start. */
    start(order: StartOrder): OrderAnswer {
        this.advance();
        const refusal = this.#checkOrder(order.worker, order.fence);
        if (refusal !== undefined) {
            return refusal;
        }
        if (order.untilMs <= this.clockMs) {
            return { type: "refused", reason: "lease_over", clockMs: this.clockMs };
        }
        this.#extendLease(order.untilMs);
        const running = this.#runs.get(order.task);
        if (running?.attempt === order.attempt) {
            return { type: "accepted", clockMs: this.clockMs };
        }
        const isSuperseded =
            order.attempt <= (this.#highestEndedAttempt.get(order.task) ?? 0) ||
            order.attempt < (running?.attempt ?? 0);
        if (isSuperseded) {
            return { type: "refused", reason: "superseded", clockMs: this.clockMs };
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
        return { type: "accepted", clockMs: this.clockMs };
    }

    /** Takes a stop. */
    stop(order: StopOrder): OrderAnswer {
        this.advance();
        const refusal = this.#checkOrder(order.worker, order.fence);
        if (refusal !== undefined) {
            return refusal;
        }
        const run = this.#runs.get(order.task);
        if (run?.attempt === order.attempt) {
            run.stopsAtMs ??=
                this.#options.getNow() + (this.#options.stopDelayMs ?? DEFAULT_STOP_MS);
        } else {
            const highestEnded = this.#highestEndedAttempt.get(order.task) ?? 0;
            this.#highestEndedAttempt.set(order.task, Math.max(highestEnded, order.attempt));
        }
        return { type: "accepted", clockMs: this.clockMs };
    }

    /** Takes a look; it does not wait for an end. */
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
            .filter((end) => end.number <= order.cursor)
            .forEach((end) => this.#options.onAcknowledge?.(end));
        this.#unacknowledgedEnds = this.#unacknowledgedEnds.filter(
            (end) => end.number > order.cursor,
        );
        return {
            type: "state",
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
            return { type: "refused", reason: "fence", clockMs: this.clockMs };
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
