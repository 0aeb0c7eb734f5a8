import test from "ava";
import type { PeerFront } from "../control/calls.ts";
import {
    classifyAnswers,
    LEADER_TIMEOUT_MS,
    LeaderReachability,
    type PeerAnswer,
} from "./leader_reachability.ts";

const ZONE = "a";

function buildAnswer(zone: string, reachesLeader: boolean | undefined): PeerAnswer {
    return { peer: buildPeer(zone), reachesLeader };
}

function buildPeer(zone: string): PeerFront {
    return { address: `front-${zone}:1`, zone };
}

test("a front of any zone that reaches the leader is used as a relay", (t) => {
    const answers = [buildAnswer("b", undefined), buildAnswer(ZONE, true)];
    t.deepEqual(classifyAnswers(answers, ZONE), { type: "relay", address: "front-a:1" });
});

test("an outage is assumed if a front of another zone cannot reach the leader either", (t) => {
    const answers = [buildAnswer("b", false), buildAnswer("c", undefined)];
    t.deepEqual(classifyAnswers(answers, ZONE), { type: "outage" });
});

test("a zone is isolated if only its own fronts answer", (t) => {
    const answers = [buildAnswer(ZONE, false), buildAnswer("b", undefined)];
    t.deepEqual(classifyAnswers(answers, ZONE), { type: "isolated" });
});

test("in a deployment of one zone the answers of its own fronts decide", (t) => {
    t.deepEqual(classifyAnswers([buildAnswer(ZONE, false)], ZONE), { type: "outage" });
    t.deepEqual(classifyAnswers([buildAnswer(ZONE, undefined)], ZONE), { type: "isolated" });
    t.deepEqual(classifyAnswers([], ZONE), { type: "outage" });
});

test("peers are probed only while the leader does not answer, and its next answer discards the result", async (t) => {
    let now = 1_000;
    let probes = 0;
    const reachability = new LeaderReachability({
        zone: ZONE,
        getNow: () => now,
        probe: () => {
            probes += 1;
            return Promise.resolve({ hearsLeader: true });
        },
    });
    reachability.setPeers([buildPeer("b")]);
    reachability.recordLeaderAnswer();
    t.false(await reachability.update());
    t.is(probes, 0);
    now += LEADER_TIMEOUT_MS;
    t.true(await reachability.update());
    t.deepEqual(reachability.state, { type: "relay", address: "front-b:1" });
    reachability.recordLeaderAnswer();
    t.deepEqual(reachability.state, { type: "direct" });
    now += LEADER_TIMEOUT_MS;
    // The result of an earlier probe is not reused.
    t.deepEqual(reachability.state, { type: "outage" });
});

interface ReachabilityFixture {
    readonly reachability: LeaderReachability;
    readonly foundLeaders: string[];
}

/** Creates the state of a front that has not reached the leader, with a peer that has. */
function buildReachability(canConnect: boolean): ReachabilityFixture {
    const foundLeaders: string[] = [];
    const reachability = new LeaderReachability({
        zone: ZONE,
        probe: () => Promise.resolve({ hearsLeader: true, leader: "core-1:1" }),
        canConnect: () => Promise.resolve(canConnect),
        onLeaderFound: (leader) => foundLeaders.push(leader),
    });
    reachability.setPeers([buildPeer("b")]);
    return { reachability, foundLeaders };
}

test("after an outage a front connects to the new leader directly instead of through a relay", async (t) => {
    // Guards against one front relaying the calls of all others after an outage.
    const { reachability, foundLeaders } = buildReachability(true);
    await reachability.update();
    t.deepEqual(reachability.state, { type: "outage" });
    t.deepEqual(foundLeaders, ["core-1:1"]);
});

test("a front that cannot connect to the leader uses a peer that reaches it as a relay", async (t) => {
    const { reachability, foundLeaders } = buildReachability(false);
    await reachability.update();
    t.deepEqual(reachability.state, { type: "relay", address: "front-b:1" });
    t.deepEqual(foundLeaders, []);
});
