import test from "ava";
import { DEFAULT_TIMINGS, type GroupId, type GroupMessage, type MemberId } from "../log/mod.ts";
import { createMemberId, type EntryId } from "../membership/mod.ts";
import { createLogger, LogSink } from "../telemetry/mod.ts";
import { GroupMember } from "./group_member.ts";
import { PeerNetwork } from "./peer_network.ts";

const SELF = "c1" as EntryId;
const OTHER = "c2#0" as MemberId;

test("a member does not answer messages to an earlier incarnation of its instance", async (t) => {
    // Guards against a second vote in a term by a member that forgot its first with its disk.
    const id = "control" as GroupId;
    const voters = [SELF, "c2", "c3"] as EntryId[];
    const sink = new LogSink({ writeBytes: (_fd, bytes, done) => done(null, bytes.length) });
    const member = new GroupMember<string, void>({
        group: { id, zones: [], voters, learners: [], quotaShare: 1 },
        self: SELF,
        incarnation: "1",
        machine: { apply: () => {}, encode: () => "", restore: () => {} },
        network: new PeerNetwork({ findAddress: () => undefined }),
        dataDir: undefined,
        timings: DEFAULT_TIMINGS,
        log: createLogger({ process: "c1", zone: "z", sink }),
    });
    t.teardown(() => member.stop());
    const request: GroupMessage = {
        type: "voteRequest",
        pre: false,
        term: 7,
        lastIndex: 0,
        lastTerm: 0,
        isTransfer: false,
    };
    t.is(await member.receive(OTHER, createMemberId(SELF), request), null);
    t.is(member.replica.term, 0);
    t.is(member.replica.role, "learner");
});
