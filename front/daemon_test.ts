import test, { type ExecutionContext } from "ava";
import {
    METHODS,
    type CallerAnswer,
    type CallerCall,
    type HelloAnswer,
    type HelloCall,
    type PeerFront,
} from "../control/calls.ts";
import { buildSpec } from "../dispatch/_fixtures.ts";
import { OUTCOME_UNKNOWN_CODE } from "../membership/mod.ts";
import { MethodError, startRpcServer, type RpcServer } from "../rpc/mod.ts";
import { FaultRelay } from "../standin/fault_relay.ts";
import { createLogger, LogSink } from "../telemetry/mod.ts";
import { FrontDaemon, type FrontDaemonOptions } from "./daemon.ts";

const CANCEL_CALL: CallerCall = {
    type: "cancel",
    host: "studio.example",
    path: "/p/00000000000000a1",
};
const SUBMIT_CALL: CallerCall = {
    type: "submit",
    host: "studio.example",
    path: "/p/00000000000000a1",
    apiKey: "removed",
    spec: buildSpec({ count: 1 }),
    problem: "",
};
/** Timeout of a caller's request, in ms. */
const CALL_TIMEOUT_MS = 2_800;
/** Time within which a front detects a partition and has probed its peers, in ms. */
const ISOLATION_DETECTION_MS = 1_400;

interface Fixture {
    readonly faultRelay: FaultRelay;
    /** The front of zone a, which reaches the leader through the fault relay. */
    readonly front: FrontDaemon;
    /** The front of zone b. */
    readonly otherFront: FrontDaemon;
    readonly countCalls: () => number;
}

/** Starts a fake leader and two fronts; with `isOtherDirect` zone b bypasses the fault relay. */
async function startFronts(
    t: ExecutionContext,
    isOtherDirect: boolean,
    options: Partial<FrontDaemonOptions> = {},
): Promise<Fixture> {
    const [address, otherAddress] = [await findFreeAddress(), await findFreeAddress()];
    const peers: PeerFront[] = [{ address: otherAddress, zone: "b" }];
    let callCount = 0;
    const leader = await startRpcServer({
        methods: {
            [METHODS.hello]: (params) => buildHelloAnswer(peers, params as HelloCall),
            [METHODS.callers]: () => {
                callCount += 1;
                return { type: "cancelled" };
            },
        },
    });
    const faultRelay = await FaultRelay.start();
    faultRelay.setTarget(leader.address);
    const front = buildFront("a", address, faultRelay.address, options);
    const otherFront = buildFront(
        "b",
        otherAddress,
        isOtherDirect ? leader.address : faultRelay.address,
    );
    await otherFront.start();
    await front.start();
    t.teardown(async () => {
        await front.stop();
        await otherFront.stop();
        faultRelay.close();
        await leader.close();
    });
    await waitFor(() => front.isReady && otherFront.isReady);
    return { faultRelay, front, otherFront, countCalls: () => callCount };
}

function buildHelloAnswer(peers: readonly PeerFront[], call: HelloCall): HelloAnswer {
    return {
        leader: "",
        members: [],
        publicAddress: "",
        limits: undefined,
        readers: [],
        peers: peers.filter((peer) => peer.address !== call.address),
    };
}

/** Time within which the load balancer has moved the callers of an isolated front, in ms. */
const BALANCER_FAILOVER_MS = 3_400;

function buildFront(
    zone: string,
    address: string,
    seed: string,
    options: Partial<FrontDaemonOptions> = {},
): FrontDaemon {
    const sink = new LogSink({ writeBytes: (_fd, bytes, done) => done(null, bytes.length) });
    return new FrontDaemon({
        address,
        zone,
        listSeeds: () => [seed],
        adviceCalls: { advise: () => Promise.resolve(undefined) },
        log: createLogger({ process: `front-${zone}`, zone, sink }),
        ...options,
    });
}

async function findFreeAddress(): Promise<string> {
    const server: RpcServer = await startRpcServer({ methods: {} });
    await server.close();
    return server.address;
}

async function waitFor(predicate: () => boolean): Promise<void> {
    while (!predicate()) {
        await wait(20);
    }
}

function wait(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
}

test("a front that is partitioned from the leader relays calls through another front", async (t) => {
    const fixture = await startFronts(t, true);
    t.deepEqual(await fixture.front.handleCaller(CANCEL_CALL, CALL_TIMEOUT_MS), {
        type: "cancelled",
    });
    fixture.faultRelay.setMode("silent");
    t.deepEqual(await fixture.front.handleCaller(CANCEL_CALL, CALL_TIMEOUT_MS), {
        type: "cancelled",
    });
    await wait(ISOLATION_DETECTION_MS);
    const startedAtMs = performance.now();
    t.deepEqual(await fixture.front.handleCaller(CANCEL_CALL, CALL_TIMEOUT_MS), {
        type: "cancelled",
    });
    // Once the partition is detected, no time is spent on direct attempts.
    t.true(performance.now() - startedAtMs < 300);
    t.true(fixture.front.isReady);
    t.is(fixture.countCalls(), 3);
});

