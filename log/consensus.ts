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
import { computeQuorum, Followers } from "./_followers.ts";
import { EntryLog } from "./entry_log.ts";
import type {
    AppendRequest,
    AppendResponse,
    GroupMessage,
    HardState,
    LogEntry,
    MemberId,
    Outgoing,
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
const COMMIT_NOTICE_MS = 20;
const SNAPSHOT_RESEND_MS = 5_000;
/** Entries kept in memory behind a snapshot, so a member slightly behind needs no snapshot. */
const KEPT_BEHIND_SNAPSHOT = 512;

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
    readonly startedAt?: number;
}

/** What the caller must do: persist, then confirm; send; apply. */
export interface Ready {
    /** Messages that may leave before anything is persisted (a leader's appends). */
    readonly sendNow: readonly Outgoing[];
    /** Entries to persist, in order. */
    readonly entries: readonly LogEntry[];
    /** The hard state to persist, when it changed. */
    readonly hard: HardState | undefined;
    /** A snapshot received from the leader: install it in place of all state. */
    readonly install: Snapshot | undefined;
    /** Messages that may leave only after the entries and the hard state are durable. */
    readonly sendAfter: readonly Outgoing[];
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
    #hardChanged = false;
    #install: Snapshot | undefined;
    #sendNow: Outgoing[] = [];
    #sendAfter: Outgoing[] = [];
    #now: number;
    #electionAt = 0;
    #heardLeaderAt = Number.NEGATIVE_INFINITY;
    #votes = new Set<MemberId>();
    #ledSince = 0;
    readonly #followers: Followers;
    #termStartIndex = 0;
    /** When it asked another member to lead: its lease is over, whatever the clock says. */
    #transferAt: number | undefined;
    #resignCause: ResignCause = "higher_term";
    /** Answers to what was sent before this time do not count for the lease. */
    #trustedFrom = Number.NEGATIVE_INFINITY;
    /** The snapshot to send to members that are far behind; kept by the caller. */
    snapshotForPeers: (() => Snapshot | undefined) | undefined;

