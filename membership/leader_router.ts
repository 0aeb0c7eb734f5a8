/**
 * Discovers the control group's leader from seed addresses and routes calls to it, with retries
 * during failover.
 *
 * @example
 * ```ts
 * import { LeaderRouter } from "./leader_router.ts";
 * const router = new LeaderRouter({ listSeeds: () => ["10.1.0.16:7720"] });
 * const response = await router.call("control.callers", params, 2_000);
 * ```
 *
 * @module
 */

import { RpcClientPool, RpcError } from "../rpc/mod.ts";

/** JSON-RPC error code of an instance that is not the leader. */
export const NOT_LEADER_CODE = -32010;

/** JSON-RPC error code of a leader that lost leadership before a call was committed. */
export const OUTCOME_UNKNOWN_CODE = -32011;

/** Error data sent with {@link NOT_LEADER_CODE}. */
export interface NotLeaderData {
    /** Address of the leader, if known. */
    readonly leader: string | undefined;
}

/** JSON-RPC method by which a member tells which leader it hears. */
export const LEADER_STATUS_METHOD = "group.leaderStatus";

/** Which leader a member hears. */
export interface LeaderStatus {
    /** Address of the leader, if known. */
    readonly leader?: string | undefined;
    /** Time since the member last received a message from it, in ms; absent if it never did. */
    readonly heardMsAgo?: number | undefined;
}

/** Thrown when no leader responds before the deadline. */
export class NoLeaderError extends Error {
    /** Whether a leader may have executed the call although its response was lost. */
    readonly mayHaveExecuted: boolean;

    /**
     * @param mayHaveExecuted Whether a leader may have executed the call.
     */
    constructor(mayHaveExecuted: boolean) {
        super(`no leader answered${mayHaveExecuted ? "; the call may have been carried out" : ""}`);
        this.name = "NoLeaderError";
        this.mayHaveExecuted = mayHaveExecuted;
    }
}

/** Options of {@link LeaderRouter}. */
export interface LeaderRouterOptions {
    /** Returns the configured seed addresses; some may be stale or unreachable. */
    readonly listSeeds: () => readonly string[];
    /**
     * Time after which calls to an instance fail, in ms, if neither this process got a response
     * from it nor another member has heard it as the leader.
     */
    readonly inactivityTimeoutMs?: number;
    /** Returns the time of a monotonic clock, in ms. */
    readonly getNow?: () => number;
}

/** Time limits of a call, from its start; evaluated again before each attempt. */
export interface CallBudget {
    /** Returns the limit while no attempt may have reached a leader, in ms. */
    readonly computeUndeliveredMs: () => number;
    /** Returns the limit once an attempt may have reached a leader, in ms. */
    readonly computeDeliveredMs: () => number;
}

/**
 * Default inactivity timeout of an instance, in ms: about an election timeout. Longer than a commit
 * (15 ms, or 0.3 s on a slow disk), so that an inactive leader costs a caller little more than the
 * election.
 */
const DEFAULT_INACTIVITY_TIMEOUT_MS = 350;
/** Interval at which a pending call checks its instance for inactivity, in ms. */
const INACTIVITY_CHECK_INTERVAL_MS = 50;
/** Number of members that are asked about a silent instance; one of them may be down. */
const WITNESSES = 2;
/**
 * Interval between attempts while no leader is known, in ms; a tenth of an election. It is shared
 * by all pending calls: hundreds of calls that retried on their own would send thousands of
 * requests a second and keep the instances from electing a leader.
 */
const LEADER_SEARCH_INTERVAL_MS = 60;
/**
 * How long other members' hints to an instance that has refused a call are followed by one call in
 * each search only, in ms; about an election. Members name a former leader until they hear the next.
 */
const REFUSAL_MEMORY_MS = 500;

/** Routes calls to the current leader of the control group. */
export class LeaderRouter {
    readonly #options: LeaderRouterOptions;
    readonly #clientPool: RpcClientPool;
    readonly #getNow: () => number;
    readonly #inactivityTimeoutMs: number;
    /**
     * Time of the last sign of life of each instance: a response to this process, errors included,
     * or a message to another member.
     */
    readonly #lastActivityAtMs = new Map<string, number>();
    /** Requests to other members about silent instances. */
    readonly #pendingStatus = new Map<string, Promise<void>>();
    /** Time at which each instance last said that it is not the leader. */
    readonly #refusedAtMs = new Map<string, number>();
    #knownMembers: readonly string[] = [];
    #leader: string | undefined;
    #nextMemberIndex = 0;
    #nextWitnessIndex = 0;
    #nextSearchAtMs = Number.NEGATIVE_INFINITY;
    readonly #waiters = new Set<() => void>();

