import { createServer, type Server } from "node:net";
import type { AddressInfo } from "node:net";
import test, { type ExecutionContext } from "ava";
import { MethodError, startRpcServer, type RpcServer } from "../rpc/mod.ts";
import { LeaderRouter, NoLeaderError, NOT_LEADER_CODE } from "./leader_router.ts";

async function startMember(t: ExecutionContext, handler: () => unknown): Promise<RpcServer> {
    const server = await startRpcServer({ methods: { x: handler } });
    t.teardown(() => server.close());
    return server;
}

/** Starts a server that accepts connections and never responds, like a suspended process. */
async function startUnresponsiveServer(t: ExecutionContext): Promise<string> {
    const server: Server = createServer(() => {});
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    t.teardown(() => server.close());
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

test("a call to a follower is redirected to the leader", async (t) => {
    const leader = await startMember(t, () => "yes");
    const follower = await startMember(t, () => {
        throw new MethodError("no", NOT_LEADER_CODE, { leader: leader.address });
    });
    const router = new LeaderRouter({ listSeeds: () => [follower.address] });
    t.is(await router.call("x", {}, 1_000), "yes");
    t.is(router.leader, leader.address);
});

test("a call fails over from an unresponsive member, or fails with an unknown outcome", async (t) => {
    const unresponsive = await startUnresponsiveServer(t);
    const leader = await startMember(t, () => "yes");
    const router = new LeaderRouter({
        listSeeds: () => [unresponsive, leader.address],
        inactivityTimeoutMs: 100,
    });
    t.is(await router.call("x", {}, 2_000), "yes");
    const unresponsiveOnly = new LeaderRouter({
        listSeeds: () => [unresponsive],
        inactivityTimeoutMs: 100,
    });
    const error = await t.throwsAsync(unresponsiveOnly.call("x", {}, 500), {
        instanceOf: NoLeaderError,
    });
    t.true(error.mayHaveExecuted);
    t.regex(error.message, /may have been/);
});

test("a call that reached no member fails as not executed", async (t) => {
    const router = new LeaderRouter({ listSeeds: () => ["127.0.0.1:1"] });
    const error = await t.throwsAsync(router.call("x", {}, 300), { instanceOf: NoLeaderError });
    t.false(error.mayHaveExecuted);
});

test("pending calls share the attempts to find a leader", async (t) => {
    // Independent retries of many pending calls would overload the instances during an election.
    let callCount = 0;
    let isLeader = false;
    const member = await startMember(t, () => {
        callCount += 1;
        if (!isLeader) {
            throw new MethodError("no", NOT_LEADER_CODE, { leader: undefined });
        }
        return "yes";
    });
    const router = new LeaderRouter({ listSeeds: () => [member.address] });
    const pendingCalls = Array.from({ length: 100 }, () => router.call("x", {}, 3_000));
    await new Promise((resolve) => setTimeout(resolve, 600));
    t.true(callCount <= 20, `${callCount} attempts`);
    isLeader = true;
    t.true((await Promise.all(pendingCalls)).every((answer) => answer === "yes"));
    t.true(callCount <= 140, `${callCount} attempts`);
});

test("calls don't follow a stale hint to an instance that has just refused one", async (t) => {
    // Guards against all pending calls going round a group that has no leader in each search.
    let callCount = 0;
    let isLeader = false;
    const formerLeader = await startMember(t, () => {
        callCount += 1;
        if (!isLeader) {
            throw new MethodError("no", NOT_LEADER_CODE, { leader: undefined });
        }
        return "yes";
    });
    const follower = await startMember(t, () => {
        throw new MethodError("no", NOT_LEADER_CODE, { leader: formerLeader.address });
    });
    const router = new LeaderRouter({
        listSeeds: () => [follower.address, formerLeader.address],
    });
    const pendingCalls = Array.from({ length: 100 }, () => router.call("x", {}, 3_000));
    await new Promise((resolve) => setTimeout(resolve, 600));
    // All calls once, then one for each search.
    t.true(callCount <= 120, `${callCount} attempts`);
    isLeader = true;
    t.true((await Promise.all(pendingCalls)).every((answer) => answer === "yes"));
});

test("a slow call is not retried while the leader responds to other calls", async (t) => {
    // A fixed timeout per attempt would multiply the load of an overloaded leader.
    let callCount = 0;
    const leader = await startRpcServer({
        methods: {
            slow: async () => {
                callCount += 1;
                await new Promise((resolve) => setTimeout(resolve, 600));
                return "slow";
            },
            quick: () => "quick",
        },
    });
    t.teardown(() => leader.close());
    const router = new LeaderRouter({
        listSeeds: () => [leader.address],
        inactivityTimeoutMs: 150,
    });
    const slow = router.call("slow", {}, 2_000);
    const others = setInterval(() => void router.call("quick", {}, 500), 50);
    t.is(await slow, "slow");
    clearInterval(others);
    t.is(callCount, 1);
});
