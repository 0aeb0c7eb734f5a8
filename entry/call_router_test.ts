import test from "ava";
import type { PeerNetwork } from "../group/mod.ts";
import type { GroupId } from "../log/mod.ts";
import type { EntryId, Gossip, GroupLayout } from "../membership/mod.ts";
import { CallRouter } from "./call_router.ts";

const SELF = "entry-1" as EntryId;
const GROUP = "hall-a" as GroupId;
const LAYOUT: GroupLayout = { id: GROUP, zones: [], voters: [SELF], learners: [], quotaShare: 1 };

/** Builds a router on the group's only voter, without any reachable peer. */
function buildRouter(waitForLease: () => Promise<boolean>): CallRouter {
    return new CallRouter({
        self: SELF,
        network: { getClient: () => undefined } as unknown as PeerNetwork,
        gossip: { findLeader: () => SELF, getStatus: () => "up" } as unknown as Gossip,
        getMember: () => ({ waitForLease, leader: SELF }),
        runLocal: (_group, method) => Promise.resolve(`${method} done`),
    });
}

test("a leader whose lease has expired serves calls after renewing it", async (t) => {
    // Guards against a no-leader error from the leader itself while its lease has expired.
    const router = buildRouter(async () => {
        await new Promise((resolve) => setImmediate(resolve));
        return true;
    });
    t.is(await router.route(LAYOUT, "submit", {}), "submit done");
    const forwarded = { group: GROUP, method: "submit", params: {} };
    t.is(await router.runForwarded(forwarded), "submit done");
});

test("a former leader rejects calls with a no-leader error", async (t) => {
    const router = buildRouter(() => Promise.resolve(false));
    await t.throwsAsync(router.route(LAYOUT, "submit", {}), { message: /leader/ });
    const forwarded = { group: GROUP, method: "submit", params: {} };
    await t.throwsAsync(router.runForwarded(forwarded), { message: /leader/ });
});
