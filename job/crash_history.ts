/**
 * The worker crashes that one unit of work may have caused, used to detect crash loops.
 *
 * @example
 * ```ts
 * import { addCrash } from "./crash_history.ts";
 * unit.crashes = addCrash(unit.crashes, { attempt: 2, evidence: "early" }, isPerpetual);
 * ```
 *
 * @module
 */

import type { Crash, CrashEvidence } from "./types.ts";

const EVIDENCE_RANK: Readonly<Record<CrashEvidence, number>> = { late: 0, early: 1, sole: 2 };

/**
 * Adds a crash to a unit's history. An attempt of a gang counts once, with the strongest evidence
 * of its workers.
 *
 * @param history The crashes so far; not modified.
 * @param crash The crash.
 * @param isPerpetual Whether the unit runs until it is cancelled. Over a long run its workers crash
 * for unrelated reasons, so an attempt that ran past its startup period clears the history.
 * @returns The new history.
 */
export function addCrash(
    history: readonly Crash[],
    crash: Crash,
    isPerpetual: boolean,
): readonly Crash[] {
    const recorded = history.find(({ attempt }) => attempt === crash.attempt);
    if (
        recorded !== undefined &&
        EVIDENCE_RANK[recorded.evidence] >= EVIDENCE_RANK[crash.evidence]
    ) {
        return history;
    }
    const others = history.filter(({ attempt }) => attempt !== crash.attempt);
    if (crash.evidence !== "late") {
        return [...others, crash];
    }
    // A unit that ran past its startup period once does not crash workers by starting.
    return isPerpetual
        ? []
        : [...others.map(({ attempt }) => ({ attempt, evidence: "late" as const })), crash];
}
