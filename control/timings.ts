/**
 * How soon a lost leader is replaced. The pattern: after a loss of all power everybody comes back in the same
 * second, with cold code: hundreds of workers' heartbeats, the fronts' greetings and callers' repetitions
 * meet instances that answer each other some hundred ms late. An election timeout shorter than that ends each
 * lead before it has served anybody.
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
 * A lost leader is replaced well within a worker's lease and a caller's deadline. Heartbeats do not wait for the disk,
 * so a slow one does not end a lead.
 */
const SMALL_TIMINGS: ConsensusTimings = { heartbeatMs: 50, electionMs: 250 };
/**
 * Large deployments. With shorter timeouts leads end one after the
 * other while instances that came back together take over thousands of jobs.
 */
const LARGE_TIMINGS: ConsensusTimings = { heartbeatMs: 80, electionMs: 400 };
/** Deployments that bear the loss of so many instances at once are large. */
const LARGE_DEPLOYMENT_FAILURES = 2;

/**
 * Selects the timings of a control group. All members get the same, as a lease relies on it: they come
 * from the deployment's own figures, not from the floor as one member sees it.
 *
 * @param toleratedFailures How many instances may be lost at once.
 * @returns The timings.
 */
export function selectTimings(toleratedFailures: number): ConsensusTimings {
    return toleratedFailures >= LARGE_DEPLOYMENT_FAILURES ? LARGE_TIMINGS : SMALL_TIMINGS;
}

/** How much longer than an election timeout a silent instance is waited for, in ms. */
const FAILOVER_MARGIN_MS = 100;

/**
 * Selects how long an instance may answer nothing before its callers go elsewhere. The pattern: a leader that has
 * just taken over hundreds of workers is busy for half a second. Given up before anybody else can lead, it
 * gets each call again, and the callers' deadlines pass in searching.
 *
 * @param toleratedFailures How many instances may be lost at once.
 * @returns Ms.
 */
export function selectFailoverTimeoutMs(toleratedFailures: number): number {
    return selectTimings(toleratedFailures).electionMs + FAILOVER_MARGIN_MS;
}
