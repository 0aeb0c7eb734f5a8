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
import { LEADER_SILENCE_MS, Reach } from "./reach.ts";

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
export type FrontOutcome =
    | CallerAnswer
    /** No leader answered in time; whether the call was carried out is not known. */
    | { readonly type: "unknown"; readonly retryAfterMs: number }
    /** No leader answered in time, and the call reached none. */
    | { readonly type: "unreached"; readonly retryAfterMs: number };

/** Time between two greetings to the leader, in ms. */
const HELLO_MS = 400;
/** A greeting is given up after this, in ms, so that a lost leader is noticed soon. */
const HELLO_BUDGET_MS = 1_000;
/**
 * Without a leader's answer for this long the front is not ready, in ms: a greeting's interval and what an answer
 * takes. The balancer moves callers after two failed checks a second apart: an election (below 0.6 s)
 * moves nobody, a zone that is cut off sends its callers to others 2 to 3.3 s after the cut.
 */
const READY_SILENCE_MS = 600;
/**
 * How long a call waits on a front that is cut off, in ms: a caller that is sent away at once has two or
 * three more tries within its deadline of some seconds; one that is held for 1.6 s has one at most.
 */
const CUT_OFF_BUDGET_MS = 250;
/**
 * The balancer has moved callers this long after the leader was heard last, in ms: it moves them once the last front
 * of the zone has failed two checks a second apart.
 */
const MOVED_AFTER_MS = READY_SILENCE_MS + 2_700;
/**
 * When a caller should come back before that, in ms. It has a few retries: sent back at once it spent four of them
 * within half a second on the same front, and its job was refused for good; a second apart they outlast the move.
 */
const NOT_MOVED_RETRY_MS = 1_000;
/** Time between two questions to the other fronts while no leader is heard, in ms. */
const REACH_MS = 100;
/** A front that does not answer by then is not reached, in ms: the way takes some ms. */
const REACH_TIMEOUT_MS = 250;
/**
 * How long a question about a whole queue may take, in ms. Held through an outage it would be answered by
 * a configuration that came into force long after it was asked, next to later questions that were
 * answered by the one before: to an observer this front goes back to an older configuration. A
 * question about a job is held, because its caller needs that answer.
 */
const COUNT_BUDGET_MS = 200;
/** Pause after a relay that failed, and time kept for its way back, in ms. */
const RELAY_PAUSE_MS = 60;
/** The addresses of other fronts are asked for this often, in ms; they matter for seconds at a time. */
const PEERS_EVERY_MS = 5_000;
/**
 * A replica that does not answer a question about a state by then is not waited for, in ms: it may
 * hold one for 200.
 */
const READER_TIMEOUT_MS = 500;
/** When to come back while no leader can be reached, in ms: about one election. */
const RETRY_AFTER_MS = 1_000;

/** One front instance. */
export class FrontDaemon {
    readonly #options: FrontDaemonOptions;
    readonly #router: LeaderRouter;
    #server: RpcServer | undefined;
    readonly #reach: Reach;
    readonly #peerClients = new RpcClientPool({ timeoutMs: REACH_TIMEOUT_MS });
    #greetings: Subscription | undefined;
    #probes: Subscription | undefined;
    #isGreeting = false;
    #peersAskedAt = Number.NEGATIVE_INFINITY;
    #isStopping = false;
    #limits: HelloLimits | undefined;
    /** The leader that answered the last greeting, by its own word. */
    #leader = "";
    readonly #readerClients = new RpcClientPool({ timeoutMs: READER_TIMEOUT_MS });
    #readers: readonly string[] = [];
    #nextReader = 0;