    /**
     * @param options Seed addresses and timeouts.
     */
    constructor(options: LeaderRouterOptions) {
        this.#options = options;
        this.#getNow = options.getNow ?? (() => performance.now());
        this.#inactivityTimeoutMs = options.inactivityTimeoutMs ?? DEFAULT_INACTIVITY_TIMEOUT_MS;
        this.#clientPool = new RpcClientPool({ timeoutMs: this.#inactivityTimeoutMs });
    }

    /** Address of the leader, if known. */
    get leader(): string | undefined {
        return this.#leader;
    }

    /**
     * Lists the addresses of control instances.
     *
     * @returns The members that a leader reported, then the seeds, each address once.
     */
    listMembers(): string[] {
        return [...new Set([...this.#knownMembers, ...this.#options.listSeeds()])];
    }

    /**
     * Sets the members that a leader reported.
     *
     * @param members Their addresses.
     */
    setMembers(members: readonly string[]): void {
        this.#knownMembers = members;
    }

    /**
     * Adopts a leader that other instances reported and wakes pending calls, unless one is known or
     * the reported one has just refused a call.
     *
     * @param leader The leader's address.
     */
    adoptLeader(leader: string): void {
        if (this.#leader === undefined && !this.#hasRefused(leader)) {
            this.#setLeader(leader);
        }
    }

    /**
     * Calls a method on the leader, retrying on other instances until a leader responds.
     *
     * @param method The method, which must be idempotent.
     * @param params The parameters of the method.
     * @param budget The time limit of all attempts together, in ms, or separate limits; see
     * {@link CallBudget}.
     * @param isConclusive Whether a response also tells the outcome of earlier attempts that may have
     * been executed; by default every response does.
     * @returns The leader's response.
     * @throws {NoLeaderError} If no leader responds before the deadline, or not conclusively.
     * @throws {RpcError} If the leader rejects the call.
     */
    async call<T>(
        method: string,
        params: object,
        budget: number | CallBudget,
        isConclusive: (answer: T) => boolean = () => true,
    ): Promise<T> {
        const { computeUndeliveredMs, computeDeliveredMs } =
            typeof budget === "number"
                ? { computeUndeliveredMs: () => budget, computeDeliveredMs: () => budget }
                : budget;
        const startedAtMs = this.#getNow();
        let mayHaveExecuted = false;
        let hint: string | undefined;
        for (;;) {
            const budgetMs = mayHaveExecuted ? computeDeliveredMs() : computeUndeliveredMs();
            const deadlineMs = startedAtMs + budgetMs;
            if (hint === undefined) {
                await this.#waitForSearchSlot(deadlineMs);
            }
            const target = hint ?? this.#leader ?? this.#selectNextMember();
            if (this.#getNow() >= deadlineMs || target === undefined) {
                throw new NoLeaderError(mayHaveExecuted);
            }
            try {
                // The attempt may use the longer limit, which applies as soon as it is delivered.
                const computeRemainingMs = (): number =>
                    startedAtMs + computeDeliveredMs() - this.#getNow();
                const answer = await this.#callInstance<T>(
                    target,
                    method,
                    params,
                    computeRemainingMs,
                );
                this.#setLeader(target);
                if (!mayHaveExecuted || isConclusive(answer)) {
                    return answer;
                }
            } catch (error) {
                mayHaveExecuted = this.#handleFailure(target, error as Error) || mayHaveExecuted;
                // A call follows one hint in each search.
                hint = hint === undefined ? this.#selectHint(target, error as Error) : undefined;
                continue;
            }
            throw new NoLeaderError(true);
        }
    }

    /**
     * Calls an instance, and fails early if nobody hears the instance for the inactivity timeout, or
     * once the limit has shrunk below the elapsed time. A call to a slow leader is not sent again:
     * that would add to its load.
     */
    async #callInstance<T>(
        target: string,
        method: string,
        params: object,
        computeRemainingMs: () => number,
    ): Promise<T> {
        const startedAtMs = this.#getNow();
        const timeoutMs = Math.max(1, Math.ceil(computeRemainingMs()));
        const call = this.#clientPool.getClient(target).call<T>(method, params, timeoutMs);
        let timer: NodeJS.Timeout | undefined;
        const inactivity = new Promise<never>((_resolve, reject) => {
            let askedForActivityAtMs: number | undefined;
            let hasStatus = false;
            const checkInactivity = (): void => {
                const lastActivityAtMs = Math.max(
                    startedAtMs,
                    this.#lastActivityAtMs.get(target) ?? 0,
                );
                const silentMs = this.#getNow() - lastActivityAtMs;
                if (
                    silentMs > this.#inactivityTimeoutMs / 2 &&
                    askedForActivityAtMs !== lastActivityAtMs
                ) {
                    askedForActivityAtMs = lastActivityAtMs;
                    hasStatus = false;
                    void this.#collectStatus(target).then(() => {
                        hasStatus = true;
                    });
                }
                const isSilent = silentMs > this.#inactivityTimeoutMs && hasStatus;
                if (isSilent || computeRemainingMs() <= 0) {
                    reject(new RpcError(`${target} did not respond: timeout`, 0));
                }
            };
            // Lets a busy event loop process received responses before checking for inactivity.
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
            // Prevents an unhandled rejection if the abandoned call fails later.
            call.catch(() => {});
            throw error;
        } finally {
            clearInterval(timer);
        }
    }

