/**
 * One member's replica of a group's state machine: it ties the agreement protocol to a storage,
 * a transport and the state machine. Commands proposed within a short window share one entry,
 * one fsync and one round to the other members; what a command leads to leaves only after a
 * quorum holds it durably.
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

/** A deterministic state machine: the same commands in the same order give the same state. */
export interface StateMachine<C, R> {
    /**
     * Applies one committed command.
     *
     * @param command The command.
     * @returns What the proposer is told.
     */
    readonly apply: (command: C) => R;
    /** Encodes the whole state. */
    readonly encode: () => string;
    /**
     * Replaces the whole state.
     *
     * @param state What {@link StateMachine.encode} gave.
     */
    readonly restore: (state: string) => void;
}

/** Carries messages to other members. */
export interface Transport {
    /**
     * Sends a request to a member; its response comes back through {@link Replica.receive}.
     *
     * @param to The receiver.
     * @param message The message.
     */
    readonly send: (to: MemberId, message: GroupMessage) => void;
}

/** What a replica tells its owner. */
export interface ReplicaEvents {
    /** Committed entries were applied; on the leader, effects may leave now. */
    readonly onApplied?: () => void;
    /** This member leads, and everything of earlier terms is applied. */
    readonly onLeadershipGained?: () => void;
    /** This member leads no more, and why. */
    readonly onLeadershipLost?: (cause: ResignCause) => void;
    /** A write to the storage took this long, in ms. */
    readonly onPersisted?: (durationMs: number) => void;
    /** Writing to the storage failed; it is tried again. */
    readonly onStorageError?: (error: Error) => void;
}

/** Options of {@link Replica}. */
export interface ReplicaOptions<C, R> extends ReplicaEvents {
    readonly self: MemberId;
    readonly storage: Storage;
    readonly machine: StateMachine<C, R>;
    readonly transport: Transport;
    /** The voters when the group starts for the first time. */
    readonly initialVoters: readonly MemberId[];
    readonly timings?: ConsensusTimings;
    /** Commands proposed within this many ms share one entry. */
    readonly batchWindowMs?: number;
    /**
     * Gives commands that the owner puts behind a batch, such as a tick that places what the
     * batch submitted: one round of the group then does both.
     */
    readonly completeBatch?: (commands: readonly C[]) => readonly C[];
    /** A snapshot is taken after this many entries. */
    readonly snapshotEvery?: number;
    readonly random?: () => number;
    /** A clock that never goes back, in ms. */
    readonly getNow?: () => number;
    /** When this process started, on that clock, if known; see {@link Consensus}. */
    readonly startedAt?: number;
}

/** Thrown when a command could not be proposed: it did not and will not happen. */
export class NotLeaderError extends Error {
    /** The leader, as far as known. */
    readonly leader: MemberId | undefined;

    /**
     * @param leader The leader, as far as known.
     */
    constructor(leader: MemberId | undefined) {
        super(`not the leader${leader === undefined ? "" : `; ${leader} is`}`);
        this.name = "NotLeaderError";
        this.leader = leader;
    }
}

/** Thrown when leadership ended before a command was committed: it may or may not happen. */
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

/** One member's replica. */
export class Replica<C, R> {
    readonly #options: ReplicaOptions<C, R>;
    readonly #consensus: Consensus;
    readonly #getNow: () => number;
    #appliedIndex = 0;
    #snapshotIndex = 0;
    #pendingProposals: Proposal<C, R>[] = [];
    readonly #inFlightProposals = new Map<number, readonly Proposal<C, R>[]>();
    readonly #applyWaiters = new ApplyWaiters();
    #leaseConfirmation: Promise<void> | undefined;
    readonly #responseWaiters = new Map<
        MemberId,
        ((message: GroupMessage | undefined) => void)[]
    >();
    #batchTimer: NodeJS.Timeout | undefined;
    #readyLoop: Promise<void> | undefined;
    #tickSubscription: Subscription | undefined;
    #leaderTerm = 0;
    #isLeadershipEstablished = false;
    #isStopped = false;

    /**
     * @param options Identity, storage, state machine, transport; see {@link ReplicaOptions}.
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
            startedAtMs: options.startedAt,
        });
        if (stored.snapshot !== undefined) {
            options.machine.restore(stored.snapshot.state);
            this.#appliedIndex = stored.snapshot.index;
            this.#snapshotIndex = stored.snapshot.index;
        }
        this.#consensus.buildSnapshot = () => this.#buildSnapshot();
    }

    /** Ends the leader's lease until a quorum confirms it anew; see {@link Consensus.invalidateLease}. */
    invalidateLease(): void {
        this.#consensus.invalidateLease(this.#getNow());
    }

