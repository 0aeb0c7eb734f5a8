import { connect, createServer, type AddressInfo, type Socket } from "node:net";
import test, { type ExecutionContext } from "ava";
import fc from "fast-check";
import { FaultRelay } from "../standin/fault_relay.ts";
import { LineDecoder } from "./_line_decoder.ts";
import {
    connectionTracker,
    createRpcClient,
    parseAddress,
    RpcError,
    startRpcServer,
} from "./mod.ts";
import type { RpcMethod, RpcServer } from "./mod.ts";

async function startServer(
    t: ExecutionContext,
    methods: Readonly<Record<string, RpcMethod>>,
): Promise<RpcServer> {
    const server = await startRpcServer({ methods });
    t.teardown(() => server.close());
    return server;
}

async function startRelay(t: ExecutionContext, target: string): Promise<FaultRelay> {
    const relay = await FaultRelay.start();
    relay.setTarget(target);
    t.teardown(() => relay.close());
    return relay;
}

/** Opens a connection and upgrades it as a client does. */
async function openUpgradedSocket(t: ExecutionContext, address: string): Promise<Socket> {
    const [host, port] = parseAddress(address);
    const socket = connect({ host, port });
    t.teardown(() => socket.destroy());
    socket.write("GET /rpc HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: json-rpc-lines\r\n\r\n");
    await new Promise((resolve) => socket.once("data", resolve));
    return socket;
}

function wait(durationMs: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, durationMs));
}

test.serial("calls at the same time share one connection and get their own answers", async (t) => {
    const server = await startServer(t, {
        echo: async (params) => {
            const { value } = params as { value: number };
            await wait(value % 7);
            return value;
        },
    });
    connectionTracker.takeSummary();
    const values = Array.from({ length: 100 }, (_, value) => value);
    const answers = await Promise.all(
        values.map((value) => createRpcClient(server.address).call("echo", { value })),
    );
    t.deepEqual(answers, values);
    t.is(connectionTracker.takeSummary().accepted, 1);
});

test.serial("a call that is cancelled before the server reads it is not begun", async (t) => {
    // Guards against work for callers that have gone, which keeps a server behind.
    const begun: number[] = [];
    const server = await startServer(t, {
        x: (params) => begun.push((params as { call: number }).call),
    });
    const socket = await openUpgradedSocket(t, server.address);
    const createCall = (id: number): string =>
        `${JSON.stringify({ jsonrpc: "2.0", id, method: "x", params: { call: id } })}\n`;
    const cancellation = { jsonrpc: "2.0", method: "$/cancel", params: { id: 1 } };
    socket.write(`${createCall(1)}${createCall(2)}${JSON.stringify(cancellation)}\n`);
    const answer = await new Promise<Buffer>((resolve) => socket.once("data", resolve));
    t.is((JSON.parse(answer.toString()) as { id: number }).id, 2);
    t.deepEqual(begun, [2]);
});

test.serial("a connection that went silent is replaced, whatever its calls wait for", async (t) => {
    // Guards against calls on a half-open connection while new connections work.
    const server = await startServer(t, { x: () => "y", held: () => new Promise(() => {}) });
    const relay = await startRelay(t, server.address);
    const client = createRpcClient(relay.address);
    t.is(await client.call("x", {}), "y");
    relay.killSilently();
    const startedAtMs = performance.now();
    const held = t.throwsAsync(client.call("held", {}, 10_000), { instanceOf: RpcError });
    await t.throwsAsync(client.call("x", {}, 50), { instanceOf: RpcError });
    await wait(600);
    t.is(await client.call("x", {}, 1_000), "y");
    await held;
    t.true(performance.now() - startedAtMs < 5_000);
});

test.serial("a call that found no connection was not delivered", async (t) => {
    // Guards against calls that are said to be of unknown outcome although they were never sent.
    const silentServer = createServer(() => {});
    await new Promise<void>((resolve) => silentServer.listen(0, "127.0.0.1", resolve));
    t.teardown(() => silentServer.close());
    const { port } = silentServer.address() as AddressInfo;
    const error = await t.throwsAsync<RpcError>(
        createRpcClient(`127.0.0.1:${port}`).call("x", {}, 1_000),
        { instanceOf: RpcError },
    );
    t.true(error.isUndelivered);
});

test.serial("a server that stops answers its calls and gets no further ones", async (t) => {
    // Guards against calls that a restart cuts off.
    const server = await startRpcServer({ methods: { x: () => wait(300).then(() => "y") } });
    const client = createRpcClient(server.address);
    const call = client.call("x", {});
    await wait(100);
    const closed = server.close();
    await wait(50);
    const error = await t.throwsAsync<RpcError>(client.call("x", {}), { instanceOf: RpcError });
    t.true(error.isUndelivered);
    t.is(await call, "y");
    await closed;
});

test.serial("a malformed message is answered and ends the connection", async (t) => {
    // Guards against clients that wait for a server that could not read their message.
    const server = await startServer(t, {});
    const socket = await openUpgradedSocket(t, server.address);
    const received: Buffer[] = [];
    socket.on("data", (chunk: Buffer) => received.push(chunk));
    const ended = new Promise((resolve) => socket.once("end", resolve));
    socket.write("{\n");
    await ended;
    t.like(JSON.parse(Buffer.concat(received).toString()), { id: null, error: { code: -32700 } });
});

test("lines are the same however their bytes are split", (t) => {
    const lineArbitrary = fc.string({ unit: "binary" }).map((text) => text.replaceAll("\n", ""));
    fc.assert(
        fc.property(fc.array(lineArbitrary), fc.integer({ min: 1, max: 9 }), (lines, size) => {
            const bytes = Buffer.from(lines.map((line) => `${line}\n`).join(""));
            const decoder = new LineDecoder(1_000);
            const decoded: string[] = [];
            for (let start = 0; start < bytes.length; start += size) {
                decoded.push(...decoder.decode(bytes.subarray(start, start + size)));
            }
            t.deepEqual(decoded, lines);
        }),
    );
});
