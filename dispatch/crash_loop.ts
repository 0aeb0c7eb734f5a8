/**
 * Tasks that crash their workers. The pattern: a worker ends soon after a task's start, with all that runs there,
 * and the task takes the next worker down as soon as it is started again. Most tasks that were on a crashed worker
 * are innocent, so one is given up only after crashes that nothing else explains, or after too many.
 *
 * @example
 * ```ts
 * import { computeEvidence, isCrashLoop } from "./crash_loop.ts";
 * for (const { unit, evidence } of computeEvidence(members)) {
 *     // record it, then give up what isCrashLoop says
 * }
 * ```
 *
 * @module
 */

import type { Crash, CrashedAttempt } from "../job/mod.ts";
import { createUnitKey } from "./ready_steps.ts";
import type { MemberRun } from "./types.ts";

/** A run that was seen at work so long after its start has outlasted it, in ms. */
export const STARTUP_CRASH_WINDOW_MS = 500;
/** Crashes that nothing else explains after which a unit is given up. */
const MAX_SOLE_CRASHES = 2;
/** Crashes of any evidence after which a unit is given up. */
const MAX_CRASHES = 4;
/** From so many crashes on a unit runs apart from other starts for its whole run, not only at its start. */
const FULL_ISOLATION_CRASHES = 3;

/**
 * Tells whether a run has outlasted its start.
 *
 * @param member The run.
 * @returns True once its worker listed it a while after its start.
 */
export function isPastStartup(member: Pick<MemberRun, "observedRunMs">): boolean {
    return member.observedRunMs >= STARTUP_CRASH_WINDOW_MS;
}

/**
 * Weighs what a worker's crash says about the units that were there.
 *
 * @param members All runs on the worker.
 * @returns One entry a unit that an order may have started.
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
 * Tells whether a unit is to be given up.
 *
 * @param crashes Its history.
 * @returns True when it crashes its workers.
 */
export function isCrashLoop(crashes: readonly Crash[]): boolean {
    const sole = crashes.filter(({ evidence }) => evidence === "sole").length;
    return sole >= MAX_SOLE_CRASHES || crashes.length >= MAX_CRASHES;
}

/**
 * Computes for how long a unit's next run keeps other starts off its worker, so that a crash tells of it alone
 * and takes no other new run along.
 *
 * @param crashes Its history.
 * @returns Ms from its start; 0 for a unit that is not under suspicion.
 */
export function computeIsolationMs(crashes: readonly Crash[]): number {
    if (crashes.length >= FULL_ISOLATION_CRASHES) {
        return Number.POSITIVE_INFINITY;
    }
    return crashes.some(({ evidence }) => evidence !== "late") ? STARTUP_CRASH_WINDOW_MS : 0;
}
