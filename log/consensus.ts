/**
 * Implements the Raft consensus protocol without I/O, with pre-vote, leader leases, snapshots,
 * learners and single-voter configuration changes.
 *
 * @example
 * ```ts
 * import { Consensus } from "./consensus.ts";
 * const node = new Consensus({ self, stored, random: Math.random, now: 0 });
 * node.tick(1_500);
 * const ready = node.takeReady(); // persist and send its contents
 * ```
 *
 * @module
 */

import { getNextState, loadChart } from "../chart/mod.ts";
import { computeQuorumSize, Followers, type FollowerProgress } from "./_followers.ts";
import { EntryLog } from "./entry_log.ts";
import type {
    AppendRequest,
    AppendResponse,
    GroupMessage,
    HardState,
    LogEntry,
    MemberId,
    OutgoingMessage,
    Snapshot,
    SnapshotRequest,
    StoredState,
    TransferRequest,
    VoteRequest,
    VoteResponse,
} from "./types.ts";

const roleChart = loadChart(new URL("./role_chart.yaml", import.meta.url));
const NO_GUARDS: ReadonlySet<string> = new Set();
const MAX_ENTRIES_PER_APPEND = 256;
/**
 * Delay before a new commit index is sent without waiting for the next heartbeat, in ms. Replicas
 * apply rules and wake waiting callers, and would otherwise lag by a heartbeat.
 */
const COMMIT_NOTIFY_DELAY_MS = 20;
const SNAPSHOT_RESEND_MS = 5_000;
/** Entries kept before a snapshot, so that a slightly lagging member needs no snapshot. */
const SNAPSHOT_TRAILING_ENTRIES = 512;

/**
 * The reason why leadership ended: a higher term, a lost quorum, a leadership transfer, or removal
 * from the voters.
 */
export type ResignCause = "higher_term" | "lose_quorum" | "transfer" | "dismiss";

/** The state of an election that a member campaigns in. */
export interface Campaign {
    readonly voters: number;
    /** Voters that granted their vote or pre-vote, including this member. */
    readonly granted: number;
    readonly lastIndex: number;
}

/** A member's role in its group. */
export type Role = "learner" | "follower" | "pre_candidate" | "candidate" | "leader";

/** The protocol timings of a group, in ms. */
export interface ConsensusTimings {
    /** Interval between the leader's heartbeats. */
    readonly heartbeatMs: number;
    /** Minimum election timeout; the actual one is random, up to twice as long. */
    readonly electionMs: number;
}

/** The default timings, which replace a failed leader in one to three seconds. */
export const DEFAULT_TIMINGS: ConsensusTimings = { heartbeatMs: 250, electionMs: 1_000 };

/** Options of {@link Consensus}. */
export interface ConsensusOptions {
    readonly self: MemberId;
    readonly stored: StoredState;
    /** The voters of a new group, if the storage holds none. */
    readonly initialVoters?: readonly MemberId[];
    readonly timings?: ConsensusTimings;
    /** Returns random numbers in [0, 1), used for election timeouts. */
    readonly random: () => number;
    /** The current time on a monotonic clock, in ms. */
    readonly now: number;
    /** Start time of this process on the same clock, in ms; `now` by default. */
    readonly processStartedAtMs?: number;
}

/** Work for the caller: messages to send and state to persist or install. */
export interface Ready {
    /** Messages that may be sent before anything is persisted, such as a leader's appends. */
    readonly messagesBeforePersist: readonly OutgoingMessage[];
    /** Entries to persist, in order. */
    readonly entries: readonly LogEntry[];
    /** The hard state to persist, if it changed. */
    readonly hardState: HardState | undefined;
    /** A snapshot from the leader, which replaces the log and the state machine. */
    readonly snapshotToInstall: Snapshot | undefined;
    /** Messages that may be sent only once the entries and the hard state are persisted. */
    readonly messagesAfterPersist: readonly OutgoingMessage[];
}

