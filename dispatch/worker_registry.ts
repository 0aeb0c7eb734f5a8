/**
 * The leader's view of each worker: its clock, the fence of its orders, the lease it was given,
 * the room that attempts hold, and whether it answers and does its work.
 *
 * @example
 * ```ts
 * import { WorkerBook } from "./worker_registry.ts";
 * const book = new WorkerBook({ firstFence: 7_000_000, leaseMs: 6_000 });
 * const worker = book.ensureWorker(record, now);
 * ```
 *
 * @module
 */

import type { Resources, TaskName, WorkerId, WorkerRecord } from "../job/mod.ts";
import type { MemberRun } from "./types.ts";
import { WorkerClock } from "./worker_clock.ts";
import { WorkerSpeed } from "./worker_speed.ts";

/**
 * A worker that was neither heard from nor answered for this long gets no new work, in ms: its
 * heartbeats come every 1.5 s, so two of them in a row are missing.
 */
const CONTACT_TIMEOUT_MS = 4_000;
/** First pause for a worker that fails what it starts, in ms; it doubles with each failure more. */
const MIN_QUARANTINE_MS = 1_000;
/** Longest such pause, in ms: faults of this kind last seconds, so it is tried again soon. */
const MAX_QUARANTINE_MS = 8_000;
/** Failures in a row, of different units, that put a worker in quarantine. */
const QUARANTINE_THRESHOLD = 2;
/** A failure makes a worker doubtful for as long as the longest pause, in ms, unless something is done there. */
const RECENT_FAILURE_MS = MAX_QUARANTINE_MS;
/** After a crash the next incarnation at the address is held for prone to another one for this long, in ms. */
const RECENT_CRASH_MS = 8_000;
/** Pause after a worker refused an order, in ms: about the time between two heartbeats. */
const REFUSAL_BACKOFF_MS = 1_500;

/** Room for nothing. */
export const NO_RESOURCES: Resources = { cpu: 0, memoryMb: 0, gpu: 0 };

/** One worker as its leader sees it. */
export interface WorkerState {
    record: WorkerRecord;
    readonly clock: WorkerClock;
    readonly speed: WorkerSpeed;
    /** The fence of the next order. */
    fence: number;
    /** The latest lease end that any order carried, on the worker's clock. */
    leaseEndWorkerMs: number;
    /** When every lease of an earlier leader is over for certain, in ms of our clock. */
    inheritedLeaseEndsAt: number;
    readonly used: { cpu: number; memoryMb: number; gpu: number };
    readonly members: Map<TaskName, MemberRun>;
    /** The number of the newest end that was read. */
    readCursor: number;
    /** The number up to which ends are durable here. */
    durableCursor: number;
    /** The number up to which the worker was told to forget ends. */
    acknowledgedCursor: number;
    lastContactAt: number;
    /** Its newest heartbeat: when it arrived here, and what the worker's clock showed, if it told. */
    lastReport: { readonly arrivedAt: number; readonly clockMs: number | undefined };
    /** A larger room than it is placed by, told by its newest heartbeat. */
    unconfirmedCapacity: Resources | undefined;
    /** When it last answered a look, in ms. */
    pollAnsweredAt: number;
    /** When it was last looked at for an overdue task, in ms. */
    extraPollAt: number;
    /** It left an order or a look unanswered and has not answered since. */
    isSuspect: boolean;
    /** No new work before this time. */
    pausedUntil: number;
    /** Failures of different units since something was done there. */
    consecutiveFailures: number;
    lastFailedUnit: string;
    lastFailureAt: number;
    /** Since when its serving tasks are well below their targets; `undefined` while they are not. */
    belowTargetSince: number | undefined;
    /** The newest heartbeat's number: late ones are told by it. */
    lastSequence: number;
    /** While it drains: when it may end at the earliest, in ms of our clock, if it told. */
    leavesAt: number | undefined;
    /** {@link WorkerRegistry.capacityVersion} when it last got room or became usable. */
    capacityVersion: number;
}

/** Options of {@link WorkerRegistry}. */
export interface WorkerRegistryOptions {
    /** Above every fence of earlier leaders. */
    readonly firstFence: number;
    /** How long one lease lasts, in ms. */
    readonly leaseMs: number;
    /** A worker whose last heartbeat is older gets no new work, in ms. */
    readonly maxReportAgeMs: number;
}

