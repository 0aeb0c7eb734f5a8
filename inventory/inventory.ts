/**
 * The inventory: instances, racks, availability zones, services and executors, as the operators
 * load it from their asset register.
 *
 * @example
 * ```ts
 * import { getTotalCores } from "./inventory.ts";
 * console.log(getTotalCores(inventory));
 * ```
 *
 * @module
 */

import type { ExecutorId, InstanceId, RackId, ServiceId, ZoneId } from "./ids.ts";

/** Resources of one instance, or what one task asks for. Cores may be fractional. */
export interface Resources {
    /** Processor cores. */
    readonly cores: number;
    /** Memory in MiB. */
    readonly memoryMb: number;
    /** Accelerators (whole devices). */
    readonly accelerators: number;
}

/** A machine that runs tasks through its worker. */
export interface Instance {
    readonly id: InstanceId;
    readonly rack: RackId;
    readonly zone: ZoneId;
    readonly capacity: Resources;
}

/** One service's slot pool on one instance. */
export interface Executor {
    readonly id: ExecutorId;
    readonly service: ServiceId;
    readonly instance: InstanceId;
    /** Tasks of the service that may run on the instance at once. */
    readonly slots: number;
    /** Open connections (streams) that the executor may hold. */
    readonly connections: number;
}

/** A service that callers send work to. */
export interface Service {
    readonly id: ServiceId;
    readonly zones: readonly ZoneId[];
}

/** The whole inventory of a cell. */
export interface Inventory {
    readonly cell: string;
    readonly zones: readonly ZoneId[];
    readonly instances: readonly Instance[];
    readonly services: readonly Service[];
    readonly executors: readonly Executor[];
}

/** No resources at all. */
export const NO_RESOURCES: Resources = { cores: 0, memoryMb: 0, accelerators: 0 };

/**
 * Adds two resource amounts.
 *
 * @param a The first amount.
 * @param b The second amount.
 * @returns Their sum.
 */
export function addResources(a: Resources, b: Resources): Resources {
    return {
        cores: a.cores + b.cores,
        memoryMb: a.memoryMb + b.memoryMb,
        accelerators: a.accelerators + b.accelerators,
    };
}

/**
 * Subtracts `b` from `a`; the result may be negative.
 *
 * @param a The amount to subtract from.
 * @param b The amount to subtract.
 * @returns `a - b`, per resource.
 */
export function removeResources(a: Resources, b: Resources): Resources {
    return {
        cores: a.cores - b.cores,
        memoryMb: a.memoryMb - b.memoryMb,
        accelerators: a.accelerators - b.accelerators,
    };
}

/**
 * Tells whether `demand` fits into `free`.
 *
 * @param demand What a task asks for.
 * @param free What is left on an instance.
 * @returns True when every resource of `demand` is at most that of `free`.
 */
export function isFitting(demand: Resources, free: Resources): boolean {
    return (
        demand.cores <= free.cores + 1e-9 &&
        demand.memoryMb <= free.memoryMb &&
        demand.accelerators <= free.accelerators
    );
}

/**
 * Takes the larger of two amounts, per resource.
 *
 * @param a One amount.
 * @param b The other.
 * @returns The per-resource maximum.
 */
export function getMaxResources(a: Resources, b: Resources): Resources {
    return {
        cores: Math.max(a.cores, b.cores),
        memoryMb: Math.max(a.memoryMb, b.memoryMb),
        accelerators: Math.max(a.accelerators, b.accelerators),
    };
}

/**
 * Adds up the cores of every instance.
 *
 * @param inventory The inventory.
 * @returns Total cores.
 */
export function getTotalCores(inventory: Inventory): number {
    return inventory.instances.reduce((sum, instance) => sum + instance.capacity.cores, 0);
}