/** Runs the consensus protocol of one member. */
export class Consensus {
    readonly #self: MemberId;
    readonly #timings: ConsensusTimings;
    readonly #random: () => number;
    #role: Role = "learner";
    #term: number;
    #votedFor: MemberId | undefined;
    #leader: MemberId | undefined;
    readonly #log: EntryLog;
    #voters: readonly MemberId[];
    #votersIndex: number;
    #commitIndex: number;
    #persistedIndex: number;
    #unpersisted: LogEntry[] = [];
    #isHardStateChanged = false;
    #snapshotToInstall: Snapshot | undefined;
    #messagesBeforePersist: OutgoingMessage[] = [];
    #messagesAfterPersist: OutgoingMessage[] = [];
    /** Whether a hard state or a snapshot has been taken that may not be persisted yet. */
    #isStateWritePending = false;
    #now: number;
    #electionDeadlineMs = 0;
    #lastLeaderContactMs = Number.NEGATIVE_INFINITY;
    #grantedVotes = new Set<MemberId>();
    /** The time from which a quorum has one election timeout to acknowledge, in ms. */
    #quorumWaitStartMs = 0;
    readonly #followers: Followers;
    /** The index of the no-op entry that this member appended when it became the leader. */
    #termStartIndex = 0;
    /** Start time of a leadership transfer, which ends the lease. */
    #transferStartMs: number | undefined;
    #resignCause: ResignCause = "higher_term";
    /** Acknowledgements of messages sent before this time do not renew the lease. */
    #acksValidFromMs = Number.NEGATIVE_INFINITY;
    /** Builds the snapshot for members whose next entry is already compacted. */
    buildSnapshot: (() => Snapshot | undefined) | undefined;

    /**
     * @param options The identity, stored state and timings; see {@link ConsensusOptions}.
     */
    constructor(options: ConsensusOptions) {
        this.#self = options.self;
        this.#followers = new Followers(options.self);
        this.#timings = options.timings ?? DEFAULT_TIMINGS;
        this.#random = options.random;
        this.#now = options.now;
        const { initialVoters, hardState, snapshot, entries } = options.stored;
        this.#term = hardState.term;
        this.#votedFor = hardState.votedFor;
        const voters = snapshot?.voters ?? initialVoters ?? options.initialVoters ?? [];
        const { index, term } = snapshot ?? { index: 0, term: 0 };
        this.#log = new EntryLog({ index, term, voters, entries });
        this.#voters = voters;
        this.#votersIndex = index;
        this.#commitIndex = index;
        this.#persistedIndex = this.lastIndex;
        // Before its restart this member may have renewed a leader's lease. It refuses votes until
        // that lease has expired, counted from the process start to keep an outage short.
        if (hardState.term > 0) {
            this.#lastLeaderContactMs = options.processStartedAtMs ?? options.now;
        }
        this.#updateVoters();
        this.#setElectionDeadline();
        this.#scheduleFirstElection();
    }

    /** The current role. */
    get role(): Role {
        return this.#role;
    }

    /** The current term. */
    get term(): number {
        return this.#term;
    }

    /** Whether a leadership transfer is under way, after which the lease cannot be renewed. */
    get isTransferringLeadership(): boolean {
        return this.#transferStartMs !== undefined;
    }

    /** The reason why this member's last leadership ended. */
    get resignCause(): ResignCause {
        return this.#resignCause;
    }

