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
import type { WorkerState } from "./worker_book.ts";

/** A tail above this share of the target counts as a miss to come: figures are rough. */
const ALARM_SHARE = 0.9;
/** Fillers work more again once the tail is below this share of the target. */
const CALM_SHARE = 0.6;
/** Calm must last this long before each step up, in ms: the disturbance changes within seconds. */
const CALM_MS = 3_000;
/** A step up, in percent. */
const STEP_UP_PERCENT = 25;
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
        const shares = members
            .filter((member) => member.targetMs > 0 && member.state === "running")
            .map((member) => member.load / member.targetMs);
        const worst = Math.max(0, ...shares);
        if (worst > ALARM_SHARE) {
            // At once and wholly: a miss that lasts seconds costs the serving task's users, a
            // filler that pauses costs nothing but time.
            worker.calmSince = undefined;
            fillers.forEach((filler) => this.#setPace(filler, 0));
            return;
        }
        if (worst > CALM_SHARE) {
            worker.calmSince = undefined;
            return;
        }
        worker.calmSince ??= now;
        if (now - worker.calmSince >= CALM_MS) {
            worker.calmSince = now;
            fillers.forEach((filler) => {
                const pace = filler.pacePercent ?? FULL_PERCENT;
                this.#setPace(filler, Math.min(FULL_PERCENT, pace + STEP_UP_PERCENT));
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
