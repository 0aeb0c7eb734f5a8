/**
 * The replicated state machine of the control plane: configuration, jobs with their attempts, and
 * workers. It changes only by facts and reads no clock, so that replicas stay identical.
 *
 * @example
 * ```ts
 * import { StateStore } from "./state_store.ts";
 * const store = new StateStore();
 * store.apply({ at, facts: [{ type: "jobCancelled", job }] });
 * ```
 *
 * @module
 */

import { getNextState, hasTransition, loadChart } from "../chart/mod.ts";
import type { Configuration, QueueConfig, QueueName } from "../configuration/mod.ts";
import type { WorkspaceConfig, WorkspaceName, WorkspacePolicy } from "../workspace/types.ts";
import { addCrash } from "./crash_history.ts";
import type { Fact, FactBatch } from "./facts.ts";
import {
    copyJob,
    createOccurrence,
    decodeJob,
    encodeJob,
    ensureOwnUnit,
    NO_MEMBERS,
    recordUnitDone,
    type EncodedJob,
    type StoredJob,
    type StoredOccurrence,
} from "./_stored_job.ts";
import { Tombstones, type EncodedTombstone, type ReadonlyTombstones } from "./tombstones.ts";
import type {
    CrashedAttempt,
    Incarnation,
    Job,
    JobId,
    JobState,
    Occurrence,
    Unit,
    UnitRef,
    WorkerId,
    WorkerRecord,
    WorkerReport,
} from "./types.ts";

const jobChart = loadChart(new URL("./job_chart.yaml", import.meta.url));
const NO_GUARDS: ReadonlySet<string> = new Set();

type MemberEnded = Extract<Fact, { type: "memberEnded" }>;
type AttemptStarted = Extract<Fact, { type: "attemptStarted" }>;

/** A removed worker in a snapshot: its id, or the id and the removed incarnations. */
type EncodedRemoval = WorkerId | readonly [WorkerId, ...(readonly (Incarnation | null)[])];

interface EncodedState {
    readonly at: number;
    readonly configuration: Configuration | undefined;
    readonly queues: readonly QueueConfig[];
    /** Workspaces that are not configured any more; absent in snapshots of earlier releases. */
    readonly removedWorkspaces?: readonly WorkspacePolicy[];
    readonly workers: readonly (WorkerReport & Partial<WorkerRecord>)[];
    readonly reports?: readonly (readonly [WorkerId, number])[];
    readonly lapses?: readonly (readonly [WorkerId, readonly CrashedAttempt[]])[];
    readonly gone: readonly EncodedRemoval[];
    readonly jobs: readonly EncodedJob[];
    /** Absent in snapshots of earlier releases. */
    readonly tombstones?: readonly EncodedTombstone[];
}

/**
 * Number of ids of removed workers to keep, so that a delayed heartbeat does not register one
 * again. Enough for a day of 1,100 workers that are replaced three times.
 */
const MAX_REMOVED_WORKERS = 4_096;
/** Number of removed incarnations to keep for each of them. */
const MAX_REMOVED_INCARNATIONS = 16;

/** Options of {@link StateStore}. */
export interface StateStoreOptions {
    /** Adds to a configuration what an instance of an earlier release has left out. */
    readonly restoreWorkspaces?: (configuration: Configuration) => Configuration;
}

/** Holds the replicated state and applies facts to it. */
export class StateStore {
    readonly #options: StateStoreOptions;
    /** The latest timestamp of an applied batch, in ms since the Unix epoch. */
    lastBatchAtMs = 0;
    /** The configuration in force. */
    configuration: Configuration | undefined;
    /**
     * The configured queues, and removed ones that still had jobs, with their latest configuration.
     */
    readonly queues = new Map<QueueName, QueueConfig>();
    /** The configured workspaces, and removed ones that still have open jobs. */
    readonly workspaces = new Map<WorkspaceName, WorkspacePolicy>();
    readonly #jobs = new Map<JobId, StoredJob>();
    #tombstones = new Tombstones();
    readonly workers = new Map<WorkerId, WorkerRecord>();
    /** Each worker's own clock at its last recorded capacity report, in ms. */
    readonly lastReportClocksMs = new Map<WorkerId, number>();
    /** Attempts by worker whose lease expired, until it is known whether the worker crashed. */
    readonly attemptsOnExpiredLeases = new Map<WorkerId, readonly CrashedAttempt[]>();
    /** The removed incarnations by worker, those removed last at the end. */
    readonly #removedWorkers = new Map<WorkerId, readonly (Incarnation | undefined)[]>();

