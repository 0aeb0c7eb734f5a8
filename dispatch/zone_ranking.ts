/**
 * Which availability zones a step's tasks go to. The pattern: a zone is cut off for some seconds. What runs there
 * goes on, but its ends are not seen until the cut heals, and a step is done only with its last task: spread over
 * all zones, each cut holds up nearly every job that runs. A step's tasks therefore share as few zones as
 * have room. Lasting tasks are the opposite: each serves on its own, so they are spread, and a cut takes few.
 *
 * @example
 * ```ts
 * import { rankZones } from "./zone_ranking.ts";
 * const ranks = rankZones(candidates, { tasksByZone, isSpread: false });
 * candidates.sort((a, b) => ranks.get(a.zone) - ranks.get(b.zone));
 * ```
 *
 * @module
 */

import type { Candidate } from "./placement.ts";

/** What the choice of a zone rests on, beside the workers with room. */
export interface ZoneUsage {
    /** Tasks of the step that run now, by zone. */
    readonly tasksByZone: ReadonlyMap<string, number>;
    /** Whether the step's tasks should be apart. */
    readonly isSpread: boolean;
}

/**
 * Ranks zones for the next task of a step: for tasks that belong together the zone with most of them first, for
 * tasks that should be apart the one with fewest; then by room, so that steps take turns over the zones.
 *
 * @param candidates The workers that may take the task.
 * @param usage What runs where.
 * @returns A rank by zone, 0 for the first.
 */
export function rankZones(candidates: readonly Candidate[], usage: ZoneUsage): Map<string, number> {
    const freeCpu = new Map<string, number>();
    for (const { zone, free } of candidates) {
        freeCpu.set(zone, (freeCpu.get(zone) ?? 0) + free.cpu);
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
