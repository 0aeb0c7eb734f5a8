/**
 * Prometheus metrics of control instances and front processes: counts of decisions, latencies of
 * the stages of a job, and the state of the process.
 *
 * @example
 * ```ts
 * import { createControlMetrics } from "./control_metrics.ts";
 * const metrics = createControlMetrics();
 * metrics.decisions.inc({ event: "job accepted" });
 * ```
 *
 * @module
 */

import { Counter, Gauge, Histogram, Registry } from "prom-client";
import { DurationMetrics } from "./duration_metrics.ts";
import { WorkspaceMetrics } from "./workspace_metrics.ts";

/** The metrics of one control instance or front process. */
export interface ControlMetrics {
    readonly registry: Registry;
    readonly decisions: Counter<"event">;
    /** Task ends and refused orders. */
    readonly outcomes: Counter<"event" | "kind">;
    readonly stepWaitSeconds: Histogram;
    readonly taskSeconds: Histogram;
    readonly commitSeconds: Histogram;
    readonly adviceSeconds: Histogram;
    readonly callSeconds: Histogram<"call" | "outcome">;
    /** From a configuration's arrival at the leader to its acknowledgement. */
    readonly configurationSeconds: Histogram;
    readonly leading: Gauge;
    readonly leadershipLosses: Counter<"cause">;
    /** Control instances that follow this leader, as their hello messages show. */
    readonly followingInstances: Gauge;
    /** Announcements of this leader to seeds that don't follow it. */
    readonly leaderAnnouncements: Counter;
    /** Leader announcements that this instance could not read. */
    readonly malformedAnnouncements: Counter;
    /** Calls that reached this instance while it led without a valid lease. */
    readonly expiredLeaseCalls: Counter;
    /** Durations for which the event loop was blocked. */
    readonly eventLoopBlockedSeconds: Histogram;
    readonly eventLoopDelaySeconds: Gauge;
    /** Cancellations of unknown jobs that the leader keeps. */
    readonly tombstones: Gauge;
    readonly cpuSeconds: Gauge;
    readonly residentBytes: Gauge;
    readonly workspaces: WorkspaceMetrics;
    /** Decisions of admission control about submitted jobs. */
    readonly admissionDecisions: Counter<"queue" | "decision">;
    /** From a submission to the predicted end of its job. */
    readonly admissionPredictedSeconds: Histogram<"queue">;
    /** Submissions that were refused because too many waited for the leader. */
    readonly unhandledSubmissions: Counter;
    readonly durations: DurationMetrics;
    /** Effects that a leader released before all facts recorded before them were committed. */
    readonly uncommittedEffects: Counter<"type">;
}

/** From commits of about 10 ms to waits of one minute. */
const LATENCY_BUCKETS_SECONDS = [
    0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 15, 60,
];
const SAMPLE_INTERVAL_MS = 1_000;

/**
 * Creates the metrics in their own registry and starts sampling CPU time, memory and event loop
 * delay once a second.
 *
 * @returns The metrics.
 */
