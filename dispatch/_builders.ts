/**
 * Builders of queues, steps, jobs and workers for tests: default values with optional overrides.
 *
 * @example
 * ```ts
 * import { buildQueue, buildSpec } from "./_builders.ts";
 * const spec = buildSpec({ count: 20, isGang: true });
 * ```
 *
 * @module
 */

import type { ApiKey, WorkspaceConfig, WorkspaceName } from "../workspace/mod.ts";
import type { PoolName, QueueConfig, QueueName } from "../configuration/mod.ts";
import type { JobSpec, StepSpec, WorkerId, WorkerRecord, WorkerReport } from "../job/mod.ts";

export const POOL = "studio" as PoolName;
export const QUEUE = "previews" as QueueName;

/**
 * Builds a queue.
 *
 * @param overrides Fields that differ from a queue of top priority without advice.
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
 * Builds a workspace.
 *
 * @param overrides Fields that differ from a workspace with one key and no limit.
 * @returns The workspace.
 */
export function buildWorkspace(overrides: Partial<WorkspaceConfig> = {}): WorkspaceConfig {
    const { name = "acme" as WorkspaceName } = overrides;
    return {
        name,
        apiKeys: [`key-of-${name}` as ApiKey],
        weight: 1,
        limit: { cpu: 0, memoryMb: 0, gpu: 0 },
        ...overrides,
    };
}

/**
 * Builds a step.
 *
 * @param overrides Fields that differ from a step of one small task.
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
 * Builds a job spec.
 *
 * @param steps Overrides of the default step, one entry per step.
 * @returns The job spec.
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
 * Builds the report that a worker sends with its heartbeats.
 *
 * @param overrides Fields that differ from the default worker.
 * @returns The report.
 */
export function buildWorkerReport(overrides: Partial<WorkerReport> = {}): WorkerReport {
    return {
        id: "w1" as WorkerId,
        incarnation: undefined,
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
 * Builds the stored record of a worker.
 *
 * @param overrides Report fields that differ from the default worker.
 * @returns The record.
 */
export function buildWorkerRecord(overrides: Partial<WorkerReport> = {}): WorkerRecord {
    const report = buildWorkerReport(overrides);
    return { ...report, fullCapacity: report.capacity };
}

/**
 * Builds distinct job ids.
 *
 * @param count Number of ids.
 * @returns The ids, the same on each call.
 */
export function buildJobIds(count: number): string[] {
    return Array.from(
        { length: count },
        (_unused, i) => `0000000000${(1_048_576 + i).toString(16)}`,
    );
}
