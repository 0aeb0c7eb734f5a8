/**
 * Measures how long one placement takes, without the rest of the dispatcher: selects workers for a
 * single task and for a gang of 20 among the free workers of a pool. Prints the median and the 99th
 * percentile, in microseconds.
 *
 * @example
 * ```sh
 * npx tsx bench/placement_bench.ts --workers 300 --rounds 20000
 * ```
 *
 * @module
 */

import { parseArgs } from "node:util";
import * as hdr from "hdr-histogram-js";
import { placeUnit, type Candidate, type PlacementRequest } from "../dispatch/placement.ts";
import { rankZones } from "../dispatch/zone_ranking.ts";
import type { WorkerId } from "../job/mod.ts";
import { createRandom } from "../tools/seeded_random.ts";

const { values } = parseArgs({
    options: {
        workers: { type: "string", default: "300" },
        rounds: { type: "string", default: "20000" },
    },
});
const workerCount = Number(values.workers);
const rounds = Number(values.rounds);
/** Placements before the measurement, so that the code is compiled. */
const WARM_UP_ROUNDS = 2_000;
/** Distinct sets of candidates, so that branch prediction doesn't learn one order. */
const CANDIDATE_SETS = 50;

const random = createRandom(1);

function buildCandidates(): Candidate[] {
    return Array.from({ length: workerCount }, (_unused, i) => ({
        id: `w${i}` as WorkerId,
        freeCapacity: { cpu: Math.floor(random() * 16) * 1_000, memoryMb: 32_000, gpu: 0 },
        rack: `r${i % 10}`,
        zone: `zone-${i % 5}`,
        tasksOfStep: 0,
        isDataLocal: false,
        slowness: 1,
        hasRecentFailure: false,
        speed: i % 3 === 0 ? 2 : 1,
    }));
}

/** Measures the placements of one kind of request and prints a line. */
function measure(name: string, overrides: Partial<PlacementRequest>): void {
    const sets = Array.from({ length: CANDIDATE_SETS }, () => buildCandidates());
    const requests = sets.map((candidates): PlacementRequest => {
        const zoneRanks = rankZones(candidates, { tasksByZone: new Map(), isSpread: false });
        return {
            needs: { cpu: 2_500, memoryMb: 1_400, gpu: 0 },
            count: 1,
            candidates,
            maxPerWorker: 0,
            isRackLocal: false,
            zoneRanks,
            ...overrides,
        };
    });
    const histogram = hdr.build({ lowestDiscernibleValue: 1, highestTrackableValue: 1e9 });
    for (let i = 0; i < WARM_UP_ROUNDS + rounds; i++) {
        const request = requests[i % CANDIDATE_SETS] as PlacementRequest;
        const startedAtMs = performance.now();
        placeUnit(request);
        if (i >= WARM_UP_ROUNDS) {
            histogram.recordValue(Math.round((performance.now() - startedAtMs) * 1e6));
        }
    }
    const formatUs = (percentile: number): string =>
        (histogram.getValueAtPercentile(percentile) / 1_000).toFixed(1);
    process.stdout.write(
        `${name}: ${workerCount} workers, p50 ${formatUs(50)} us, p99 ${formatUs(99)} us\n`,
    );
}

measure("one task", {});
measure("gang of 20", { count: 20 });
