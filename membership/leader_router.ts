/**
 * Finds the control group's leader from a few seed addresses and carries calls to it, through
 * elections, lost connections and replaced instances.
 *
 * @example
 * ```ts
 * import { LeaderRouter } from "./leader_router.ts";
 * const router = new LeaderRouter({ listSeeds: () => ["10.1.0.16:7720"] });
 * const answer = await router.call("control.callers", params, 2_000);
 * ```
 *
 * @module
 */

import { RpcClientPool, RpcError } from "../rpc/mod.ts";

/** The JSON-RPC error code of an instance that does not lead. */
export const NOT_LEADER_CODE = -32010;

/** The JSON-RPC error code of a leader that was replaced before a call was agreed on. */
export const OUTCOME_UNKNOWN_CODE = -32011;

/** What comes with {@link NOT_LEADER_CODE}. */
export interface NotLeaderData {
    /** The leader's address, as far as known. */
    readonly leader: string | undefined;
}

/** Thrown when no leader answered in time. */
export class NoLeaderError extends Error {
    /** Whether a leader may have taken the call and its answer was lost. */
    readonly mayHaveExecuted: boolean;

    /**
     * @param mayHaveExecuted Whether the call may have been carried out.
     */
    constructor(mayHaveExecuted: boolean) {
        super(`no leader answered${mayHaveExecuted ? "; the call may have been carried out" : ""}`);
        this.name = "NoLeaderError";
        this.mayHaveExecuted = mayHaveExecuted;
    }
}

/** Options of {@link LeaderRouter}. */
export interface LeaderRouterOptions {
    /** Addresses from the settings; they may be old, few or down. */
    readonly listSeeds: () => readonly string[];
    /** An instance that answers nothing for this long is given up, in ms. */
    readonly inactivityTimeoutMs?: number;
    readonly getNow?: () => number;
}

/** How long a call may take. */
export interface CallBudget {
    /** While no try was delivered to an instance that may lead, in ms; asked again as it waits. */
    readonly computeUndeliveredMs: () => number;
    /** Once one was, in ms; asked again as it waits. */
    readonly computeDeliveredMs: () => number;
}

/**
 * About an election timeout: longer than a commit (15 ms, 0.3 s on a slow disk), so that a silent leader
 * costs a caller little more than the election itself.
 */
const DEFAULT_INACTIVITY_TIMEOUT_MS = 350;
/** How often a call that waits looks whether its instance still answers others, in ms. */
const INACTIVITY_CHECK_INTERVAL_MS = 50;
/**
 * Time between two tries of all calls together while no leader is known, in ms: a tenth of an election.
 * Each call that waits trying on its own, some hundreds of them ask the instances thousands of times a
 * second while these try to elect a leader, and keep them from it.
 */
const LEADER_SEARCH_INTERVAL_MS = 60;

/** Calls to whoever leads. */
export class LeaderRouter {
    readonly #options: LeaderRouterOptions;
    readonly #clientPool: RpcClientPool;
    readonly #getNow: () => number;
    readonly #inactivityTimeoutMs: number;
    /** When each instance answered last, whatever it said. */
    readonly #lastResponseAtMs = new Map<string, number>();
    #knownMembers: readonly string[] = [];
    #leader: string | undefined;
    #nextMemberIndex = 0;
    #nextSearchAtMs = Number.NEGATIVE_INFINITY;
    readonly #waiters = new Set<() => void>();

    /**
     * @param options Seeds and timeouts.
     */
    constructor(options: LeaderRouterOptions) {
        this.#options = options;
        this.#getNow = options.getNow ?? (() => performance.now());
        this.#inactivityTimeoutMs = options.inactivityTimeoutMs ?? DEFAULT_INACTIVITY_TIMEOUT_MS;
        this.#clientPool = new RpcClientPool({ timeoutMs: this.#inactivityTimeoutMs });
    }

    /** The leader's address, as far as known. */
    get leader(): string | undefined {
        return this.#leader;
    }

