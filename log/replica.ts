/**
 * Replicates a state machine by connecting the consensus protocol to a storage and a transport.
 * Commands proposed within a short window share one log entry.
 *
 * @example
 * ```ts
 * import { Replica } from "./replica.ts";
 * const replica = new Replica({ self, storage, machine, transport, initialVoters });
 * replica.start();
 * const result = await replica.propose({ type: "submit", spec });
 * ```
 *
 * @module
 */

import { interval, type Subscription } from "rxjs";
import { ApplyWaiters } from "./_apply_waiters.ts";
import {
    Consensus,
    DEFAULT_TIMINGS,
    type Campaign,
    type ConsensusTimings,
    type Ready,
    type ResignCause,
    type Role,
} from "./consensus.ts";
import type {
    GroupMessage,
    LogEntry,
    MemberId,
    OutgoingMessage,
    Snapshot,
    Storage,
} from "./types.ts";

/** A deterministic state machine: the same commands in the same order yield the same state. */
export interface StateMachine<C, R> {
    /**
     * Applies one committed command.
     *
     * @param command The command.
     * @returns The result for the proposer.
     */
    readonly apply: (command: C) => R;
    /** Encodes the whole state. */
    readonly encode: () => string;
    /**
     * Replaces the whole state.
     *
     * @param state A state encoded by {@link StateMachine.encode}.
     */
    readonly restore: (state: string) => void;
}

/** Sends messages to other members. */
export interface Transport {
    /**
     * Sends a request to a member, whose response is passed to {@link Replica.receive}.
     *
     * @param to The recipient.
     * @param message The message.
     */
    readonly send: (to: MemberId, message: GroupMessage) => void;
}

/** Callbacks of a replica. */
export interface ReplicaEvents {
    /** Called after committed entries were applied; the leader may now perform their effects. */
    readonly onApplied?: () => void;
    /** Called when this member is the leader and has applied all entries of earlier terms. */
    readonly onLeadershipGained?: () => void;
    /** Called when this member's leadership ended. */
    readonly onLeadershipLost?: (cause: ResignCause) => void;
    /** Called after entries were persisted, with the duration in ms. */
    readonly onPersisted?: (durationMs: number) => void;
    /** Called when a write to the storage failed; it is retried. */
    readonly onStorageError?: (error: Error) => void;
}

/** Options of {@link Replica}. */
export interface ReplicaOptions<C, R> extends ReplicaEvents {
    readonly self: MemberId;
    readonly storage: Storage;
    readonly machine: StateMachine<C, R>;
    readonly transport: Transport;
    /** The voters of a new group. */
    readonly initialVoters: readonly MemberId[];
    readonly timings?: ConsensusTimings;
    /** Time in which proposed commands are batched into one entry, in ms. */
    readonly batchWindowMs?: number;
    /** Returns commands to append to a batch before it is proposed. */
    readonly createExtraCommands?: (commands: readonly C[]) => readonly C[];
    /** Number of entries between snapshots. */
    readonly snapshotIntervalEntries?: number;
    /**
     * Size of the log from which on a snapshot is taken earlier, in bytes. The entries since the
     * last snapshot are kept in memory as well.
     */
    readonly maxLogBytes?: number;
    readonly random?: () => number;
    /** Returns the time of a monotonic clock, in ms. */
    readonly getNow?: () => number;
    /** Start time of this process on that clock, in ms, if known. */
    readonly processStartedAtMs?: number;
}

/** Thrown when a command was not proposed because this member is not the leader. */
export class NotLeaderError extends Error {
    /** The leader, if known. */
    readonly leader: MemberId | undefined;

    /**
     * @param leader The leader, if known.
     */
    constructor(leader: MemberId | undefined) {
        super(`not the leader${leader === undefined ? "" : `; ${leader} is`}`);
        this.name = "NotLeaderError";
        this.leader = leader;
    }
}

/** Thrown when leadership ended before a command was committed; it may still be applied. */
export class OutcomeUnknownError extends Error {
    constructor() {
        super("leadership ended before a quorum confirmed the command; it may still take effect");
        this.name = "OutcomeUnknownError";
    }
}

interface Proposal<C, R> {
    readonly command: C;
    readonly resolve: (result: R) => void;
    readonly reject: (error: Error) => void;
}

