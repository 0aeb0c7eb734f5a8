/**
 * Prometheus metrics of learned durations: the workers' speeds and the queues' ratios of actual to
 * estimated durations.
 *
 * @example
 * ```ts
 * import { DurationMetrics } from "./duration_metrics.ts";
 * const durationMetrics = new DurationMetrics(registry);
 * durationMetrics.update(dispatcher.durationModel);
 * ```
 *
 * @module
 */

import { Gauge, Histogram, type Registry } from "prom-client";
import type { DurationModel } from "../estimation/mod.ts";

/** Bounds of the speeds, from the slowest to the fastest that is estimated. */
const SPEED_BUCKETS = [0.5, 0.6, 0.7, 0.8, 0.9, 1, 1.1, 1.25, 1.4, 1.6, 1.8, 2];

/** The metrics of learned durations in one registry. */
export class DurationMetrics {
    readonly #speeds: Histogram;
    readonly #ratios: Gauge<"queue">;

    /**
     * @param registry The registry to add the metrics to.
     */
    constructor(registry: Registry) {
        const registers = [registry];
        this.#speeds = new Histogram({
            name: "poplarhead_worker_speed",
            help: "Estimated speeds of the workers now, relative to the usual speed of their pool.",
            buckets: SPEED_BUCKETS,
            registers,
        });
        this.#ratios = new Gauge({
            name: "poplarhead_queue_duration_ratio",
            help: "Median ratio of actual to estimated durations of a queue's tasks.",
            labelNames: ["queue"],
            registers,
        });
    }

    /**
     * Replaces all values.
     *
     * @param model What the leader has learned; `undefined` on an instance that does not lead.
     */
    update(model: Pick<DurationModel, "listWorkerSpeeds" | "listQueueRatios"> | undefined): void {
        this.#speeds.reset();
        this.#ratios.reset();
        model?.listWorkerSpeeds().forEach((speed) => this.#speeds.observe(speed));
        model
            ?.listQueueRatios()
            .forEach(({ median }, queue) => this.#ratios.set({ queue }, median));
    }
}
