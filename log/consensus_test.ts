import test, { type ExecutionContext } from "ava";
import fc from "fast-check";
import { GroupFixture } from "./_fixtures.ts";
import { Consensus, DEFAULT_TIMINGS } from "./consensus.ts";
import type { AppendRequest, MemberId } from "./types.ts";

const RUNS = 400;

function getLeader(group: GroupFixture): MemberId {
    const { leader } = group;
    if (leader === undefined) {
        throw new Error("no leader was elected");
    }
    return leader;
}

test("a group elects one leader, commits by quorum and replaces a crashed leader", (t) => {
    // Guards against losing committed entries in a failover.
    const group = new GroupFixture({ memberCount: 3, seed: 7 });
    group.runFor(5_000);
    const firstLeader = getLeader(group);
    const index = group.propose(firstLeader, "a") as number;
    group.runFor(500);
    group.crashMember(firstLeader);
    group.runFor(5_000);
    const secondLeader = getLeader(group);
    t.not(secondLeader, firstLeader);
    t.deepEqual(group.committed.get(index)?.type, "commands");
    t.is(
        group.nodes.get(secondLeader)?.commitIndex,
        index + 1,
        "the earlier entry, then the new leader's no-op",
    );
    t.deepEqual(group.violations, []);
});

test("an isolated leader loses its lease before another leader acquires one", (t) => {
    // Guards against split brain and against applying a partitioned leader's uncommitted entry.
    const group = new GroupFixture({ memberCount: 3, seed: 3 });
    group.runFor(5_000);
    const oldLeader = getLeader(group);
    group.setIsolated(oldLeader, true);
    const uncommittedIndex = group.propose(oldLeader, "never committed") as number;
    group.runFor(5_000);
    const newLeader = getLeader(group);
    t.not(newLeader, oldLeader);
    t.not(group.nodes.get(oldLeader)?.role, "leader", "the leader steps down without a quorum");
    group.propose(newLeader, "committed");
    group.runFor(300);
    group.setIsolated(oldLeader, false);
    group.runFor(3_000);
    t.is(getLeader(group), newLeader, "the rejoining member does not depose the leader");
    t.is(group.nodes.get(oldLeader)?.lastIndex, group.nodes.get(newLeader)?.lastIndex);
    t.notDeepEqual(group.committed.get(uncommittedIndex), {
        index: uncommittedIndex,
        term: 1,
        type: "commands",
    });
    t.deepEqual(group.violations, []);
});

test("a paused leader holds no lease after it resumes", (t) => {
    // A process paused with SIGSTOP still has the leader role after a successor was elected.
    const group = new GroupFixture({ memberCount: 3, seed: 11 });
    group.runFor(5_000);
    const oldLeader = getLeader(group);
    group.runFor(6_000, oldLeader);
    t.is(group.nodes.get(oldLeader)?.role, "leader", "the paused member still has the leader role");
    t.false(group.nodes.get(oldLeader)?.hasLease(group.now));
    t.not(getLeader(group), oldLeader);
    group.runFor(1_000);
    t.not(group.nodes.get(oldLeader)?.role, "leader");
    t.deepEqual(group.violations, []);
});

