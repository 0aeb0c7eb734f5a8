/**
 * Builders of queues, steps, jobs and workers for tests: each gives a usual one, with what differs from it.
 *
 * @example
 * ```ts
 * import { buildQueue, buildSpec } from "./_builders.ts";
 * const spec = buildSpec({ count: 20, isGang: true });
 * ```
 *
 * @module
 */

import type { PoolName, QueueConfig, QueueName } from "../configuration/mod.ts";
import type { JobSpec, StepSpec, WorkerId, WorkerRecord, WorkerReport } from "../job/mod.ts";

export const POOL = "studio" as PoolName;
export const QUEUE = "previews" as QueueName;

/**
 * Builds a queue.
 *
 * @param overrides What differs from an urgent queue without advice.
 * @returns The queue.
 */
export function buildQueue(overrides: Partial<QueueConfig> = {}): QueueConfig {
    return {
        name: QUEUE,
        host: "studio.example",
        pathPrefix: "/previews/",
        pool: POOL,
        priority: 0,
        maxAttempts: 3,
        stretch: 2,
        targetLatencyMs: 250,
        timeoutMs: 3_000,
        advice: undefined,
        ...overrides,
    };
}

/**
 * Builds a step.
 *
 * @param overrides What differs from one small task.
 * @returns The step.
 */
export function buildStep(overrides: Partial<StepSpec> = {}): StepSpec {
    return {
        count: 1,
        needs: { cpu: 1_000, memoryMb: 1_000, gpu: 0 },
        estimateMs: 300,
        after: [],
        isGang: false,
        isRackLocal: false,
        requiredLabel: undefined,
        preferredRack: undefined,
        maxPerWorker: 0,
        savesProgress: false,
        isSpeculative: false,
        isPerpetual: false,
        image: "",
        targetMs: 0,
        isFiller: false,
        maxAbsent: 0,
        ...overrides,
    };
}

/**
 * Builds a job of the given steps.
 *
 * @param steps What differs, per step.
 * @returns The job.
 */
export function buildSpec(...steps: readonly Partial<StepSpec>[]): JobSpec {
    return {
        payload: "payload",
        steps: steps.map((step) => buildStep(step)),
        repeats: 0,
        firstAtMs: 0,
        periodMs: 0,
    };
}

/**
 * Builds what a usual worker tells of itself.
 *
 * @param overrides What differs from it.
 * @returns The report.
 */
export function buildWorkerReport(overrides: Partial<WorkerReport> = {}): WorkerReport {
    return {
        id: "w1" as WorkerId,
        address: "10.0.0.1:80",
        pool: POOL,
        zone: "z",
        capacity: { cpu: 16_000, memoryMb: 32_000, gpu: 0 },
        labels: ["a", "r1"],
        instance: "",
        isDraining: false,
        ...overrides,
    };
}

/**
 * Builds what is on record of a usual worker.
 *
 * @param overrides What differs from it.
 * @returns The record.
 */
export function buildWorkerRecord(overrides: Partial<WorkerReport> = {}): WorkerRecord {
    const report = buildWorkerReport(overrides);
    return { ...report, fullCapacity: report.capacity };
}

/**
 * Builds the ids of some jobs.
 *
 * @param count How many.
 * @returns Ids that differ, the same each time.
 */
export function buildJobIds(count: number): string[] {
    return Array.from(
        { length: count },
        (_unused, i) => `0000000000${(1_048_576 + i).toString(16)}`,
    );
}