    /**
     * @param options How to complete configurations; see {@link StateStoreOptions}.
     */
    constructor(options: StateStoreOptions = {}) {
        this.#options = options;
    }

    /** The known jobs, also ended ones that are still kept. */
    get jobs(): ReadonlyMap<JobId, Job> {
        return this.#jobs;
    }

    /** The cancellations of ids that no job had. */
    get tombstones(): ReadonlyTombstones {
        return this.#tombstones;
    }

    /**
     * Applies a batch of facts in order.
     *
     * @param batch A committed batch, or on a leader's working copy one that is yet to commit.
     */
    apply(batch: FactBatch): void {
        this.lastBatchAtMs = Math.max(this.lastBatchAtMs, batch.at);
        for (const fact of batch.facts) {
            this.#applyFact(fact);
        }
    }

    /**
     * Adds to a configuration what an instance of an earlier release has left out.
     *
     * @param configuration The configuration.
     * @returns The completed configuration.
     */
    restoreWorkspaces(configuration: Configuration): Configuration {
        return this.#options.restoreWorkspaces?.(configuration) ?? configuration;
    }

    /**
     * Finds a unit.
     *
     * @param ref The unit's reference.
     * @returns The unit, or `undefined` if its job was removed or its occurrence does not exist.
     */
    findUnit(ref: UnitRef): Unit | undefined {
        return this.jobs.get(ref.job)?.occurrences.get(ref.occurrence)?.steps[ref.step]?.[ref.unit];
    }

    /**
     * Returns whether an incarnation of a worker was removed; it is never used again.
     *
     * @param id The worker's id.
     * @param incarnation The incarnation; `undefined` if the worker does not report it.
     * @returns True if its removal was applied and is still remembered.
     */
    isRemovedWorker(id: WorkerId, incarnation: Incarnation | undefined): boolean {
        return this.#removedWorkers.get(id)?.includes(incarnation) ?? false;
    }

    /**
     * Returns whether any incarnation of a worker was removed.
     *
     * @param id The worker's id.
     * @returns True if such a removal was applied and is still remembered.
     */
    hasRemovedIncarnation(id: WorkerId): boolean {
        return this.#removedWorkers.has(id);
    }

    /**
     * Returns an occurrence of a job, which is created on first use.
     *
     * @param id A job that has not ended.
     * @param occurrenceNumber The occurrence's number, from 0.
     * @returns The occurrence with its units, or `undefined` if the job is unknown.
     * @throws {RangeError} If a step has more tasks than an array can hold.
     */
    ensureOccurrence(id: JobId, occurrenceNumber: number): Occurrence | undefined {
        const job = this.#jobs.get(id);
        return job && ensureStoredOccurrence(job, occurrenceNumber);
    }

