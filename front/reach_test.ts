import test from "ava";
import type { PeerFront } from "../control/calls.ts";
import { findWay, LEADER_SILENCE_MS, Reach, type PeerAnswer } from "./reach.ts";

const ZONE = "a";

function buildAnswer(zone: string, hearsLeader: boolean | undefined): PeerAnswer {
    return { peer: buildPeer(zone), hearsLeader };
}

function buildPeer(zone: string): PeerFront {
    return { address: `front-${zone}:1`, zone };
}

test("a front of any zone that hears the leader carries the calls", (t) => {
    const answers = [buildAnswer("b", undefined), buildAnswer(ZONE, true)];
    t.deepEqual(findWay(answers, ZONE), { type: "relay", address: "front-a:1" });
});

test("fronts elsewhere that hear no leader either mean an outage, which calls wait out", (t) => {
    const answers = [buildAnswer("b", false), buildAnswer("c", undefined)];
    t.deepEqual(findWay(answers, ZONE), { type: "outage" });
});

test("a zone whose fronts hear only each other is cut off", (t) => {
    // Callers of a cut-off zone: its fronts answer each other, so the own zone proves nothing.
    // Held to the deadline their calls would be lost; sent away they reach another zone.
    const answers = [buildAnswer(ZONE, false), buildAnswer("b", undefined)];
    t.deepEqual(findWay(answers, ZONE), { type: "isolated" });
});

test("in a deployment of one zone its own fronts are the witnesses", (t) => {
    t.deepEqual(findWay([buildAnswer(ZONE, false)], ZONE), { type: "outage" });
    t.deepEqual(findWay([buildAnswer(ZONE, undefined)], ZONE), { type: "isolated" });
    t.deepEqual(findWay([], ZONE), { type: "outage" });
});

test("peers are asked only while the leader is silent, and forgotten when it answers", async (t) => {
    let now = 1_000;
    let probes = 0;
    const reach = new Reach({
        zone: ZONE,
        getNow: () => now,
        probe: () => {
            probes += 1;
            return Promise.resolve({ hearsLeader: true });
        },
    });
    reach.setPeers([buildPeer("b")]);
    reach.recordLeader();
    t.false(await reach.update());
    t.is(probes, 0);
    now += LEADER_SILENCE_MS;
    t.true(await reach.update());
    t.deepEqual(reach.state, { type: "relay", address: "front-b:1" });
    reach.recordLeader();
    t.deepEqual(reach.state, { type: "direct" });
    now += LEADER_SILENCE_MS;
    // What was found in the last cut says nothing about this one.
    t.deepEqual(reach.state, { type: "outage" });
});

interface Found {
    readonly reach: Reach;
    readonly found: string[];
}

/** A front that has not heard the leader yet, beside one that has. */
function buildFound(canConnect: boolean): Found {
    const found: string[] = [];
    const reach = new Reach({
        zone: ZONE,
        probe: () => Promise.resolve({ hearsLeader: true, leader: "core-1:1" }),
        canConnect: () => Promise.resolve(canConnect),
        onLeaderFound: (leader) => found.push(leader),
    });
    reach.setPeers([buildPeer("b")]);
    return { reach, found };
}

test("after an outage a front goes to the new leader itself, not through the first one that heard it", async (t) => {
    // All control instances were off. One front of a hundred hears the new leader first; if the others took
    // themselves for cut off, it would carry all their calls over its small link, and callers would time out
    // for seconds beside a leader that is there.
    const { reach, found } = buildFound(true);
    await reach.update();
    t.deepEqual(reach.state, { type: "outage" });
    t.deepEqual(found, ["core-1:1"]);
});

test("a front that can't connect to the leader that others hear has them carry its calls", async (t) => {
    const { reach, found } = buildFound(false);
    await reach.update();
    t.deepEqual(reach.state, { type: "relay", address: "front-b:1" });
    t.deepEqual(found, []);
});
