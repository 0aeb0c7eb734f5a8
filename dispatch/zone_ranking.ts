/**
 * Ranks availability zones for a step's tasks. Tasks of a finite step share few zones, so that a
 * network partition delays few jobs. Perpetual tasks are spread, so that a partition affects few of
 * the step's tasks.
 *
 * @example
 * ```ts
 * import { rankZones } from "./zone_ranking.ts";
 * const ranks = rankZones(candidates, { tasksByZone, isSpread: false });
 * ranks.get("hall-a"); // 0 if hall-a is preferred
 * ```
 *
 * @module
 */

import type { Candidate } from "./placement.ts";

/** The current zone usage of a step. */
export interface ZoneUsage {
    /** Running tasks of the step, by zone. */
    readonly tasksByZone: ReadonlyMap<string, number>;
    /** Whether the step's tasks are spread over zones. */
    readonly isSpread: boolean;
}

/**
 * Ranks zones for the next task of a step: by the number of its tasks, descending to pack and
 * ascending to spread; then by free CPU, which distributes steps over the zones.
 *
 * @param candidates The workers that may take the task.
 * @param usage The zone usage of the step.
 * @returns The rank by zone, 0 for the first.
 */
export function rankZones(candidates: readonly Candidate[], usage: ZoneUsage): Map<string, number> {
    const freeCpu = new Map<string, number>();
    for (const { zone, freeCapacity } of candidates) {
        freeCpu.set(zone, (freeCpu.get(zone) ?? 0) + freeCapacity.cpu);
    }
    const sign = usage.isSpread ? 1 : -1;
    const countTasks = (zone: string): number => usage.tasksByZone.get(zone) ?? 0;
    const zones = [...freeCpu.keys()].sort(
        (a, b) =>
            sign * (countTasks(a) - countTasks(b)) ||
            (freeCpu.get(b) ?? 0) - (freeCpu.get(a) ?? 0) ||
            (a < b ? -1 : 1),
    );
    return new Map(zones.map((zone, rank) => [zone, rank]));
}
