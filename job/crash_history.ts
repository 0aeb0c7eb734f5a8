/**
 * Crashes of workers under one unit's attempts, as far as the unit may have caused them.
 *
 * @example
 * ```ts
 * import { addCrash } from "./crash_history.ts";
 * unit.crashes = addCrash(unit.crashes, { attempt: 2, evidence: "early" }, isPerpetual);
 * ```
 *
 * @module
 */

import type { UnitRef } from "./types.ts";

/**
 * What a crash says about an attempt that was on the worker. `late`: the attempt had outlasted its start. `early`:
 * it had not, nor had others beside it. `sole`: it was the only one that had not.
 */
export type CrashEvidence = "late" | "early" | "sole";

/** One attempt under which a worker crashed. */
export interface Crash {
    readonly attempt: number;
    readonly evidence: CrashEvidence;
}

/** What a crash, or a silence that may be one, says about one attempt. */
export interface CrashedAttempt extends Crash {
    readonly unit: UnitRef;
}

const EVIDENCE_RANK: Readonly<Record<CrashEvidence, number>> = { late: 0, early: 1, sole: 2 };

/**
 * Adds a crash to a unit's history. A gang's attempt counts once, with the strongest evidence of its workers.
 *
 * @param history The crashes so far.
 * @param crash The crash.
 * @param isPerpetual Whether the unit runs until it is stopped: over a long life its workers crash by
 * causes of their own, so an attempt that outlasted its start clears it.
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
    // What outlasted its start once does not crash its workers by being started.
    return isPerpetual
        ? []
        : [...others.map(({ attempt }) => ({ attempt, evidence: "late" as const })), crash];
}
