/**
 * Places waiting units on workers and requests admission from the advice service for queues with an
 * advice policy.
 *
 * @example
 * ```ts
 * import { StepPlacer } from "./_placer.ts";
 * const placer = new StepPlacer(context, attempts);
 * placer.placeWaiting();
 * ```
 *
 * @module
 */

import type { PoolName, QueueConfig } from "../configuration/mod.ts";
import type { WorkerId } from "../job/mod.ts";
import { QuotaRound } from "../workspace/mod.ts";
import { computeReservedResources, type Attempts } from "./_attempts.ts";
import { computeUnitDemand } from "./admission.ts";
import { planAdvice, type AdviceCandidate } from "./advice_plan.ts";
import { listCandidates, takeCapacity, type StepCandidates } from "./_candidates.ts";
import type { DispatchContext } from "./_context.ts";
import { GangReservations, type RankedStep } from "./_gang_reservations.ts";
import { CrashIsolation } from "./_crash_isolation.ts";
import { countFittingTasks, placeUnit, type Candidate } from "./placement.ts";
import {
    computeCriticalPathMs,
    computeDueAtMs,
    computeLatencyObjectiveMs,
    isBehindEntitled,
    isEntitledOnTime,
} from "./ranking.ts";
import { selectForRetry } from "./retry_placement.ts";
import { createUnitRef, type ReadyStep } from "./ready_steps.ts";
import { computeRequiredSpeed, computeSpeedPreference } from "./speed_preference.ts";
import { rankWaitingStep } from "./_step_rank.ts";
import type { Admission, AdviceCall } from "./types.ts";
import type { WorkerState } from "./worker_registry.ts";
import { rankZones } from "./zone_ranking.ts";

/**
 * Time before its expiry from which a ticket is no longer used, in ms; covers the commit and the
 * start order.
 */
const TICKET_EXPIRY_MARGIN_MS = 150;
/** Backoff after an answer that admits no worker, in ms. */
const NO_ADMISSION_BACKOFF_MS = 500;
/**
 * Longest time between two matches of a waiting step with all workers, in ms; needed because
 * tickets expire without an event. In between, the step is matched only with workers whose capacity
 * changed.
 */
const FULL_MATCH_INTERVAL_MS = 1_000;
/**
 * Time between two matches of a waiting gang with all workers, in ms; a fifth of the wait that the
 * shortest latency objective allows. A gang needs capacity on many workers at once, so changed
 * workers alone aren't enough.
 */
const GANG_MATCH_INTERVAL_MS = 50;
/**
 * Gangs at the head of the order that are matched at {@link GANG_MATCH_INTERVAL_MS}; more than find
 * capacity within a second.
 */
const MAX_FREQUENT_GANGS = 8;
/** Time between two matches of the gangs behind them, in ms; limits the cost of a backlog. */
const BACKLOG_GANG_MATCH_INTERVAL_MS = 250;
/**
 * Time between two matches with all workers of a step that has become exempt from reservations, in
 * ms. The workers that it may use since then have not gained capacity.
 */
const EXEMPT_MATCH_INTERVAL_MS = 250;

/**
 * Tasks that one run starts at most, beside the rest of the last gang. The others follow in the next
 * run: each takes a part of the entry that is committed, and of this turn of the event loop.
 */
const MAX_STARTS_PER_RUN = 500;

/** The workers that a step is matched with: none, those whose capacity changed, or all. */
type MatchScope = "none" | "changed" | "all";

/** The workers that a step may be placed on, beside those reserved for gangs. */
interface HeldStepCandidates extends StepCandidates {
    /** Whether other workers are reserved for gangs. */
    readonly isHeld: boolean;
}

/** Places the waiting steps of one leader. */
export class StepPlacer {
    readonly #context: DispatchContext;
    readonly #attempts: Attempts;
    readonly #gangReservations: GangReservations;
    readonly #isolation: CrashIsolation;
    #nextCallId = 1;
    #startsLeft = MAX_STARTS_PER_RUN;

