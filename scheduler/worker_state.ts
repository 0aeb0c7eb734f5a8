/**
 * What the cell knows of one worker: its instance, whether it takes work, and what is held on it.
 *
 * @example
 * ```ts
 * import { createWorkerState, getFree } from "./worker_state.ts";
 * const worker = createWorkerState(instance, executors);
 * console.log(getFree(worker).cores);
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

/** The cell's view of one worker. */
export interface WorkerState {
    readonly instance: Instance;
    /** Where its agent listens; `undefined` until it announced itself. */
    address: string | undefined;
    /** The worker process that announced itself last. */
    incarnation: string;
    /** Heartbeats arrive within the lease time to live. */
    alive: boolean;
    /** Drained by an operator, until undrained: it keeps its tasks and gets no new ones. */
    drained: boolean;
    /** It announced that it leaves; a new announcement ends that, but not an operator's drain. */
    leaving: boolean;
    /** Until this time (ms) it gets no new work: it failed everything it started lately. */
    quarantinedUntil: number;
    lastHeartbeatAt: number;
    /** Tasks that ended failed in a row on this worker. */
    failuresInARow: number;
    /** Sum of what its leases hold: per lease the larger of declared and reported usage. */
    held: Resources;
    /** Slots per service on this instance. */
    readonly slots: ReadonlyMap<ServiceId, number>;
    /** Slots in use per service. */
    readonly slotsUsed: Map<ServiceId, number>;
    /** Leases that hold resources here (not ended). */
    readonly leases: Set<LeaseId>;
}

/**
 * Creates the view of a worker that has not announced itself yet.
 *
 * @param instance The worker's instance.
 * @param executors Every executor of the inventory; those on this instance give its slots.
 * @returns The view.
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
 * Gives what is left on a worker: capacity less what its leases hold.
 *
 * @param worker The worker.
 * @returns Free resources (never below what the capacity allows; may be zero).
 */
export function getFreeResources(worker: WorkerState): Resources {
    return removeResources(worker.instance.capacity, worker.held);
}

/**
 * Gives the free slots of a service on a worker.
 *
 * @param worker The worker.
 * @param service The service.
 * @returns Free slots; 0 where the instance has no executor of the service.
 */
export function getFreeSlots(worker: WorkerState, service: ServiceId): number {
    return (worker.slots.get(service) ?? 0) - (worker.slotsUsed.get(service) ?? 0);
}

/**
 * Tells whether a worker takes new work now.
 *
 * @param worker The worker.
 * @param nowMs The time in ms.
 * @returns True when alive, neither drained nor leaving, and not quarantined.
 */
export function isSchedulable(worker: WorkerState, nowMs: number): boolean {
    return worker.alive && !worker.drained && !worker.leaving && worker.quarantinedUntil <= nowMs;
}
