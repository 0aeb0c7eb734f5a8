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
    readonly startedAt: number;
    /** When the work is done, by our clock; infinite for one that hangs. */
    readonly doneAt: number;
    readonly room: Resources;
    /** When a stop takes effect, if one was ordered. */
    stopsAt: number | undefined;
}

/** Options of {@link TaskWorker}. */
export interface TaskWorkerOptions {
    readonly id: WorkerId;
    readonly capacity: Resources;
    readonly getNow: () => number;
    /** How long a task runs, in ms. */
    readonly computeTaskMs: (task: string) => number;
    /** What a task needs. */
    readonly getRoom: (task: string) => Resources;
    /** How a task ends by itself. */
    readonly getEnd?: (task: string) => MemberOutcome;
    /** What a task reports as its load. */
    readonly getLoad?: (task: string) => number;
    /** This worker's clock runs so much slower than ours (0.02 for 2%). */
    readonly clockDrift?: number;
    /** How long a stop takes, in ms. */
    readonly stopMs?: number;
    /** The longest lease it grants, in ms. */
    readonly maxLeaseMs?: number;
    /** Told of each run that begins and ends here. */
    readonly onRun?: (run: TaskRun) => void;
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
    readonly #closed = new Map<string, number>();
    #ended: EndReport[] = [];
    #endCount = 0;
    #fence = 0;
    #leaseUntil = Number.NEGATIVE_INFINITY;
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
        for (const { room } of this.#runs.values()) {
            sum.cpu += room.cpu;
            sum.memoryMb += room.memoryMb;
            sum.gpu += room.gpu;
        }
        return sum;
    }

    /** Ends what is over by now. */
    advance(): void {
        const now = this.#options.getNow();
        for (const run of [...this.#runs.values()]) {
            if (run.stopsAt !== undefined && run.stopsAt <= now) {
                this.#endRun(run, "stopped");
            } else if (run.doneAt <= now) {
                this.#endRun(run, this.#options.getEnd?.(run.task) ?? "done");
            } else if (this.clockMs > this.#leaseUntil) {
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
        const isOld =
            order.attempt <= (this.#closed.get(order.task) ?? 0) ||
            order.attempt < (running?.attempt ?? 0);
        if (isOld) {
            return { type: "refused", reason: "superseded", clockMs: this.clockMs };
        }
        const now = this.#options.getNow();
        const run: TaskRun = {
            task: order.task,
            attempt: order.attempt,
            startedAt: now,
            doneAt: now + this.#options.computeTaskMs(order.task),
            room: this.#options.getRoom(order.task),
            stopsAt: undefined,
        };
        this.#runs.set(order.task, run);
        this.#options.onRun?.(run);
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
            run.stopsAt ??= this.#options.getNow() + (this.#options.stopMs ?? DEFAULT_STOP_MS);
        } else {
            const closed = this.#closed.get(order.task) ?? 0;
            this.#closed.set(order.task, Math.max(closed, order.attempt));
        }
        return { type: "accepted", clockMs: this.clockMs };
    }

    /** Takes a look; it does not wait for an end. */
    look(order: PollOrder): PollAnswer {
        this.advance();
        const refusal = this.#checkOrder(order.worker, order.fence);
        if (refusal?.type === "refused" || refusal?.type === "gone") {
            return refusal;
        }
        if (order.untilMs !== undefined) {
            this.#extendLease(order.untilMs);
        }
        this.#ended
            .filter((end) => end.number <= order.cursor)
            .forEach((end) => this.#options.onAcknowledge?.(end));
        this.#ended = this.#ended.filter((end) => end.number > order.cursor);
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
            ended: this.#ended,
        };
    }

    #checkOrder(worker: WorkerId, fence: number): OrderAnswer | undefined {
        if (worker !== this.#options.id) {
            return { type: "gone" };
        }
        if (fence < this.#fence) {
            return { type: "refused", reason: "fence", clockMs: this.clockMs };
        }
        this.#fence = fence;
        return undefined;
    }

    #extendLease(until: number): void {
        const longest = this.clockMs + (this.#options.maxLeaseMs ?? DEFAULT_MAX_LEASE_MS);
        this.#leaseUntil = Math.max(this.#leaseUntil, Math.min(until, longest));
    }

    #computePercent(run: TaskRun): number {
        const whole = run.doneAt - run.startedAt;
        return Math.min(99, Math.floor((100 * (this.#options.getNow() - run.startedAt)) / whole));
    }

    #endRun(run: TaskRun, how: MemberOutcome): void {
        this.#runs.delete(run.task);
        this.#closed.set(run.task, run.attempt);
        this.#endCount += 1;
        this.#ended.push({
            number: this.#endCount,
            task: run.task,
            attempt: run.attempt,
            how,
            checkpoint: "",
        });
        this.#options.onEnd?.(run, how);
    }
}
