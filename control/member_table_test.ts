import test from "ava";
import type { HelloCall } from "./calls.ts";
import { MemberTable } from "./member_table.ts";

function buildHello(address: string, zone: string): HelloCall {
    return { address, zone, kind: "front", publicAddress: "" };
}

test("fronts that ask for others get different ones, some of each zone", (t) => {
    // A zone is cut off from the leader but not from the other zones. Named the same two fronts, all of its
    // twenty would have them carry their callers' calls, over links of 2 Mbit/s.
    const table = new MemberTable();
    for (let i = 0; i < 20; i++) {
        table.add(buildHello(`a-${i}`, "a"), 0);
        table.add(buildHello(`b-${i}`, "b"), 0);
    }
    const named = new Set<string>();
    for (let i = 0; i < 20; i++) {
        const peers = table.listPeerFronts(2, `a-${i}`);
        t.is(peers.filter(({ zone }) => zone === "a").length, 2);
        t.is(peers.filter(({ zone }) => zone === "b").length, 2);
        t.false(peers.some(({ address }) => address === `a-${i}`));
        peers.filter(({ zone }) => zone === "b").forEach(({ address }) => named.add(address));
    }
    t.true(named.size >= 10, `${named.size} of 20 fronts of the other zone were named`);
});
