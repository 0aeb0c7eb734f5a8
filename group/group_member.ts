/**
 * Runs an instance's replica of a group: subscribes to the leader's log as a learner, and
 * reconciles the voters with the configured layout as leader.
 *
 * @example
 * ```ts
 * import { GroupMember } from "./group_member.ts";
 * const member = new GroupMember({
 *     group, self, incarnation, machine, network, dataDir, timings, log,
 * });
 * member.start();
 * ```
 *
 * @module
 */

import { interval, type Subscription } from "rxjs";
import { join } from "node:path";
import type { Logger } from "winston";
import {
    FileStorage,
    MemoryStorage,
    Replica,
    type ConsensusTimings,
    type GroupMessage,
    type MemberId,
    type ReplicaEvents,
    type StateMachine,
} from "../log/mod.ts";
import { createMemberId, parseEntryId, type EntryId, type GroupLayout } from "../membership/mod.ts";
import { LeaderHint } from "./leader_hint.ts";
import type { PeerNetwork } from "./peer_network.ts";
import { ReplicaFreshness } from "./replica_freshness.ts";

/** Options of {@link GroupMember}. */
export interface GroupMemberOptions<C, R> extends ReplicaEvents {
    readonly group: GroupLayout;
    readonly self: EntryId;
    readonly incarnation: string;
    readonly machine: StateMachine<C, R>;
    readonly network: PeerNetwork;
    readonly dataDir: string | undefined;
    readonly timings: ConsensusTimings;
    /** Returns the instances to ask for a log subscription; the configured voters by default. */
    readonly listPeers?: () => readonly EntryId[];
    /** Start time of this process on the monotonic clock, in ms, if known. */
    readonly processStartedAtMs?: number;
    readonly batchWindowMs?: number;
    /** Number of entries between snapshots. */
    readonly snapshotIntervalEntries?: number;
    /** Returns commands to append to a batch before it is proposed. */
    readonly createExtraCommands?: (commands: readonly C[]) => readonly C[];
    readonly log: Logger;
}

const MAINTENANCE_INTERVAL_MS = 500;
/** Interval between warnings about an election that has not been won, in ms. */
const ELECTION_WARNING_INTERVAL_MS = 2_000;
/** Time without an acknowledgement after which the leader removes a learner, in ms. */
const LEARNER_TIMEOUT_MS = 10_000;

/** Membership of an entry instance in a group. */
export class GroupMember<C, R> {
    readonly #options: GroupMemberOptions<C, R>;
    readonly #replica: Replica<C, R>;
    readonly #memberId: MemberId;
    #maintenanceSubscription: Subscription | undefined;
    #nextPeerIndex = 0;
    #subscribeSentAtMs = Number.NEGATIVE_INFINITY;
    #warningIntervalStartMs: number | undefined;
    readonly #freshness = new ReplicaFreshness();
    readonly #leaderHint = new LeaderHint();

