/**
 * Forecasts when a pool could start one more task, from its free CPU, the expected ends of its
 * running tasks and its waiting tasks.
 *
 * The pool is treated as one amount of CPU: the forecast leaves out the boundaries between workers,
 * memory and labels, so it errs towards an early start.
 *
 * @example
 * ```ts
 * import { CapacityForecast } from "./forecast.ts";
 * const running = [{ endsInMs: 400, cpu: 2_000 }];
 * const forecast = new CapacityForecast({
 *     builtAtMs: 0, capacityCpu: 2_000, freeCpu: 0, running, backlog: [],
 * });
 * forecast.computeStartMs({ rank: 0, cpu: 1_000 }); // 400
 * ```
 *
 * @module
 */

/** A running task. */
export interface RunningTask {
    /** Time from the forecast until the expected end, in ms. */
    readonly endsInMs: number;
    /** CPU that its end releases, in thousandths of a core. */
    readonly cpu: number;
}

/** Waiting tasks that are alike. */
export interface BacklogGroup {
    /** Position of the group's priority and rank class in the order; smaller ones go first. */
    readonly rank: number;
    /** CPU of each task, in thousandths of a core. */
    readonly cpuPerTask: number;
    /** Expected duration of each task, in ms. */
    readonly taskMs: number;
    readonly taskCount: number;
}

/** Expected submissions of one rank. */
export interface ArrivalRate {
    readonly rank: number;
    /** CPU that they keep busy on average, in thousandths of a core. */
    readonly cpu: number;
    /** Expected duration of a task, in ms. */
    readonly taskMs: number;
}

/** What a {@link CapacityForecast} is built from. */
export interface ForecastInput {
    /** When the input was collected, in ms. */
    readonly builtAtMs: number;
    /** CPU of all usable workers, busy or not, in thousandths of a core. */
    readonly capacityCpu: number;
    /** CPU that no task reserves, in thousandths of a core. */
    readonly freeCpu: number;
    readonly running: Iterable<RunningTask>;
    readonly backlog: Iterable<BacklogGroup>;
    /** What is expected to be submitted; nothing by default. */
    readonly arrivals?: Iterable<ArrivalRate>;
}

/** The task whose start is asked for. */
export interface StartQuery {
    /** Position of its priority and rank class; see {@link BacklogGroup.rank}. */
    readonly rank: number;
    /** CPU of the task, in thousandths of a core. */
    readonly cpu: number;
}

/** Length of a time step, in ms; short against the smallest objective, which is about 1 s. */
const STEP_MS = 100;
/** How far the forecast looks ahead, in ms; longer than the tasks of most deployments. */
const HORIZON_MS = 20_000;
const STEP_COUNT = HORIZON_MS / STEP_MS;
/**
 * How long the recent rate of submissions is expected to last, in steps. Bursts last 4 to 6 s; a
 * longer projection would refuse patient jobs for a burst that is over when their turn comes.
 */
const ARRIVAL_STEPS = 4_000 / STEP_MS;
/** Durations up to this number of steps are kept as they are. */
const EXACT_DURATIONS = 20;
/** Ratio of neighbouring classes of longer durations; bounds the classes of a rank to about 45. */
const DURATION_CLASS_RATIO = 1.1;
const NOTHING: ReadonlyMap<number, number> = new Map();
/** CPU below which waiting work counts as started, in thousandths of a core; rounding errors. */
const CPU_TOLERANCE = 1e-3;

/** The waiting work of one rank. */
interface RankBacklog {
    readonly rank: number;
    /** Waiting CPU by duration in steps. */
    readonly cpuByDuration: Map<number, number>;
    /** CPU of the tasks that are expected to be submitted in each step, by duration in steps. */
    readonly arrivingCpuByDuration: Map<number, number>;
}

/** Forecast of one pool. Its accuracy decreases with its age. */
export class CapacityForecast {
    /** When the input was collected, in ms. */
    readonly builtAtMs: number;
    readonly #capacityCpu: number;
    readonly #releasedCpu = new Float64Array(STEP_COUNT);
    /** In order of rank. */
    readonly #backlog: RankBacklog[] = [];

    /**
     * @param input The state of the pool; see {@link ForecastInput}.
     */
    constructor(input: ForecastInput) {
        this.builtAtMs = input.builtAtMs;
        this.#capacityCpu = input.capacityCpu;
        this.#addRelease(0, Math.max(0, input.freeCpu));
        for (const { endsInMs, cpu } of input.running) {
            this.#addRelease(Math.ceil(Math.max(0, endsInMs) / STEP_MS), cpu);
        }
        for (const group of input.backlog) {
            this.addBacklog(group);
        }
        for (const { rank, cpu, taskMs } of input.arrivals ?? []) {
            const { arrivingCpuByDuration } = this.#ensureRank(rank);
            const duration = computeDurationClass(taskMs);
            const arriving = arrivingCpuByDuration.get(duration) ?? 0;
            arrivingCpuByDuration.set(duration, arriving + cpu / duration);
        }
    }

    /**
     * Adds waiting tasks, for example those of a job that was admitted after the forecast was built.
     *
     * @param group The tasks.
     */
    addBacklog({ rank, cpuPerTask, taskMs, taskCount }: BacklogGroup): void {
        const cpu = cpuPerTask * taskCount;
        if (cpu <= 0) {
            return;
        }
        const { cpuByDuration } = this.#ensureRank(rank);
        const duration = computeDurationClass(taskMs);
        cpuByDuration.set(duration, (cpuByDuration.get(duration) ?? 0) + cpu);
    }

