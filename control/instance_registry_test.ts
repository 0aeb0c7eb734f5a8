import test from "ava";
import type { HelloCall } from "./calls.ts";
import { InstanceRegistry } from "./instance_registry.ts";

function buildHello(address: string, zone: string): HelloCall {
    return { address, zone, kind: "front", publicAddress: "" };
}

test("peer fronts cover every zone and rotate between requests", (t) => {
    // Guards against all fronts of an isolated zone relaying through the same few peers.
    const registry = new InstanceRegistry();
    for (let i = 0; i < 20; i++) {
        registry.add(buildHello(`a-${i}`, "a"), 0);
        registry.add(buildHello(`b-${i}`, "b"), 0);
    }
    const returned = new Set<string>();
    for (let i = 0; i < 20; i++) {
        const peers = registry.listPeerFronts(2, `a-${i}`);
        t.is(peers.filter(({ zone }) => zone === "a").length, 2);
        t.is(peers.filter(({ zone }) => zone === "b").length, 2);
        t.false(peers.some(({ address }) => address === `a-${i}`));
        peers.filter(({ zone }) => zone === "b").forEach(({ address }) => returned.add(address));
    }
    t.true(
        returned.size >= 10,
        `only ${returned.size} of 20 fronts of the other zone were returned`,
    );
});