/** All workers. */
export class WorkerRegistry {
    readonly #options: WorkerRegistryOptions;
    readonly #workers = new Map<WorkerId, WorkerState>();
    /** Every worker, the one that got room last at the end. */
    readonly #byCapacityGain = new Set<WorkerState>();
    #newestFirst: readonly WorkerState[] | undefined;
    #nextFence: number;
    /** Runs that keep, or kept, other starts off their workers. */
    readonly isolatedRuns = new Set<MemberRun>();
    /** When a worker's crash became known, in ms, by its address. */
    readonly #crashTimes = new Map<string, number>();
    /** Rises when a worker gets room or becomes usable: what did not fit before may fit now. */
    capacityVersion = 0;

    /**
     * @param options The first fence, the lease's length.
     */
    constructor(options: WorkerRegistryOptions) {
        this.#options = options;
        this.#nextFence = options.firstFence;
    }

    /** Every worker known. */
    get workers(): IterableIterator<WorkerState> {
        return this.#workers.values();
    }

    /**
     * Finds a worker.
     *
     * @param id The worker.
     * @returns Its state, or `undefined` when it is unknown or gone.
     */
    findWorker(id: WorkerId): WorkerState | undefined {
        return this.#workers.get(id);
    }

    /**
     * Adds a worker, or takes over a newer record of it.
     *
     * @param record What the worker told of itself.
     * @param now Our clock, in ms.
     * @returns Its state.
     */
    ensureWorker(record: WorkerRecord, now: number): WorkerState {
        const known = this.#workers.get(record.id);
        if (known !== undefined) {
            known.record = record;
            return known;
        }
        const state: WorkerState = {
            record,
            clock: new WorkerClock(),
            speed: new WorkerSpeed(),
            fence: this.#nextFence,
            leaseEndWorkerMs: Number.NEGATIVE_INFINITY,
            inheritedLeaseEndsAt: now,
            used: { cpu: 0, memoryMb: 0, gpu: 0 },
            members: new Map(),
            readCursor: 0,
            durableCursor: 0,
            acknowledgedCursor: 0,
            lastContactAt: Number.NEGATIVE_INFINITY,
            lastReport: { arrivedAt: Number.NEGATIVE_INFINITY, clockMs: undefined },
            unconfirmedCapacity: undefined,
            pollAnsweredAt: Number.NEGATIVE_INFINITY,
            extraPollAt: Number.NEGATIVE_INFINITY,
            isSuspect: false,
            pausedUntil: Number.NEGATIVE_INFINITY,
            consecutiveFailures: 0,
            lastFailedUnit: "",
            lastFailureAt: Number.NEGATIVE_INFINITY,
            belowTargetSince: undefined,
            lastSequence: -1,
            leavesAt: undefined,
            capacityVersion: 0,
        };
        this.#workers.set(record.id, state);
        this.recordCapacityGain(state);
        return state;
    }

    /**
     * Forgets a worker that is gone.
     *
     * @param id The worker.
     */
    removeWorker(id: WorkerId): void {
        const worker = this.#workers.get(id);
        if (worker !== undefined) {
            this.#workers.delete(id);
            this.#byCapacityGain.delete(worker);
            this.#newestFirst = undefined;
        }
    }

    /**
     * Tells whether a worker's room was told lately enough to be given away.
     *
     * @param worker The worker.
     * @param now Our clock, in ms.
     * @returns False without a fresh heartbeat: its room may have shrunk since.
     */
    hasFreshReport(worker: WorkerState, now: number): boolean {
        return computeReportAgeMs(worker, now) < this.#options.maxReportAgeMs;
    }

    /**
     * Notes that a worker crashed.
     *
     * @param address Where it was.
     * @param now Our clock, in ms.
     */
    recordCrash(address: string, now: number): void {
        for (const earlier of this.#crashTimes.keys()) {
            if (!this.hasRecentCrash(earlier, now)) {
                this.#crashTimes.delete(earlier);
            }
        }
        this.#crashTimes.set(address, now);
    }