test("a member with a lost disk is replaced by a new incarnation, one voter at a time", (t) => {
    // Two concurrent configuration changes could form disjoint quorums.
    const group = new GroupFixture({ memberCount: 3, seed: 5 });
    group.runFor(5_000);
    const leader = getLeader(group);
    const wiped = group.ids.find((id) => id !== leader) as MemberId;
    const replacement = "m9.1" as MemberId;
    group.crashMember(wiped);
    group.ids.push(replacement);
    group.disks.set(replacement, { hardState: { term: 0, votedFor: undefined }, entries: [] });
    group.startMember(replacement);
    const node = group.nodes.get(leader);
    const voters = [...(node?.voters ?? []), replacement];
    t.not(node?.proposeVoters(voters), undefined);
    t.is(
        node?.proposeVoters(voters.filter((v) => v !== wiped)),
        undefined,
        "the previous change is not yet committed",
    );
    group.runMember(leader);
    group.runFor(1_000);
    t.not(node?.proposeVoters(voters.filter((v) => v !== wiped)), undefined);
    group.runMember(leader);
    group.runFor(1_000);
    t.deepEqual(
        [...(group.nodes.get(replacement)?.voters ?? [])].sort(),
        [...(node?.voters ?? [])].sort(),
    );
    const other = group.ids.find((id) => ![leader, wiped, replacement].includes(id)) as MemberId;
    group.crashMember(other);
    const index = group.propose(leader, "after the repair") as number;
    group.runFor(1_000);
    t.true(group.committed.has(index), "the new incarnation completes the quorum");
    t.deepEqual(group.violations, []);
});

test("a restarted follower refuses votes while an earlier leader may hold its lease", (t) => {
    // A vote by the restarted follower could elect a second leader while the first holds its lease.
    const group = new GroupFixture({ memberCount: 3, seed: 21 });
    group.runFor(5_000);
    const leader = getLeader(group);
    const [candidate, restarted] = group.ids.filter((id) => id !== leader) as [MemberId, MemberId];
    group.setLink(leader, candidate, false);
    group.runFor(1_500);
    t.is(getLeader(group), leader);
    group.crashMember(restarted);
    group.startMember(restarted);
    group.setLink(leader, restarted, false);
    group.nodes.get(restarted)?.receive(
        candidate,
        {
            type: "voteRequest",
            pre: false,
            term: 99,
            lastIndex: 99,
            lastTerm: 98,
            isTransfer: false,
        },
        group.now,
    );
    const response = group.nodes.get(restarted)?.takeReady().messagesAfterPersist[0]?.message;
    t.true(group.nodes.get(leader)?.hasLease(group.now));
    t.like(response, { type: "voteResponse", granted: false });
});

test("a leadership transfer elects a new leader at once and ends the old leader's lease", (t) => {
    // Guards against two lease holders during the transfer and an election timeout per restart.
    const group = new GroupFixture({ memberCount: 3, seed: 4 });
    group.runFor(5_000);
    const oldLeader = getLeader(group);
    group.nodes.get(oldLeader)?.startLeadershipTransfer();
    t.false(group.nodes.get(oldLeader)?.hasLease(group.now));
    group.runMember(oldLeader);
    group.runFor(100);
    t.not(getLeader(group), oldLeader);
    t.deepEqual(group.violations, []);
});

test("an entry of an earlier term is not committed by counting replicas", (t) => {
    // A member whose last entry is of term 3 could still overwrite the replicated entry of term 2.
    const group = new GroupFixture({ memberCount: 3, seed: 2 });
    const [m1, m2] = group.ids as [MemberId, MemberId];
    const disk = group.disks.get(m1);
    disk?.entries.push(
        { index: 1, term: 1, type: "commands", commands: ["a"] },
        { index: 2, term: 2, type: "commands", commands: ["b"] },
    );
    Object.assign(disk ?? {}, { hardState: { term: 3, votedFor: undefined } });
    group.startMember(m1);
    group.runFor(100);
    group.advance(2_000);
    while (group.nodes.get(m1)?.role !== "leader") {
        group.handleMessage(0, false);
    }
    const node = group.nodes.get(m1);
    const response = { type: "appendResponse", ok: true, sentAt: group.now } as const;
    node?.receive(m2, { ...response, term: node.term, index: 2 }, group.now);
    t.is(node?.commitIndex, 0);
    node?.receive(m2, { ...response, term: node.term, index: 3 }, group.now);
    t.is(node?.commitIndex, 3);
});

test("random message loss, partitions, crashes and pauses never violate safety", (t) => {
    checkSafety(t, { slowWriteShare: 0, seed: 20261202 });
});

