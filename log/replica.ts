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
import { Barriers } from "./_barriers.ts";
import {
    Consensus,
    DEFAULT_TIMINGS,
    type Campaign,
    type ConsensusTimings,
    type Ready,
    type ResignCause,
    type Role,
} from "./consensus.ts";
import type { GroupMessage, LogEntry, MemberId, Outgoing, Snapshot, Storage } from "./types.ts";

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
    readonly onLead?: () => void;
    /** This member leads no more, and why. */
    readonly onResign?: (cause: ResignCause) => void;
    /** A write to the storage took this long, in ms. */
    readonly onPersisted?: (tookMs: number) => void;
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
const RESIGN_WAIT_MS = 500;
const DEFAULT_BATCH_WINDOW_MS = 2;
const DEFAULT_SNAPSHOT_EVERY = 2_000;

/** One member's replica. */
export class Replica<C, R> {
    readonly #options: ReplicaOptions<C, R>;
    readonly #consensus: Consensus;
    readonly #getNow: () => number;
    #appliedIndex = 0;
    #snapshotIndex = 0;
    #pending: Proposal<C, R>[] = [];
    readonly #proposed = new Map<number, readonly Proposal<C, R>[]>();
    readonly #barriers = new Barriers();
    #confirming: Promise<void> | undefined;
    readonly #replyWaiters = new Map<MemberId, ((message: GroupMessage | undefined) => void)[]>();
    #batchTimer: NodeJS.Timeout | undefined;
    #running: Promise<void> | undefined;
    #ticks: Subscription | undefined;
    #leadingTerm = 0;
    #isLeadAnnounced = false;
    #stopped = false;

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
            startedAt: options.startedAt,
        });
        if (stored.snapshot !== undefined) {
            options.machine.restore(stored.snapshot.state);
            this.#appliedIndex = stored.snapshot.index;
            this.#snapshotIndex = stored.snapshot.index;
        }
        this.#consensus.snapshotForPeers = () => this.#buildSnapshot();
    }

    /** Ends the leader's lease until a quorum confirms it anew; see {@link Consensus.distrustClock}. */
    distrustClock(): void {
        this.#consensus.distrustClock(this.#getNow());
    }

    /** Starts the clock of this replica. */
    start(): void {
        // Messages that have arrived are read before the clock is looked at: after a pause of this
        // process a leader would resign, and a follower campaign, beside answers that came in time.
        this.#ticks = interval(TICK_MS).subscribe(() => setImmediate(() => this.#tick()));
        this.#tick();
    }

    #tick(): void {
        if (this.#ticks?.closed === true) {
            return;
        }
        this.#consensus.tick(this.#getNow());
        void this.#runReady();
    }

    /**
     * Asks another voter to lead, and waits a moment for it to do so.
     */
    async resign(): Promise<void> {
        this.#consensus.resignTo();
        void this.#runReady();
        const until = this.#getNow() + RESIGN_WAIT_MS;
        while (this.#consensus.role === "leader" && this.#getNow() < until) {
            await new Promise((resolve) => setTimeout(resolve, TICK_MS));
        }
    }

    /** Stops the clock, waits for writes under way, closes the storage. */
    async stop(): Promise<void> {
        this.#stopped = true;
        this.#ticks?.unsubscribe();
        clearTimeout(this.#batchTimer);
        await this.#running;
        this.#refuseProposals();
        for (const waiters of this.#replyWaiters.values()) {
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
        return this.#isLeadAnnounced && this.#consensus.hasLease(this.#getNow());
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
        const canComeBack =
            this.#isLeadAnnounced && !this.#stopped && !this.#consensus.isHandingOver;
        if (this.isServing || !canComeBack) {
            return this.isServing;
        }
        this.#confirming ??= this.#confirmLead().finally(() => {
            this.#confirming = undefined;
        });
        await this.#confirming;
        return this.isServing;
    }

    async #confirmLead(): Promise<void> {
        const index = this.#consensus.propose([], this.#getNow());
        if (index === undefined) {
            return;
        }
        const passed = this.#barriers.add(index);
        void this.#runReady();
        await passed;
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
        if (!this.#isLeadAnnounced || this.#stopped) {
            return Promise.reject(new NotLeaderError(this.#consensus.leader));
        }
        return new Promise((resolve, reject) => {
            this.#pending.push({ command, resolve, reject });
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
        if (this.#stopped) {
            return Promise.resolve(undefined);
        }
        const isRequest = message.type !== "voteResponse" && message.type !== "appendResponse";
        const reply = isRequest
            ? new Promise<GroupMessage | undefined>((resolve) => {
                  const waiters = this.#replyWaiters.get(from) ?? [];
                  waiters.push(resolve);
                  this.#replyWaiters.set(from, waiters);
              })
            : Promise.resolve(undefined);
        this.#consensus.receive(from, message, this.#getNow());
        void this.#runReady();
        return reply;
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
    listLearners(): { readonly member: MemberId; readonly ackedAt: number; isCaughtUp: boolean }[] {
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
        const started = this.#consensus.proposeVoters(voters) !== undefined;
        void this.#runReady();
        return started;
    }

    #proposePending(): void {
        this.#batchTimer = undefined;
        const proposals = this.#pending;
        this.#pending = [];
        if (proposals.length === 0) {
            return;
        }
        const commands = proposals.map((p) => p.command);
        const extra = this.#options.completeBatch?.(commands) ?? [];
        const index = this.#consensus.propose([...commands, ...extra], this.#getNow());
        if (index === undefined) {
            const error = new NotLeaderError(this.#consensus.leader);
            proposals.forEach((p) => p.reject(error));
            return;
        }
        this.#proposed.set(index, proposals);
        void this.#runReady();
    }

    /**
     * Does what the protocol asks, one batch after another, until nothing is left. While a write is
     * under way, what does not wait for it goes on: a leader whose disk hangs would otherwise
     * miss its heartbeats and hold up what the other two have made durable. Appends of the next
     * batch leave during the write too, which saves half a sync per commit under load.
     */
    #runReady(): Promise<void> {
        if (this.#running !== undefined) {
            this.#sendAll(this.#consensus.takeSendNow());
            this.#applyCommitted();
            this.#updateLeadership();
        }
        this.#running ??= this.#runUntilIdle().finally(() => {
            this.#running = undefined;
            if (this.#consensus.hasReady && !this.#stopped) {
                void this.#runReady();
            }
        });
        return this.#running;
    }

    async #runUntilIdle(): Promise<void> {
        this.#updateLeadership();
        while (this.#consensus.hasReady) {
            const ready = this.#consensus.takeReady();
            this.#sendAll(ready.sendNow);
            await this.#appendDurably(ready);
            const last = ready.entries.at(-1);
            if (last !== undefined) {
                this.#consensus.confirmPersisted(last.index, last.term);
            }
            this.#sendAll(ready.sendAfter);
            this.#applyCommitted();
            this.#updateLeadership();
            await this.#takeSnapshot();
        }
        this.#applyCommitted();
        this.#updateLeadership();
    }

    async #appendDurably(ready: Ready): Promise<void> {
        for (;;) {
            try {
                if (ready.install !== undefined) {
                    await this.#options.storage.compact(
                        ready.install,
                        [],
                        ready.hard ?? this.#consensus.hard,
                    );
                    this.#options.machine.restore(ready.install.state);
                    this.#appliedIndex = ready.install.index;
                    this.#snapshotIndex = ready.install.index;
                }
                const startedAt = performance.now();
                await this.#options.storage.append(ready.entries, ready.hard);
                if (ready.entries.length > 0) {
                    this.#options.onPersisted?.(performance.now() - startedAt);
                }
                return;
            } catch (error) {
                // A full disk refuses writes. Nothing is confirmed or answered meanwhile, so the
                // group goes on without this member and nobody counts on what it does not hold.
                this.#options.onStorageError?.(error as Error);
                if (this.#stopped) {
                    throw error;
                }
                await new Promise((resolve) => setTimeout(resolve, STORAGE_RETRY_MS));
            }
        }
    }

    #sendAll(outgoing: readonly Outgoing[]): void {
        for (const { to, message } of outgoing) {
            const isResponse = message.type === "voteResponse" || message.type === "appendResponse";
            if (isResponse) {
                this.#replyWaiters.get(to)?.shift()?.(message);
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
            this.#barriers.release(this.#appliedIndex);
            this.#options.onApplied?.();
        }
    }

    #applyEntry(entry: LogEntry): void {
        const isOwnTerm = this.#consensus.role === "leader" && entry.term === this.#consensus.term;
        if (entry.type === "noop" && isOwnTerm) {
            this.#isLeadAnnounced = true;
            this.#leadingTerm = entry.term;
            this.#options.onLead?.();
        }
        if (entry.type !== "commands") {
            return;
        }
        const proposals = isOwnTerm ? this.#proposed.get(entry.index) : undefined;
        this.#proposed.delete(entry.index);
        entry.commands.forEach((command, i) => {
            const result = this.#options.machine.apply(command as C);
            proposals?.[i]?.resolve(result);
        });
    }

    #updateLeadership(): void {
        const leads =
            this.#consensus.role === "leader" && this.#consensus.term === this.#leadingTerm;
        if (this.#isLeadAnnounced && !leads) {
            this.#isLeadAnnounced = false;
            this.#refuseProposals();
            this.#options.onResign?.(this.#consensus.resignCause);
        } else if (this.#consensus.role !== "leader" && this.#proposed.size > 0) {
            this.#refuseProposals();
        }
    }

    #refuseProposals(): void {
        const unsent = this.#pending;
        this.#pending = [];
        unsent.forEach((p) => p.reject(new NotLeaderError(this.#consensus.leader)));
        for (const proposals of this.#proposed.values()) {
            proposals.forEach((p) => p.reject(new OutcomeUnknownError()));
        }
        this.#proposed.clear();
        this.#barriers.release(Number.POSITIVE_INFINITY);
    }

    #buildSnapshot(): Snapshot {
        const index = this.#appliedIndex;
        return {
            index,
            ...this.#consensus.describeAt(index),
            state: this.#options.machine.encode(),
        };
    }

    async #takeSnapshot(): Promise<void> {
        const every = this.#options.snapshotEvery ?? DEFAULT_SNAPSHOT_EVERY;
        if (this.#appliedIndex - this.#snapshotIndex < every) {
            return;
        }
        const snapshot = this.#buildSnapshot();
        this.#snapshotIndex = snapshot.index;
        const rest = this.#consensus.compact(snapshot.index);
        try {
            await this.#options.storage.compact(snapshot, rest, this.#consensus.hard);
        } catch (error) {
            // The old snapshot and the whole log are still there; the next one tries again.
            this.#options.onStorageError?.(error as Error);
        }
    }
}