    /**
     * @param options Identity, what the storage held, timings; see {@link ConsensusOptions}.
     */
    constructor(options: ConsensusOptions) {
        this.#self = options.self;
        this.#followers = new Followers(options.self);
        this.#timings = options.timings ?? DEFAULT_TIMINGS;
        this.#random = options.random;
        this.#now = options.now;
        const { firstVoters, hard, snapshot, entries } = options.stored;
        this.#term = hard.term;
        this.#votedFor = hard.votedFor;
        const voters = snapshot?.voters ?? firstVoters ?? options.initialVoters ?? [];
        const { index, term } = snapshot ?? { index: 0, term: 0 };
        this.#log = new EntryLog({ index, term, voters, entries });
        this.#voters = voters;
        this.#votersIndex = index;
        this.#commitIndex = index;
        this.#persistedIndex = this.lastIndex;
        // A restarted member may have answered a leader moments before its process ended: it keeps that
        // leader's lease by refusing votes for one election timeout, as if it had heard from it when this
        // process started. Counted from now, the time that the start took would lengthen each outage.
        if (hard.term > 0) {
            this.#heardLeaderAt = options.startedAt ?? options.now;
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
    get isHandingOver(): boolean {
        return this.#transferAt !== undefined;
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
        const granted = this.#voters.filter((voter) => this.#votes.has(voter)).length;
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
    get hard(): HardState {
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
            this.#transferAt === undefined &&
            this.#commitIndex >= this.#termStartIndex &&
            now - this.#followers.computeQuorumContact(this.#voters, now) <
                this.#timings.electionMs * LEASE_SHARE
        );
    }

    /**
     * Ends the lease until a quorum answers what is sent from now on. A machine that was suspended
     * has a steady clock that stood still meanwhile: measured by it, answers from before the
     * suspension look recent, although another leader may have been elected since.
     *
     * @param now The time in ms.
     */
    distrustClock(now: number): void {
        this.#trustedFrom = now;
        this.#followers.distrustAnswers();
        this.#ledSince = now;
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
        } else if (this.#role !== "learner" && now >= this.#electionAt) {
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
        return this.#appendOwn({ type: "commands", commands });
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
            !this.#hasQuorumOf(voters)
        ) {
            return undefined;
        }
        const index = this.#appendOwn({ type: "voters", voters });
        this.#updateVoters();
        return index;
    }

    /**
     * Asks the voter that holds the most of the log to lead instead, if this member leads. Its
     * followers would otherwise miss the leader for a whole election timeout.
     */
    resignTo(): void {
        const target = this.#voters
            .filter((v) => v !== this.#self && this.#followers.find(v) !== undefined)
            .sort((a, b) => (this.getMatchIndex(b) ?? 0) - (this.getMatchIndex(a) ?? 0))[0];
        if (this.#role !== "leader" || target === undefined) {
            return;
        }
        // From here on the other may be elected at any time: no answer may rest on this lease.
        this.#transferAt = this.#now;
        const message: TransferRequest = {
            type: "transfer",
            term: this.#term,
            sentAt: this.#now,
        };
        this.#sendNow.push({ to: target, message });
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
    listLearners(): { readonly member: MemberId; readonly ackedAt: number }[] {
        return [...this.#followers.entries]
            .filter(([member]) => !this.#voters.includes(member))
            .map(([member, p]) => ({ member, ackedAt: p.ackedSentAt }));
    }

    /** Forgets outgoing messages that could not be delivered to a member, so they are resent. */
    handleUndelivered(member: MemberId): void {
        const progress = this.#followers.find(member);
        if (progress !== undefined) {
            progress.inFlightUntil = 0;
            progress.snapshotSentAt = 0;
        }
    }

    /**
     * Takes what must be done next; see {@link Ready}.
     *
     * @returns The work; empty lists when there is none.
     */
    takeReady(): Ready {
        const ready: Ready = {
            sendNow: this.#sendNow,
            entries: this.#unpersisted,
            hard: this.#hardChanged ? this.hard : undefined,
            install: this.#install,
            sendAfter: this.#sendAfter,
        };
        this.#sendNow = [];
        this.#unpersisted = [];
        this.#hardChanged = false;
        this.#install = undefined;
        this.#sendAfter = [];
        return ready;
    }

    /**
     * Takes only the messages that may leave before anything is persisted.
     *
     * @returns The messages.
     */
    takeSendNow(): readonly Outgoing[] {
        const messages = this.#sendNow;
        this.#sendNow = [];
        return messages;
    }

    /** Whether {@link takeReady} would give anything. */
    get hasReady(): boolean {
        return (
            this.#sendNow.length > 0 ||
            this.#unpersisted.length > 0 ||
            this.#hardChanged ||
            this.#install !== undefined ||
            this.#sendAfter.length > 0
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
        const rest = this.#log.listBetween(index, this.lastIndex);
        this.#log.compact(index - KEPT_BEHIND_SNAPSHOT);
        return rest;
    }

    /**
     * Describes the log at an index, for a snapshot taken there.
     *
     * @param index An index that is committed and not yet dropped.
     * @returns The entry's term and the voters as of it.
     */
    describeAt(index: number): { term: number; voters: readonly MemberId[] } {
        return {
            term: this.#log.getTermAt(index) ?? this.#log.getTermAt(this.baseIndex) ?? 0,
            voters: this.#log.findVotersAt(index).voters,
        };
    }

    #tickLeader(now: number): void {
        const unheardFor = now - this.#followers.computeQuorumContact(this.#voters, now);
        // The request to lead may be lost or late. The lease cannot come back (the other may still
        // campaign on it), so this member follows, and somebody is elected the ordinary way.
        const isOverdue = now - (this.#transferAt ?? now) > this.#timings.electionMs;
        const hasLostQuorum =
            unheardFor > this.#timings.electionMs &&
            now - this.#ledSince > this.#timings.electionMs;
        if (isOverdue || hasLostQuorum) {
            this.#resign(isOverdue ? "transfer" : "lose_quorum");
            return;
        }
        for (const [member, progress] of this.#followers.entries) {
            const silentFor = now - progress.lastSentAt;
            const owesNotice = progress.toldCommit < this.#commitIndex;
            if (
                silentFor >= this.#timings.heartbeatMs ||
                (owesNotice && silentFor >= COMMIT_NOTICE_MS && progress.inFlightUntil === 0)
            ) {
                this.#sendAppend(member);
            }
        }
    }

    #startPreVote(): void {
        this.#applyRoleEvent("election_timeout");
        this.#leader = undefined;
        this.#votes = new Set([this.#self]);
        this.#setPreVoteDeadline();
        this.#sendVoteRequests(true);
        this.#checkVotes(true);
    }

    #startVote(isTransfer: boolean): void {
        this.#applyRoleEvent("win_pre_vote");
        this.#setTerm(this.#term + 1, this.#self);
        this.#votes = new Set([this.#self]);
        this.#setElectionDeadline();
        this.#sendVoteRequests(false, isTransfer);
        this.#checkVotes(false);
    }

    #sendVoteRequests(pre: boolean, isTransfer = false): void {
        const message: VoteRequest = {
            type: "voteRequest",
            pre,
            term: pre ? this.#term + 1 : this.#term,
            lastIndex: this.lastIndex,
            lastTerm: this.#log.getTermAt(this.lastIndex) ?? 0,
            isTransfer,
        };
        for (const voter of this.#voters) {
            if (voter !== this.#self) {
                this.#sendAfter.push({ to: voter, message });
            }
        }
    }

    #checkVotes(pre: boolean): void {
        const granted = this.#voters.filter((v) => this.#votes.has(v)).length;
        if (granted < computeQuorum(this.#voters.length)) {
            return;
        }
        if (pre) {
            this.#startVote(false);
        } else {
            this.#startLeading();
        }
    }

    #startLeading(): void {
        this.#applyRoleEvent("win_vote");
        this.#leader = this.#self;
        this.#transferAt = undefined;
        this.#ledSince = this.#now;
        this.#followers.clear();
        for (const voter of this.#voters) {
            this.#followers.add(voter, this.lastIndex + 1);
        }
        // An entry of an earlier term is committed only together with one of this term: counting
        // copies alone could commit an entry that a later leader still overwrites.
        this.#termStartIndex = this.#appendOwn({ type: "noop" });
    }

    #appendOwn(
        body:
            | { type: "noop" }
            | { type: "commands"; commands: readonly unknown[] }
            | { type: "voters"; voters: readonly MemberId[] },
    ): number {
        const entry: LogEntry = { index: this.lastIndex + 1, term: this.#term, ...body };
        this.#log.append(entry);
        this.#unpersisted.push(entry);
        for (const [member, progress] of this.#followers.entries) {
            if (progress.inFlightUntil === 0) {
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
        progress.lastSentAt = this.#now;
        const previousIndex = progress.nextIndex - 1;
        if (previousIndex < this.baseIndex) {
            const isOnItsWay =
                progress.snapshotSentAt > 0 &&
                this.#now - progress.snapshotSentAt < SNAPSHOT_RESEND_MS;
            const snapshot = isOnItsWay ? undefined : this.snapshotForPeers?.();
            if (snapshot !== undefined) {
                progress.snapshotSentAt = this.#now;
                const message: SnapshotRequest = {
                    type: "snapshot",
                    term: this.#term,
                    snapshot,
                    sentAt: this.#now,
                };
                progress.inFlightUntil = snapshot.index;
                this.#sendNow.push({ to: member, message });
            }
            return;
        }
        const entries = this.#log.listBetween(
            previousIndex,
            previousIndex + MAX_ENTRIES_PER_APPEND,
        );
        progress.inFlightUntil = entries.at(-1)?.index ?? progress.inFlightUntil;
        progress.toldCommit = this.#commitIndex;
        const message: AppendRequest = {
            type: "append",
            term: this.#term,
            previousIndex,
            previousTerm: this.#log.getTermAt(previousIndex) ?? 0,
            entries,
            commitIndex: this.#commitIndex,
            sentAt: this.#now,
        };
        this.#sendNow.push({ to: member, message });
    }

    #handleVoteRequest(from: MemberId, message: VoteRequest): void {
        // While it hears a leader, a member gives no vote and does not even take the higher term:
        // otherwise a member that was cut off could depose a leader whose lease still runs.
        const hearsLeader =
            this.#role === "leader"
                ? this.hasLease(this.#now)
                : this.#now - this.#heardLeaderAt < this.#timings.electionMs;
        const upToDate =
            message.lastTerm > (this.#log.getTermAt(this.lastIndex) ?? 0) ||
            (message.lastTerm === this.#log.getTermAt(this.lastIndex) &&
                message.lastIndex >= this.lastIndex);
        if (message.pre) {
            const granted = !hearsLeader && upToDate && message.term > this.#term;
            this.#answerVote(from, true, granted ? message.term : this.#term, granted);
            return;
        }
        // A member asked for its vote gives it even when its own log does not name it a voter yet:
        // the candidate's may, and a group that just grew would otherwise wait for a dead leader.
        if (hearsLeader && !message.isTransfer) {
            this.#answerVote(from, false, this.#term, false);
            return;
        }
        if (message.term > this.#term) {
            this.#resign("higher_term");
            this.#setTerm(message.term, undefined);
        }
        const granted =
            message.term === this.#term &&
            upToDate &&
            (this.#votedFor === undefined || this.#votedFor === from);
        if (granted) {
            this.#setTerm(this.#term, from);
            this.#setElectionDeadline();
        }
        this.#answerVote(from, false, this.#term, granted);
    }

    #answerVote(to: MemberId, pre: boolean, term: number, granted: boolean): void {
        this.#sendAfter.push({ to, message: { type: "voteResponse", pre, term, granted } });
    }

    #handleVoteResponse(from: MemberId, message: VoteResponse): void {
        if (!message.granted) {
            if (message.term > this.#term) {
                this.#resign("higher_term");
                this.#setTerm(message.term, undefined);
            }
            return;
        }
        const expected = this.#role === "pre_candidate" ? this.#term + 1 : this.#term;
        const counts =
            message.term === expected &&
            (message.pre ? this.#role === "pre_candidate" : this.#role === "candidate");
        if (counts) {
            this.#votes.add(from);
            this.#checkVotes(message.pre);
        }
    }

    #handleAppend(from: MemberId, message: AppendRequest): void {
        if (!this.#acceptLeader(from, message.term, message.sentAt)) {
            return;
        }
        const previousTerm = this.#log.getTermAt(message.previousIndex);
        if (message.previousIndex > this.lastIndex || previousTerm !== message.previousTerm) {
            const retryFrom =
                message.previousIndex > this.lastIndex ? this.lastIndex + 1 : this.#commitIndex + 1;
            this.#answerAppend(from, false, retryFrom, message.sentAt);
            return;
        }
        let lastNew = message.previousIndex;
        for (const entry of message.entries) {
            lastNew = entry.index;
            if (this.#log.getTermAt(entry.index) === entry.term) {
                continue;
            }
            this.#removeFrom(entry.index);
            this.#log.append(entry);
            this.#unpersisted.push(entry);
        }
        this.#updateVoters();
        this.#commitIndex = Math.max(this.#commitIndex, Math.min(message.commitIndex, lastNew));
        this.#answerAppend(from, true, lastNew, message.sentAt);
    }

    /** The leader is about to stop: campaign without the pre-vote, which its followers would refuse. */
    #handleTransfer(from: MemberId, message: TransferRequest): void {
        this.#answerAppend(from, true, this.#commitIndex, message.sentAt);
        if (this.#role === "follower" && message.term === this.#term && this.#leader === from) {
            this.#applyRoleEvent("election_timeout");
            this.#leader = undefined;
            this.#startVote(true);
        }
    }

    #handleSnapshot(from: MemberId, message: SnapshotRequest): void {
        if (!this.#acceptLeader(from, message.term, message.sentAt)) {
            return;
        }
        const { snapshot } = message;
        if (snapshot.index <= this.#commitIndex) {
            this.#answerAppend(from, true, this.#commitIndex, message.sentAt);
            return;
        }
        this.#log.replace(snapshot);
        this.#unpersisted = [];
        this.#commitIndex = snapshot.index;
        this.#persistedIndex = snapshot.index;
        this.#install = snapshot;
        this.#updateVoters();
        this.#answerAppend(from, true, snapshot.index, message.sentAt);
    }

    /** Takes the sender as the leader of its term, unless the term is over. */
    #acceptLeader(from: MemberId, term: number, sentAt: number): boolean {
        if (term < this.#term) {
            this.#answerAppend(from, false, this.lastIndex + 1, sentAt);
            return false;
        }
        if (term > this.#term) {
            this.#setTerm(term, undefined);
        }
        if (this.#role !== "follower" && this.#role !== "learner") {
            this.#resignCause = "higher_term";
            this.#applyRoleEvent("follow");
        }
        this.#leader = from;
        this.#heardLeaderAt = this.#now;
        this.#setElectionDeadline();
        return true;
    }