test("a call waits through an outage of all control instances", async (t) => {
    const fixture = await startFronts(t, false);
    fixture.faultRelay.setMode("refuse");
    await wait(ISOLATION_DETECTION_MS);
    t.false(fixture.front.isReady);
    const answer = fixture.front.handleCaller(CANCEL_CALL, CALL_TIMEOUT_MS);
    await wait(800);
    fixture.faultRelay.setMode("open");
    t.deepEqual(await answer, { type: "cancelled" });
});

// Guards against a finished job that runs again: its submission was held back by a front until the job
// was removed.
test("a submission is not forwarded for longer than its limit, whatever its deadline", async (t) => {
    const fixture = await startFronts(t, false, { maxForwardingMs: 400 });
    fixture.faultRelay.setMode("refuse");
    await wait(ISOLATION_DETECTION_MS);
    const startedAtMs = performance.now();
    t.is((await fixture.front.handleCaller(SUBMIT_CALL, CALL_TIMEOUT_MS)).type, "unreached");
    t.is((await fixture.front.handleCaller(CANCEL_CALL, CALL_TIMEOUT_MS)).type, "unreached");
    t.true(performance.now() - startedAtMs < CALL_TIMEOUT_MS / 2);
});

test("an isolated front rejects calls early, with a retry delay until the load balancer's failover", async (t) => {
    const fixture = await startFronts(t, false);
    fixture.faultRelay.close();
    await fixture.otherFront.stop();
    await wait(ISOLATION_DETECTION_MS);
    const startedAtMs = performance.now();
    const answer = await fixture.front.handleCaller(CANCEL_CALL, CALL_TIMEOUT_MS);
    t.is(answer.type, "unreached");
    t.true(performance.now() - startedAtMs < 700);
    t.false(fixture.front.isReady);
    // Before the load balancer has moved the caller, an immediate retry would return to this front.
    t.is(answer.type === "unreached" ? answer.retryAfterMs : undefined, 1_000);
    await wait(BALANCER_FAILOVER_MS);
    const later = await fixture.front.handleCaller(CANCEL_CALL, CALL_TIMEOUT_MS);
    t.is(later.type === "unreached" ? later.retryAfterMs : undefined, 0);
});

test("a query about a job waits through an outage, a query about a queue does not", async (t) => {
    // A held queue query could be answered from a newer configuration than queries sent after it.
    const fixture = await startFronts(t, false);
    fixture.faultRelay.setMode("refuse");
    await wait(ISOLATION_DETECTION_MS);
    const startedAtMs = performance.now();
    const queueQuery: CallerCall = { type: "state", host: "studio.example", path: "/p/" };
    const answer = await fixture.front.handleCaller(queueQuery, CALL_TIMEOUT_MS);
    t.true(answer.type === "unreached" || answer.type === "unknown");
    t.true(performance.now() - startedAtMs < 700);
    const jobQuery: CallerCall = { ...queueQuery, path: "/p/00000000000000a1" };
    const held = fixture.front.handleCaller(jobQuery, CALL_TIMEOUT_MS);
    await wait(600);
    fixture.faultRelay.setMode("open");
    t.deepEqual(await held, { type: "cancelled" });
});

/** Starts a front whose leader fails after the first call, and answers the others. */
async function startFrontOfFailedLeader(
    t: ExecutionContext,
    answer: CallerAnswer,
): Promise<{ readonly front: FrontDaemon; readonly countCalls: () => number }> {
    let callCount = 0;
    const leader = await startRpcServer({
        methods: {
            [METHODS.hello]: (params) => buildHelloAnswer([], params as HelloCall),
            [METHODS.callers]: () => {
                callCount += 1;
                if (callCount === 1) {
                    throw new MethodError("leadership lost", OUTCOME_UNKNOWN_CODE);
                }
                return answer;
            },
        },
    });
    const front = buildFront("a", await findFreeAddress(), leader.address);
    await front.start();
    t.teardown(async () => {
        await front.stop();
        await leader.close();
    });
    await waitFor(() => front.isReady);
    return { front, countCalls: () => callCount };
}

test("a submission that may have been accepted is not told to have been refused", async (t) => {
    // Guards against a refusal of a repeated attempt, after a change of leaders and of the
    // configuration, that is passed on although the first attempt's job runs.
    const { front, countCalls } = await startFrontOfFailedLeader(t, { type: "unauthenticated" });
    t.is((await front.handleCaller(SUBMIT_CALL, CALL_TIMEOUT_MS)).type, "unknown");
    t.is((await front.handleCaller(SUBMIT_CALL, CALL_TIMEOUT_MS)).type, "unauthenticated");
    t.is(countCalls(), 3);
});

// Guards against a caller that keeps repeating a submission which was cancelled before it arrived.
test("a submission that is refused as cancelled is told so at its first repetition", async (t) => {
    const cancelled: CallerAnswer = { type: "conflict", isCancelled: true };
    const { front, countCalls } = await startFrontOfFailedLeader(t, cancelled);
    t.deepEqual(await front.handleCaller(SUBMIT_CALL, CALL_TIMEOUT_MS), cancelled);
    t.is(countCalls(), 2);
});
