/**
 * Tracks running attempts and applies what the end of a member means for its gang, unit and job.
 *
 * @example
 * ```ts
 * import { Attempts } from "./_attempts.ts";
 * const attempts = new Attempts(context);
 * attempts.endMember(member, "lost", "");
 * ```
 *
 * @module
 */

import {
    formatTaskName,
    type MemberOutcome,
    type Job,
    type JobId,
    type StepSpec,
    type Resources,
    type UnitRef,
    type WorkerId,
} from "../job/mod.ts";
import { computeIsolationMs, isCrashLoop } from "./crash_loop.ts";
import type { DispatchContext } from "./_context.ts";
import { createUnitKey } from "./ready_steps.ts";
import type { MemberRun } from "./types.ts";
import { NO_RESOURCES, type WorkerState } from "./worker_registry.ts";
import { checkStoredSize, computeJobSize, type JobSize } from "./work_limits.ts";

/** Number of unanswered sends of a start after which the worker becomes suspect. */
export const MAX_START_SENDS = 3;
/** Outcomes that are recorded as failures. */
const FAILURE_OUTCOMES: ReadonlySet<MemberOutcome> = new Set([
    "failed",
    "lapsed",
    "broken",
    "alone",
    "lost",
    "void",
]);

/** Outcomes of members that may never have started. */
const UNCERTAIN_OUTCOMES: ReadonlySet<MemberOutcome> = new Set(["lost", "void"]);

/** The attempts tracked by one leader. */
export class Attempts {
    readonly #context: DispatchContext;
    readonly #membersByUnit = new Map<string, Map<number, MemberRun>>();
    /** Open jobs of which a task is known to have started. */
    readonly #begunJobs = new Set<JobId>();

    /**
     * @param context The dispatcher's shared state.
     */
    constructor(context: DispatchContext) {
        this.#context = context;
    }

    /**
     * Restores the state of an earlier leader: recorded attempts may still run, and all other units
     * wait for placement.
     */
    adoptJobs(): void {
        const now = this.#context.clock.getNow();
        this.#context.jobShares.restore();
        for (const job of this.#context.stateStore.jobs.values()) {
            if (job.endedAt === undefined) {
                this.#adoptJob(job);
            }
            for (const [number, occurrence] of job.occurrences) {
                occurrence.steps.forEach((units, step) =>
                    units.forEach((unit, i) => {
                        const ref = { job: job.id, occurrence: number, step, unit: i };
                        for (const [index, worker] of unit.members) {
                            const member = this.createMember(job, ref, index, worker, undefined);
                            member.state = job.endedAt === undefined ? "ordered" : "stopping";
                            member.startSends = MAX_START_SENDS;
                            member.lateStartUntilMs = now + this.#context.limits.maxCallDelayMs;
                            member.isAdopted = true;
                            member.startedAtMs = now;
                            this.addMember(member);
                        }
                    }),
                );
            }
        }
        this.#endOrphanedMembers();
    }

    /**
     * Opens the ready steps of a job. A job that can't be opened is set aside.
     *
     * @param job A job that has not ended.
     * @param size Its size.
     */
    openJob(job: Job, size: JobSize): void {
        this.#context.openWork.addJob(job.id, size);
        this.#context.runGuarded(job, () => this.#context.readySteps.openJob(job));
    }

