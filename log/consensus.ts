/**
 * The agreement protocol of one replicated group, pure: messages and the time go in, messages
 * and entries to persist come out. Leader election with terms and a pre-vote, quorum commit,
 * log repair, snapshots for members that are far behind, one-at-a-time changes of the voters,
 * and a leader lease that ends when a quorum goes silent.
 *
 * @example
 * ```ts
 * import { Consensus } from "./consensus.ts";
 * const node = new Consensus({ self, stored, random: Math.random, now: 0 });
 * node.tick(1_500);
 * const ready = node.takeReady();
 * ```
 *
 * @module
 */

import { applyChartEvent, loadChart } from "../chart/mod.ts";
import { computeQuorumSize, Followers } from "./_followers.ts";
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
 * Members learn a commit with the next message, or after this many ms without one: rules come into
 * force and waiting callers are woken by replicas, which would otherwise lag by a heartbeat.
 */
const COMMIT_NOTIFY_DELAY_MS = 20;
const SNAPSHOT_RESEND_MS = 5_000;
/** Entries kept in memory behind a snapshot, so a member slightly behind needs no snapshot. */
const SNAPSHOT_TRAILING_ENTRIES = 512;

/**
 * Why a member led no more: a higher term came up, no quorum answered, it asked another to lead, or it votes no
 * more.
 */
export type ResignCause = "higher_term" | "lose_quorum" | "transfer" | "dismiss";

/** What a member that would lead knows of its election. */
export interface Campaign {
    readonly voters: number;
    /** Voters that granted their (pre-)vote, this one included. */
    readonly granted: number;
    readonly lastIndex: number;
}

/** A member's role in its group. */
export type Role = "learner" | "follower" | "pre_candidate" | "candidate" | "leader";

/** Timings of a group, in ms. */
export interface ConsensusTimings {
    /** Time between two heartbeats of the leader. */
    readonly heartbeatMs: number;
    /** A follower campaigns after a silence between this and twice this, drawn at random. */
    readonly electionMs: number;
}

/** Default timings: a failed leader is replaced in one to three seconds. */
export const DEFAULT_TIMINGS: ConsensusTimings = { heartbeatMs: 250, electionMs: 1_000 };

/** Options of {@link Consensus}. */
export interface ConsensusOptions {
    readonly self: MemberId;
    readonly stored: StoredState;
    /** The voters when the group starts for the first time, where the storage kept none. */
    readonly initialVoters?: readonly MemberId[];
    readonly timings?: ConsensusTimings;
    /** A source of numbers in [0, 1), for election timeouts. */
    readonly random: () => number;
    /** The time now, on a clock that never goes back, in ms. */
    readonly now: number;
    /**
     * When this member's process started, on the same clock; `now` by default. It answered no leader
     * between the end of the process before and this time.
     */
    readonly startedAtMs?: number;
}

/** What the caller must do: persist, then confirm; send; apply. */
export interface Ready {
    /** Messages that may leave before anything is persisted (a leader's appends). */
    readonly messagesBeforePersist: readonly OutgoingMessage[];
    /** Entries to persist, in order. */
    readonly entries: readonly LogEntry[];
    /** The hard state to persist, when it changed. */
    readonly hardState: HardState | undefined;
    /** A snapshot received from the leader: install it in place of all state. */
    readonly snapshotToInstall: Snapshot | undefined;
    /** Messages that may leave only after the entries and the hard state are durable. */
    readonly messagesAfterPersist: readonly OutgoingMessage[];
}