    /** The election that this member campaigns in, or `undefined` if it does not campaign. */
    get campaign(): Campaign | undefined {
        if (this.#role !== "pre_candidate" && this.#role !== "candidate") {
            return undefined;
        }
        const granted = this.#voters.filter((voter) => this.#grantedVotes.has(voter)).length;
        return { voters: this.#voters.length, granted, lastIndex: this.lastIndex };
    }

    /** The leader of the current term, if known. */
    get leader(): MemberId | undefined {
        return this.#leader;
    }

    /** The voters of the latest configuration in the log, committed or not. */
    get voters(): readonly MemberId[] {
        return this.#voters;
    }

    /**
     * Counts the voters, including this member, that acknowledged a message of this leader within
     * an election timeout.
     *
     * @param now The time in ms.
     * @returns The count; 0 if this member is not the leader.
     */
    countActiveVoters(now: number): number {
        if (this.#role !== "leader") {
            return 0;
        }
        return this.#voters.filter((voter) => {
            const ackedSentAtMs = this.#followers.find(voter)?.ackedSentAtMs ?? -Infinity;
            return voter === this.#self || now - ackedSentAtMs <= this.#timings.electionMs;
        }).length;
    }

    /** The last index of the log. */
    get lastIndex(): number {
        return this.#log.lastIndex;
    }

    /** The highest index known to be committed. */
    get commitIndex(): number {
        return this.#commitIndex;
    }

    /** The index just before the first kept entry. */
    get baseIndex(): number {
        return this.#log.baseIndex;
    }

    /** The current hard state. */
    get hardState(): HardState {
        return { term: this.#term, votedFor: this.#votedFor };
    }

    /**
     * Lists the committed entries after an index.
     *
     * @param after The last applied index.
     * @returns The entries, in order.
     */
    listCommitted(after: number): LogEntry[] {
        return this.#log.listBetween(after, this.#commitIndex);
    }

    /**
     * Checks whether this member is the leader and a quorum acknowledged it recently enough that no
     * other member can have been elected.
     *
     * @param now The time in ms.
     * @returns Whether the lease is valid.
     */
    hasLease(now: number): boolean {
        return (
            this.#role === "leader" &&
            this.#transferStartMs === undefined &&
            this.#commitIndex >= this.#termStartIndex &&
            now - this.#followers.computeQuorumAckTimeMs(this.#voters, now) <
                this.#timings.electionMs * LEASE_FRACTION
        );
    }

    /**
     * Invalidates the lease until a quorum acknowledges messages sent from now on. Needed after a
     * suspension of the machine, during which a monotonic clock may stop.
     *
     * @param now The time in ms.
     */
    invalidateLease(now: number): void {
        this.#acksValidFromMs = now;
        this.#followers.invalidateAcks();
        this.#quorumWaitStartMs = now;
    }

    /**
     * Advances the clock. A leader sends heartbeats or steps down if it has lost its quorum; other
     * voters campaign after the election timeout.
     *
     * @param now The time in ms.
     */
    tick(now: number): void {
        this.#now = now;
        if (this.#role === "leader") {
            this.#tickLeader(now);
        } else if (this.#role !== "learner" && now >= this.#electionDeadlineMs) {
            this.#startPreVote();
        }
    }

    /**
     * Handles a message from another member.
     *
     * @param from The sender.
     * @param message The message.
     * @param now The time in ms.
     */
    receive(from: MemberId, message: GroupMessage, now: number): void {
        this.#now = now;
        switch (message.type) {
            case "voteRequest":
                this.#handleVoteRequest(from, message);
                return;
            case "voteResponse":
                this.#handleVoteResponse(from, message);
                return;
            case "append":
                this.#handleAppend(from, message);
                return;
            case "snapshot":
                this.#handleSnapshot(from, message);
                return;
            case "transfer":
                this.#handleTransfer(from, message);
                return;
            case "appendResponse":
                this.#handleAppendResponse(from, message);
                return;
        }
    }

    /**
     * Appends commands as one entry if this member is the leader.
     *
     * @param commands The state machine commands.
     * @param now The time in ms; by default that of the last event. It becomes the send time of the
     *     messages that carry the entry.
     * @returns The entry's index, or `undefined` if this member is not the leader.
     */
    propose(commands: readonly unknown[], now = this.#now): number | undefined {
        this.#now = now;
        if (this.#role !== "leader") {
            return undefined;
        }
        return this.#appendEntry({ type: "commands", commands });
    }

    /**
     * Adds or removes one voter if this member is the leader. The previous change and an entry of
     * this term must be committed, since concurrent changes could form disjoint quorums. A quorum
     * of the new voters must be responding, so that the group can still commit afterwards.
     *
     * @param voters The new voters.
     * @returns The entry's index, or `undefined` if the change is not allowed now.
     */
    proposeVoters(voters: readonly MemberId[]): number | undefined {
        const added = voters.filter((v) => !this.#voters.includes(v));
        const removed = this.#voters.filter((v) => !voters.includes(v));
        if (
            this.#role !== "leader" ||
            added.length + removed.length !== 1 ||
            this.#votersIndex > this.#commitIndex ||
            this.#commitIndex < this.#termStartIndex ||
            !this.#hasActiveQuorum(voters)
        ) {
            return undefined;
        }
        const index = this.#appendEntry({ type: "voters", voters });
        this.#updateVoters();
        return index;
    }

    /**
     * Asks the most up-to-date other voter to take over leadership, so that a planned stop does not
     * cost an election timeout.
     */
    startLeadershipTransfer(): void {
        const target = this.#voters
            .filter((v) => v !== this.#self && this.#followers.find(v) !== undefined)
            .sort((a, b) => (this.getMatchIndex(b) ?? 0) - (this.getMatchIndex(a) ?? 0))[0];
        if (this.#role !== "leader" || target === undefined) {
            return;
        }
        // The target may be elected at any time from now on, so the lease is over.
        this.#transferStartMs = this.#now;
        const message: TransferRequest = {
            type: "transfer",
            term: this.#term,
            sentAt: this.#now,
        };
        this.#messagesBeforePersist.push({ to: target, message });
    }

    /**
     * Starts replicating the log to a non-voting member.
     *
     * @param member The learner.
     */
    addLearner(member: MemberId): void {
        if (this.#role === "leader" && this.#followers.add(member, this.lastIndex + 1)) {
            this.#sendAppend(member);
        }
    }

    /**
     * Stops replicating the log to a learner.
     *
     * @param member The learner.
     */
    removeLearner(member: MemberId): void {
        if (!this.#voters.includes(member)) {
            this.#followers.remove(member);
        }
    }

    /**
     * Returns the last index at which a member's log is known to match the leader's.
     *
     * @param member The member.
     * @returns The index, or `undefined` if the member's progress is not tracked here.
     */
    getMatchIndex(member: MemberId): number | undefined {
        return member === this.#self ? this.lastIndex : this.#followers.find(member)?.matchIndex;
    }

    /**
     * Lists the learners that the log is replicated to.
     *
     * @returns Each learner and the send time of the last message that it acknowledged, in ms.
     */
    listLearners(): { readonly member: MemberId; readonly ackedSentAtMs: number }[] {
        return [...this.#followers.entries]
            .filter(([member]) => !this.#voters.includes(member))
            .map(([member, p]) => ({ member, ackedSentAtMs: p.ackedSentAtMs }));
    }

    /**
     * Marks a member's in-flight messages as lost, so that they are sent again.
     *
     * @param member The member.
     */
    handleUndelivered(member: MemberId): void {
        const progress = this.#followers.find(member);
        if (progress !== undefined) {
            progress.inFlightIndex = 0;
            progress.snapshotSentAtMs = 0;
        }
    }

    /**
     * Takes the pending work; see {@link Ready}. The work taken before must be persisted.
     *
     * @returns The work, with empty lists if there is none.
     */
    takeReady(): Ready {
        const ready: Ready = {
            messagesBeforePersist: this.#messagesBeforePersist,
            entries: this.#unpersisted,
            hardState: this.#isHardStateChanged ? this.hardState : undefined,
            snapshotToInstall: this.#snapshotToInstall,
            messagesAfterPersist: this.#messagesAfterPersist,
        };
        this.#isStateWritePending = this.#hasUnpersistedState;
        this.#messagesBeforePersist = [];
        this.#unpersisted = [];
        this.#isHardStateChanged = false;
        this.#snapshotToInstall = undefined;
        this.#messagesAfterPersist = [];
        return ready;
    }

    /**
     * Takes only the messages that may be sent before anything is persisted.
     *
     * @returns The messages.
     */
    takeMessagesBeforePersist(): readonly OutgoingMessage[] {
        const messages = this.#messagesBeforePersist;
        this.#messagesBeforePersist = [];
        return messages;
    }

    get #hasUnpersistedState(): boolean {
        return this.#isHardStateChanged || this.#snapshotToInstall !== undefined;
    }

    /** Whether {@link takeReady} would return any work. */
    get hasReady(): boolean {
        return (
            this.#messagesBeforePersist.length > 0 ||
            this.#unpersisted.length > 0 ||
            this.#hasUnpersistedState ||
            this.#messagesAfterPersist.length > 0
        );
    }

    /**
     * Confirms that entries are persisted. A leader counts itself towards the quorum only then.
     *
     * @param index The last persisted index.
     * @param term The term of that entry; the call has no effect if the entry was replaced.
     */
    confirmPersisted(index: number, term: number): void {
        if (this.#log.getTermAt(index) === term) {
            this.#persistedIndex = Math.max(this.#persistedIndex, index);
            this.#advanceCommit();
        }
    }

    /**
     * Removes the entries that a snapshot covers, except for a tail that lets slightly lagging
     * members catch up without the snapshot.
     *
     * @param index The snapshot's index, which must be applied.
     * @returns The entries after the snapshot.
     */
    compact(index: number): LogEntry[] {
        const remainingEntries = this.#log.listBetween(index, this.lastIndex);
        this.#log.compact(index - SNAPSHOT_TRAILING_ENTRIES);
        return remainingEntries;
    }

    /**
     * Returns the term and the voters for a snapshot at an index.
     *
     * @param index A committed index that is not yet compacted.
     * @returns The entry's term and the voters in effect at the index.
     */
    getSnapshotMetadata(index: number): { term: number; voters: readonly MemberId[] } {
        return {
            term: this.#log.getTermAt(index) ?? this.#log.getTermAt(this.baseIndex) ?? 0,
            voters: this.#log.findVotersAt(index).voters,
        };
    }

    #tickLeader(now: number): void {
        const sinceQuorumAckMs = now - this.#followers.computeQuorumAckTimeMs(this.#voters, now);
        // The target may still campaign on a late request, so the lease cannot be renewed: step
        // down and let a regular election follow.
        const isTransferOverdue = now - (this.#transferStartMs ?? now) > this.#timings.electionMs;
        const hasLostQuorum =
            sinceQuorumAckMs > this.#timings.electionMs &&
            now - this.#quorumWaitStartMs > this.#timings.electionMs;
        if (isTransferOverdue || hasLostQuorum) {
            this.#resign(isTransferOverdue ? "transfer" : "lose_quorum");
            return;
        }
        for (const [member, progress] of this.#followers.entries) {
            const sinceLastSendMs = now - progress.lastSentAtMs;
            const hasUnsentCommit = progress.sentCommitIndex < this.#commitIndex;
            if (
                sinceLastSendMs >= this.#timings.heartbeatMs ||
                (hasUnsentCommit &&
                    sinceLastSendMs >= COMMIT_NOTIFY_DELAY_MS &&
                    progress.inFlightIndex === 0)
            ) {
                this.#sendAppend(member);
            }
        }
    }

    #startPreVote(): void {
        this.#applyRoleEvent("election_timeout");
        this.#leader = undefined;
        this.#grantedVotes = new Set([this.#self]);
        this.#setPreVoteRetryDeadline();
        this.#sendVoteRequests(true);
        this.#checkVotes(true);
    }

    #startElection(isTransfer: boolean): void {
        this.#applyRoleEvent("win_pre_vote");
        this.#setTermAndVote(this.#term + 1, this.#self);
        this.#grantedVotes = new Set([this.#self]);
        this.#setElectionDeadline();
        this.#sendVoteRequests(false, isTransfer);
        this.#checkVotes(false);
    }

    #sendVoteRequests(isPreVote: boolean, isTransfer = false): void {
        const message: VoteRequest = {
            type: "voteRequest",
            pre: isPreVote,
            term: isPreVote ? this.#term + 1 : this.#term,
            lastIndex: this.lastIndex,
            lastTerm: this.#log.getTermAt(this.lastIndex) ?? 0,
            isTransfer,
        };
        const messages = this.#selectVoteMessages(isPreVote);
        for (const voter of this.#voters) {
            if (voter !== this.#self) {
                messages.push({ to: voter, message });
            }
        }
    }

    /** Selects the list for messages of an election. A pre-vote changes nothing to be persisted. */
    #selectVoteMessages(isPreVote: boolean): OutgoingMessage[] {
        return isPreVote ? this.#messagesBeforePersist : this.#messagesAfterPersist;
    }

    #checkVotes(isPreVote: boolean): void {
        const granted = this.#voters.filter((v) => this.#grantedVotes.has(v)).length;
        if (granted < computeQuorumSize(this.#voters.length)) {
            return;
        }
        if (isPreVote) {
            this.#startElection(false);
        } else {
            this.#startLeading();
        }
    }

    #startLeading(): void {
        this.#applyRoleEvent("win_vote");
        this.#leader = this.#self;
        this.#transferStartMs = undefined;
        this.#quorumWaitStartMs = this.#now;
        this.#followers.clear();
        for (const voter of this.#voters) {
            this.#followers.add(voter, this.lastIndex + 1);
        }
        // Entries of earlier terms are committed only by an entry of this term on top of them
        // (Raft, section 5.4.2).
        this.#termStartIndex = this.#appendEntry({ type: "noop" });
    }

    #appendEntry(
        body:
            | { type: "noop" }
            | { type: "commands"; commands: readonly unknown[] }
            | { type: "voters"; voters: readonly MemberId[] },
    ): number {
        const entry: LogEntry = { index: this.lastIndex + 1, term: this.#term, ...body };
        this.#log.append(entry);
        this.#unpersisted.push(entry);
        for (const [member, progress] of this.#followers.entries) {
            if (progress.inFlightIndex === 0) {
                this.#sendAppend(member);
            }
        }
        return entry.index;
    }

    #sendAppend(member: MemberId): void {
        const progress = this.#followers.find(member);
        if (progress === undefined) {
            return;
        }
        progress.lastSentAtMs = this.#now;
        const previousIndex = progress.nextIndex - 1;
        if (this.#isAwaitingAnswer(progress)) {
            this.#sendEntries(member, Math.max(previousIndex, this.baseIndex), []);
            return;
        }
        if (previousIndex < this.baseIndex) {
            this.#sendSnapshot(member, progress);
            return;
        }
        const entries = this.#log.listBetween(
            previousIndex,
            previousIndex + MAX_ENTRIES_PER_APPEND,
        );
        progress.inFlightIndex = entries.at(-1)?.index ?? 0;
        progress.inFlightSentAtMs = this.#now;
        progress.sentCommitIndex = this.#commitIndex;
        this.#sendEntries(member, previousIndex, entries);
    }

    /** Returns whether a member still has to answer entries or a snapshot, so that none are sent. */
    #isAwaitingAnswer(progress: FollowerProgress): boolean {
        const isSnapshot = progress.snapshotSentAtMs > 0;
        const timeoutMs = isSnapshot ? SNAPSHOT_RESEND_MS : this.#timings.electionMs;
        return progress.inFlightIndex > 0 && this.#now - progress.inFlightSentAtMs < timeoutMs;
    }

    #sendSnapshot(member: MemberId, progress: FollowerProgress): void {
        const snapshot = this.buildSnapshot?.();
        if (snapshot === undefined) {
            return;
        }
        progress.snapshotSentAtMs = this.#now;
        progress.inFlightIndex = snapshot.index;
        progress.inFlightSentAtMs = this.#now;
        const message: SnapshotRequest = {
            type: "snapshot",
            term: this.#term,
            snapshot,
            sentAt: this.#now,
        };
        this.#messagesBeforePersist.push({ to: member, message });
    }

    #sendEntries(to: MemberId, previousIndex: number, entries: readonly LogEntry[]): void {
        const message: AppendRequest = {
            type: "append",
            term: this.#term,
            previousIndex,
            previousTerm: this.#log.getTermAt(previousIndex) ?? 0,
            entries,
            commitIndex: this.#commitIndex,
            sentAt: this.#now,
        };
        this.#messagesBeforePersist.push({ to, message });
    }

    #handleVoteRequest(from: MemberId, message: VoteRequest): void {
        // A member in contact with a leader ignores even a higher term. Otherwise a partitioned
        // member could depose a leader that still holds its lease.
        const hasActiveLeader =
            this.#role === "leader"
                ? this.hasLease(this.#now)
                : this.#now - this.#lastLeaderContactMs < this.#timings.electionMs;
        const isLogUpToDate =
            message.lastTerm > (this.#log.getTermAt(this.lastIndex) ?? 0) ||
            (message.lastTerm === this.#log.getTermAt(this.lastIndex) &&
                message.lastIndex >= this.lastIndex);
        if (message.pre) {
            const granted = !hasActiveLeader && isLogUpToDate && message.term > this.#term;
            this.#sendVoteResponse(from, true, granted ? message.term : this.#term, granted);
            return;
        }
        // A learner may vote too: a configuration that it has not received yet may make it a voter.
        if (hasActiveLeader && !message.isTransfer) {
            this.#sendVoteResponse(from, false, this.#term, false);
            return;
        }
        if (message.term > this.#term) {
            this.#resign("higher_term");
            this.#setTermAndVote(message.term, undefined);
        }
        const granted =
            message.term === this.#term &&
            isLogUpToDate &&
            (this.#votedFor === undefined || this.#votedFor === from);
        if (granted) {
            this.#setTermAndVote(this.#term, from);
            this.#setElectionDeadline();
        }
        this.#sendVoteResponse(from, false, this.#term, granted);
    }

    #sendVoteResponse(to: MemberId, isPreVote: boolean, term: number, granted: boolean): void {
        this.#selectVoteMessages(isPreVote).push({
            to,
            message: { type: "voteResponse", pre: isPreVote, term, granted },
        });
    }

    #handleVoteResponse(from: MemberId, message: VoteResponse): void {
        if (!message.granted) {
            if (message.term > this.#term) {
                this.#resign("higher_term");
                this.#setTermAndVote(message.term, undefined);
            }
            return;
        }
        const expectedTerm = this.#role === "pre_candidate" ? this.#term + 1 : this.#term;
        const isCurrentVote =
            message.term === expectedTerm &&
            (message.pre ? this.#role === "pre_candidate" : this.#role === "candidate");
        if (isCurrentVote) {
            this.#grantedVotes.add(from);
            this.#checkVotes(message.pre);
        }
    }

    #handleAppend(from: MemberId, message: AppendRequest): void {
        if (!this.#acceptLeader(from, message.term, message.sentAt)) {
            return;
        }
        const previousTerm = this.#log.getTermAt(message.previousIndex);
        if (message.previousIndex > this.lastIndex || previousTerm !== message.previousTerm) {
            const retryIndex =
                message.previousIndex > this.lastIndex ? this.lastIndex + 1 : this.#commitIndex + 1;
            this.#answerAppend(from, message, { ok: false, index: retryIndex });
            return;
        }
        let lastMatchedIndex = message.previousIndex;
        for (const entry of message.entries) {
            lastMatchedIndex = entry.index;
            if (this.#log.getTermAt(entry.index) === entry.term) {
                continue;
            }
            this.#removeFrom(entry.index);
            this.#log.append(entry);
            this.#unpersisted.push(entry);
        }
        this.#updateVoters();
        this.#commitIndex = Math.max(
            this.#commitIndex,
            Math.min(message.commitIndex, lastMatchedIndex),
        );
        this.#answerAppend(from, message, { ok: true, index: lastMatchedIndex });
    }

    /**
     * Answers an append. A heartbeat is answered before pending entries are persisted: it shows that
     * this member hears the leader, and a slow disk must not delay that. The answer confirms only
     * persisted entries. A term or a snapshot that is not persisted delays it nevertheless, as a
     * restart would forget that the leader was heard.
     */
    #answerAppend(
        to: MemberId,
        request: AppendRequest,
        { ok, index }: { readonly ok: boolean; readonly index: number },
    ): void {
        const isStatePersisted = !this.#hasUnpersistedState && !this.#isStateWritePending;
        if (request.entries.length > 0 || !isStatePersisted) {
            this.#sendAppendResponse(to, ok, index, request.sentAt);
            return;
        }
        const persistedIndex = ok ? Math.min(index, this.#persistedIndex) : index;
        const message = this.#createAppendResponse(ok, persistedIndex, request.sentAt);
        this.#messagesBeforePersist.push({ to, message });
    }

    /** Campaigns at the leader's request, without the pre-vote that other voters would refuse. */
    #handleTransfer(from: MemberId, message: TransferRequest): void {
        this.#sendAppendResponse(from, true, this.#commitIndex, message.sentAt);
        if (this.#role === "follower" && message.term === this.#term && this.#leader === from) {
            this.#applyRoleEvent("election_timeout");
            this.#leader = undefined;
            this.#startElection(true);
        }
    }

    #handleSnapshot(from: MemberId, message: SnapshotRequest): void {
        if (!this.#acceptLeader(from, message.term, message.sentAt)) {
            return;
        }
        const { snapshot } = message;
        if (snapshot.index <= this.#commitIndex) {
            this.#sendAppendResponse(from, true, this.#commitIndex, message.sentAt);
            return;
        }
        if (this.#log.getTermAt(snapshot.index) === snapshot.term) {
            // The log contains what the snapshot covers, and the entries after it may be committed.
            this.#commitIndex = snapshot.index;
            this.#sendAppendResponse(from, true, snapshot.index, message.sentAt);
            return;
        }
        this.#log.replace(snapshot);
        this.#unpersisted = [];
        this.#commitIndex = snapshot.index;
        this.#persistedIndex = snapshot.index;
        this.#snapshotToInstall = snapshot;
        this.#updateVoters();
        this.#sendAppendResponse(from, true, snapshot.index, message.sentAt);
    }

    /** Accepts the sender as the leader unless its term is outdated. */
    #acceptLeader(from: MemberId, term: number, sentAt: number): boolean {
        if (term < this.#term) {
            this.#sendAppendResponse(from, false, this.lastIndex + 1, sentAt);
            return false;
        }
        if (term > this.#term) {
            this.#setTermAndVote(term, undefined);
        }
        if (this.#role !== "follower" && this.#role !== "learner") {
            this.#resignCause = "higher_term";
            this.#applyRoleEvent("follow");
        }
        this.#leader = from;
        this.#lastLeaderContactMs = this.#now;
        this.#setElectionDeadline();
        return true;
    }

    #sendAppendResponse(to: MemberId, ok: boolean, index: number, sentAt: number): void {
        const message = this.#createAppendResponse(ok, index, sentAt);
        this.#messagesAfterPersist.push({ to, message });
    }

    #createAppendResponse(ok: boolean, index: number, sentAt: number): AppendResponse {
        return { type: "appendResponse", term: this.#term, ok, index, sentAt };
    }

    #handleAppendResponse(from: MemberId, message: AppendResponse): void {
        if (message.term > this.#term) {
            this.#resign("higher_term");
            this.#setTermAndVote(message.term, undefined);
            return;
        }
        const progress = this.#followers.find(from);
        if (this.#role !== "leader" || message.term !== this.#term || progress === undefined) {
            return;
        }
        if (message.sentAt >= this.#acksValidFromMs) {
            progress.ackedSentAtMs = Math.max(progress.ackedSentAtMs, message.sentAt);
        }
        if (message.sentAt === progress.inFlightSentAtMs) {
            progress.inFlightIndex = 0;
            progress.snapshotSentAtMs = 0;
        }
        if (message.ok) {
            progress.matchIndex = Math.max(progress.matchIndex, message.index);
            progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
            this.#advanceCommit();
        } else {
            progress.nextIndex = Math.max(
                progress.matchIndex + 1,
                Math.min(message.index, this.lastIndex + 1),
            );
        }
        const hasMore = progress.nextIndex <= this.lastIndex || !message.ok;
        if (hasMore && !this.#isAwaitingAnswer(progress)) {
            this.#sendAppend(from);
        }
    }

    #advanceCommit(): void {
        if (this.#role !== "leader") {
            return;
        }
        const index = this.#followers.computeQuorumIndex(this.#voters, this.#persistedIndex);
        if (index <= this.#commitIndex || this.#log.getTermAt(index) !== this.#term) {
            return;
        }
        this.#commitIndex = index;
        if (this.#votersIndex <= index && !this.#voters.includes(this.#self)) {
            this.#resign("dismiss");
        }
    }

    /** Checks whether a quorum of the given voters acknowledged within an election timeout. */
    #hasActiveQuorum(voters: readonly MemberId[]): boolean {
        const quorumAckTimeMs = this.#followers.computeQuorumAckTimeMs(voters, this.#now);
        return this.#now - quorumAckTimeMs <= this.#timings.electionMs;
    }

    #resign(cause: ResignCause): void {
        if (this.#role === "leader") {
            this.#resignCause = cause;
        }
        if (this.#role !== "learner") {
            this.#applyRoleEvent(RESIGN_EVENTS[cause]);
        }
        this.#leader = undefined;
        this.#followers.clear();
        this.#setElectionDeadline();
    }

    #setTermAndVote(term: number, votedFor: MemberId | undefined): void {
        if (term !== this.#term || votedFor !== this.#votedFor) {
            this.#term = term;
            this.#votedFor = votedFor;
            this.#isHardStateChanged = true;
        }
    }

    #setElectionDeadline(): void {
        const isOnlyVoter = this.#voters.length === 1 && this.#voters[0] === this.#self;
        this.#electionDeadlineMs = isOnlyVoter
            ? this.#now
            : this.#now + this.#timings.electionMs * (1 + this.#random());
    }

    /**
     * Schedules the retry of a failed pre-vote earlier than a full election timeout. This shortens
     * the outage when all members restart together; a pre-vote does not disturb a running leader.
     */
    #setPreVoteRetryDeadline(): void {
        const minDelayMs = this.#timings.electionMs * PRE_VOTE_RETRY_FRACTION;
        this.#electionDeadlineMs = this.#now + minDelayMs * (1 + this.#random());
    }

    /** Schedules a restarted member's first pre-vote at the end of the previous leader's lease. */
    #scheduleFirstElection(): void {
        const leaseEndMs = this.#lastLeaderContactMs + this.#timings.electionMs;
        if (Number.isFinite(leaseEndMs)) {
            const jitterMs = this.#timings.electionMs * PRE_VOTE_RETRY_FRACTION * this.#random();
            this.#electionDeadlineMs = Math.max(this.#now, leaseEndMs) + jitterMs;
        }
    }

    #removeFrom(index: number): void {
        if (index > this.lastIndex) {
            return;
        }
        this.#log.removeFrom(index);
        this.#unpersisted = this.#unpersisted.filter((e) => e.index < index);
        this.#persistedIndex = Math.min(this.#persistedIndex, index - 1);
    }

    /** Switches to the latest configuration in the log, which applies before it is committed. */
    #updateVoters(): void {
        const { voters, index } = this.#log.findVotersAt(this.lastIndex);
        this.#voters = voters;
        this.#votersIndex = index;
        if (this.#role === "leader") {
            for (const voter of this.#voters) {
                if (this.#followers.add(voter, this.lastIndex + 1)) {
                    this.#sendAppend(voter);
                }
            }
            return;
        }
        if (this.#voters.includes(this.#self)) {
            if (this.#role === "learner") {
                this.#applyRoleEvent("admit");
                this.#setElectionDeadline();
            }
        } else if (this.#role !== "learner") {
            this.#applyRoleEvent("dismiss");
        }
    }

    #applyRoleEvent(event: string): void {
        this.#role = getNextState(roleChart, this.#role, event, NO_GUARDS) as Role;
    }
}

/**
 * Minimum delay before a failed pre-vote is retried, as a fraction of the election timeout; longer
 * than an answer of a process that has just started takes, some 50 ms.
 */
const PRE_VOTE_RETRY_FRACTION = 0.3;

/** The role chart event for each cause. */
const RESIGN_EVENTS: Readonly<Record<ResignCause, string>> = {
    higher_term: "follow",
    lose_quorum: "lose_quorum",
    transfer: "lose_quorum",
    dismiss: "dismiss",
};

/** Lease duration as a fraction of the election timeout, which allows for clock drift. */
const LEASE_FRACTION = 0.8;
