/**
 * The naive reference scheduler for differential tests: one process, first fit, no
 * concurrency, no preemption, no policies. It places each request on the first workers with
 * room, in arrival order, and keeps its own books. Its results are checked against the same
 * invariants as the cell's.
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

/** A placement the reference made. */
export interface ReferencePlacement {
    readonly requestIndex: number;
    readonly instanceIds: readonly InstanceId[];
}

/** The naive scheduler. */
export class ReferenceScheduler {
    readonly #instances: readonly Instance[];
    readonly #rules: Rules;
    readonly #heldResources = new Map<InstanceId, Resources>();
    readonly #usedSlots = new Map<InstanceId, number>();
    readonly #totalSlots = new Map<string, number>();
    readonly #queue: { index: number; spec: RequestSpec }[] = [];
    /** What it placed, in order. */
    readonly placements: ReferencePlacement[] = [];
    /** Requests it refused, by index. */
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
     * Takes a request; refuses a kind without a rule or one that fits no instance at all.
     *
     * @param spec The request.
     * @returns Its index.
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

    /** Places what fits now, first fit, in arrival order; a gang all at once or not at all. */
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
     * Ends one placed task, freeing what it held.
     *
     * @param worker Where it ran.
     * @param spec Its request.
     */
    releaseTask(worker: InstanceId, spec: RequestSpec): void {
        this.#heldResources.set(
            worker,
            addResources(this.#heldResources.get(worker) ?? NO_RESOURCES, {
                cores: -spec.demand.cores,
                memoryMb: -spec.demand.memoryMb,
                accelerators: -spec.demand.accelerators,
            }),
        );
        this.#usedSlots.set(
            `${spec.service}@${worker}` as InstanceId,
            (this.#usedSlots.get(`${spec.service}@${worker}` as InstanceId) ?? 1) - 1,
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
