/**
 * Selects the consensus timings of a control group and the failover timeout of its callers.
 *
 * @example
 * ```ts
 * import { selectTimings } from "./timings.ts";
 * selectTimings(1); // { heartbeatMs: 50, electionMs: 250 }
 * ```
 *
 * @module
 */

import type { ConsensusTimings } from "../log/mod.ts";

/**
 * Timings of small groups: failover completes well within a worker's lease. Heartbeats don't wait
 * for the disk, so a slow disk doesn't cause an election.
 */
const SMALL_TIMINGS: ConsensusTimings = { heartbeatMs: 50, electionMs: 250 };
/**
 * Timings of large groups. With shorter timeouts, leaderships end one after the other while
 * instances that restarted together take over thousands of jobs.
 */
const LARGE_TIMINGS: ConsensusTimings = { heartbeatMs: 80, electionMs: 400 };
/** Groups that tolerate at least this many failed instances are large. */
const LARGE_GROUP_FAILURES = 2;

/**
 * Selects the timings of a control group. All members must use the same, because the leader lease
 * depends on the election timeout.
 *
 * @param toleratedFailures How many instances may fail at once.
 * @returns The timings.
 */
export function selectTimings(toleratedFailures: number): ConsensusTimings {
    return toleratedFailures >= LARGE_GROUP_FAILURES ? LARGE_TIMINGS : SMALL_TIMINGS;
}

/**
 * How long a front forwards a submission or a cancellation, in ms, however long its caller waits.
 * Half of the time for which ended jobs and tombstones are kept: a submission that is forwarded for
 * longer could run a job again that has ended and was removed meanwhile.
 */
export const MAX_FORWARDING_MS = 120_000;

/** The margin of the failover timeout over the election timeout, in ms. */
const FAILOVER_MARGIN_MS = 100;

/**
 * Selects how long callers wait for an unresponsive instance before they try another. It exceeds
 * the election timeout, because no other instance can lead before.
 *
 * @param toleratedFailures How many instances may fail at once.
 * @returns The timeout, in ms.
 */
export function selectFailoverTimeoutMs(toleratedFailures: number): number {
    return selectTimings(toleratedFailures).electionMs + FAILOVER_MARGIN_MS;
}