    #recordResponse(target: string): void {
        this.#recordActivity(target, this.#getNow());
    }

    #recordActivity(target: string, atMs: number): void {
        this.#lastActivityAtMs.set(target, Math.max(atMs, this.#lastActivityAtMs.get(target) ?? 0));
    }

    /** Asks other members whether they hear an instance as the leader. */
    #collectStatus(target: string): Promise<void> {
        const pending = this.#pendingStatus.get(target);
        if (pending !== undefined) {
            return pending;
        }
        const others = this.listMembers().filter((member) => member !== target);
        const witnesses = Array.from({ length: Math.min(WITNESSES, others.length) }, () =>
            selectNext(others, this.#nextWitnessIndex++),
        ).filter((witness) => witness !== undefined);
        const status = Promise.all(
            witnesses.map((witness) => this.#readStatus(witness, target)),
        ).then(() => void this.#pendingStatus.delete(target));
        this.#pendingStatus.set(target, status);
        return status;
    }

    async #readStatus(witness: string, target: string): Promise<void> {
        try {
            const { leader, heardMsAgo } = await this.#clientPool
                .getClient(witness)
                .call<LeaderStatus>(LEADER_STATUS_METHOD, {}, this.#inactivityTimeoutMs / 2);
            if (leader === target && heardMsAgo !== undefined) {
                this.#recordActivity(target, this.#getNow() - heardMsAgo);
            }
        } catch (error) {
            // A member that is down, or of an earlier release, is no evidence of either.
            if (!(error instanceof RpcError)) {
                throw error;
            }
        }
    }

    /** @returns Whether the instance may have executed the failed call. */
    #handleFailure(target: string, error: Error): boolean {
        const { code } = error as RpcError;
        if (error instanceof RpcError && code === NOT_LEADER_CODE) {
            this.#refusedAtMs.set(target, this.#getNow());
            this.#dropLeader(target);
            return false;
        }
        if (error instanceof RpcError && code === OUTCOME_UNKNOWN_CODE) {
            this.#dropLeader(target);
            return true;
        }
        if (error instanceof RpcError && code !== 0) {
            throw error;
        }
        this.#dropLeader(target);
        return !(error instanceof RpcError && error.isUndelivered);
    }

    /**
     * Handles the hint of an instance that refused a call. All pending calls follow it, unless its
     * leader has refused a call itself.
     *
     * @returns The instance to call next, if only this call should follow the hint.
     */
    #selectHint(target: string, error: Error): string | undefined {
        if (!(error instanceof RpcError && error.code === NOT_LEADER_CODE)) {
            return undefined;
        }
        const leader = (error.data as NotLeaderData | undefined)?.leader;
        if (leader === undefined || leader === target) {
            return undefined;
        }
        this.adoptLeader(leader);
        return this.#leader === undefined ? leader : undefined;
    }

    #hasRefused(instance: string): boolean {
        const refusedAtMs = this.#refusedAtMs.get(instance) ?? Number.NEGATIVE_INFINITY;
        return this.#getNow() - refusedAtMs < REFUSAL_MEMORY_MS;
    }

    /** Waits until a leader is known or this call may make the next search attempt. */
    async #waitForSearchSlot(deadlineMs: number): Promise<void> {
        for (;;) {
            const now = this.#getNow();
            if (this.#leader !== undefined || now >= deadlineMs) {
                return;
            }
            if (now >= this.#nextSearchAtMs) {
                this.#nextSearchAtMs = now + LEADER_SEARCH_INTERVAL_MS;
                return;
            }
            await this.#waitForLeader(Math.min(this.#nextSearchAtMs, deadlineMs) - now);
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

    /** Forgets the leader, unless another one has been found since the call to `target`. */
    #dropLeader(target: string): void {
        if (this.#leader === target) {
            this.#leader = undefined;
        }
    }

    #setLeader(leader: string): void {
        this.#leader = leader;
        [...this.#waiters].forEach((wake) => wake());
    }

    #selectNextMember(): string | undefined {
        return selectNext(this.listMembers(), this.#nextMemberIndex++);
    }
}

function selectNext<T>(values: readonly T[], index: number): T | undefined {
    return values[index % Math.max(1, values.length)];
}
