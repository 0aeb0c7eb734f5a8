import test, { type ExecutionContext } from "ava";
import { MethodError, startRpcServer } from "../rpc/mod.ts";
import { LEADER_STATUS_METHOD, LeaderRouter, NOT_LEADER_CODE } from "./leader_router.ts";

const INACTIVITY_TIMEOUT_MS = 900;
const SERVICE_MS = 30;
/** Work for three seconds, several times the timeout. */
const BACKLOG_CALLS = 100;
const ROUTERS = 40;
const CALL_BUDGET_MS = 10_000;

/** A leader that handles calls one after the other, each in a fixed time. */
class SerialLeader {
    readonly executions = new Map<number, number>();
    #turn: Promise<void> = Promise.resolve();

    /** Waits for the calls before it, then takes its own time. */
    async handle(call: number): Promise<number> {
        this.#turn = this.#turn.then(
            () => new Promise((resolve) => setTimeout(resolve, SERVICE_MS)),
        );
        await this.#turn;
        this.executions.set(call, (this.executions.get(call) ?? 0) + 1);
        return call;
    }
}

interface Group {
    readonly leader: SerialLeader;
    readonly routers: readonly LeaderRouter[];
}

/** Starts a leader, a follower that hears it, and the routers of as many callers' processes. */
async function startGroup(t: ExecutionContext): Promise<Group> {
    const leader = new SerialLeader();
    const leaderServer = await startRpcServer({
        methods: { x: (params) => leader.handle((params as { call: number }).call) },
    });
    const followerServer = await startRpcServer({
        methods: {
            [LEADER_STATUS_METHOD]: () => ({ leader: leaderServer.address, heardMsAgo: 10 }),
            x: () => {
                throw new MethodError("no", NOT_LEADER_CODE, { leader: leaderServer.address });
            },
        },
    });
    t.teardown(() => Promise.all([leaderServer.close(), followerServer.close()]));
    const routers = Array.from(
        { length: ROUTERS },
        () =>
            new LeaderRouter({
                listSeeds: () => [leaderServer.address, followerServer.address],
                inactivityTimeoutMs: INACTIVITY_TIMEOUT_MS,
            }),
    );
    return { leader, routers };
}

test.serial("calls that wait for a busy leader are not sent again", async (t) => {
    // Guards against retries that keep a leader overloaded after the cause of its backlog is gone.
    const { leader, routers } = await startGroup(t);
    const calls = Array.from({ length: BACKLOG_CALLS }, (_, call) =>
        routers[call % ROUTERS]?.call<number>("x", { call }, CALL_BUDGET_MS),
    );
    const answers = await Promise.all(calls);
    t.deepEqual(
        answers,
        answers.map((_, call) => call),
    );
    const repeated = [...leader.executions.values()].filter((count) => count > 1).length;
    t.is(repeated, 0);
});

test.serial("a leader that no member hears is given up after the timeout", async (t) => {
    // Guards against calls that wait for a leader that is gone because a member remembers it.
    const silentServer = await startRpcServer({ methods: { x: () => new Promise(() => {}) } });
    const nextServer = await startRpcServer({
        methods: {
            [LEADER_STATUS_METHOD]: () => ({ leader: silentServer.address, heardMsAgo: 2_000 }),
            x: () => "next",
        },
    });
    t.teardown(() => Promise.all([silentServer.close(), nextServer.close()]));
    const router = new LeaderRouter({
        listSeeds: () => [silentServer.address, nextServer.address],
        inactivityTimeoutMs: INACTIVITY_TIMEOUT_MS,
    });
    const startedAtMs = performance.now();
    t.is(await router.call("x", {}, 4 * INACTIVITY_TIMEOUT_MS), "next");
    t.true(performance.now() - startedAtMs < 3 * INACTIVITY_TIMEOUT_MS);
});
