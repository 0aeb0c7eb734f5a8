/**
 * Stateless front end of the control plane: forwards callers' requests to the leader and calls the
 * advice service on the leader's behalf.
 *
 * @example
 * ```ts
 * import { FrontDaemon } from "./daemon.ts";
 * const front = new FrontDaemon({ address, zone, listSeeds, adviceCalls, log });
 * await front.start();
 * const outcome = await front.handleCaller(call, 2_500);
 * ```
 *
 * @module
 */

import { interval, type Subscription } from "rxjs";
import type { Logger } from "winston";
import {
    METHODS,
    type AdviceCalls,
    type AdviseAnswer,
    type AdviseCall,
    type CallerAnswer,
    type CallerCall,
    type HelloAnswer,
    type HelloCall,
    type CallerLimits,
    type ReachabilityAnswer,
    type RelayCall,
} from "../control/calls.ts";
import { MAX_FORWARDING_MS, selectFailoverTimeoutMs } from "../control/timings.ts";
// Imported directly, since `job/mod.ts` would load the state charts, which a front does not need.
import { isJobId } from "../job/types.ts";
import type { ControlMetrics } from "../telemetry/control_metrics.ts";
import {
    LeaderRouter,
    NOT_LEADER_CODE,
    NoLeaderError,
    OUTCOME_UNKNOWN_CODE,
} from "../membership/mod.ts";
import {
    connectionTracker,
    isReachable,
    MethodError,
    parseAddress,
    RpcClientPool,
    RpcError,
    startRpcServer,
    type RpcServer,
} from "../rpc/mod.ts";
import type { CallOutcome } from "./call_outcome.ts";
import { CallSummaryLog } from "./call_summary_log.ts";
import { LEADER_TIMEOUT_MS, LeaderReachability } from "./leader_reachability.ts";

/** Options of {@link FrontDaemon}. */
export interface FrontDaemonOptions {
    /** Listen address of this instance's RPC server, `host:port`. */
    readonly address: string;
    readonly zone: string;
    /** Returns the RPC addresses of some control instances. */
    readonly listSeeds: () => readonly string[];
    /** Number of control instances that may fail at once; 1 by default. */
    readonly toleratedFailures?: number;
    readonly adviceCalls: AdviceCalls;
    /** How long submissions and cancellations are forwarded, in ms; {@link MAX_FORWARDING_MS} by default. */
    readonly maxForwardingMs?: number;
    readonly metrics?: ControlMetrics;
    readonly log: Logger;
}

/** Interval between two hello messages to the leader, in ms. */
const HELLO_INTERVAL_MS = 400;
/** Timeout of a hello message, in ms; bounds how late a lost leader is detected. */
const HELLO_TIMEOUT_MS = 1_000;
/**
 * Longest time without an answer from the leader for which the front reports ready, in ms: a hello
 * interval and the time of an answer. The load balancer moves callers after two failed checks, one
 * second apart, so that an election moves nobody and an isolated zone's callers are moved 2 to 3.3
 * s after the partition.
 */
const READINESS_TIMEOUT_MS = 600;
/**
 * Timeout of a call on an isolated front, in ms. A caller that is answered at once has two or three
 * more tries within a deadline of some seconds.
 */
const ISOLATED_CALL_TIMEOUT_MS = 250;
/**
 * Time from the leader's last answer until the load balancer has moved callers to another zone, in
 * ms: every front of the zone must first fail two checks, one second apart.
 */
const LOAD_BALANCER_FAILOVER_MS = READINESS_TIMEOUT_MS + 2_700;
/**
 * `Retry-After` of an isolated front before the load balancer has moved its callers, in ms. Callers
 * that were sent back at once used up four retries within half a second on the same front; a second
 * apart, the retries outlast the failover.
 */
const BEFORE_FAILOVER_RETRY_MS = 1_000;
/** Interval between two checks of the path to the leader, in ms. */
const REACHABILITY_CHECK_INTERVAL_MS = 100;
/** Timeout of a probe of another front or of the leader's port, in ms. */
const PEER_PROBE_TIMEOUT_MS = 250;
/**
 * Timeout of a query about a whole queue, in ms. A query held through an outage could be answered
 * from a newer configuration than queries sent after it, so that the configuration would seem to go
 * back.
 */
