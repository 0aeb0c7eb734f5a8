/**
 * Tracks the leader's view of each worker: its clock, fencing token, leases, reserved resources and
 * health.
 *
 * @example
 * ```ts
 * import { WorkerRegistry } from "./worker_registry.ts";
 * const leases = { leaseMs: 6_000, maxLeaseMs: 10_000, maxCallDelayMs: 3_000 };
 * const options = { firstFence: 7_000_000, ...leases, maxReportAgeMs: 3_500, quotaLedger };
 * const registry = new WorkerRegistry(options);
 * const worker = registry.ensureWorker(record, now);
 * ```
 *
 * @module
 */

import type { QuotaLedger } from "../workspace/mod.ts";
import type { Incarnation, Resources, TaskName, WorkerId, WorkerRecord } from "../job/mod.ts";
import type { Heartbeat, MemberRun, PollOrder } from "./types.ts";
import { SLOWEST_CLOCK_FACTOR, WorkerClock } from "./worker_clock.ts";
import { WorkerSpeed } from "./worker_speed.ts";

/**
 * A worker without a heartbeat or an answer for this long gets no new work, in ms. Heartbeats come
 * every 1.5 s, so this allows for one lost heartbeat.
 */
const CONTACT_TIMEOUT_MS = 4_000;
/**
 * First quarantine of a worker with repeated failures, in ms; it doubles with each further failure.
 */
const MIN_QUARANTINE_MS = 1_000;
/** Longest quarantine, in ms. Such faults last seconds, so the worker is tried again soon. */
const MAX_QUARANTINE_MS = 8_000;
/** Consecutive failures of different units that quarantine a worker. */
const QUARANTINE_THRESHOLD = 2;
/** Time during which a failure counts against a worker unless a task succeeds there, in ms. */
const RECENT_FAILURE_MS = MAX_QUARANTINE_MS;
/** Time during which a crash counts against the next incarnation at the address, in ms. */
const RECENT_CRASH_MS = 8_000;
/** Backoff after a worker refused an order, in ms; about one heartbeat interval. */
const REFUSAL_BACKOFF_MS = 1_500;

/** An empty amount of resources. */
export const NO_RESOURCES: Resources = { cpu: 0, memoryMb: 0, gpu: 0 };

/** A heartbeat of an incarnation that no answer of the worker has confirmed. */
export interface PendingHeartbeat {
    readonly heartbeat: Heartbeat;
    /** In ms. */
    readonly arrivedAtMs: number;
}

/**
 * The leader's view of one worker. All counts and times are those of the incarnation in its record.
 */
