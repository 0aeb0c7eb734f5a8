import { connect, type Socket } from "node:net";
import test, { type ExecutionContext } from "ava";
import { startRpcServer, type RpcServer, type RpcServerOptions } from "./rpc_server.ts";

async function startEcho(
    t: ExecutionContext,
    options: Partial<RpcServerOptions> = {},
): Promise<RpcServer> {
    const methods = { echo: (params: unknown) => params };
    const server = await startRpcServer({ methods, ...options });
    t.teardown(() => server.close());
    return server;
}

async function open(t: ExecutionContext, { address }: RpcServer): Promise<Socket> {
    const socket = connect(Number(address.split(":")[1]), "127.0.0.1");
    socket.on("error", () => {});
    t.teardown(() => socket.destroy());
    await new Promise((resolve) => socket.once("connect", resolve));
    return socket;
}

function readText(socket: Socket): Promise<string> {
    return new Promise((resolve) => {
        socket.once("data", (bytes: Buffer) => resolve(bytes.toString("utf8")));
        socket.once("close", () => resolve(""));
    });
}

const HEAD = "POST /rpc HTTP/1.1\r\nHost: a\r\n";

// Guards against a body that is kept as one object for each chunk.
test("a call whose body comes in tiny chunks is answered", async (t) => {
    const socket = await open(t, await startEcho(t));
    const body = JSON.stringify({ jsonrpc: "2.0", id: 1, method: "echo", params: ["ä€"] });
    socket.write(`${HEAD}Transfer-Encoding: chunked\r\n\r\n`);
    for (const byte of Buffer.from(body)) {
        socket.write(Buffer.concat([Buffer.from("1\r\n"), Buffer.of(byte), Buffer.from("\r\n")]));
    }
    socket.write("0\r\n\r\n");
    t.regex(await readText(socket), /200 OK[^]*"result":\["ä€"\]/);
});

test("a body over the limit is answered with 413", async (t) => {
    const socket = await open(t, await startEcho(t, { maxBodyBytes: 100 }));
    socket.write(`${HEAD}Content-Length: 101\r\n\r\n${"x".repeat(101)}`);
    t.regex(await readText(socket), /^HTTP\/1.1 413/);
});

// Guards against connections that use up the descriptors of a process.
test("connections beyond the bound are closed", async (t) => {
    const server = await startEcho(t, { maxConnections: 2 });
    const sockets = [await open(t, server), await open(t, server)];
    t.is(await readText(await open(t, server)), "");
    const body = JSON.stringify({ jsonrpc: "2.0", id: 1, method: "echo", params: [] });
    for (const socket of sockets) {
        socket.write(`${HEAD}Content-Length: ${body.length}\r\n\r\n${body}`);
        t.regex(await readText(socket), /^HTTP\/1.1 200/);
    }
});
