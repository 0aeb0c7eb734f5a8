/**
 * Prometheus metrics of an entry instance: waiting times by precedence class, placements, finished
 * requests, core utilization and queue length.
 *
 * @example
 * ```ts
 * import { createEntryMetrics } from "./entry_metrics.ts";
 * const metrics = createEntryMetrics();
 * metrics.waitSeconds.observe({ class: "interactive" }, 0.012);
 * ```
 *
 * @module
 */

import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from "prom-client";

/** The metrics of one entry instance. */
export interface EntryMetrics {
    readonly registry: Registry;
    readonly waitSeconds: Histogram<"class">;
    readonly placements: Counter;
    readonly finishedRequests: Counter<"state">;
    readonly leasedCoresRatio: Gauge;
    readonly queuedRequests: Gauge;
    readonly logSyncSeconds: Histogram;
    readonly leading: Gauge<"group">;
}

/**
 * Creates the metrics in their own registry, together with Node's default process metrics.
 *
 * @returns The metrics.
 */
export function createEntryMetrics(): EntryMetrics {
    const registry = new Registry();
    collectDefaultMetrics({ register: registry });
    return {
        registry,
        waitSeconds: new Histogram({
            name: "poplarhead_wait_seconds",
            help: "Time from request to start, per precedence class.",
            labelNames: ["class"],
            buckets: [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5.7, 10, 30, 120],
            registers: [registry],
        }),
        placements: new Counter({
            name: "poplarhead_placements_total",
            help: "Leases offered.",
            registers: [registry],
        }),
        finishedRequests: new Counter({
            name: "poplarhead_requests_final_total",
            help: "Requests that reached an end state, per state.",
            labelNames: ["state"],
            registers: [registry],
        }),
        leasedCoresRatio: new Gauge({
            name: "poplarhead_packing_cores_ratio",
            help: "Share of the cell's cores held by leases.",
            registers: [registry],
        }),
        queuedRequests: new Gauge({
            name: "poplarhead_queued_requests",
            help: "Requests waiting.",
            registers: [registry],
        }),
        logSyncSeconds: new Histogram({
            name: "poplarhead_log_sync_seconds",
            help: "Time of one write and fsync of a log.",
            buckets: [0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1],
            registers: [registry],
        }),
        leading: new Gauge({
            name: "poplarhead_leading",
            help: "1 for each group that this instance leads.",
            labelNames: ["group"],
            registers: [registry],
        }),
    };
}
