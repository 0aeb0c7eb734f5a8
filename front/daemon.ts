/**
 * A front instance: it takes callers' calls, carries them to the leader, and calls the advice
 * service when the leader asks it to. It keeps no state of its own.
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
    type HelloLimits,
    type ReachAnswer,
    type RelayCall,
} from "../control/calls.ts";
import { selectSilenceMs } from "../control/timings.ts";
// Not the whole face of `job/`: a front needs no state charts.
import { isJobId } from "../job/types.ts";
import type { ControlMetrics } from "../telemetry/control_metrics.ts";
import {
    LeaderRouter,
    NOT_LEADER_CODE,
    NoLeaderError,
    OUTCOME_UNKNOWN_CODE,
} from "../membership/mod.ts";
import {
    isListening,
    MethodError,
    parseAddress,
    RpcClientPool,
    RpcError,
    startRpcServer,
    type RpcServer,
} from "../rpc/mod.ts";
import { LEADER_SILENCE_MS, LeaderReachability } from "./leader_reachability.ts";

/** Options of {@link FrontDaemon}. */
export interface FrontDaemonOptions {
    /** Where this instance's RPC server listens, `host:port`. */
    readonly address: string;
    readonly zone: string;
    /** RPC addresses of some control instances. */
    readonly listSeeds: () => readonly string[];
    /** How many control instances may be lost at once; 1 by default. */
    readonly tolerated?: number;
    readonly adviceCalls: AdviceCalls;
    readonly metrics?: ControlMetrics;
    readonly log: Logger;
}

/** What became of a call. */
export type CallOutcome =
    | CallerAnswer
    /** No leader answered in time; whether the call was carried out is not known. */
    | { readonly type: "unknown"; readonly retryAfterMs: number }
    /** No leader answered in time, and the call reached none. */
    | { readonly type: "unreached"; readonly retryAfterMs: number };

/** Time between two greetings to the leader, in ms. */
const HELLO_INTERVAL_MS = 400;
/** A greeting is given up after this, in ms, so that a lost leader is noticed soon. */
const HELLO_TIMEOUT_MS = 1_000;
/**
 * Without a leader's answer for this long the front is not ready, in ms: a greeting's interval and what an answer
 * takes. The balancer moves callers after two failed checks a second apart: an election (below 0.6 s)
 * moves nobody, a zone that is cut off sends its callers to others 2 to 3.3 s after the cut.
 */
const MAX_READY_SILENCE_MS = 600;
/**
 * How long a call waits on a front that is cut off, in ms: a caller that is sent away at once has two or
 * three more tries within its deadline of some seconds; one that is held for 1.6 s has one at most.
 */
const ISOLATED_CALL_TIMEOUT_MS = 250;
/**
 * The balancer has moved callers this long after the leader was heard last, in ms: it moves them once the last front
 * of the zone has failed two checks a second apart.
 */
const BALANCER_FAILOVER_MS = MAX_READY_SILENCE_MS + 2_700;
/**
 * When a caller should come back before that, in ms. It has a few retries: sent back at once it spent four of them
 * within half a second on the same front, and its job was refused for good; a second apart they outlast the move.
 */
const BEFORE_FAILOVER_RETRY_MS = 1_000;
/** Time between two questions to the other fronts while no leader is heard, in ms. */
const REACHABILITY_CHECK_INTERVAL_MS = 100;
/** A front that does not answer by then is not reached, in ms: the way takes some ms. */
const PEER_PROBE_TIMEOUT_MS = 250;
/**
 * How long a question about a whole queue may take, in ms. Held through an outage it would be answered by
 * a configuration that came into force long after it was asked, next to later questions that were
 * answered by the one before: to an observer this front goes back to an older configuration. A
 * question about a job is held, because its caller needs that answer.
 */
const QUEUE_QUERY_TIMEOUT_MS = 200;
/** Pause after a relay that failed, and time kept for its way back, in ms. */
const RELAY_BACKOFF_MS = 60;
/** The addresses of other fronts are asked for this often, in ms; they matter for seconds at a time. */
const PEERS_REFRESH_INTERVAL_MS = 5_000;
/**
 * A replica that does not answer a question about a state by then is not waited for, in ms: it may
 * hold one for 200.
 */
const REPLICA_READ_TIMEOUT_MS = 500;
/** When to come back while no leader can be reached, in ms: about one election. */
const DEFAULT_RETRY_AFTER_MS = 1_000;