    /**
     * @param options Group, identity, state machine and network; see {@link GroupMemberOptions}.
     */
    constructor(options: GroupMemberOptions<C, R>) {
        this.#options = options;
        this.#memberId = createMemberId(options.self, options.incarnation);
        const initialVoters = options.group.voters.map((id) => createMemberId(id));
        this.#replica = new Replica<C, R>({
            ...options,
            self: this.#memberId,
            storage:
                options.dataDir === undefined
                    ? new MemoryStorage()
                    : FileStorage.open({
                          dir: join(options.dataDir, options.group.id),
                          initialVoters,
                      }),
            transport: options.network.createTransport(
                options.group.id,
                this.#memberId,
                () => this.#replica,
            ),
            initialVoters,
            onStorageError: (error) => {
                options.log.error("storage write failed; retrying", {
                    group: options.group.id,
                    error: error.message,
                });
            },
        });
    }

    /** Starts the replica and the periodic maintenance of its membership. */
    start(): void {
        this.#replica.start();
        this.#maintenanceSubscription = interval(MAINTENANCE_INTERVAL_MS).subscribe(() =>
            this.#runMaintenance(),
        );
        this.#runMaintenance();
    }

    /** Transfers leadership if this instance leads, and stops the replica and its maintenance. */
    async stop(): Promise<void> {
        this.#maintenanceSubscription?.unsubscribe();
        if (this.#replica.role === "leader" && this.#replica.voters.length > 1) {
            await this.#replica.resign();
        }
        await this.#replica.stop();
    }

    /** This instance's replica of the group. */
    get replica(): Replica<C, R> {
        return this.#replica;
    }

    /** Whether this instance leads the group and holds the leader lease. */
    get isServing(): boolean {
        return this.#replica.isServing;
    }

    /** See {@link Replica.waitForLease}. */
    waitForLease(): Promise<boolean> {
        return this.#replica.waitForLease();
    }

    /** How far this replica may be behind its leader, in ms; infinite if it has heard none. */
    get stalenessMs(): number {
        return this.#freshness.computeStalenessMs(this.#replica.appliedIndex, performance.now());
    }

    /** Time since the leader's last message, in ms; infinite if there was none. */
    get sinceLeaderMessageMs(): number {
        return performance.now() - this.#freshness.lastMessageAtMs;
    }

    /** Entry instance of the leader, if this replica knows it. */
    get leader(): EntryId | undefined {
        const { leader } = this.#replica;
        return leader === undefined ? undefined : parseEntryId(leader);
    }

    /** The instance to ask for the leader: the leader, or one that lately claimed to lead. */
    get leaderOrHint(): EntryId | undefined {
        return this.leader ?? this.#leaderHint.find(performance.now());
    }

    /**
     * Records that an instance claims to lead, which is no proof of it, and asks it for the log if
     * this replica hears no leader.
     *
     * @param leader The instance.
     * @param term The term in which it claims to lead.
     */
    recordLeaderHint(leader: EntryId, term: number): void {
        const isRecorded = this.#leaderHint.record(leader, term, performance.now());
        if (isRecorded && leader !== this.#options.self && this.#replica.role !== "leader") {
            void this.#sendSubscribe();
        }
    }

    /**
     * Handles a consensus message of the group.
     *
     * @param from The sending member.
     * @param to The receiving member.
     * @param message The message.
     * @returns The response, or `null` if there is none or the message is for another incarnation.
     */
    async receive(
        from: MemberId,
        to: MemberId,
        message: GroupMessage,
    ): Promise<GroupMessage | null> {
        const isOfLeader = message.type === "append" || message.type === "snapshot";
        if (to !== this.#memberId) {
            if (isOfLeader) {
                this.recordLeaderHint(parseEntryId(from), message.term);
            }
            return null;
        }
        // A replaced leader may not know yet what its successor has committed.
        if (isOfLeader && message.term >= this.#replica.term) {
            const commitIndex =
                message.type === "append" ? message.commitIndex : message.snapshot.index;
            this.#freshness.recordMessage(
                commitIndex,
                this.#replica.appliedIndex,
                performance.now(),
            );
        }
        return (await this.#replica.receive(from, message)) ?? null;
    }

    /**
     * Adds a learner if this instance leads, replacing other incarnations of the same instance.
     *
     * @param member The member that subscribes to the log.
     * @returns The known leader, or a hint to it, to which a member that asked a follower is
     *     redirected.
     */
    addLearner(member: MemberId): { readonly leader: EntryId | undefined } {
        if (this.#replica.role === "leader") {
            for (const learner of this.#replica.listLearners()) {
                const isSameInstance = parseEntryId(learner.member) === parseEntryId(member);
                if (isSameInstance && learner.member !== member) {
                    this.#replica.removeLearner(learner.member);
                }
            }
            this.#replica.addLearner(member);
        }
        return { leader: this.leaderOrHint };
    }

    #runMaintenance(): void {
        if (this.#replica.role === "leader") {
            this.#updateVoters();
            this.#removeUnresponsiveLearners();
        } else {
            void this.#sendSubscribe();
        }
        this.#reportElection(performance.now());
    }

    /** Logs the missing votes of a long election, the only visible sign of a lost quorum. */
    #reportElection(now: number): void {
        const { campaign, term } = this.#replica;
        if (campaign === undefined) {
            this.#warningIntervalStartMs = undefined;
            return;
        }
        this.#warningIntervalStartMs ??= now;
        if (now - this.#warningIntervalStartMs >= ELECTION_WARNING_INTERVAL_MS) {
            this.#warningIntervalStartMs = now;
            const { group } = this.#options;
            this.#options.log.warn("election not won", { group: group.id, term, ...campaign });
        }
    }

    /**
     * Reconciles the voters with the layout, one membership change at a time. Caught-up learners
     * are added before obsolete voters are removed.
     */
    #updateVoters(): void {
        const { voters } = this.#replica;
        const configuredVoters = this.#options.group.voters;
        const caughtUpLearner = this.#replica
            .listLearners()
            .find((l) => l.isCaughtUp && configuredVoters.includes(parseEntryId(l.member)));
        if (
            caughtUpLearner !== undefined &&
            this.#replica.proposeVoters([...voters, caughtUpLearner.member])
        ) {
            this.#options.log.notice("voter added", {
                group: this.#options.group.id,
                voters: this.#replica.voters.length,
                member: caughtUpLearner.member,
            });
            return;
        }
        const obsoleteVoter = voters.find((voter) => this.#isObsoleteVoter(voter, voters));
        if (obsoleteVoter !== undefined) {
            const remainingVoters = voters.filter((v) => v !== obsoleteVoter);
            if (this.#replica.proposeVoters(remainingVoters)) {
                this.#options.log.notice("voter removed", {
                    group: this.#options.group.id,
                    voters: this.#replica.voters.length,
                    member: obsoleteVoter,
                });
            }
        }
    }

    /**
     * Returns whether a newer incarnation of the voter's instance votes, or its instance is not
     * configured to vote. The latter waits until all configured voters vote, so that the group
     * keeps its fault tolerance during the change.
     */
    #isObsoleteVoter(voter: MemberId, voters: readonly MemberId[]): boolean {
        const configuredVoters = this.#options.group.voters;
        const instance = parseEntryId(voter);
        const incarnations = voters.filter((v) => parseEntryId(v) === instance);
        if (incarnations.length > 1) {
            return voter === incarnations[0];
        }
        const votingInstances = voters.map((v) => parseEntryId(v));
        return (
            !configuredVoters.includes(instance) &&
            configuredVoters.every((id) => votingInstances.includes(id))
        );
    }

    #removeUnresponsiveLearners(): void {
        for (const learner of this.#replica.listLearners()) {
            if (
                learner.ackedSentAtMs !== Number.NEGATIVE_INFINITY &&
                performance.now() - learner.ackedSentAtMs > LEARNER_TIMEOUT_MS
            ) {
                this.#replica.removeLearner(learner.member);
            }
        }
    }

    /**
     * Asks for a log subscription while no leader sends messages: the instance that claims to lead,
     * or else the peers in turn. A former voter that doesn't know of its removal asks as well.
     */
    async #sendSubscribe(): Promise<void> {
        const now = performance.now();
        const minSilenceMs = 4 * this.#options.timings.heartbeatMs;
        if (
            now - this.#freshness.lastMessageAtMs < minSilenceMs ||
            now - this.#subscribeSentAtMs < minSilenceMs
        ) {
            return;
        }
        this.#subscribeSentAtMs = now;
        const peers = this.#options.listPeers?.() ?? this.#options.group.voters;
        const otherPeers = peers.filter((id) => id !== this.#options.self);
        const target =
            this.#leaderHint.find(now) ??
            otherPeers[this.#nextPeerIndex++ % Math.max(1, otherPeers.length)];
        const client = target === undefined ? undefined : this.#options.network.getClient(target);
        const params = { group: this.#options.group.id, member: this.#memberId };
        const response = await client
            ?.call<{ leader: EntryId | undefined }>("peer.subscribe", params)
            .catch(() => undefined);
        const leaderHint = response?.leader;
        if (
            leaderHint !== undefined &&
            leaderHint !== target &&
            leaderHint !== this.#options.self
        ) {
            await this.#options.network
                .getClient(leaderHint)
                ?.call("peer.subscribe", params)
                .catch(() => undefined);
        }
    }
}