const QUEUE_QUERY_TIMEOUT_MS = 200;
/** Backoff after a failed relay, and the time reserved for returning a relayed answer, in ms. */
const RELAY_BACKOFF_MS = 60;
/** Interval between two requests for the addresses of other fronts, in ms. */
const PEERS_REFRESH_INTERVAL_MS = 5_000;
/** Timeout of a state query to a replica, in ms; a replica may hold a query for 200 ms. */
const REPLICA_READ_TIMEOUT_MS = 500;
/** `Retry-After` while no leader can be reached, in ms: about one election. */
const DEFAULT_RETRY_AFTER_MS = 1_000;

/** Serves callers' requests by forwarding them to the leader. */
export class FrontDaemon {
    readonly #options: FrontDaemonOptions;
    readonly #router: LeaderRouter;
    #server: RpcServer | undefined;
    readonly #reachability: LeaderReachability;
    readonly #callSummaryLog: CallSummaryLog;
    readonly #peerClients = new RpcClientPool({ timeoutMs: PEER_PROBE_TIMEOUT_MS });
    #helloTimer: Subscription | undefined;
    #reachabilityTimer: Subscription | undefined;
    #isSendingHello = false;
    #peersReceivedAtMs = Number.NEGATIVE_INFINITY;
    #isDraining = false;
    #limits: CallerLimits | undefined;
    /** The address that the leader gave in its last hello answer; empty before the first one. */
    #leaderAddress = "";
    readonly #replicaClients = new RpcClientPool({ timeoutMs: REPLICA_READ_TIMEOUT_MS });
    #replicas: readonly string[] = [];
    #nextReplicaIndex = 0;