/** One front instance. */
export class FrontDaemon {
    readonly #options: FrontDaemonOptions;
    readonly #router: LeaderRouter;
    #server: RpcServer | undefined;
    readonly #reachability: LeaderReachability;
    readonly #peerClients = new RpcClientPool({ timeoutMs: PEER_PROBE_TIMEOUT_MS });
    #helloTimer: Subscription | undefined;
    #reachabilityTimer: Subscription | undefined;
    #isSendingHello = false;
    #peersReceivedAtMs = Number.NEGATIVE_INFINITY;
    #isDraining = false;
    #limits: HelloLimits | undefined;
    /** The leader that answered the last greeting, by its own word. */
    #leaderAddress = "";
    readonly #replicaClients = new RpcClientPool({ timeoutMs: REPLICA_READ_TIMEOUT_MS });
    #replicas: readonly string[] = [];
    #nextReplica = 0;

    /**
     * @param options Addresses, seeds, the advice service; see {@link FrontDaemonOptions}.
     */
    constructor(options: FrontDaemonOptions) {
        this.#options = options;
        this.#router = new LeaderRouter({
            listSeeds: options.listSeeds,
            silenceMs: selectSilenceMs(options.tolerated ?? 1),
        });
        this.#reachability = new LeaderReachability({
            zone: options.zone,
            probe: (address) =>
                this.#peerClients.getClient(address).call<ReachAnswer>(METHODS.reach, {}),
            canConnect: (address) => isListening(address, PEER_PROBE_TIMEOUT_MS),
            onLeaderFound: (leader) => {
                this.#router.adoptLeader(leader);
                void this.#sendHello();
            },
        });
    }

    /** Whether new callers should come here. */
    get isReady(): boolean {
        const isServing =
            this.#reachability.leaderSilentMs < MAX_READY_SILENCE_MS ||
            this.#reachability.state.type === "relay";
        return !this.#isDraining && isServing;
    }

    /**
     * Whether this front can serve nobody, though others can. Its callers' idle connections are of no use then: kept
     * open, they bring calls here for as long as the cut lasts, past a balancer that steers new ones.
     */
    get isCutOff(): boolean {
        return this.#reachability.state.type === "isolated";
    }

    /** Limits in force for callers; `undefined` before the first greeting. */
    get limits(): HelloLimits | undefined {
        return this.#limits;
    }

    /** Starts greeting the leader and serving it. */
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
        void this.#sendHello();
    }

    /** Is not ready from now on; calls are still served. */
    drain(): void {
        this.#isDraining = true;
    }

    /** Stops. */
    async stop(): Promise<void> {
        this.#helloTimer?.unsubscribe();
        this.#reachabilityTimer?.unsubscribe();
        await this.#server?.close();
    }

    /**
     * Carries a call to the leader. It is tried again until a leader answers or the budget is
     * used up: every call is harmless when it is carried out twice.
     *
     * @param call The call.
     * @param budgetMs How long the caller waits, in ms.
     * @returns What became of it.
     */
    async handleCaller(call: CallerCall, budgetMs: number): Promise<CallOutcome> {
        const startedAtMs = performance.now();
        const effectiveBudgetMs = isJobCall(call)
            ? budgetMs
            : Math.min(budgetMs, QUEUE_QUERY_TIMEOUT_MS);
        const outcome = await this.#carryCall(call, effectiveBudgetMs);
        this.#options.metrics?.callSeconds.observe(
            { call: call.type, outcome: outcome.type },
            (performance.now() - startedAtMs) / 1_000,
        );
        return outcome;
    }

    async #carryCall(call: CallerCall, budgetMs: number): Promise<CallOutcome> {
        const startedAtMs = performance.now();
        const replicaAnswer = call.type === "state" ? await this.#readState(call) : undefined;
        if (replicaAnswer !== undefined) {
            return replicaAnswer;
        }
        let mayHaveHappened = false;
        do {
            const remainingMs = budgetMs - (performance.now() - startedAtMs);
            const { state } = this.#reachability;
            try {
                return state.type === "relay"
                    ? await this.#sendRelay(state.address, call, remainingMs)
                    : await this.#callLeader(call, remainingMs);
            } catch (error) {
                mayHaveHappened = this.#handleCallFailure(call, error as Error) || mayHaveHappened;
            }
            // On a way that opened meanwhile the call goes on; it is harmless when it came twice.
        } while (
            this.#reachability.state.type === "relay" &&
            performance.now() - startedAtMs < budgetMs - RELAY_BACKOFF_MS
        );
        const retryAfterMs = this.isCutOff ? this.#computeRetryAfterMs() : DEFAULT_RETRY_AFTER_MS;
        return { type: mayHaveHappened ? "unknown" : "unreached", retryAfterMs };
    }

    async #callLeader(call: CallerCall, budgetMs: number): Promise<CallerAnswer> {
        const startedAtMs = performance.now();
        const computeTimeoutMs = (): number => this.#computeTimeoutMs(budgetMs);
        const budget = {
            computeUndeliveredMs: computeTimeoutMs,
            computeUnsureMs: computeTimeoutMs,
        };
        const answer = await this.#router.call<CallerAnswer>(METHODS.callers, call, budget);
        // An answer that took long says little about the way now.
        if (performance.now() - startedAtMs < LEADER_SILENCE_MS) {
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
            // The next call asks the others anew rather than trusting this one again.
            await this.#updateReachability();
            await new Promise((resolve) => setTimeout(resolve, RELAY_BACKOFF_MS));
            throw error;
        }
    }

    /** @returns Whether the call may have been carried out nevertheless. */
    #handleCallFailure(call: CallerCall, error: Error): boolean {
        const mayHaveHappened =
            error instanceof NoLeaderError
                ? error.mayHaveHappened
                : !(error instanceof RpcError && (error.isUndelivered || isNotLeaderError(error)));
        this.#options.log.warn("no leader for a call", {
            path: call.path,
            call: call.type,
            mayHaveHappened,
            reach: this.#reachability.state.type,
            silentMs: Math.round(this.#reachability.leaderSilentMs),
            error: error.message,
        });
        return mayHaveHappened;
    }

    /** Carries a call for a front that hears no leader; it is not passed on any further. */
    async #handleRelay({ call, budgetMs }: RelayCall): Promise<CallerAnswer> {
        try {
            return await this.#callLeader(call, budgetMs);
        } catch (error) {
            if (error instanceof NoLeaderError) {
                const code = error.mayHaveHappened ? OUTCOME_UNKNOWN_CODE : NOT_LEADER_CODE;
                throw new MethodError(error.message, code);
            }
            throw error;
        }
    }

    async #updateReachability(): Promise<void> {
        if (await this.#reachability.update()) {
            this.#options.log.warn("way to the leader changed", {
                reach: this.#reachability.state,
                silentMs: Math.round(this.#reachability.leaderSilentMs),
            });
        }
    }

    /** Asks a replica for a job's state, where there are some; the leader is asked otherwise. */
    async #readState(call: CallerCall): Promise<CallerAnswer | undefined> {
        const replica = this.#replicas[this.#nextReplica++ % Math.max(1, this.#replicas.length)];
        if (replica === undefined) {
            return undefined;
        }
        return this.#replicaClients
            .getClient(replica)
            .call<CallerAnswer>(METHODS.readState, call)
            .catch((error: Error) => {
                this.#options.log.debug("replica did not answer", { error: error.message });
                return undefined;
            });
    }

    /**
     * Gives how long a call waits for the leader itself. In an outage waiting is the caller's best
     * chance: elsewhere it would find the same. On the cut-off side it is told at once, also when its
     * outcome is not known: it may come again elsewhere under the same name.
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

    /** Whether a caller that comes back reaches another front. */
    get #hasBalancerFailedOver(): boolean {
        return this.#reachability.leaderSilentMs > BALANCER_FAILOVER_MS;
    }

    #computeRetryAfterMs(): number {
        return this.#hasBalancerFailedOver ? 0 : BEFORE_FAILOVER_RETRY_MS;
    }

    #describeReachability(): ReachAnswer {
        const { hearsLeader } = this.#reachability;
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
            this.#options.log.warn("no leader greeted", { error: (error as Error).message });
        }
        this.#isSendingHello = false;
    }
}

/** A job's name ends the path of a call about it; a queue's own path does not end with one. */
function isJobCall(call: CallerCall): boolean {
    return call.type !== "state" || isJobId(call.path.slice(call.path.lastIndexOf("/") + 1));
}

/** The front that was asked hears no leader itself: nothing was sent on. */
function isNotLeaderError(error: RpcError): boolean {
    return error.code === NOT_LEADER_CODE;
}
