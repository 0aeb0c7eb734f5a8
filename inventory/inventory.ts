/**
 * The inventory of a cell: instances, racks, availability zones, services and executors, as listed
 * in the operators' asset register.
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

/** The capacity of an instance or the demand of a task. */
export interface Resources {
    /** CPU cores; may be fractional. */
    readonly cores: number;
    /** Memory in MiB. */
    readonly memoryMb: number;
    /** Accelerators, in whole devices. */
    readonly accelerators: number;
}

/** A machine that runs tasks through its worker. */
export interface Instance {
    readonly id: InstanceId;
    readonly rack: RackId;
    readonly zone: ZoneId;
    readonly capacity: Resources;
}

/** The slots and connections of one service on one instance. */
export interface Executor {
    readonly id: ExecutorId;
    readonly service: ServiceId;
    readonly instance: InstanceId;
    /** The most tasks of the service that run on the instance at the same time. */
    readonly slots: number;
    /** The most connections (streams) that the executor keeps open. */
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

/** Zero of every resource. */
export const NO_RESOURCES: Resources = { cores: 0, memoryMb: 0, accelerators: 0 };

/**
 * Adds two amounts of resources.
 *
 * @param a The first amount.
 * @param b The second amount.
 * @returns The sum, per resource.
 */
export function addResources(a: Resources, b: Resources): Resources {
    return {
        cores: a.cores + b.cores,
        memoryMb: a.memoryMb + b.memoryMb,
        accelerators: a.accelerators + b.accelerators,
    };
}

/**
 * Subtracts one amount of resources from another; the result may be negative.
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
 * Checks whether a demand fits into the free capacity. Cores are compared with a tolerance for
 * floating-point error.
 *
 * @param demand The resources that a task requests.
 * @param free The free capacity of an instance.
 * @returns True when no resource of `demand` exceeds that of `free`.
 */
export function isFitting(demand: Resources, free: Resources): boolean {
    return (
        demand.cores <= free.cores + 1e-9 &&
        demand.memoryMb <= free.memoryMb &&
        demand.accelerators <= free.accelerators
    );
}

/**
 * Returns the maximum of two amounts, per resource.
 *
 * @param a The first amount.
 * @param b The second amount.
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
 * Adds up the cores of all instances.
 *
 * @param inventory The inventory to total.
 * @returns The number of cores.
 */
export function getTotalCores(inventory: Inventory): number {
    return inventory.instances.reduce((sum, instance) => sum + instance.capacity.cores, 0);
}