test("random faults while writes are slow never violate safety", (t) => {
    // Guards against answers that precede a write and confirm what a crash then loses.
    checkSafety(t, { slowWriteShare: 0.5, seed: 20261203 });
});

test("random losses of all power while members take snapshots never violate safety", (t) => {
    // Guards against entries that a quorum confirmed and that a restart or a snapshot removes.
    checkSafety(t, {
        slowWriteShare: 0.5,
        snapshotIntervalEntries: 3,
        powerLossWeight: 2,
        seed: 20261204,
    });
});

/**
 * Checks for one leader per term, one lease at a time, no change of committed entries and a quorum of
 * disks that hold them.
 */
function checkSafety(
    t: ExecutionContext,
    options: {
        readonly slowWriteShare: number;
        readonly snapshotIntervalEntries?: number;
        /** Weight of the losses of all members' power among the steps; 0 by default. */
        readonly powerLossWeight?: number;
        readonly seed: number;
    },
): void {
    const powerLoss = {
        weight: options.powerLossWeight ?? 0,
        arbitrary: fc.record({ kind: fc.constant("power"), n: fc.nat(4) }),
    };
    const step = fc.oneof(
        ...(powerLoss.weight > 0 ? [powerLoss] : []),
        { weight: 6, arbitrary: fc.record({ kind: fc.constant("deliver"), n: fc.nat(30) }) },
        { weight: 1, arbitrary: fc.record({ kind: fc.constant("lose"), n: fc.nat(30) }) },
        { weight: 4, arbitrary: fc.record({ kind: fc.constant("advance"), n: fc.nat(600) }) },
        { weight: 2, arbitrary: fc.record({ kind: fc.constant("propose"), n: fc.nat(4) }) },
        { weight: 1, arbitrary: fc.record({ kind: fc.constant("restart"), n: fc.nat(4) }) },
        { weight: 1, arbitrary: fc.record({ kind: fc.constant("isolate"), n: fc.nat(4) }) },
        { weight: 1, arbitrary: fc.record({ kind: fc.constant("heal"), n: fc.nat(4) }) },
        { weight: 1, arbitrary: fc.record({ kind: fc.constant("transfer"), n: fc.nat(4) }) },
        { weight: 1, arbitrary: fc.record({ kind: fc.constant("cut"), n: fc.nat(24) }) },
        { weight: 1, arbitrary: fc.record({ kind: fc.constant("freeze"), n: fc.nat(4_000) }) },
        { weight: 2, arbitrary: fc.record({ kind: fc.constant("run"), n: fc.nat(3_000) }) },
    );
    fc.assert(
        fc.property(
            fc.integer({ min: 1, max: 1_000_000 }),
            fc.constantFrom(3, 5),
            fc.array(step, { minLength: 20, maxLength: 120 }),
            (seed, members, steps) => {
                const { slowWriteShare, snapshotIntervalEntries } = options;
                const group = new GroupFixture({
                    memberCount: members,
                    seed,
                    slowWriteShare,
                    snapshotIntervalEntries,
                });
                group.runFor(2_500);
                let fewestCopies: number = members;
                for (const { kind, n } of steps) {
                    applyStep(group, kind, n);
                    fewestCopies = Math.min(fewestCopies, group.countNewestEntryCopies());
                }
                t.true(fewestCopies > members / 2, `a committed entry is on ${fewestCopies} disks`);
                group.restoreLinks();
                for (const id of group.ids) {
                    if (!group.nodes.has(id)) {
                        group.startMember(id);
                    }
                }
                group.runFor(12_000);
                t.deepEqual(group.violations, []);
                const leader = getLeader(group);
                const index = group.propose(leader, "last") as number;
                group.runFor(1_000);
                t.true(
                    group.committed.has(index),
                    "the group commits again after the partitions are healed",
                );
                t.deepEqual(group.violations, []);
            },
        ),
        { numRuns: RUNS, seed: options.seed },
    );
}

