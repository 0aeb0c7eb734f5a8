/**
 * Remembers which instance may lead the group, as learned from messages that are no proof of a
 * lead: a leader's message for an earlier incarnation of this instance, or its announcement.
 *
 * A hint only selects whom to ask next. It is never a vote, a lease or a reason to change the term.
 *
 * @example
 * ```ts
 * import { LeaderHint } from "./leader_hint.ts";
 * const hint = new LeaderHint();
 * hint.record("10.0.0.4:7720" as EntryId, 2, performance.now());
 * hint.find(performance.now()); // "10.0.0.4:7720"
 * ```
 *
 * @module
 */

import type { EntryId } from "../membership/mod.ts";

/**
 * Lifetime of a hint, in ms; several intervals of a leader's announcements. Without it, the hint to
 * a leader of a high term that is gone would hide its successor in a group that was started anew.
 */
const HINT_LIFETIME_MS = 3_000;

interface RecordedHint {
    readonly leader: EntryId;
    readonly term: number;
    readonly recordedAtMs: number;
}

/** The most recent hint to a leader. */
export class LeaderHint {
    #hint: RecordedHint | undefined;

    /**
     * Records a hint. Of two leaders, the one with the higher term is the newer.
     *
     * @param leader The instance that claims to lead.
     * @param term The term in which it claims to lead.
     * @param nowMs The current monotonic time, in ms.
     * @returns False if a hint of a higher term is still valid.
     */
    record(leader: EntryId, term: number, nowMs: number): boolean {
        if (this.find(nowMs) !== undefined && (this.#hint?.term ?? 0) > term) {
            return false;
        }
        this.#hint = { leader, term, recordedAtMs: nowMs };
        return true;
    }

    /**
     * Finds the instance that may lead.
     *
     * @param nowMs The current monotonic time, in ms.
     * @returns The instance, or `undefined` if there is no valid hint.
     */
    find(nowMs: number): EntryId | undefined {
        const hint = this.#hint;
        return hint !== undefined && nowMs - hint.recordedAtMs <= HINT_LIFETIME_MS
            ? hint.leader
            : undefined;
    }
}
