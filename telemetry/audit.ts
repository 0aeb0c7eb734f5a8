/**
 * Audits a merged log timeline: compares the task runs in the workers' logs with the instances'
 * capacity and with the outcomes reported to callers.
 *
 * @example
 * ```ts
 * import { auditTimeline } from "./audit.ts";
 * const violations = auditTimeline(events, { capacities, outcomes });
 * ```
 *
 * @module
 */

import type { TimelineEvent } from "./timeline.ts";

/** The final outcome of a request as reported to its caller. */
export interface ReportedOutcome {
    readonly requestId: string;
    readonly state: string;
    readonly final: boolean;
    readonly mayHaveRun: boolean;
    /** Whether each task may run at most once. */
    readonly atMostOnce: boolean;
    readonly tasks: number;
}

/** Options of {@link auditTimeline}. */
export interface AuditOptions {
    /** Cores by instance. */
    readonly capacities: ReadonlyMap<string, number>;
    readonly outcomes: readonly ReportedOutcome[];
    /**
     * When worker processes were killed, in ms since the Unix epoch, by process; their tasks ended
     * then.
     */
    readonly killedAtMs?: ReadonlyMap<string, number>;
}

interface TaskRun {
    readonly task: string;
    readonly request: string;
    readonly instance: string;
    readonly cores: number;
    readonly startedAtMs: number;
    endedAtMs: number;
    outcome: string | undefined;
}

/**
 * Lists the violated guarantees: overcommitted instances, concurrent runs of a task, and outcomes
 * that contradict the logs.
 *
 * @param events The merged events of all processes.
 * @param options The capacities and the reported outcomes.
 * @returns One line per violation.
 */
export function auditTimeline(events: readonly TimelineEvent[], options: AuditOptions): string[] {
    const runs = listRuns(events, options.killedAtMs ?? new Map());
    return [
        ...listOvercommits(runs, options.capacities),
        ...listOverlaps(runs),
        ...listOutcomeMismatches(runs, options.outcomes),
    ];
}

function listRuns(
    events: readonly TimelineEvent[],
    killedAtMs: ReadonlyMap<string, number>,
): TaskRun[] {
    const byLease = new Map<string, TaskRun>();
    const originalIds = listOriginalIds(events);
    for (const event of events) {
        const leaseKey = `${event.process}|${String(event["lease"])}`;
        if (event.message === "task started") {
            byLease.set(leaseKey, {
                ...resolveOriginalIds(String(event.request), String(event["task"]), originalIds),
                instance: String(event["instance"]),
                cores: Number(event["cores"]),
                startedAtMs: event.t,
                endedAtMs: killedAtMs.get(event.process) ?? Number.POSITIVE_INFINITY,
                outcome: undefined,
            });
            continue;
        }
        const outcome = /^task (completed|failed|stopped)$/.exec(event.message)?.[1];
        const run = outcome === undefined ? undefined : byLease.get(leaseKey);
        if (run !== undefined) {
            run.endedAtMs = event.t;
            run.outcome = outcome;
        }
    }
    return [...byLease.values()];
}

/** Returns the original ids of requests that were handed over to another zone, by their new id. */
function listOriginalIds(events: readonly TimelineEvent[]): Map<string, string> {
    const originalIds = new Map<string, string>();
    for (const event of events) {
        const originalId = /handed over as (\S+)#\d+$/.exec(String(event["detail"] ?? ""))?.[1];
        if (
            event.message === "accepted" &&
            originalId !== undefined &&
            event.request !== undefined
        ) {
            originalIds.set(event.request, originalId);
        }
    }
    return originalIds;
}

function resolveOriginalIds(
    request: string,
    task: string,
    originalIds: ReadonlyMap<string, string>,
): { readonly request: string; readonly task: string } {
    const originalId = originalIds.get(request) ?? request;
    return { request: originalId, task: originalId + task.slice(request.length) };
}

function listOvercommits(
    runs: readonly TaskRun[],
    capacities: ReadonlyMap<string, number>,
): string[] {
    const changes = runs.flatMap((run) => [
        { at: run.startedAtMs, instance: run.instance, cores: run.cores },
        { at: run.endedAtMs, instance: run.instance, cores: -run.cores },
    ]);
    // Within one millisecond, cores are freed before they are taken.
    changes.sort((a, b) => a.at - b.at || a.cores - b.cores);
    const usedCores = new Map<string, number>();
    const violations: string[] = [];
    for (const { at, instance, cores } of changes) {
        const coresInUse = (usedCores.get(instance) ?? 0) + cores;
        usedCores.set(instance, coresInUse);
        const capacity = capacities.get(instance);
        if (capacity !== undefined && coresInUse > capacity + 1e-6) {
            violations.push(
                `overcommit: ${instance} runs ${coresInUse} of ${capacity} cores at t=${at} ms`,
            );
        }
    }
    return violations;
}

function listOverlaps(runs: readonly TaskRun[]): string[] {
    const violations: string[] = [];
    for (const [task, taskRuns] of collectByKey(runs, (r) => r.task)) {
        taskRuns.sort((a, b) => a.startedAtMs - b.startedAtMs);
        taskRuns.forEach((run, i) => {
            const next = taskRuns[i + 1];
            if (next !== undefined && next.startedAtMs < run.endedAtMs) {
                violations.push(
                    `concurrent runs: ${task} starts on ${next.instance} at t=${next.startedAtMs} ms, but runs on ${run.instance} until t=${run.endedAtMs} ms`,
                );
            }
        });
    }
    return violations;
}

function listOutcomeMismatches(
    runs: readonly TaskRun[],
    outcomes: readonly ReportedOutcome[],
): string[] {
    const violations: string[] = [];
    const byRequest = collectByKey(runs, (r) => r.request);
    for (const outcome of outcomes) {
        const requestRuns = byRequest.get(outcome.requestId) ?? [];
        const id = `${outcome.requestId} (${outcome.state})`;
        if (!outcome.final) {
            violations.push(`not final: ${id}`);
        }
        if (!outcome.mayHaveRun && requestRuns.length > 0) {
            violations.push(
                `wrong outcome: ${id} was reported as never run, but has ${requestRuns.length} task run(s)`,
            );
        }
        for (const [task, attempts] of collectByKey(requestRuns, (r) => r.task)) {
            if (outcome.atMostOnce && attempts.length > 1) {
                violations.push(
                    `run more than once: ${task} of at-most-once ${id} ran ${attempts.length} times`,
                );
            }
        }
        const completed = new Set(
            requestRuns.filter((r) => r.outcome === "completed").map((r) => r.task),
        );
        if (outcome.state === "completed" && completed.size < outcome.tasks) {
            violations.push(
                `wrong outcome: ${id} has only completed ${completed.size} of ${outcome.tasks} task(s)`,
            );
        }
    }
    return violations;
}

function collectByKey<T>(items: readonly T[], getKey: (item: T) => string): Map<string, T[]> {
    const groups = new Map<string, T[]>();
    for (const item of items) {
        const key = getKey(item);
        const group = groups.get(key) ?? [];
        group.push(item);
        groups.set(key, group);
    }
    return groups;
}