    /**
     * Encodes the whole state as a snapshot.
     *
     * @returns JSON text for {@link StateStore.restore}.
     */
    encode(): string {
        const state: EncodedState = {
            at: this.lastBatchAtMs,
            configuration: this.configuration,
            queues: [...this.queues.values()],
            removedWorkspaces: this.#listRemovedWorkspaces(),
            workers: [...this.workers.values()],
            reports: [...this.lastReportClocksMs],
            lapses: [...this.attemptsOnExpiredLeases],
            gone: [...this.#removedWorkers].map(([id, removed]) => encodeRemoval(id, removed)),
            jobs: [...this.#jobs.values()].map((job) => encodeJob(job)),
            tombstones: this.#tombstones.encode(),
        };
        return JSON.stringify(state);
    }

    /**
     * Replaces the whole state by a snapshot.
     *
     * @param encoded The text that {@link StateStore.encode} returned.
     */
    restore(encoded: string): void {
        const state = JSON.parse(encoded) as EncodedState;
        this.lastBatchAtMs = state.at;
        this.configuration = state.configuration && this.restoreWorkspaces(state.configuration);
        this.queues.clear();
        state.queues.forEach((queue) => this.queues.set(queue.name, queue));
        this.configuration?.queues.forEach((queue) => this.queues.set(queue.name, queue));
        this.workspaces.clear();
        state.removedWorkspaces?.forEach((workspace) =>
            this.workspaces.set(workspace.name, workspace),
        );
        this.#addWorkspaces(this.configuration?.workspaces ?? []);
        this.workers.clear();
        for (const worker of state.workers) {
            // Snapshots of earlier releases have no `fullCapacity` and no `incarnation`.
            this.workers.set(worker.id, {
                ...worker,
                incarnation: worker.incarnation,
                fullCapacity: worker.fullCapacity ?? worker.capacity,
            });
        }
        this.lastReportClocksMs.clear();
        state.reports?.forEach(([id, clockMs]) => this.lastReportClocksMs.set(id, clockMs));
        this.attemptsOnExpiredLeases.clear();
        state.lapses?.forEach(([id, attempts]) => this.attemptsOnExpiredLeases.set(id, attempts));
        this.#removedWorkers.clear();
        state.gone.forEach((removal) => this.#removedWorkers.set(...decodeRemoval(removal)));
        this.#jobs.clear();
        state.jobs.forEach((job) => this.#jobs.set(job.job.id, decodeJob(job)));
        this.#tombstones.restore(state.tombstones ?? []);
    }

    /**
     * Copies the state, for a leader that schedules ahead of the commit index. Immutable parts are
     * shared: copying through {@link StateStore.encode} would block a new leader's event loop for
     * longer than an election takes.
     *
     * @returns An independent copy.
     */
    copy(): StateStore {
        const copy = new StateStore(this.#options);
        copy.lastBatchAtMs = this.lastBatchAtMs;
        copy.configuration = this.configuration;
        this.queues.forEach((queue, name) => copy.queues.set(name, queue));
        this.workspaces.forEach((workspace, name) => copy.workspaces.set(name, workspace));
        this.workers.forEach((worker, id) => copy.workers.set(id, worker));
        this.lastReportClocksMs.forEach((clockMs, id) => copy.lastReportClocksMs.set(id, clockMs));
        this.attemptsOnExpiredLeases.forEach((attempts, id) =>
            copy.attemptsOnExpiredLeases.set(id, attempts),
        );
        this.#removedWorkers.forEach((removed, id) => copy.#removedWorkers.set(id, removed));
        this.#jobs.forEach((job, id) => copy.#jobs.set(id, isImmutable(job) ? job : copyJob(job)));
        copy.#tombstones = this.#tombstones.copy();
        return copy;
    }

    #applyFact(fact: Fact): void {
        switch (fact.type) {
            case "jobAccepted":
                this.#acceptJob(fact);
                return;
            case "jobCancelled":
                this.#endJob(this.#jobs.get(fact.job), "cancel");
                return;
            case "tombstoneAdded":
                this.#tombstones.add(fact.job, {
                    queue: fact.queue,
                    workspace: fact.workspace,
                    cancelledAt: this.lastBatchAtMs,
                });
                return;
            case "jobFailed":
                this.#endJob(this.#jobs.get(fact.job), "fail");
                return;
            case "attemptStarted":
                this.#startAttempt(fact);
                return;
            case "memberEnded":
                this.#endMember(fact);
                return;
            case "workerSeen":
                this.#setWorker(fact.worker);
                return;
            case "workersHeard":
                fact.reports.forEach(([id, clockMs]) => this.#recordReportClock(id, clockMs));
                return;
            case "workerCrashed":
                fact.under.forEach((crashedAttempt) => this.#recordCrash(crashedAttempt));
                return;
            case "workerLapsed":
                this.#recordExpiredLease(fact.worker, fact.under);
                return;
            case "workerAnswered":
                this.attemptsOnExpiredLeases.delete(fact.worker);
                return;
            case "workerGone":
                this.#removeWorker(fact.worker);
                return;
            case "configurationSet":
                this.#setConfiguration(fact.configuration);
                return;
            case "jobsForgotten":
                this.#removeEndedJobs(fact.before);
                this.#tombstones.removeBefore(fact.before);
                return;
        }
    }

    #acceptJob(fact: Extract<Fact, { type: "jobAccepted" }>): void {
        if (this.#jobs.has(fact.job)) {
            return;
        }
        this.#jobs.set(fact.job, {
            id: fact.job,
            queue: fact.queue,
            pool: fact.pool,
            workspace: fact.workspace,
            spec: fact.spec,
            acceptedAt: this.lastBatchAtMs,
            state: "queued",
            endedAt: undefined,
            occurrences: new Map(),
            doneOccurrences: 0,
            activeMembers: 0,
        });
    }

    #startAttempt(fact: AttemptStarted): void {
        const { step, unit: index } = fact.unit;
        const job = this.#jobs.get(fact.unit.job);
        const occurrence = job && ensureStoredOccurrence(job, fact.unit.occurrence);
        const unit = occurrence && ensureOwnUnit(occurrence, step, index);
        if (job === undefined || unit === undefined) {
            return;
        }
        const members = new Map([...unit.members, ...fact.members]);
        job.activeMembers += members.size - unit.members.size;
        unit.attempt = fact.attempt;
        unit.hasFailedMember = false;
        unit.members = members;
        this.#applyJobEvent(job, "start");
    }

