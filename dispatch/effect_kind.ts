/**
 * Tells the effects that may precede the commit of facts recorded before them.
 *
 * @example
 * ```ts
 * import { isIndependent } from "./effect_kind.ts";
 * const waiting = effects.filter((effect) => !isIndependent(effect));
 * ```
 *
 * @module
 */

import type { Effect } from "./types.ts";

/**
 * Returns whether an effect rests on no fact that may not be committed yet. Polls and calls for
 * advice change nothing that a later leader could contradict: what the leader decides by the answer
 * becomes a fact of its own, and a poll acknowledges only committed ends. A repeated start names an
 * attempt that was committed before it was first sent.
 *
 * @param effect The effect.
 * @returns False for first starts, stops, paces and acknowledgements.
 */
export function isIndependent(effect: Effect): boolean {
    switch (effect.type) {
        case "advise":
        case "look":
        case "watch":
            return true;
        case "start":
            return effect.member.startSends > 0;
        case "stop":
        case "pace":
        case "acknowledge":
            return false;
    }
}
