/**
 * Checks the brief's promises on a merged time line: what the workers' logs say really ran,
 * against what the instances have and what callers were told.
 *
 * @example
 * ```ts
 * import { auditTimeline } from "./audit.ts";
 * const violations = auditTimeline(events, { capacities, fates });
 * ```
 *
 * @module
 */

import type { TimelineEvent } from "./timeline.ts";

/** What a caller was told of one request in the end. */
export interface ToldFate {
    readonly requestId: string;
    readonly state: string;
    readonly final: boolean;
    readonly mayHaveRun: boolean;
    /** The rules say it runs at most once. */
    readonly atMostOnce: boolean;
    readonly tasks: number;
}

/** What to check against. */
export interface AuditOptions {
    /** Cores of each instance. */
    readonly capacities: ReadonlyMap<string, number>;
    readonly fates: readonly ToldFate[];
    /** When worker processes were killed, by process name: their tasks ended then. */
    readonly killedAt?: ReadonlyMap<string, number>;
}

interface Run {
    readonly task: string;
    readonly request: string;
    readonly instance: string;
    readonly cores: number;
    readonly startedAt: number;
    endedAt: number;
    end: string | undefined;
}

/**
 * Lists every broken promise on a time line.
 *
 * @param events The merged events of every process.
 * @param options Capacities and what callers were told.
 * @returns One line per violation; empty when all hold.
 */
export function auditTimeline(events: readonly TimelineEvent[], options: AuditOptions): string[] {
    const runs = listRuns(events, options.killedAt ?? new Map());
    return [
        ...listOvercommits(runs, options.capacities),
        ...listOverlaps(runs),
        ...listUntrueFates(runs, options.fates),
    ];
}

function listRuns(events: readonly TimelineEvent[], killedAt: ReadonlyMap<string, number>): Run[] {
    const byLease = new Map<string, Run>();
    const origins = listOrigins(events);
    for (const event of events) {
        const lease = `${event.process}|${String(event["lease"])}`;
        if (event.message === "task started") {
            byLease.set(lease, {
                ...createOriginIds(String(event.request), String(event["task"]), origins),
                instance: String(event["instance"]),
                cores: Number(event["cores"]),
                startedAt: event.t,
                endedAt: killedAt.get(event.process) ?? Number.POSITIVE_INFINITY,
                end: undefined,
            });
            continue;
        }
        const end = /^task (completed|failed|stopped)$/.exec(event.message)?.[1];
        const run = end === undefined ? undefined : byLease.get(lease);
        if (run !== undefined) {
            run.endedAt = event.t;
            run.end = end;
        }
    }
    return [...byLease.values()];
}

/** A request handed over to another zone's group runs there under another id. */
function listOrigins(events: readonly TimelineEvent[]): Map<string, string> {
    const origins = new Map<string, string>();
    for (const event of events) {
        const as = /handed over as (\S+)#\d+$/.exec(String(event["detail"] ?? ""))?.[1];
        if (event.message === "accepted" && as !== undefined && event.request !== undefined) {
            origins.set(event.request, as);
        }
    }
    return origins;
}

function createOriginIds(
    request: string,
    task: string,
    origins: ReadonlyMap<string, string>,
): { readonly request: string; readonly task: string } {
    const origin = origins.get(request) ?? request;
    return { request: origin, task: origin + task.slice(request.length) };
}

function listOvercommits(runs: readonly Run[], capacities: ReadonlyMap<string, number>): string[] {
    const changes = runs.flatMap((run) => [
        { at: run.startedAt, instance: run.instance, cores: run.cores },
        { at: run.endedAt, instance: run.instance, cores: -run.cores },
    ]);
    // Ends before starts of the same ms: a worker logs both in order, a ms is all we see.
    changes.sort((a, b) => a.at - b.at || a.cores - b.cores);
    const held = new Map<string, number>();
    const violations: string[] = [];
    for (const { at, instance, cores } of changes) {
        const now = (held.get(instance) ?? 0) + cores;
        held.set(instance, now);
        const capacity = capacities.get(instance);
        if (capacity !== undefined && now > capacity + 1e-6) {
            violations.push(`overcommit: ${instance} runs ${now} of ${capacity} cores at ${at}`);
        }
    }
    return violations;
}

function listOverlaps(runs: readonly Run[]): string[] {
    const violations: string[] = [];
    for (const [task, own] of createGroups(runs, (r) => r.task)) {
        own.sort((a, b) => a.startedAt - b.startedAt);
        own.forEach((run, i) => {
            const next = own[i + 1];
            if (next !== undefined && next.startedAt < run.endedAt) {
                violations.push(
                    `two places: ${task} starts on ${next.instance} at ${next.startedAt}, on ${run.instance} until ${run.endedAt}`,
                );
            }
        });
    }
    return violations;
}

function listUntrueFates(runs: readonly Run[], fates: readonly ToldFate[]): string[] {
    const violations: string[] = [];
    const byRequest = createGroups(runs, (r) => r.request);
    for (const fate of fates) {
        const own = byRequest.get(fate.requestId) ?? [];
        const id = `${fate.requestId} (${fate.state})`;
        if (!fate.final) {
            violations.push(`no end: ${id}`);
        }
        if (!fate.mayHaveRun && own.length > 0) {
            violations.push(
                `untrue: ${id} was said not to have run, but ${own.length} task(s) did`,
            );
        }
        for (const [task, times] of createGroups(own, (r) => r.task)) {
            if (fate.atMostOnce && times.length > 1) {
                violations.push(
                    `repeated: ${task} of at-most-once ${id} ran ${times.length} times`,
                );
            }
        }
        const completed = new Set(own.filter((r) => r.end === "completed").map((r) => r.task));
        if (fate.state === "completed" && completed.size < fate.tasks) {
            violations.push(`untrue: ${id} completed ${completed.size} of ${fate.tasks} task(s)`);
        }
    }
    return violations;
}

function createGroups<T>(items: readonly T[], getKey: (item: T) => string): Map<string, T[]> {
    const groups = new Map<string, T[]>();
    for (const item of items) {
        const key = getKey(item);
        const group = groups.get(key) ?? [];
        group.push(item);
        groups.set(key, group);
    }
    return groups;
}
