/**
 * Throttles filler tasks while a serving task on the same worker is close to missing its latency
 * target. Fillers use only idle CPU but still compete for caches and disks.
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

/**
 * Fillers are paused when a tail latency exceeds this share of its target. The reported latencies
 * are rough, so fillers are paused before the target is missed.
 */
const PAUSE_THRESHOLD = 0.9;
/** Fillers speed up again while every tail latency is at most this share of its target. */
const RECOVERY_THRESHOLD = 0.6;
/**
 * Time below the recovery threshold before each increase of the pace, in ms. The interference
 * changes within seconds.
 */
const RECOVERY_INTERVAL_MS = 3_000;
/** Increase of the pace per step, in percent. */
const RECOVERY_STEP_PERCENT = 25;
const FULL_PERCENT = 100;

/** Sets the pace of filler tasks for one leader. */
export class Pacer {
    readonly #context: DispatchContext;

    /**
     * @param context The dispatcher's shared state.
     */
    constructor(context: DispatchContext) {
        this.#context = context;
    }

    /**
     * Updates the pace of a worker's fillers from the latency of its serving tasks.
     *
     * @param worker A worker that has just answered a poll.
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
            // Pause fully and at once: a missed target affects users, a paused filler only loses
            // time.
            worker.recoveryIntervalStartedAtMs = undefined;
            fillers.forEach((filler) => this.#setPace(filler, 0));
            return;
        }
        if (worstRatio > RECOVERY_THRESHOLD) {
            worker.recoveryIntervalStartedAtMs = undefined;
            return;
        }
        worker.recoveryIntervalStartedAtMs ??= now;
        if (now - worker.recoveryIntervalStartedAtMs >= RECOVERY_INTERVAL_MS) {
            worker.recoveryIntervalStartedAtMs = now;
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
