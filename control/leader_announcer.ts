/**
 * Announces a leader to the control instances in its settings that don't follow it. Processes that
 * restart know these instances only: if the disks of those were lost, or others vote in their place,
 * nobody would find the leader.
 *
 * @example
 * ```ts
 * import { LeaderAnnouncer } from "./leader_announcer.ts";
 * const announcer = new LeaderAnnouncer({ self, send });
 * announcer.announce({ term, seeds, followers, nowMs });
 * ```
 *
 * @module
 */

import { isAddress } from "../rpc/mod.ts";
import type { LeaderAnnouncement } from "./calls.ts";

/** Options of {@link LeaderAnnouncer}. */
export interface LeaderAnnouncerOptions {
    /** The RPC address of this instance. */
    readonly self: string;
    /** Sends an announcement to an instance; must not throw. */
    readonly send: (instance: string, announcement: LeaderAnnouncement) => void;
}

/** What a leader knows when it announces itself. */
export interface AnnouncementRound {
    readonly term: number;
    /** RPC addresses of the control instances in the settings. */
    readonly seeds: readonly string[];
    /** RPC addresses of the instances that follow this leader, as their hello messages show. */
    readonly followers: readonly string[];
    /** The current monotonic time, in ms. */
    readonly nowMs: number;
}

/** Minimum time between two announcements to one instance, in ms. */
const ANNOUNCEMENT_INTERVAL_MS = 1_000;

/** Sends the announcements of one instance while it leads. */
export class LeaderAnnouncer {
    readonly #options: LeaderAnnouncerOptions;
    readonly #announcedAtMs = new Map<string, number>();

    /**
     * @param options Identity and transport; see {@link LeaderAnnouncerOptions}.
     */
    constructor(options: LeaderAnnouncerOptions) {
        this.#options = options;
    }

    /**
     * Announces the leader to the seeds that don't follow it, at most once a second to each.
     *
     * @param round The term, the seeds and the followers.
     * @returns The number of announcements.
     */
    announce({ term, seeds, followers, nowMs }: AnnouncementRound): number {
        const { self, send } = this.#options;
        const due = seeds.filter(
            (seed) =>
                seed !== self &&
                !followers.includes(seed) &&
                nowMs - (this.#announcedAtMs.get(seed) ?? Number.NEGATIVE_INFINITY) >=
                    ANNOUNCEMENT_INTERVAL_MS,
        );
        for (const seed of due) {
            this.#announcedAtMs.set(seed, nowMs);
            send(seed, { leader: self, term });
        }
        return due.length;
    }
}

/**
 * Validates an announcement, which may come from an instance of another release or be damaged.
 *
 * @param params The parameters of the call.
 * @returns The announcement, or `undefined` if it is malformed.
 */
export function parseLeaderAnnouncement(params: unknown): LeaderAnnouncement | undefined {
    const { leader, term } = (params ?? {}) as Partial<Record<string, unknown>>;
    const isValid =
        typeof leader === "string" &&
        isAddress(leader) &&
        typeof term === "number" &&
        Number.isSafeInteger(term) &&
        term >= 0;
    return isValid ? { leader, term } : undefined;
}
