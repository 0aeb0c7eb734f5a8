/**
 * Typed records and messages of a replicated group: entries, votes, appends and snapshots.
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

/** A replicated group, such as the one that owns a zone's workers. */
export type GroupId = Brand<string, "GroupId">;

/**
 * A member of a group: the instance's id and the incarnation of its data folder. An instance
 * that lost its disk comes back as another member, so it cannot vote twice in a term it forgot.
 */
export type MemberId = Brand<string, "MemberId">;

/** One entry of the log. */
export type LogEntry =
    /** Appended by every new leader: commits what earlier terms left. */
    | { readonly index: number; readonly term: number; readonly type: "noop" }
    /** Commands of the state machine, applied together in order. */
    | {
          readonly index: number;
          readonly term: number;
          readonly type: "commands";
          readonly commands: readonly unknown[];
      }
    /** The voters from this entry on. */
    | {
          readonly index: number;
          readonly term: number;
          readonly type: "voters";
          readonly voters: readonly MemberId[];
      };

/** What must survive a restart besides the entries. */
export interface HardState {
    readonly term: number;
    readonly votedFor: MemberId | undefined;
}

/** The state machine as of an index; every entry up to it may be dropped. */
export interface Snapshot {
    readonly index: number;
    readonly term: number;
    readonly voters: readonly MemberId[];
    /** The state machine's own encoding. */
    readonly state: string;
}

/** Asks for a vote, or (`pre`) whether one would be given. */
export interface VoteRequest {
    readonly type: "voteRequest";
    readonly pre: boolean;
    readonly term: number;
    readonly lastIndex: number;
    readonly lastTerm: number;
    /** The leader itself asked for this campaign: it holds no lease any more. */
    readonly isTransfer: boolean;
}

/** The answer to a {@link VoteRequest}. */
export interface VoteResponse {
    readonly type: "voteResponse";
    readonly pre: boolean;
    readonly term: number;
    readonly granted: boolean;
}

/** Sends entries, or none as a heartbeat. */
export interface AppendRequest {
    readonly type: "append";
    readonly term: number;
    readonly previousIndex: number;
    readonly previousTerm: number;
    readonly entries: readonly LogEntry[];
    readonly commitIndex: number;
    /** The leader's clock when it was sent, in ms; echoed, it renews the leader's lease. */
    readonly sentAt: number;
}

/** Sends a snapshot to a member whose next entry is already dropped. */
export interface SnapshotRequest {
    readonly type: "snapshot";
    readonly term: number;
    readonly snapshot: Snapshot;
    readonly sentAt: number;
}

/** Asks a member to campaign at once: its leader is about to stop. Answered like an append. */
export interface TransferRequest {
    readonly type: "transfer";
    readonly term: number;
    readonly sentAt: number;
}

/** The answer to an append, a snapshot or a transfer. */
export interface AppendResponse {
    readonly type: "appendResponse";
    readonly term: number;
    readonly ok: boolean;
    /** On success, the last index known to match; otherwise the index to try next. */
    readonly index: number;
    readonly sentAt: number;
}

/** A message between two members of a group. */
export type GroupMessage =
    VoteRequest | VoteResponse | AppendRequest | SnapshotRequest | TransferRequest | AppendResponse;

/** A message with its receiver. */
export interface OutgoingMessage {
    readonly to: MemberId;
    readonly message: GroupMessage;
}

/** What a storage holds when it is opened. */
export interface StoredState {
    /** The voters when the group began; `undefined` where storage does not keep them. */
    readonly initialVoters?: readonly MemberId[];
    readonly hardState: HardState;
    readonly snapshot: Snapshot | undefined;
    /** The entries after the snapshot, in order. */
    readonly entries: readonly LogEntry[];
}

/** Where a member keeps its part of a group; {@link FileStorage} survives a crash. */
export interface Storage {
    /** Reads what is there; called once, first. */
    readonly load: () => StoredState;
    /**
     * Makes entries and the hard state durable. An entry whose index is already there replaces
     * it and everything after it.
     *
     * @param entries The entries to append.
     * @param hardState The hard state, when it changed.
     */
    readonly append: (
        entries: readonly LogEntry[],
        hardState: HardState | undefined,
    ) => Promise<void>;
    /**
     * Replaces everything up to the snapshot by it.
     *
     * @param snapshot The snapshot.
     * @param remainingEntries The entries after it that stay.
     * @param hardState The hard state.
     */
    readonly compact: (
        snapshot: Snapshot,
        remainingEntries: readonly LogEntry[],
        hardState: HardState,
    ) => Promise<void>;
    /** Closes files. */
    readonly close: () => void;
}
