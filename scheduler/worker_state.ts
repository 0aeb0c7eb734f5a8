/**
 * The state that a cell tracks for a worker: availability, reserved resources, slots and leases.
 *
 * @example
 * ```ts
 * import { createWorkerState, getFreeResources } from "./worker_state.ts";
 * const worker = createWorkerState(instance, executors);
 * console.log(getFreeResources(worker).cores);
 * ```
 *
 * @module
 */

import {
    NO_RESOURCES,
    removeResources,
    type Executor,
    type Instance,
    type LeaseId,
    type Resources,
    type ServiceId,
} from "../inventory/mod.ts";

/** The state of a worker in a cell. The mutable fields are part of the cell's snapshot. */
export interface WorkerState {
    readonly instance: Instance;
    /** Address of the worker's agent; `undefined` until the worker announces itself. */
    address: string | undefined;
    /** Id of the worker process that announced itself last; changes with a restart. */
    incarnation: string;
    /** Whether heartbeats arrive in time. */
    alive: boolean;
    /** Drained by an operator: running tasks continue, but no new ones are placed. */
    drained: boolean;
    /**
     * Set when the worker announces its shutdown, and reset by its next announcement, which does
     * not end an operator's drain.
     */
    leaving: boolean;
    /** End of the quarantine in ms. Several consecutive failures start a quarantine. */
    quarantinedUntil: number;
    /** Time of the last heartbeat in ms. */
    lastHeartbeatAt: number;
    /** Number of tasks that failed on this worker since the last one that completed. */
    failuresInARow: number;
    /** Resources reserved by leases; each reserves the larger of declared and reported usage. */
    held: Resources;
    /** Total number of slots per service. */
    readonly slots: ReadonlyMap<ServiceId, number>;
    /** Number of slots in use per service. */
    readonly slotsUsed: Map<ServiceId, number>;
    /** Live leases on this worker. */
    readonly leases: Set<LeaseId>;
}

/**
 * Creates the state of a worker that has not announced itself yet.
 *
 * @param instance The worker's instance.
 * @param executors All executors of the inventory; those on this instance define its slots.
 * @returns The state.
 */
export function createWorkerState(instance: Instance, executors: readonly Executor[]): WorkerState {
    const slots = new Map<ServiceId, number>();
    for (const executor of executors) {
        if (executor.instance === instance.id) {
            slots.set(executor.service, executor.slots);
        }
    }
    return {
        instance,
        address: undefined,
        incarnation: "",
        alive: false,
        drained: false,
        leaving: false,
        quarantinedUntil: 0,
        lastHeartbeatAt: 0,
        failuresInARow: 0,
        held: NO_RESOURCES,
        slots,
        slotsUsed: new Map(),
        leases: new Set(),
    };
}

/**
 * Returns the capacity of a worker minus the resources that its leases hold.
 *
 * @param worker The worker.
 * @returns The free resources; negative when reported usage exceeds the capacity.
 */
export function getFreeResources(worker: WorkerState): Resources {
    return removeResources(worker.instance.capacity, worker.held);
}

/**
 * Returns the number of free slots of a service on a worker.
 *
 * @param worker The worker.
 * @param service The service.
 * @returns The number of free slots; 0 when the instance has no executor of the service.
 */
export function getFreeSlots(worker: WorkerState, service: ServiceId): number {
    return (worker.slots.get(service) ?? 0) - (worker.slotsUsed.get(service) ?? 0);
}

/**
 * Checks whether new tasks may be placed on a worker.
 *
 * @param worker The worker.
 * @param nowMs The current time in ms.
 * @returns True when the worker is alive and neither drained, leaving nor quarantined.
 */
export function isSchedulable(worker: WorkerState, nowMs: number): boolean {
    return worker.alive && !worker.drained && !worker.leaving && worker.quarantinedUntil <= nowMs;
}
