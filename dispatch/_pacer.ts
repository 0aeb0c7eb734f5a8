/**
 * Slows tasks that fill unused room while a serving task beside them misses its target. The
 * pattern: fillers take what the others leave, but disturb them by caches and disks, by amounts
 * that change within seconds; a serving task's tail rises although its room is untouched.
 *
 * @example
 * ```ts
 * import { Pacer } from "./_pacer.ts";
 * new Pacer(context).update(worker);
 * ```
 *
 * @module
 */

import type { DispatchContext } from "./_context.ts";
import type { MemberRun } from "./types.ts";
import type { WorkerState } from "./worker_registry.ts";

/** A tail above this share of the target counts as a miss to come: figures are rough. */
const PAUSE_THRESHOLD = 0.9;
/** Fillers work more again once the tail is below this share of the target. */
const RECOVERY_THRESHOLD = 0.6;
/** Calm must last this long before each step up, in ms: the disturbance changes within seconds. */
const RECOVERY_INTERVAL_MS = 3_000;
/** A step up, in percent. */
const RECOVERY_STEP_PERCENT = 25;
const FULL_PERCENT = 100;

/** The pacing of one leader. */
export class Pacer {
    readonly #context: DispatchContext;

    /**
     * @param context What the parts share.
     */
    constructor(context: DispatchContext) {
        this.#context = context;
    }

    /**
     * Sets the pace of a worker's fillers by what its serving tasks report.
     *
     * @param worker A worker that was just looked at.
     */
    update(worker: WorkerState): void {
        const members = [...worker.members.values()];
        const fillers = members.filter((member) => member.isFiller && member.state === "running");
        if (fillers.length === 0) {
            return;
        }
        const now = this.#context.clock.getNow();
        const latencyRatios = members
            .filter((member) => member.targetMs > 0 && member.state === "running")
            .map((member) => member.load / member.targetMs);
        const worstRatio = Math.max(0, ...latencyRatios);
        if (worstRatio > PAUSE_THRESHOLD) {
            // At once and wholly: a miss that lasts seconds costs the serving task's users, a
            // filler that pauses costs nothing but time.
            worker.belowTargetSince = undefined;
            fillers.forEach((filler) => this.#setPace(filler, 0));
            return;
        }
        if (worstRatio > RECOVERY_THRESHOLD) {
            worker.belowTargetSince = undefined;
            return;
        }
        worker.belowTargetSince ??= now;
        if (now - worker.belowTargetSince >= RECOVERY_INTERVAL_MS) {
            worker.belowTargetSince = now;
            fillers.forEach((filler) => {
                const pace = filler.pacePercent ?? FULL_PERCENT;
                this.#setPace(filler, Math.min(FULL_PERCENT, pace + RECOVERY_STEP_PERCENT));
            });
        }
    }

    #setPace(filler: MemberRun, percent: number): void {
        if (filler.pacePercent === percent) {
            return;
        }
        filler.pacePercent = percent;
        this.#context.recordDecision("decision", "filler paced", {
            request: filler.unit.job,
            task: filler.name,
            worker: filler.worker,
            percent,
        });
        this.#context.emit({ type: "pace", member: filler });
    }
}