/** One member's side of the agreement. */
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
    #now: number;
    #electionDeadlineMs = 0;
    #lastLeaderContactMs = Number.NEGATIVE_INFINITY;
    #grantedVotes = new Set<MemberId>();
    #quorumWaitStartMs = 0;
    readonly #followers: Followers;
    #termStartIndex = 0;
    /** When it asked another member to lead: its lease is over, whatever the clock says. */
    #transferStartMs: number | undefined;
    #resignCause: ResignCause = "higher_term";
    /** Answers to what was sent before this time do not count for the lease. */
    #acksValidFromMs = Number.NEGATIVE_INFINITY;
    /** The snapshot to send to members that are far behind; kept by the caller. */
    buildSnapshot: (() => Snapshot | undefined) | undefined;

    /**
     * @param options Identity, what the storage held, timings; see {@link ConsensusOptions}.
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
        // A restarted member may have answered a leader moments before its process ended: it keeps that
        // leader's lease by refusing votes for one election timeout, as if it had heard from it when this
        // process started. Counted from now, the time that the start took would lengthen each outage.
        if (hardState.term > 0) {
            this.#lastLeaderContactMs = options.startedAtMs ?? options.now;
        }
        this.#updateVoters();
        this.#setElectionDeadline();
        this.#scheduleFirstElection();
    }

    /** The role now. */
    get role(): Role {
        return this.#role;
    }

    /** The term now. */
    get term(): number {
        return this.#term;
    }

    /** Whether this member asked another one to lead: its lease cannot come back. */
    get isTransferringLeadership(): boolean {
        return this.#transferStartMs !== undefined;
    }

    /** Why this member's last lead ended. */
    get resignCause(): ResignCause {
        return this.#resignCause;
    }

    /** The election that this member asks for, or `undefined` when it asks for none. */
    get campaign(): Campaign | undefined {
        if (this.#role !== "pre_candidate" && this.#role !== "candidate") {
            return undefined;
        }
        const granted = this.#voters.filter((voter) => this.#grantedVotes.has(voter)).length;
        return { voters: this.#voters.length, granted, lastIndex: this.lastIndex };
    }

    /** The leader of the term, as far as known. */
    get leader(): MemberId | undefined {
        return this.#leader;
    }

    /** The voters of the newest configuration in the log. */
    get voters(): readonly MemberId[] {
        return this.#voters;
    }

    /** The last index of the log. */
    get lastIndex(): number {
        return this.#log.lastIndex;
    }

    /** The index up to which a quorum holds the log durably. */
    get commitIndex(): number {
        return this.#commitIndex;
    }

    /** The last index that the newest snapshot covers. */
    get baseIndex(): number {
        return this.#log.baseIndex;
    }

    /** The hard state as it stands. */
    get hardState(): HardState {
        return { term: this.#term, votedFor: this.#votedFor };
    }

    /**
     * Lists committed entries after an index.
     *
     * @param after The last index already applied.
     * @returns The entries, in order.
     */
    listCommitted(after: number): LogEntry[] {
        return this.#log.listBetween(after, this.#commitIndex);
    }

    /**
     * Tells whether this member leads and a quorum confirmed it lately enough that nobody else
     * can have been elected since. A member that was frozen and wakes up fails this check before
     * it answers or sends anything, because the clock went on while it was frozen.
     *
     * @param now The time in ms.
     * @returns True while no other leader can exist.
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
     * Ends the lease until a quorum answers what is sent from now on. A machine that was suspended
     * has a steady clock that stood still meanwhile: measured by it, answers from before the
     * suspension look recent, although another leader may have been elected since.
     *
     * @param now The time in ms.
     */
    invalidateLease(now: number): void {
        this.#acksValidFromMs = now;
        this.#followers.invalidateAcks();
        this.#quorumWaitStartMs = now;
    }

    /**
     * Advances the clock: campaigns after a silence, sends heartbeats, steps down without quorum.
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
     * Takes a message from another member.
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
     * Appends commands as one entry, if this member leads.
     *
     * @param commands The state machine's commands.
     * @param now The time in ms; a quorum's answers count for the lease from then on.
     * @returns The entry's index, or `undefined` when this member does not lead.
     */
    propose(commands: readonly unknown[], now = this.#now): number | undefined {
        this.#now = now;
        if (this.#role !== "leader") {
            return undefined;
        }
        return this.#appendEntry({ type: "commands", commands });
    }

    /**
     * Changes the voters by at most one member, if this member leads. Two changes at once could
     * give two quorums that share no member, so a change waits until the one before it, and an
     * entry of this term, are committed. It also waits until a quorum of the new voters answers: a leader that
     * removed voters that were there, while others were lost for good, left a group that could never decide
     * again. With this check each change can be agreed on by those who answer, and so can the one after it.
     *
     * @param voters The voters from now on.
     * @returns The entry's index, or `undefined` when the change is not possible now.
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
     * Asks the voter that holds the most of the log to lead instead, if this member leads. Its
     * followers would otherwise miss the leader for a whole election timeout.
     */
    startLeadershipTransfer(): void {
        const target = this.#voters
            .filter((v) => v !== this.#self && this.#followers.find(v) !== undefined)
            .sort((a, b) => (this.getMatchIndex(b) ?? 0) - (this.getMatchIndex(a) ?? 0))[0];
        if (this.#role !== "leader" || target === undefined) {
            return;
        }
        // From here on the other may be elected at any time: no answer may rest on this lease.
        this.#transferStartMs = this.#now;
        const message: TransferRequest = {
            type: "transfer",
            term: this.#term,
            sentAt: this.#now,
        };
        this.#messagesBeforePersist.push({ to: target, message });
    }

    /**
     * Starts sending the log to a member that does not vote.
     *
     * @param member The learner.
     */
    addLearner(member: MemberId): void {
        if (this.#role === "leader" && this.#followers.add(member, this.lastIndex + 1)) {
            this.#sendAppend(member);
        }
    }

    /**
     * Stops sending the log to a learner.
     *
     * @param member The learner.
     */
    removeLearner(member: MemberId): void {
        if (!this.#voters.includes(member)) {
            this.#followers.remove(member);
        }
    }

    /**
     * Gives how far a member's log matches the leader's.
     *
     * @param member The member.
     * @returns The index, or `undefined` when unknown (not leading, no such member).
     */
    getMatchIndex(member: MemberId): number | undefined {
        return member === this.#self ? this.lastIndex : this.#followers.find(member)?.matchIndex;
    }

    /**
     * Lists members that receive the log without voting.
     *
     * @returns Each learner and when it last answered.
     */
    listLearners(): { readonly member: MemberId; readonly ackedAtMs: number }[] {
        return [...this.#followers.entries]
            .filter(([member]) => !this.#voters.includes(member))
            .map(([member, p]) => ({ member, ackedAtMs: p.ackedSentAtMs }));
    }

    /** Forgets outgoing messages that could not be delivered to a member, so they are resent. */
    handleUndelivered(member: MemberId): void {
        const progress = this.#followers.find(member);
        if (progress !== undefined) {
            progress.inFlightIndex = 0;
            progress.snapshotSentAtMs = 0;
        }
    }

    /**
     * Takes what must be done next; see {@link Ready}.
     *
     * @returns The work; empty lists when there is none.
     */
    takeReady(): Ready {
        const ready: Ready = {
            messagesBeforePersist: this.#messagesBeforePersist,
            entries: this.#unpersisted,
            hardState: this.#isHardStateChanged ? this.hardState : undefined,
            snapshotToInstall: this.#snapshotToInstall,
            messagesAfterPersist: this.#messagesAfterPersist,
        };
        this.#messagesBeforePersist = [];
        this.#unpersisted = [];
        this.#isHardStateChanged = false;
        this.#snapshotToInstall = undefined;
        this.#messagesAfterPersist = [];
        return ready;
    }

    /**
     * Takes only the messages that may leave before anything is persisted.
     *
     * @returns The messages.
     */
    takeMessagesBeforePersist(): readonly OutgoingMessage[] {
        const messages = this.#messagesBeforePersist;
        this.#messagesBeforePersist = [];
        return messages;
    }

    /** Whether {@link takeReady} would give anything. */
    get hasReady(): boolean {
        return (
            this.#messagesBeforePersist.length > 0 ||
            this.#unpersisted.length > 0 ||
            this.#isHardStateChanged ||
            this.#snapshotToInstall !== undefined ||
            this.#messagesAfterPersist.length > 0
        );
    }

    /**
     * Notes that entries are durable here; a leader counts itself towards the quorum only then.
     *
     * @param index The last durable index.
     * @param term That entry's term; ignored if the entry was replaced meanwhile.
     */
    confirmPersisted(index: number, term: number): void {
        if (this.#log.getTermAt(index) === term) {
            this.#persistedIndex = Math.max(this.#persistedIndex, index);
            this.#advanceCommit();
        }
    }

    /**
     * Drops the entries that a snapshot of this member's state machine covers, but for a tail
     * that spares a member slightly behind the whole snapshot.
     *
     * @param index The snapshot's index (committed and applied).
     * @returns The entries after the snapshot.
     */
    compact(index: number): LogEntry[] {
        const remainingEntries = this.#log.listBetween(index, this.lastIndex);
        this.#log.compact(index - SNAPSHOT_TRAILING_ENTRIES);
        return remainingEntries;
    }

    /**
     * Describes the log at an index, for a snapshot taken there.
     *
     * @param index An index that is committed and not yet dropped.
     * @returns The entry's term and the voters as of it.
     */
    getSnapshotMetadata(index: number): { term: number; voters: readonly MemberId[] } {
        return {
            term: this.#log.getTermAt(index) ?? this.#log.getTermAt(this.baseIndex) ?? 0,
            voters: this.#log.findVotersAt(index).voters,
        };
    }

    #tickLeader(now: number): void {
        const quorumSilenceMs = now - this.#followers.computeQuorumAckTimeMs(this.#voters, now);
        // The request to lead may be lost or late. The lease cannot come back (the other may still
        // campaign on it), so this member follows, and somebody is elected the ordinary way.
        const isTransferOverdue = now - (this.#transferStartMs ?? now) > this.#timings.electionMs;
        const hasLostQuorum =
            quorumSilenceMs > this.#timings.electionMs &&
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
        for (const voter of this.#voters) {
            if (voter !== this.#self) {
                this.#messagesAfterPersist.push({ to: voter, message });
            }
        }
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
        // An entry of an earlier term is committed only together with one of this term: counting
        // copies alone could commit an entry that a later leader still overwrites.
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
        if (previousIndex < this.baseIndex) {
            const isSnapshotInFlight =
                progress.snapshotSentAtMs > 0 &&
                this.#now - progress.snapshotSentAtMs < SNAPSHOT_RESEND_MS;
            const snapshot = isSnapshotInFlight ? undefined : this.buildSnapshot?.();
            if (snapshot !== undefined) {
                progress.snapshotSentAtMs = this.#now;
                const message: SnapshotRequest = {
                    type: "snapshot",
                    term: this.#term,
                    snapshot,
                    sentAt: this.#now,
                };
                progress.inFlightIndex = snapshot.index;
                this.#messagesBeforePersist.push({ to: member, message });
            }
            return;
        }
        const entries = this.#log.listBetween(
            previousIndex,
            previousIndex + MAX_ENTRIES_PER_APPEND,
        );
        progress.inFlightIndex = entries.at(-1)?.index ?? progress.inFlightIndex;
        progress.sentCommitIndex = this.#commitIndex;
        const message: AppendRequest = {
            type: "append",
            term: this.#term,
            previousIndex,
            previousTerm: this.#log.getTermAt(previousIndex) ?? 0,
            entries,
            commitIndex: this.#commitIndex,
            sentAt: this.#now,
        };
        this.#messagesBeforePersist.push({ to: member, message });
    }

    #handleVoteRequest(from: MemberId, message: VoteRequest): void {
        // While it hears a leader, a member gives no vote and does not even take the higher term:
        // otherwise a member that was cut off could depose a leader whose lease still runs.
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
        // A member asked for its vote gives it even when its own log does not name it a voter yet:
        // the candidate's may, and a group that just grew would otherwise wait for a dead leader.
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
        this.#messagesAfterPersist.push({
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
            this.#sendAppendResponse(from, false, retryIndex, message.sentAt);
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
        this.#sendAppendResponse(from, true, lastMatchedIndex, message.sentAt);
    }

    /** The leader is about to stop: campaign without the pre-vote, which its followers would refuse. */
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
        this.#log.replace(snapshot);
        this.#unpersisted = [];
        this.#commitIndex = snapshot.index;
        this.#persistedIndex = snapshot.index;
        this.#snapshotToInstall = snapshot;
        this.#updateVoters();
        this.#sendAppendResponse(from, true, snapshot.index, message.sentAt);
    }

    /** Takes the sender as the leader of its term, unless the term is over. */
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
        const message: AppendResponse = {
            type: "appendResponse",
            term: this.#term,
            ok,
            index,
            sentAt,
        };
        this.#messagesAfterPersist.push({ to, message });
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
        progress.inFlightIndex = 0;
        progress.snapshotSentAtMs = 0;
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
        if (progress.nextIndex <= this.lastIndex || !message.ok) {
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

    /** Whether a quorum of the given voters answered within an election timeout. */
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
     * Asks again soon whether this member would be elected. The pattern: all members come back from a loss of
     * power within some 100 ms; the first to ask finds the others not up yet, or still keeping the lease of
     * the leader before, and a whole election timeout more would be a part of the outage. A pre-vote disturbs
     * nobody, because members that hear a leader refuse it.
     */
    #setPreVoteRetryDeadline(): void {
        const minDelayMs = this.#timings.electionMs * PRE_VOTE_RETRY_FRACTION;
        this.#electionDeadlineMs = this.#now + minDelayMs * (1 + this.#random());
    }

    /** A restarted member heard no leader yet: it asks once the lease of the one before is over. */
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

    /** Takes the newest configuration in the log, committed or not, as the protocol asks. */
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
        this.#role = applyChartEvent(roleChart, this.#role, event, NO_GUARDS) as Role;
    }
}

/**
 * A pre-vote that was not won is repeated after this share of the election timeout, up to twice that: longer
 * than an answer takes from a process that just started (some 50 ms).
 */
const PRE_VOTE_RETRY_FRACTION = 0.3;

/** The role chart's event for each cause. */
const RESIGN_EVENTS: Readonly<Record<ResignCause, string>> = {
    higher_term: "follow",
    lose_quorum: "lose_quorum",
    transfer: "lose_quorum",
    dismiss: "dismiss",
};

/** A leader trusts its lease for this share of the election timeout: clocks may run unevenly. */
const LEASE_FRACTION = 0.8;
