/**
 * What an entry instance does as a member of any group: keep a replica, ask the leader for the
 * log when it does not vote, and, while it leads, bring the voters in line with the layout.
 *
 * @example
 * ```ts
 * import { GroupMember } from "./group_member.ts";
 * const member = new GroupMember({ layout, self, machine, network, dataDir, timings, log });
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
import type { PeerNetwork } from "./peer_network.ts";

/** Options of {@link GroupMember}. */
export interface GroupMemberOptions<C, R> extends ReplicaEvents {
    readonly group: GroupLayout;
    readonly self: EntryId;
    readonly incarnation: string;
    readonly machine: StateMachine<C, R>;
    readonly network: PeerNetwork;
    readonly dataDir: string | undefined;
    readonly timings: ConsensusTimings;
    /** Instances to ask for the log; those that should vote by default. */
    readonly listPeers?: () => readonly EntryId[];
    /** When this process started, in ms on the monotonic clock, if known. */
    readonly startedAt?: number;
    readonly batchWindowMs?: number;
    readonly snapshotEvery?: number;
    readonly completeBatch?: (commands: readonly C[]) => readonly C[];
    readonly log: Logger;
}

const MAINTENANCE_INTERVAL_MS = 500;
/** A member whose election is not won for this long says so, and again as often, in ms: some elections. */
const ELECTION_WARNING_INTERVAL_MS = 2_000;
/** A learner that has not answered for this long is no longer sent the log. */
const LEARNER_TIMEOUT_MS = 10_000;

/** One entry instance's part in one group. */
export class GroupMember<C, R> {
    readonly #options: GroupMemberOptions<C, R>;
    readonly #replica: Replica<C, R>;
    readonly #memberId: MemberId;
    #maintenance: Subscription | undefined;
    #nextPeerIndex = 0;
    #warningIntervalStartMs: number | undefined;
    /** The last time a leader sent something, in ms on the monotonic clock. */
    #lastLeaderContactMs = Number.NEGATIVE_INFINITY;

    /**
     * @param options The group, identity, state machine; see {@link GroupMemberOptions}.
     */
    constructor(options: GroupMemberOptions<C, R>) {
        this.#options = options;
        this.#memberId = createMemberId(options.self, options.incarnation);
        const firstVoters = options.group.voters.map((id) => createMemberId(id));
        this.#replica = new Replica<C, R>({
            ...options,
            self: this.#memberId,
            storage:
                options.dataDir === undefined
                    ? new MemoryStorage()
                    : FileStorage.open({
                          dir: join(options.dataDir, options.group.id),
                          initialVoters: firstVoters,
                      }),
            transport: options.network.createTransport(
                options.group.id,
                this.#memberId,
                () => this.#replica,
            ),
            initialVoters: firstVoters,
            onStorageError: (error) => {
                options.log.error("storage refused a write; trying again", {
                    group: options.group.id,
                    error: error.message,
                });
            },
        });
    }

    /** Starts the replica and the upkeep of the membership. */
    start(): void {
        this.#replica.start();
        this.#maintenance = interval(MAINTENANCE_INTERVAL_MS).subscribe(() =>
            this.#runMaintenance(),
        );
        this.#runMaintenance();
    }

    /** Hands the lead over, if this instance leads, and stops both. */
    async stop(): Promise<void> {
        this.#maintenance?.unsubscribe();
        if (this.#replica.role === "leader" && this.#replica.voters.length > 1) {
            await this.#replica.resign();
        }
        await this.#replica.stop();
    }

    /** The replica. */
    get replica(): Replica<C, R> {
        return this.#replica;
    }

    /** Whether this instance leads the group and nobody else can. */
    get isServing(): boolean {
        return this.#replica.isServing;
    }

    /** See {@link Replica.waitServing}. */
    waitServing(): Promise<boolean> {
        return this.#replica.waitServing();
    }

    /** When a leader last sent something, in ms on the monotonic clock. */
    get lastLeaderContactMs(): number {
        return this.#lastLeaderContactMs;
    }

    /** The leader's entry instance, as far as this replica knows. */
    get leader(): EntryId | undefined {
        const { leader } = this.#replica;
        return leader === undefined ? undefined : parseEntryId(leader);
    }

    /**
     * Takes a message of the group.
     *
     * @param from The sender.
     * @param to The member it is for.
     * @param message The message.
     * @returns The response; `null` when the message was for an earlier incarnation.
     */
    async receive(
        from: MemberId,
        to: MemberId,
        message: GroupMessage,
    ): Promise<GroupMessage | null> {
        if (to !== this.#memberId) {
            return null;
        }
        if (message.type === "append" || message.type === "snapshot") {
            this.#lastLeaderContactMs = performance.now();
        }
        return (await this.#replica.receive(from, message)) ?? null;
    }

    /**
     * Starts sending the log to a member that asks for it.
     *
     * @param member The member.
     * @returns The leader, for a member that asked the wrong instance.
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
        return { leader: this.leader };
    }

    #runMaintenance(): void {
        if (this.#replica.role === "leader") {
            this.#updateVoters();
            this.#removeUnresponsiveLearners();
        } else if (this.#replica.role === "learner") {
            void this.#sendSubscribe();
        }
        this.#reportElection(performance.now());
    }

    /** Tells which voters an election lacks: a group that has lost its quorum shows nothing else. */
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
     * Brings the voters in line with the layout, one member at a time: first a caught-up member
     * that should vote is added, then a voter that should not (an earlier incarnation, or an
     * instance that the settings no longer name) is removed.
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
     * A voter goes when a newer incarnation of its instance votes, or when its instance should
     * not vote at all and every one that should does: removing first would leave the group with
     * less to lose while it changes.
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
            configuredVoters.every((w) => votingInstances.includes(w))
        );
    }

    #removeUnresponsiveLearners(): void {
        for (const learner of this.#replica.listLearners()) {
            if (
                learner.ackedAtMs !== Number.NEGATIVE_INFINITY &&
                performance.now() - learner.ackedAtMs > LEARNER_TIMEOUT_MS
            ) {
                this.#replica.removeLearner(learner.member);
            }
        }
    }

    /** Asks one voter after another for the log, until a leader sends it. */
    async #sendSubscribe(): Promise<void> {
        const sinceLeaderContactMs = performance.now() - this.#lastLeaderContactMs;
        if (sinceLeaderContactMs < 4 * this.#options.timings.heartbeatMs) {
            return;
        }
        const peers = this.#options.listPeers?.() ?? this.#options.group.voters;
        const otherPeers = peers.filter((id) => id !== this.#options.self);
        const target = otherPeers[this.#nextPeerIndex++ % Math.max(1, otherPeers.length)];
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