    #endMember(fact: MemberEnded): void {
        const { step, unit: index } = fact.unit;
        const job = this.#jobs.get(fact.unit.job);
        const occurrence = job?.occurrences.get(fact.unit.occurrence);
        const unit = occurrence && ensureOwnUnit(occurrence, step, index);
        if (
            job === undefined ||
            occurrence === undefined ||
            unit?.attempt !== fact.attempt ||
            !unit.members.has(fact.index)
        ) {
            return;
        }
        unit.members = removeMember(unit.members, fact.index);
        job.activeMembers -= 1;
        if (fact.checkpoint !== "") {
            unit.checkpoint = fact.checkpoint;
        }
        const isPerpetual = job.spec?.steps[step]?.isPerpetual ?? false;
        if (!unit.isDone && fact.how === "done" && !isPerpetual) {
            unit.isDone = true;
            recordUnitDone(job, occurrence, step);
        }
        unit.hasFailedMember ||= fact.how === "failed";
        // An attempt of a gang counts as one failure, however many members failed.
        if (unit.members.size === 0 && unit.hasFailedMember && !unit.isDone) {
            unit.failures += 1;
            unit.hasFailedMember = false;
        }
        if (unit.isDone && isJobDone(job)) {
            this.#endJob(job, "complete");
        } else {
            this.#clearEndedJob(job);
        }
    }

    #recordCrash({ unit: ref, attempt, evidence }: CrashedAttempt): void {
        const job = this.#jobs.get(ref.job);
        const occurrence = job?.occurrences.get(ref.occurrence);
        const unit = occurrence && ensureOwnUnit(occurrence, ref.step, ref.unit);
        if (unit !== undefined && !unit.isDone) {
            const spec = job?.spec?.steps[ref.step];
            unit.crashes = addCrash(
                unit.crashes,
                { attempt, evidence },
                spec?.isPerpetual ?? false,
            );
        }
    }

    #endJob(job: StoredJob | undefined, event: "cancel" | "fail" | "complete"): void {
        if (job === undefined || !hasTransition(jobChart, job.state, event)) {
            return;
        }
        this.#applyJobEvent(job, event);
        job.endedAt = this.lastBatchAtMs;
        this.#clearEndedJob(job);
    }

    /** Frees the spec and the units of an ended job once no member can run any more. */
    #clearEndedJob(job: StoredJob): void {
        if (job.endedAt !== undefined && job.activeMembers === 0) {
            job.spec = undefined;
            job.occurrences.clear();
        }
    }

    #applyJobEvent(job: Job, event: string): void {
        if (hasTransition(jobChart, job.state, event)) {
            job.state = getNextState(jobChart, job.state, event, NO_GUARDS) as JobState;
        }
    }

    #setWorker(report: WorkerReport): void {
        const { id, capacity } = report;
        const known = this.workers.get(id);
        // Leaders of earlier releases leave the incarnation out.
        const incarnation = report.incarnation ?? known?.incarnation;
        const hasRestarted = known?.incarnation !== undefined && known.incarnation !== incarnation;
        if (hasRestarted) {
            this.#removeWorker(id);
        }
        const previousCapacity = hasRestarted ? capacity : (known?.fullCapacity ?? capacity);
        const fullCapacity = {
            cpu: Math.max(previousCapacity.cpu, capacity.cpu),
            memoryMb: Math.max(previousCapacity.memoryMb, capacity.memoryMb),
            gpu: Math.max(previousCapacity.gpu, capacity.gpu),
        };
        this.workers.set(id, { ...report, incarnation, fullCapacity });
    }

    #recordExpiredLease(id: WorkerId, attempts: readonly CrashedAttempt[]): void {
        if (this.workers.has(id)) {
            this.attemptsOnExpiredLeases.set(id, [
                ...(this.attemptsOnExpiredLeases.get(id) ?? []),
                ...attempts,
            ]);
        }
    }

    #recordReportClock(id: WorkerId, clockMs: number): void {
        if (this.workers.has(id)) {
            this.lastReportClocksMs.set(id, clockMs);
        }
    }

    #removeWorker(id: WorkerId): void {
        const removed = [...(this.#removedWorkers.get(id) ?? [])];
        removed.push(this.workers.get(id)?.incarnation);
        this.workers.delete(id);
        this.lastReportClocksMs.delete(id);
        this.attemptsOnExpiredLeases.delete(id);
        this.#removedWorkers.delete(id);
        this.#removedWorkers.set(id, removed.slice(-MAX_REMOVED_INCARNATIONS));
        for (const oldest of this.#removedWorkers.keys()) {
            if (this.#removedWorkers.size <= MAX_REMOVED_WORKERS) {
                break;
            }
            this.#removedWorkers.delete(oldest);
        }
    }

    #setConfiguration(received: Configuration): void {
        if (received.version <= (this.configuration?.version ?? -1)) {
            return;
        }
        const configuration = this.restoreWorkspaces(received);
        this.configuration = configuration;
        this.#setWorkspaces(configuration.workspaces ?? []);
        const queuesInUse = new Set([...this.jobs.values()].map((job) => job.queue));
        for (const name of this.queues.keys()) {
            if (!queuesInUse.has(name)) {
                this.queues.delete(name);
            }
        }
        configuration.queues.forEach((queue) => this.queues.set(queue.name, queue));
    }

    #setWorkspaces(workspaces: readonly WorkspaceConfig[]): void {
        const workspacesInUse = new Set(
            [...this.jobs.values()]
                .filter((job) => !isImmutable(job))
                .map(({ workspace }) => workspace),
        );
        for (const name of this.workspaces.keys()) {
            if (!workspacesInUse.has(name)) {
                this.workspaces.delete(name);
            }
        }
        this.#addWorkspaces(workspaces);
    }

    #addWorkspaces(workspaces: readonly WorkspaceConfig[]): void {
        for (const { name, weight, limit } of workspaces) {
            this.workspaces.set(name, { name, weight, limit });
        }
    }

    #listRemovedWorkspaces(): WorkspacePolicy[] {
        const configured = new Set(this.configuration?.workspaces?.map(({ name }) => name));
        return [...this.workspaces.values()].filter(({ name }) => !configured.has(name));
    }

    #removeEndedJobs(endedBeforeMs: number): void {
        for (const job of this.jobs.values()) {
            if (
                job.endedAt !== undefined &&
                job.endedAt < endedBeforeMs &&
                job.occurrences.size === 0
            ) {
                this.#jobs.delete(job.id);
            }
        }
    }
}