const TICK_MS = 25;
const STORAGE_RETRY_MS = 500;
const LEADERSHIP_TRANSFER_TIMEOUT_MS = 500;
const DEFAULT_BATCH_WINDOW_MS = 2;
const DEFAULT_SNAPSHOT_INTERVAL_ENTRIES = 2_000;
const DEFAULT_MAX_LOG_BYTES = 24_000_000;

/** A member's replica of a state machine. */
export class Replica<C, R> {
    readonly #options: ReplicaOptions<C, R>;
    readonly #consensus: Consensus;
    readonly #getNow: () => number;
    #appliedIndex = 0;
    #snapshotIndex = 0;
    /** Size of the log after the last snapshot, in bytes. */
    #remainingLogBytes = 0;
    #pendingProposals: Proposal<C, R>[] = [];
    readonly #inFlightProposals = new Map<number, readonly Proposal<C, R>[]>();
    readonly #applyWaiters = new ApplyWaiters();
    #leaseConfirmation: Promise<void> | undefined;
    /** Waiting responses by sender and kind of request; see {@link createWaiterKey}. */
    readonly #responseWaiters = new Map<string, ((message?: GroupMessage) => void)[]>();
    #batchTimer: NodeJS.Timeout | undefined;
    #readyLoop: Promise<void> | undefined;
    #tickSubscription: Subscription | undefined;
    #leaderTerm = 0;
    #isLeadershipEstablished = false;
    #isStopped = false;