    /**
     * @param context The shared state of the dispatcher.
     * @param attempts The running attempts.
     */
    constructor(context: DispatchContext, attempts: Attempts) {
        this.#context = context;
        this.#attempts = attempts;
        this.#gangReservations = new GangReservations(context, attempts);
        this.#isolation = new CrashIsolation(context);
    }

    /** Places waiting units if anything changed since the last call. */
    placeWaiting(): void {
        if (!this.#context.isDirty) {
            return;
        }
        this.#context.isDirty = false;
        const now = this.#context.clock.getNow();
        const ranked = this.#rankWaiting();
        this.#isolation.update(now);
        this.#gangReservations.setReservingGangs(ranked);
        const quotaRound = new QuotaRound(this.#context.quotaLedger);
        const heldPools = new Set<PoolName>();
        let gangCount = 0;
        this.#startsLeft = MAX_STARTS_PER_RUN;
        for (const entry of ranked) {
            if (this.#startsLeft <= 0) {
                this.#context.isDirty = true;
                break;
            }
            const { job, spec } = entry.step;
            const isHeld = heldPools.has(entry.queue.pool) && isBehindEntitled(entry.rank);
            if (isHeld && !this.#gangReservations.isExempt(entry, now)) {
                this.#gangReservations.recordHeld(entry.step, true, now);
                continue;
            }
            if (!quotaRound.hasTurn(job.workspace, computeUnitDemand(spec))) {
                this.#recordQuotaWait(entry);
                continue;
            }
            gangCount += entry.step.spec.isGang ? 1 : 0;
            const scope = this.#selectMatchScope(entry, gangCount, now);
            // The step may have been closed with its job in this run.
            if (
                scope !== "none" &&
                this.#context.readySteps.findStep(entry.step.key) !== undefined
            ) {
                this.#context.runGuarded(job, () => this.#placeStep(entry, scope, now));
            }
            if (this.#isHoldingPool(entry, now)) {
                heldPools.add(entry.queue.pool);
            }
        }
        for (const { front, call } of this.#context.adviceScheduler.startCalls(now)) {
            this.#context.emit({ type: "advise", front, call });
        }
    }

    /**
     * Returns whether borrowed and expired steps of the pool wait for a step: an entitled gang that
     * can be on time and waits for capacity. Otherwise their tasks would use up each bit of
     * capacity before there is enough for the gang.
     */
    #isHoldingPool({ step, queue, rank }: RankedStep, now: number): boolean {
        return (
            this.#context.admission === "forecast" &&
            step.spec.isGang &&
            step.waiting.size > 0 &&
            isEntitledOnTime(rank) &&
            now >= step.pausedUntilMs &&
            !isAwaitingAdvice(step, queue)
        );
    }