    /** Addresses of control instances: those that the leader told of, then the seeds. */
    listMembers(): string[] {
        return [...new Set([...this.#knownMembers, ...this.#options.listSeeds()])];
    }

    /**
     * Takes the members that a leader told of.
     *
     * @param members Their addresses.
     */
    setMembers(members: readonly string[]): void {
        this.#knownMembers = members;
    }

    /**
     * Takes the leader that others hear, while none is known here: calls that wait go there at once.
     *
     * @param leader Its address.
     */
    adoptLeader(leader: string): void {
        if (this.#leader === undefined) {
            this.#setLeader(leader);
        }
    }

    /**
     * Calls the leader, trying one instance after another until one that leads answers.
     *
     * @param method The method; carrying it out twice must be harmless.
     * @param params Its params.
     * @param budget How long all tries together may take, in ms.
     * @returns The leader's answer.
     * @throws {NoLeaderError} When nobody that leads answered in time.
     * @throws {RpcError} When the leader refused the call.
     */
    async call<T>(method: string, params: object, budget: number | CallBudget): Promise<T> {
        const { computeUndeliveredMs, computeDeliveredMs } =
            typeof budget === "number"
                ? { computeUndeliveredMs: () => budget, computeDeliveredMs: () => budget }
                : budget;
        const startedAt = this.#getNow();
        let mayHaveExecuted = false;
        for (;;) {
            const budgetMs = mayHaveExecuted ? computeDeliveredMs() : computeUndeliveredMs();
            const deadline = startedAt + budgetMs;
            await this.#waitForSearchSlot(deadline);
            const target = this.#leader ?? this.#selectNextMember();
            if (this.#getNow() >= deadline || target === undefined) {
                throw new NoLeaderError(mayHaveExecuted);
            }
            try {
                // Once it is delivered the outcome is what counts, so the try may last as long.
                const remainingMs = startedAt + computeDeliveredMs() - this.#getNow();
                const answer = await this.#callInstance<T>(target, method, params, remainingMs);
                this.#setLeader(target);
                return answer;
            } catch (error) {
                mayHaveExecuted = this.#handleFailure(target, error as Error) || mayHaveExecuted;
            }
        }
    }

    /**
     * Calls one instance. It is given up when it answers nobody for a while; a busy one that still
     * answers others is waited for. Calling it again would only add to its load: with a fixed short
     * timeout each call came several times, and a leader at its limit never caught up.
     */
    async #callInstance<T>(
        target: string,
        method: string,
        params: object,
        timeoutMs: number,
    ): Promise<T> {
        const startedAt = this.#getNow();
        const call = this.#clientPool
            .getClient(target)
            .call<T>(method, params, Math.max(1, Math.ceil(timeoutMs)));
        let timer: NodeJS.Timeout | undefined;
        const inactivity = new Promise<never>((_resolve, reject) => {
            const checkInactivity = (): void => {
                const lastActivityAt = Math.max(startedAt, this.#lastResponseAtMs.get(target) ?? 0);
                if (this.#getNow() - lastActivityAt > this.#inactivityTimeoutMs) {
                    reject(new RpcError(`${target} has answered nothing: timeout`, 0));
                }
            };
            // On a busy event loop what has arrived is read before the instance counts as silent.
            timer = setInterval(() => setImmediate(checkInactivity), INACTIVITY_CHECK_INTERVAL_MS);
        });
        try {
            const answer = await Promise.race([call, inactivity]);
            this.#recordResponse(target);
            return answer;
        } catch (error) {
            if (error instanceof RpcError && error.code !== 0) {
                this.#recordResponse(target);
            }
            // The call itself may still fail later; nobody waits for it any more.
            call.catch(() => {});
            throw error;
        } finally {
            clearInterval(timer);
        }
    }

    #recordResponse(target: string): void {
        this.#lastResponseAtMs.set(target, this.#getNow());
    }

    /** @returns Whether the call may have been carried out nevertheless. */
    #handleFailure(target: string, error: Error): boolean {
        const { code, data } = error as RpcError;
        if (error instanceof RpcError && code === NOT_LEADER_CODE) {
            const hint = (data as NotLeaderData | undefined)?.leader;
            this.#leader = undefined;
            if (hint !== undefined && hint !== target) {
                this.#setLeader(hint);
            }
            return false;
        }
        if (error instanceof RpcError && code === OUTCOME_UNKNOWN_CODE) {
            this.#leader = undefined;
            return true;
        }
        if (error instanceof RpcError && code !== 0) {
            throw error;
        }
        if (this.#leader === target) {
            this.#leader = undefined;
        }
        return !(error instanceof RpcError && error.isUndelivered);
    }

    /** Waits until a leader is known, or it is this call's turn to look for one. */
    async #waitForSearchSlot(deadline: number): Promise<void> {
        for (;;) {
            const now = this.#getNow();
            if (this.#leader !== undefined || now >= deadline) {
                return;
            }
            if (now >= this.#nextSearchAtMs) {
                this.#nextSearchAtMs = now + LEADER_SEARCH_INTERVAL_MS;
                return;
            }
            await this.#waitForLeader(Math.min(this.#nextSearchAtMs, deadline) - now);
        }
    }

    #waitForLeader(timeoutMs: number): Promise<void> {
        return new Promise((resolve) => {
            const finish = (): void => {
                clearTimeout(timer);
                this.#waiters.delete(finish);
                resolve();
            };
            const timer = setTimeout(finish, Math.max(1, timeoutMs));
            this.#waiters.add(finish);
        });
    }

    #setLeader(leader: string): void {
        this.#leader = leader;
        [...this.#waiters].forEach((wake) => wake());
    }

    #selectNextMember(): string | undefined {
        const members = this.listMembers();
        return members[this.#nextMemberIndex++ % Math.max(1, members.length)];
    }
}