function applyStep(group: GroupFixture, kind: string, value: number): void {
    const id = group.ids[value % group.ids.length] as MemberId;
    switch (kind) {
        case "deliver":
            group.handleMessage(value, false);
            return;
        case "lose":
            group.handleMessage(value, true);
            return;
        case "advance":
            group.advance(value);
            return;
        case "propose":
            group.propose(id, `c${group.now}`);
            return;
        case "restart":
            group.crashMember(id);
            group.startMember(id);
            return;
        case "power":
            group.ids.forEach((member) => group.crashMember(member));
            group.ids.forEach((member) => group.startMember(member));
            return;
        case "isolate":
            group.setIsolated(id, true);
            return;
        case "transfer":
            group.nodes.get(id)?.startLeadershipTransfer();
            group.runMember(id);
            return;
        case "cut":
            group.setLink(id, group.ids[(value >> 2) % group.ids.length] as MemberId, false);
            return;
        case "freeze":
            group.runFor(
                value,
                group.ids.find((m) => group.nodes.get(m)?.role === "leader"),
            );
            return;
        case "heal":
            group.restoreLinks();
            return;
        case "run":
            group.runFor(value);
            return;
    }
}

test("a group elects a leader within one election timeout after all members restart", (t) => {
    // Guards against a second election timeout if one member's pre-vote precedes the other starts.
    for (let seed = 1; seed <= 20; seed++) {
        const group = new GroupFixture({ memberCount: 3, seed });
        group.runFor(4_000);
        const [first, second, third] = group.ids as [MemberId, MemberId, MemberId];
        group.ids.forEach((id) => group.crashMember(id));
        const crashedAtMs = group.now;
        group.startMember(first);
        group.runFor(100);
        group.startMember(second);
        group.runFor(100);
        group.startMember(third);
        while (group.leader === undefined && group.now - crashedAtMs < 5_000) {
            group.runFor(50);
        }
        // The last start (200 ms), one election timeout (1,000 ms), jitter and voting.
        t.true(
            group.now - crashedAtMs <= 200 + 1_000 + 650,
            `seed ${seed}: ${group.now - crashedAtMs} ms`,
        );
        t.deepEqual(group.violations, []);
    }
});

test("a restarted member refuses votes for one election timeout from its process start", (t) => {
    const voters = ["m1.0", "m2.0", "m3.0"] as MemberId[];
    const stored = {
        hardState: { term: 3, votedFor: undefined },
        snapshot: undefined,
        entries: [],
    };
    const createNode = (processStartedAtMs: number): Consensus =>
        new Consensus({
            self: "m1.0" as MemberId,
            stored,
            initialVoters: voters,
            random: () => 0,
            now: 10_000,
            processStartedAtMs,
        });
    const requestVote = (node: Consensus): boolean => {
        const message = {
            type: "voteRequest" as const,
            pre: false,
            term: 4,
            lastIndex: 0,
            lastTerm: 0,
            isTransfer: false,
        };
        node.receive("m2.0" as MemberId, message, 10_000);
        const response = node.takeReady().messagesAfterPersist[0]?.message;
        return response?.type === "voteResponse" && response.granted;
    };
    t.true(requestVote(createNode(10_000 - DEFAULT_TIMINGS.electionMs)));
    t.false(requestVote(createNode(10_000 - DEFAULT_TIMINGS.electionMs + 1)));
});