    /** Keeps a step that waits for quota from holding workers or asking for advice. */
    #recordQuotaWait({ step }: RankedStep): void {
        this.#gangReservations.releaseReservation(step);
        step.matchedVersion = undefined;
        if (!step.hasWaitedForQuota) {
            step.hasWaitedForQuota = true;
            this.#context.recordDecision("decision", "step waits for quota", {
                request: step.job.id,
                step: step.key,
                workspace: step.job.workspace,
            });
        }
    }

    #rankWaiting(): RankedStep[] {
        const wallTimeMs = this.#context.clock.getWallTimeMs();
        const ranked: RankedStep[] = [];
        for (const step of this.#context.readySteps.steps) {
            if (step.waiting.size > 0) {
                this.#context.runGuarded(step.job, () => {
                    const queue = this.#context.getQueueOf(step.job);
                    const rank = rankWaitingStep(this.#context, { step, queue, wallTimeMs });
                    ranked.push({ step, queue, rank });
                });
            }
        }
        return ranked.sort((a, b) => a.rank - b.rank);
    }

    /**
     * Selects the workers that a step is matched with. Matching every waiting step with every
     * worker at each task end would saturate the leader, so steps are matched with workers that
     * gained capacity.
     */
    #selectMatchScope(entry: RankedStep, gangPosition: number, now: number): MatchScope {
        const { step, queue } = entry;
        if (now < step.pausedUntilMs) {
            return "none";
        }
        if (isAwaitingAdvice(step, queue)) {
            return "none";
        }
        if (step.matchedVersion === undefined) {
            return "all";
        }
        const sinceFullMatchMs = now - step.matchedAllAtMs;
        if (
            step.hasCrashes &&
            sinceFullMatchMs >= GANG_MATCH_INTERVAL_MS &&
            this.#isolation.listSuspectUnits(step).length > 0
        ) {
            return "all";
        }
        if (step.spec.isGang) {
            const intervalMs =
                gangPosition <= MAX_FREQUENT_GANGS
                    ? GANG_MATCH_INTERVAL_MS
                    : BACKLOG_GANG_MATCH_INTERVAL_MS;
            return sinceFullMatchMs >= intervalMs ? "all" : "none";
        }
        if (
            sinceFullMatchMs >= FULL_MATCH_INTERVAL_MS ||
            (sinceFullMatchMs >= EXEMPT_MATCH_INTERVAL_MS &&
                this.#gangReservations.isExempt(entry, now))
        ) {
            return "all";
        }
        return step.matchedVersion === this.#context.registry.capacityVersion ? "none" : "changed";
    }

    #placeStep(entry: RankedStep, scope: MatchScope, now: number): void {
        const { step } = entry;
        const { registry } = this.#context;
        const workers =
            scope === "all"
                ? registry.workers
                : registry.listChangedSince(step.matchedVersion ?? 0);
        step.matchedVersion = registry.capacityVersion;
        if (scope === "all") {
            step.matchedAllAtMs = now;
        }
        const candidates = this.#listCandidates(entry, workers, now);
        const requiredSpeed = this.#computeRequiredSpeed(entry);
        const hasPlaced = this.#placeUnits(step, candidates, requiredSpeed, now);
        if (hasPlaced || candidates.isHeld || scope === "all") {
            this.#gangReservations.recordHeld(step, candidates.isHeld && !hasPlaced, now);
        }
        if (scope === "all") {
            this.#gangReservations.updateReservation(entry, candidates, now);
        }
        if (!this.#hasQuota(step)) {
            return;
        }
        if (!hasPlaced || step.waiting.size > 0) {
            this.#ensureAdvice(entry, scope, candidates, requiredSpeed, now);
        }
    }

    /**
     * Computes the speed that a step requires; `undefined` if its pool's workers are not known to be
     * unequal, or if its tasks run until they are stopped.
     */
    #computeRequiredSpeed({ step, queue }: RankedStep): number | undefined {
        const { durationModel, clock } = this.#context;
        if (step.spec.isPerpetual || !durationModel.hasUnequalWorkers(queue.pool)) {
            return undefined;
        }
        const { spec } = step.job;
        return computeRequiredSpeed({
            chainMs: computeCriticalPathMs(spec, step.step),
            durationRatio: durationModel.getQueueRatio(queue.name).p80,
            objectiveMs: computeLatencyObjectiveMs(spec, queue),
            elapsedMs: clock.getWallTimeMs() - computeDueAtMs(step),
        });
    }

    #placeUnits(
        step: ReadyStep,
        candidates: StepCandidates,
        requiredSpeed: number | undefined,
        now: number,
    ): boolean {
        const suspects = this.#isolation.listSuspectUnits(step);
        const { retries, firstAttempts } = this.#listByFailures(step, suspects);
        const hasPlacedSuspects = this.#placeSuspectUnits(step, suspects, candidates, now);
        const available = this.#isolation.selectAvailable(candidates.admitted);
        const retryCandidates = selectForRetry(available, now - step.lastFailureAtMs);
        const hasPlacedRetries = this.#placeEach(step, retries, retryCandidates, requiredSpeed);
        const hasPlacedFirstAttempts = this.#placeEach(
            step,
            firstAttempts,
            available,
            requiredSpeed,
        );
        return hasPlacedSuspects || hasPlacedRetries || hasPlacedFirstAttempts;
    }

    #placeSuspectUnits(
        step: ReadyStep,
        suspects: readonly number[],
        candidates: StepCandidates,
        now: number,
    ): boolean {
        let hasPlaced = false;
        for (const unit of suspects) {
            if (!this.#hasQuota(step)) {
                break;
            }
            const chosen = this.#isolation.selectWorkers(step, unit, candidates, now);
            if (chosen !== undefined) {
                hasPlaced = true;
                this.#startAttempt(step, unit, chosen);
            }
        }
        return hasPlaced;
    }

    /** Separates units that failed before from first attempts; the former are placed first. */
    #listByFailures(
        step: ReadyStep,
        suspects: readonly number[],
    ): { retries: Iterable<number>; firstAttempts: Iterable<number> } {
        if (step.failedWorkers.size === 0 && suspects.length === 0) {
            // Not copied: a run starts few of the units of a wide step.
            return { retries: [], firstAttempts: step.waiting };
        }
        const suspectUnits = new Set(suspects);
        const units = [...step.waiting].filter((unit) => !suspectUnits.has(unit));
        const hasFailed = (unit: number): boolean =>
            (this.#context.stateStore.findUnit(createUnitRef(step, unit))?.failures ?? 0) > 0;
        return {
            retries: units.filter((unit) => hasFailed(unit)),
            firstAttempts: units.filter((unit) => !hasFailed(unit)),
        };
    }

    #placeEach(
        step: ReadyStep,
        units: Iterable<number>,
        candidates: readonly Candidate[],
        requiredSpeed: number | undefined,
    ): boolean {
        const needs = computeReservedResources(step.spec);
        const count = step.spec.isGang ? step.spec.count : 1;
        const { maxPerWorker, isRackLocal, isPerpetual } = step.spec;
        const tasksByZone = this.#countTasksByZone(step);
        let hasPlaced = false;
        for (const unit of units) {
            if (this.#startsLeft <= 0) {
                step.matchedVersion = undefined;
                break;
            }
            if (!this.#hasQuota(step)) {
                break;
            }
            const zoneRanks = rankZones(candidates, { tasksByZone, isSpread: isPerpetual });
            const chosen = placeUnit({
                needs,
                count,
                candidates,
                maxPerWorker,
                isRackLocal,
                zoneRanks,
                requiredSpeed,
            });
            if (chosen === undefined) {
                break;
            }
            hasPlaced = true;
            this.#startAttempt(step, unit, chosen);
            takeCapacity(candidates, chosen, needs);
            chosen.forEach((id) => this.#addTaskToZone(tasksByZone, id));
        }
        return hasPlaced;
    }

    #hasQuota({ job, spec }: ReadyStep): boolean {
        return this.#context.quotaLedger.hasQuotaFor(job.workspace, computeUnitDemand(spec));
    }

    /** Counts the running tasks of a step by zone. */
    #countTasksByZone(step: ReadyStep): Map<string, number> {
        const counts = new Map<string, number>();
        const units = step.job.occurrences.get(step.occurrence)?.steps[step.step] ?? [];
        for (const { members } of units) {
            members.forEach((worker) => this.#addTaskToZone(counts, worker));
        }
        return counts;
    }

    #addTaskToZone(counts: Map<string, number>, id: WorkerId): void {
        const zone = this.#context.registry.findWorker(id)?.record.zone;
        if (zone !== undefined) {
            counts.set(zone, (counts.get(zone) ?? 0) + 1);
        }
    }

    #listCandidates(
        entry: RankedStep,
        workers: Iterable<WorkerState>,
        now: number,
    ): HeldStepCandidates {
        const { step, queue } = entry;
        const isExempt = this.#gangReservations.isExempt(entry, now);
        let isHeld = false;
        const isUnavailable = (id: WorkerId): boolean => {
            const isReserved = this.#gangReservations.isReserved(id, entry, now);
            isHeld ||= isReserved;
            return this.#isolation.isBlocked(id, step) || (isReserved && !isExempt);
        };
        const candidates = listCandidates(this.#context, {
            step,
            queue,
            workers,
            isUnavailable,
            now,
        });
        return { ...candidates, isHeld };
    }

    #startAttempt(step: ReadyStep, unitNumber: number, workers: readonly WorkerId[]): void {
        const ref = createUnitRef(step, unitNumber);
        const attempt = (this.#context.stateStore.findUnit(ref)?.attempt ?? 0) + 1;
        const members = workers.map(
            (worker, i) => [step.spec.isGang ? i : unitNumber, worker] as const,
        );
        this.#context.recordFact({ type: "attemptStarted", unit: ref, attempt, members });
        step.waiting.delete(unitNumber);
        this.#startsLeft -= members.length;
        for (const [index, worker] of members) {
            const ticket = step.advice.admitted.get(worker)?.ticket;
            const member = this.#attempts.createMember(step.job, ref, index, worker, ticket);
            this.#attempts.addMember(member);
            this.#context.emit({ type: "start", member }, { type: "watch", worker });
        }
        this.#context.recordDecision("decision", "attempt placed", {
            request: ref.job,
            step: step.key,
            unit: unitNumber,
            attempt,
            workers,
            waitedMs: Math.round(this.#context.clock.getWallTimeMs() - step.readyAtMs),
        });
    }

    /** Requests advice on workers that have capacity for a unit but no valid admission. */
    #ensureAdvice(
        entry: RankedStep,
        scope: MatchScope,
        candidates: StepCandidates,
        requiredSpeed: number | undefined,
        now: number,
    ): void {
        const { step, queue, rank } = entry;
        const { advice } = step;
        if (queue.advice === undefined || advice.pendingCalls.size > 0 || now < advice.retryAtMs) {
            return;
        }
        const policy = queue.advice;
        let workerGroups = this.#planAdvice(entry, candidates, requiredSpeed);
        if (workerGroups.length === 0) {
            return;
        }
        if (scope === "changed") {
            // Requests advice on all workers at once: the call costs hardly more than one for the
            // changed workers.
            const allCandidates = this.#listCandidates(entry, this.#context.registry.workers, now);
            workerGroups = this.#planAdvice(entry, allCandidates, requiredSpeed);
        }
        for (const workers of workerGroups) {
            const call: AdviceCall = {
                id: this.#nextCallId++,
                step: step.key,
                queue: queue.name,
                policy,
                workers,
                rank,
            };
            advice.pendingCalls.add(call.id);
            this.#context.adviceScheduler.addCall(call, queue.priority, now);
        }
    }

    /** Plans the advice calls for a step and returns the workers of each call. */
    #planAdvice(
        { step, queue }: RankedStep,
        candidates: StepCandidates,
        requiredSpeed: number | undefined,
    ): WorkerId[][] {
        const { advice: policy } = queue;
        if (policy === undefined) {
            return [];
        }
        const tasks = step.spec.isGang ? step.spec.count : step.waiting.size;
        if (candidates.unqueried.length > 0) {
            const workers = rankAdviceCandidates(step, candidates.unqueried, requiredSpeed);
            const admissionRate = this.#context.admissionRates.get(queue.name);
            return planAdvice({ workers, tasks, admissionRate, policy });
        }
        const suspects = this.#isolation.listSuspectUnits(step);
        if (
            suspects.length === step.waiting.size &&
            hasCapacityForUnit(step, candidates.admitted)
        ) {
            // These units wait for an isolated worker, not for a ticket.
            return [];
        }
        const known = [...candidates.expired, ...candidates.admitted];
        // A gang with reserved workers requests tickets during preemption, so that they are still
        // valid afterwards.
        const isReserving = step.reservedWorkers.size > 0 && candidates.admitted.length === 0;
        if (!isReserving && !hasCapacityForUnit(step, known)) {
            return [];
        }
        return planAdvice({
            workers: rankAdviceCandidates(step, known, requiredSpeed),
            tasks,
            admissionRate: 1,
            policy,
        });
    }

    /**
     * Handles an answer of the advice service.
     *
     * @param call The call.
     * @param admissions The workers that may run the step; `undefined` if the call failed.
     * @param ageMs Upper bound of the answer's age, in ms.
     */
    handleAdvice(
        call: AdviceCall,
        admissions: readonly Admission[] | undefined,
        ageMs: number,
    ): void {
        const now = this.#context.clock.getNow();
        const times = this.#context.adviceScheduler.endCall(call.id, admissions !== undefined, now);
        this.#context.isDirty = true;
        const step = this.#context.readySteps.findStep(call.step);
        if (step === undefined || !step.advice.pendingCalls.delete(call.id)) {
            return;
        }
        step.matchedVersion = undefined;
        if (admissions === undefined) {
            return;
        }
        this.#recordAdmissionRate(step, call, admissions);
        call.workers.forEach((worker) => step.advice.queriedWorkers.add(worker));
        const validUntilMs = now - ageMs + call.policy.validMs - TICKET_EXPIRY_MARGIN_MS;
        for (const { worker, ticket } of admissions) {
            step.advice.admitted.set(worker, { ticket, validUntilMs });
        }
        if (admissions.length === 0 && step.advice.pendingCalls.size === 0) {
            step.advice.retryAtMs = now + NO_ADMISSION_BACKOFF_MS;
        }
        this.#context.recordDecision("decision", "advice received", {
            request: step.job.id,
            step: call.step,
            asked: call.workers.length,
            good: admissions.length,
            ageMs: Math.round(ageMs),
            ...times,
        });
    }

    #recordAdmissionRate(
        step: ReadyStep,
        call: AdviceCall,
        admissions: readonly Admission[],
    ): void {
        const isNew = (worker: WorkerId): boolean => !step.advice.queriedWorkers.has(worker);
        const queriedCount = call.workers.filter((worker) => isNew(worker)).length;
        const admittedCount = admissions.filter(({ worker }) => isNew(worker)).length;
        this.#context.admissionRates.record(call.queue, queriedCount, admittedCount);
    }
}