/**
 * Counts the occurrences of a job.
 *
 * @param job A job that still has its spec.
 * @returns The count, at least 1.
 */
export function countOccurrences(job: Job): number {
    return Math.max(1, job.spec?.repeats ?? 0);
}

/**
 * Returns whether all units of a step are done.
 *
 * @param occurrence The occurrence.
 * @param stepIndex The step's index in the job's spec.
 * @returns True if every unit is done; false if the step does not exist.
 */
export function isStepDone(occurrence: Occurrence, stepIndex: number): boolean {
    return occurrence.openUnits[stepIndex] === 0;
}

function isJobDone(job: StoredJob): boolean {
    const { occurrences, doneOccurrences } = job;
    return occurrences.size >= countOccurrences(job) && occurrences.size === doneOccurrences;
}

function ensureStoredOccurrence(job: StoredJob, number: number): StoredOccurrence {
    const known = job.occurrences.get(number);
    if (known !== undefined) {
        return known;
    }
    const added = createOccurrence(job.spec?.steps ?? []);
    job.occurrences.set(number, added);
    return added;
}

function removeMember(
    members: ReadonlyMap<number, WorkerId>,
    index: number,
): ReadonlyMap<number, WorkerId> {
    const others = [...members].filter(([other]) => other !== index);
    return others.length === 0 ? NO_MEMBERS : new Map(others);
}

/** Returns whether only its removal can still change the job. */
function isImmutable(job: Job): boolean {
    return job.endedAt !== undefined && job.occurrences.size === 0;
}

function encodeRemoval(
    id: WorkerId,
    removed: readonly (Incarnation | undefined)[],
): EncodedRemoval {
    const isWithoutIncarnation = removed.length === 1 && removed[0] === undefined;
    return isWithoutIncarnation ? id : [id, ...removed.map((incarnation) => incarnation ?? null)];
}

function decodeRemoval(removal: EncodedRemoval): [WorkerId, readonly (Incarnation | undefined)[]] {
    if (typeof removal === "string") {
        return [removal, [undefined]];
    }
    const [id, ...removed] = removal;
    return [id, removed.map((incarnation) => incarnation ?? undefined)];
}