export interface WorkerState {
    record: WorkerRecord;
    readonly clock: WorkerClock;
    readonly speed: WorkerSpeed;
    /** Fencing token of the next order. */
    fence: number;
    /** Latest lease end sent to the worker, in ms of the worker's clock. */
    leaseEndWorkerMs: number;
    /** When this leader last sent a lease, or gave up a call that carried one, in ms. */
    leaseSentAtMs: number;
    /**
     * When all leases that earlier leaders granted, or that were meant for earlier incarnations, have
     * expired, in ms of the leader's clock.
     */
    inheritedLeaseEndsAtMs: number;
    readonly reserved: { cpu: number; memoryMb: number; gpu: number };
    readonly members: Map<TaskName, MemberRun>;
    /** Number of the newest task end read from the worker. */
    readCursor: number;
    /** Number of the newest task end that is committed. */
    committedCursor: number;
    /** Number up to which task ends were acknowledged to the worker. */
    acknowledgedCursor: number;
    lastContactAtMs: number;
    /** Newest heartbeat: its arrival time, and the worker's clock if it was included. */
    lastReport: { readonly arrivedAtMs: number; readonly clockMs: number | undefined };
    /** Larger capacity from the newest heartbeat that the next one has to confirm. */
    unconfirmedCapacity: Resources | undefined;
    /**
     * Newest heartbeat of another incarnation. It may be outdated, so the worker gets no new work
     * until an answer tells which incarnation is running.
     */
    pendingHeartbeat: PendingHeartbeat | undefined;
    /**
     * Whether the incarnation has not reported yet, so that the record, but for the incarnation,
     * still describes the previous one.
     */
    isReportMissing: boolean;
    /** Whether a call was left unanswered since the last answered poll was sent. */
    mayHaveRestarted: boolean;
    /** When a call was last left unanswered, in ms. */
    callUnansweredAtMs: number;
    /** The newest poll that may wait and the newest other one, until answered or timed out. */
    readonly pendingPolls: { waiting: PollOrder | undefined; immediate: PollOrder | undefined };
    /** When the worker last answered a poll, in ms. */
    pollAnsweredAtMs: number;
    /** When the worker last got an extra poll, for an overdue or a starting task, in ms. */
    extraPollAtMs: number;
    /** Whether the worker left an order or poll unanswered and has not answered since. */
    isSuspect: boolean;
    /** The worker gets no new work before this time, in ms. */
    pausedUntilMs: number;
    /** Consecutive failures of different units since the last success. */
    consecutiveFailures: number;
    lastFailedUnit: string;
    lastFailureAtMs: number;
    /**
     * When the current interval of latency below the recovery threshold began, in ms; `undefined`
     * while the latency is above the threshold.
     */
    recoveryIntervalStartedAtMs: number | undefined;
    /** Sequence number of the newest heartbeat, used to drop late ones. */
    lastSequence: number;
    /** Earliest departure of a draining worker, in ms of the leader's clock, if announced. */
    leavesAtMs: number | undefined;
    /**
     * {@link WorkerRegistry.capacityVersion} when the worker last gained capacity or became usable.
     */
    capacityVersion: number;
}

/** Options of {@link WorkerRegistry}. */
export interface WorkerRegistryOptions {
    /** Higher than every fencing token of earlier leaders. */
    readonly firstFence: number;
    /** Duration of one lease, in ms. */
    readonly leaseMs: number;
    /** The longest lease that a worker accepts, in ms. */
    readonly maxLeaseMs: number;
    /** How long after a call was given up it may still be executed, in ms. */
    readonly maxCallDelayMs: number;
    /** A worker whose newest heartbeat is older gets no new work, in ms. */
    readonly maxReportAgeMs: number;
    /** Counts what the workspaces' tasks reserve; follows the members of the workers. */
    readonly quotaLedger: QuotaLedger;
}

/** The workers known to the leader. */
export class WorkerRegistry {
    readonly #options: WorkerRegistryOptions;
    readonly #workers = new Map<WorkerId, WorkerState>();
    /** All workers, ordered by when they last gained capacity. */
    readonly #byCapacityGain = new Set<WorkerState>();
    #newestFirst: readonly WorkerState[] | undefined;
    #nextFence: number;
    /** Runs started in isolation because their units are suspected of crashing workers. */
    readonly isolatedRuns = new Set<MemberRun>();
    /** When the last worker crash at each address was detected, in ms. */
    readonly #crashTimes = new Map<string, number>();
    /**
     * Increases when a worker gains capacity or becomes usable, so that unplaced units can be
     * retried.
     */
    capacityVersion = 0;

    /**
     * @param options First fencing token, durations of leases and delays of calls.
     */
    constructor(options: WorkerRegistryOptions) {
        this.#options = options;
        this.#nextFence = options.firstFence;
    }

    /** All known workers. */
    get workers(): IterableIterator<WorkerState> {
        return this.#workers.values();
    }

    /**
     * Finds a worker.
     *
     * @param id The worker.
     * @returns Its state, or `undefined` if the worker is unknown or gone.
     */
    findWorker(id: WorkerId): WorkerState | undefined {
        return this.#workers.get(id);
    }