    /**
     * @param options Addresses, seeds, the advice service; see {@link FrontDaemonOptions}.
     */
    constructor(options: FrontDaemonOptions) {
        this.#options = options;
        this.#router = new LeaderRouter({
            listSeeds: options.listSeeds,
            silenceMs: selectSilenceMs(options.tolerated ?? 1),
        });
        this.#reach = new Reach({
            zone: options.zone,
            probe: (address) =>
                this.#peerClients.getClient(address).call<ReachAnswer>(METHODS.reach, {}),
            canConnect: (address) => isListening(address, REACH_TIMEOUT_MS),
            onLeaderFound: (leader) => {
                this.#router.adoptLeader(leader);
                void this.#sendHello();
            },
        });
    }

    /** Whether new callers should come here. */
    get isReady(): boolean {
        const isServing =
            this.#reach.silentMs < READY_SILENCE_MS || this.#reach.state.type === "relay";
        return !this.#isStopping && isServing;
    }

    /**
     * Whether this front can serve nobody, though others can. Its callers' idle connections are of no use then: kept
     * open, they bring calls here for as long as the cut lasts, past a balancer that steers new ones.
     */
    get isCutOff(): boolean {
        return this.#reach.state.type === "isolated";
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
                [METHODS.reach]: () => this.#describeReach(),
            },
        });
        this.#greetings = interval(HELLO_MS).subscribe(() => void this.#sendHello());
        this.#probes = interval(REACH_MS).subscribe(() => void this.#updateReach());
        void this.#sendHello();
    }

    /** Is not ready from now on; calls are still served. */
    drain(): void {
        this.#isStopping = true;
    }

    /** Stops. */
    async stop(): Promise<void> {
        this.#greetings?.unsubscribe();
        this.#probes?.unsubscribe();
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
    async handleCaller(call: CallerCall, budgetMs: number): Promise<FrontOutcome> {
        const startedAt = performance.now();
        const limitMs = isAboutJob(call) ? budgetMs : Math.min(budgetMs, COUNT_BUDGET_MS);
        const outcome = await this.#carryCall(call, limitMs);
        this.#options.metrics?.callSeconds.observe(
            { call: call.type, outcome: outcome.type },
            (performance.now() - startedAt) / 1_000,
        );
        return outcome;
    }

    async #carryCall(call: CallerCall, budgetMs: number): Promise<FrontOutcome> {
        const startedAt = performance.now();
        const read = call.type === "state" ? await this.#readState(call) : undefined;
        if (read !== undefined) {
            return read;
        }
        let mayHaveHappened = false;
        do {
            const remainingMs = budgetMs - (performance.now() - startedAt);
            const { state } = this.#reach;
            try {
                return state.type === "relay"
                    ? await this.#sendRelay(state.address, call, remainingMs)
                    : await this.#callLeader(call, remainingMs);
            } catch (error) {
                mayHaveHappened = this.#handleCallFailure(call, error as Error) || mayHaveHappened;
            }
            // On a way that opened meanwhile the call goes on; it is harmless when it came twice.
        } while (
            this.#reach.state.type === "relay" &&
            performance.now() - startedAt < budgetMs - RELAY_PAUSE_MS
        );
        const retryAfterMs = this.isCutOff ? this.#computeReturnMs() : RETRY_AFTER_MS;
        return { type: mayHaveHappened ? "unknown" : "unreached", retryAfterMs };
    }

    async #callLeader(call: CallerCall, budgetMs: number): Promise<CallerAnswer> {
        const startedAt = performance.now();
        const computeWaitMs = (): number => this.#computeWaitMs(budgetMs);
        const budget = { computeUndeliveredMs: computeWaitMs, computeUnsureMs: computeWaitMs };
        const answer = await this.#router.call<CallerAnswer>(METHODS.callers, call, budget);
        // An answer that took long says little about the way now.
        if (performance.now() - startedAt < LEADER_SILENCE_MS) {
            this.#reach.recordLeader();
        }
        return answer;
    }

    async #sendRelay(address: string, call: CallerCall, budgetMs: number): Promise<CallerAnswer> {
        const params: RelayCall = { call, budgetMs: Math.max(1, budgetMs - RELAY_PAUSE_MS) };
        try {
            return await this.#peerClients
                .getClient(address)
                .call<CallerAnswer>(METHODS.relay, params, Math.max(1, Math.ceil(budgetMs)));
        } catch (error) {
            // The next call asks the others anew rather than trusting this one again.
            await this.#updateReach();
            await new Promise((resolve) => setTimeout(resolve, RELAY_PAUSE_MS));
            throw error;
        }
    }

    /** @returns Whether the call may have been carried out nevertheless. */
    #handleCallFailure(call: CallerCall, error: Error): boolean {
        const mayHaveHappened =
            error instanceof NoLeaderError
                ? error.mayHaveHappened
                : !(error instanceof RpcError && (error.isUndelivered || isNotLed(error)));
        this.#options.log.warn("no leader for a call", {
            path: call.path,
            call: call.type,
            mayHaveHappened,
            reach: this.#reach.state.type,
            silentMs: Math.round(this.#reach.silentMs),
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

    async #updateReach(): Promise<void> {
        if (await this.#reach.update()) {
            this.#options.log.warn("way to the leader changed", {
                reach: this.#reach.state,
                silentMs: Math.round(this.#reach.silentMs),
            });
        }
    }

    /** Asks a replica for a job's state, where there are some; the leader is asked otherwise. */
    async #readState(call: CallerCall): Promise<CallerAnswer | undefined> {
        const reader = this.#readers[this.#nextReader++ % Math.max(1, this.#readers.length)];
        if (reader === undefined) {
            return undefined;
        }
        return this.#readerClients
            .getClient(reader)
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
    #computeWaitMs(budgetMs: number): number {
        switch (this.#reach.state.type) {
            case "direct":
            case "outage":
                return budgetMs;
            case "relay":
                return 0;
            case "isolated":
                return this.#hasMovedCallers ? 0 : Math.min(budgetMs, CUT_OFF_BUDGET_MS);
        }
    }

    /** Whether a caller that comes back reaches another front. */
    get #hasMovedCallers(): boolean {
        return this.#reach.silentMs > MOVED_AFTER_MS;
    }

    #computeReturnMs(): number {
        return this.#hasMovedCallers ? 0 : NOT_MOVED_RETRY_MS;
    }

    #describeReach(): ReachAnswer {
        const { hearsLeader } = this.#reach;
        return hearsLeader && this.#leader !== ""
            ? { hearsLeader, leader: this.#leader }
            : { hearsLeader };
    }

    async #handleAdvise(call: AdviseCall): Promise<AdviseAnswer> {
        return { admissions: await this.#options.adviceCalls.advise(call) };
    }

    async #sendHello(): Promise<void> {
        if (this.#isGreeting) {
            return;
        }
        this.#isGreeting = true;
        const call: HelloCall = {
            address: this.#options.address,
            zone: this.#options.zone,
            kind: "front",
            publicAddress: "",
            wantsPeers: performance.now() - this.#peersAskedAt >= PEERS_EVERY_MS,
        };
        try {
            const answer = await this.#router.call<HelloAnswer>(
                METHODS.hello,
                call,
                HELLO_BUDGET_MS,
            );
            this.#reach.recordLeader();
            this.#leader = answer.leader;
            this.#router.setMembers(answer.members);
            this.#limits = answer.limits ?? this.#limits;
            this.#readers = answer.readers;
            if (answer.peers !== undefined) {
                this.#peersAskedAt = performance.now();
                this.#reach.setPeers(answer.peers);
            }
        } catch (error) {
            this.#options.log.warn("no leader greeted", { error: (error as Error).message });
        }
        this.#isGreeting = false;
    }
}

/** A job's name ends the path of a call about it; a queue's own path does not end with one. */
function isAboutJob(call: CallerCall): boolean {
    return call.type !== "state" || isJobId(call.path.slice(call.path.lastIndexOf("/") + 1));
}

/** The front that was asked hears no leader itself: nothing was sent on. */
function isNotLed(error: RpcError): boolean {
    return error.code === NOT_LEADER_CODE;
}