export function createControlMetrics(): ControlMetrics {
    const registers = [new Registry()];
    const [registry] = registers as [Registry];
    const createHistogram = <L extends string = never>(
        name: string,
        help: string,
        labelNames: readonly L[] = [],
    ): Histogram<L> =>
        new Histogram<L>({
            name,
            help,
            labelNames: [...labelNames],
            buckets: LATENCY_BUCKETS_SECONDS,
            registers,
        });
    const createGauge = <L extends string = never>(
        name: string,
        help: string,
        labelNames: readonly L[] = [],
    ): Gauge<L> => new Gauge<L>({ name, help, labelNames: [...labelNames], registers });
    const metrics: ControlMetrics = {
        registry,
        decisions: new Counter({
            name: "poplarhead_decisions_total",
            help: "Decisions, by kind.",
            labelNames: ["event"],
            registers,
        }),
        outcomes: new Counter({
            name: "poplarhead_outcomes_total",
            help: "Ends of tasks and refusals of orders, by kind.",
            labelNames: ["event", "kind"],
            registers,
        }),
        stepWaitSeconds: createHistogram(
            "poplarhead_step_wait_seconds",
            "Time from a step's turn to the placement of a unit.",
        ),
        taskSeconds: createHistogram("poplarhead_task_seconds", "Time from a start to its end."),
        commitSeconds: createHistogram("poplarhead_commit_seconds", "Time until a quorum agreed."),
        adviceSeconds: createHistogram("poplarhead_advice_seconds", "Time of an advice call."),
        callSeconds: createHistogram("poplarhead_call_seconds", "Time of a caller's call.", [
            "call",
            "outcome",
        ]),
        configurationSeconds: createHistogram(
            "poplarhead_configuration_seconds",
            "Time from a configuration's arrival at the leader to its acknowledgement.",
        ),
        leadershipLosses: new Counter({
            name: "poplarhead_leads_lost_total",
            help: "Leads of this instance that ended, by cause.",
            labelNames: ["cause"],
            registers,
        }),
        followingInstances: createGauge(
            "poplarhead_following_instances",
            "Control instances that follow this leader.",
        ),
        leaderAnnouncements: new Counter({
            name: "poplarhead_leader_announcements_total",
            help: "Announcements of this leader to seeds that don't follow it.",
            registers,
        }),
        malformedAnnouncements: new Counter({
            name: "poplarhead_malformed_announcements_total",
            help: "Leader announcements that this instance could not read.",
            registers,
        }),
        expiredLeaseCalls: new Counter({
            name: "poplarhead_lapsed_calls_total",
            help: "Calls that reached this instance while it led without a lease.",
            registers,
        }),
        eventLoopBlockedSeconds: createHistogram(
            "poplarhead_event_loop_held_seconds",
            "Turns of the event loop longer than a tenth of a second.",
        ),
        leading: createGauge("poplarhead_control_leading", "1 while this instance leads."),
        eventLoopDelaySeconds: createGauge(
            "poplarhead_event_loop_delay_seconds",
            "How late the last one-second timer was.",
        ),
        tombstones: createGauge(
            "poplarhead_tombstones",
            "Cancellations of unknown jobs that this leader keeps.",
        ),
        cpuSeconds: createGauge("poplarhead_cpu_seconds", "Processor time used so far."),
        residentBytes: createGauge("poplarhead_resident_bytes", "Resident memory."),
        workspaces: new WorkspaceMetrics(registry),
        admissionDecisions: new Counter({
            name: "poplarhead_admission_decisions_total",
            help: "Decisions of admission control about submitted jobs.",
            labelNames: ["queue", "decision"],
            registers,
        }),
        admissionPredictedSeconds: createHistogram(
            "poplarhead_admission_predicted_seconds",
            "Time from a submission to the predicted end of its job.",
            ["queue"],
        ),
        unhandledSubmissions: new Counter({
            name: "poplarhead_unhandled_submissions_total",
            help: "Submissions refused because too many waited for the leader.",
            registers,
        }),
        durations: new DurationMetrics(registry),
        uncommittedEffects: new Counter({
            name: "poplarhead_uncommitted_effects_total",
            help: "Effects released before all facts recorded before them were committed.",
            labelNames: ["type"],
            registers,
        }),
    };
    startSampling(metrics);
    return metrics;
}

function startSampling(metrics: ControlMetrics): void {
    let dueAtMs = performance.now() + SAMPLE_INTERVAL_MS;
    const timer = setInterval(() => {
        const nowMs = performance.now();
        metrics.eventLoopDelaySeconds.set(Math.max(0, nowMs - dueAtMs) / 1_000);
        dueAtMs = nowMs + SAMPLE_INTERVAL_MS;
        const { user, system } = process.cpuUsage();
        metrics.cpuSeconds.set((user + system) / 1e6);
        metrics.residentBytes.set(process.memoryUsage.rss());
    }, SAMPLE_INTERVAL_MS);
    timer.unref();
}