    /**
     * Adds a worker or updates its record.
     *
     * @param record The worker's record.
     * @param now The current monotonic time, in ms.
     * @returns Its state.
     */
    ensureWorker(record: WorkerRecord, now: number): WorkerState {
        const known = this.#workers.get(record.id);
        if (known !== undefined) {
            known.record = record;
            return known;
        }
        const state = this.#createState(record, now);
        this.#workers.set(record.id, state);
        this.recordCapacityGain(state);
        return state;
    }

    /**
     * Replaces the state of a worker that restarted. Its members stay until an answer tells whether
     * the new incarnation has executed their orders, and so does the fencing token, which is raised.
     *
     * @param previous The state of the previous incarnation.
     * @param record The record of the new one.
     * @param now The current monotonic time, in ms.
     * @returns The new state.
     */
    resetWorker(previous: WorkerState, record: WorkerRecord, now: number): WorkerState {
        const state = this.#createState(record, now);
        state.inheritedLeaseEndsAtMs = Math.max(
            previous.inheritedLeaseEndsAtMs,
            this.computeLatestLeaseEnd(previous.leaseSentAtMs),
        );
        state.isSuspect = true;
        state.isReportMissing = true;
        state.pendingHeartbeat = previous.pendingHeartbeat;
        Object.assign(state.reserved, previous.reserved);
        previous.members.forEach((member, name) => state.members.set(name, member));
        this.removeWorker(record.id);
        this.#workers.set(record.id, state);
        this.recordCapacityGain(state);
        this.advanceFence(state);
        return state;
    }

