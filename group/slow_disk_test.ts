import test, { type ExecutionContext } from "ava";
import {
    MemoryStorage,
    Replica,
    type ConsensusTimings,
    type GroupId,
    type LogEntry,
    type MemberId,
    type Storage,
} from "../log/mod.ts";
import { type EntryId } from "../membership/mod.ts";
import { startRpcServer, type RpcServer } from "../rpc/mod.ts";
import { PeerNetwork, type PeerEnvelope } from "./peer_network.ts";

const GROUP = "control" as GroupId;
const TIMINGS: ConsensusTimings = { heartbeatMs: 50, electionMs: 250 };
const PEER_TIMEOUT_MS = 400;
const PROPOSAL_INTERVAL_MS = 20;

/** A storage whose writes take a given time. */
class SlowStorage extends MemoryStorage implements Storage {
    readonly #syncMs: number;

    constructor(syncMs: number) {
        super();
        this.#syncMs = syncMs;
    }

    override async append(entries: readonly LogEntry[] = [], hardState?: object): Promise<void> {
        if (entries.length > 0 || hardState !== undefined) {
            await new Promise((resolve) => setTimeout(resolve, this.#syncMs));
        }
    }
}

/** A group whose members exchange messages over loopback. */
class SlowDiskGroup {
    readonly replicas: Replica<number, void>[] = [];
    readonly #servers: RpcServer[] = [];
    readonly #networks: PeerNetwork[] = [];
    leadsGained = 0;

    static async start(t: ExecutionContext, syncMs: number): Promise<SlowDiskGroup> {
        const group = new SlowDiskGroup();
        const addresses: string[] = [];
        for (const i of [0, 1, 2]) {
            const server = await startRpcServer({
                methods: {
                    "peer.group": async (params) => {
                        const { from, message } = params as PeerEnvelope;
                        return (await group.replicas[i]?.receive(from, message)) ?? null;
                    },
                },
            });
            group.#servers.push(server);
            addresses.push(server.address);
        }
        const members = addresses.map((address) => `${address}#0` as MemberId);
        members.forEach((self) => group.#addReplica(self, members, syncMs));
        t.teardown(() => group.#stop());
        group.replicas.forEach((replica) => replica.start());
        return group;
    }

    #addReplica(self: MemberId, members: readonly MemberId[], syncMs: number): void {
        const network = new PeerNetwork({
            findAddress: (id: EntryId) => id,
            timeoutMs: PEER_TIMEOUT_MS,
        });
        const replica: Replica<number, void> = new Replica<number, void>({
            self,
            storage: new SlowStorage(syncMs),
            machine: { apply: () => {}, encode: () => "", restore: () => {} },
            transport: network.createTransport(GROUP, self, () => replica),
            initialVoters: members,
            timings: TIMINGS,
            onLeadershipGained: () => {
                this.leadsGained += 1;
            },
        });
        this.#networks.push(network);
        this.replicas.push(replica);
    }

    /** Proposes commands at a steady rate; returns how many were committed and how many failed. */
    async runProposals(durationMs: number): Promise<{ committed: number; failed: number }> {
        const endMs = performance.now() + durationMs;
        const counts = { committed: 0, failed: 0 };
        const proposals: Promise<void>[] = [];
        while (performance.now() < endMs) {
            const leader = this.replicas.find((replica) => replica.isServing);
            const proposal = leader?.propose(1).then(
                () => void (counts.committed += 1),
                () => void (counts.failed += 1),
            );
            proposals.push(proposal ?? Promise.resolve());
            await new Promise((resolve) => setTimeout(resolve, PROPOSAL_INTERVAL_MS));
        }
        await Promise.all(proposals);
        return counts;
    }

    async #stop(): Promise<void> {
        await Promise.all(this.replicas.map((replica) => replica.stop()));
        this.#networks.forEach((network) => network.close());
        await Promise.all(this.#servers.map((server) => server.close()));
    }
}

test.serial("a leader keeps its lead while every disk is slow", async (t) => {
    // Guards against a lead that ends because answers to heartbeats wait for the disk.
    const group = await SlowDiskGroup.start(t, 150);
    await group.runProposals(2_500);
    const leadsGained = group.leadsGained;
    const counts = await group.runProposals(4_000);
    t.true(leadsGained > 0);
    t.is(group.leadsGained, leadsGained);
    t.is(counts.failed, 0);
    t.true(counts.committed > 5);
});
