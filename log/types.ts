/**
 * Defines the log entries, messages and storage interface of a replicated group.
 *
 * @example
 * ```ts
 * import type { LogEntry } from "./types.ts";
 * const entry: LogEntry = { index: 1, term: 1, type: "noop" };
 * ```
 *
 * @module
 */

import type { Brand } from "../inventory/mod.ts";

/** Identifies a replicated group, such as the one that manages a zone's workers. */
export type GroupId = Brand<string, "GroupId">;

/**
 * Identifies a member of a group by the instance's id and the incarnation of its data directory. An
 * instance that lost its disk rejoins as a new member, so it cannot vote twice in one term.
 */
export type MemberId = Brand<string, "MemberId">;

/** A log entry. */
export type LogEntry =
    /** Appended by every new leader to commit the entries of earlier terms. */
    | { readonly index: number; readonly term: number; readonly type: "noop" }
    /** State machine commands, applied together in order. */
    | {
          readonly index: number;
          readonly term: number;
          readonly type: "commands";
          readonly commands: readonly unknown[];
      }
    /** Sets the voters from this entry on. */
    | {
          readonly index: number;
          readonly term: number;
          readonly type: "voters";
          readonly voters: readonly MemberId[];
      };

/** The persistent state of a member besides its log entries. */
export interface HardState {
    readonly term: number;
    readonly votedFor: MemberId | undefined;
}

/** The state machine at an index; entries up to it may be compacted. */
export interface Snapshot {
    readonly index: number;
    readonly term: number;
    readonly voters: readonly MemberId[];
    /** The state machine's own encoding. */
    readonly state: string;
}

/** Requests a vote, or with `pre` asks whether a vote would be granted. */
export interface VoteRequest {
    readonly type: "voteRequest";
    readonly pre: boolean;
    readonly term: number;
    readonly lastIndex: number;
    readonly lastTerm: number;
    /** The leader requested this campaign and has given up its lease. */
    readonly isTransfer: boolean;
}

/** The response to a {@link VoteRequest}. */
export interface VoteResponse {
    readonly type: "voteResponse";
    readonly pre: boolean;
    readonly term: number;
    readonly granted: boolean;
}

/** Replicates entries; serves as a heartbeat if there are none. */
export interface AppendRequest {
    readonly type: "append";
    readonly term: number;
    readonly previousIndex: number;
    readonly previousTerm: number;
    readonly entries: readonly LogEntry[];
    readonly commitIndex: number;
    /** The leader's clock at sending, in ms; the response echoes it to renew the lease. */
    readonly sentAt: number;
}

/** Sends a snapshot to a member whose next entry is already compacted. */
export interface SnapshotRequest {
    readonly type: "snapshot";
    readonly term: number;
    readonly snapshot: Snapshot;
    readonly sentAt: number;
}

/** Asks a member to campaign at once to take over leadership. */
export interface TransferRequest {
    readonly type: "transfer";
    readonly term: number;
    readonly sentAt: number;
}

/** The response to an append, a snapshot or a transfer. */
export interface AppendResponse {
    readonly type: "appendResponse";
    readonly term: number;
    readonly ok: boolean;
    /** On success, the last index known to match; otherwise the index to retry from. */
    readonly index: number;
    readonly sentAt: number;
}

/** A message between two members of a group. */
export type GroupMessage =
    VoteRequest | VoteResponse | AppendRequest | SnapshotRequest | TransferRequest | AppendResponse;

/** A message with its recipient. */
export interface OutgoingMessage {
    readonly to: MemberId;
    readonly message: GroupMessage;
}

/** The state that a storage holds when a member starts. */
export interface StoredState {
    /** The voters of the group's first start; `undefined` if the storage does not keep them. */
    readonly initialVoters?: readonly MemberId[];
    readonly hardState: HardState;
    readonly snapshot: Snapshot | undefined;
    /** The entries after the snapshot, in order. */
    readonly entries: readonly LogEntry[];
}

/** Persists the state of one member. */
export interface Storage {
    /** Loads the stored state; called once before any other method. */
    readonly load: () => StoredState;
    /**
     * Persists entries and the hard state. An entry at an existing index replaces the stored entry
     * and all later ones.
     *
     * @param entries The entries to append.
     * @param hardState The hard state, if it changed.
     * @throws {Error} If the write fails; the caller may retry it.
     */
    readonly append: (
        entries: readonly LogEntry[],
        hardState: HardState | undefined,
    ) => Promise<void>;
    /**
     * Replaces the stored log with a snapshot and the entries after it.
     *
     * @param snapshot The snapshot.
     * @param remainingEntries The entries after the snapshot.
     * @param hardState The hard state.
     * @throws {Error} If the write fails; the caller may retry it.
     */
    readonly compact: (
        snapshot: Snapshot,
        remainingEntries: readonly LogEntry[],
        hardState: HardState,
    ) => Promise<void>;
    /** The size of the stored log without the snapshot, in bytes; 0 if nothing is stored. */
    readonly logBytes: number;
    /** Closes open files. */
    readonly close: () => void;
}