    /** Starts the clock of this replica. */
    start(): void {
        // Messages that have arrived are read before the clock is looked at: after a pause of this
        // process a leader would resign, and a follower campaign, beside answers that came in time.
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

    /**
     * Asks another voter to lead, and waits a moment for it to do so.
     */
    async resign(): Promise<void> {
        this.#consensus.startLeadershipTransfer();
        void this.#runReady();
        const deadlineMs = this.#getNow() + LEADERSHIP_TRANSFER_TIMEOUT_MS;
        while (this.#consensus.role === "leader" && this.#getNow() < deadlineMs) {
            await new Promise((resolve) => setTimeout(resolve, TICK_MS));
        }
    }

    /** Stops the clock, waits for writes under way, closes the storage. */
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

    /** The role now. */
    get role(): Role {
        return this.#consensus.role;
    }

    /** The term now. */
    get term(): number {
        return this.#consensus.term;
    }

    /** The leader, as far as known. */
    get leader(): MemberId | undefined {
        return this.#consensus.leader;
    }

    /** The voters. */
    get voters(): readonly MemberId[] {
        return this.#consensus.voters;
    }

    /** The election that this member asks for, or `undefined` when it asks for none. */
    get campaign(): Campaign | undefined {
        return this.#consensus.campaign;
    }

    /** The last applied index. */
    get appliedIndex(): number {
        return this.#appliedIndex;
    }

    /** Whether this member leads, has applied all of earlier terms, and nobody else can lead. */
    get isServing(): boolean {
        return this.#isLeadershipEstablished && this.#consensus.hasLease(this.#getNow());
    }

    /**
     * Waits until it is sure that nobody else leads, if this member does. A lease lapses in each turn of the event
     * loop that is longer, while no other member could be elected yet. Sent on, a call would find no other leader
     * and come back to the same; an order not sent would count as unanswered, and its worker as silent. One
     * round to a quorum (10 to 20 ms, shared by all that wait) tells which it is: it ends with a valid lease, or
     * with the lead.
     *
     * @returns Whether this member leads and nobody else can.
     */
    async waitServing(): Promise<boolean> {
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
     * @returns What the state machine answered, once a quorum holds the command durably.
     * @throws {NotLeaderError} When it will not happen.
     * @throws {OutcomeUnknownError} When it may or may not happen.
     */
    propose(command: C): Promise<R> {
        if (!this.#isLeadershipEstablished || this.#isStopped) {
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
     * Takes a message from another member.
     *
     * @param from The sender.
     * @param message A request or a response.
     * @returns The response to a request, after what it promises is durable.
     */
    receive(from: MemberId, message: GroupMessage): Promise<GroupMessage | undefined> {
        if (this.#isStopped) {
            return Promise.resolve(undefined);
        }
        const isRequest = message.type !== "voteResponse" && message.type !== "appendResponse";
        const response = isRequest
            ? new Promise<GroupMessage | undefined>((resolve) => {
                  const waiters = this.#responseWaiters.get(from) ?? [];
                  waiters.push(resolve);
                  this.#responseWaiters.set(from, waiters);
              })
            : Promise.resolve(undefined);
        this.#consensus.receive(from, message, this.#getNow());
        void this.#runReady();
        return response;
    }

    /**
     * Notes that messages to a member were lost, so that they are sent again.
     *
     * @param member The member.
     */
    handleUndelivered(member: MemberId): void {
        this.#consensus.handleUndelivered(member);
    }

    /**
     * Sends the log to a member that does not vote.
     *
     * @param member The learner.
     */
    addLearner(member: MemberId): void {
        this.#consensus.addLearner(member);
        void this.#runReady();
    }

    /**
     * Stops sending the log to a learner.
     *
     * @param member The learner.
     */
    removeLearner(member: MemberId): void {
        this.#consensus.removeLearner(member);
    }

    /**
     * Lists the members that receive the log without voting.
     *
     * @returns Each learner, when it last answered, and whether it holds the whole log.
     */
    listLearners(): {
        readonly member: MemberId;
        readonly ackedAtMs: number;
        isCaughtUp: boolean;
    }[] {
        return this.#consensus.listLearners().map((learner) => ({
            ...learner,
            isCaughtUp:
                (this.#consensus.getMatchIndex(learner.member) ?? 0) >= this.#consensus.commitIndex,
        }));
    }

    /**
     * Changes the voters by one member; see {@link Consensus.proposeVoters}.
     *
     * @param voters The voters from now on.
     * @returns Whether the change was started.
     */
    proposeVoters(voters: readonly MemberId[]): boolean {
        const isStarted = this.#consensus.proposeVoters(voters) !== undefined;
        void this.#runReady();
        return isStarted;
    }

    #proposePending(): void {
        this.#batchTimer = undefined;
        const proposals = this.#pendingProposals;
        this.#pendingProposals = [];
        if (proposals.length === 0) {
            return;
        }
        const commands = proposals.map((p) => p.command);
        const extraCommands = this.#options.completeBatch?.(commands) ?? [];
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
     * Does what the protocol asks, one batch after another, until nothing is left. While a write is
     * under way, what does not wait for it goes on: a leader whose disk hangs would otherwise
     * miss its heartbeats and hold up what the other two have made durable. Appends of the next
     * batch leave during the write too, which saves half a sync per commit under load.
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
                // A full disk refuses writes. Nothing is confirmed or answered meanwhile, so the
                // group goes on without this member and nobody counts on what it does not hold.
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
                this.#responseWaiters.get(to)?.shift()?.(message);
            } else {
                this.#options.transport.send(to, message);
            }
        }
    }

    #applyCommitted(): void {
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
        const proposals = isOwnTerm ? this.#inFlightProposals.get(entry.index) : undefined;
        this.#inFlightProposals.delete(entry.index);
        entry.commands.forEach((command, i) => {
            const result = this.#options.machine.apply(command as C);
            proposals?.[i]?.resolve(result);
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
        const intervalEntries = this.#options.snapshotEvery ?? DEFAULT_SNAPSHOT_INTERVAL_ENTRIES;
        if (this.#appliedIndex - this.#snapshotIndex < intervalEntries) {
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
            // The old snapshot and the whole log are still there; the next one tries again.
            this.#options.onStorageError?.(error as Error);
        }
    }
}
