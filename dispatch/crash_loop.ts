/**
 * Detects units that crash their workers. Most tasks on a crashed worker did not cause the crash,
 * so a unit is failed only after crashes that nothing else explains, or after too many crashes.
 *
 * @example
 * ```ts
 * import { computeCrashEvidence, isCrashLoop } from "./crash_loop.ts";
 * for (const { unit, evidence } of computeCrashEvidence(members)) {
 *     // record the evidence, then fail the units for which isCrashLoop returns true
 * }
 * ```
 *
 * @module
 */

import type { Crash, CrashedAttempt } from "../job/mod.ts";
import { createUnitKey } from "./ready_steps.ts";
import type { MemberRun } from "./types.ts";

/** Time after its start within which a task may have caused its worker's crash, in ms. */
export const STARTUP_CRASH_WINDOW_MS = 500;
/** Crashes with no other suspect unit after which a unit is failed. */
const MAX_SOLE_CRASHES = 2;
/** Crashes with any evidence after which a unit is failed. */
const MAX_CRASHES = 4;
/** Crashes after which a unit is isolated for its whole run, not only during its startup. */
const FULL_ISOLATION_CRASHES = 3;

/**
 * Returns whether a run is past its startup.
 *
 * @param member The run.
 * @returns True once its worker listed it long enough after its start.
 */
export function isPastStartup(member: Pick<MemberRun, "observedRunMs">): boolean {
    return member.observedRunMs >= STARTUP_CRASH_WINDOW_MS;
}

/**
 * Computes the evidence of a worker's crash against the units that ran there.
 *
 * @param members All runs on the worker.
 * @returns One entry for each unit that may have been started.
 */
export function computeCrashEvidence(members: readonly MemberRun[]): CrashedAttempt[] {
    const sent = members.filter((member) => member.startSends > 0);
    const startingUnits = new Set(
        sent.filter((member) => !isPastStartup(member)).map((member) => createUnitKey(member.unit)),
    );
    const units = new Map<string, CrashedAttempt>();
    for (const { unit, attempt } of sent) {
        const key = createUnitKey(unit);
        const startupEvidence = startingUnits.size === 1 ? "sole" : "early";
        units.set(key, {
            unit,
            attempt,
            evidence: startingUnits.has(key) ? startupEvidence : "late",
        });
    }
    return [...units.values()];
}

/**
 * Returns whether a unit keeps crashing its workers.
 *
 * @param crashes The unit's crash history.
 * @returns True if the unit should be failed.
 */
export function isCrashLoop(crashes: readonly Crash[]): boolean {
    const sole = crashes.filter(({ evidence }) => evidence === "sole").length;
    return sole >= MAX_SOLE_CRASHES || crashes.length >= MAX_CRASHES;
}

/**
 * Computes how long a unit's next run is isolated from other starts on its worker, so that a crash
 * is attributable to it and affects no other new run.
 *
 * @param crashes The unit's crash history.
 * @returns The duration from the run's start, in ms: 0 for a unit that is not suspected, infinite
 * to isolate the whole run.
 */
export function computeIsolationMs(crashes: readonly Crash[]): number {
    if (crashes.length >= FULL_ISOLATION_CRASHES) {
        return Number.POSITIVE_INFINITY;
    }
    return crashes.some(({ evidence }) => evidence !== "late") ? STARTUP_CRASH_WINDOW_MS : 0;
}
