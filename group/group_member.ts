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
    readonly listContacts?: () => readonly EntryId[];
    /** When this process started, in ms on the monotonic clock, if known. */
    readonly startedAt?: number;
    readonly batchWindowMs?: number;
    readonly snapshotEvery?: number;
    readonly completeBatch?: (commands: readonly C[]) => readonly C[];
    readonly log: Logger;
}

const MAINTENANCE_MS = 500;
/** A member whose election is not won for this long says so, and again as often, in ms: some elections. */
const ELECTION_LOG_MS = 2_000;
/** A learner that has not answered for this long is no longer sent the log. */
const LEARNER_SILENCE_MS = 10_000;

/** One entry instance's part in one group. */
export class GroupMember<C, R> {
    readonly #options: GroupMemberOptions<C, R>;
    readonly #replica: Replica<C, R>;
    readonly #member: MemberId;
    #maintenance: Subscription | undefined;
    #askNext = 0;
    #campaigningSince: number | undefined;
    /** The last time a leader sent something, in ms on the monotonic clock. */
    #heardAt = Number.NEGATIVE_INFINITY;

    /**
     * @param options The group, identity, state machine; see {@link GroupMemberOptions}.
     */
    constructor(options: GroupMemberOptions<C, R>) {
        this.#options = options;
        this.#member = createMemberId(options.self, options.incarnation);
        const firstVoters = options.group.voters.map((id) => createMemberId(id));
        this.#replica = new Replica<C, R>({
            ...options,
            self: this.#member,
            storage:
                options.dataDir === undefined
                    ? new MemoryStorage()
                    : FileStorage.open({
                          dir: join(options.dataDir, options.group.id),
                          initialVoters: firstVoters,
                      }),
            transport: options.network.createTransport(
                options.group.id,
                this.#member,
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
        this.#maintenance = interval(MAINTENANCE_MS).subscribe(() => this.#runMaintenance());
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
    get heardLeaderAt(): number {
        return this.#heardAt;
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
        if (to !== this.#member) {
            return null;
        }
        if (message.type === "append" || message.type === "snapshot") {
            this.#heardAt = performance.now();
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
            for (const known of this.#replica.listLearners()) {
                const isEarlier = parseEntryId(known.member) === parseEntryId(member);
                if (isEarlier && known.member !== member) {
                    this.#replica.removeLearner(known.member);
                }
            }
            this.#replica.addLearner(member);
        }
        return { leader: this.leader };
    }

    #runMaintenance(): void {
        if (this.#replica.role === "leader") {
            this.#updateVoters();
            this.#removeSilentLearners();
        } else if (this.#replica.role === "learner") {
            void this.#sendSubscribe();
        }
        this.#reportElection(performance.now());
    }

    /** Tells which voters an election lacks: a group that has lost its quorum shows nothing else. */
    #reportElection(now: number): void {
        const { campaign, term } = this.#replica;
        if (campaign === undefined) {
            this.#campaigningSince = undefined;
            return;
        }
        this.#campaigningSince ??= now;
        if (now - this.#campaigningSince >= ELECTION_LOG_MS) {
            this.#campaigningSince = now;
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
        const wanted = this.#options.group.voters;
        const joining = this.#replica
            .listLearners()
            .find((l) => l.isCaughtUp && wanted.includes(parseEntryId(l.member)));
        if (joining !== undefined && this.#replica.proposeVoters([...voters, joining.member])) {
            this.#options.log.notice("voter added", {
                group: this.#options.group.id,
                voters: this.#replica.voters.length,
                member: joining.member,
            });
            return;
        }
        const leaving = voters.find((voter) => this.#isReplaced(voter, voters));
        if (leaving !== undefined) {
            const rest = voters.filter((v) => v !== leaving);
            if (this.#replica.proposeVoters(rest)) {
                this.#options.log.notice("voter removed", {
                    group: this.#options.group.id,
                    voters: this.#replica.voters.length,
                    member: leaving,
                });
            }
        }
    }

    /**
     * A voter goes when a newer incarnation of its instance votes, or when its instance should
     * not vote at all and every one that should does: removing first would leave the group with
     * less to lose while it changes.
     */
    #isReplaced(voter: MemberId, voters: readonly MemberId[]): boolean {
        const wanted = this.#options.group.voters;
        const id = parseEntryId(voter);
        const twins = voters.filter((v) => parseEntryId(v) === id);
        if (twins.length > 1) {
            return voter === twins[0];
        }
        const voting = voters.map((v) => parseEntryId(v));
        return !wanted.includes(id) && wanted.every((w) => voting.includes(w));
    }

    #removeSilentLearners(): void {
        for (const learner of this.#replica.listLearners()) {
            if (
                learner.ackedAtMs !== Number.NEGATIVE_INFINITY &&
                performance.now() - learner.ackedAtMs > LEARNER_SILENCE_MS
            ) {
                this.#replica.removeLearner(learner.member);
            }
        }
    }

    /** Asks one voter after another for the log, until a leader sends it. */
    async #sendSubscribe(): Promise<void> {
        const silentFor = performance.now() - this.#heardAt;
        if (silentFor < 4 * this.#options.timings.heartbeatMs) {
            return;
        }
        const contacts = this.#options.listContacts?.() ?? this.#options.group.voters;
        const others = contacts.filter((id) => id !== this.#options.self);
        const target = others[this.#askNext++ % Math.max(1, others.length)];
        const client = target === undefined ? undefined : this.#options.network.getClient(target);
        const ask = { group: this.#options.group.id, member: this.#member };
        const answer = await client
            ?.call<{ leader: EntryId | undefined }>("peer.subscribe", ask)
            .catch(() => undefined);
        const hinted = answer?.leader;
        if (hinted !== undefined && hinted !== target && hinted !== this.#options.self) {
            await this.#options.network
                .getClient(hinted)
                ?.call("peer.subscribe", ask)
                .catch(() => undefined);
        }
    }
}