test("proposals to remove live voters leave the group a quorum, and lost voters can be removed", (t) => {
    // With two of six voters lost, removing all live voters but the leader would leave no quorum.
    const group = new GroupFixture({ memberCount: 6, seed: 17 });
    group.runFor(5_000);
    const [lost1, lost2] = group.ids.filter((id) => id !== getLeader(group));
    group.crashMember(lost1 as MemberId);
    group.crashMember(lost2 as MemberId);
    group.runFor(2_000);
    const leader = getLeader(group);
    const node = group.nodes.get(leader);
    for (const liveVoter of group.ids.filter((id) => group.nodes.has(id) && id !== leader)) {
        node?.proposeVoters((node.voters ?? []).filter((voter) => voter !== liveVoter));
        group.runMember(leader);
        group.runFor(1_000);
    }
    const index = group.propose(leader, "after the removals") as number;
    group.runFor(1_000);
    t.true(group.committed.has(index), "the group still commits");
    // Removing a lost voter is allowed, since it shrinks the quorum.
    for (const lostVoter of [lost1, lost2] as MemberId[]) {
        t.not(
            node?.proposeVoters((node.voters ?? []).filter((voter) => voter !== lostVoter)),
            undefined,
        );
        group.runMember(leader);
        group.runFor(1_000);
    }
    t.deepEqual(group.violations, []);
});

/** Builds a follower that holds one persisted entry of term 1 of the leader `m1.0`. */
function buildFollower(): Consensus {
    const voters = ["m1.0", "m2.0", "m3.0"] as MemberId[];
    return new Consensus({
        self: "m2.0" as MemberId,
        stored: {
            hardState: { term: 1, votedFor: undefined },
            snapshot: undefined,
            entries: [{ index: 1, term: 1, type: "noop" }],
        },
        initialVoters: voters,
        random: () => 0.5,
        now: 0,
    });
}

function buildAppend(fields: Partial<AppendRequest>): AppendRequest {
    return {
        type: "append",
        term: 1,
        previousIndex: 1,
        previousTerm: 1,
        entries: [],
        commitIndex: 1,
        sentAt: 10,
        ...fields,
    };
}

test("a heartbeat is answered while entries are written, and the answer confirms none of them", (t) => {
    // Guards against leads that end because disks are slow, and against commits of lost entries.
    const follower = buildFollower();
    const leader = "m1.0" as MemberId;
    const entry = { index: 2, term: 1, type: "noop" } as const;
    follower.receive(leader, buildAppend({ entries: [entry] }), 10);
    t.is(follower.takeReady().messagesAfterPersist.length, 1);
    follower.receive(leader, buildAppend({ previousIndex: 2, sentAt: 20 }), 20);
    const [answer] = follower.takeMessagesBeforePersist();
    t.like(answer?.message, { type: "appendResponse", ok: true, index: 1, sentAt: 20 });
    follower.confirmPersisted(2, 1);
    follower.receive(leader, buildAppend({ previousIndex: 2, sentAt: 30 }), 30);
    t.like(follower.takeMessagesBeforePersist()[0]?.message, { ok: true, index: 2, sentAt: 30 });
});

test("a heartbeat of a term that is not persisted is answered after the write", (t) => {
    // Guards against a lease that counts on a member whose restart forgets the term.
    const follower = buildFollower();
    const leader = "m1.0" as MemberId;
    follower.receive(leader, buildAppend({ term: 2, sentAt: 10 }), 10);
    t.is(follower.takeMessagesBeforePersist().length, 0);
    t.is(follower.takeReady().messagesAfterPersist.length, 1);
    follower.receive(leader, buildAppend({ term: 2, sentAt: 20 }), 20);
    t.is(follower.takeMessagesBeforePersist().length, 0);
    t.is(follower.takeReady().messagesAfterPersist.length, 1);
    follower.receive(leader, buildAppend({ term: 2, sentAt: 30 }), 30);
    t.is(follower.takeMessagesBeforePersist().length, 1);
});