    #createState(record: WorkerRecord, now: number): WorkerState {
        return {
            record,
            clock: new WorkerClock(),
            speed: new WorkerSpeed(),
            fence: this.#nextFence,
            leaseEndWorkerMs: Number.NEGATIVE_INFINITY,
            leaseSentAtMs: Number.NEGATIVE_INFINITY,
            inheritedLeaseEndsAtMs: now,
            reserved: { cpu: 0, memoryMb: 0, gpu: 0 },
            members: new Map(),
            readCursor: 0,
            committedCursor: 0,
            acknowledgedCursor: 0,
            lastContactAtMs: Number.NEGATIVE_INFINITY,
            lastReport: { arrivedAtMs: Number.NEGATIVE_INFINITY, clockMs: undefined },
            unconfirmedCapacity: undefined,
            pendingHeartbeat: undefined,
            isReportMissing: false,
            mayHaveRestarted: false,
            callUnansweredAtMs: Number.NEGATIVE_INFINITY,
            pendingPolls: { waiting: undefined, immediate: undefined },
            pollAnsweredAtMs: Number.NEGATIVE_INFINITY,
            extraPollAtMs: Number.NEGATIVE_INFINITY,
            isSuspect: false,
            pausedUntilMs: Number.NEGATIVE_INFINITY,
            consecutiveFailures: 0,
            lastFailedUnit: "",
            lastFailureAtMs: Number.NEGATIVE_INFINITY,
            recoveryIntervalStartedAtMs: undefined,
            lastSequence: -1,
            leavesAtMs: undefined,
            capacityVersion: 0,
        };
    }

    /**
     * Removes a worker that is gone.
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
     * Returns whether a worker's reported capacity is recent enough to place work on.
     *
     * @param worker The worker.
     * @param now The current monotonic time, in ms.
     * @returns False without a recent heartbeat, since the capacity may have shrunk.
     */
    hasFreshReport(worker: WorkerState, now: number): boolean {
        return computeReportAgeMs(worker, now) < this.#options.maxReportAgeMs;
    }

    /**
     * Records a worker crash.
     *
     * @param address The worker's address.
     * @param now The current monotonic time, in ms.
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
     * Returns whether a worker at an address crashed recently, so that its successor may crash as
     * well.
     *
     * @param address The address.
     * @param now The current monotonic time, in ms.
     * @returns True for a limited time after a crash.
     */
    hasRecentCrash(address: string, now: number): boolean {
        return now - (this.#crashTimes.get(address) ?? Number.NEGATIVE_INFINITY) < RECENT_CRASH_MS;
    }

    /**
     * Records that a worker gained capacity or became usable.
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
     * Lists the workers that gained capacity or became usable since a version.
     *
     * @param version The version.
     * @returns The workers, newest change first.
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

    /** Caches the list until the next change; many steps read it in one placement round. */
    #listNewestFirst(): readonly WorkerState[] {
        this.#newestFirst ??= [...this.#byCapacityGain].reverse();
        return this.#newestFirst;
    }

    /**
     * Raises a worker's fencing token. Once the worker has seen the new token, it refuses all
     * earlier orders that are still in flight.
     *
     * @param worker The worker.
     */
    advanceFence(worker: WorkerState): void {
        this.#nextFence += 1;
        worker.fence = this.#nextFence;
    }

    /**
     * Adds a member to its worker and reserves its resources.
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
        this.#options.quotaLedger.addReservation(member.workspace, member.demand);
        worker.reserved.cpu += member.reserved.cpu;
        worker.reserved.memoryMb += member.reserved.memoryMb;
        worker.reserved.gpu += member.reserved.gpu;
    }

    /**
     * Removes a member that has ended and releases its resources.
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
        this.#options.quotaLedger.removeReservation(member.workspace, member.demand);
        worker.reserved.cpu -= member.reserved.cpu;
        worker.reserved.memoryMb -= member.reserved.memoryMb;
        worker.reserved.gpu -= member.reserved.gpu;
    }

    /**
     * Grants a new lease with an order that is about to be sent.
     *
     * @param worker The worker.
     * @param now The current monotonic time, in ms.
     * @returns The lease's end in whole ms of the worker's clock, or `undefined` if that clock is
     * unknown.
     */
    grantLease(worker: WorkerState, now: number): number | undefined {
        const workerClockMs = worker.clock.computeEarliest(now);
        if (workerClockMs === undefined) {
            return undefined;
        }
        const leaseEndMs = Math.floor(workerClockMs + this.#options.leaseMs);
        worker.leaseEndWorkerMs = Math.max(worker.leaseEndWorkerMs, leaseEndMs);
        this.recordLeaseSent(worker, now);
        return leaseEndMs;
    }

    /**
     * Records that an order with a lease was sent.
     *
     * @param worker The worker.
     * @param sentAtMs When it was sent, in ms.
     */
    recordLeaseSent(worker: WorkerState, sentAtMs: number): void {
        worker.leaseSentAtMs = Math.max(worker.leaseSentAtMs, sentAtMs);
    }

    /**
     * Records that an order with a lease was given up. If the worker is known to have restarted
     * meanwhile, the order may still extend the leases of the new incarnation.
     *
     * @param worker The worker.
     * @param incarnation The incarnation that the order was meant for.
     * @param now The current monotonic time, in ms.
     */
    recordLeaseGivenUp(
        worker: WorkerState,
        incarnation: Incarnation | undefined,
        now: number,
    ): void {
        this.recordLeaseSent(worker, now);
        if (incarnation !== worker.record.incarnation) {
            worker.inheritedLeaseEndsAtMs = Math.max(
                worker.inheritedLeaseEndsAtMs,
                this.computeLatestLeaseEnd(now),
            );
        }
    }

    /**
     * Computes when a lease ends at the latest, whichever incarnation of its worker executes the call
     * that grants it: on the clock of another one, the lease may last as long as the worker allows.
     *
     * @param givenUpAtMs When the call was given up, or sent if it was answered, in ms.
     * @returns The end, in ms of the leader's clock.
     */
    computeLatestLeaseEnd(givenUpAtMs: number): number {
        const { maxCallDelayMs, maxLeaseMs } = this.#options;
        return givenUpAtMs + maxCallDelayMs + maxLeaseMs * SLOWEST_CLOCK_FACTOR;
    }

    /**
     * Returns whether every lease of a worker's known incarnation has expired, assuming the slowest
     * allowed clock.
     *
     * @param worker The worker.
     * @param now The current monotonic time, in ms.
     * @returns True if no task can still run in that incarnation under a lease.
     */
    hasLeaseExpired(worker: WorkerState, now: number): boolean {
        if (now < worker.inheritedLeaseEndsAtMs) {
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
     * Lists the members whose runs have ended for certain on a worker that does not answer. A run
     * that the known incarnation has listed ends with that incarnation's leases. Any other may be in
     * progress in an incarnation that has not answered yet, under a lease from a call's arrival there,
     * and so may a second run of a member that got several start orders.
     *
     * @param worker The worker.
     * @param now The current monotonic time, in ms.
     * @returns The members whose tasks can be started elsewhere.
     */
    listExpiredMembers(worker: WorkerState, now: number): MemberRun[] {
        if (!this.hasLeaseExpired(worker, now)) {
            return [];
        }
        const hasLatestLeaseEnded = now >= this.computeLatestLeaseEnd(worker.leaseSentAtMs);
        const longestLeaseMs = this.#options.maxLeaseMs * SLOWEST_CLOCK_FACTOR;
        return [...worker.members.values()].filter(
            ({ state, isListed, pendingStarts, lateStartUntilMs }) =>
                state !== "planned" &&
                (isListed || hasLatestLeaseEnded) &&
                pendingStarts === 0 &&
                now >= lateStartUntilMs + longestLeaseMs,
        );
    }

    /**
     * Records that a worker answered. Its clock is taken from heartbeats and polls only, since
     * answers to orders do not tell which incarnation sent them.
     *
     * @param worker The worker.
     * @param now The current monotonic time, in ms.
     */
    recordAnswer(worker: WorkerState, now: number): void {
        worker.lastContactAtMs = now;
        worker.isSuspect = false;
    }

    /**
     * Records that a worker's known incarnation answered a poll.
     *
     * @param worker The worker.
     * @param clockMs The worker's clock, in ms.
     * @param sentAtMs When the poll was sent, in ms.
     * @param now The current monotonic time, in ms.
     */
    recordPollAnswer(worker: WorkerState, clockMs: number, sentAtMs: number, now: number): void {
        this.recordAnswer(worker, now);
        worker.clock.record(clockMs, now);
        worker.pollAnsweredAtMs = now;
        // An answer may have been delayed since before the worker left the other call unanswered.
        if (sentAtMs > worker.callUnansweredAtMs) {
            worker.mayHaveRestarted = false;
        }
    }

    /**
     * Records that a worker left a call unanswered.
     *
     * @param worker The worker.
     * @param now The current monotonic time, in ms.
     */
    recordUnansweredCall(worker: WorkerState, now: number): void {
        worker.mayHaveRestarted = true;
        worker.callUnansweredAtMs = now;
    }

    /**
     * Resets a worker's failure count after a successful task.
     *
     * @param worker The worker.
     */
    recordSuccess(worker: WorkerState): void {
        worker.consecutiveFailures = 0;
        worker.lastFailedUnit = "";
        worker.lastFailureAtMs = Number.NEGATIVE_INFINITY;
    }

    /**
     * Records a task failure. A worker that fails every task looks idle and would attract new work,
     * so it is quarantined with exponential backoff once different units fail in a row. Units of
     * the same job count as different; otherwise a wide step could use up a task's attempts on one
     * worker.
     *
     * @param worker The worker.
     * @param unit Key of the task's unit.
     * @param now The current monotonic time, in ms.
     */
    recordFailure(worker: WorkerState, unit: string, now: number): void {
        worker.lastFailureAtMs = now;
        if (worker.lastFailedUnit === unit) {
            return;
        }
        worker.lastFailedUnit = unit;
        worker.consecutiveFailures += 1;
        const excess = worker.consecutiveFailures - QUARANTINE_THRESHOLD;
        if (excess >= 0) {
            const pauseMs = Math.min(MAX_QUARANTINE_MS, MIN_QUARANTINE_MS * 2 ** excess);
            worker.pausedUntilMs = Math.max(worker.pausedUntilMs, now + pauseMs);
        }
    }

    /**
     * Returns whether a worker failed a task recently and has not succeeded since.
     *
     * @param worker The worker.
     * @param now The current monotonic time, in ms.
     * @returns True for a limited time after a failure.
     */
    hasRecentFailure(worker: WorkerState, now: number): boolean {
        return now - worker.lastFailureAtMs < RECENT_FAILURE_MS;
    }

    /**
     * Pauses a worker that refused an order because it is unhealthy or lacks capacity. Otherwise it
     * would look idle and keep attracting starts.
     *
     * @param worker The worker.
     * @param now The current monotonic time, in ms.
     */
    recordRefusal(worker: WorkerState, now: number): void {
        worker.pausedUntilMs = Math.max(worker.pausedUntilMs, now + REFUSAL_BACKOFF_MS);
    }

    /**
     * Returns whether a worker may get new work.
     *
     * @param worker The worker.
     * @param now The current monotonic time, in ms.
     * @returns False if the worker is draining, suspect, silent or paused, may have restarted, its
     * report is too old, or its clock is unknown.
     */
    isUsable(worker: WorkerState, now: number): boolean {
        return (
            !worker.record.isDraining &&
            !worker.isSuspect &&
            worker.pendingHeartbeat === undefined &&
            now >= worker.pausedUntilMs &&
            now - worker.lastContactAtMs < CONTACT_TIMEOUT_MS &&
            this.hasFreshReport(worker, now) &&
            worker.clock.computeEarliest(now) !== undefined
        );
    }
}

/**
 * Returns whether a start order of a member may still be executed.
 *
 * @param member The member.
 * @param now The current monotonic time, in ms.
 * @returns True while an order awaits its answer, and for some time after one got none.
 */
export function isStartPending(member: MemberRun, now: number): boolean {
    return member.pendingStarts > 0 || now < member.lateStartUntilMs;
}

/**
 * Computes the age of a worker's newest heartbeat. Prefers the worker's clock to the arrival time,
 * since the heartbeat may have been delayed or received by an earlier leader.
 *
 * @param worker The worker.
 * @param now The current monotonic time, in ms.
 * @returns The minimum age, in ms.
 */
function computeReportAgeMs({ lastReport: report, clock }: WorkerState, now: number): number {
    const clockMs = clock.computeEarliest(now);
    return clockMs === undefined || report.clockMs === undefined
        ? now - report.arrivedAtMs
        : clockMs - report.clockMs;
}

/**
 * Computes a worker's free resources.
 *
 * @param worker The worker.
 * @returns Its capacity minus what its members reserve.
 */
export function getFreeResources(worker: WorkerState): Resources {
    return computeDifference(worker.record.capacity, worker.reserved);
}

/**
 * Computes what is left of resources.
 *
 * @param from The resources.
 * @param taken What is taken from them.
 * @returns The difference, below 0 where more is taken.
 */
export function computeDifference(from: Resources, taken: Resources): Resources {
    return {
        cpu: from.cpu - taken.cpu,
        memoryMb: from.memoryMb - taken.memoryMb,
        gpu: from.gpu - taken.gpu,
    };
}

/**
 * Computes what several tasks need together.
 *
 * @param needs The needs of each task.
 * @param count The number of tasks.
 * @returns The needs of all of them.
 */
export function computeTotalNeeds(needs: Resources, count: number): Resources {
    return { cpu: count * needs.cpu, memoryMb: count * needs.memoryMb, gpu: count * needs.gpu };
}

/**
 * Returns whether a request fits into the free resources.
 *
 * @param free The free resources.
 * @param needs The requested resources.
 * @returns True if there is enough of each resource.
 */
export function hasResourcesFor(free: Resources, needs: Resources): boolean {
    return free.cpu >= needs.cpu && free.memoryMb >= needs.memoryMb && free.gpu >= needs.gpu;
}