    /**
     * Tells whether workers at an address may be crashing again and again by themselves.
     *
     * @param address The address.
     * @param now Our clock, in ms.
     * @returns True for a while after a crash there.
     */
    hasRecentCrash(address: string, now: number): boolean {
        return now - (this.#crashTimes.get(address) ?? Number.NEGATIVE_INFINITY) < RECENT_CRASH_MS;
    }

    /**
     * Notes that a worker got room or became usable.
     *
     * @param worker The worker.
     */
    recordCapacityGain(worker: WorkerState): void {
        this.capacityVersion += 1;
        worker.capacityVersion = this.capacityVersion;
        this.#byCapacityGain.delete(worker);
        this.#byCapacityGain.add(worker);
        this.#newestFirst = undefined;
    }

    /**
     * Lists the workers that got room or became usable since a version.
     *
     * @param version The version.
     * @returns The workers, the last one first.
     */
    listChangedSince(version: number): WorkerState[] {
        const changed: WorkerState[] = [];
        for (const worker of this.#listNewestFirst()) {
            if (worker.capacityVersion <= version) {
                break;
            }
            changed.push(worker);
        }
        return changed;
    }

    /** Kept until a worker changes: a backlog of steps asks for it in one round of placing. */
    #listNewestFirst(): readonly WorkerState[] {
        this.#newestFirst ??= [...this.#byCapacityGain].reverse();
        return this.#newestFirst;
    }

    /**
     * Gives a worker a higher fence. Once it took the fence, an order sent before that got no
     * answer can no longer be carried out, however late it arrives.
     *
     * @param worker The worker.
     */
    advanceFence(worker: WorkerState): void {
        this.#nextFence += 1;
        worker.fence = this.#nextFence;
    }

    /**
     * Adds a member to its worker; its room is taken from now on.
     *
     * @param member The member.
     */
    addMember(member: MemberRun): void {
        const worker = this.#workers.get(member.worker);
        if (worker === undefined || worker.members.has(member.name)) {
            return;
        }
        worker.members.set(member.name, member);
        if (member.isolationMs > 0) {
            this.isolatedRuns.add(member);
        }
        worker.used.cpu += member.reserved.cpu;
        worker.used.memoryMb += member.reserved.memoryMb;
        worker.used.gpu += member.reserved.gpu;
    }

    /**
     * Removes a member whose end is known; its room is free again.
     *
     * @param member The member.
     */
    removeMember(member: MemberRun): void {
        const worker = this.#workers.get(member.worker);
        if (worker?.members.get(member.name) !== member) {
            return;
        }
        worker.members.delete(member.name);
        this.isolatedRuns.delete(member);
        worker.used.cpu -= member.reserved.cpu;
        worker.used.memoryMb -= member.reserved.memoryMb;
        worker.used.gpu -= member.reserved.gpu;
    }

