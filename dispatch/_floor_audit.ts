/**
 * What a floor of stand-in workers saw, and the promises that it broke: a task runs in one place, not again once its
 * end is acknowledged, and within the room of its worker.
 *
 * @example
 * ```ts
 * import { FloorAudit } from "./_floor_audit.ts";
 * const audit = new FloorAudit({ workers, getNow: () => time.now });
 * audit.recordRun(worker, run);
 * audit.violations; // broken promises, in words
 * ```
 *
 * @module
 */

import type { Resources, WorkerId } from "../job/mod.ts";
import type { TaskRun, TaskWorker } from "../standin/task_worker.ts";
import type { EndReport } from "./types.ts";

/** A smaller room binds once it has been told for so long, in ms: three seconds and a heartbeat. */
const SHRINK_GRACE_MS = 4_500;

/** Options of {@link FloorAudit}. */
export interface FloorAuditOptions {
    /** The workers that are up. */
    readonly workers: ReadonlyMap<WorkerId, TaskWorker>;
    readonly getNow: () => number;
}

/** One run that began. */
export interface SeenRun {
    readonly task: string;
    readonly attempt: number;
    readonly worker: WorkerId;
    readonly at: number;
}

/** One crash of a worker. */
export interface SeenCrash {
    readonly worker: WorkerId;
    /** What ran there when it ended. */
    readonly tasks: readonly string[];
    readonly at: number;
}

/** The checks of one floor. */
export class FloorAudit {
    readonly #options: FloorAuditOptions;
    /** Broken promises, in words. */
    readonly violations: string[] = [];
    readonly runs: SeenRun[] = [];
    readonly crashes: SeenCrash[] = [];
    readonly #acknowledgedDone = new Set<string>();
    readonly #rooms = new Map<WorkerId, { readonly since: number; readonly room: Resources }[]>();

    /**
     * @param options The workers, the clock.
     */
    constructor(options: FloorAuditOptions) {
        this.#options = options;
    }

    /** Notes the room that a worker has from now on. */
    recordRoom(id: WorkerId, room: Resources): void {
        const rooms = this.#rooms.get(id) ?? [];
        rooms.push({ since: this.#options.getNow(), room });
        this.#rooms.set(id, rooms);
    }

    /** Notes a run that has just begun. */
    recordRun(worker: WorkerId, run: TaskRun): void {
        const at = this.#options.getNow();
        for (const [other, state] of this.#options.workers) {
            if (other !== worker && state.runs.some((r) => r.task === run.task)) {
                this.violations.push(`${run.task} runs on ${other} and ${worker} at ${at}`);
            }
        }
        if (this.#acknowledgedDone.has(run.task)) {
            this.violations.push(`${run.task} runs again at ${at} after it was done`);
        }
        this.runs.push({ task: run.task, attempt: run.attempt, worker, at });
        this.#checkStart(worker);
    }

    /** Notes the crash of a worker that is still up. */
    recordCrash(worker: WorkerId): void {
        const tasks = this.#options.workers.get(worker)?.runs.map((run) => run.task) ?? [];
        this.crashes.push({ worker, tasks, at: this.#options.getNow() });
    }

    /** Notes an end that a worker may forget. */
    recordAcknowledged(end: EndReport): void {
        if (end.how === "done") {
            this.#acknowledgedDone.add(end.task);
        }
    }

    /** How often a task was started after a number of workers had crashed under it. */
    countStartsAfterCrashes(task: string, crashes: number): number {
        const crash = this.crashes.filter(({ tasks }) => tasks.includes(task))[crashes - 1];
        return crash === undefined
            ? 0
            : this.runs.filter((run) => run.task === task && run.at > crash.at).length;
    }

    /** Holds every worker against the rooms that it ever had. */
    checkWorkers(): void {
        for (const [id, worker] of this.#options.workers) {
            worker.advance();
            const rooms = this.#rooms.get(id) ?? [];
            if (rooms.every(({ room }) => isOver(worker.used, room))) {
                this.violations.push(`${id} is over its capacity at ${this.#options.getNow()}`);
            }
        }
    }

    /** A start must fit the room that the worker has, or had within the time that a change takes to be known. */
    #checkStart(id: WorkerId): void {
        const now = this.#options.getNow();
        const rooms = this.#rooms.get(id) ?? [];
        const bound = rooms.filter(
            (_room, i) => (rooms[i + 1]?.since ?? now) >= now - SHRINK_GRACE_MS,
        );
        const cpu = Math.max(...bound.map(({ room }) => room.cpu));
        const memoryMb = Math.max(...bound.map(({ room }) => room.memoryMb));
        const worker = this.#options.workers.get(id);
        if (worker !== undefined && isOver(worker.used, { cpu, memoryMb, gpu: 0 })) {
            this.violations.push(`a start brings ${id} over its room at ${now}`);
        }
    }
}

function isOver(used: Resources, room: Resources): boolean {
    return used.cpu > room.cpu || used.memoryMb > room.memoryMb;
}