    /** Opens a job on record. One that no instance can hold, accepted by an earlier release, fails. */
    #adoptJob(job: Job): void {
        this.#context.runGuarded(job, () => {
            const size = job.spec && computeJobSize(job.spec);
            const excess = size && checkStoredSize(size, this.#context.workLimits);
            if (excess !== undefined) {
                this.#recordJobFailure(job, { cause: "size", problem: excess });
            } else if (size !== undefined) {
                this.#recordLostQueue(job);
                this.openJob(job, size);
            }
        });
    }

    #recordLostQueue({ id, queue, pool }: Job): void {
        if (this.#context.findQueue(queue) === undefined) {
            this.#context.recordDecision("failure", "queue lost", { request: id, queue, pool });
        }
    }

    #recordJobFailure({ id }: Job, fields: Readonly<Record<string, unknown>>): void {
        this.#context.recordFact({ type: "jobFailed", job: id });
        this.#context.recordDecision("failure", "job failed", { request: id, ...fields });
    }

    /** Ends members whose workers were removed before the members' ends were recorded. */
    #endOrphanedMembers(): void {
        for (const members of [...this.#membersByUnit.values()]) {
            for (const member of [...members.values()]) {
                if (this.#context.registry.findWorker(member.worker) === undefined) {
                    this.endMember(member, "lost", "");
                }
            }
        }
    }

    /**
     * Creates a planned member that has not been sent to its worker.
     *
     * @param job Its job.
     * @param unit Its unit, whose current attempt it belongs to.
     * @param index Its task's index.
     * @param worker The worker to run on.
     * @param ticket The admission ticket for the worker, if the queue requires one.
     * @returns The member.
     */
    createMember(
        job: Job,
        unit: UnitRef,
        index: number,
        worker: WorkerId,
        ticket: string | undefined,
    ): MemberRun {
        const spec = job.spec?.steps[unit.step];
        const now = this.#context.clock.getNow();
        return {
            unit,
            index,
            name: formatTaskName({ ...unit, index }),
            attempt: this.#context.stateStore.findUnit(unit)?.attempt ?? 0,
            worker,
            incarnation: undefined,
            reserved: computeReservedResources(spec),
            workspace: job.workspace,
            demand: spec?.needs ?? NO_RESOURCES,
            priority: this.#context.jobShares.computePreemptionPriority(
                job.id,
                this.#context.getQueueOf(job).priority,
            ),
            state: "planned",
            startSends: 0,
            fence: 0,
            startResolvedAtMs: undefined,
            startedAtMs: now,
            acceptedAtMs: undefined,
            isListed: false,
            pendingStarts: 0,
            lateStartUntilMs: Number.NEGATIVE_INFINITY,
            observedRunMs: 0,
            isolationMs: computeIsolationMs(this.#context.stateStore.findUnit(unit)?.crashes ?? []),
            progressPercent: 0,
            progressAtMs: now,
            estimateMs: spec?.estimateMs ?? 0,
            isMovable: spec !== undefined && isMovable(spec),
            isPerpetual: spec?.isPerpetual ?? false,
            isFiller: spec?.isFiller ?? false,
            targetMs: spec?.targetMs ?? 0,
            load: 0,
            // Unknown after a failover: an earlier leader may have sent a pace.
            pacePercent: undefined,
            stopSentAtMs: Number.NEGATIVE_INFINITY,
            isStopQueued: false,
            ticket,
            isAdopted: false,
        };
    }

    /**
     * Adds a member and reserves its resources.
     *
     * @param member The member.
     */
    addMember(member: MemberRun): void {
        const key = createUnitKey(member.unit);
        const members = this.#membersByUnit.get(key) ?? new Map<number, MemberRun>();
        members.set(member.index, member);
        this.#membersByUnit.set(key, members);
        this.#context.registry.addMember(member);
    }

    /**
     * Records that a worker has confirmed a member's start.
     *
     * @param member The member.
     */
    recordBegin({ unit }: MemberRun): void {
        if (this.#context.stateStore.jobs.get(unit.job)?.endedAt === undefined) {
            this.#begunJobs.add(unit.job);
        }
    }

    /**
     * Returns whether any task of a job is known to have started.
     *
     * @param job The job.
     * @returns False also right after a change of leader, until the workers were polled.
     */
    hasBegun(job: Job): boolean {
        if (job.state === "queued") {
            return false;
        }
        return (
            this.#begunJobs.has(job.id) ||
            [...job.occurrences.values()].some(({ steps }) =>
                steps.some((units) => units.some((unit) => unit.isDone || unit.failures > 0)),
            )
        );
    }

    /**
     * Finds the worker of a member that has not ended.
     *
     * @param member The member.
     * @returns The worker, or `undefined` if the member has ended.
     */
    findMemberWorker(member: MemberRun): WorkerState | undefined {
        const worker = this.#context.registry.findWorker(member.worker);
        return worker?.members.get(member.name) === member ? worker : undefined;
    }

    /**
     * Ends a member. After the last member of an attempt, the unit is done, waits for a retry, or
     * fails its job.
     *
     * @param member The member.
     * @param outcome How it ended.
     * @param checkpoint Its newest checkpoint; empty if there is none.
     */
    endMember(member: MemberRun, outcome: MemberOutcome, checkpoint: string): void {
        if (this.findMemberWorker(member) === undefined && outcome !== "lost") {
            return;
        }
        const { unit: ref } = member;
        if (!UNCERTAIN_OUTCOMES.has(outcome)) {
            this.recordBegin(member);
        }
        this.#context.registry.removeMember(member);
        const members = this.#membersByUnit.get(createUnitKey(ref));
        members?.delete(member.index);
        this.#context.recordFact({
            type: "memberEnded",
            unit: ref,
            attempt: member.attempt,
            index: member.index,
            how: outcome,
            checkpoint,
        });
        this.#context.recordDecision(
            FAILURE_OUTCOMES.has(outcome) ? "failure" : "decision",
            "task ended",
            {
                request: ref.job,
                task: member.name,
                attempt: member.attempt,
                worker: member.worker,
                how: outcome,
                tookMs: Math.round(this.#context.clock.getNow() - member.startedAtMs),
                lastedMs: outcome === "lost" ? Math.round(member.observedRunMs) : undefined,
                adopted: member.isAdopted || undefined,
            },
        );
        this.#context.recordFreedCapacity(this.#context.registry.findWorker(member.worker));
        if (members !== undefined && members.size > 0) {
            if (outcome !== "done") {
                // A gang cannot continue without one of its members.
                this.stopGangOf(member);
            }
            return;
        }
        this.#membersByUnit.delete(createUnitKey(ref));
        this.#handleAttemptEnd(ref);
    }

    #handleAttemptEnd(ref: UnitRef): void {
        const job = this.#context.stateStore.jobs.get(ref.job);
        if (job === undefined) {
            return;
        }
        if (job.endedAt !== undefined) {
            if (job.state === "complete") {
                this.#context.recordDecision("decision", "job complete", { request: job.id });
            }
            this.closeJob(job);
            return;
        }
        const unit = this.#context.stateStore.findUnit(ref);
        if (unit?.isDone === true) {
            this.#context.runGuarded(job, () =>
                this.#context.removeAdviceCalls(this.#context.readySteps.handleUnitDone(ref)),
            );
            return;
        }
        if (!this.endJobIfUnitFailed(ref)) {
            this.#context.readySteps.addWaiting(ref);
        }
    }

    /**
     * Fails a unit's job if the unit has used up its attempts or keeps crashing workers.
     *
     * @param ref The unit.
     * @returns Whether the job failed.
     */
    endJobIfUnitFailed(ref: UnitRef): boolean {
        const job = this.#context.stateStore.jobs.get(ref.job);
        const unit = this.#context.stateStore.findUnit(ref);
        if (job === undefined || unit === undefined || job.endedAt !== undefined || unit.isDone) {
            return false;
        }
        const isPerpetual = job.spec?.steps[ref.step]?.isPerpetual ?? false;
        const limit = this.#context.getQueueOf(job).maxAttempts;
        const hasFailed = !isPerpetual && unit.failures >= limit;
        if (!hasFailed && !isCrashLoop(unit.crashes)) {
            return false;
        }
        this.#recordJobFailure(job, {
            unit: ref,
            cause: hasFailed ? "attempts" : "crashes",
            limit,
            crashes: unit.crashes,
        });
        this.closeJob(job);
        return true;
    }

    /**
     * Closes the steps of a job that has ended and stops its remaining members.
     *
     * @param job The job.
     */
    closeJob(job: Job): void {
        this.#begunJobs.delete(job.id);
        this.#context.jobShares.removeJob(job.id);
        this.#context.openWork.removeJob(job.id);
        this.#context.removeAdviceCalls(this.#context.readySteps.closeJob(job.id));
        for (const [number, occurrence] of job.occurrences) {
            occurrence.steps.forEach((units, step) =>
                units.forEach((unit, i) => {
                    if (unit.members.size > 0) {
                        const ref = { job: job.id, occurrence: number, step, unit: i };
                        this.#membersByUnit
                            .get(createUnitKey(ref))
                            ?.forEach((member) => this.stopMember(member));
                    }
                }),
            );
        }
    }

    /**
     * Stops a member. The start of a planned member is not sent any more, so the next poll answer
     * ends it.
     *
     * @param member The member.
     */
    stopMember(member: MemberRun): void {
        if (member.state === "stopping") {
            return;
        }
        if (member.state === "planned") {
            member.startSends = 0;
            member.state = "stopping";
            member.startResolvedAtMs = Number.NEGATIVE_INFINITY;
            this.#context.emit({ type: "look", worker: member.worker });
            return;
        }
        member.state = "stopping";
        this.enqueueStop(member);
    }

    /**
     * Has a stop order sent to a member that is being stopped, unless one waits to be sent.
     *
     * @param member The member.
     */
    enqueueStop(member: MemberRun): void {
        if (!member.isStopQueued) {
            member.isStopQueued = true;
            this.#context.emit({ type: "stop", member });
        }
    }

    /**
     * Marks the start of a member as unresolved after its worker restarted: the order may have been
     * executed by either incarnation.
     *
     * @param member The member.
     */
    resetStart(member: MemberRun): void {
        if (member.startSends === 0) {
            return;
        }
        member.startResolvedAtMs = undefined;
        member.acceptedAtMs = undefined;
        member.isListed = false;
        if (member.state === "running") {
            member.state = "ordered";
        }
    }

    /**
     * Stops the other members of a gang one of whose members is missing, so that they do not wait
     * for it.
     *
     * @param member The missing member, which has not ended yet.
     */
    stopGangOf(member: MemberRun): void {
        this.#membersByUnit.get(createUnitKey(member.unit))?.forEach((other) => {
            if (other !== member) {
                this.stopMember(other);
            }
        });
    }

    /**
     * Ends members that were lost with their worker.
     *
     * @param members The members.
     */
    endLostMembers(members: readonly MemberRun[]): void {
        members.forEach((member) => this.endMember(member, "lost", ""));
    }
}

/**
 * Computes the resources that a task of a step reserves.
 *
 * @param spec The step; `undefined` if it was removed.
 * @returns The resources. Filler tasks reserve no CPU, but do reserve their memory.
 */
export function computeReservedResources(
    spec: Pick<StepSpec, "needs" | "isFiller"> | undefined,
): Resources {
    if (spec === undefined) {
        return NO_RESOURCES;
    }
    return spec.isFiller ? { ...spec.needs, cpu: 0 } : spec.needs;
}

/** Excludes gangs, which would have to move as a whole, and perpetual tasks, which serve users. */
function isMovable(spec: StepSpec): boolean {
    return spec.savesProgress && !spec.isGang && !spec.isPerpetual;
}