    /**
     * Gives a new lease for an order that leaves now.
     *
     * @param worker The worker.
     * @param now Our clock, in ms.
     * @returns The lease's end on the worker's clock, whole ms, or `undefined` when that clock
     * is unknown.
     */
    grantLease(worker: WorkerState, now: number): number | undefined {
        const workerClockMs = worker.clock.computeEarliest(now);
        if (workerClockMs === undefined) {
            return undefined;
        }
        const leaseEndMs = Math.floor(workerClockMs + this.#options.leaseMs);
        worker.leaseEndWorkerMs = Math.max(worker.leaseEndWorkerMs, leaseEndMs);
        return leaseEndMs;
    }

    /**
     * Tells whether every lease that the worker may hold has run out, by its own clock at its
     * slowest.
     *
     * @param worker The worker.
     * @param now Our clock, in ms.
     * @returns True when nothing can run there on our orders.
     */
    isLeaseOver(worker: WorkerState, now: number): boolean {
        if (now < worker.inheritedLeaseEndsAt) {
            return false;
        }
        if (worker.leaseEndWorkerMs === Number.NEGATIVE_INFINITY) {
            return true;
        }
        return (
            (worker.clock.computeEarliest(now) ?? Number.NEGATIVE_INFINITY) >
            worker.leaseEndWorkerMs
        );
    }

    /**
     * Records that a worker answered.
     *
     * @param worker The worker.
     * @param clockMs Its clock in the answer, if it told it.
     * @param now Our clock, in ms.
     */
    recordAnswer(worker: WorkerState, clockMs: number | undefined, now: number): void {
        worker.lastContactAt = now;
        worker.isSuspect = false;
        if (clockMs !== undefined) {
            worker.clock.record(clockMs, now);
        }
    }

    /**
     * Records that a task was done on a worker.
     *
     * @param worker The worker.
     */
    recordSuccess(worker: WorkerState): void {
        worker.consecutiveFailures = 0;
        worker.lastFailedUnit = "";
        worker.lastFailureAt = Number.NEGATIVE_INFINITY;
    }

    /**
     * Records that a task failed on a worker. A worker that fails everything looks idle and would
     * draw all new work: it is paused after two failures in a row of different units (one unit may
     * fail anywhere by its own fault), and tried again with growing pauses. Units of one job count
     * as different, or the failures of one wide step would use up all attempts of a task of it.
     *
     * @param worker The worker.
     * @param unit The task's unit.
     * @param now Our clock, in ms.
     */
    recordFailure(worker: WorkerState, unit: string, now: number): void {
        worker.lastFailureAt = now;
        if (worker.lastFailedUnit === unit) {
            return;
        }
        worker.lastFailedUnit = unit;
        worker.consecutiveFailures += 1;
        const excess = worker.consecutiveFailures - QUARANTINE_THRESHOLD;
        if (excess >= 0) {
            const pauseMs = Math.min(MAX_QUARANTINE_MS, MIN_QUARANTINE_MS * 2 ** excess);
            worker.pausedUntil = Math.max(worker.pausedUntil, now + pauseMs);
        }
    }

    /**
     * Tells whether the last thing known of a worker is a failure.
     *
     * @param worker The worker.
     * @param now Our clock, in ms.
     * @returns True for a while after a failure, unless something was done there since.
     */
    hasRecentFailure(worker: WorkerState, now: number): boolean {
        return now - worker.lastFailureAt < RECENT_FAILURE_MS;
    }

    /**
     * Pauses a worker that refused an order because it is unhealthy, or has less room than our account
     * says. It looks idle and would draw, and refuse, every start that fits nowhere else.
     *
     * @param worker The worker.
     * @param now Our clock, in ms.
     */
    recordRefusal(worker: WorkerState, now: number): void {
        worker.pausedUntil = Math.max(worker.pausedUntil, now + REFUSAL_BACKOFF_MS);
    }

    /**
     * Tells whether a worker may get new work.
     *
     * @param worker The worker.
     * @param now Our clock, in ms.
     * @returns False while it drains, is silent, is paused, its room was told too long ago, or its clock is unknown.
     */
    isUsable(worker: WorkerState, now: number): boolean {
        return (
            !worker.record.isDraining &&
            !worker.isSuspect &&
            now >= worker.pausedUntil &&
            now - worker.lastContactAt < CONTACT_TIMEOUT_MS &&
            this.hasFreshReport(worker, now) &&
            worker.clock.computeEarliest(now) !== undefined
        );
    }
}

/**
 * Computes how old a worker's newest heartbeat is: by the worker's own clock where it tells it, as a cut may have held the
 * heartbeat up, and an earlier leader may have taken it.
 *
 * @param worker The worker.
 * @param now Our clock, in ms.
 * @returns Ms since it was sent, at least.
 */
function computeReportAgeMs({ lastReport: report, clock }: WorkerState, now: number): number {
    const clockMs = clock.computeEarliest(now);
    return clockMs === undefined || report.clockMs === undefined
        ? now - report.arrivedAt
        : clockMs - report.clockMs;
}

/**
 * Gives what a worker has left.
 *
 * @param worker The worker.
 * @returns Its capacity less the room that members hold.
 */
export function getFreeResources(worker: WorkerState): Resources {
    const { capacity } = worker.record;
    return {
        cpu: capacity.cpu - worker.used.cpu,
        memoryMb: capacity.memoryMb - worker.used.memoryMb,
        gpu: capacity.gpu - worker.used.gpu,
    };
}

/**
 * Tells whether something fits.
 *
 * @param free What is left.
 * @param needs What it takes.
 * @returns True when there is enough of everything.
 */
export function hasResourcesFor(free: Resources, needs: Resources): boolean {
    return free.cpu >= needs.cpu && free.memoryMb >= needs.memoryMb && free.gpu >= needs.gpu;
}