    #answerAppend(to: MemberId, ok: boolean, index: number, sentAt: number): void {
        const message: AppendResponse = {
            type: "appendResponse",
            term: this.#term,
            ok,
            index,
            sentAt,
        };
        this.#sendAfter.push({ to, message });
    }

    #handleAppendResponse(from: MemberId, message: AppendResponse): void {
        if (message.term > this.#term) {
            this.#resign("higher_term");
            this.#setTerm(message.term, undefined);
            return;
        }
        const progress = this.#followers.find(from);
        if (this.#role !== "leader" || message.term !== this.#term || progress === undefined) {
            return;
        }
        if (message.sentAt >= this.#trustedFrom) {
            progress.ackedSentAt = Math.max(progress.ackedSentAt, message.sentAt);
        }
        progress.inFlightUntil = 0;
        progress.snapshotSentAt = 0;
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
    #hasQuorumOf(voters: readonly MemberId[]): boolean {
        const answeredAt = this.#followers.computeQuorumContact(voters, this.#now);
        return this.#now - answeredAt <= this.#timings.electionMs;
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

    #setTerm(term: number, votedFor: MemberId | undefined): void {
        if (term !== this.#term || votedFor !== this.#votedFor) {
            this.#term = term;
            this.#votedFor = votedFor;
            this.#hardChanged = true;
        }
    }

    #setElectionDeadline(): void {
        const isAlone = this.#voters.length === 1 && this.#voters[0] === this.#self;
        this.#electionAt = isAlone
            ? this.#now
            : this.#now + this.#timings.electionMs * (1 + this.#random());
    }

    /**
     * Asks again soon whether this member would be elected. The pattern: all members come back from a loss of
     * power within some 100 ms; the first to ask finds the others not up yet, or still keeping the lease of
     * the leader before, and a whole election timeout more would be a part of the outage. A pre-vote disturbs
     * nobody, because members that hear a leader refuse it.
     */
    #setPreVoteDeadline(): void {
        const shortest = this.#timings.electionMs * PRE_VOTE_RETRY_SHARE;
        this.#electionAt = this.#now + shortest * (1 + this.#random());
    }

    /** A restarted member heard no leader yet: it asks once the lease of the one before is over. */
    #scheduleFirstElection(): void {
        const leaseEndsAt = this.#heardLeaderAt + this.#timings.electionMs;
        if (Number.isFinite(leaseEndsAt)) {
            const spread = this.#timings.electionMs * PRE_VOTE_RETRY_SHARE * this.#random();
            this.#electionAt = Math.max(this.#now, leaseEndsAt) + spread;
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
const PRE_VOTE_RETRY_SHARE = 0.3;

/** The role chart's event for each cause. */
const RESIGN_EVENTS: Readonly<Record<ResignCause, string>> = {
    higher_term: "follow",
    lose_quorum: "lose_quorum",
    transfer: "lose_quorum",
    dismiss: "dismiss",
};

/** A leader trusts its lease for this share of the election timeout: clocks may run unevenly. */
const LEASE_SHARE = 0.8;
