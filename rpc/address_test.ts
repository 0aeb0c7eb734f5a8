import test from "ava";
import { isAddress } from "./address.ts";
import { isReachable } from "./rpc_server.ts";

test("an address has a host and a port from 1 to 65,535", (t) => {
    for (const text of ["10.0.0.1:80", "worker-1.example:65535", "a_b:1", "::1:7720"]) {
        t.true(isAddress(text), text);
    }
});

// Guards against an address that passes the check and to which no connection can be opened.
test("a port out of range, an odd number or an impossible host is no address", (t) => {
    const ports = ["", "0", "65536", "80800", "99999", "-1", "1.5", "1e3", "0x50", " 80", "８０"];
    for (const port of ports) {
        t.false(isAddress(`10.0.0.1:${port}`), port);
    }
    for (const host of ["", " ", "a b", "中", "a/b", "a@b", "a\nb", "...\u0000", "a".repeat(254)]) {
        t.false(isAddress(`${host}:80`), host);
    }
    t.false(isAddress("10.0.0.1"));
    t.false(isAddress(""));
});

// Guards against a front that ends when the leader names a peer with an invalid address.
test("nothing is reachable at an invalid address", async (t) => {
    t.false(await isReachable("127.0.0.1:80800", 100));
    t.false(await isReachable("127.0.0.1", 100));
});
