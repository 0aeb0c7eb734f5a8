import { Agent, createServer, get } from "node:http";
import type { AddressInfo } from "node:net";
import test, { type ExecutionContext } from "ava";
import { IdleConnections } from "./idle_connections.ts";

const HOST = "127.0.0.1";

interface Fixture {
    readonly agent: Agent;
    readonly port: number;
    readonly countIdle: () => number;
}

/** Starts a server and opens one connection to it, which is idle afterwards. */
async function openIdleConnection(t: ExecutionContext): Promise<Fixture> {
    const server = createServer((_req, res) => res.end("ok"));
    await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
    const { port } = server.address() as AddressInfo;
    const agent = new Agent({ keepAlive: true });
    t.teardown(() => {
        agent.destroy();
        server.close();
    });
    const countIdle = (): number => {
        const sockets = agent.freeSockets[agent.getName({ host: HOST, port })] ?? [];
        return sockets.filter((socket) => !socket.destroyed).length;
    };
    await new Promise<void>((resolve) => {
        get({ host: HOST, port, agent }, (res) => res.resume().on("end", resolve));
    });
    while (countIdle() === 0) {
        await new Promise((resolve) => setImmediate(resolve));
    }
    return { agent, port, countIdle };
}

test("a timeout closes the idle connections only without a response for a second", async (t) => {
    // Guards against calls on half-open connections to a server that is gone.
    const { agent, port, countIdle } = await openIdleConnection(t);
    let now = 0;
    const idleConnections = new IdleConnections(agent, () => now);
    idleConnections.recordResponse(HOST, port);
    now = 999;
    idleConnections.handleTimeout(HOST, port);
    t.is(countIdle(), 1);
    now = 1_000;
    idleConnections.handleTimeout(HOST, port);
    t.is(countIdle(), 0);
});

test("a timeout of a server that never responded closes its idle connections", async (t) => {
    const { agent, port, countIdle } = await openIdleConnection(t);
    new IdleConnections(agent, () => 0).handleTimeout(HOST, port);
    t.is(countIdle(), 0);
});
