import { createServer, type IncomingMessage } from "node:http";
import type { AddressInfo } from "node:net";
import test, { type ExecutionContext } from "ava";
import { createRpcClient, RpcError } from "./mod.ts";

const PARALLEL_CALLS = 4;
/** The connection on which a client asks for an upgrade, which servers of earlier releases refuse. */
const UPGRADE_CONNECTIONS = 1;

interface CountingServer {
    readonly address: string;
    connections: number;
}

async function readText(req: IncomingMessage): Promise<string> {
    const chunks: Buffer[] = [];
    for await (const chunk of req) {
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks).toString("utf8");
}

/**
 * Starts a server of an earlier release, which knows no upgrade. It counts its connections and
 * answers every method except `held`.
 */
async function startServer(t: ExecutionContext): Promise<CountingServer> {
    const server = createServer((req, res) => {
        if (req.method !== "POST") {
            res.writeHead(404).end();
            return;
        }
        void readText(req).then((text) => {
            const { id, method } = JSON.parse(text) as { id: number; method: string };
            if (method !== "held") {
                res.end(JSON.stringify({ jsonrpc: "2.0", id, result: method }));
            }
        });
    });
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    t.teardown(() => server.close());
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const counting: CountingServer = { address, connections: 0 };
    server.on("connection", () => {
        counting.connections += 1;
    });
    return counting;
}

test("a call that times out keeps the connections to a server that answers others", async (t) => {
    // Guards against a storm of new connections to a server that is slow.
    const server = await startServer(t);
    const client = createRpcClient(server.address);
    const runCalls = (): Promise<unknown[]> =>
        Promise.all(Array.from({ length: PARALLEL_CALLS }, () => client.call("quick", {})));
    await runCalls();
    t.is(server.connections, UPGRADE_CONNECTIONS + PARALLEL_CALLS);
    await t.throwsAsync(client.call("held", {}, 100), { instanceOf: RpcError });
    await runCalls();
    // The call that timed out used one of the connections and closed it.
    t.is(server.connections, UPGRADE_CONNECTIONS + PARALLEL_CALLS + 1);
});