    /**
     * @param options The identity, storage, machine and transport; see {@link ReplicaOptions}.
     */
    constructor(options: ReplicaOptions<C, R>) {
        this.#options = options;
        this.#getNow = options.getNow ?? (() => performance.now());
        const stored = options.storage.load();
        this.#consensus = new Consensus({
            self: options.self,
            stored,
            initialVoters: options.initialVoters,
            timings: options.timings ?? DEFAULT_TIMINGS,
            random: options.random ?? Math.random,
            now: this.#getNow(),
            processStartedAtMs: options.processStartedAtMs,
        });
        if (stored.snapshot !== undefined) {
            options.machine.restore(stored.snapshot.state);
            this.#appliedIndex = stored.snapshot.index;
            this.#snapshotIndex = stored.snapshot.index;
        }
        this.#consensus.buildSnapshot = () => this.#buildSnapshot();
    }

    /** Invalidates the lease until it is renewed; see {@link Consensus.invalidateLease}. */
    invalidateLease(): void {
        this.#consensus.invalidateLease(this.#getNow());
    }

    /** Starts the timer of this replica. */
    start(): void {
        // setImmediate lets received messages be handled first. After a pause of the process, they
        // can keep a leader from stepping down and a follower from campaigning.
        this.#tickSubscription = interval(TICK_MS).subscribe(() =>
            setImmediate(() => this.#tick()),
        );
        this.#tick();
    }

    #tick(): void {
        if (this.#tickSubscription?.closed === true) {
            return;
        }
        this.#consensus.tick(this.#getNow());
        void this.#runReady();
    }

    /** Transfers leadership to another voter and waits a limited time for it to take over. */
    async resign(): Promise<void> {
        this.#consensus.startLeadershipTransfer();
        void this.#runReady();
        const deadlineMs = this.#getNow() + LEADERSHIP_TRANSFER_TIMEOUT_MS;
        while (this.#consensus.role === "leader" && this.#getNow() < deadlineMs) {
            await new Promise((resolve) => setTimeout(resolve, TICK_MS));
        }
    }

    /** Stops the timer, waits for pending writes and closes the storage. */
    async stop(): Promise<void> {
        this.#isStopped = true;
        this.#tickSubscription?.unsubscribe();
        clearTimeout(this.#batchTimer);
        await this.#readyLoop;
        this.#rejectProposals();
        for (const waiters of this.#responseWaiters.values()) {
            waiters.forEach((resolve) => resolve(undefined));
        }
        this.#options.storage.close();
    }

    /** The current role. */
    get role(): Role {
        return this.#consensus.role;
    }

    /** The current term. */
    get term(): number {
        return this.#consensus.term;
    }

    /** The leader, if known. */
    get leader(): MemberId | undefined {
        return this.#consensus.leader;
    }

    /** The voters of the latest configuration. */
    get voters(): readonly MemberId[] {
        return this.#consensus.voters;
    }

    /** The election that this member campaigns in, or `undefined` if it does not campaign. */
    get campaign(): Campaign | undefined {
        return this.#consensus.campaign;
    }

    /** See {@link Consensus.countActiveVoters}. */
    countActiveVoters(): number {
        return this.#consensus.countActiveVoters(this.#getNow());
    }

    /** The last applied index. */
    get appliedIndex(): number {
        return this.#appliedIndex;
    }

    /**
     * Whether this member is the leader, has a valid lease and has applied all entries of earlier
     * terms.
     */
    get isServing(): boolean {
        return this.#isLeadershipEstablished && this.#consensus.hasLease(this.#getNow());
    }

    /**
     * Waits until a leader whose lease has expired either renews it or loses leadership. A blocked
     * event loop can let the lease expire although no other member was elected. All callers share
     * one round to the quorum.
     *
     * @returns Whether this member is the leader with a valid lease.
     */
    async waitForLease(): Promise<boolean> {
        const canRegainLease =
            this.#isLeadershipEstablished &&
            !this.#isStopped &&
            !this.#consensus.isTransferringLeadership;
        if (this.isServing || !canRegainLease) {
            return this.isServing;
        }
        this.#leaseConfirmation ??= this.#confirmLeadership().finally(() => {
            this.#leaseConfirmation = undefined;
        });
        await this.#leaseConfirmation;
        return this.isServing;
    }

    async #confirmLeadership(): Promise<void> {
        const index = this.#consensus.propose([], this.#getNow());
        if (index === undefined) {
            return;
        }
        const applied = this.#applyWaiters.waitFor(index);
        void this.#runReady();
        await applied;
    }

    /**
     * Proposes a command.
     *
     * @param command The command.
     * @param options The term of the leadership that decided on the command; any by default.
     * @returns The state machine's result, once the command is committed and applied.
     * @throws {NotLeaderError} If the command was not proposed.
     * @throws {OutcomeUnknownError} If leadership ended and the command may still be applied.
     */
    propose(command: C, options: { readonly term?: number } = {}): Promise<R> {
        const { term = this.#leaderTerm } = options;
        if (!this.#isLeadershipEstablished || term !== this.#leaderTerm || this.#isStopped) {
            return Promise.reject(new NotLeaderError(this.#consensus.leader));
        }
        return new Promise((resolve, reject) => {
            this.#pendingProposals.push({ command, resolve, reject });
            this.#batchTimer ??= setTimeout(
                () => this.#proposePending(),
                this.#options.batchWindowMs ?? DEFAULT_BATCH_WINDOW_MS,
            );
        });
    }

    /**
     * Handles a message from another member.
     *
     * @param from The sender.
     * @param message A request or a response.
     * @returns The response to a request, once the state that it confirms is persisted; `undefined`
     * for a response, or when the replica is stopped.
     */
    receive(from: MemberId, message: GroupMessage): Promise<GroupMessage | undefined> {
        if (this.#isStopped) {
            return Promise.resolve(undefined);
        }
        const isRequest = message.type !== "voteResponse" && message.type !== "appendResponse";
        const response = isRequest
            ? new Promise<GroupMessage | undefined>((resolve) => {
                  const key = createWaiterKey(from, message);
                  const waiters = this.#responseWaiters.get(key) ?? [];
                  waiters.push(resolve);
                  this.#responseWaiters.set(key, waiters);
              })
            : Promise.resolve(undefined);
        this.#consensus.receive(from, message, this.#getNow());
        void this.#runReady();
        return response;
    }

    /**
     * Marks a member's in-flight messages as lost, so that they are sent again.
     *
     * @param member The member.
     */
    handleUndelivered(member: MemberId): void {
        this.#consensus.handleUndelivered(member);
    }

    /**
     * Starts replicating the log to a non-voting member.
     *
     * @param member The learner.
     */
    addLearner(member: MemberId): void {
        this.#consensus.addLearner(member);
        void this.#runReady();
    }

    /**
     * Stops replicating the log to a learner.
     *
     * @param member The learner.
     */
    removeLearner(member: MemberId): void {
        this.#consensus.removeLearner(member);
    }

    /**
     * Lists the learners that the log is replicated to.
     *
     * @returns Each learner, the send time of the last message that it acknowledged, in ms, and
     *     whether it holds all committed entries.
     */
    listLearners(): {
        readonly member: MemberId;
        readonly ackedSentAtMs: number;
        isCaughtUp: boolean;
    }[] {
        return this.#consensus.listLearners().map((learner) => ({
            ...learner,
            isCaughtUp:
                (this.#consensus.getMatchIndex(learner.member) ?? 0) >= this.#consensus.commitIndex,
        }));
    }

    /**
     * Adds or removes one voter; see {@link Consensus.proposeVoters}.
     *
     * @param voters The new voters.
     * @returns Whether the change was proposed.
     */
    proposeVoters(voters: readonly MemberId[]): boolean {
        const isProposed = this.#consensus.proposeVoters(voters) !== undefined;
        void this.#runReady();
        return isProposed;
    }

    #proposePending(): void {
        this.#batchTimer = undefined;
        const proposals = this.#pendingProposals;
        this.#pendingProposals = [];
        if (proposals.length === 0) {
            return;
        }
        const commands = proposals.map((p) => p.command);
        const extraCommands = this.#options.createExtraCommands?.(commands) ?? [];
        const index = this.#consensus.propose([...commands, ...extraCommands], this.#getNow());
        if (index === undefined) {
            const error = new NotLeaderError(this.#consensus.leader);
            proposals.forEach((p) => p.reject(error));
            return;
        }
        this.#inFlightProposals.set(index, proposals);
        void this.#runReady();
    }

    /**
     * Processes pending work until there is none. While a write is in progress, messages that do
     * not depend on it are still sent and committed entries applied, so that a slow disk does not
     * delay heartbeats.
     */
    #runReady(): Promise<void> {
        if (this.#readyLoop !== undefined) {
            this.#sendAll(this.#consensus.takeMessagesBeforePersist());
            this.#applyCommitted();
            this.#updateLeadership();
        }
        this.#readyLoop ??= this.#runUntilIdle().finally(() => {
            this.#readyLoop = undefined;
            if (this.#consensus.hasReady && !this.#isStopped) {
                void this.#runReady();
            }
        });
        return this.#readyLoop;
    }

    async #runUntilIdle(): Promise<void> {
        this.#updateLeadership();
        while (this.#consensus.hasReady) {
            const ready = this.#consensus.takeReady();
            this.#sendAll(ready.messagesBeforePersist);
            await this.#writeReady(ready);
            const last = ready.entries.at(-1);
            if (last !== undefined) {
                this.#consensus.confirmPersisted(last.index, last.term);
            }
            this.#sendAll(ready.messagesAfterPersist);
            this.#applyCommitted();
            this.#updateLeadership();
            await this.#takeSnapshotIfDue();
        }
        this.#applyCommitted();
        this.#updateLeadership();
    }

    async #writeReady(ready: Ready): Promise<void> {
        for (;;) {
            try {
                if (ready.snapshotToInstall !== undefined) {
                    await this.#options.storage.compact(
                        ready.snapshotToInstall,
                        [],
                        ready.hardState ?? this.#consensus.hardState,
                    );
                    this.#options.machine.restore(ready.snapshotToInstall.state);
                    this.#appliedIndex = ready.snapshotToInstall.index;
                    this.#snapshotIndex = ready.snapshotToInstall.index;
                }
                const startedAtMs = performance.now();
                await this.#options.storage.append(ready.entries, ready.hardState);
                if (ready.entries.length > 0) {
                    this.#options.onPersisted?.(performance.now() - startedAtMs);
                }
                return;
            } catch (error) {
                // Retry without confirming or responding, so that no member counts on state that
                // is not persisted. The rest of the group continues meanwhile.
                this.#options.onStorageError?.(error as Error);
                if (this.#isStopped) {
                    throw error;
                }
                await new Promise((resolve) => setTimeout(resolve, STORAGE_RETRY_MS));
            }
        }
    }

    #sendAll(messages: readonly OutgoingMessage[]): void {
        for (const { to, message } of messages) {
            const isResponse = message.type === "voteResponse" || message.type === "appendResponse";
            if (isResponse) {
                this.#resolveResponse(createWaiterKey(to, message), message);
            } else {
                this.#options.transport.send(to, message);
            }
        }
    }

    #resolveResponse(key: string, message: GroupMessage): void {
        const waiters = this.#responseWaiters.get(key) ?? [];
        waiters.shift()?.(message);
        if (waiters.length === 0) {
            this.#responseWaiters.delete(key);
        }
    }

    #applyCommitted(): void {
        if (this.#appliedIndex < this.#consensus.baseIndex) {
            // A snapshot that covers the entries in between is not restored yet.
            return;
        }
        const entries = this.#consensus.listCommitted(this.#appliedIndex);
        for (const entry of entries) {
            this.#applyEntry(entry);
            this.#appliedIndex = entry.index;
        }
        if (entries.length > 0) {
            this.#applyWaiters.resolveUpTo(this.#appliedIndex);
            this.#options.onApplied?.();
        }
    }

    #applyEntry(entry: LogEntry): void {
        const isOwnTerm = this.#consensus.role === "leader" && entry.term === this.#consensus.term;
        if (entry.type === "noop" && isOwnTerm) {
            this.#isLeadershipEstablished = true;
            this.#leaderTerm = entry.term;
            this.#options.onLeadershipGained?.();
        }
        if (entry.type !== "commands") {
            return;
        }
        const proposals = this.#inFlightProposals.get(entry.index) ?? [];
        this.#inFlightProposals.delete(entry.index);
        if (!isOwnTerm) {
            proposals.forEach((p) => p.reject(new OutcomeUnknownError()));
        }
        entry.commands.forEach((command, i) => {
            const result = this.#options.machine.apply(command as C);
            if (isOwnTerm) {
                proposals[i]?.resolve(result);
            }
        });
    }

    #updateLeadership(): void {
        const isLeading =
            this.#consensus.role === "leader" && this.#consensus.term === this.#leaderTerm;
        if (this.#isLeadershipEstablished && !isLeading) {
            this.#isLeadershipEstablished = false;
            this.#rejectProposals();
            this.#options.onLeadershipLost?.(this.#consensus.resignCause);
        } else if (this.#consensus.role !== "leader" && this.#inFlightProposals.size > 0) {
            this.#rejectProposals();
        }
    }

    #rejectProposals(): void {
        const unproposed = this.#pendingProposals;
        this.#pendingProposals = [];
        unproposed.forEach((p) => p.reject(new NotLeaderError(this.#consensus.leader)));
        for (const proposals of this.#inFlightProposals.values()) {
            proposals.forEach((p) => p.reject(new OutcomeUnknownError()));
        }
        this.#inFlightProposals.clear();
        this.#applyWaiters.resolveUpTo(Number.POSITIVE_INFINITY);
    }

    #buildSnapshot(): Snapshot {
        const index = this.#appliedIndex;
        return {
            index,
            ...this.#consensus.getSnapshotMetadata(index),
            state: this.#options.machine.encode(),
        };
    }

    async #takeSnapshotIfDue(): Promise<void> {
        const intervalEntries =
            this.#options.snapshotIntervalEntries ?? DEFAULT_SNAPSHOT_INTERVAL_ENTRIES;
        const isBehindLog = this.#appliedIndex < this.#consensus.baseIndex;
        const newEntries = this.#appliedIndex - this.#snapshotIndex;
        const isDue = newEntries >= intervalEntries || (newEntries > 0 && this.#isLogLarge());
        if (isBehindLog || !isDue) {
            return;
        }
        const snapshot = this.#buildSnapshot();
        this.#snapshotIndex = snapshot.index;
        const remainingEntries = this.#consensus.compact(snapshot.index);
        try {
            await this.#options.storage.compact(
                snapshot,
                remainingEntries,
                this.#consensus.hardState,
            );
        } catch (error) {
            // The previous snapshot and the log remain; the next snapshot is a new attempt.
            this.#options.onStorageError?.(error as Error);
        }
        this.#remainingLogBytes = this.#options.storage.logBytes;
    }

    /**
     * Returns whether the log has grown beyond its maximum size. What the last snapshot has left
     * doesn't count: it may be large while it can't be committed.
     */
    #isLogLarge(): boolean {
        const { storage, maxLogBytes = DEFAULT_MAX_LOG_BYTES } = this.#options;
        return storage.logBytes - this.#remainingLogBytes >= maxLogBytes;
    }
}

/**
 * Creates the key that a request and its response share. Responses to heartbeats overtake those to
 * entries, so the sender alone does not tell which request a response belongs to.
 */
function createWaiterKey(member: MemberId, message: GroupMessage): string {
    const isVote = message.type === "voteRequest" || message.type === "voteResponse";
    return isVote ? `${member}|vote|${message.pre}` : `${member}|${message.sentAt}`;
}