    /**
     * Computes when one more task could start, once all work in front of it has started: what waits
     * in its rank and before it, and what is expected to arrive in the ranks before it.
     *
     * @param query The task.
     * @returns The time from {@link CapacityForecast.builtAtMs}, in ms. Beyond the horizon, the
     * work that still waits is divided by the capacity of the pool.
     */
    computeStartMs({ rank, cpu }: StartQuery): number {
        const front = this.#listFront(rank);
        // A task larger than the pool is compared with the whole pool: feasibility is checked apart.
        const neededCpu = Math.max(0, Math.min(cpu, this.#capacityCpu) - CPU_TOLERANCE);
        const released = this.#releasedCpu.slice();
        let free = 0;
        for (let step = 0; step < STEP_COUNT; step++) {
            free += released[step] ?? 0;
            for (const work of front) {
                if (step > 0 && step <= ARRIVAL_STEPS) {
                    work.addArrivals();
                }
                free = work.startTasks(free, step, released);
            }
            if (free >= neededCpu && front.every((work) => !work.isWaiting())) {
                return step * STEP_MS;
            }
        }
        const remainingWork = front.reduce((total, work) => total + work.computeWork(), 0);
        return HORIZON_MS + remainingWork / Math.max(1, this.#capacityCpu);
    }

    /**
     * Returns whether work waits in front of a task that arrives now.
     *
     * @param rank The task's position; see {@link BacklogGroup.rank}.
     * @returns False if the task is the next to start.
     */
    hasBacklog(rank: number): boolean {
        return this.#backlog.some((entry) => entry.rank <= rank && entry.cpuByDuration.size > 0);
    }

    /** Copies the work that is served before a task that arrives now in a rank. */
    #listFront(rank: number): WaitingWork[] {
        return this.#backlog
            .filter((entry) => entry.rank <= rank)
            .map(
                ({ cpuByDuration, arrivingCpuByDuration, rank: other }) =>
                    new WaitingWork(cpuByDuration, other < rank ? arrivingCpuByDuration : NOTHING),
            );
    }

    #addRelease(step: number, cpu: number): void {
        if (step < STEP_COUNT) {
            this.#releasedCpu[step] = (this.#releasedCpu[step] ?? 0) + cpu;
        }
    }

    #ensureRank(rank: number): RankBacklog {
        const next = this.#backlog.findIndex((entry) => entry.rank >= rank);
        const position = next < 0 ? this.#backlog.length : next;
        const known = this.#backlog[position];
        if (known?.rank === rank) {
            return known;
        }
        const added = {
            rank,
            cpuByDuration: new Map<number, number>(),
            arrivingCpuByDuration: new Map<number, number>(),
        };
        this.#backlog.splice(position, 0, added);
        return added;
    }
}

/** The work of one rank while it is being started. */
class WaitingWork {
    readonly #cpuByDuration: Map<number, number>;
    readonly #arriving: ReadonlyMap<number, number>;
    #waitingCpu = 0;

    constructor(cpuByDuration: ReadonlyMap<number, number>, arriving: ReadonlyMap<number, number>) {
        this.#cpuByDuration = new Map(cpuByDuration);
        this.#arriving = arriving;
        for (const cpu of cpuByDuration.values()) {
            this.#waitingCpu += cpu;
        }
    }

    isWaiting(): boolean {
        return this.#waitingCpu > CPU_TOLERANCE;
    }

    addArrivals(): void {
        for (const [duration, cpu] of this.#arriving) {
            this.#cpuByDuration.set(duration, (this.#cpuByDuration.get(duration) ?? 0) + cpu);
            this.#waitingCpu += cpu;
        }
    }

    /**
     * Starts as much as the free CPU allows, an equal share of each duration; the ends release it.
     * Returns the CPU that is left for the ranks behind.
     */
    startTasks(free: number, step: number, released: Float64Array): number {
        if (!this.isWaiting()) {
            return free;
        }
        const share = Math.min(1, free / this.#waitingCpu);
        if (share <= 0) {
            return 0;
        }
        let waitingCpu = 0;
        for (const [duration, cpu] of this.#cpuByDuration) {
            const started = share * cpu;
            const endStep = step + duration;
            this.#cpuByDuration.set(duration, cpu - started);
            waitingCpu += cpu - started;
            if (endStep < STEP_COUNT) {
                released[endStep] = (released[endStep] ?? 0) + started;
            }
        }
        const left = free - (this.#waitingCpu - waitingCpu);
        this.#waitingCpu = waitingCpu;
        return Math.max(0, left);
    }

    /** Returns the work that waits, in CPU times ms. */
    computeWork(): number {
        let work = 0;
        for (const [duration, cpu] of this.#cpuByDuration) {
            work += cpu * duration * STEP_MS;
        }
        return work;
    }
}

/**
 * Rounds a duration to one of a bounded number of classes, in steps. Tasks longer than the horizon,
 * such as services, form one class.
 */
function computeDurationClass(taskMs: number): number {
    const steps = Math.min(STEP_COUNT, Math.max(1, Math.round(taskMs / STEP_MS)));
    if (steps <= EXACT_DURATIONS) {
        return steps;
    }
    const exponent = Math.round(Math.log(steps) / Math.log(DURATION_CLASS_RATIO));
    return Math.round(DURATION_CLASS_RATIO ** exponent);
}