test("a heartbeat's answer does not count as the answer to entries in flight", (t) => {
    // Guards against entries and snapshots that are sent again with each heartbeat.
    const group = new GroupFixture({ memberCount: 1, seed: 1 });
    group.runFor(3_000);
    const id = group.ids[0] as MemberId;
    const leader = group.nodes.get(id) as Consensus;
    const learner = "m9.0" as MemberId;
    leader.addLearner(learner);
    const [probe] = leader.takeReady().messagesBeforePersist;
    const { term, sentAt: probedAt } = probe?.message as AppendRequest;
    const refusal = { type: "appendResponse", term, ok: false, index: 1 } as const;
    leader.receive(learner, { ...refusal, sentAt: probedAt }, group.now + 1);
    const [first] = leader.takeReady().messagesBeforePersist;
    const { sentAt } = first?.message as AppendRequest;
    t.true((first?.message as AppendRequest).entries.length > 0);
    leader.tick(group.now + 300);
    const [heartbeat] = leader.takeReady().messagesBeforePersist;
    t.is((heartbeat?.message as AppendRequest).entries.length, 0);
    const answer = { type: "appendResponse", term, ok: true, index: 0 } as const;
    leader.receive(learner, { ...answer, sentAt: group.now + 300 }, group.now + 301);
    t.is(leader.takeReady().messagesBeforePersist.length, 0);
    leader.receive(learner, { ...answer, index: leader.lastIndex, sentAt }, group.now + 302);
    t.is(leader.getMatchIndex(learner), leader.lastIndex);
});

test("a late snapshot does not remove the entries that a follower has confirmed", (t) => {
    // Guards against a committed entry that only one member of its quorum still holds.
    const entries = [1, 2, 3].map((index) => ({ index, term: 1, type: "noop" }) as const);
    const voters = ["m1.0", "m2.0", "m3.0"] as MemberId[];
    const [leader, self, candidate] = voters as [MemberId, MemberId, MemberId];
    const follower = new Consensus({
        self,
        stored: { hardState: { term: 1, votedFor: undefined }, snapshot: undefined, entries },
        initialVoters: voters,
        random: () => 0.5,
        now: 0,
    });
    const snapshot = { index: 1, term: 1, voters, state: "" };
    follower.receive(leader, { type: "snapshot", term: 2, snapshot, sentAt: 10 }, 10);
    const ready = follower.takeReady();
    t.is(ready.snapshotToInstall, undefined);
    t.like(ready.messagesAfterPersist[0]?.message, { type: "appendResponse", ok: true, index: 1 });
    t.is(follower.lastIndex, 3);
    t.is(follower.commitIndex, 1);
    const request = { type: "voteRequest", pre: false, term: 3, isTransfer: false } as const;
    follower.receive(candidate, { ...request, lastTerm: 1, lastIndex: 2 }, 10_000);
    const [vote] = follower.takeReady().messagesAfterPersist;
    t.like(vote?.message, { type: "voteResponse", granted: false });
});

test("entries survive as many lost disks as failures are tolerated, with all power lost at once", (t) => {
    // Guards against a quorum without the newest entries, as an emptied member that votes makes one.
    for (const lossCount of [1, 2]) {
        for (let seed = 1; seed <= 20; seed++) {
            const group = new GroupFixture({
                memberCount: 2 * lossCount + 1,
                seed,
                slowWriteShare: 0.5,
                snapshotIntervalEntries: 3,
            });
            group.runFor(5_000);
            const leader = getLeader(group);
            const others = group.ids.filter((id) => id !== leader);
            others.slice(0, lossCount).forEach((id) => group.setIsolated(id, true));
            for (let i = 0; i < 5; i++) {
                group.propose(leader, `c${i}`);
                group.runFor(300);
            }
            const newestIndex = Math.max(...group.committed.keys());
            const holders = [leader, ...others.slice(lossCount)];
            const lost = holders.filter((_id, i) => i !== seed % holders.length);
            group.ids.forEach((id) => group.crashMember(id));
            group.restoreLinks();
            const replacements = lost.map((id) => group.replaceMember(id));
            group.ids.forEach((id) => group.startMember(id));
            group.runFor(8_000);
            const index = group.propose(getLeader(group), "after the loss") as number;
            group.runFor(1_000);
            t.true(index > newestIndex, `seed ${seed}: ${index} after ${newestIndex}`);
            t.true(group.committed.has(index));
            t.deepEqual(group.violations, []);
            t.true(replacements.every((id) => group.nodes.get(id)?.role === "learner"));
        }
    }
});
