/**
 * Places waiting units on workers, and asks for the advice that some queues need before.
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

import type { QueueConfig } from "../configuration/mod.ts";
import type { Resources, UnitRef, WorkerId } from "../job/mod.ts";
import { computeRoom, type Attempts } from "./_attempts.ts";
import type { DispatchContext } from "./_context.ts";
import { placeUnit, type Candidate } from "./placement.ts";
import { rankStep } from "./ranking.ts";
import { selectHeld, selectVictims } from "./reservation.ts";
import { createStepKey, type StepWork } from "./step_board.ts";
import type { Admission, AdviceCall } from "./types.ts";
import { getFreeRoom, type WorkerState } from "./worker_book.ts";

/** A ticket is not used so shortly before its end: the commit and the order take time, in ms. */
const TICKET_MARGIN_MS = 150;
/** Pause before asking again when nothing new can be learned, in ms. */
const ADVICE_RETRY_MS = 500;
/**
 * Gangs that hold workers at the same time: a third of the floor at most stands ready (a mean gang
 * takes two to six workers of thirty), and the others fill what is left.
 */
const MAX_HOLDERS = 2;
/** Time between two rounds of making way for one gang, in ms: a stop takes up to 0.9 s. */
const CLEAR_EVERY_MS = 1_500;
/** The most workers named in one call (the service's limit). */
const MAX_ADVICE_WORKERS = 100;

interface RankedStep {
    readonly step: StepWork;
    readonly queue: QueueConfig;
    readonly rank: number;
}

interface StepCandidates {
    admitted: Candidate[];
    /** Workers that the advice service was never asked about. */
    readonly unasked: Candidate[];
    /** Good workers whose ticket is over. */
    readonly expired: Candidate[];
}

/** The placements of one leader. */
export class StepPlacer {
    readonly #context: DispatchContext;
    readonly #attempts: Attempts;
    #nextCall = 1;
    #holders: readonly RankedStep[] = [];

    /**
     * @param context What the parts share.
     * @param attempts The attempts under way.
     */
    constructor(context: DispatchContext, attempts: Attempts) {
        this.#context = context;
        this.#attempts = attempts;
    }

    /** Places what waits, if anything changed since the last time. */
    placeWaiting(): void {
        if (!this.#context.isDirty) {
            return;
        }
        this.#context.isDirty = false;
        const now = this.#context.clock.getNow();
        const wall = this.#context.clock.getWall();
        const ranked = this.#context.board
            .listWaiting()
            .map((step) => ({ step, queue: this.#context.findQueue(step.queue) }))
            .filter((entry): entry is Omit<RankedStep, "rank"> => entry.queue !== undefined)
            .map((entry) => ({ ...entry, rank: rankStep(entry.step, entry.queue, wall) }))
            .sort((a, b) => a.rank - b.rank);
        this.#holders = ranked.filter(({ step }) => step.held.size > 0).slice(0, MAX_HOLDERS);
        for (const entry of ranked) {
            if (this.#isWorthTrying(entry.step, entry.queue)) {
                this.#placeStep(entry, now);
                entry.step.triedVersion = this.#context.roomVersion;
            }
        }
        for (const { lane, call } of this.#context.desk.takeCalls(now)) {
            this.#context.emit({ type: "advise", lane, call });
        }
    }

    /** Nothing can be placed before the first advice, or until a worker has got room. */
    #isWorthTrying(step: StepWork, queue: QueueConfig): boolean {
        const awaitsAdvice =
            queue.advice !== undefined &&
            step.advice.callId !== undefined &&
            step.advice.good.size === 0;
        return !awaitsAdvice && step.triedVersion !== this.#context.roomVersion;
    }

    #placeStep(entry: RankedStep, now: number): void {
        const { step, queue } = entry;
        const candidates = this.#listCandidates(entry, now);
        let hasPlaced = false;
        for (const unit of [...step.waiting]) {
            const count = step.spec.isGang ? step.spec.count : 1;
            const chosen = placeUnit({
                needs: computeRoom(step.spec),
                count,
                candidates: candidates.admitted,
                maxPerWorker: step.spec.maxPerWorker,
                isRackLocal: step.spec.isRackLocal,
            });
            if (chosen === undefined) {
                break;
            }
            hasPlaced = true;
            this.#startAttempt(step, unit, chosen);
            candidates.admitted = takeRoom(candidates.admitted, chosen, computeRoom(step.spec));
        }
        this.#updateHold(entry, candidates, now);
        if (!hasPlaced || step.waiting.size > 0) {
            this.#ensureAdvice(step, queue, candidates, now);
        }
    }

    /** A gang that finds no room holds workers and has less urgent tasks make way there. */
    #updateHold(entry: RankedStep, candidates: StepCandidates, now: number): void {
        const { step, queue } = entry;
        if (!step.spec.isGang || step.waiting.size === 0) {
            step.held = new Map();
            return;
        }
        const places = [...candidates.admitted, ...candidates.expired].map(({ id }) => ({
            id,
            attainable: this.#computeAttainable(id, queue.priority),
        }));
        const gang = { needs: computeRoom(step.spec), count: step.spec.count };
        step.held = selectHeld(places, gang);
        const mayClear = now - step.clearedAt >= CLEAR_EVERY_MS;
        if (step.held.size === 0 || !mayClear || this.#holders.length >= MAX_HOLDERS) {
            return;
        }
        step.clearedAt = now;
        for (const [id, count] of step.held) {
            this.#clearWorker(id, count * gang.needs.cpu, entry);
        }
    }