/** Returns whether a step waits for its first answer of the advice service. */
function isAwaitingAdvice({ advice }: ReadyStep, queue: QueueConfig): boolean {
    return queue.advice !== undefined && advice.pendingCalls.size > 0 && advice.admitted.size === 0;
}

/** Checks whether a unit of the step fits on the candidates, regardless of tickets. */
function hasCapacityForUnit(step: ReadyStep, candidates: readonly Candidate[]): boolean {
    const { count, isGang, maxPerWorker } = step.spec;
    const needs = computeReservedResources(step.spec);
    const request = { needs, count: isGang ? count : 1, candidates, maxPerWorker };
    return placeUnit({ ...request, isRackLocal: false }) !== undefined;
}

/**
 * Ranks the workers by free CPU, descending, and counts the tasks that fit on each. If a speed is
 * required, workers on which a task fits now go first, in the order in which tasks are placed.
 */
function rankAdviceCandidates(
    step: ReadyStep,
    candidates: readonly Candidate[],
    requiredSpeed: number | undefined,
): AdviceCandidate[] {
    const needs = computeReservedResources(step.spec);
    const ranked = candidates.map(({ id, freeCapacity, speed }) => {
        const taskSlots = countFittingTasks(freeCapacity, needs);
        const preference =
            requiredSpeed === undefined ? 0 : computeSpeedPreference(speed, requiredSpeed);
        const isFull = requiredSpeed !== undefined && taskSlots === 0;
        return { id, taskSlots, preference, isFull, cpu: freeCapacity.cpu };
    });
    return ranked.sort(
        (a, b) =>
            Number(a.isFull) - Number(b.isFull) || a.preference - b.preference || b.cpu - a.cpu,
    );
}