    /**
     * @param options Addresses, seeds and the advice service; see {@link FrontDaemonOptions}.
     */
    constructor(options: FrontDaemonOptions) {
        this.#options = options;
        this.#callSummaryLog = new CallSummaryLog({ connectionTracker, log: options.log });
        this.#router = new LeaderRouter({
            listSeeds: options.listSeeds,
            inactivityTimeoutMs: selectFailoverTimeoutMs(options.toleratedFailures ?? 1),
        });
        this.#reachability = new LeaderReachability({
            zone: options.zone,
            probe: (address) =>
                this.#peerClients.getClient(address).call<ReachabilityAnswer>(METHODS.reach, {}),
            canConnect: (address) => isReachable(address, PEER_PROBE_TIMEOUT_MS),
            onLeaderFound: (leader) => {
                this.#router.adoptLeader(leader);
                void this.#sendHello();
            },
        });
    }

    /** Whether the load balancer should send new callers to this front. */
    get isReady(): boolean {
        const isServing =
            this.#reachability.sinceLeaderAnswerMs < READINESS_TIMEOUT_MS ||
            this.#reachability.state.type === "relay";
        return !this.#isDraining && isServing;
    }

    /**
     * Whether this front is isolated while others can serve. Idle keep-alive connections should
     * then be closed, because the load balancer redirects new connections only.
     */
    get isIsolated(): boolean {
        return this.#reachability.state.type === "isolated";
    }

    /** The limits in force for callers; `undefined` until the leader has sent them. */
    get limits(): CallerLimits | undefined {
        return this.#limits;
    }

    /** Starts the RPC server and the periodic hello messages to the leader. */
    async start(): Promise<void> {
        const [host, port] = parseAddress(this.#options.address);
        this.#server = await startRpcServer({
            host,
            port,
            methods: {
                [METHODS.advise]: (params) => this.#handleAdvise(params as AdviseCall),
                [METHODS.relay]: (params) => this.#handleRelay(params as RelayCall),
                [METHODS.reach]: () => this.#describeReachability(),
            },
        });
        this.#helloTimer = interval(HELLO_INTERVAL_MS).subscribe(() => void this.#sendHello());
        this.#reachabilityTimer = interval(REACHABILITY_CHECK_INTERVAL_MS).subscribe(
            () => void this.#updateReachability(),
        );
        this.#callSummaryLog.start();
        void this.#sendHello();
    }

    /** Reports not ready from now on; calls are still served. */
    drain(): void {
        this.#isDraining = true;
    }

    /** Stops the timers and closes the RPC server. */
    async stop(): Promise<void> {
        this.#helloTimer?.unsubscribe();
        this.#reachabilityTimer?.unsubscribe();
        this.#callSummaryLog.stop();
        await this.#server?.close();
    }

    /**
     * Forwards a call to the leader, with retries until a leader answers or the budget is used up.
     * Every call is idempotent, a submission as long as its job is kept: so it has a limit of its own.
     *
     * @param call The call.
     * @param budgetMs How long the caller waits, in ms.
     * @returns The leader's answer, or why there is none.
     */
    async handleCaller(call: CallerCall, budgetMs: number): Promise<CallOutcome> {
        const startedAtMs = performance.now();
        const outcome = await this.#forwardCall(call, this.#computeBudgetMs(call, budgetMs));
        const durationMs = performance.now() - startedAtMs;
        this.#callSummaryLog.recordOutcome(call.type, outcome.type, durationMs);
        this.#options.metrics?.callSeconds.observe(
            { call: call.type, outcome: outcome.type },
            durationMs / 1_000,
        );
        return outcome;
    }

    #computeBudgetMs(call: CallerCall, budgetMs: number): number {
        if (!isJobCall(call)) {
            return Math.min(budgetMs, QUEUE_QUERY_TIMEOUT_MS);
        }
        const { maxForwardingMs = MAX_FORWARDING_MS } = this.#options;
        return call.type === "state" ? budgetMs : Math.min(budgetMs, maxForwardingMs);
    }

    async #forwardCall(call: CallerCall, budgetMs: number): Promise<CallOutcome> {
        const startedAtMs = performance.now();
        const replicaAnswer = call.type === "state" ? await this.#readState(call) : undefined;
        if (replicaAnswer !== undefined) {
            return replicaAnswer;
        }
        let mayHaveExecuted = false;
        do {
            const remainingMs = budgetMs - (performance.now() - startedAtMs);
            const { state } = this.#reachability;
            try {
                const answer =
                    state.type === "relay"
                        ? await this.#sendRelay(state.address, call, remainingMs)
                        : await this.#callLeader(call, remainingMs);
                if (!mayHaveExecuted || isConclusive(call, answer)) {
                    return answer;
                }
                break;
            } catch (error) {
                mayHaveExecuted = this.#handleCallFailure(call, error as Error) || mayHaveExecuted;
            }
            // Retries if a relay has become available meanwhile; calls are idempotent.
        } while (
            this.#reachability.state.type === "relay" &&
            performance.now() - startedAtMs < budgetMs - RELAY_BACKOFF_MS
        );
        const retryAfterMs = this.isIsolated ? this.#computeRetryAfterMs() : DEFAULT_RETRY_AFTER_MS;
        return { type: mayHaveExecuted ? "unknown" : "unreached", retryAfterMs };
    }

    async #callLeader(call: CallerCall, budgetMs: number): Promise<CallerAnswer> {
        const startedAtMs = performance.now();
        const computeTimeoutMs = (): number => this.#computeTimeoutMs(budgetMs);
        const budget = {
            computeUndeliveredMs: computeTimeoutMs,
            computeDeliveredMs: computeTimeoutMs,
        };
        const answer = await this.#router.call<CallerAnswer>(
            METHODS.callers,
            call,
            budget,
            (received) => isConclusive(call, received),
        );
        // A late answer does not show that the leader can be reached now.
        if (performance.now() - startedAtMs < LEADER_TIMEOUT_MS) {
            this.#reachability.recordLeaderAnswer();
        }
        return answer;
    }

    async #sendRelay(address: string, call: CallerCall, budgetMs: number): Promise<CallerAnswer> {
        const params: RelayCall = { call, budgetMs: Math.max(1, budgetMs - RELAY_BACKOFF_MS) };
        try {
            return await this.#peerClients
                .getClient(address)
                .call<CallerAnswer>(METHODS.relay, params, Math.max(1, Math.ceil(budgetMs)));
        } catch (error) {
            // Probes the peers again rather than relying on a relay that failed.
            await this.#updateReachability();
            await new Promise((resolve) => setTimeout(resolve, RELAY_BACKOFF_MS));
            throw error;
        }
    }

    /**
     * Logs why a call failed.
     *
     * @returns Whether the call may have been executed nevertheless.
     */
    #handleCallFailure(call: CallerCall, error: Error): boolean {
        const mayHaveExecuted =
            error instanceof NoLeaderError
                ? error.mayHaveExecuted
                : !(error instanceof RpcError && (error.isUndelivered || isNotLeaderError(error)));
        this.#options.log.warn("no leader for a call", {
            path: call.path,
            call: call.type,
            mayHaveHappened: mayHaveExecuted,
            reach: this.#reachability.state.type,
            silentMs: Math.round(this.#reachability.sinceLeaderAnswerMs),
            error: error.message,
        });
        return mayHaveExecuted;
    }

    /** Forwards a call for a front that cannot reach the leader; it is not relayed further. */
    async #handleRelay({ call, budgetMs }: RelayCall): Promise<CallerAnswer> {
        try {
            return await this.#callLeader(call, budgetMs);
        } catch (error) {
            if (error instanceof NoLeaderError) {
                const code = error.mayHaveExecuted ? OUTCOME_UNKNOWN_CODE : NOT_LEADER_CODE;
                throw new MethodError(error.message, code);
            }
            throw error;
        }
    }

    async #updateReachability(): Promise<void> {
        if (await this.#reachability.update()) {
            this.#options.log.warn("leader reachability changed", {
                reach: this.#reachability.state,
                silentMs: Math.round(this.#reachability.sinceLeaderAnswerMs),
            });
        }
    }

    /** Reads a job's state from a replica; `undefined` if there is none or the read fails. */
    async #readState(call: CallerCall): Promise<CallerAnswer | undefined> {
        const replica =
            this.#replicas[this.#nextReplicaIndex++ % Math.max(1, this.#replicas.length)];
        if (replica === undefined) {
            return undefined;
        }
        return this.#replicaClients
            .getClient(replica)
            .call<CallerAnswer>(METHODS.readState, call)
            .catch((error: Error) => {
                this.#options.log.debug("state read from a replica failed", {
                    error: error.message,
                });
                return undefined;
            });
    }

    /**
     * Computes how long a call waits for the leader, in ms. In an outage no other front could serve
     * the caller, so the call waits. An isolated front answers early, also if the outcome is
     * unknown: the caller can retry on another front under the same job id.
     */
    #computeTimeoutMs(budgetMs: number): number {
        switch (this.#reachability.state.type) {
            case "direct":
            case "outage":
                return budgetMs;
            case "relay":
                return 0;
            case "isolated":
                return this.#hasBalancerFailedOver
                    ? 0
                    : Math.min(budgetMs, ISOLATED_CALL_TIMEOUT_MS);
        }
    }

    /** Whether the load balancer routes a retry to another front by now. */
    get #hasBalancerFailedOver(): boolean {
        return this.#reachability.sinceLeaderAnswerMs > LOAD_BALANCER_FAILOVER_MS;
    }

    #computeRetryAfterMs(): number {
        return this.#hasBalancerFailedOver ? 0 : BEFORE_FAILOVER_RETRY_MS;
    }

    #describeReachability(): ReachabilityAnswer {
        const { reachesLeader: hearsLeader } = this.#reachability;
        return hearsLeader && this.#leaderAddress !== ""
            ? { hearsLeader, leader: this.#leaderAddress }
            : { hearsLeader };
    }

    async #handleAdvise(call: AdviseCall): Promise<AdviseAnswer> {
        return { admissions: await this.#options.adviceCalls.advise(call) };
    }

    async #sendHello(): Promise<void> {
        if (this.#isSendingHello) {
            return;
        }
        this.#isSendingHello = true;
        const call: HelloCall = {
            address: this.#options.address,
            zone: this.#options.zone,
            kind: "front",
            publicAddress: "",
            wantsPeers: performance.now() - this.#peersReceivedAtMs >= PEERS_REFRESH_INTERVAL_MS,
        };
        try {
            const answer = await this.#router.call<HelloAnswer>(
                METHODS.hello,
                call,
                HELLO_TIMEOUT_MS,
            );
            this.#reachability.recordLeaderAnswer();
            this.#leaderAddress = answer.leader;
            this.#router.setMembers(answer.members);
            this.#limits = answer.limits ?? this.#limits;
            this.#replicas = answer.readers;
            if (answer.peers !== undefined) {
                this.#peersReceivedAtMs = performance.now();
                this.#reachability.setPeers(answer.peers);
            }
        } catch (error) {
            this.#options.log.warn("hello call to the leader failed", {
                error: (error as Error).message,
            });
        }
        this.#isSendingHello = false;
    }
}

/** Returns whether a call is about a job, whose id ends its path, rather than about a queue. */
function isJobCall(call: CallerCall): boolean {
    return call.type !== "state" || isJobId(call.path.slice(call.path.lastIndexOf("/") + 1));
}

/**
 * Returns whether an answer also tells the outcome of an earlier attempt. A submission that was
 * accepted may be refused when it is repeated, because its key or its queue was removed meanwhile.
 * One that was cancelled first was never accepted: its job would be known.
 */
function isConclusive(call: CallerCall, answer: CallerAnswer): boolean {
    return (
        call.type !== "submit" ||
        answer.type === "accepted" ||
        (answer.type === "conflict" && answer.isCancelled === true)
    );
}

/** Returns whether a relay rejected the call because it cannot reach the leader either. */
function isNotLeaderError(error: RpcError): boolean {
    return error.code === NOT_LEADER_CODE;
}