    #clearWorker(id: WorkerId, neededCpu: number, { step, queue }: RankedStep): void {
        const worker = this.#context.book.findWorker(id);
        if (worker === undefined) {
            return;
        }
        const missingCpu = neededCpu - getFreeRoom(worker).cpu;
        const victims = selectVictims(worker.members.values(), missingCpu, queue.priority);
        for (const victim of victims) {
            this.#context.recordDecision("decision", "task makes way", {
                request: victim.unit.job,
                task: victim.name,
                worker: id,
                for: step.key,
            });
            this.#attempts.stopMember(victim);
        }
    }

    /** What a worker has left once work less urgent than a priority has gone. */
    #computeAttainable(id: WorkerId, priority: number): Resources {
        const worker = this.#context.book.findWorker(id);
        if (worker === undefined) {
            return { cpu: 0, memoryMb: 0, gpu: 0 };
        }
        const room = { ...getFreeRoom(worker) };
        for (const member of worker.members.values()) {
            if (member.priority > priority) {
                room.cpu += member.room.cpu;
                room.memoryMb += member.room.memoryMb;
                room.gpu += member.room.gpu;
            }
        }
        return room;
    }

    /** The most urgent queue's tasks are short and go anywhere; others stay off held workers. */
    #isHeld(id: WorkerId, entry: RankedStep): boolean {
        return this.#holders.some(
            (holder) =>
                holder.rank < entry.rank &&
                holder.queue.priority > 0 &&
                entry.queue.priority >= holder.queue.priority &&
                holder.step.held.has(id),
        );
    }

    #listCandidates(entry: RankedStep, now: number): StepCandidates {
        const { step, queue } = entry;
        const result: StepCandidates = { admitted: [], unasked: [], expired: [] };
        const { spec, advice } = step;
        for (const worker of this.#context.book.workers) {
            const { record } = worker;
            if (
                record.pool !== queue.pool ||
                !this.#context.book.isUsable(worker, now) ||
                (spec.requiredLabel !== undefined && !record.labels.includes(spec.requiredLabel))
            ) {
                continue;
            }
            const candidate = this.#createCandidate(step, worker);
            if (this.#isHeld(record.id, entry)) {
                continue;
            }
            if (queue.advice === undefined) {
                result.admitted.push(candidate);
                continue;
            }
            const admission = advice.good.get(record.id);
            if (admission !== undefined) {
                const list = admission.validUntil > now ? result.admitted : result.expired;
                list.push(candidate);
            } else if (!advice.asked.has(record.id)) {
                result.unasked.push(candidate);
            }
        }
        return result;
    }

    #createCandidate(step: StepWork, worker: WorkerState): Candidate {
        let sameStep = 0;
        if (step.spec.maxPerWorker > 0) {
            for (const member of worker.members.values()) {
                sameStep += createStepKey(member.unit) === step.key ? 1 : 0;
            }
        }
        const { preferredRack } = step.spec;
        return {
            id: worker.record.id,
            free: getFreeRoom(worker),
            rack: worker.record.labels[1] ?? "",
            sameStep,
            isNear: preferredRack !== undefined && worker.record.labels.includes(preferredRack),
            slowness:
                worker.speed.computeSlowness(this.#context.clock.getNow()) +
                (step.failedOn.has(worker.record.id) ? 1 : 0),
        };
    }

    #startAttempt(step: StepWork, unitNumber: number, workers: readonly WorkerId[]): void {
        const ref: UnitRef = {
            job: step.job.id,
            occurrence: step.occurrence,
            step: step.step,
            unit: unitNumber,
        };
        const attempt = (this.#context.ledger.findUnit(ref)?.attempt ?? 0) + 1;
        const members = workers.map(
            (worker, i) => [step.spec.isGang ? i : unitNumber, worker] as const,
        );
        this.#context.record({ type: "attemptStarted", unit: ref, attempt, members });
        step.waiting.delete(unitNumber);
        for (const [index, worker] of members) {
            const ticket = step.advice.good.get(worker)?.ticket;
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
            waitedMs: Math.round(this.#context.clock.getWall() - step.readyAt),
        });
    }

    /** Asks about workers that could take a unit now, had they a valid ticket. */
    #ensureAdvice(
        step: StepWork,
        queue: QueueConfig,
        candidates: StepCandidates,
        now: number,
    ): void {
        const { advice } = step;
        if (queue.advice === undefined || advice.callId !== undefined || now < advice.retryAt) {
            return;
        }
        const workers = this.#selectForAdvice(step, candidates);
        if (workers.length === 0) {
            return;
        }
        const call: AdviceCall = {
            id: this.#nextCall++,
            step: step.key,
            queue: queue.name,
            policy: queue.advice,
            workers,
            rank: rankStep(step, queue, this.#context.clock.getWall()),
        };
        advice.callId = call.id;
        this.#context.desk.addCall(call, queue.priority, now);
    }

    #selectForAdvice(step: StepWork, candidates: StepCandidates): WorkerId[] {
        const isFirst = step.advice.asked.size === 0;
        // A gang that holds workers asks while they are cleared, so that its tickets are fresh then.
        const isHolding = step.held.size > 0 && candidates.admitted.length === 0;
        if (!isFirst && !isHolding && candidates.unasked.length === 0) {
            const possible = [...candidates.admitted, ...candidates.expired];
            const fits = placeUnit({
                needs: computeRoom(step.spec),
                count: step.spec.isGang ? step.spec.count : 1,
                candidates: possible,
                maxPerWorker: step.spec.maxPerWorker,
                isRackLocal: false,
            });
            if (fits === undefined) {
                return [];
            }
        }
        return [...candidates.expired, ...candidates.admitted, ...candidates.unasked]
            .sort((a, b) => b.free.cpu - a.free.cpu)
            .slice(0, MAX_ADVICE_WORKERS)
            .map((candidate) => candidate.id);
    }

    /**
     * Takes the advice service's answer.
     *
     * @param call The call.
     * @param admissions The workers that may run the step; `undefined` when there was no answer.
     * @param ageMs How long ago the service gave the answer, at most, in ms.
     */
    handleAdvice(
        call: AdviceCall,
        admissions: readonly Admission[] | undefined,
        ageMs: number,
    ): void {
        const now = this.#context.clock.getNow();
        this.#context.desk.endCall(call.id, admissions !== undefined, now);
        this.#context.isDirty = true;
        const step = this.#context.board.findStep(call.step);
        if (step === undefined || step.advice.callId !== call.id) {
            return;
        }
        step.triedVersion = undefined;
        step.advice.callId = undefined;
        if (admissions === undefined) {
            return;
        }
        call.workers.forEach((worker) => step.advice.asked.add(worker));
        const validUntil = now - ageMs + call.policy.validMs - TICKET_MARGIN_MS;
        for (const { worker, ticket } of admissions) {
            step.advice.good.set(worker, { ticket, validUntil });
        }
        if (admissions.length === 0) {
            step.advice.retryAt = now + ADVICE_RETRY_MS;
        }
        this.#context.recordDecision("decision", "advice received", {
            request: step.job.id,
            step: call.step,
            asked: call.workers.length,
            good: admissions.length,
            ageMs: Math.round(ageMs),
        });
    }
}

/** Gives the candidates as they are once a unit was placed on some of them. */
function takeRoom(
    candidates: readonly Candidate[],
    chosen: readonly WorkerId[],
    needs: Resources,
): Candidate[] {
    return candidates.map((candidate) => {
        const count = chosen.filter((id) => id === candidate.id).length;
        if (count === 0) {
            return candidate;
        }
        const { free } = candidate;
        return {
            ...candidate,
            sameStep: candidate.sameStep + count,
            free: {
                cpu: free.cpu - count * needs.cpu,
                memoryMb: free.memoryMb - count * needs.memoryMb,
                gpu: free.gpu - count * needs.gpu,
            },
        };
    });
}
