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
} from "../control/calls.ts";
import type { ControlMetrics } from "../telemetry/control_metrics.ts";
import { LeaderRouter, NoLeaderError } from "../membership/mod.ts";
import { parseAddress, RpcClientPool, startRpcServer, type RpcServer } from "../rpc/mod.ts";

/** Options of {@link FrontDaemon}. */
export interface FrontDaemonOptions {
    /** Where this instance's RPC server listens, `host:port`. */
    readonly address: string;
    readonly zone: string;
    /** RPC addresses of some control instances. */
    readonly listSeeds: () => readonly string[];
    readonly adviceCalls: AdviceCalls;
    readonly metrics?: ControlMetrics;
    readonly log: Logger;
}

/** What became of a call. */
export type FrontOutcome =
    | CallerAnswer
    /** No leader answered in time; whether the call was carried out is not known. */
    | { readonly type: "unknown" }
    /** No leader answered in time, and the call reached none. */
    | { readonly type: "unreached"; readonly retryAfterMs: number };

/** Time between two greetings to the leader, in ms. */
const HELLO_MS = 400;
/** A greeting is given up after this, in ms, so that a lost leader is noticed soon. */
const HELLO_BUDGET_MS = 1_000;
/**
 * Without a leader's answer for this long the front is not ready, in ms. The balancer moves callers
 * after two failed checks a second apart: an election (below 1 s) moves nobody, a zone that is
 * cut off sends its callers to others after 2 to 3 s.
 */
const READY_SILENCE_MS = 1_200;
/**
 * How long a call that reached no leader waits while the other control instances answer but none has
 * led for {@link READY_SILENCE_MS}, in ms. This side is the smaller part of a partition: a caller
 * that is sent away at once reaches another instance within its deadline.
 */
const CUT_OFF_BUDGET_MS = 250;
/** The same while there was a leader just now, in ms: an election and a lost try. */
const ELECTION_BUDGET_MS = 1_600;
/** A replica that does not answer a question about a state by then is not waited for, in ms. */
const READER_TIMEOUT_MS = 250;
/** When to come back while no leader can be reached, in ms: about one election. */
const RETRY_AFTER_MS = 1_000;

/** One front instance. */
export class FrontDaemon {
    readonly #options: FrontDaemonOptions;
    readonly #router: LeaderRouter;
    #server: RpcServer | undefined;
    #greetings: Subscription | undefined;
    #greetedAt = Number.NEGATIVE_INFINITY;
    #isGreeting = false;
    #isStopping = false;
    #limits: HelloLimits | undefined;
    readonly #readerClients = new RpcClientPool({ timeoutMs: READER_TIMEOUT_MS });
    #readers: readonly string[] = [];
    #nextReader = 0;

    /**
     * @param options Addresses, seeds, the advice service; see {@link FrontDaemonOptions}.
     */
    constructor(options: FrontDaemonOptions) {
        this.#options = options;
        this.#router = new LeaderRouter({ listSeeds: options.listSeeds });
    }

    /** Whether new callers should come here. */
    get isReady(): boolean {
        return !this.#isStopping && performance.now() - this.#greetedAt < READY_SILENCE_MS;
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
            methods: { [METHODS.advise]: (params) => this.#handleAdvise(params as AdviseCall) },
        });
        this.#greetings = interval(HELLO_MS).subscribe(() => void this.#sendHello());
        void this.#sendHello();
    }

    /** Is not ready from now on; calls are still served. */
    drain(): void {
        this.#isStopping = true;
    }

    /** Stops. */
    async stop(): Promise<void> {
        this.#greetings?.unsubscribe();
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
        const outcome = await this.#carryCall(call, budgetMs);
        this.#options.metrics?.callSeconds.observe(
            { call: call.type, outcome: outcome.type },
            (performance.now() - startedAt) / 1_000,
        );
        return outcome;
    }

    async #carryCall(call: CallerCall, budgetMs: number): Promise<FrontOutcome> {
        const startedAt = performance.now();
        const budget = {
            computeUndeliveredMs: () => this.#computeWaitMs(startedAt, budgetMs),
            // Its outcome is not known, and a caller told so can not repeat it; the next leader
            // knows whether it was accepted.
            unsureMs: budgetMs,
        };
        const read = call.type === "state" ? await this.#readState(call) : undefined;
        if (read !== undefined) {
            return read;
        }
        try {
            const answer = await this.#router.call<CallerAnswer>(METHODS.callers, call, budget);
            this.#greetedAt = performance.now();
            return answer;
        } catch (error) {
            if (error instanceof NoLeaderError) {
                this.#options.log.warn("no leader for a call", {
                    path: call.path,
                    call: call.type,
                    mayHaveHappened: error.mayHaveHappened,
                });
                return error.mayHaveHappened
                    ? { type: "unknown" }
                    : { type: "unreached", retryAfterMs: RETRY_AFTER_MS };
            }
            this.#options.log.error("call failed", {
                path: call.path,
                call: call.type,
                error: (error as Error).message,
            });
            return { type: "unknown" };
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
     * Gives how long a call that reached nobody waits. When no control instance answers at all they
     * are most likely all down and come back together: waiting is the caller's best chance, and
     * elsewhere it would find the same. When they answer, an election is given its time, counted
     * from the last leader or from their return: calls that waited through an outage must not be
     * sent away just when it ends.
     */
    #computeWaitMs(startedAt: number, budgetMs: number): number {
        const { aliveSince } = this.#router;
        if (aliveSince === undefined) {
            return budgetMs;
        }
        const electionEndsAt = Math.max(this.#greetedAt, aliveSince) + ELECTION_BUDGET_MS;
        return Math.min(budgetMs, Math.max(electionEndsAt - startedAt, CUT_OFF_BUDGET_MS));
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
        };
        try {
            const answer = await this.#router.call<HelloAnswer>(
                METHODS.hello,
                call,
                HELLO_BUDGET_MS,
            );
            this.#greetedAt = performance.now();
            this.#router.setMembers(answer.members);
            this.#limits = answer.limits ?? this.#limits;
            this.#readers = answer.readers;
        } catch (error) {
            this.#options.log.warn("no leader greeted", { error: (error as Error).message });
        }
        this.#isGreeting = false;
    }
}
