/**
 * A first-fit scheduler without preemption or placement policies, as the reference for
 * differential tests of the cell.
 *
 * @example
 * ```ts
 * import { ReferenceScheduler } from "./reference_scheduler.ts";
 * const reference = new ReferenceScheduler(inventory, rules);
 * reference.submit(spec);
 * reference.placeAll();
 * ```
 *
 * @module
 */

import type { RequestSpec } from "../cell/mod.ts";
import {
    addResources,
    isFitting,
    NO_RESOURCES,
    type Instance,
    type InstanceId,
    type Inventory,
    type Resources,
} from "../inventory/mod.ts";
import type { Rules } from "../rules/mod.ts";

/** The instances on which the tasks of a request were placed. */
export interface ReferencePlacement {
    readonly requestIndex: number;
    readonly instanceIds: readonly InstanceId[];
}

/** Places requests in order of arrival on the first instances with enough capacity. */
export class ReferenceScheduler {
    readonly #instances: readonly Instance[];
    readonly #rules: Rules;
    readonly #heldResources = new Map<InstanceId, Resources>();
    readonly #usedSlots = new Map<InstanceId, number>();
    readonly #totalSlots = new Map<string, number>();
    readonly #queue: { index: number; spec: RequestSpec }[] = [];
    /** Placements in the order in which they were made. */
    readonly placements: ReferencePlacement[] = [];
    /** Indexes of the refused requests. */
    readonly refused = new Set<number>();
    #nextIndex = 0;

    /**
     * @param inventory The inventory.
     * @param rules The rules.
     */
    constructor(inventory: Inventory, rules: Rules) {
        this.#instances = inventory.instances;
        this.#rules = rules;
        for (const executor of inventory.executors) {
            this.#totalSlots.set(`${executor.service}@${executor.instance}`, executor.slots);
        }
    }

    /**
     * Queues a request. Requests of an unknown kind, and those that fit on no instance, are
     * refused.
     *
     * @param spec The request.
     * @returns The index of the request.
     */
    submit(spec: RequestSpec): number {
        const index = this.#nextIndex++;
        const fitsSomewhere = this.#instances.some(
            (i) =>
                isFitting(spec.demand, i.capacity) &&
                this.#totalSlots.has(`${spec.service}@${i.id}`),
        );
        if (!this.#rules.kinds.has(spec.kind) || !fitsSomewhere) {
            this.refused.add(index);
        } else {
            this.#queue.push({ index, spec });
        }
        return index;
    }

    /** Places the queued requests that fit; either all tasks of a request are placed or none. */
    placeAll(): void {
        for (const queued of [...this.#queue]) {
            const instanceIds = this.#placeFirstFit(queued.spec);
            if (instanceIds !== undefined) {
                this.placements.push({ requestIndex: queued.index, instanceIds });
                this.#queue.splice(this.#queue.indexOf(queued), 1);
            }
        }
    }

    /**
     * Releases the resources and the slot of one placed task.
     *
     * @param instance The instance of the task.
     * @param spec The request of the task.
     */
    releaseTask(instance: InstanceId, spec: RequestSpec): void {
        this.#heldResources.set(
            instance,
            addResources(this.#heldResources.get(instance) ?? NO_RESOURCES, {
                cores: -spec.demand.cores,
                memoryMb: -spec.demand.memoryMb,
                accelerators: -spec.demand.accelerators,
            }),
        );
        this.#usedSlots.set(
            `${spec.service}@${instance}` as InstanceId,
            (this.#usedSlots.get(`${spec.service}@${instance}` as InstanceId) ?? 1) - 1,
        );
    }

    #placeFirstFit(spec: RequestSpec): InstanceId[] | undefined {
        const selected: InstanceId[] = [];
        const heldAfter = new Map(this.#heldResources);
        const usedSlotsAfter = new Map(this.#usedSlots);
        for (let t = 0; t < spec.count; t++) {
            const instance = this.#instances.find((i) => {
                const key = `${spec.service}@${i.id}` as InstanceId;
                const freeSlots = (this.#totalSlots.get(key) ?? 0) - (usedSlotsAfter.get(key) ?? 0);
                return (
                    freeSlots > 0 &&
                    isFitting(
                        addResources(heldAfter.get(i.id) ?? NO_RESOURCES, spec.demand),
                        i.capacity,
                    )
                );
            });
            if (instance === undefined) {
                return undefined;
            }
            const key = `${spec.service}@${instance.id}` as InstanceId;
            heldAfter.set(
                instance.id,
                addResources(heldAfter.get(instance.id) ?? NO_RESOURCES, spec.demand),
            );
            usedSlotsAfter.set(key, (usedSlotsAfter.get(key) ?? 0) + 1);
            selected.push(instance.id);
        }
        for (const [k, v] of heldAfter) {
            this.#heldResources.set(k, v);
        }
        for (const [k, v] of usedSlotsAfter) {
            this.#usedSlots.set(k, v);
        }
        return selected;
    }
}
