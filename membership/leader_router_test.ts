import { createServer, type Server } from "node:net";
import type { AddressInfo } from "node:net";
import test, { type ExecutionContext } from "ava";
import { MethodError, startRpcServer, type RpcServer } from "../rpc/mod.ts";
import { LeaderRouter, NoLeaderError, NOT_LEADER_CODE } from "./leader_router.ts";

async function startMember(t: ExecutionContext, answer: () => unknown): Promise<RpcServer> {
    const server = await startRpcServer({ methods: { x: answer } });
    t.teardown(() => server.close());
    return server;
}

/** A server that takes connections and answers nothing, as a suspended process does. */
async function startSilent(t: ExecutionContext): Promise<string> {
    const server: Server = createServer(() => {});
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    t.teardown(() => server.close());
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

test("a member that does not lead names the one that does", async (t) => {
    const leader = await startMember(t, () => "yes");
    const follower = await startMember(t, () => {
        throw new MethodError("no", NOT_LEADER_CODE, { leader: leader.address });
    });
    const router = new LeaderRouter({ listSeeds: () => [follower.address] });
    t.is(await router.call("x", {}, 1_000), "yes");
    t.is(router.leader, leader.address);
});

test("a silent member is given up for another, and the call's outcome is unsure", async (t) => {
    const silent = await startSilent(t);
    const leader = await startMember(t, () => "yes");
    const router = new LeaderRouter({
        listSeeds: () => [silent, leader.address],
        silenceMs: 100,
    });
    t.is(await router.call("x", {}, 2_000), "yes");
    const alone = new LeaderRouter({ listSeeds: () => [silent], silenceMs: 100 });
    const error = await t.throwsAsync(alone.call("x", {}, 500), { instanceOf: NoLeaderError });
    t.true(error.mayHaveHappened);
    t.regex(error.message, /may have been/);
});

test("a call that no member took is known not to have happened", async (t) => {
    const router = new LeaderRouter({ listSeeds: () => ["127.0.0.1:1"] });
    const error = await t.throwsAsync(router.call("x", {}, 300), { instanceOf: NoLeaderError });
    t.false(error.mayHaveHappened);
});

test("calls that wait for a leader look for it together", async (t) => {
    // Hundreds of callers wait at a front while all control instances elect. Each call asking on its own
    // keeps the instances busy with saying that they do not lead, and the election fails for want of time.
    let asked = 0;
    let leads = false;
    const member = await startMember(t, () => {
        asked += 1;
        if (!leads) {
            throw new MethodError("no", NOT_LEADER_CODE, { leader: undefined });
        }
        return "yes";
    });
    const router = new LeaderRouter({ listSeeds: () => [member.address] });
    const calls = Array.from({ length: 100 }, () => router.call("x", {}, 3_000));
    await new Promise((resolve) => setTimeout(resolve, 600));
    t.true(asked <= 20, `asked ${asked} times`);
    leads = true;
    t.true((await Promise.all(calls)).every((answer) => answer === "yes"));
    t.true(asked <= 140, `asked ${asked} times`);
});

test("a busy leader that answers others is not asked again", async (t) => {
    // Callers see one slow answer each. With a fixed timeout per try every slow call would come
    // several times, and a leader at its limit would get several times the load.
    let calls = 0;
    const leader = await startRpcServer({
        methods: {
            slow: async () => {
                calls += 1;
                await new Promise((resolve) => setTimeout(resolve, 600));
                return "slow";
            },
            quick: () => "quick",
        },
    });
    t.teardown(() => leader.close());
    const router = new LeaderRouter({ listSeeds: () => [leader.address], silenceMs: 150 });
    const slow = router.call("slow", {}, 2_000);
    const others = setInterval(() => void router.call("quick", {}, 500), 50);
    t.is(await slow, "slow");
    clearInterval(others);
    t.is(calls, 1);
});
