/**
 * Tells effects that only ask from those that change something outside the leader.
 *
 * @example
 * ```ts
 * import { isQuery } from "./effect_kind.ts";
 * const commands = effects.filter((effect) => !isQuery(effect));
 * ```
 *
 * @module
 */

import type { Effect } from "./types.ts";

/**
 * Returns whether an effect only asks a worker or the advice service. It may precede the commit of
 * earlier facts: it changes nothing that a later leader could contradict, and what the leader
 * decides by the answer becomes a fact of its own. A poll acknowledges only committed ends.
 *
 * @param effect The effect.
 * @returns False for orders to workers and for acknowledgements.
 */
export function isQuery({ type }: Effect): boolean {
    return type === "advise" || type === "look" || type === "watch";
}
